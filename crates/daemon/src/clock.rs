//! The daemon's monotonic clock, the source of all its timestamps.

use tokio::time::Instant;

use comfreyramp_policy::Timestamp;

/// A monotonic clock that counts from the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl Default for ProcessClock {
    fn default() -> Self {
        ProcessClock {
            origin: Instant::now(),
        }
    }
}

impl ProcessClock {
    /// Returns the time since the clock was created.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }
}
