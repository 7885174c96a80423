//! Servers that answer with failures: what is recorded, logged and reported of them.

use comfreyramp_policy::{
    ServerId,
    placement::{
        AnswerEvidence, FailureCount, MAX_REPORTED_FAILURES, PlacementTable, SuspicionChange,
    },
    usage::PeerId,
};

use super::Node;
use crate::dialect::Dialect;

impl<D: Dialect> Node<D> {
    /// Records what the answer to the request of a customer, the hash of whose name is given,
    /// says of a server.
    pub fn record_answer(
        &self,
        request_id: &str,
        server: ServerId,
        customer: u64,
        evidence: AnswerEvidence,
    ) {
        let now = self.clock.now();
        let mut servers = self.servers.borrow_mut();
        let change = servers.record_answer(server, customer, evidence, now);
        if evidence != AnswerEvidence::Succeeded {
            self.metrics.server_failure(evidence.as_str());
            self.load_changed.notify_one();
        }
        if let Some(change) = change {
            log_change(&servers, server, change, request_id);
            // The first success after a server's recovery ends its suspicion everywhere.
            if change.is_recovery {
                self.urgent_report_due.notify_one();
            }
            drop(servers);
            self.update_failure_metrics();
        }
    }

    /// Applies a peer's report of servers that failed.
    pub(super) fn receive_failures(&self, peer: PeerId, failures: &[FailureCount]) {
        if failures.len() > MAX_REPORTED_FAILURES && !self.has_logged_failures.replace(true) {
            log::warn!(
                peer:? = peer, servers = failures.len(), read = MAX_REPORTED_FAILURES;
                "servers: a peer reports too many failing servers"
            );
        }
        let now = self.clock.now();
        let mut servers = self.servers.borrow_mut();
        let changes = servers.receive_failures(peer, failures, now);
        for (server, change) in &changes {
            log_change(&servers, *server, *change, "");
        }
        drop(servers);
        if !changes.is_empty() {
            self.update_failure_metrics();
        }
    }

    /// Updates the metric of suspected servers, some of which are suspected no more since
    /// their evidence is old.
    pub(super) fn update_failure_metrics(&self) {
        let now = self.clock.now();
        let suspected = self.servers.borrow().suspected_servers(now);
        self.metrics.suspected_servers.set(suspected as i64);
    }
}

/// Logs that a server is suspected, or no longer. `request_id` is that of the request whose
/// answer decided it; empty if it was a peer's report.
fn log_change(
    servers: &PlacementTable,
    server: ServerId,
    change: SuspicionChange,
    request_id: &str,
) {
    let what = match change.is_suspected {
        true => "servers: suspected of failing",
        false => "servers: no longer suspected of failing",
    };
    log::info!(
        server = servers.listing(server).name,
        request = request_id,
        is_recovery = change.is_recovery,
        level = change.level,
        weight = change.weight,
        failed = change.counts.failed,
        failed_alone = change.counts.failed_alone,
        succeeded = change.counts.succeeded,
        failure_age_ms = change.failure_age.map(|it| it.as_millis() as u64);
        "{what}"
    );
}
