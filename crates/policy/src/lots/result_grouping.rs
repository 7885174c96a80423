//! When a group of results is written.

use std::time::Duration;

use crate::Timestamp;

/// Groups results by size and age: each write costs the store a call, and each result
/// that isn't written yet is run again if its daemon is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResultGrouping {
    /// The size in bytes at which a group is written at once.
    pub max_bytes: usize,
    /// The age of its oldest result at which a group is written.
    pub max_age: Duration,
}

impl Default for ResultGrouping {
    fn default() -> Self {
        ResultGrouping {
            max_bytes: 256 << 10,
            max_age: Duration::from_secs(20),
        }
    }
}

impl ResultGrouping {
    /// Returns when a group of `bytes` bytes whose first result came at `oldest` is to
    /// be written.
    pub fn due(&self, bytes: usize, oldest: Timestamp) -> Timestamp {
        match bytes >= self.max_bytes {
            true => oldest,
            false => oldest + self.max_age,
        }
    }
}
