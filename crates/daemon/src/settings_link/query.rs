//! Queries to other daemons for their view of the settings.

use std::time::Duration;

use comfreyramp_policy::{DaemonId, OfferDecision, Timestamp};
use comfreyramp_store::{PlatformStore, Revision};

use super::{PeerAnswer, PeerSilence, PeerSource, SettingsLink};

/// How often the task checks whether the plan wants a peer to be queried.
const QUERY_CHECK_INTERVAL: Duration = Duration::from_millis(50);

impl<S: PlatformStore, P: PeerSource> SettingsLink<S, P> {
    /// Queries other daemons whenever the plan says so.
    pub(super) async fn query_peers(&self) {
        loop {
            match self.next_peer() {
                Some(peer) => self.query(peer).await,
                None => tokio::time::sleep(QUERY_CHECK_INTERVAL).await,
            }
        }
    }

    /// Returns the peer to query now, if any.
    fn next_peer(&self) -> Option<DaemonId> {
        let now = self.clock.now();
        if !self.lock().plan.is_request_due(now) {
            return None;
        }
        let members = self.peers.members();
        let mut state = self.lock();
        let state = &mut *state;
        state.plan.set_members(&members);
        state.plan.next_request(now, &mut state.rng)
    }

    /// Queries a peer for the changes since the own view, and for its whole view if
    /// the changes don't reach back to the own one.
    async fn query(&self, peer: DaemonId) {
        let known = self.revision();
        let hold = self.hold_for(peer);
        let sent = self.clock.now();
        let answer = self.query_within(peer, known, hold).await;
        if self.handle_answer(peer, answer, sent) == Some(OfferDecision::Gap) {
            let sent = self.clock.now();
            let whole = self.query_within(peer, 0, Duration::ZERO).await;
            self.handle_answer(peer, whole, sent);
        }
    }

    async fn query_within(
        &self,
        peer: DaemonId,
        known: Revision,
        hold: Duration,
    ) -> Result<Option<PeerAnswer>, PeerSilence> {
        let limit = hold + self.settings.answer_timeout;
        let answer = tokio::time::timeout(limit, self.peers.query(peer, known, hold));
        answer
            .await
            .unwrap_or_else(|_| Err(PeerSilence(format!("it sent none within {limit:?}"))))
    }

    /// Returns how long a peer may hold its answer back while it has no changes.
    ///
    /// That is zero if the own view is stale, so that what the peer has arrives at
    /// once, and for a silent peer, to find out whether it is back. Waiting for a
    /// peer that hangs adds to the age of the own view.
    fn hold_for(&self, peer: DaemonId) -> Duration {
        let now = self.clock.now();
        let state = self.lock();
        let age = state.plan.age(now);
        let fresh = age.is_some_and(|it| it <= self.settings.freshness.fresh_within);
        if fresh && !state.plan.is_silent(peer) {
            self.settings.hold
        } else {
            Duration::ZERO
        }
    }

    fn handle_answer(
        &self,
        peer: DaemonId,
        answer: Result<Option<PeerAnswer>, PeerSilence>,
        sent: Timestamp,
    ) -> Option<OfferDecision> {
        let now = self.clock.now();
        let mut state = self.lock();
        let verdict = match answer {
            Ok(Some(answer)) => {
                let verdict = state.plan.apply_offer(peer, answer.offer, sent, now);
                if verdict == OfferDecision::Apply {
                    self.apply(&mut state, answer.changes);
                }
                Some(verdict)
            }
            Ok(None) => {
                state.plan.record_empty_answer(peer, now);
                None
            }
            Err(silence) => {
                log::debug!("settings: daemon {} is silent: {silence}", peer.0);
                state.plan.record_timeout(peer, now);
                None
            }
        };
        // A daemon that starts during an outage serves with an old view once enough
        // peers have answered or turned out to be silent, so silence can complete a
        // start, too.
        self.publish(&state);
        verdict
    }
}
