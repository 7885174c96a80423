//! Lots that wait to be claimed by a daemon.

use comfreyramp_policy::{Timestamp, usage::PeerId};

/// A lot that waits to be claimed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LotCandidate {
    /// Id of the lot.
    pub lot: String,
    /// Daemon that is asked to run it, if the daemon that accepted the lot chose one.
    pub runner: Option<PeerId>,
    /// Moment since which this daemon knows the lot.
    pub known_since: Timestamp,
    /// Moment since which this daemon knows that no daemon runs it.
    pub unclaimed_since: Timestamp,
    /// Earliest moment at which it may be claimed.
    pub not_before: Timestamp,
    /// Whether a claim of this daemon is being written.
    pub is_claiming: bool,
}

/// Lots that wait to be claimed, each of them once.
///
/// A lot that is listed twice would be claimed twice by the same daemon, which accepts its
/// own claim as valid. It would run all items twice and store their results at two
/// positions.
#[derive(Clone, Debug, Default)]
pub struct LotCandidates {
    candidates: Vec<LotCandidate>,
}

impl LotCandidates {
    /// Adds a lot that may be claimed from `not_before` on. If the lot waits already, only
    /// its `not_before` is moved to the later of the two moments.
    pub fn add(&mut self, lot: &str, now: Timestamp, not_before: Timestamp) {
        if let Some(candidate) = self.find(lot) {
            candidate.not_before = candidate.not_before.max(not_before);
            return;
        }
        self.candidates.push(LotCandidate {
            lot: lot.to_owned(),
            runner: None,
            known_since: now,
            unclaimed_since: now,
            not_before,
            is_claiming: false,
        });
    }

    /// Returns whether a lot waits to be claimed.
    pub fn contains(&self, lot: &str) -> bool {
        self.candidates.iter().any(|it| it.lot == lot)
    }

    /// Records which daemon is asked to run a lot. The first call wins, since a lot that
    /// was submitted twice may be assigned to two daemons.
    pub fn assign(&mut self, lot: &str, runner: PeerId) {
        if let Some(candidate) = self.find(lot) {
            candidate.runner.get_or_insert(runner);
        }
    }

    /// Removes a lot.
    pub fn remove(&mut self, lot: &str) {
        self.candidates.retain(|it| it.lot != lot);
    }

    /// Makes a lot whose claim failed wait again until `not_before`.
    pub fn postpone(&mut self, lot: &str, not_before: Timestamp) {
        if let Some(candidate) = self.find(lot) {
            candidate.is_claiming = false;
            candidate.not_before = not_before;
        }
    }

    /// Keeps only the lots for which `is_kept` returns true.
    pub fn retain(&mut self, is_kept: impl FnMut(&LotCandidate) -> bool) {
        self.candidates.retain(is_kept);
    }

    /// Iterates over all waiting lots, so that the caller can mark them as being claimed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut LotCandidate> {
        self.candidates.iter_mut()
    }

    fn find(&mut self, lot: &str) -> Option<&mut LotCandidate> {
        self.candidates.iter_mut().find(|it| it.lot == lot)
    }
}
