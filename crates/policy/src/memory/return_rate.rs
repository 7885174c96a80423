//! The rate at which bytes are returned, for the time after which a refused caller may
//! come back.

use std::time::Duration;

use crate::Timestamp;

/// The period over which returned bytes are added up.
const PERIOD: Duration = Duration::from_millis(500);
/// The shortest and the longest time that a refused caller is told. The shortest is a few
/// round trips; readers that make no progress are ended within the longest.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Counts the bytes that were returned in this period and the one before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReturnRate {
    began_at: Timestamp,
    returned: u64,
    returned_before: u64,
}

impl ReturnRate {
    /// Counts returned bytes.
    pub(super) fn record(&mut self, bytes: u64, now: Timestamp) {
        self.advance(now);
        self.returned += bytes;
    }

    /// Returns the time in which `bytes` should be returned.
    pub(super) fn time_to_return(&mut self, bytes: u64, now: Timestamp) -> Duration {
        self.advance(now);
        let returned = self.returned + self.returned_before;
        if returned == 0 {
            return MAX_RETRY_AFTER;
        }
        let counted_for = PERIOD + now.since(self.began_at);
        let periods = bytes as f64 / returned as f64;
        let secs = counted_for.as_secs_f64() * periods;
        Duration::from_secs_f64(secs.min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }

    fn advance(&mut self, now: Timestamp) {
        let elapsed = now.since(self.began_at);
        if elapsed < PERIOD {
            return;
        }
        // Bytes of an older period than the last one say nothing about this moment.
        self.returned_before = if elapsed < PERIOD * 2 {
            self.returned
        } else {
            0
        };
        self.returned = 0;
        self.began_at = now;
    }
}
