//! The limit on requests to servers that have just started.
//!
//! The load pattern: all servers of a zone come back at once while callers are at their
//! peak. Idle servers cost least, so that every daemon of the zone would send its next
//! requests to the same ones, before any has a report of another.
//!
//! No daemon knows in time what the others send, so the limit of a server is divided
//! beforehand: a few daemons, chosen by hash, may use the server while it is cold, each at
//! its own share. docs/design/shifted-work.md compares this with other divisions.

use std::time::Duration;

use crate::{Timestamp, hash::mix, usage::PeerId};

/// The part of the limit that daemons use. The rest is for daemons whose lists of daemons
/// differ, so that more than [`MAX_USERS`] consider themselves users of a server, and for
/// requests that arrive closer together than they were sent.
const USED_FRACTION: f64 = 0.6;
/// How many daemons use a cold server.
const MAX_USERS: usize = 4;
/// The window over which a daemon counts its requests: the second of the limit, and a
/// margin for connections that take time to open.
const COUNT_WINDOW: Duration = Duration::from_millis(1_150);
/// The longest time that a server is believed to stay cold, in multiples of the usual
/// time.
const MAX_COLD_PERIODS: u32 = 10;

/// How many requests the servers of a service may get while they are cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdStartLimit {
    /// How long a server usually stays cold after it starts.
    pub period: Duration,
    /// The most requests that a cold server may get within any second, from all daemons
    /// together.
    pub requests: u32,
}

/// How far the operators let requests to cold servers exceed what these are said to
/// tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdTolerance {
    /// The tolerated requests as a multiple of the rate that a cold server tolerates.
    pub factor: f64,
    /// The tolerated requests on top of that.
    pub requests: f64,
}

impl Default for ColdTolerance {
    fn default() -> Self {
        ColdTolerance {
            factor: 1.0,
            requests: 0.0,
        }
    }
}

impl ColdTolerance {
    /// Returns the limit of a service whose servers tolerate `rate` requests a second while
    /// they are cold, for `period` after a start; `None` if they are never cold. A rate that
    /// isn't a positive number counts as 0.
    pub fn limit(self, period: Duration, rate: f64) -> Option<ColdStartLimit> {
        let requests = rate.max(0.0) * self.factor + self.requests;
        (!period.is_zero()).then_some(ColdStartLimit {
            period,
            requests: requests as u32,
        })
    }
}

impl ColdStartLimit {
    /// Returns how many requests the daemon `own` may send to a cold server, given by the
    /// hash of its name, in a little more than a second. `candidates` are the daemons that
    /// may use the server, in groups: those of an earlier group come first.
    ///
    /// Each daemon has the same share however many candidates it knows. If a single
    /// candidate had the shares of all, every daemon that has just started, and knows no
    /// other, would use the whole limit.
    pub fn share(self, server: u64, own: PeerId, candidates: &[&[PeerId]]) -> u32 {
        let used = (f64::from(self.requests) * USED_FRACTION).max(1.0);
        let users = MAX_USERS.min(used as usize);
        if self.requests == 0 || !is_user(server, own, candidates, users) {
            return 0;
        }
        used as u32 / users as u32
    }
}

/// Returns whether `own` is among the first `users` candidates, within a group by hash.
fn is_user(server: u64, own: PeerId, candidates: &[&[PeerId]], users: usize) -> bool {
    let score = |daemon: PeerId| mix(server ^ daemon.0);
    let mut preceding = 0;
    for group in candidates {
        let is_in_group = group.contains(&own);
        let before = |it: &&PeerId| !is_in_group || score(**it) > score(own);
        preceding += group.iter().filter(before).count();
        if preceding >= users {
            return false;
        }
        if is_in_group {
            return true;
        }
    }
    false
}

/// Whether a server is cold, and this daemon's requests to it.
#[derive(Clone, Debug, Default)]
pub(super) struct ColdStart {
    until: Timestamp,
    /// This daemon's share of the limit, in requests within [`COUNT_WINDOW`].
    pub(super) share: u32,
    /// The requests within [`COUNT_WINDOW`], oldest first. They are counted while the
    /// server is warm too: it may turn cold at any time.
    sent: Vec<Timestamp>,
}

impl ColdStart {
    pub(super) fn is_cold(&self, now: Timestamp) -> bool {
        now < self.until
    }

    /// Takes the server as cold for `left` from now on. Returns whether it counted as warm.
    pub(super) fn extend(&mut self, limit: ColdStartLimit, left: Duration, now: Timestamp) -> bool {
        let was_warm = !self.is_cold(now);
        let left = left.min(limit.period * MAX_COLD_PERIODS);
        self.until = self.until.max(now + left);
        was_warm && self.is_cold(now)
    }

    /// Returns whether a request may be sent to the server now.
    ///
    /// A daemon doesn't know what its former run sent just before it started, so it counts
    /// its share as used until then.
    pub(super) fn has_room(&self, now: Timestamp) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let has_history = now >= Timestamp::ZERO + COUNT_WINDOW;
        let recent = self.sent.iter().filter(|it| now.since(**it) < COUNT_WINDOW);
        has_history && recent.count() < self.share as usize
    }

    pub(super) fn record_request(&mut self, now: Timestamp) {
        self.sent.retain(|it| now.since(*it) < COUNT_WINDOW);
        self.sent.push(now);
    }

    /// Takes over the requests to a former run of the server, which arrive at this one if
    /// both have the same name.
    pub(super) fn after_restart_of(former: &ColdStart) -> Self {
        ColdStart {
            sent: former.sent.clone(),
            ..ColdStart::default()
        }
    }
}
