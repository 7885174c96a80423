//! What one daemon knows of one part.

use std::time::Duration;

use super::{
    CRASHES_TO_BLOCK, PartKey, PartReport, ReportedCrash, ServerRun,
    part_report::{age_of, moment_of},
    trials::TrialPace,
};
use crate::Timestamp;

/// The maximum number of crashes that are kept of a part.
const MAX_CRASHES: usize = 8;
/// How long a part is remembered after its last crash, answer or request.
const RETENTION: Duration = Duration::from_secs(600);
/// Crashes within this time may be one outage.
const GROUP_TIME: Duration = Duration::from_millis(250);
/// How long a trial may take until its server crashes. Later crashes aren't the trial's.
const MAX_TRIAL_TIME: Duration = Duration::from_secs(5);
/// By how much a reported answer or trial has to be later than the last one known to be news.
/// Reports pass from daemon to daemon, and each time a moment seems later by the time on the
/// way.
const NEWS_MARGIN: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    server: ServerRun,
    at: Timestamp,
    /// Whether crashes at about the same time count as this one.
    is_group: bool,
}

#[derive(Clone, Debug)]
pub(super) struct PartEntry {
    pub(super) part: PartKey,
    /// Since the last answer that was written to its end; one for each server.
    crashes: Vec<Crash>,
    finished_at: Option<Timestamp>,
    seen_at: Timestamp,
    /// The number of trials that crashed a server.
    trials: u8,
    /// When the last trial began at any daemon.
    tried_at: Option<Timestamp>,
    /// When this daemon began a trial whose end it doesn't know.
    trial_began_at: Option<Timestamp>,
    /// When something changed that other daemons have to know.
    pub(super) changed_at: Timestamp,
}

impl PartEntry {
    pub(super) fn new(part: PartKey, now: Timestamp) -> Self {
        PartEntry {
            part,
            crashes: Vec::new(),
            finished_at: None,
            seen_at: now,
            trials: 0,
            tried_at: None,
            trial_began_at: None,
            changed_at: now,
        }
    }

    pub(super) fn is_blocked(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_BLOCK
    }

    pub(super) fn is_suspected(&self) -> bool {
        !self.crashes.is_empty()
    }

    pub(super) fn crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the last moment at which anything was learnt of the part.
    pub(super) fn last_used_at(&self) -> Timestamp {
        let crashes = self.crashes.iter().map(|it| it.at);
        let last = crashes.chain(self.finished_at).max();
        last.unwrap_or_default().max(self.seen_at)
    }

    pub(super) fn is_expired(&self, now: Timestamp) -> bool {
        now.since(self.last_used_at()) >= RETENTION
    }

    /// Records a crash. Of a part on which answers were written lately, all crashes at about
    /// the same time count as one: they are more likely an outage.
    pub(super) fn record_crash(&mut self, server: ServerRun, is_proven: bool, now: Timestamp) {
        self.seen_at = now;
        let trial = self.trial_began_at.take();
        if trial.is_some_and(|it| now.since(it) < MAX_TRIAL_TIME) {
            self.trials = self.trials.saturating_add(1);
            self.changed_at = now;
        }
        let crash = Crash {
            server,
            at: now,
            is_group: is_proven,
        };
        if self.add_crash(crash) {
            self.changed_at = now;
        }
    }

    /// Returns whether the crash is new.
    fn add_crash(&mut self, crash: Crash) -> bool {
        if self.finished_at.is_some_and(|it| crash.at <= it) {
            return false;
        }
        if let Some(known) = self.crashes.iter_mut().find(|it| it.server == crash.server) {
            known.at = known.at.min(crash.at);
            return false;
        }
        let is_same_time =
            |it: &Crash| it.at.since(crash.at) < GROUP_TIME && crash.at.since(it.at) < GROUP_TIME;
        let is_in_group = crash.is_group && self.crashes.iter().any(is_same_time);
        if is_in_group || self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.crashes.push(crash);
        true
    }

    pub(super) fn record_finished(&mut self, now: Timestamp) {
        if self.is_suspected() {
            self.changed_at = now;
        }
        self.finish(now);
    }

    fn finish(&mut self, at: Timestamp) {
        self.finished_at = Some(at);
        self.crashes.retain(|it| it.at > at);
        if !self.is_blocked() {
            self.trials = 0;
            self.tried_at = None;
            self.trial_began_at = None;
        }
    }

    pub(super) fn record_seen(&mut self, now: Timestamp) {
        self.seen_at = now;
    }

    /// Returns whether this daemon, of a rank, may try the part now.
    pub(super) fn may_be_tried(&self, pace: &TrialPace, rank: usize, now: Timestamp) -> bool {
        let crashes = self.crashes.iter().map(|it| it.at);
        let last = crashes.chain(self.tried_at).max().unwrap_or_default();
        now.since(last) >= pace.delay(self.trials, rank)
    }

    pub(super) fn begin_trial(&mut self, now: Timestamp) {
        self.trial_began_at = Some(now);
        self.tried_at = Some(now);
        self.changed_at = now;
    }

    pub(super) fn report(&self, now: Timestamp) -> PartReport {
        let crashes = self.crashes.iter().map(|it| ReportedCrash {
            server: it.server,
            age: age_of(it.at, now),
            is_group: it.is_group,
        });
        PartReport {
            part: self.part,
            crashes: crashes.collect(),
            finished: self.finished_at.map(|it| age_of(it, now)),
            seen: age_of(self.seen_at, now),
            trials: self.trials,
            tried: self.tried_at.map(|it| age_of(it, now)),
        }
    }

    /// Returns whether the report tells of a trial that isn't known.
    fn receive_trials(&mut self, report: &PartReport, now: Timestamp) -> bool {
        let tried_at = report.tried.map(|it| moment_of(it, now));
        let is_later = tried_at > self.tried_at.map(|it| it + NEWS_MARGIN);
        if is_later {
            self.tried_at = tried_at;
        }
        let has_crashed = report.trials > self.trials;
        self.trials = self.trials.max(report.trials);
        is_later || has_crashed
    }

    pub(super) fn receive(&mut self, report: &PartReport, now: Timestamp) {
        let mut is_news = false;
        if let Some(finished) = report.finished {
            let finished_at = moment_of(finished, now);
            let is_later = self
                .finished_at
                .is_none_or(|it| finished_at > it + NEWS_MARGIN);
            let clears = self.crashes.iter().any(|it| it.at <= finished_at);
            if is_later || clears {
                self.finish(finished_at);
                is_news = true;
            }
        }
        for crash in &report.crashes {
            let at = moment_of(crash.age, now);
            // The sender hasn't heard of the answer that cleared this crash.
            is_news |= self.finished_at.is_some_and(|it| at <= it);
            is_news |= self.add_crash(Crash {
                server: crash.server,
                at,
                is_group: crash.is_group,
            });
        }
        is_news |= self.is_blocked() && self.receive_trials(report, now);
        self.seen_at = self.seen_at.max(moment_of(report.seen, now));
        if is_news {
            self.changed_at = now;
        }
    }
}
