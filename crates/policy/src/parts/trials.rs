//! When a blocked part may be tried again.

use std::time::Duration;

use super::PartKey;
use crate::{hash::mix, usage::PeerId};

/// When blocked parts are tried by requests of one kind.
#[derive(Debug)]
pub(super) struct TrialPace {
    /// The delay from the last crash or trial until a part is tried, after so many trials that
    /// crashed a server; the last one also after more.
    delays: &'static [Duration],
    /// How much longer each daemon waits than the one whose turn comes before.
    rank_delay: Duration,
}

/// The trials of live requests.
pub(super) const LIVE_TRIALS: TrialPace = TrialPace {
    delays: &[
        Duration::from_secs(2),
        Duration::from_secs(120),
        Duration::from_secs(3_600),
    ],
    rank_delay: Duration::from_secs(1),
};
/// The trials of items that are owed. They never crash servers by themselves, and have to be
/// done within seconds of an outage, so that the delay doesn't grow further.
pub(super) const OWED_TRIALS: TrialPace = TrialPace {
    delays: &[Duration::from_secs(4), Duration::from_secs(6)],
    rank_delay: Duration::from_millis(250),
};

impl TrialPace {
    /// Returns the delay of the daemon that comes `rank` places after the one that is to try a
    /// part, after `trials` trials that crashed a server.
    pub(super) fn delay(&self, trials: u8, rank: usize) -> Duration {
        let delay = self.delays[usize::from(trials).min(self.delays.len() - 1)];
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        delay.saturating_add(self.rank_delay.saturating_mul(rank))
    }
}

/// Returns how long after the last crash or trial a live request may try a part, after `trials`
/// trials that crashed a server, by the daemon that comes `rank` places after the one that is to
/// try it. Daemons that come later wait longer, so that they hear of a trial of an earlier one.
pub fn trial_delay(trials: u8, rank: usize) -> Duration {
    LIVE_TRIALS.delay(trials, rank)
}

/// Returns how many of `others` come before the daemon `own` in the order in which daemons
/// try a part.
pub fn trial_rank(part: PartKey, own: PeerId, others: impl Iterator<Item = PeerId>) -> usize {
    let score = |it: PeerId| mix(part.0 ^ it.0);
    others.filter(|it| score(*it) > score(own)).count()
}
