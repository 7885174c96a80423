//! The health of a server, which determines its share of new requests.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// The weight below which a failing server is ejected.
const EJECT_BELOW: f32 = 0.2;

/// The weight with which a server returns from an ejection.
const PROBE_WEIGHT: f32 = 1.0 / 16.0;

/// The minimum interval between two doublings of a weight.
const RAISE_INTERVAL: Duration = Duration::from_secs(1);

/// The duration of the first ejection.
const FIRST_BACKOFF: Duration = Duration::from_secs(1);

/// The maximum duration of an ejection, before jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(60);

/// The result of an attempt at a server, as its connection showed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// The server answered completely.
    Ok,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke after the request was sent, or the server was silent for
    /// longer than any server may be. The expiry of a caller's own short deadline
    /// doesn't count, since a single caller could otherwise get healthy servers
    /// ejected.
    Broken,
}

/// The health of one server, derived from the results of attempts.
///
/// A failure halves the weight, and a server whose weight becomes low is ejected for a
/// time that doubles with each ejection. It returns with a small weight that doubles at
/// most once a second while it answers. Without gradual steps, a server that fails half
/// its requests would alternate between its full share and none, and a returning server
/// would at once get the load of one that is warmed up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerHealth {
    weight: f32,
    ejections: u32,
    ejected_until: Timestamp,
    raised_at: Timestamp,
    last_ok: Option<Timestamp>,
}

impl Default for ServerHealth {
    fn default() -> Self {
        ServerHealth {
            weight: 1.0,
            ejections: 0,
            ejected_until: Timestamp::ZERO,
            raised_at: Timestamp::ZERO,
            last_ok: None,
        }
    }
}

impl ServerHealth {
    /// Returns the fraction of its normal share that the server may get; 0 while it is
    /// ejected.
    pub fn weight(&self, now: Timestamp) -> f32 {
        if self.is_ejected(now) {
            0.0
        } else {
            self.weight
        }
    }

    /// Returns whether the server is ejected at present.
    pub fn is_ejected(&self, now: Timestamp) -> bool {
        now < self.ejected_until
    }

    /// Returns whether the server answered completely within `span` before `now`.
    pub fn answered_within(&self, span: Duration, now: Timestamp) -> bool {
        self.last_ok.is_some_and(|at| now.since(at) <= span)
    }

    pub(super) fn succeed(&mut self, now: Timestamp) {
        self.last_ok = Some(now);
        if self.weight >= 1.0 || now.since(self.raised_at) < RAISE_INTERVAL {
            return;
        }
        self.raised_at = now;
        self.weight = (self.weight * 2.0).min(1.0);
        if self.weight >= 1.0 {
            self.ejections = 0;
        }
    }

    /// Halves the weight, and ejects the server if its weight is low and `may_eject` is
    /// set.
    pub(super) fn fail(&mut self, may_eject: bool, now: Timestamp, rng: &mut impl Rng) {
        if self.is_ejected(now) {
            // Requests sent before the ejection still fail one by one. They carry no new
            // information and must not prolong the ejection.
            return;
        }
        self.raised_at = now;
        self.weight = (self.weight / 2.0).max(PROBE_WEIGHT);
        if self.weight >= EJECT_BELOW || !may_eject {
            return;
        }
        self.weight = PROBE_WEIGHT;
        self.ejected_until = now + self.backoff(rng);
        self.ejections += 1;
    }

    /// Returns the duration of the next ejection, with jitter so that the daemons of a
    /// zone don't all return to the server at the same time.
    fn backoff(&self, rng: &mut impl Rng) -> Duration {
        let doublings = self.ejections.min(6);
        let span = (FIRST_BACKOFF * (1 << doublings)).min(MAX_BACKOFF);
        span.mul_f64(rng.random_range(0.75..1.25))
    }
}
