//! The limit on the tokens of a customer's lots that wait on a route, over all daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// The number of lots above which a ledger is compared with the open lots, since some
/// of its lots may be finished.
const MAX_UNCHECKED_LOTS: usize = 96;
/// The delay after which a caller may retry while the return rate of tokens is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// The shortest delay after which a caller may retry: the ledger isn't compared more
/// often.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// The weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.5;

/// The part of a lot that still waits, or an upper bound of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingLot {
    /// The lot.
    pub lot: String,
    /// The tokens of its items without a result; may be too high, but never too low.
    pub tokens: u64,
}

/// Whether a submitted lot is accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// It fits within the bound.
    Fits,
    /// It was accepted before.
    AlreadyAccepted,
    /// There will be capacity once this many tokens have returned.
    Full {
        /// The tokens that are missing.
        missing: u64,
    },
    /// It is larger than the bound, so it can never be accepted.
    NeverFits,
}

/// The lots of one customer on one route that may still wait, with their tokens.
///
/// The ledger lies in the store, and every lot is accepted by a write that succeeds
/// only if the ledger is unchanged since it was read. So two daemons can't both use the
/// same capacity, a delayed write finds the ledger changed, and a lost daemon leaves no
/// count behind. A ledger may count more than there is, never less: lots are removed
/// only once they are seen to be finished or ended, by the next daemon that writes the
/// ledger.
///
/// The load that shaped it is one customer's burst of lots at several daemons at once;
/// `tests/waiting_tokens.rs` replays it. See docs/PLATFORM.md.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLedger {
    /// The bound for which the ledger was last compared with the open lots. Before that
    /// bound was set, lots may have been accepted without being recorded.
    bound: u64,
    /// Sorted by id.
    lots: Vec<WaitingLot>,
}

impl TokenLedger {
    /// Returns the most tokens that may wait.
    pub fn total(&self) -> u64 {
        let tokens = self.lots.iter().map(|it| it.tokens);
        tokens.fold(0, u64::saturating_add)
    }

    /// Returns the lots in the ledger, sorted by id.
    pub fn lots(&self) -> &[WaitingLot] {
        &self.lots
    }

    /// Returns whether the ledger has to be compared with the open lots before it
    /// decides: it was compared for another bound, or has become long.
    pub fn needs_refresh(&self, bound: u64) -> bool {
        self.bound != bound || self.lots.len() > MAX_UNCHECKED_LOTS
    }

    /// Decides whether a lot fits within `bound`.
    pub fn check_fit(&self, lot: &WaitingLot, bound: u64) -> TokenVerdict {
        if self.position(&lot.lot).is_ok() {
            return TokenVerdict::AlreadyAccepted;
        }
        if lot.tokens > bound {
            return TokenVerdict::NeverFits;
        }
        let required = self.total().saturating_add(lot.tokens);
        match required.checked_sub(bound) {
            None | Some(0) => TokenVerdict::Fits,
            Some(missing) => TokenVerdict::Full { missing },
        }
    }

    /// Adds a lot, or raises the waiting tokens of a lot that is in the ledger.
    pub fn add(&mut self, lot: WaitingLot) {
        match self.position(&lot.lot) {
            Ok(position) => self.lots[position].tokens = self.lots[position].tokens.max(lot.tokens),
            Err(position) => self.lots.insert(position, lot),
        }
    }

    /// Compares the ledger with all open lots of this customer and route, as the store
    /// returned them after it had returned this ledger. A lot that is no longer open is
    /// never opened again.
    pub fn compare(&mut self, open: &[WaitingLot], bound: u64) -> LotTokenBounds {
        let mut known = LotTokenBounds::default();
        for lot in &self.lots {
            let matching = open.iter().find(|it| it.lot == lot.lot);
            known.set(&lot.lot, matching.map_or(0, |it| it.tokens));
        }
        self.apply_bounds(&known);
        for lot in open {
            if self.position(&lot.lot).is_err() {
                self.add(lot.clone());
            }
        }
        self.bound = bound;
        known
    }

    /// Lowers the waiting tokens of each lot to the known upper bound. That holds for
    /// any later version of the ledger too, since finished items stay finished.
    pub fn apply_bounds(&mut self, known: &LotTokenBounds) {
        for lot in &mut self.lots {
            if let Some(tokens) = known.tokens(&lot.lot) {
                lot.tokens = lot.tokens.min(tokens);
            }
        }
        self.lots.retain(|it| it.tokens > 0);
    }

    /// Removes the lots that are certainly finished.
    pub fn drop_finished(&mut self, is_finished: impl Fn(&str) -> bool) {
        self.lots.retain(|it| !is_finished(&it.lot));
    }

    fn position(&self, lot: &str) -> Result<usize, usize> {
        self.lots.binary_search_by(|it| it.lot.as_str().cmp(lot))
    }
}

/// Upper bounds on the waiting tokens of lots.
#[derive(Clone, Debug, Default)]
pub struct LotTokenBounds {
    /// Sorted by id.
    lots: Vec<WaitingLot>,
}

impl LotTokenBounds {
    fn set(&mut self, lot: &str, tokens: u64) {
        match self.lots.binary_search_by(|it| it.lot.as_str().cmp(lot)) {
            Ok(position) => self.lots[position].tokens = tokens,
            Err(position) => {
                let lot = lot.to_owned();
                self.lots.insert(position, WaitingLot { lot, tokens });
            }
        }
    }

    fn tokens(&self, lot: &str) -> Option<u64> {
        let position = self.lots.binary_search_by(|it| it.lot.as_str().cmp(lot));
        Some(self.lots[position.ok()?].tokens)
    }
}

/// The rate at which a customer's waiting tokens return, from one query of the open
/// lots to the next.
#[derive(Clone, Debug, Default)]
pub struct TokenReturnRate {
    tokens_per_sec: f64,
    /// The open lots at the last query, and the time of it.
    last_observation: Option<(Vec<WaitingLot>, Timestamp)>,
}

impl TokenReturnRate {
    /// Records the open lots as of now.
    pub fn note(&mut self, open: &[WaitingLot], now: Timestamp) {
        let last_observation = self.last_observation.replace((open.to_vec(), now));
        let Some((before, observed_at)) = last_observation else {
            return;
        };
        let elapsed = now.since(observed_at);
        if elapsed.is_zero() {
            return;
        }
        let remaining = |lot: &str| {
            open.iter()
                .find(|it| it.lot == lot)
                .map_or(0, |it| it.tokens)
        };
        let returned = before
            .iter()
            .map(|it| it.tokens.saturating_sub(remaining(&it.lot)));
        let returned = returned.fold(0, u64::saturating_add);
        let sample = returned as f64 / elapsed.as_secs_f64();
        let weight = if self.tokens_per_sec > 0.0 {
            SAMPLE_WEIGHT
        } else {
            1.0
        };
        self.tokens_per_sec += (sample - self.tokens_per_sec) * weight;
    }

    /// Returns after which time there should be capacity for `missing` tokens, at most
    /// the given limit (but no less than the shortest delay).
    pub fn retry_after(&self, missing: u64, max_retry_after: Duration) -> Duration {
        let wait = match self.tokens_per_sec > 0.0 {
            true => Duration::try_from_secs_f64(missing as f64 / self.tokens_per_sec),
            false => Ok(DEFAULT_RETRY_AFTER),
        };
        let max_retry_after = max_retry_after.max(MIN_RETRY_AFTER);
        wait.unwrap_or(max_retry_after)
            .clamp(MIN_RETRY_AFTER, max_retry_after)
    }
}
