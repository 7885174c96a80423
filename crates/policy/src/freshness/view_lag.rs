//! For how long a view has been behind what others act by.

use std::time::Duration;

use crate::Timestamp;

/// A view that is behind for longer than this has a daemon that doesn't watch the
/// store ask it. Others bring a change within half of this span.
const STEP_SPAN: Duration = Duration::from_millis(1_200);
/// After so many steps all daemons of a zone may ask the store.
const MOST_STEPS: u32 = 10;

/// For how long a view has been behind what others act by.
///
/// A daemon that doesn't watch the store learns from those that do. That one of these
/// is heard says nothing of what it knows, nor whether it gets it across: its watch
/// may hang, or its connection be full. What others say of the revisions they act by
/// tells of changes that haven't arrived here, and for how long.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewLag {
    /// The revision to be reached, and since when it is known to exist.
    missing: Option<(i64, Timestamp)>,
}

impl ViewLag {
    /// Notes that the view is complete up to `own`, and that the newest change that
    /// others act by is at `newest`.
    ///
    /// What counts is how long one change is missing: where changes come one after the
    /// other, some newer one is missing all the time.
    pub fn note(&mut self, own: i64, newest: i64, now: Timestamp) {
        let still_missing = self.missing.filter(|it| it.0 > own);
        let found_missing = (newest > own).then_some((newest, now));
        self.missing = still_missing.or(found_missing);
    }

    /// How long the view has been behind.
    pub fn age(&self, now: Timestamp) -> Duration {
        self.missing.map_or(Duration::ZERO, |it| now.since(it.1))
    }

    /// How many daemons of a zone ask the store beside those that always do: one more
    /// after a step, then three, seven and so on. Were all to ask at the first sign,
    /// a slow moment would cost a call for each daemon of the fleet.
    pub fn stand_ins(&self, now: Timestamp) -> usize {
        let steps = self.age(now).as_millis() / STEP_SPAN.as_millis();
        let steps = u32::try_from(steps).unwrap_or(MOST_STEPS).min(MOST_STEPS);
        (1 << steps) - 1
    }
}
