//! Lots that wait for a claim.

use comfreyramp_policy::{Timestamp, usage::PeerId};

/// A lot that waits for a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LotCandidate {
    /// The lot.
    pub lot: String,
    /// The daemon that is asked to run it, if its acceptor chose one.
    pub runner: Option<PeerId>,
    /// Since when it is known that nobody runs it.
    pub known_at: Timestamp,
    /// It isn't claimed before.
    pub not_before: Timestamp,
    /// Whether a claim is on its way.
    pub is_claiming: bool,
}

/// Lots that wait for a claim, each of them once.
///
/// One that stands here twice is claimed twice by the same daemon, which takes its own
/// claim for granted: it would run all items twice, and list them at two positions.
#[derive(Clone, Debug, Default)]
pub struct LotCandidates {
    candidates: Vec<LotCandidate>,
}

impl LotCandidates {
    /// Takes in a lot that may be claimed from `not_before` on. One that waits already
    /// stays as it is, but isn't claimed sooner.
    pub fn add(&mut self, lot: &str, now: Timestamp, not_before: Timestamp) {
        if let Some(candidate) = self.find(lot) {
            candidate.not_before = candidate.not_before.max(not_before);
            return;
        }
        self.candidates.push(LotCandidate {
            lot: lot.to_owned(),
            runner: None,
            known_at: now,
            not_before,
            is_claiming: false,
        });
    }

    /// Whether a lot waits.
    pub fn holds(&self, lot: &str) -> bool {
        self.candidates.iter().any(|it| it.lot == lot)
    }

    /// Notes which daemon is asked to run a lot. The first word counts: a lot that was
    /// handed in twice may be placed twice.
    pub fn place(&mut self, lot: &str, runner: PeerId) {
        if let Some(candidate) = self.find(lot) {
            candidate.runner.get_or_insert(runner);
        }
    }

    /// Takes a lot out.
    pub fn remove(&mut self, lot: &str) {
        self.candidates.retain(|it| it.lot != lot);
    }

    /// Has a lot wait again whose claim went wrong.
    pub fn put_back(&mut self, lot: &str, not_before: Timestamp) {
        if let Some(candidate) = self.find(lot) {
            candidate.is_claiming = false;
            candidate.not_before = not_before;
        }
    }

    /// Keeps only those for which `is_kept` holds.
    pub fn retain(&mut self, is_kept: impl FnMut(&LotCandidate) -> bool) {
        self.candidates.retain(is_kept);
    }

    /// All that wait, to be claimed.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut LotCandidate> {
        self.candidates.iter_mut()
    }

    fn find(&mut self, lot: &str) -> Option<&mut LotCandidate> {
        self.candidates.iter_mut().find(|it| it.lot == lot)
    }
}
