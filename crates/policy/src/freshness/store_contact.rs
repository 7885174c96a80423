//! Detection of whether the store answers and which waiting calls may have been lost.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// The maximum time without an answered call before a probe is sent. Any silence that
/// lasts longer is detected.
const MAX_PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// Bounds of the probe timeout, and its multiple of the latency of the last answer. If
/// every answer of a slow store exceeded the timeout, its watches would be reissued
/// before they are answered.
const MIN_PROBE_TIMEOUT: Duration = Duration::from_millis(600);
const MAX_PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);
const TIMEOUT_LATENCY_FACTOR: u32 = 3;
/// A probe is sent this long after a call that waits for a change, since several calls
/// often begin together, but not earlier than `MIN_PROBE_INTERVAL` after the previous
/// probe: otherwise a directory that changes constantly would cost more probes than
/// watches.
const PROBE_DELAY: Duration = Duration::from_millis(50);
const MIN_PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Tracks whether the store answers and which waiting calls may have been lost.
///
/// A call that waits for a change looks the same whether there is no change or its
/// answer has been lost: after a silence of the store it may hang until its own
/// timeout. Other calls distinguish the two cases. When one of them gets no answer,
/// every call that is waiting at that time becomes unconfirmed; as soon as the store
/// answers anything, the unconfirmed calls are reissued (docs/PLATFORM.md).
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// The send time of the most recently sent call that has been answered.
    newest_answered: Option<Timestamp>,
    /// The send time of the newest call that waits for a change.
    newest_waiting: Option<Timestamp>,
    /// The send time of the last probe.
    last_probe: Option<Timestamp>,
    /// The delay before the next probe while the store answers.
    probe_interval: Duration,
    /// The latency of the last answer.
    answer_latency: Duration,
    /// The time at which the store was found to be silent, while it is.
    silent_since: Option<Timestamp>,
    /// The end of the last silence. Calls that were sent before are unconfirmed.
    regained_at: Option<Timestamp>,
}

impl StoreContact {
    /// Returns the time after which an unanswered probe counts as lost.
    pub fn probe_timeout(&self) -> Duration {
        (self.answer_latency * TIMEOUT_LATENCY_FACTOR).clamp(MIN_PROBE_TIMEOUT, MAX_PROBE_TIMEOUT)
    }

    /// Records that a call that waits for a change is sent.
    pub fn note_waiting(&mut self, now: Timestamp) {
        self.newest_waiting = Some(now);
    }

    /// Records that a probe is sent, and draws the delay before the next one. Daemons
    /// reissue their watches at the same time, after each change; if they also sent
    /// their probes at the same time, none of them would detect a short silence.
    pub fn note_probe(&mut self, random: &mut impl Rng, now: Timestamp) {
        self.last_probe = Some(now);
        self.probe_interval = MAX_PROBE_INTERVAL.mul_f64(random.random_range(0.5..1.0));
    }

    /// Records the answer to a call that doesn't wait for a change. Returns whether it
    /// ends a silence.
    pub fn note_answer(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        self.answer_latency = now.since(sent_at);
        self.note_change(sent_at, now)
    }

    /// Records the answer to a call that waited for a change. Returns whether it ends a
    /// silence.
    pub fn note_change(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        self.newest_answered = self.newest_answered.max(Some(sent_at));
        let is_regained = self.silent_since.take().is_some();
        if is_regained {
            self.regained_at = Some(now);
        }
        is_regained
    }

    /// Records that a call got no answer. If a call that was sent later has been
    /// answered, only this call was lost, which happens to writes occasionally. Returns
    /// whether the store counts as silent from now on.
    pub fn note_lost_call(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        let is_silence = self.newest_answered < Some(sent_at);
        if is_silence {
            self.silent_since.get_or_insert(now);
        }
        is_silence
    }

    /// Records that a probe got no answer: the store was silent when the probe was
    /// sent, whatever was answered since. Returns whether the store counts as silent
    /// from now on.
    pub fn note_lost_probe(&mut self, sent_at: Timestamp, now: Timestamp) -> bool {
        let is_silence = self.note_lost_call(sent_at, now);
        if !is_silence {
            self.regained_at = Some(now);
        }
        is_silence
    }

    /// Returns since when the store has been known to be silent, if it is.
    pub fn silent_since(&self) -> Option<Timestamp> {
        self.silent_since
    }

    /// Returns how long ago the newest answered call was sent.
    pub fn answered_call_age(&self, now: Timestamp) -> Option<Duration> {
        self.newest_answered.map(|it| now.since(it))
    }

    /// Returns whether a call that was sent at `sent_at` and still waits may never be
    /// answered, so that it has to be reissued.
    pub fn is_unconfirmed(&self, sent_at: Timestamp) -> bool {
        self.regained_at.is_some_and(|it| sent_at <= it)
    }

    /// Returns when the next probe is due, if one is needed.
    ///
    /// While the store answers, only one daemon of each zone (`is_lead`) sends probes;
    /// the others receive from it what they have missed. During a silence that affects
    /// all of them, all do.
    pub fn next_probe(&self, is_lead: bool) -> Option<Timestamp> {
        if self.silent_since.is_some() {
            // A probe that isn't lost yet delays no further one. If the last answer before
            // the silence was slow, the store's return would be noticed that much later.
            let due = self.last_probe.map(|it| it + MIN_PROBE_TIMEOUT);
            return Some(due.unwrap_or_default());
        }
        let lost_at = self.last_probe.map(|it| it + self.probe_timeout());
        let newest_waiting = self.newest_waiting.filter(|_| is_lead)?;
        let is_confirmed = |newest_answered: &Timestamp| *newest_answered >= newest_waiting;
        let confirmed = self.newest_answered.filter(is_confirmed);
        let due = confirmed.map_or(newest_waiting + PROBE_DELAY, |it| it + self.probe_interval);
        let is_pending = self.last_probe > self.newest_answered;
        let earliest = match is_pending {
            true => lost_at,
            false => self.last_probe.map(|it| it + MIN_PROBE_INTERVAL),
        };
        Some(earliest.map_or(due, |it| it.max(due)))
    }
}
