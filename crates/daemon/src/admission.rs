//! Admission of requests by the customer's rate.

use comfreyramp_http::{ErrorAnswer, StatusCode};

use crate::{callers::Caller, shared::SharedState};

impl SharedState {
    /// Admits a request, or returns the error answer with the time after which
    /// the caller may retry.
    ///
    /// Waits for other daemons only if this one has no token of the customer
    /// left, and never for tokens that are yet to be refilled.
    pub async fn admit(&self, caller: &Caller) -> Result<(), ErrorAnswer> {
        let customer = &caller.customer.name;
        let Err(retry_after) = self.rates.admit(customer, || self.snapshot()).await else {
            return Ok(());
        };
        let message = format!("Customer {customer} is over its rate.");
        let answer = ErrorAnswer::new(StatusCode::TOO_MANY_REQUESTS, "rate_limited", message);
        Err(answer.retry_after(retry_after))
    }
}
