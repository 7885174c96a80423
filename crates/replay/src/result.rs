//! The result of a simulation.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

/// The result of one customer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct CustomerResult {
    /// The number of completed live requests.
    pub live: u64,
    /// The number of tokens generated for items of lots.
    pub bulk_tokens: u64,
}

/// The result of a simulation.
#[derive(Clone, Debug)]
pub struct ReplayResult {
    /// Time from arrival to the first token, in microseconds.
    pub first_token: Histogram<u64>,
    /// Time between successive tokens, in microseconds.
    pub between_tokens: Histogram<u64>,
    /// The results per customer, in the order of the trace.
    pub customers: Vec<CustomerResult>,
    /// The number of tokens generated for items of lots.
    pub bulk_tokens: u64,
    /// The number of bulk items that were preempted by live requests.
    pub cancelled: u64,
    /// The number of lots that ended.
    pub ended_lots: u32,
    /// The number of lots that ended after their deadline or were still open after
    /// it.
    pub late_lots: u32,
    /// The length of the simulation in virtual time.
    pub span: Duration,
}

/// The highest trackable time, in microseconds: ten minutes.
const MAX_TRACKABLE_MICROS: u64 = 600_000_000;

impl ReplayResult {
    pub(crate) fn new(customers: usize) -> Self {
        ReplayResult {
            first_token: new_histogram(),
            between_tokens: new_histogram(),
            customers: vec![CustomerResult::default(); customers],
            bulk_tokens: 0,
            cancelled: 0,
            ended_lots: 0,
            late_lots: 0,
            span: Duration::ZERO,
        }
    }

    pub(crate) fn record_first_token(&mut self, wait: Duration) {
        self.first_token.saturating_record(micros(wait));
    }

    pub(crate) fn record_gap(&mut self, gap: Duration) {
        self.between_tokens.saturating_record(micros(gap));
    }

    /// Returns a quantile (0 to 1) of the time to the first token, in milliseconds.
    pub fn first_token_ms(&self, quantile: f64) -> f64 {
        self.first_token.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns a quantile (0 to 1) of the time between tokens, in milliseconds.
    pub fn gap_ms(&self, quantile: f64) -> f64 {
        self.between_tokens.value_at_quantile(quantile) as f64 / 1e3
    }

    /// Returns the number of bulk tokens per second.
    pub fn bulk_rate(&self) -> f64 {
        self.bulk_tokens as f64 / self.span.as_secs_f64()
    }

    /// Returns the smallest share of the bulk tokens that any of these customers
    /// received, relative to an even split between them.
    pub fn min_share(&self, customers: &[usize]) -> f64 {
        let tokens = || customers.iter().map(|&it| self.customers[it].bulk_tokens);
        let even = tokens().sum::<u64>() as f64 / customers.len() as f64;
        tokens().min().unwrap_or(0) as f64 / even
    }
}

fn new_histogram() -> Histogram<u64> {
    let mut histogram =
        Histogram::new_with_bounds(1, MAX_TRACKABLE_MICROS, 3).unwrap_or_else(|_| {
            // The constructor fails only on invalid bounds, and these are valid
            // constants.
            Histogram::new_from(&Histogram::<u64>::new(3).unwrap_or_else(|_| unreachable!()))
        });
    histogram.auto(true);
    histogram
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(MAX_TRACKABLE_MICROS)
}
