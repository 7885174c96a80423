//! How many daemons a daemon shows a large view at once.

use std::time::Duration;

use crate::Timestamp;

/// Views up to this length are shown to whoever asks. A directory of some hundred
/// servers must not wait until the settings have been sent around.
const SMALL_VIEW: usize = 32 << 10;
/// Large views leave at no more than this many bytes a second: half of what a small
/// VM's connection carries (30 Mbit/s), as callers need the rest.
const BYTES_PER_S: usize = 1_900_000;
/// A view isn't shown while those shown before would keep the connection busy for
/// longer than this.
const LONGEST_BACKLOG: Duration = Duration::from_millis(200);

/// Whether a large view may be shown now.
///
/// After a change all daemons of a zone ask the one that has it. Shown to all of them
/// at once, settings with thousands of routes arrive at none in time: each asker gives
/// up with a part of it, and asks again together with the others. One notices by asks
/// without an answer that never end, while the daemon asked is well and up to date.
/// A few at a time arrive whole, and each of these is a source for others.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShowBudget {
    busy_until: Timestamp,
}

impl ShowBudget {
    /// Whether a view of `bytes` bytes may be shown; if so, it counts as being sent.
    pub fn admits(&mut self, bytes: usize, now: Timestamp) -> bool {
        if bytes <= SMALL_VIEW {
            return true;
        }
        if self.busy_until.since(now) > LONGEST_BACKLOG {
            return false;
        }
        let span = Duration::from_secs_f64(bytes as f64 / BYTES_PER_S as f64);
        self.busy_until = self.busy_until.max(now) + span;
        true
    }
}
