//! Refunds of tokens that overflowed because charges arrived late.

use std::time::Duration;

use crate::Timestamp;

/// The length of the time bins into which the last seconds are divided.
const BIN_DURATION: Duration = Duration::from_millis(50);
/// How many bins are kept.
const BIN_COUNT: usize = 32;

/// What happened within one bin, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Bin {
    /// Tokens that overflowed because the bucket was full.
    overflowed: f32,
    /// Requests that other daemons admitted in this bin.
    admitted: f32,
    /// Requests of other daemons that were charged in this bin, but admitted in an
    /// earlier one.
    charged: f32,
}

/// Refunds of tokens that overflowed because charges arrived late.
///
/// Requests that other daemons admit are charged up to one report interval late.
/// Charged at once, they would have left capacity in the bucket for tokens that
/// overflowed until then. These tokens are refunded, but only once all daemons have
/// reported what they admitted by the time of the overflow: when a customer begins to
/// send many times its typical rate, its unreported requests outnumber the tokens that
/// overflowed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LateCharges {
    bins: [Bin; BIN_COUNT],
    /// The number of the newest bin, counted from the start of the clock.
    newest_bin: u64,
    /// The first bin for which some daemon's report is still missing.
    first_unsettled: u64,
    /// Charges for requests of settled bins that may still bring a refund.
    refundable: f32,
    /// The same, plus the charges that were refunded already.
    outstanding: f32,
}

impl LateCharges {
    /// Records that tokens overflowed up to `now`, at `rate` tokens a second.
    pub(super) fn record_overflow(&mut self, tokens: f64, rate: f64, now: Timestamp) {
        if tokens <= 0.0 || rate <= 0.0 {
            return;
        }
        let newest_bin = bin_of(now);
        self.advance_to(newest_bin);
        let per_bin = rate * BIN_DURATION.as_secs_f64();
        let in_newest_bin = rate * (now.as_micros() % BIN_DURATION.as_micros() as u64) as f64 / 1e6;
        let mut remaining = tokens;
        let mut max_overflowed = in_newest_bin;
        for bin in (self.oldest_bin()..=newest_bin).rev() {
            let overflowed = remaining.min(max_overflowed);
            self.bins[index(bin)].overflowed += overflowed as f32;
            remaining -= overflowed;
            max_overflowed = per_bin;
            if remaining <= 0.0 {
                return;
            }
        }
    }

    /// Records requests that another daemon admitted at `admitted_at` and that are
    /// charged now.
    pub(super) fn record_charge(&mut self, requests: f64, admitted_at: Timestamp, now: Timestamp) {
        let newest_bin = bin_of(now);
        self.advance_to(newest_bin);
        let admitted_bin = bin_of(admitted_at)
            .max(self.first_unsettled)
            .max(self.oldest_bin());
        if requests > 0.0 && admitted_bin < newest_bin {
            self.bins[index(admitted_bin)].admitted += requests as f32;
            self.bins[index(newest_bin)].charged += requests as f32;
        }
    }

    /// Returns the tokens to refund now that all daemons have reported at
    /// `confirmed_at` or later.
    pub(super) fn settle(&mut self, confirmed_at: Timestamp) -> f64 {
        let end = bin_of(confirmed_at).min(self.newest_bin);
        self.first_unsettled = self.first_unsettled.max(self.oldest_bin());
        let mut returned = 0.0;
        while self.first_unsettled < end {
            let bin = self.bins[index(self.first_unsettled)];
            self.refundable += bin.admitted;
            self.outstanding += bin.admitted;
            // Once charged, these requests leave capacity for later tokens and explain
            // no further overflow.
            self.outstanding -= bin.charged.min(self.outstanding);
            self.refundable = self.refundable.min(self.outstanding);
            let refund = self.refundable.min(bin.overflowed);
            self.refundable -= refund;
            returned += f64::from(refund);
            self.first_unsettled += 1;
        }
        returned
    }

    fn oldest_bin(&self) -> u64 {
        (self.newest_bin + 1).saturating_sub(BIN_COUNT as u64)
    }

    fn advance_to(&mut self, bin: u64) {
        let elapsed_bins = bin.saturating_sub(self.newest_bin).min(BIN_COUNT as u64);
        for offset in 0..elapsed_bins {
            self.bins[index(bin - offset)] = Bin::default();
        }
        self.newest_bin = self.newest_bin.max(bin);
        if self.first_unsettled < self.oldest_bin() {
            self.first_unsettled = self.oldest_bin();
            (self.refundable, self.outstanding) = (0.0, 0.0);
        }
    }
}

fn index(bin: u64) -> usize {
    bin as usize % BIN_COUNT
}

fn bin_of(time: Timestamp) -> u64 {
    time.as_micros() / BIN_DURATION.as_micros() as u64
}
