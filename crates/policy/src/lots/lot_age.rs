//! How long the items of a lot have been kept.

use std::time::Duration;

use crate::Timestamp;

/// The fraction by which the monotonic clock of a VM may run too fast. A time service that
/// corrects a wall clock by seconds may run all clocks of its VM faster for a while.
const MAX_CLOCK_DRIFT: f64 = 0.1;

/// The age of a lot, as far as one daemon can prove it.
///
/// Wall clocks of VMs differ and may be set, so a time of day that the accepting daemon
/// wrote proves nothing to the one that runs the lot. A daemon counts only the time that it
/// observes on its own monotonic clock, on top of the age that an earlier one has stored.
/// The result is never more than the true age: an item may be kept for longer than
/// promised, and never for less. See `docs/PLATFORM.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LotAge {
    /// The age that was proved at `proved_at`.
    proved: Duration,
    proved_at: Timestamp,
}

impl LotAge {
    /// Returns the age of a lot that this daemon has known since `known_since`, of which it
    /// requested the stored age at `requested_at`.
    ///
    /// The two aren't added up, since the stored age may cover the same time.
    pub fn new(stored: Duration, requested_at: Timestamp, known_since: Timestamp) -> Self {
        let observed = drift_free(requested_at.since(known_since));
        LotAge {
            proved: stored.max(observed),
            proved_at: requested_at,
        }
    }

    /// Returns the age that is proved at `now`.
    pub fn at(self, now: Timestamp) -> Duration {
        self.proved + drift_free(now.since(self.proved_at))
    }

    /// Returns for how much longer an item may not be given up that is kept for
    /// `retention`; zero once it may.
    pub fn time_left(self, retention: Duration, now: Timestamp) -> Duration {
        retention.saturating_sub(self.at(now))
    }
}

/// Returns the least time that has passed on any VM while `observed` passed on this one.
fn drift_free(observed: Duration) -> Duration {
    observed.mul_f64(1.0 - MAX_CLOCK_DRIFT)
}
