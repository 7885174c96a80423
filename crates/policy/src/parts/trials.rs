//! When a blocked part may be tried again.

use std::time::Duration;

use super::PartKey;
use crate::{hash::mix, usage::PeerId};

/// The delay from the last crash until a part is tried for the first time.
const INITIAL_TRIAL_DELAY: Duration = Duration::from_secs(2);
/// By how much the delay grows with each trial: each may crash a server.
const TRIAL_DELAY_FACTOR: u32 = 60;
/// The maximum delay until the next trial.
const MAX_TRIAL_DELAY: Duration = Duration::from_secs(3_600);

/// Returns how long after the last crash a part may be tried, after `trials` trials that
/// crashed a server, by the daemon that comes `rank` places after the one that is to try it. Daemons that come
/// later wait longer, so that they hear of a trial of an earlier one.
pub fn trial_delay(trials: u8, rank: usize) -> Duration {
    let factor = TRIAL_DELAY_FACTOR.saturating_pow(trials.into());
    let delay = INITIAL_TRIAL_DELAY.saturating_mul(factor);
    let rank = u32::try_from(rank).unwrap_or(u32::MAX);
    delay
        .saturating_add((INITIAL_TRIAL_DELAY / 2).saturating_mul(rank))
        .min(MAX_TRIAL_DELAY)
}

/// Returns how many of `others` come before the daemon `own` in the order in which daemons
/// try a part.
pub fn trial_rank(part: PartKey, own: PeerId, others: impl Iterator<Item = PeerId>) -> usize {
    let score = |it: PeerId| mix(part.0 ^ it.0);
    others.filter(|it| score(*it) > score(own)).count()
}
