//! One customer's share of the queue.

use std::{collections::VecDeque, mem::size_of};

use super::QueuedCall;
use crate::Urgency;

/// The fields that decide which call goes next. They are kept apart from the calls,
/// since each decision scans all waiting customers.
#[derive(Clone, Copy, Debug)]
pub(super) struct Share {
    pub(super) weight: f64,
    /// The tokens that it was served, divided by its weight. A customer that returns
    /// continues from the value of the customer served last.
    pub(super) served: f64,
    /// Its waiting calls by urgency.
    pub(super) counts: [u32; 3],
}

impl Default for Share {
    fn default() -> Self {
        Share {
            weight: 1.0,
            served: 0.0,
            counts: [0; 3],
        }
    }
}

impl Share {
    pub(super) fn len(&self) -> u32 {
        self.counts.iter().sum()
    }

    pub(super) fn count(&self, urgency: Urgency) -> u32 {
        self.counts[urgency as usize]
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

/// The calls of one customer by urgency, in order of arrival.
#[derive(Clone, Debug, Default)]
pub(super) struct CallList {
    queues: [VecDeque<QueuedCall>; 3],
}

impl CallList {
    pub(super) fn push(&mut self, call: QueuedCall) {
        self.queues[call.urgency as usize].push_back(call);
    }

    pub(super) fn pop(&mut self, urgency: Urgency) -> Option<QueuedCall> {
        self.queues[urgency as usize].pop_front()
    }

    pub(super) fn remove(&mut self, number: u64) -> Option<QueuedCall> {
        self.queues.iter_mut().find_map(|queue| {
            let at = queue.iter().position(|it| it.number == number)?;
            queue.remove(at)
        })
    }

    /// Returns the newest call of an urgency.
    pub(super) fn last_with(&self, urgency: Urgency) -> Option<&QueuedCall> {
        self.queues[urgency as usize].back()
    }

    /// Returns the newest of the least urgent calls.
    pub(super) fn last(&self) -> Option<&QueuedCall> {
        self.queues.iter().rev().find_map(VecDeque::back)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &QueuedCall> {
        self.queues.iter().flatten()
    }

    pub(super) fn memory(&self) -> usize {
        let calls: usize = self.queues.iter().map(VecDeque::capacity).sum();
        size_of::<Self>() + calls * size_of::<QueuedCall>()
    }
}
