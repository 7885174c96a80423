//! Charges for requests that other daemons admitted before this one started.

/// Charges of one customer for requests that other daemons admitted before this one
/// started.
///
/// A daemon charges all requests of the daemons that started shortly before it, as if it
/// had started with them. Its bucket lacks the tokens that were gained meanwhile, so that a
/// customer within its rate would have a debt. They are refunded once the level of a daemon
/// that has counted for longer is known, which then limits the level: without one, all
/// daemons have lost what was spent before, and the tokens make up for that.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EarlierCharges {
    charged: f64,
    refunded: f64,
}

impl EarlierCharges {
    /// Records the charge of a daemon's first total, which includes such requests.
    pub(super) fn record(&mut self, requests: f64) {
        self.charged += requests;
    }

    /// Returns the tokens to refund, of the `gained` tokens between the start of the first
    /// daemon whose requests are charged and that of this one.
    pub(super) fn refund(&mut self, gained: f64) -> f64 {
        let refund = (self.charged.min(gained) - self.refunded).max(0.0);
        self.refunded += refund;
        refund
    }
}
