//! Peers that temporarily get no requests for a view.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// How long a peer that didn't answer in time gets no further request.
const SILENT_BACKOFF: Duration = Duration::from_millis(2_000);
/// The upper limit of the random delay before the next request to a peer that is busy
/// with sending its view. Without the jitter, all rejected daemons would return
/// together.
const MAX_BUSY_BACKOFF: Duration = Duration::from_millis(300);

/// Peers that temporarily get no requests for a view.
///
/// The only up-to-date daemon of a zone may send heartbeats and still answer no
/// requests, because its process hangs or its connection is congested. If it were queried
/// again and again instead of daemons of other zones, its zone would keep old settings
/// for as long as the fault lasts.
#[derive(Clone, Debug)]
pub struct PausedSources<T> {
    paused: Vec<(T, Timestamp)>,
}

impl<T> Default for PausedSources<T> {
    fn default() -> Self {
        PausedSources { paused: Vec::new() }
    }
}

impl<T: Copy + PartialEq> PausedSources<T> {
    /// Returns whether requests to a peer are paused at present.
    pub fn is_paused(&self, source: T, now: Timestamp) -> bool {
        self.paused.iter().any(|it| it.0 == source && it.1 > now)
    }

    /// Records that a peer didn't answer.
    pub fn note_silent(&mut self, source: T, now: Timestamp) {
        self.pause(source, now + SILENT_BACKOFF, now);
    }

    /// Records that a peer rejected a request because it is busy.
    pub fn note_busy(&mut self, source: T, now: Timestamp, random: &mut impl Rng) {
        let backoff = MAX_BUSY_BACKOFF.mul_f64(random.random_range(0.3..1.0));
        self.pause(source, now + backoff, now);
    }

    fn pause(&mut self, source: T, until: Timestamp, now: Timestamp) {
        self.paused.retain(|it| it.0 != source && it.1 > now);
        self.paused.push((source, until));
    }
}
