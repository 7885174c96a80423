//! Whether the store answers, and which waiting calls that puts in doubt.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// A probe is sent when no call was answered for so long at most. A silence that lasts
/// longer is noticed in any case.
const PROBE_INTERVAL: Duration = Duration::from_millis(1_500);
/// How long a probe may take before it counts as lost: at least and at most so long, and
/// this many times what the last answer took. Were each answer of a slow store too late,
/// its watches would be asked anew before they are answered.
const SHORTEST_TIMEOUT: Duration = Duration::from_millis(600);
const LONGEST_TIMEOUT: Duration = Duration::from_millis(1_500);
const TIMEOUT_ANSWERS: u32 = 3;
/// A probe follows a call that waits after so long, since several calls often begin
/// together, but not sooner than so long after the probe before: a directory that changes
/// all the time would cost more in probes than in watches.
const PROOF_LAG: Duration = Duration::from_millis(50);
const SHORTEST_PAUSE: Duration = Duration::from_millis(500);

/// Whether the store answers, and which waiting calls that puts in doubt.
///
/// A call that waits for a change looks the same whether there is none or its answer will
/// never come: after a silence of the store it may hang until its own timeout. Other
/// calls tell the two apart. One that got no answer puts every call in doubt that waits
/// by then; as soon as the store answers anything, these are asked anew
/// (docs/PLATFORM.md).
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreContact {
    /// When the newest of the calls that were answered was asked.
    answered: Option<Timestamp>,
    /// When the newest call was asked that waits for a change.
    waiting: Option<Timestamp>,
    /// When the last probe was asked.
    probed: Option<Timestamp>,
    /// The pause before the next probe while the store answers.
    pause: Duration,
    /// How long the last answer took.
    answer_span: Duration,
    /// Since when the store is known to be silent.
    silent_since: Option<Timestamp>,
    /// When the last silence ended. Calls that were asked before are in doubt.
    regained_at: Option<Timestamp>,
}

impl StoreContact {
    /// How long a probe may take before it counts as lost.
    pub fn probe_timeout(&self) -> Duration {
        (self.answer_span * TIMEOUT_ANSWERS).clamp(SHORTEST_TIMEOUT, LONGEST_TIMEOUT)
    }

    /// Notes that a call is asked that waits for a change.
    pub fn note_waiting(&mut self, now: Timestamp) {
        self.waiting = Some(now);
    }

    /// Notes that a probe is asked, and draws the pause before the next one. Daemons ask
    /// for the next change together, after each change; were they to probe together as
    /// well, a short silence would go unnoticed by all.
    pub fn note_probe(&mut self, random: &mut impl Rng, now: Timestamp) {
        self.probed = Some(now);
        self.pause = PROBE_INTERVAL.mul_f64(random.random_range(0.5..1.0));
    }

    /// Notes that a call was answered that doesn't wait for anything. Returns whether a silence ends with it.
    pub fn note_answer(&mut self, asked: Timestamp, now: Timestamp) -> bool {
        self.answer_span = now.since(asked);
        self.note_news(asked, now)
    }

    /// Notes that a call was answered that had waited for a change. Returns whether a
    /// silence ends with it.
    pub fn note_news(&mut self, asked: Timestamp, now: Timestamp) -> bool {
        self.answered = self.answered.max(Some(asked));
        let is_regained = self.silent_since.take().is_some();
        if is_regained {
            self.regained_at = Some(now);
        }
        is_regained
    }

    /// Notes that a call got no answer. Where one that was asked later has got its answer,
    /// only this call was lost, as writes are now and then. Returns whether the store is
    /// known to be silent from now on.
    pub fn note_lost_call(&mut self, asked: Timestamp, now: Timestamp) -> bool {
        let is_silence = self.answered < Some(asked);
        if is_silence {
            self.silent_since.get_or_insert(now);
        }
        is_silence
    }

    /// Notes that a probe got no answer: the store was silent when it was asked, whatever
    /// was answered since. Returns whether the store is known to be silent from now on.
    pub fn note_lost_probe(&mut self, asked: Timestamp, now: Timestamp) -> bool {
        let is_silence = self.note_lost_call(asked, now);
        if !is_silence {
            self.regained_at = Some(now);
        }
        is_silence
    }

    /// Since when the store is known to be silent.
    pub fn silent_since(&self) -> Option<Timestamp> {
        self.silent_since
    }

    /// How long ago the newest call was asked that was answered.
    pub fn answered_ago(&self, now: Timestamp) -> Option<Duration> {
        self.answered.map(|it| now.since(it))
    }

    /// Whether a call that was asked then and waits still may never be answered, and is
    /// to be asked anew.
    pub fn is_doubtful(&self, asked: Timestamp) -> bool {
        self.regained_at.is_some_and(|it| asked <= it)
    }

    /// When the next probe is due; nothing where none is.
    ///
    /// One daemon of each zone is `lead` and probes the store while it answers; the others
    /// hear from it what they have missed. In a silence that concerns them all do.
    pub fn next_probe(&self, is_lead: bool) -> Option<Timestamp> {
        let lost_at = self.probed.map(|it| it + self.probe_timeout());
        if self.silent_since.is_some() {
            return Some(lost_at.unwrap_or_default());
        }
        let waiting = self.waiting.filter(|_| is_lead)?;
        let is_proved = |answered: &Timestamp| *answered >= waiting;
        let proved = self.answered.filter(is_proved);
        let due = proved.map_or(waiting + PROOF_LAG, |it| it + self.pause);
        let is_open = self.probed > self.answered;
        let rested_at = match is_open {
            true => lost_at,
            false => self.probed.map(|it| it + SHORTEST_PAUSE),
        };
        Some(rested_at.map_or(due, |it| it.max(due)))
    }
}
