//! The age of the settings in force, for the request path.

use std::{
    sync::atomic::{AtomicI64, Ordering},
    time::Duration,
};

use comfreyramp_policy::{Timestamp, ViewAge};

/// The time at which the settings were last known to be current, readable without a
/// lock.
///
/// It is held in microseconds after the origin of the process's clock, and signed,
/// since a view from a peer can be older than the process.
#[derive(Debug)]
pub struct SettingsAge {
    current: AtomicI64,
}

impl Default for SettingsAge {
    fn default() -> Self {
        SettingsAge {
            current: AtomicI64::new(i64::MIN),
        }
    }
}

impl SettingsAge {
    /// Records when the view was last known to be current.
    pub fn set(&self, view: ViewAge) {
        self.current.store(view.current_micros(), Ordering::Relaxed);
    }

    /// Returns the age of the view, or the greatest possible age without one.
    pub fn age(&self, now: Timestamp) -> Duration {
        let current = self.current.load(Ordering::Relaxed);
        let now = i64::try_from(now.as_micros()).unwrap_or(i64::MAX);
        let micros = now.saturating_sub(current).max(0);
        Duration::from_micros(micros.unsigned_abs())
    }
}
