//! Admission of requests: customers' rates.

use std::time::Duration;

use super::Node;
use crate::{
    dialect::Dialect,
    fleet::KnownCustomer,
    model::{Refusal, RefusalCause},
};

/// How long a request waits for peers' reports that decide whether it is admitted. The first
/// wait suffices for the reports of nearby peers, both together for those of all peers.
const REPORT_WAITS: [Duration; 2] = [Duration::from_millis(5), Duration::from_millis(10)];
/// The minimum interval between requests for reports, however many callers' requests wait.
/// The usage of a peer that answered stays confirmed for about as long, and a peer that
/// didn't answer won't do so a moment later. If all daemons asked for each request, daemons
/// behind a network partition would be busy with answers.
const REPORT_REQUEST_INTERVAL: Duration = Duration::from_millis(250);

impl<D: Dialect> Node<D> {
    /// Requests reports from peers before a request is refused only because of
    /// unconfirmed usage: requests that peers may have admitted since their last report.
    /// In a large fleet the last report is most of a second old, and a customer with a
    /// small burst would be refused although all of its tokens are available.
    pub async fn confirm_peer_usage(&self, customer: &KnownCustomer) {
        for wait in REPORT_WAITS {
            let now = self.clock.now();
            if !self
                .usage
                .borrow_mut()
                .is_rejected_as_unconfirmed(customer.name_hash, now)
            {
                return;
            }
            let requested_at = self.reports_requested_at.get();
            if requested_at.is_none_or(|it| now.since(it) >= REPORT_REQUEST_INTERVAL) {
                self.reports_requested_at.set(Some(now));
                self.request_reports(self.usage.borrow().unconfirmed_peers(now));
            }
            tokio::time::sleep(wait).await;
        }
    }

    /// Checks whether a customer's rate allows a request, without charging the request.
    ///
    /// # Errors
    ///
    /// Returns a refusal with the time after which a request will be admitted.
    pub fn check_rate(&self, customer: &KnownCustomer, request_id: &str) -> Result<(), Refusal> {
        let now = self.clock.now();
        let checked = self.usage.borrow_mut().check(customer.name_hash, now);
        checked.map_err(|retry_after| self.over_rate(customer, request_id, retry_after))
    }

    /// Charges a request that is about to be sent to its customer's rate.
    ///
    /// # Errors
    ///
    /// Returns a refusal if other requests have used up the rate since it was checked.
    pub fn admit(&self, customer: &KnownCustomer, request_id: &str) -> Result<(), Refusal> {
        let now = self.clock.now();
        let mut usage = self.usage.borrow_mut();
        let admitted = usage.admit(customer.name_hash, now);
        if usage.is_report_urgent(customer.name_hash) {
            self.urgent_report_due.notify_one();
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
        let level = usage.level(customer.name_hash);
        let is_unconfirmed = usage.is_rejected_as_unconfirmed(customer.name_hash, now);
        log::info!(
            request = request_id, customer = customer.settings.name,
            rate = customer.settings.rate.unwrap_or_default(), level = level,
            by_doubt = is_unconfirmed, unheard = usage.unconfirmed_peers(now).len();
            "rates: over the rate"
        );
        self.metrics
            .refusal(&customer.settings.name, RefusalCause::RateExceeded.as_str());
        Refusal::new(RefusalCause::RateExceeded).retry_after(retry_after)
    }
}
