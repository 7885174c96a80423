//! Which daemon to ask for a lot that no daemon reports that it runs.

use std::time::Duration;

use crate::{Timestamp, usage::PeerId};

/// How many lots are remembered. A daemon hears of some 100 lots in half a minute.
const MAX_LOTS: usize = 1_024;
/// How many of them are dropped at once when there are too many, so that the oldest needn't
/// be searched for with each new lot.
const DROPPED_LOTS: usize = MAX_LOTS / 4;
/// How long a daemon that didn't answer isn't asked again for the same lot.
const SILENCE_PAUSE: Duration = Duration::from_secs(5);
/// How long a daemon is asked for a lot because the lot was assigned to it. By then it has
/// claimed the lot and reports it, or another daemon may have claimed it.
const ASSIGNMENT_LIFETIME: Duration = Duration::from_millis(2_500);
/// For how long the first assignment of a lot is repeated at most.
const ASSIGNMENT_REPETITION: Duration = Duration::from_millis(3_500);
/// How long a daemon is given to claim and read a lot that was assigned to it. It takes two
/// calls to the store. No other daemon may claim the lot in this time.
const CLAIM_DURATION: Duration = Duration::from_millis(400);

#[derive(Clone, Debug, PartialEq, Eq)]
struct RememberedRunner {
    lot: String,
    runner: PeerId,
    /// Whether it reported that it knows all results, and wasn't just asked to run the lot.
    has_run: bool,
    noted_at: Timestamp,
    not_before: Timestamp,
}

/// The daemons that last ran lots, or were asked to run them, for a bounded number of lots.
#[derive(Clone, Debug, Default)]
pub struct RunnerMemory {
    /// Sorted by lot.
    runners: Vec<RememberedRunner>,
}

impl RunnerMemory {
    /// Records that `runner` is asked to run a lot. Assignments are repeated, and a lot that
    /// was submitted twice may be assigned to two daemons at a time: the first one counts. A
    /// later one to another daemon means that the lot was handed over.
    pub fn note_assigned(&mut self, lot: &str, runner: PeerId, now: Timestamp) {
        let is_known = self.get(lot).is_some_and(|it| {
            it.has_run || it.runner == runner || now.since(it.noted_at) < ASSIGNMENT_REPETITION
        });
        if !is_known {
            self.insert(lot, runner, false, now);
        }
    }

    /// Records that `runner` knew all results of a lot until it stopped reporting the lot.
    pub fn note_ran(&mut self, lot: &str, runner: PeerId, now: Timestamp) {
        self.insert(lot, runner, true, now);
    }

    /// Returns the daemon to ask for a lot before the store is read.
    pub fn runner_to_ask(&self, lot: &str, now: Timestamp) -> Option<PeerId> {
        let known = self.get(lot)?;
        let is_current = known.has_run || now.since(known.noted_at) < ASSIGNMENT_LIFETIME;
        (is_current && now >= known.not_before).then_some(known.runner)
    }

    /// Returns whether a reader that can wait should ask the daemon that a lot is assigned
    /// to again, rather than read the store: it is about to claim the lot. If no daemon has
    /// reported the lot either, there are no results yet.
    pub fn is_about_to_claim(&self, lot: &str, now: Timestamp) -> bool {
        self.get(lot).is_some_and(|it| {
            !it.has_run && now >= it.not_before && now.since(it.noted_at) < CLAIM_DURATION
        })
    }

    /// Records that the daemon that was asked for a lot didn't answer.
    pub fn note_silent(&mut self, lot: &str, now: Timestamp) {
        if let Ok(index) = self.index(lot) {
            self.runners[index].not_before = now + SILENCE_PAUSE;
        }
    }

    /// Records that the daemon that was asked for a lot has no complete copy. One that ran
    /// the lot before won't have one again; one that the lot is assigned to may have one
    /// soon.
    pub fn note_refused(&mut self, lot: &str) {
        if let Ok(index) = self.index(lot)
            && self.runners[index].has_run
        {
            self.runners.remove(index);
        }
    }

    fn index(&self, lot: &str) -> Result<usize, usize> {
        self.runners.binary_search_by(|it| it.lot.as_str().cmp(lot))
    }

    fn get(&self, lot: &str) -> Option<&RememberedRunner> {
        self.index(lot).ok().map(|it| &self.runners[it])
    }

    fn insert(&mut self, lot: &str, runner: PeerId, has_run: bool, now: Timestamp) {
        let known = RememberedRunner {
            lot: lot.to_owned(),
            runner,
            has_run,
            noted_at: now,
            not_before: Timestamp::ZERO,
        };
        match self.index(lot) {
            Ok(index) => self.runners[index] = known,
            Err(index) => {
                self.runners.insert(index, known);
                if self.runners.len() > MAX_LOTS {
                    self.drop_oldest();
                }
            }
        }
    }

    fn drop_oldest(&mut self) {
        let mut times: Vec<Timestamp> = self.runners.iter().map(|it| it.noted_at).collect();
        times.sort_unstable();
        let newest_dropped = times[DROPPED_LOTS - 1];
        let mut dropped = 0;
        self.runners.retain(|it| {
            let is_dropped = dropped < DROPPED_LOTS && it.noted_at <= newest_dropped;
            dropped += usize::from(is_dropped);
            !is_dropped
        });
    }
}
