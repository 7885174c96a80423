//! The one place where a daemon reads its clocks.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use comfreyramp_policy::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// The time since the VM was booted, counted from the daemon's start.
///
/// The usual steady clock stands still while a VM is suspended. A daemon that
/// wakes up would believe that its leases, and what it heard of others, are as
/// fresh as before. This clock goes on.
#[derive(Clone, Copy, Debug)]
pub struct BootClock {
    origin: Duration,
}

impl Default for BootClock {
    fn default() -> Self {
        BootClock {
            origin: since_boot(),
        }
    }
}

impl BootClock {
    /// The present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::ZERO + since_boot().saturating_sub(self.origin)
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec.max(0) as u64, now.tv_nsec.max(0) as u32)
}

/// Milliseconds since the Unix epoch, by the time of day. It differs between VMs
/// by their clocks' errors, so that it only serves for terms of many seconds.
pub fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}
