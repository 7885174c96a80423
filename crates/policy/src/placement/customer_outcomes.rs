//! How customers' recent requests ended: what a customer's failure says of a server.

use std::time::Duration;

use super::server_failures::UNKNOWN_WEIGHT;
use crate::Timestamp;

/// The weight of a customer's failure elsewhere against one of its successes elsewhere.
const CUSTOMER_FAILURE_WEIGHT: f64 = 2.0;
/// How long a customer's outcomes are remembered.
const CUSTOMER_MEMORY: Duration = Duration::from_secs(60);
/// The outcomes that are remembered of a customer.
const CUSTOMER_OUTCOMES: usize = 8;
/// The customers that are remembered; beyond them the one that was silent longest is dropped.
const MAX_CUSTOMERS: usize = 1_024;

/// How the customers' recent requests ended, and at which servers.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerOutcomes {
    /// Sorted by customer.
    customers: Vec<Customer>,
}

#[derive(Clone, Debug)]
struct Customer {
    /// The hash of the customer's name and the service.
    key: u64,
    /// Oldest first.
    outcomes: Vec<Outcome>,
}

#[derive(Clone, Copy, Debug)]
struct Outcome {
    server: u64,
    has_succeeded: bool,
    at: Timestamp,
}

impl CustomerOutcomes {
    /// Returns the weight of a customer's failure at a server, from 0 to 1, by how its recent
    /// requests ended at other servers. `is_proved` says which servers are proved to fail:
    /// failures there say nothing of the customer. Those at servers that are suspected without
    /// proof do, since the suspicion may rest on them alone.
    pub(super) fn weight(
        &self,
        key: u64,
        server: u64,
        is_proved: impl Fn(u64) -> bool,
        now: Timestamp,
    ) -> f64 {
        let Ok(index) = self.customers.binary_search_by_key(&key, |it| it.key) else {
            return UNKNOWN_WEIGHT;
        };
        let recent = self.customers[index].outcomes.iter();
        let elsewhere =
            recent.filter(|it| it.server != server && now.since(it.at) < CUSTOMER_MEMORY);
        let (mut succeeded, mut failed) = (0.0, 0.0);
        for outcome in elsewhere {
            if outcome.has_succeeded {
                succeeded += 1.0;
            } else if !is_proved(outcome.server) {
                failed += CUSTOMER_FAILURE_WEIGHT;
            }
        }
        match succeeded + failed > 0.0 {
            true => succeeded / (succeeded + failed),
            false => UNKNOWN_WEIGHT,
        }
    }

    pub(super) fn record(&mut self, key: u64, server: u64, has_succeeded: bool, now: Timestamp) {
        let outcome = Outcome {
            server,
            has_succeeded,
            at: now,
        };
        match self.customers.binary_search_by_key(&key, |it| it.key) {
            Ok(index) => {
                let outcomes = &mut self.customers[index].outcomes;
                if outcomes.len() == CUSTOMER_OUTCOMES {
                    outcomes.remove(0);
                }
                outcomes.push(outcome);
            }
            Err(index) => {
                let outcomes = vec![outcome];
                self.customers.insert(index, Customer { key, outcomes });
                self.drop_oldest();
            }
        }
    }

    fn drop_oldest(&mut self) {
        if self.customers.len() <= MAX_CUSTOMERS {
            return;
        }
        let last_at = |it: &Customer| it.outcomes.last().map(|it| it.at);
        let oldest = (0..self.customers.len()).min_by_key(|it| last_at(&self.customers[*it]));
        if let Some(oldest) = oldest {
            self.customers.remove(oldest);
        }
    }
}
