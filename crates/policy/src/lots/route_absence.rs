//! Whether the route of an item was taken away, or is just missing for a moment.

use std::time::Duration;

use crate::Timestamp;

/// How long settings have to lack a route before it counts as taken away. Operators may move
/// a route by taking it away in one version of the settings and adding it in another.
const ROUTE_GRACE: Duration = Duration::from_secs(5);
/// The longest time between two observations of one absence. The route may have been back in
/// a longer one.
const MAX_OBSERVATION_GAP: Duration = Duration::from_secs(2);
/// The longest silence of the store in which a daemon's settings say something about the
/// present. It is less than [`ROUTE_GRACE`], so that a daemon without the store ends no item.
const MAX_STORE_SILENCE: Duration = Duration::from_secs(3);

/// What a daemon's settings say about a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteObservation {
    /// Whether the settings have the route.
    pub is_known: bool,
    /// The version of the settings.
    pub version: u64,
    /// The version of the settings that had the route when its lot was accepted.
    pub accepted_version: u64,
    /// The time since the store last answered the daemon.
    pub store_silence: Duration,
}

/// The time for which settings have lacked the route of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteAbsence {
    first_seen_at: Option<Timestamp>,
    last_seen_at: Timestamp,
}

impl RouteAbsence {
    /// Records an observation, and returns whether the route was taken away.
    pub fn observe(&mut self, observation: RouteObservation, now: Timestamp) -> bool {
        let is_current = observation.version >= observation.accepted_version
            && observation.store_silence <= MAX_STORE_SILENCE;
        if observation.is_known || !is_current {
            self.first_seen_at = None;
            return false;
        }
        if now.since(self.last_seen_at) > MAX_OBSERVATION_GAP {
            self.first_seen_at = None;
        }
        self.last_seen_at = now;
        now.since(*self.first_seen_at.get_or_insert(now)) >= ROUTE_GRACE
    }
}
