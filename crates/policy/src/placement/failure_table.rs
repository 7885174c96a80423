//! The choice of servers where some of them answer with failures.

use rand::Rng;

use super::{
    Placement, PlacementQuery, PlacementTable,
    server_entry::ServerEntry,
    server_failures::{
        AnswerEvidence, FailureCount, MAX_REPORTED_FAILURES, MAX_UNPROVEN_WEIGHT, SuspicionChange,
    },
};
use crate::{ServerId, Timestamp, hash::mix, usage::PeerId};

impl PlacementTable {
    /// Records what the answer to a request of a customer, the hash of whose name is given,
    /// says of a server. Returns whether the server is now suspected, if that has changed.
    pub fn record_answer(
        &mut self,
        id: ServerId,
        customer: u64,
        evidence: AnswerEvidence,
        now: Timestamp,
    ) -> Option<SuspicionChange> {
        let entry = &self.servers[id.index()];
        let server = entry.key;
        let customer = mix(customer ^ entry.service_key);
        let was_suspected = entry.failures.is_suspected(now);
        let weight = match evidence {
            AnswerEvidence::Succeeded | AnswerEvidence::FailedLikeOthers => 0.0,
            AnswerEvidence::FailedAlone => 1.0,
            AnswerEvidence::Failed => {
                let is_proved = |key| {
                    let mut servers = self.servers.iter();
                    servers.any(|it| it.key == key && it.failures.is_proved(now))
                };
                let weight = self.customers.weight(customer, server, is_proved, now);
                weight.min(MAX_UNPROVEN_WEIGHT)
            }
        };
        let counts = match evidence {
            AnswerEvidence::Failed if weight > 0.0 => self.record_unproven(server, now),
            AnswerEvidence::FailedAlone => {
                self.unproven.record_proof(now);
                self.servers[id.index()].failures.record_proof(now);
                true
            }
            AnswerEvidence::FailedLikeOthers => {
                self.servers[id.index()].failures.record_alike(now);
                false
            }
            _ => true,
        };
        let has_succeeded = evidence == AnswerEvidence::Succeeded;
        self.customers.record(customer, server, has_succeeded, now);
        let record = &mut self.servers[id.index()].failures;
        let is_alone = evidence == AnswerEvidence::FailedAlone;
        match has_succeeded {
            true => record.record_success(now),
            false if counts => record.record_failure(weight, is_alone, now),
            // Peers may not know yet that such failures occur at many servers.
            false => record.count_failure(weight, is_alone, now),
        }
        record.change(was_suspected, server, now)
    }

    /// Returns the servers at which this daemon's requests failed lately, at most
    /// [`MAX_REPORTED_FAILURES`], those that failed last first.
    pub fn own_failures(&self, now: Timestamp) -> Vec<FailureCount> {
        let reports = self.servers.iter();
        let mut reports: Vec<_> = reports
            .filter_map(|it| it.failures.report(it.key, now))
            .collect();
        reports.sort_unstable_by_key(|it| (it.0, it.1.server));
        reports.truncate(MAX_REPORTED_FAILURES);
        reports.into_iter().map(|it| it.1).collect()
    }

    /// Applies a peer's report of servers that failed. Returns the servers that are, or are
    /// no longer, suspected since.
    pub fn receive_failures(
        &mut self,
        peer: PeerId,
        failures: &[FailureCount],
        now: Timestamp,
    ) -> Vec<(ServerId, SuspicionChange)> {
        let mut received = Vec::new();
        for counts in failures.iter().take(MAX_REPORTED_FAILURES) {
            let named = |it: &ServerEntry| it.is_listed && it.key == counts.server;
            let Some(index) = self.servers.iter().position(named) else {
                continue;
            };
            let record = &mut self.servers[index].failures;
            let was_suspected = record.is_suspected(now);
            received.push((index, was_suspected, record.receive(peer, *counts, now)));
        }
        // A proof at one server decides how unproven failures at the others count.
        for (index, _, change) in &received {
            for _ in 0..change.failed_alone {
                self.unproven.record_proof(now);
                let entry = &mut self.servers[*index];
                entry.failures.record_proof(now);
                entry.failures.apply_failure(1.0, now);
            }
        }
        for (index, _, change) in &received {
            for _ in 0..change.unproven {
                let counts = self.record_unproven(self.servers[*index].key, now);
                let has_proof = self.unproven.has_proof(now);
                let entry = &mut self.servers[*index];
                // The home daemons make trials. Others would only spread the suspicion.
                if counts && (has_proof || entry.is_used_first(now)) {
                    entry.failures.apply_failure(MAX_UNPROVEN_WEIGHT, now);
                }
            }
        }
        let mut changes = Vec::new();
        for (index, was_suspected, change) in received {
            let entry = &mut self.servers[index];
            for _ in 0..change.succeeded {
                entry.failures.apply_success(now);
            }
            if let Some(change) = entry.failures.change(was_suspected, entry.key, now) {
                changes.push((ServerId(index as u32), change));
            }
        }
        changes
    }

    /// Records an unproven failure. Returns whether it counts against the server. If such
    /// failures occur at too many servers, the former ones count no longer either.
    fn record_unproven(&mut self, server: u64, now: Timestamp) -> bool {
        let counts = self.unproven.record(server, now);
        if !counts {
            for entry in &mut self.servers {
                if self.unproven.contains(entry.key) {
                    entry.failures.withdraw_unproven(now);
                }
            }
        }
        counts
    }

    /// Returns whether a server is suspected of failing.
    pub fn is_suspected(&self, id: ServerId, now: Timestamp) -> bool {
        self.servers[id.index()].failures.is_suspected(now)
    }

    /// Returns whether a server gets no requests but trials since it is suspected.
    pub fn avoids(&self, id: ServerId, now: Timestamp) -> bool {
        let entry = &self.servers[id.index()];
        entry.failures.is_suspected(now) && self.avoids_suspected(&entry.listing.service, now)
    }

    /// Returns the number of suspected servers.
    pub fn suspected_servers(&self, now: Timestamp) -> usize {
        let listed = self.servers.iter().filter(|it| it.is_listed);
        listed.filter(|it| it.failures.is_suspected(now)).count()
    }

    /// Returns whether the suspected servers of a service are avoided: at most half of its
    /// usable servers are suspected. If more fail, the fault is probably that of the service
    /// or its requests.
    pub(super) fn avoids_suspected(&self, service: &str, now: Timestamp) -> bool {
        let (mut usable, mut suspected) = (0, 0);
        for entry in self.servers.iter().filter(|it| it.is_usable(service)) {
            usable += 1;
            suspected += usize::from(entry.failures.is_suspected(now));
        }
        suspected > 0 && suspected * 2 <= usable
    }

    /// Chooses a suspected server for a request that may run again, if one is due for a
    /// trial, which shows whether the server still fails. While some are suspected, idle
    /// servers are tried too: a server that fails at once is always idle.
    pub fn choose_trial(
        &mut self,
        query: PlacementQuery<'_>,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Option<Placement> {
        if !self.avoids_suspected(query.service, now) {
            return None;
        }
        let is_candidate = |index: &usize| {
            let entry = &self.servers[*index];
            entry.is_usable(query.service)
                && entry.has_software(query.software)
                && entry.is_used_first(now)
                && !query.exclude.contains(&ServerId(*index as u32))
                && !entry.is_avoided(now)
                && (entry.failures.is_trial_due(now)
                    || (entry.load.is_idle(now) && entry.failures.is_check_due(now)))
                && entry.cold_start.has_room(now)
                && entry.load.has_free_slot(now)
        };
        let candidates = (0..self.servers.len()).filter(is_candidate);
        // A suspected server waits for its trial.
        let index = candidates.min_by_key(|it| {
            let is_suspected = self.servers[*it].failures.is_suspected(now);
            (!is_suspected, random.random::<u32>())
        })?;
        let entry = &mut self.servers[index];
        entry.failures.record_trial(now);
        Some(Placement {
            server: ServerId(index as u32),
            expected_wait: entry.load.expected_wait(now),
            load: entry.load.total(now),
        })
    }
}
