//! The ranks by which waiting calls are ordered before customers' shares.

use std::{fmt::Debug, time::Duration};

use crate::Urgency;

/// The rank of a waiting call. Lower values go first.
pub trait QueueRank: Copy + Ord + Debug {
    /// One in this many starts goes to the next lower rank if any call waits there;
    /// `None` if a lower rank starts only while no higher one waits.
    const LOWER_RANK_INTERVAL: Option<u32>;
    /// How uncertain a forecast may be with which a waiting call is removed, in standard
    /// deviations: it is removed if it starts too late even if the starts ahead of it take
    /// that much less than they are expected to.
    const FORECAST_DEVIATIONS: f64;

    /// Returns the longest wait of a call of this rank, whatever its deadline.
    fn max_wait(self) -> Duration;
}

impl QueueRank for Urgency {
    /// Lower urgencies make progress while more urgent calls keep coming.
    const LOWER_RANK_INTERVAL: Option<u32> = Some(8);
    const FORECAST_DEVIATIONS: f64 = 0.0;

    /// A person has given up after this time, and a program is better asked to retry.
    fn max_wait(self) -> Duration {
        match self {
            Urgency::Person => Duration::from_secs(10),
            Urgency::Bulk | Urgency::Lot => Duration::from_secs(30),
        }
    }
}

/// The number of waiting calls of each rank.
#[derive(Clone, Debug)]
pub(super) struct RankCounts<R> {
    /// Sorted by rank, without ranks that have no calls.
    counts: Vec<(R, u32)>,
}

impl<R> Default for RankCounts<R> {
    fn default() -> Self {
        RankCounts { counts: Vec::new() }
    }
}

impl<R: QueueRank> RankCounts<R> {
    pub(super) fn total(&self) -> u32 {
        self.counts.iter().map(|it| it.1).sum()
    }

    pub(super) fn of(&self, rank: R) -> u32 {
        let index = self.counts.binary_search_by_key(&rank, |it| it.0);
        index.map_or(0, |it| self.counts[it].1)
    }

    /// Returns the calls of higher ranks.
    pub(super) fn above(&self, rank: R) -> u32 {
        let above = self.counts.iter().take_while(|it| it.0 < rank);
        above.map(|it| it.1).sum()
    }

    /// Returns the ranks with waiting calls, the highest first.
    pub(super) fn ranks(&self) -> impl DoubleEndedIterator<Item = R> + '_ {
        self.counts.iter().map(|it| it.0)
    }

    pub(super) fn add(&mut self, rank: R) {
        match self.counts.binary_search_by_key(&rank, |it| it.0) {
            Ok(index) => self.counts[index].1 += 1,
            Err(index) => self.counts.insert(index, (rank, 1)),
        }
    }

    pub(super) fn subtract(&mut self, rank: R) {
        if let Ok(index) = self.counts.binary_search_by_key(&rank, |it| it.0) {
            self.counts[index].1 -= 1;
            if self.counts[index].1 == 0 {
                self.counts.remove(index);
            }
        }
    }

    pub(super) fn memory(&self) -> usize {
        self.counts.capacity() * size_of::<(R, u32)>()
    }
}
