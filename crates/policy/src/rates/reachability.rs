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
struct Reachability {
    failures: u8,
    down_until: Timestamp,
}

/// The reachability of daemons and zones, as observed from earlier requests.
#[derive(Clone, Debug)]
pub(super) struct ReachabilityTable {
    daemons: Vec<Reachability>,
    zones: Vec<Reachability>,
}

impl ReachabilityTable {
    pub(super) fn new(zones: usize) -> Self {
        ReachabilityTable {
            daemons: Vec::new(),
            zones: vec![Reachability::default(); zones],
        }
    }

    pub(super) fn set_zones(&mut self, zones: usize) {
        self.zones.resize(zones, Reachability::default());
    }

    pub(super) fn is_up(&self, daemon: DaemonId, zone: usize, now: Timestamp) -> bool {
        let is_up_now = |reachability: &Reachability| reachability.down_until <= now;
        self.zones.get(zone).is_none_or(is_up_now)
            && self.daemons.get(daemon.index()).is_none_or(is_up_now)
    }

    pub(super) fn note_answer(&mut self, daemon: DaemonId, zone: usize) {
        *self.daemon(daemon) = Reachability::default();
        self.zones[zone] = Reachability::default();
    }

    /// Records that a request got no answer, and returns whether its receiver or the
    /// receiver's zone now counts as down. With `own`, that zone is this daemon's own,
    /// which never counts as down.
    pub(super) fn note_timeout(
        &mut self,
        daemon: DaemonId,
        zone: usize,
        own: bool,
        until: Timestamp,
    ) -> bool {
        let mut down = self
            .daemon(daemon)
            .record_failure(MAX_DAEMON_FAILURES, until);
        if !own {
            down |= self.zones[zone].record_failure(MAX_ZONE_FAILURES, until);
        }
        down
    }

    pub(super) fn note_down(&mut self, daemon: DaemonId, until: Timestamp) {
        self.daemon(daemon).down_until = until;
    }

    /// Records that a request is about to be sent to a daemon. If the daemon or its zone
    /// counted as down, it remains so until `until`, when the answer is due, so that only
    /// this one request probes it.
    pub(super) fn start_probe(&mut self, daemon: DaemonId, zone: usize, until: Timestamp) {
        let reachability = self.daemon(daemon);
        if reachability.failures >= MAX_DAEMON_FAILURES {
            reachability.down_until = until;
        }
        let reachability = &mut self.zones[zone];
        if reachability.failures >= MAX_ZONE_FAILURES {
            reachability.down_until = until;
        }
    }

    /// Returns the size of the heap allocations in bytes.
    pub(super) fn heap_size(&self) -> usize {
        (self.daemons.capacity() + self.zones.capacity()) * size_of::<Reachability>()
    }

    fn daemon(&mut self, daemon: DaemonId) -> &mut Reachability {
        if self.daemons.len() <= daemon.index() {
            self.daemons
                .resize(daemon.index() + 1, Reachability::default());
        }
        &mut self.daemons[daemon.index()]
    }
}

impl Reachability {
    fn record_failure(&mut self, limit: u8, until: Timestamp) -> bool {
        self.failures = self.failures.saturating_add(1);
        if self.failures < limit {
            return false;
        }
        self.down_until = until;
        true
    }
}
