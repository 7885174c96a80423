//! The clocks of a daemon. No other module reads the system's clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use comfreyramp_policy::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The time since the VM was booted, counted from the daemon's start.
///
/// The usual monotonic clock stops while a VM is suspended. With it, a resumed daemon
/// would take its leases and the last reports of its peers to be as recent as before
/// the suspension. This clock also counts the time of the suspension.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        BootClock {
            origin: time_since_boot(),
        }
    }
}

impl BootClock {
    /// Returns the time since the daemon's start.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + time_since_boot().saturating_sub(self.origin)
    }
}

fn time_since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.max(0) as u64, now.tv_nsec.max(0) as u32)
}

/// Returns the milliseconds since the Unix epoch by the wall clock. The clocks of two
/// VMs may disagree, so that it is only used for durations of many seconds.
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
