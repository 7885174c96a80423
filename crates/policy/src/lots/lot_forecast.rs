//! The forecast whether a lot will be done by its due time.

use std::time::Duration;

use crate::Timestamp;

/// The time over which the pace is averaged: long enough to bridge the gaps between
/// writes of grouped results, short enough to notice a lasting burst of live work.
const AVERAGING_WINDOW: Duration = Duration::from_secs(300);
/// The time for which a lot must have been observed before its pace counts.
const MIN_OBSERVATION_TIME: Duration = Duration::from_secs(60);

/// Measures how many items of a lot the whole fleet records a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PaceMeter {
    first_observed_at: Option<Timestamp>,
    last_observed_at: Timestamp,
    items: u32,
    pace: f64,
}

impl PaceMeter {
    /// Updates the pace with the number of items recorded by now.
    pub fn observe(&mut self, items: u32, now: Timestamp) {
        if self.first_observed_at.is_none() {
            *self = PaceMeter {
                first_observed_at: Some(now),
                last_observed_at: now,
                items,
                pace: 0.0,
            };
            return;
        }
        let elapsed = now.since(self.last_observed_at).as_secs_f64();
        if elapsed < 1.0 {
            return;
        }
        let current_pace = f64::from(items.saturating_sub(self.items)) / elapsed;
        let observed_for = now
            .since(self.first_observed_at.unwrap_or(now))
            .min(AVERAGING_WINDOW);
        let weight = (elapsed / observed_for.as_secs_f64().max(elapsed)).min(1.0);
        self.pace += (current_pace - self.pace) * weight;
        self.last_observed_at = now;
        self.items = items;
    }

    /// Returns the pace in items a second, or `None` until the lot was observed for
    /// long enough.
    pub fn pace(&self, now: Timestamp) -> Option<f64> {
        let first_observed_at = self.first_observed_at?;
        (now.since(first_observed_at) >= MIN_OBSERVATION_TIME).then_some(self.pace)
    }

    /// Returns how long `left` items will take, or `None` while the pace is unknown.
    pub fn needs(&self, left: u32, now: Timestamp) -> Option<Duration> {
        let pace = self.pace(now)?;
        let seconds = f64::from(left) / pace.max(f64::MIN_POSITIVE);
        Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
    }
}

/// Whether a lot will be done by its due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LotForecast {
    /// At its present pace it will, or its pace isn't known yet.
    OnTime,
    /// At its present pace it will miss its due time by this much.
    WillBeLate(Duration),
    /// It has missed its due time by this much.
    IsLate(Duration),
}

impl LotForecast {
    /// Returns the forecast for a lot that is due at `due` and needs `needs` from now.
    pub fn judge(due: Timestamp, needs: Option<Duration>, now: Timestamp) -> Self {
        if now > due {
            return LotForecast::IsLate(now.since(due));
        }
        let lateness = needs.unwrap_or_default().checked_sub(due.since(now));
        match lateness.filter(|it| !it.is_zero()) {
            Some(lateness) => LotForecast::WillBeLate(lateness),
            None => LotForecast::OnTime,
        }
    }
}
