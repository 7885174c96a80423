//! Tokens that come back for requests that were heard of late.

use std::time::Duration;

use crate::Timestamp;

/// Into so long parts the last seconds are divided.
const BIN_DURATION: Duration = Duration::from_millis(50);
/// So many parts are remembered.
const BIN_COUNT: usize = 32;

/// What one part of the last seconds brought, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Bin {
    /// Lost, since the bucket was full.
    overflowed: f32,
    /// Spent by other daemons.
    admitted: f32,
    /// Of what was spent by others, what was charged.
    charged: f32,
}

/// Tokens that come back for requests that were heard of late.
///
/// What other daemons let in is charged up to an interval late. Charged at once, it would
/// have left room in the bucket for tokens that were lost to a full one until then. They
/// come back, but only once all daemons have said what they let in by the time at which
/// the tokens were lost: where a customer begins to send many times its usual, what isn't
/// heard of yet is more than what was lost.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LateCharges {
    bins: [Bin; BIN_COUNT],
    /// The number of the newest part since the clock began.
    newest_bin: u64,
    /// The first part that isn't known in full.
    first_unsettled: u64,
    /// Charges that stand for requests of the settled parts, and may bring tokens back.
    refundable: f32,
    /// The same, with what they brought back already.
    outstanding: f32,
}

impl LateCharges {
    /// Notes that tokens were lost up to `now`, at `rate` a second.
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

    /// Notes requests that another daemon let in at `since` and that are charged now.
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

    /// Takes the tokens that come back now that all daemons were heard at `heard` or later.
    pub(super) fn settle(&mut self, confirmed_at: Timestamp) -> f64 {
        let end = bin_of(confirmed_at).min(self.newest_bin);
        self.first_unsettled = self.first_unsettled.max(self.oldest_bin());
        let mut returned = 0.0;
        while self.first_unsettled < end {
            let bin = self.bins[index(self.first_unsettled)];
            self.refundable += bin.admitted;
            self.outstanding += bin.admitted;
            // Charged by then, they left room for what came in since.
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
