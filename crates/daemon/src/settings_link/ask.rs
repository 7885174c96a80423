//! Asking other daemons for their view of the settings.

use std::time::Duration;

use comfreyramp_policy::{DaemonId, OfferDecision, Timestamp};
use comfreyramp_store::{PlatformStore, Revision};

use super::{PeerAnswer, PeerSilence, PeerSource, SettingsLink};

/// How often the plan is asked whether it is time to ask somebody.
const ASK_TICK: Duration = Duration::from_millis(50);

impl<S: PlatformStore, P: PeerSource> SettingsLink<S, P> {
    /// Asks other daemons whenever the plan says so.
    pub(super) async fn ask_peers(&self) {
        loop {
            match self.next_ask() {
                Some(peer) => self.ask(peer).await,
                None => tokio::time::sleep(ASK_TICK).await,
            }
        }
    }

    fn next_ask(&self) -> Option<DaemonId> {
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

    async fn ask(&self, peer: DaemonId) {
        let known = self.revision();
        let hold = self.hold(peer);
        let sent = self.clock.now();
        let answer = self.ask_within(peer, known, hold).await;
        if self.take_answer(peer, answer, sent) == Some(OfferDecision::Gap) {
            let sent = self.clock.now();
            let whole = self.ask_within(peer, 0, Duration::ZERO).await;
            self.take_answer(peer, whole, sent);
        }
    }

    async fn ask_within(
        &self,
        peer: DaemonId,
        known: Revision,
        hold: Duration,
    ) -> Result<Option<PeerAnswer>, PeerSilence> {
        let limit = hold + self.settings.ask_timeout;
        let asked = tokio::time::timeout(limit, self.peers.ask(peer, known, hold));
        asked
            .await
            .unwrap_or_else(|_| Err(PeerSilence(format!("nothing within {limit:?}"))))
    }

    /// With a fresh view a peer may wait for news. With an old one we want to
    /// hear at once what it has, and of a silent peer whether it is back: the
    /// wait for those that hang adds to the age of our view.
    fn hold(&self, peer: DaemonId) -> Duration {
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

    fn take_answer(
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
        // Silence, too, can be what a start during an outage waited for.
        self.publish(&state);
        verdict
    }
}
