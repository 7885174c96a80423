//! One customer's share of the queue.

use std::{collections::VecDeque, mem::size_of};

use super::{
    QueuedCall,
    rank::{QueueRank, RankCounts},
};

/// The fields that decide which call goes next. They are kept apart from the calls,
/// since each decision scans all waiting customers.
#[derive(Clone, Debug)]
pub(super) struct Share<R> {
    pub(super) weight: f64,
    /// The tokens that it was served, divided by its weight. A customer that returns
    /// continues from the value of the customer served last.
    pub(super) served: f64,
    /// Its waiting calls by rank.
    pub(super) counts: RankCounts<R>,
}

impl<R> Default for Share<R> {
    fn default() -> Self {
        Share {
            weight: 1.0,
            served: 0.0,
            counts: RankCounts::default(),
        }
    }
}

impl<R: QueueRank> Share<R> {
    pub(super) fn len(&self) -> u32 {
        self.counts.total()
    }

    pub(super) fn count(&self, rank: R) -> u32 {
        self.counts.of(rank)
    }

    /// Returns its share of the queue, divided by its weight, if it had `additional`
    /// more calls.
    pub(super) fn queue_share(&self, additional: u32) -> f64 {
        f64::from(self.len() + additional) / self.weight
    }

    pub(super) fn charge(&mut self, tokens: f64) {
        self.served += tokens / self.weight;
    }
}

/// The calls of one customer by rank, in order of arrival.
#[derive(Clone, Debug)]
pub(super) struct CallList<R> {
    /// Sorted by rank. A rank without calls is kept, with the memory of its queue.
    queues: Vec<(R, VecDeque<QueuedCall<R>>)>,
}

impl<R> Default for CallList<R> {
    fn default() -> Self {
        CallList { queues: Vec::new() }
    }
}

impl<R: QueueRank> CallList<R> {
    pub(super) fn push(&mut self, call: QueuedCall<R>) {
        let index = self
            .queues
            .binary_search_by_key(&call.urgency, |it| it.0)
            .unwrap_or_else(|index| {
                self.queues.insert(index, (call.urgency, VecDeque::new()));
                index
            });
        self.queues[index].1.push_back(call);
    }

    pub(super) fn pop(&mut self, rank: R) -> Option<QueuedCall<R>> {
        let index = self.queues.binary_search_by_key(&rank, |it| it.0).ok()?;
        self.queues[index].1.pop_front()
    }

    pub(super) fn remove(&mut self, number: u64) -> Option<QueuedCall<R>> {
        self.queues.iter_mut().find_map(|(_, queue)| {
            let at = queue.iter().position(|it| it.number == number)?;
            queue.remove(at)
        })
    }

    /// Returns the newest call of a rank.
    pub(super) fn last_with(&self, rank: R) -> Option<&QueuedCall<R>> {
        let index = self.queues.binary_search_by_key(&rank, |it| it.0).ok()?;
        self.queues[index].1.back()
    }

    /// Returns the newest of the calls of the lowest rank.
    pub(super) fn last(&self) -> Option<&QueuedCall<R>> {
        self.queues.iter().rev().find_map(|it| it.1.back())
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedCall<R>> {
        self.queues.iter().flat_map(|it| &it.1)
    }

    pub(super) fn memory(&self) -> usize {
        let calls: usize = self.queues.iter().map(|it| it.1.capacity()).sum();
        let queues = self.queues.capacity() * size_of::<(R, VecDeque<QueuedCall<R>>)>();
        size_of::<Self>() + queues + calls * size_of::<QueuedCall<R>>()
    }
}
