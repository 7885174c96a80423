//! How long a view has been behind the revisions that peers use.

use std::time::Duration;

use crate::Timestamp;

/// The length of one escalation step: when a view has been behind for this long, one
/// more daemon that doesn't watch the store queries it. Peers deliver a change within
/// half of this time.
const STEP_DURATION: Duration = Duration::from_millis(1_200);
/// After this many steps all daemons of a zone may query the store.
const MAX_STEPS: u32 = 10;

/// Measures how long a view has been behind the revisions that peers use.
///
/// A daemon that doesn't watch the store receives changes from those that do.
/// Heartbeats of a watching daemon don't prove that it has the changes or can deliver
/// them: its watch may hang or its connection may be congested. The revisions that
/// peers report to use reveal which changes are missing here, and for how long.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewLag {
    /// The revision that the view has to reach, and when it became known to exist.
    missing: Option<(i64, Timestamp)>,
}

impl ViewLag {
    /// Records that the view is complete up to revision `own`, and that the newest
    /// revision reported by peers is `newest`.
    ///
    /// The lag is the time for which one particular change has been missing: when
    /// changes follow each other closely, some newer one is missing all the time.
    pub fn note(&mut self, own: i64, newest: i64, now: Timestamp) {
        let still_missing = self.missing.filter(|it| it.0 > own);
        let found_missing = (newest > own).then_some((newest, now));
        self.missing = still_missing.or(found_missing);
    }

    /// Returns how long the view has been behind.
    pub fn age(&self, now: Timestamp) -> Duration {
        self.missing.map_or(Duration::ZERO, |it| now.since(it.1))
    }

    /// Returns how many daemons of a zone query the store in addition to those that
    /// always do: one more after a step, then three, seven and so on. If all of them
    /// did so at the first sign of a lag, a short delay would cost one call per daemon
    /// of the fleet.
    pub fn substitutes(&self, now: Timestamp) -> usize {
        let steps = self.age(now).as_millis() / STEP_DURATION.as_millis();
        let steps = u32::try_from(steps).unwrap_or(MAX_STEPS).min(MAX_STEPS);
        (1 << steps) - 1
    }
}
