//! Assignment of roles to daemons without coordination.

use super::MemberTable;
use crate::{DaemonId, ServerKey, Timestamp, ZoneId, hash::mix};

/// The number of daemons per zone that watch the platform for the others.
const WATCHERS: usize = 2;

/// Makes the ranking of watchers independent of the ranking for any server.
const WATCHER_SEED: u64 = 0x7761_7463_6865_7273;

impl MemberTable {
    /// Returns the home daemon of a server, through which its bulk work is sent: the
    /// daemon with the highest score for the server among the running daemons of the
    /// zone.
    ///
    /// A daemon that joins or leaves moves only the servers that become or were its
    /// own. While daemons disagree about a member, a server can have two homes; each of
    /// them sizes its share by its own measurements, so the server gets too much bulk
    /// work for some seconds, and no item is lost.
    pub fn home_daemon(&self, server: ServerKey, zone: ZoneId, now: Timestamp) -> Option<DaemonId> {
        self.ranked(server.0, zone, now)[0]
    }

    /// Returns the daemons that watch the platform for a zone and pass changes on to
    /// the others.
    ///
    /// There are two, so that one that was lost and still counts as alive leaves no
    /// gap. More than two for a moment are harmless: revisions decide which change is
    /// newer.
    pub fn watchers(&self, zone: ZoneId, now: Timestamp) -> Vec<DaemonId> {
        let ranked = self.ranked(WATCHER_SEED, zone, now);
        ranked.into_iter().flatten().collect()
    }

    /// Returns whether this daemon is one of its zone's watchers.
    pub fn is_watcher(&self, now: Timestamp) -> bool {
        let zone = self.entries[Self::OWN.index()].zone;
        self.watchers(zone, now).contains(&Self::OWN)
    }

    /// Returns the zone's running daemons with the highest scores for `seed`. The score
    /// uses no numbers that differ between daemons.
    fn ranked(&self, seed: u64, zone: ZoneId, now: Timestamp) -> [Option<DaemonId>; WATCHERS] {
        let mut best = [(0, None); WATCHERS];
        for daemon in self.alive(now) {
            let entry = &self.entries[daemon.index()];
            if entry.zone != zone {
                continue;
            }
            let mut next = (mix(mix(seed) ^ entry.key), Some(daemon));
            for best_entry in &mut best {
                if best_entry.1.is_none() || next.0 > best_entry.0 {
                    std::mem::swap(best_entry, &mut next);
                }
            }
        }
        best.map(|(_, daemon)| daemon)
    }
}
