//! Tokens that come back for requests that were heard of late.

use std::time::Duration;

use crate::Timestamp;

/// Into so long parts the last seconds are divided.
const PART: Duration = Duration::from_millis(50);
/// So many parts are remembered.
const PARTS: usize = 32;

/// What one part of the last seconds brought, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Part {
    /// Lost, since the bucket was full.
    lost: f32,
    /// Spent by other daemons.
    spent: f32,
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
    parts: [Part; PARTS],
    /// The number of the newest part since the clock began.
    newest: u64,
    /// The first part that isn't known in full.
    settled: u64,
    /// Charges that stand for requests of the settled parts, and may bring tokens back.
    open: f32,
    /// The same, with what they brought back already.
    standing: f32,
}

impl LateCharges {
    /// Notes that tokens were lost up to `now`, at `rate` a second.
    pub(super) fn note_lost(&mut self, tokens: f64, rate: f64, now: Timestamp) {
        if tokens <= 0.0 || rate <= 0.0 {
            return;
        }
        let newest = part_of(now);
        self.move_to(newest);
        let per_part = rate * PART.as_secs_f64();
        let in_newest = rate * (now.as_micros() % PART.as_micros() as u64) as f64 / 1e6;
        let mut left = tokens;
        let mut most = in_newest;
        for part in (self.oldest()..=newest).rev() {
            let lost = left.min(most);
            self.parts[index(part)].lost += lost as f32;
            left -= lost;
            most = per_part;
            if left <= 0.0 {
                return;
            }
        }
    }

    /// Notes requests that another daemon let in at `since` and that are charged now.
    pub(super) fn note_charge(&mut self, requests: f64, since: Timestamp, now: Timestamp) {
        let newest = part_of(now);
        self.move_to(newest);
        let spent = part_of(since).max(self.settled).max(self.oldest());
        if requests > 0.0 && spent < newest {
            self.parts[index(spent)].spent += requests as f32;
            self.parts[index(newest)].charged += requests as f32;
        }
    }

    /// Takes the tokens that come back now that all daemons were heard at `heard` or later.
    pub(super) fn settle(&mut self, heard: Timestamp) -> f64 {
        let end = part_of(heard).min(self.newest);
        self.settled = self.settled.max(self.oldest());
        let mut returned = 0.0;
        while self.settled < end {
            let part = self.parts[index(self.settled)];
            self.open += part.spent;
            self.standing += part.spent;
            // Charged by then, they left room for what came in since.
            self.standing -= part.charged.min(self.standing);
            self.open = self.open.min(self.standing);
            let taken = self.open.min(part.lost);
            self.open -= taken;
            returned += f64::from(taken);
            self.settled += 1;
        }
        returned
    }

    fn oldest(&self) -> u64 {
        (self.newest + 1).saturating_sub(PARTS as u64)
    }

    fn move_to(&mut self, part: u64) {
        let passed = part.saturating_sub(self.newest).min(PARTS as u64);
        for step in 0..passed {
            self.parts[index(part - step)] = Part::default();
        }
        self.newest = self.newest.max(part);
        if self.settled < self.oldest() {
            self.settled = self.oldest();
            (self.open, self.standing) = (0.0, 0.0);
        }
    }
}

fn index(part: u64) -> usize {
    part as usize % PARTS
}

fn part_of(time: Timestamp) -> u64 {
    time.as_micros() / PART.as_micros() as u64
}
