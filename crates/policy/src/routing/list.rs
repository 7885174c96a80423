//! Application of the VM list to the server table.

use std::time::Duration;

use super::{ServerEntry, ServerHealth, ServerKey, ServerState, ServerTable};
use crate::{GroupId, ServerId, Timestamp, ZoneId};

/// How long a server may be missing from the list before it is dropped.
const MISSING_GRACE: Duration = Duration::from_secs(30);

/// The grace period while the list lacks more than half of the known servers. Such a
/// list is probably wrong; connection failures reveal dead servers sooner.
const SHORT_LIST_GRACE: Duration = Duration::from_secs(600);

/// How long the list must show a leaving server as live before it is reinstated. Lists
/// from replicas of different age contradict each other for a while.
const REINSTATE_AFTER: Duration = Duration::from_secs(30);

/// A backend server as listed by the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListedServer {
    /// The name that the platform uses for it.
    pub name: String,
    /// Where it listens, as `ip:port`.
    pub address: String,
    /// Its zone.
    pub zone: ZoneId,
    /// Its group.
    pub group: GroupId,
    /// Whether the server is being shut down.
    pub leaving: bool,
}

/// The changes that a list caused.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListOutcome {
    /// Servers that were added.
    pub added: Vec<ServerId>,
    /// Servers that started to leave.
    pub leaving: Vec<ServerId>,
    /// Servers that were dropped.
    pub dropped: Vec<ServerId>,
    /// The number of servers that are missing from the list and kept for now.
    pub missing: usize,
    /// Whether the list was ignored because it was empty.
    pub ignored: bool,
}

impl ServerTable {
    /// Applies a VM list, which may be late, empty or wrong.
    ///
    /// - An empty list is ignored: a fleet without servers looks the same as a platform
    ///   that lost its list, and only the latter occurs.
    /// - A leaving server gets no new requests from now on.
    /// - A missing server is kept while it answers, and otherwise dropped after a grace
    ///   period.
    pub fn apply_list(&mut self, listed: &[ListedServer], now: Timestamp) -> ListOutcome {
        let mut outcome = ListOutcome::default();
        if listed.is_empty() {
            outcome.ignored = true;
            outcome.dropped = self.expire(now);
            return outcome;
        }
        let known = self.by_name.len();
        let mut seen = vec![false; self.entries.len()];
        for vm in listed {
            let server = self.apply_vm(vm, now, &mut outcome);
            if let Some(mark) = seen.get_mut(server.index()) {
                *mark = true;
            }
        }
        for &server in &self.by_name {
            if seen.get(server.index()) == Some(&false) {
                let entry = &mut self.entries[server.index()];
                entry.missing_since.get_or_insert(now);
                entry.live_since = None;
                outcome.missing += 1;
            }
        }
        self.last_list_short = outcome.missing * 2 > known;
        outcome.dropped = self.expire(now);
        outcome.missing -= outcome.dropped.len().min(outcome.missing);
        self.rebuild_pools();
        outcome
    }

    /// Drops the servers whose grace period has passed. Has to be called every few
    /// seconds while no list arrives.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ServerId> {
        let grace = if self.last_list_short {
            SHORT_LIST_GRACE
        } else {
            MISSING_GRACE
        };
        let mut dropped = Vec::new();
        for &server in &self.by_name {
            let entry = &self.entries[server.index()];
            let Some(since) = entry.missing_since else {
                continue;
            };
            let answers = entry.health.answered_within(MISSING_GRACE, now);
            if now.since(since) >= grace && !answers {
                dropped.push(server);
            }
        }
        for &server in &dropped {
            self.entries[server.index()].state = ServerState::Dropped;
        }
        if !dropped.is_empty() {
            let entries = &self.entries;
            self.by_name
                .retain(|server| entries[server.index()].state != ServerState::Dropped);
            self.rebuild_pools();
        }
        dropped
    }

    fn apply_vm(
        &mut self,
        vm: &ListedServer,
        now: Timestamp,
        outcome: &mut ListOutcome,
    ) -> ServerId {
        let at = match self.position(&vm.name) {
            Ok(at) => at,
            Err(at) => {
                let server = self.insert(vm);
                self.by_name.insert(at, server);
                outcome.added.push(server);
                return server;
            }
        };
        let server = self.by_name[at];
        let entry = &mut self.entries[server.index()];
        entry.missing_since = None;
        if entry.address != vm.address {
            // The name was reassigned to another machine, to which the failures and the load of
            // the previous one don't apply.
            entry.address.clone_from(&vm.address);
            entry.health = ServerHealth::default();
            entry.load.forget_reports();
        }
        entry.zone = vm.zone;
        entry.group = vm.group;
        if vm.leaving {
            if entry.state == ServerState::Live {
                outcome.leaving.push(server);
            }
            entry.state = ServerState::Leaving;
            entry.live_since = None;
        } else if entry.state == ServerState::Leaving {
            let since = *entry.live_since.get_or_insert(now);
            if now.since(since) >= REINSTATE_AFTER {
                entry.state = ServerState::Live;
            }
        }
        server
    }

    fn insert(&mut self, vm: &ListedServer) -> ServerId {
        let entry = ServerEntry {
            name: vm.name.clone(),
            key: ServerKey::of(&vm.name),
            address: vm.address.clone(),
            zone: vm.zone,
            group: vm.group,
            state: if vm.leaving {
                ServerState::Leaving
            } else {
                ServerState::Live
            },
            ..ServerEntry::default()
        };
        // An index is reused only when nothing is in flight any more, so that the end of an old
        // request isn't counted on a new server.
        let free = self
            .entries
            .iter()
            .position(|it| it.state == ServerState::Dropped && it.load.in_flight == 0);
        if let Some(at) = free {
            self.entries[at] = entry;
            return ServerId(at as u32);
        }
        self.entries.push(entry);
        ServerId((self.entries.len() - 1) as u32)
    }
}
