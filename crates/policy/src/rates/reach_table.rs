//! Tracks which daemons and zones are reachable.

use crate::{DaemonId, Timestamp};

/// Number of consecutive unanswered requests after which a daemon counts as down.
const MAX_DAEMON_FAILURES: u8 = 2;

/// Number of consecutive unanswered requests to any daemons of a zone after which the
/// zone counts as down. Without this limit, each caller's request in a zone that is cut
/// off would wait for the remote daemons one after the other.
const MAX_ZONE_FAILURES: u8 = 4;

/// The reachability of one daemon or zone.
#[derive(Clone, Copy, Debug, Default)]
struct Reach {
    strikes: u8,
    down_until: Timestamp,
}

/// The reachability of daemons and zones, as observed from earlier requests.
#[derive(Clone, Debug)]
pub(super) struct ReachTable {
    daemons: Vec<Reach>,
    zones: Vec<Reach>,
}

impl ReachTable {
    pub(super) fn new(zones: usize) -> Self {
        ReachTable {
            daemons: Vec::new(),
            zones: vec![Reach::default(); zones],
        }
    }

    pub(super) fn set_zones(&mut self, zones: usize) {
        self.zones.resize(zones, Reach::default());
    }

    pub(super) fn is_up(&self, daemon: DaemonId, zone: usize, now: Timestamp) -> bool {
        let up = |reach: &Reach| reach.down_until <= now;
        self.zones.get(zone).is_none_or(up) && self.daemons.get(daemon.index()).is_none_or(up)
    }

    pub(super) fn note_answer(&mut self, daemon: DaemonId, zone: usize) {
        *self.daemon(daemon) = Reach::default();
        self.zones[zone] = Reach::default();
    }

    /// Records that a request got no answer, and returns whether its receiver or the
    /// receiver's zone now counts as down. With `own`, that zone is this daemon's own,
    /// which never counts as down.
    pub(super) fn note_silence(
        &mut self,
        daemon: DaemonId,
        zone: usize,
        own: bool,
        until: Timestamp,
    ) -> bool {
        let mut down = self.daemon(daemon).strike(DAEMON_STRIKES, until);
        if !own {
            down |= self.zones[zone].strike(ZONE_STRIKES, until);
        }
        down
    }

    pub(super) fn note_down(&mut self, daemon: DaemonId, until: Timestamp) {
        self.daemon(daemon).down_until = until;
    }

    /// Records that a request is about to be sent to a daemon. If the daemon or its zone
    /// counted as down, it remains so until `until`, when the answer is due, so that only
    /// this one request probes it.
    pub(super) fn probe(&mut self, daemon: DaemonId, zone: usize, until: Timestamp) {
        let reach = self.daemon(daemon);
        if reach.strikes >= DAEMON_STRIKES {
            reach.down_until = until;
        }
        let reach = &mut self.zones[zone];
        if reach.strikes >= ZONE_STRIKES {
            reach.down_until = until;
        }
    }

    /// Returns the size of the heap allocations in bytes.
    pub(super) fn footprint(&self) -> usize {
        (self.daemons.capacity() + self.zones.capacity()) * size_of::<Reach>()
    }

    fn daemon(&mut self, daemon: DaemonId) -> &mut Reach {
        if self.daemons.len() <= daemon.index() {
            self.daemons.resize(daemon.index() + 1, Reach::default());
        }
        &mut self.daemons[daemon.index()]
    }
}

impl Reach {
    fn strike(&mut self, limit: u8, until: Timestamp) -> bool {
        self.strikes = self.strikes.saturating_add(1);
        if self.strikes < limit {
            return false;
        }
        self.down_until = until;
        true
    }
}
