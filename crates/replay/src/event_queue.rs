//! The event queue of the simulation.

use std::{
    cmp::{Ordering, Reverse},
    collections::BinaryHeap,
};

use comfreyramp_policy::Timestamp;

/// A queue of events ordered by time. Events with equal times are ordered by
/// insertion, so that simulations are deterministic.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    heap: BinaryHeap<Reverse<QueuedEvent<E>>>,
    next: u64,
}

#[derive(Debug)]
struct QueuedEvent<E> {
    at: Timestamp,
    order: u64,
    event: E,
}

impl<E> Default for EventQueue<E> {
    fn default() -> Self {
        EventQueue {
            heap: BinaryHeap::new(),
            next: 0,
        }
    }
}

impl<E> EventQueue<E> {
    /// Schedules an event.
    pub(crate) fn add(&mut self, at: Timestamp, event: E) {
        let order = self.next;
        self.next += 1;
        self.heap.push(Reverse(QueuedEvent { at, order, event }));
    }

    /// Removes and returns the earliest event.
    pub(crate) fn pop(&mut self) -> Option<(Timestamp, E)> {
        let Reverse(queued) = self.heap.pop()?;
        Some((queued.at, queued.event))
    }
}

impl<E> PartialEq for QueuedEvent<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<E> Eq for QueuedEvent<E> {}

impl<E> PartialOrd for QueuedEvent<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for QueuedEvent<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
