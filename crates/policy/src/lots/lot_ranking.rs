//! The order in which open lots are served.

use std::time::Duration;

use crate::{CustomerId, Timestamp};

/// A lot, by the number that the table of open lots gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LotKey(pub u32);

/// What the ranking needs to know of an open lot.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RankedLot {
    /// The lot.
    pub lot: LotKey,
    /// The customer that owns it.
    pub customer: CustomerId,
    /// When it is due, on this process's clock.
    pub due: Timestamp,
    /// How long its remaining items will take at its present pace.
    pub needs: Duration,
}

#[derive(Clone, Copy, Debug)]
struct CustomerShare {
    weight: f64,
    served: f64,
    is_active: bool,
}

impl Default for CustomerShare {
    fn default() -> Self {
        CustomerShare {
            weight: 1.0,
            served: 0.0,
            is_active: false,
        }
    }
}

/// Orders open lots.
///
/// Customers share bulk capacity by served tokens relative to their weight: the
/// customer served least goes first, so that a lot of 99,000 items doesn't delay
/// another customer's lot of 20. A lot that is short of time gets a lead of some
/// tokens. The lead is bounded, so that stating short due times can't starve other
/// customers. A customer's own lots go by due time.
#[derive(Clone, Debug)]
pub struct LotRanking {
    /// The lead of a lot that is out of time, in tokens relative to the weight; no lead
    /// is larger.
    pub max_lead: f64,
    /// A lot with more slack than this has no lead. A lot that needs longer than this
    /// gets its lead earlier: as soon as its slack is less than the time that it still
    /// needs.
    pub ample_slack: Duration,
    customers: Vec<CustomerShare>,
}

impl Default for LotRanking {
    fn default() -> Self {
        LotRanking {
            max_lead: 200_000.0,
            ample_slack: Duration::from_secs(600),
            customers: Vec::new(),
        }
    }
}

impl LotRanking {
    /// Sets a customer's weight, its share of the capacity.
    pub fn set_weight(&mut self, customer: CustomerId, weight: f64) {
        // A weight of zero would make its tokens infinitely expensive, and a negative
        // one would reverse the order. Settings are validated, but stored data may not
        // be.
        self.share_mut(customer).weight = if weight > 0.0 {
            weight
        } else {
            f64::MIN_POSITIVE
        };
    }

    /// Sets which customers have open lots now. A customer that returns starts level
    /// with the least served of the active ones: it must neither be owed capacity that
    /// it didn't request nor pay for having been served alone.
    pub fn set_active(&mut self, active: &[CustomerId]) {
        let min_served = self.min_served();
        for &customer in active {
            let share = self.share_mut(customer);
            if !share.is_active {
                share.is_active = true;
                share.served = share.served.max(min_served);
            }
        }
        for (index, share) in self.customers.iter_mut().enumerate() {
            share.is_active = active.iter().any(|it| it.index() == index);
        }
    }

    /// Charges a customer for served tokens. A negative number refunds an estimate that
    /// was too high.
    pub fn charge(&mut self, customer: CustomerId, tokens: f64) {
        let share = self.share_mut(customer);
        share.served += tokens / share.weight;
    }

    /// Returns a customer's served tokens, divided by its weight.
    pub fn served(&self, customer: CustomerId) -> f64 {
        self.customers
            .get(customer.index())
            .map_or(0.0, |it| it.served)
    }

    /// Sorts the lots, the first to be served first.
    pub fn sort(&self, lots: &mut [RankedLot], now: Timestamp) {
        lots.sort_by(|a, b| {
            let scores = self.score(a, now).total_cmp(&self.score(b, now));
            scores.then(a.due.cmp(&b.due)).then(a.lot.cmp(&b.lot))
        });
    }

    fn score(&self, lot: &RankedLot, now: Timestamp) -> f64 {
        self.served(lot.customer) - self.max_lead * self.urgency(lot, now)
    }

    /// Returns a value from 0 (ample slack) to 1 (late, or sure to be).
    fn urgency(&self, lot: &RankedLot, now: Timestamp) -> f64 {
        let slack = lot.due.since(now).saturating_sub(lot.needs);
        let ample = self.ample_slack.max(lot.needs);
        1.0 - (slack.as_secs_f64() / ample.as_secs_f64()).min(1.0)
    }

    fn min_served(&self) -> f64 {
        let active = self.customers.iter().filter(|it| it.is_active);
        let min_served = active.map(|it| it.served).fold(f64::INFINITY, f64::min);
        if min_served.is_finite() {
            min_served
        } else {
            0.0
        }
    }

    fn share_mut(&mut self, customer: CustomerId) -> &mut CustomerShare {
        if self.customers.len() <= customer.index() {
            self.customers
                .resize(customer.index() + 1, CustomerShare::default());
        }
        &mut self.customers[customer.index()]
    }
}
