//! Who is let in: customers' rates, and requests that break servers.

use std::time::Duration;

use super::Node;
use crate::{
    dialect::Dialect,
    fleet::KnownCustomer,
    model::{Refusal, RefusalCause},
};

impl<D: Dialect> Node<D> {
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
        let level = self.usage.borrow().level(customer.number);
        log::info!(
            request = request_id, customer = customer.settings.name,
            rate = customer.settings.rate.unwrap_or_default(), level = level;
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
