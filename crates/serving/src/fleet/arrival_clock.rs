//! Estimates when a datagram arrived that is read late.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

/// The longest time between two checks for a waiting datagram. Datagrams usually arrive
/// more often than that, so that the check causes no wake-ups of its own.
pub const MAX_QUEUE_CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Estimates when a datagram arrived that is read now.
///
/// A VM that was suspended, or gets no CPU time, reads datagrams long after they arrived,
/// and its queue keeps the oldest. If they counted as current, lost daemons would seem
/// alive, and results that others have delivered by now would be reported as missing.
/// A datagram arrived after the last moment at which the queue was empty; while the
/// daemon runs, such moments are frequent.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalClock {
    queue_empty_at: Timestamp,
}

impl ArrivalClock {
    /// Returns a clock for a daemon that starts to listen at `now`, with an empty queue.
    pub fn new(now: Timestamp) -> Self {
        ArrivalClock {
            queue_empty_at: now,
        }
    }

    /// Records that the receive queue is empty at `now`.
    pub fn note_empty_queue(&mut self, now: Timestamp) {
        self.queue_empty_at = now;
    }

    /// Returns the arrival time to use for a datagram that is read at `now`. The actual
    /// arrival may be earlier, by [`MAX_QUEUE_CHECK_INTERVAL`] at most.
    pub fn arrival(&self, now: Timestamp) -> Timestamp {
        now.min(self.queue_empty_at + MAX_QUEUE_CHECK_INTERVAL)
    }
}
