//! What the answers to a live request say of the servers that gave them.

use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{AnswerEvidence, Placement, PlacementQuery},
};
use http::StatusCode;

use super::live_request::LiveRequest;
use crate::dialect::Dialect;

impl<D: Dialect> LiveRequest<D> {
    /// Records the status with which a server answered. A failure of a request that may run
    /// again counts once it is known how it fares at another server. An answer that the
    /// request's time has run out says nothing of the server: how slow it is, is learnt from
    /// its hold times.
    pub(super) fn record_status(&mut self, server: ServerId, status: StatusCode) {
        if status == StatusCode::GATEWAY_TIMEOUT {
            return;
        }
        if status.is_success() {
            self.record_evidence(server, AnswerEvidence::Succeeded);
            if let Some(failed_at) = self.failed_at.take() {
                self.record_evidence(failed_at, AnswerEvidence::FailedAlone);
            }
        } else if status.is_server_error() {
            if let Some(failed_at) = self.failed_at.take() {
                self.record_evidence(failed_at, AnswerEvidence::FailedLikeOthers);
                self.record_evidence(server, AnswerEvidence::FailedLikeOthers);
            } else if self.may_run_again() {
                self.failed_at = Some(server);
            } else {
                self.record_evidence(server, AnswerEvidence::Failed);
            }
        }
    }

    fn record_evidence(&self, server: ServerId, evidence: AnswerEvidence) {
        self.node
            .record_answer(&self.request_id, server, self.customer_name(), evidence);
    }

    fn may_run_again(&self) -> bool {
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
