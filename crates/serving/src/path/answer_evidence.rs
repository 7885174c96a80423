//! What the answers to a live request say of the servers that gave them.

use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{AnswerEvidence, Placement, PlacementQuery},
};
use http::StatusCode;

use super::live_request::LiveRequest;
use crate::dialect::Dialect;

/// Returns whether a status says that the server works, or that it fails; `None` if it says
/// neither. An answer that the request's time has run out doesn't: how slow a server is, is
/// learnt from its hold times.
pub fn has_server_succeeded(status: StatusCode) -> Option<bool> {
    match status {
        StatusCode::GATEWAY_TIMEOUT => None,
        _ if status.is_success() => Some(true),
        _ => status.is_server_error().then_some(false),
    }
}

impl<D: Dialect> LiveRequest<D> {
    /// Records the status with which a server answered. A failure of a request that may run
    /// again counts once it is known how it fares at another server.
    pub(super) fn record_status(&mut self, server: ServerId, status: StatusCode) {
        let Some(has_succeeded) = has_server_succeeded(status) else {
            return;
        };
        if has_succeeded {
            self.record_evidence(server, AnswerEvidence::Succeeded);
            if let Some(failed_at) = self.failed_at.take() {
                self.record_evidence(failed_at, AnswerEvidence::FailedAlone);
            }
        } else if let Some(failed_at) = self.failed_at.take() {
            self.record_evidence(failed_at, AnswerEvidence::FailedLikeOthers);
            self.record_evidence(server, AnswerEvidence::FailedLikeOthers);
        } else if self.may_run_again() {
            self.failed_at = Some(server);
        } else {
            self.record_evidence(server, AnswerEvidence::Failed);
        }
    }

    fn record_evidence(&self, server: ServerId, evidence: AnswerEvidence) {
        let customer = self.customer.as_ref().map_or(0, |it| it.name_hash);
        self.node
            .record_answer(&self.request_id, server, customer, evidence);
    }

    /// Returns whether the request may run on another server after the last one.
    pub(super) fn may_run_again(&self) -> bool {
        self.route.kind.is_idempotent() && self.runs < self.route.attempts
    }

    /// Chooses a suspected server if the request may run again elsewhere and one is due for
    /// a trial.
    pub(super) fn choose_trial(
        &self,
        query: PlacementQuery<'_>,
        now: Timestamp,
    ) -> Option<Placement> {
        if self.runs > 0 || self.route.attempts < 2 || !self.may_run_again() {
            return None;
        }
        let mut servers = self.node.servers.borrow_mut();
        let placement = servers.choose_trial(query, now, &mut rand::rng())?;
        log::info!(
            request = self.request_id, server = servers.listing(placement.server).name,
            live = placement.load.live, bulk = placement.load.bulk;
            "servers: a suspected server is tried"
        );
        Some(placement)
    }
}
