//! Application of the VM list to the member table.

use std::time::Duration;

use super::{MemberEntry, MemberTable};
use crate::{DaemonId, Timestamp, ZoneId};

/// How long a silent daemon that isn't listed is kept.
const MISSING_GRACE: Duration = Duration::from_secs(120);

/// How long the id of a dropped daemon isn't reused.
const ID_REUSE_DELAY: Duration = Duration::from_secs(3600);

/// A daemon as listed by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedDaemon {
    /// The name that the platform uses for its VM.
    pub name: String,
    /// Its zone.
    pub zone: ZoneId,
    /// The address for its peers, as `ip:port`.
    pub address: String,
    /// Whether its VM is being shut down.
    pub leaving: bool,
}

impl MemberTable {
    /// Applies a VM list, which may be late, empty or wrong. An empty one is ignored,
    /// since the fleet contains at least this daemon.
    ///
    /// The list adds daemons and removes silent ones. Whether a daemon that sends
    /// messages is running is determined by its heartbeats.
    pub fn apply_list(&mut self, listed: &[ListedDaemon], now: Timestamp) {
        if listed.is_empty() {
            return;
        }
        for entry in &mut self.entries {
            entry.listed = false;
        }
        for vm in listed {
            self.apply_vm(vm, now);
        }
        self.drop_silent(now);
    }

    fn apply_vm(&mut self, vm: &ListedDaemon, now: Timestamp) {
        let daemon = match self.position(&vm.name) {
            Ok(at) => self.by_name[at],
            Err(at) => {
                let daemon = self.insert(&vm.name, now);
                self.by_name.insert(at, daemon);
                daemon
            }
        };
        let entry = &mut self.entries[daemon.index()];
        entry.listed = true;
        entry.listed_leaving = vm.leaving;
        if entry.last_received_at.is_none() {
            entry.zone = vm.zone;
            entry.address.clone_from(&vm.address);
        }
    }

    fn drop_silent(&mut self, now: Timestamp) {
        let mut dropped: Vec<DaemonId> = Vec::new();
        for &daemon in &self.by_name {
            let entry = &mut self.entries[daemon.index()];
            let last_received_at = entry.last_received_at.unwrap_or(entry.known_since);
            let silent = now.since(last_received_at) >= MISSING_GRACE;
            if silent && !entry.listed && daemon != Self::OWN {
                entry.dropped_at = Some(now);
                dropped.push(daemon);
            }
        }
        self.by_name.retain(|it| !dropped.contains(it));
    }
}

impl MemberEntry {
    /// Returns whether the id may be reused. For a while, notices and acknowledgements
    /// of the previous daemon could still arrive under it.
    pub(super) fn is_free(&self, now: Timestamp) -> bool {
        self.dropped_at
            .is_some_and(|at| now.since(at) >= ID_REUSE_DELAY)
    }
}
