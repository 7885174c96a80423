//! The limit on the rate at which a daemon sends large views to its peers.

use std::time::Duration;

use crate::Timestamp;

/// The size in bytes up to which a view is always sent. A directory of a few hundred
/// servers must not wait until the settings have been distributed.
const SMALL_VIEW: usize = 32 << 10;
/// The maximum rate of sent large views in bytes per second: half of the bandwidth of a
/// small VM (30 Mbit/s), since callers need the rest.
const BYTES_PER_S: usize = 1_900_000;
/// No further large view is sent while those already admitted keep the connection busy
/// for longer than this.
const MAX_BACKLOG: Duration = Duration::from_millis(200);

/// Decides whether a large view may be sent now.
///
/// After a change all daemons of a zone request the view from the one that has it. If
/// it were sent to all of them at once, settings with thousands of routes would reach
/// none of them in time: each requester gives up after a part of the transfer and
/// retries together with the others. The symptom is an endless series of unanswered
/// requests while the serving daemon is healthy and up to date. Sent to a few peers at
/// a time, the view arrives complete, and each of them becomes a source for others.
#[derive(Clone, Copy, Debug, Default)]
pub struct SendBudget {
    busy_until: Timestamp,
}

impl SendBudget {
    /// Returns whether a view of `bytes` bytes may be sent; if so, it is charged to the
    /// budget.
    pub fn admits(&mut self, bytes: usize, now: Timestamp) -> bool {
        if bytes <= SMALL_VIEW {
            return true;
        }
        if self.busy_until.since(now) > MAX_BACKLOG {
            return false;
        }
        let transfer_time = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S as f64);
        self.busy_until = self.busy_until.max(now) + transfer_time;
        true
    }
}
