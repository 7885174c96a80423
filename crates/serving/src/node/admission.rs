//! Who is let in: customers' rates, and requests that break servers.

use std::time::Duration;

use super::Node;
use crate::{
    dialect::Dialect,
    fleet::KnownCustomer,
    model::{Refusal, RefusalCause},
};

/// How long a request waits for words of other daemons that decide whether it is let in:
/// one look for those nearby, and one for all.
const WORD_WAITS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(10)];
/// Others are asked no more often than this, however many requests wait. Who answered is
/// in no doubt for about as long, and who didn't won't a moment later; asked by all daemons
/// for each request, a fleet behind a cut would be busy with answers.
const ASK_INTERVAL: Duration = Duration::from_millis(250);

impl<D: Dialect> Node<D> {
    /// Hears other daemons out before a request is refused for what they may have let in
    /// since their last word. In a large fleet that is most of a second old, and a
    /// customer with a small burst would be refused with all of its tokens there.
    pub async fn settle_doubt(&self, customer: &KnownCustomer) {
        for wait in WORD_WAITS {
            let now = self.clock.now();
            if !self
                .usage
                .borrow_mut()
                .is_refused_by_doubt(customer.number, now)
            {
                return;
            }
            let asked_at = self.words_asked_at.get();
            if asked_at.is_none_or(|it| now.since(it) >= ASK_INTERVAL) {
                self.words_asked_at.set(Some(now));
                self.ask_words(self.usage.borrow().doubted_peers(now));
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Refuses a request whose customer is over its rate.
    ///
    /// # Errors
    ///
    /// The refusal tells when a request will be let in.
    pub fn check_rate(&self, customer: &KnownCustomer, request_id: &str) -> Result<(), Refusal> {
        let now = self.clock.now();
        let checked = self.usage.borrow_mut().check(customer.number, now);
        checked.map_err(|retry_after| self.over_rate(customer, request_id, retry_after))
    }

    /// Counts a request in that is about to be sent.
    ///
    /// # Errors
    ///
    /// Others may have used the rate up since it was checked.
    pub fn admit(&self, customer: &KnownCustomer, request_id: &str) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut usage = self.usage.borrow_mut();
        let admitted = usage.admit(customer.number, now);
        if usage.is_tell_urgent(customer.number) {
            self.tell_wanted.notify_one();
        }
        drop(usage);
        self.load_changed.notify_one();
        admitted.map_err(|retry_after| self.over_rate(customer, request_id, retry_after))
    }

    fn over_rate(
        &self,
        customer: &KnownCustomer,
        request_id: &str,
        retry_after: Duration,
    ) -> Refusal {
        let now = self.clock.now();
        let usage = self.usage.borrow();
        let level = usage.level(customer.number);
        let is_doubt = usage.is_refused_by_doubt(customer.number, now);
        log::info!(
            request = request_id, customer = customer.settings.name,
            rate = customer.settings.rate.unwrap_or_default(), level = level,
            by_doubt = is_doubt, unheard = usage.doubted_peers(now).len();
            "rates: over the rate"
        );
        self.metrics
            .refusal(&customer.settings.name, RefusalCause::OverRate.as_str());
        Refusal::new(RefusalCause::OverRate).retry_after(retry_after)
    }

    /// Notes that a server broke off at a request.
    pub fn note_crash(&self, fingerprint: u64) {
        let now = self.clock.now();
        self.suspects.borrow_mut().note(fingerprint, now);
    }

    /// Whether servers broke off at a request too often.
    pub fn is_suspect(&self, fingerprint: u64) -> bool {
        self.suspects
            .borrow()
            .is_suspect(fingerprint, self.clock.now())
    }
}
