//! The table of daemons that this daemon knows.

use std::time::Duration;

use crate::{DaemonId, Incarnation, Timestamp, ZoneId, hash::name_hash};

/// The interval between heartbeats to a daemon of the own zone.
pub(super) const SAME_ZONE_INTERVAL: Duration = Duration::from_secs(2);

/// The interval between heartbeats to a daemon of another zone. Most of the fleet is in
/// other zones, and what depends on these heartbeats is less urgent.
pub(super) const OTHER_ZONE_INTERVAL: Duration = Duration::from_secs(20);

/// The number of heartbeat intervals without a message after which a daemon counts as
/// gone.
const MAX_MISSED_HEARTBEATS: u32 = 3;

/// A daemon's report about itself. Any other message from the daemon counts as one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// The daemon's name in the VM list.
    pub name: String,
    /// The daemon's zone.
    pub zone: ZoneId,
    /// The address for its peers, as `ip:port`.
    pub address: String,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// Whether the daemon is about to stop.
    pub leaving: bool,
}

/// The change of state that a heartbeat revealed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// Nothing has changed.
    Unchanged(DaemonId),
    /// The daemon was unknown, or had been silent for long.
    Joined(DaemonId),
    /// The daemon was restarted and has lost its state.
    Restarted(DaemonId),
    /// The daemon is about to stop.
    Leaving(DaemonId),
}

/// The state of one daemon.
#[derive(Clone, Debug, Default)]
pub struct MemberEntry {
    /// The daemon's name in the VM list.
    pub name: String,
    /// The daemon's zone.
    pub zone: ZoneId,
    /// The address for its peers, as `ip:port`.
    pub address: String,
    /// The incarnation of its process, if a message has been received from it.
    pub incarnation: Option<Incarnation>,
    pub(super) key: u64,
    pub(super) known_since: Timestamp,
    pub(super) last_received_at: Option<Timestamp>,
    pub(super) is_unreachable: bool,
    pub(super) last_sent_at: Option<Timestamp>,
    pub(super) listed: bool,
    pub(super) listed_leaving: bool,
    pub(super) reported_leaving: bool,
    pub(super) dropped_at: Option<Timestamp>,
}

/// The daemons that this one knows, indexed by [`DaemonId`]; the daemon itself has id
/// 0.
#[derive(Clone, Debug)]
pub struct MemberTable {
    pub(super) entries: Vec<MemberEntry>,
    /// All daemons that aren't dropped, sorted by name.
    pub(super) by_name: Vec<DaemonId>,
}

impl MemberTable {
    /// The id of the daemon itself.
    pub const OWN: DaemonId = DaemonId(0);

    /// Creates a table that contains only the daemon itself.
    pub fn new(own: &Heartbeat, now: Timestamp) -> Self {
        let mut table = MemberTable {
            entries: Vec::new(),
            by_name: Vec::new(),
        };
        table.heartbeat(own, now);
        table
    }

    /// Returns the entry of a daemon.
    pub fn entry(&self, daemon: DaemonId) -> Option<&MemberEntry> {
        self.entries.get(daemon.index())
    }

    /// Returns the daemon with this name.
    pub fn find(&self, name: &str) -> Option<DaemonId> {
        self.position(name).ok().map(|at| self.by_name[at])
    }

    /// Applies a heartbeat, or any other message of a daemon.
    ///
    /// The daemon needn't be listed: the list is delayed, and a daemon that sends
    /// messages is running.
    pub fn heartbeat(&mut self, heartbeat: &Heartbeat, now: Timestamp) -> MemberEvent {
        let position = self.position(&heartbeat.name);
        let daemon = match position {
            Ok(at) => self.by_name[at],
            Err(at) => {
                let daemon = self.insert(&heartbeat.name, now);
                self.by_name.insert(at, daemon);
                daemon
            }
        };
        let was_alive = position.is_ok() && self.is_alive(daemon, now);
        let entry = &mut self.entries[daemon.index()];
        let before = entry.incarnation.replace(heartbeat.incarnation);
        let restarted = before.is_some_and(|it| it != heartbeat.incarnation);
        if restarted {
            entry.reported_leaving = false;
        }
        let leaves = heartbeat.leaving && !entry.reported_leaving;
        entry.reported_leaving |= heartbeat.leaving;
        entry.zone = heartbeat.zone;
        entry.address.clone_from(&heartbeat.address);
        entry.last_received_at = Some(now);
        entry.is_unreachable = false;
        if leaves {
            MemberEvent::Leaving(daemon)
        } else if restarted {
            MemberEvent::Restarted(daemon)
        } else if !was_alive && !entry.reported_leaving {
            MemberEvent::Joined(daemon)
        } else {
            MemberEvent::Unchanged(daemon)
        }
    }

    /// Records that a daemon's connections broke and can't be reopened. It counts as
    /// gone until a message from it arrives.
    pub fn mark_unreachable(&mut self, daemon: DaemonId) {
        if daemon == Self::OWN {
            return;
        }
        if let Some(entry) = self.entries.get_mut(daemon.index()) {
            entry.is_unreachable = true;
        }
    }

    /// Returns whether a daemon is assumed to be running.
    pub fn is_alive(&self, daemon: DaemonId, now: Timestamp) -> bool {
        let Some(entry) = self.entry(daemon) else {
            return false;
        };
        if entry.dropped_at.is_some() || entry.reported_leaving || entry.is_unreachable {
            return false;
        }
        if daemon == Self::OWN {
            return true;
        }
        let limit = self.heartbeat_interval(entry) * MAX_MISSED_HEARTBEATS;
        // A listed daemon from which nothing has been received yet may be starting.
        let last_received_at = entry.last_received_at.unwrap_or(entry.known_since);
        !entry.listed_leaving && now.since(last_received_at) < limit
    }

    /// Returns the daemons that are assumed to be running, including this one, sorted
    /// by name.
    pub fn alive(&self, now: Timestamp) -> impl Iterator<Item = DaemonId> {
        let members = self.by_name.iter().copied();
        members.filter(move |&it| self.is_alive(it, now))
    }

    /// Returns the daemons to which a heartbeat is due, and records it as sent.
    ///
    /// Silent daemons get heartbeats too, so that both sides of a network partition
    /// find each other again.
    pub fn due_heartbeats(&mut self, now: Timestamp) -> Vec<DaemonId> {
        let mut due = Vec::new();
        for &daemon in &self.by_name {
            let entry = &self.entries[daemon.index()];
            let interval = self.heartbeat_interval(entry);
            let is_due = entry
                .last_sent_at
                .is_none_or(|at| now.since(at) >= interval);
            if daemon != Self::OWN && is_due {
                due.push(daemon);
            }
        }
        for daemon in &due {
            self.entries[daemon.index()].last_sent_at = Some(now);
        }
        due
    }

    pub(super) fn position(&self, name: &str) -> Result<usize, usize> {
        self.by_name
            .binary_search_by(|daemon| self.entries[daemon.index()].name.as_str().cmp(name))
    }

    pub(super) fn insert(&mut self, name: &str, now: Timestamp) -> DaemonId {
        let entry = MemberEntry {
            name: name.to_owned(),
            key: name_hash(name),
            known_since: now,
            ..MemberEntry::default()
        };
        let free = self.entries.iter().position(|it| it.is_free(now));
        if let Some(at) = free {
            self.entries[at] = entry;
            return DaemonId(at as u32);
        }
        self.entries.push(entry);
        DaemonId((self.entries.len() - 1) as u32)
    }

    fn heartbeat_interval(&self, entry: &MemberEntry) -> Duration {
        if entry.zone == self.entries[Self::OWN.index()].zone {
            SAME_ZONE_INTERVAL
        } else {
            OTHER_ZONE_INTERVAL
        }
    }
}
