//! Which requests a daemon still begins while it is being stopped.
//!
//! The load pattern: the balancer sends callers elsewhere once a daemon has said that it stops,
//! but bodies of uploads go on arriving on connections that are open. Such a request would be
//! passed on late in the grace period and cut at its end, also where it may not run again.
//! Refused as not run, it is sent to another daemon at once.

use crate::Timestamp;

/// A planned stop of this daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    /// When the daemon accepts no further connections. Until then callers are still sent to it.
    pub closes_at: Timestamp,
    /// When the process ends, with whatever is still open.
    pub ends_at: Timestamp,
}

impl PlannedStop {
    /// Returns whether a request that has to be answered by `deadline` is begun now: after the
    /// listener is closed only if it ends before the process does.
    pub fn may_begin(&self, deadline: Timestamp, now: Timestamp) -> bool {
        now < self.closes_at || deadline <= self.ends_at
    }
}
