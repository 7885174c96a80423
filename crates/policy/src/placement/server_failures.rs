//! Servers that answer with failures.
//!
//! The load pattern: a few servers of a service answer each request with status 500 within
//! a millisecond, while their health checks pass. They look idle and would attract most
//! requests of a peak. A failure may also be the fault of the request, of its customer or of
//! the service, so each one is weighed by how the customer's requests fare at other servers:
//!
//! - A request that fails at one server and succeeds at another is proof against the first.
//!   One that fails at two servers counts against neither.
//! - The failure of a request with a single attempt counts as much as the customer's recent
//!   requests to other servers succeeded. Where such failures occur at many servers and none
//!   is proved, they count for nothing, and those that counted are taken back. Without any
//!   proof, one that a peer reports counts only at the server's home daemons.
//! - A failure that a peer reports may be older than the server's recovery, unless the peer has
//!   reported since.
//!
//! A server's level rises with each failure, falls with each success and decays, so that no
//! server is avoided on old evidence. Levels above a threshold make it suspected: it gets
//! only trials, from requests that may run again. Where most servers of a service are
//! suspected, none is avoided.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Timestamp, usage::PeerId};

/// The most servers that a daemon reports to its peers.
pub const MAX_REPORTED_FAILURES: usize = 16;
/// The level from which a server is suspected.
const SUSPECTED_LEVEL: f64 = 0.2;
/// The part of the distance to 1 by which a failure of full weight raises the level.
const FAILURE_STEP: f64 = 0.5;
/// The factor of a success on the level of a server that failed every request lately: such a
/// server seldom succeeds by chance.
const CLEARING_FACTOR: f64 = 0.2;
/// The factor of a success on the level of a server that also succeeds between failures.
const MIXED_FACTOR: f64 = 0.7;
/// The failures after which a success is a recovery. A server that fails half of its requests
/// seldom fails so many in a row.
const MIN_FAILURES_IN_ROW: u32 = 3;
/// How long a server counts as one that both fails and succeeds.
const MIXED_MEMORY: Duration = Duration::from_secs(5);
/// The time constant with which a level decays without evidence.
const DECAY_TIME: Duration = Duration::from_secs(4);
/// The weight of a failure whose customer has no recent requests at other servers: enough to
/// try the server before it gets requests with a single attempt, for less than a second.
pub(super) const UNKNOWN_WEIGHT: f64 = 0.5;
/// The highest weight of an unproven failure, and that of one that a peer reports. Without
/// proof or another failure, a server is suspected for less than two seconds.
pub(super) const MAX_UNPROVEN_WEIGHT: f64 = 0.6;
/// The shortest time between two trials of one daemon at a server.
const TRIAL_INTERVAL: Duration = Duration::from_millis(250);
/// How long a server is reported to peers after the last news of it.
const REPORT_TIME: Duration = Duration::from_secs(5);
/// How long after the last news counts start anew. It exceeds [`REPORT_TIME`] and
/// [`PEER_MEMORY`] together, so that peers don't compare new counts with old ones.
const COUNT_MEMORY: Duration = Duration::from_secs(10);
/// How long a peer's counts are compared with the next ones that it reports.
const PEER_MEMORY: Duration = Duration::from_secs(5);
/// The longest time between two reports of a peer.
const REPORT_INTERVAL: Duration = Duration::from_millis(750);
/// How long an unproven failure is remembered beside others.
pub(super) const UNPROVEN_MEMORY: Duration = Duration::from_secs(5);
/// The most failures, and the most successes, that are taken from one report.
const MAX_REPORTED_CHANGE: u16 = 4;

/// How a daemon's recent requests to one server ended. Daemons report it to each other for
/// servers that failed lately. Counts grow until the server has not failed for a while, so
/// that the next report makes up for a lost one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// The hash of the server's name.
    pub server: u64,
    /// The requests that failed at this server although their customers' requests to other
    /// servers of the service succeed.
    pub failed: u16,
    /// Those of `failed` that then succeeded at another server.
    pub failed_alone: u16,
    /// The requests that succeeded.
    pub succeeded: u16,
}

/// What a peer's counts say beyond those that it reported before.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct CountChange {
    pub(super) unproven: u16,
    pub(super) failed_alone: u16,
    pub(super) succeeded: u16,
}

/// What an answer says of the server that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEvidence {
    /// It answered a request successfully.
    Succeeded,
    /// It failed a request that isn't sent to another server.
    Failed,
    /// It failed a request that then succeeded at another server.
    FailedAlone,
    /// It failed a request that failed at another server too.
    FailedLikeOthers,
}

impl AnswerEvidence {
    /// Returns the evidence as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            AnswerEvidence::Succeeded => "succeeded",
            AnswerEvidence::Failed => "failed",
            AnswerEvidence::FailedAlone => "failed_alone",
            AnswerEvidence::FailedLikeOthers => "failed_like_others",
        }
    }
}

/// A change of what is believed of a server, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionChange {
    /// Whether the server is suspected from now on.
    pub is_suspected: bool,
    /// Whether the server works again after it had failed all requests, as far as is known.
    pub is_recovery: bool,
    /// Its level from 0 (works) to 1 (fails).
    pub level: f64,
    /// The weight of the last failure, from 0 to 1.
    pub weight: f64,
    /// The requests that count as failed at this daemon, and those that succeeded since the
    /// first of them.
    pub counts: FailureCount,
    /// The time since the last failure; `None` if this daemon has seen none.
    pub failure_age: Option<Duration>,
}

/// What a daemon knows of one server's failures.
#[derive(Clone, Debug, Default)]
pub(super) struct FailureRecord {
    level: f64,
    level_at: Timestamp,
    /// The weight of the last failure.
    weight: f64,
    last_failure: Option<Timestamp>,
    /// When this daemon last had something to report of the server: a failure, or a success
    /// while it was suspected.
    last_news: Option<Timestamp>,
    /// The last success after a failure.
    last_success: Option<Timestamp>,
    /// When a success last ended the suspicion of the server, which had failed all requests.
    recovered_at: Option<Timestamp>,
    mixed_until: Timestamp,
    /// The failures since a success last ended the server's suspicion.
    failures_in_row: u32,
    /// When a request last failed here and succeeded at another server.
    last_proof: Option<Timestamp>,
    last_trial: Option<Timestamp>,
    own: FailureCount,
    /// The last counts of peers, sorted by peer.
    peers: Vec<PeerCounts>,
}

#[derive(Clone, Copy, Debug)]
struct PeerCounts {
    peer: PeerId,
    counts: FailureCount,
    received_at: Timestamp,
}

impl FailureRecord {
    /// Returns the level at present.
    pub(super) fn level(&self, now: Timestamp) -> f64 {
        let age = now.since(self.level_at).as_secs_f64() / DECAY_TIME.as_secs_f64();
        self.level * (-age).exp()
    }

    /// Returns whether the server probably fails the next request.
    pub(super) fn is_suspected(&self, now: Timestamp) -> bool {
        // Most servers have never failed, and every decision looks at each of them.
        self.level > 0.0 && self.level(now) >= SUSPECTED_LEVEL
    }

    /// Returns whether a request that may run again may be sent to the suspected server.
    pub(super) fn is_trial_due(&self, now: Timestamp) -> bool {
        self.is_suspected(now) && self.is_check_due(now)
    }

    /// Returns whether the server may be tried by requests that may run again although it
    /// isn't suspected: nothing runs there, while other servers of its service fail at once.
    pub(super) fn is_check_due(&self, now: Timestamp) -> bool {
        let is_paused = |it: Timestamp| now.since(it) < TRIAL_INTERVAL;
        !self.last_trial.is_some_and(is_paused)
    }

    pub(super) fn record_trial(&mut self, now: Timestamp) {
        self.last_trial = Some(now);
    }

    pub(super) fn record_success(&mut self, now: Timestamp) {
        // A peer may have reported the failure, and waits to hear that the server works.
        if self.is_suspected(now) {
            self.begin_counts(now);
        }
        if self.last_news.is_some() {
            self.own.succeeded = self.own.succeeded.wrapping_add(1);
        }
        self.apply_success(now);
    }

    /// Records a failure that counts with a weight from 0 to 1. `is_alone` says whether the
    /// request then succeeded at another server.
    pub(super) fn record_failure(&mut self, weight: f64, is_alone: bool, now: Timestamp) {
        self.count_failure(weight, is_alone, now);
        if weight > 0.0 {
            self.apply_failure(weight, now);
        }
    }

    /// Counts a failure for the reports to peers.
    pub(super) fn count_failure(&mut self, weight: f64, is_alone: bool, now: Timestamp) {
        // Peers can't weigh it, so that they are told only of failures that are hardly the
        // customer's fault.
        if weight >= UNKNOWN_WEIGHT {
            self.begin_counts(now);
            self.own.failed = self.own.failed.wrapping_add(1);
            self.own.failed_alone = self.own.failed_alone.wrapping_add(is_alone.into());
        }
    }

    /// Notes that there is something to report, and begins new counts after a while without.
    fn begin_counts(&mut self, now: Timestamp) {
        let is_recent = |it: Timestamp| now.since(it) < COUNT_MEMORY;
        if !self.last_news.is_some_and(is_recent) {
            self.own = FailureCount::default();
        }
        self.last_news = Some(now);
    }

    pub(super) fn apply_failure(&mut self, weight: f64, now: Timestamp) {
        if self
            .last_success
            .is_some_and(|it| now.since(it) < MIXED_MEMORY)
        {
            self.mixed_until = now + MIXED_MEMORY;
        }
        let level = self.level(now);
        self.level = level + FAILURE_STEP * weight.min(1.0) * (1.0 - level);
        self.level_at = now;
        self.weight = weight;
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.last_failure = Some(now);
    }

    /// Records that a request failed here and succeeded at another server.
    pub(super) fn record_proof(&mut self, now: Timestamp) {
        self.last_proof = Some(now);
    }

    /// Records that a request failed here and at another server too. It speaks for the server
    /// unless that is proved to fail.
    pub(super) fn record_alike(&mut self, now: Timestamp) {
        if self.is_suspected(now) && !self.is_proved(now) {
            self.level = self.level(now) * CLEARING_FACTOR;
            self.level_at = now;
        }
    }

    /// Returns whether a request lately failed here and succeeded at another server.
    pub(super) fn is_proved(&self, now: Timestamp) -> bool {
        let is_recent = |it: Timestamp| now.since(it) < UNPROVEN_MEMORY;
        self.last_proof.is_some_and(is_recent)
    }

    /// Returns whether the server works again after it had failed all requests lately.
    fn has_recovered(&self, now: Timestamp) -> bool {
        !self.is_suspected(now)
            && self.is_proved(now)
            && self.failures_in_row >= MIN_FAILURES_IN_ROW
            && now >= self.mixed_until
    }

    /// Takes back unproven failures that occur at other servers as well.
    pub(super) fn withdraw_unproven(&mut self, now: Timestamp) {
        if !self.is_proved(now) {
            self.level = 0.0;
        }
    }

    pub(super) fn apply_success(&mut self, now: Timestamp) {
        if self.last_failure.is_none() {
            return;
        }
        let factor = match now < self.mixed_until {
            true => MIXED_FACTOR,
            false => CLEARING_FACTOR,
        };
        let was_suspected = self.is_suspected(now);
        self.level = self.level(now) * factor;
        self.level_at = now;
        self.last_success = Some(now);
        if was_suspected && self.has_recovered(now) {
            self.recovered_at = Some(now);
        }
        if !self.is_suspected(now) {
            self.failures_in_row = 0;
        }
    }

    /// Takes a peer's counts, and returns what they say beyond those that it reported before.
    pub(super) fn receive(
        &mut self,
        peer: PeerId,
        counts: FailureCount,
        now: Timestamp,
    ) -> CountChange {
        self.peers
            .retain(|it| now.since(it.received_at) < PEER_MEMORY);
        let received = PeerCounts {
            peer,
            counts,
            received_at: now,
        };
        let (former, former_at) = match self.peers.binary_search_by_key(&peer, |it| it.peer) {
            Ok(index) => {
                let former = std::mem::replace(&mut self.peers[index], received);
                (former.counts, Some(former.received_at))
            }
            Err(index) => {
                self.peers.insert(index, received);
                (FailureCount::default(), None)
            }
        };
        // Counts that fell are those of another run of the peer.
        let added = |new: u16, old: u16| match new.wrapping_sub(old) {
            change if change <= u16::MAX / 2 => change.min(MAX_REPORTED_CHANGE),
            _ => new.min(MAX_REPORTED_CHANGE),
        };
        // The failures may be older than the recovery unless the peer has reported since.
        let is_old = self.recovered_at.is_some_and(|it| {
            now.since(it) < REPORT_INTERVAL && former_at.is_none_or(|former_at| former_at < it)
        });
        let failed = match is_old {
            true => 0,
            false => added(counts.failed, former.failed),
        };
        let failed_alone = added(counts.failed_alone, former.failed_alone).min(failed);
        CountChange {
            unproven: failed - failed_alone,
            failed_alone,
            succeeded: added(counts.succeeded, former.succeeded),
        }
    }

    /// Returns the counts that are reported to peers, and the age of the last news, if there
    /// were some lately.
    pub(super) fn report(&self, server: u64, now: Timestamp) -> Option<(Duration, FailureCount)> {
        let age = now.since(self.last_news?);
        (age < REPORT_TIME).then_some((age, FailureCount { server, ..self.own }))
    }

    /// Describes a change since `was_suspected`, if there is one.
    pub(super) fn change(
        &self,
        was_suspected: bool,
        server: u64,
        now: Timestamp,
    ) -> Option<SuspicionChange> {
        let is_suspected = self.is_suspected(now);
        (is_suspected != was_suspected).then(|| SuspicionChange {
            is_suspected,
            is_recovery: !is_suspected && self.recovered_at == Some(now),
            level: self.level(now),
            weight: self.weight,
            counts: FailureCount { server, ..self.own },
            failure_age: self.last_failure.map(|it| now.since(it)),
        })
    }
}
