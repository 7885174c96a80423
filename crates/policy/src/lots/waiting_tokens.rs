//! How many tokens of a customer's lots may wait on a route, over all daemons.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// Beyond this many lots a ledger is long enough to be worth a look at which of them
/// are still open.
const MAX_UNCHECKED_LOTS: usize = 96;
/// When a caller may come back while nothing is known of how fast tokens come back.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(1_000);
/// No caller is told to come back sooner: the ledger isn't looked at more often.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);
/// How much a new measurement counts in the mean.
const SAMPLE_WEIGHT: f64 = 0.5;

/// What of a lot still waits, at most.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingLot {
    /// The lot.
    pub lot: String,
    /// The tokens of its items that have no result, or more.
    pub tokens: u64,
}

/// What becomes of a lot that is handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenVerdict {
    /// It fits.
    Fits,
    /// It was accepted before.
    Known,
    /// There is room once so many tokens have come back.
    Full {
        /// The tokens that are missing.
        missing: u64,
    },
    /// It is larger than the bound: there will never be room.
    NeverFits,
}

/// The lots of one customer on one route that may still wait: the count that bounds
/// them.
///
/// It lies in the store, and every lot is accepted by a write that holds only if the
/// ledger is still the one that was counted. So two daemons can't both use the same
/// room, a late write finds the ledger changed, and a lost daemon leaves no count
/// behind. A ledger may show more than there is, never less: lots leave it only once
/// they are seen to be finished or ended, which the next one to write it notes.
///
/// The load that decides is one customer's flood of lots at several daemons at once;
/// `tests/waiting_tokens.rs` replays it. See docs/PLATFORM.md.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenLedger {
    /// The bound by which it was last compared with the open lots. Before that bound
    /// was set, lots may have been accepted without being noted.
    bound: u64,
    /// Sorted by id.
    lots: Vec<WaitingLot>,
}

impl TokenLedger {
    /// The tokens that wait, at most.
    pub fn total(&self) -> u64 {
        let tokens = self.lots.iter().map(|it| it.tokens);
        tokens.fold(0, u64::saturating_add)
    }

    /// The lots that it holds, sorted by id.
    pub fn lots(&self) -> &[WaitingLot] {
        &self.lots
    }

    /// Whether it has to be compared with the open lots before it decides: it was
    /// counted by another bound, or has become long.
    pub fn is_doubtful(&self, bound: u64) -> bool {
        self.bound != bound || self.lots.len() > MAX_UNCHECKED_LOTS
    }

    /// Whether a lot fits.
    pub fn judge(&self, lot: &WaitingLot, bound: u64) -> TokenVerdict {
        if self.position(&lot.lot).is_ok() {
            return TokenVerdict::Known;
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

    /// Notes a lot, or that more of it waits than is known.
    pub fn add(&mut self, lot: WaitingLot) {
        match self.position(&lot.lot) {
            Ok(position) => self.lots[position].tokens = self.lots[position].tokens.max(lot.tokens),
            Err(position) => self.lots.insert(position, lot),
        }
    }

    /// Takes in all open lots of this customer and route, as the store showed them
    /// after it had shown this ledger. A lot that isn't open any more never is again.
    pub fn compare(&mut self, open: &[WaitingLot], bound: u64) -> LotsKnown {
        let mut known = LotsKnown::default();
        for lot in &self.lots {
            let matching = open.iter().find(|it| it.lot == lot.lot);
            known.set(&lot.lot, matching.map_or(0, |it| it.tokens));
        }
        self.reduce(&known);
        for lot in open {
            if self.position(&lot.lot).is_err() {
                self.add(lot.clone());
            }
        }
        self.bound = bound;
        known
    }

    /// Lowers what waits of each lot to what is known of it. That holds for any later
    /// ledger too, since what is finished stays so.
    pub fn reduce(&mut self, known: &LotsKnown) {
        for lot in &mut self.lots {
            if let Some(tokens) = known.tokens(&lot.lot) {
                lot.tokens = lot.tokens.min(tokens);
            }
        }
        self.lots.retain(|it| it.tokens > 0);
    }

    /// Drops the lots that are certainly finished.
    pub fn drop_finished(&mut self, is_finished: impl Fn(&str) -> bool) {
        self.lots.retain(|it| !is_finished(&it.lot));
    }

    fn position(&self, lot: &str) -> Result<usize, usize> {
        self.lots.binary_search_by(|it| it.lot.as_str().cmp(lot))
    }
}

/// What is certainly known of lots: so many tokens of each wait at most.
#[derive(Clone, Debug, Default)]
pub struct LotsKnown {
    /// Sorted by id.
    lots: Vec<WaitingLot>,
}

impl LotsKnown {
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

/// How fast a customer's tokens come back, as seen from one look at the open lots to
/// the next.
#[derive(Clone, Debug, Default)]
pub struct ReturnPace {
    tokens_per_sec: f64,
    /// The open lots at the last look, and when that was.
    last_observation: Option<(Vec<WaitingLot>, Timestamp)>,
}

impl ReturnPace {
    /// Takes in the open lots as of now.
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

    /// When there should be room for what is missing, `longest` from now at most.
    pub fn room_in(&self, missing: u64, max_retry_after: Duration) -> Duration {
        let wait = match self.tokens_per_sec > 0.0 {
            true => Duration::try_from_secs_f64(missing as f64 / self.tokens_per_sec),
            false => Ok(DEFAULT_RETRY_AFTER),
        };
        let max_retry_after = max_retry_after.max(MIN_RETRY_AFTER);
        wait.unwrap_or(max_retry_after)
            .clamp(MIN_RETRY_AFTER, max_retry_after)
    }
}
