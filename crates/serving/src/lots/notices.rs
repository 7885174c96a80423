//! What daemons tell each other of lots, so that nobody has to ask the store.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, lots::knows_all_results, usage::PeerId};
use comfreyramp_store::LeaseId;
use serde::{Deserialize, Serialize};

/// How long it is repeated that a lot was accepted. Datagrams get lost; this many of
/// them don't.
const ACCEPTED_REPEAT_DURATION: Duration = Duration::from_secs(3);
/// How long it is repeated that a lot was ended. A daemon that was cut off for less
/// than its lease holds still has its claim, and learns of the end in no other way:
/// it would go on starting items until the store refuses their results.
const ENDED_REPEAT_DURATION: Duration = Duration::from_secs(12);
/// How long the progress of a lot is told after its last change. A reader that
/// comes later asks the store.
const PROGRESS_REPEAT_DURATION: Duration = Duration::from_secs(8);
/// The notices that one message holds at most, so that it stays one datagram.
const MAX_NOTICES: usize = 200;

/// Something that happened to a lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LotNotice {
    /// It was accepted and waits for a daemon to run it.
    Accepted(String),
    /// Its customer ended it.
    Ended(String),
}

/// An accepted lot, and the daemon that is asked to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlacedLot {
    /// The lot.
    pub lot: String,
    /// The daemon.
    pub runner: PeerId,
}

impl LotNotice {
    fn repeat_duration(&self) -> Duration {
        match self {
            LotNotice::Accepted(_) => ACCEPTED_REPEAT_DURATION,
            LotNotice::Ended(_) => ENDED_REPEAT_DURATION,
        }
    }
}

/// What a daemon has to do with a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LotStage {
    /// It runs it, and knows of all its results.
    Held,
    /// It ran it, and left it to others.
    Left,
    /// It ran it to the end: there is nothing more to do.
    Finished,
    /// It runs it, but the store may hold more results than it knows of: its claim may
    /// be gone, or a write of its own has no answer. It stands last, since daemons of a
    /// former version know the others by their places.
    Unsure,
}

impl LotStage {
    /// Whether a daemon in this stage runs the lot.
    pub fn is_running(self) -> bool {
        matches!(self, LotStage::Held | LotStage::Unsure)
    }

    /// The stage as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            LotStage::Held => "held",
            LotStage::Left => "left",
            LotStage::Finished => "finished",
            LotStage::Unsure => "unsure",
        }
    }

    /// Whether a daemon in this stage knows of all results.
    pub fn knows_all(self) -> bool {
        matches!(self, LotStage::Held | LotStage::Finished)
    }
}

/// How far a lot is, told by the daemon that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotProgress {
    /// The lot.
    pub lot: String,
    /// How many results the store holds.
    pub results: u16,
    /// What the daemon has to do with it.
    pub stage: LotStage,
}

/// What entitles a daemon to speak for a lot that it runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClaimBasis {
    /// The lease that its claim hangs on, if it has one.
    pub lease: Option<LeaseId>,
    /// When it began a write of results that has no answer yet.
    pub undecided_since: Option<Timestamp>,
}

#[derive(Debug)]
struct ReportedProgress {
    progress: LotProgress,
    basis: ClaimBasis,
    reported_at: Timestamp,
}

impl ReportedProgress {
    /// The stage as of now. A claim lapses and a write stays unanswered by the mere
    /// passing of time, also while this daemon stands still: told as it was before,
    /// readers would take an old count of results for all there is.
    fn stage(&self, lease: Option<LeaseId>, now: Timestamp) -> LotStage {
        let is_entitled = self.basis.lease.is_some()
            && self.basis.lease == lease
            && knows_all_results(self.basis.undecided_since, now);
        match self.progress.stage {
            LotStage::Held if !is_entitled => LotStage::Unsure,
            stage => stage,
        }
    }
}

/// The notices of one daemon that are still being repeated.
#[derive(Debug, Default)]
pub struct LotNotices {
    notices: Vec<(LotNotice, Timestamp)>,
    placed: Vec<(PlacedLot, Timestamp)>,
    progress: Vec<ReportedProgress>,
}

impl LotNotices {
    /// Tells something from now on.
    pub fn tell(&mut self, notice: LotNotice, now: Timestamp) {
        self.notices.push((notice, now));
    }

    /// Tells who is asked to run a lot, as long as it is told that it was accepted.
    pub fn place(&mut self, placed: PlacedLot, now: Timestamp) {
        self.placed.push((placed, now));
    }

    /// Which daemons are asked to run which lots.
    pub fn current_placed(&mut self, now: Timestamp) -> Vec<PlacedLot> {
        self.placed
            .retain(|it| now.since(it.1) < ACCEPTED_REPEAT_DURATION);
        let placed = self.placed.iter().rev().take(MAX_NOTICES);
        placed.map(|it| it.0.clone()).collect()
    }

    /// Tells how far a lot is.
    pub fn tell_progress(&mut self, progress: LotProgress, basis: ClaimBasis, now: Timestamp) {
        self.progress.retain(|it| it.progress.lot != progress.lot);
        self.progress.push(ReportedProgress {
            progress,
            basis,
            reported_at: now,
        });
    }

    /// Notes on what this daemon's word on a lot rests from now on.
    pub fn set_basis(&mut self, lot: &str, basis: ClaimBasis) {
        if let Some(reported) = self.progress.iter_mut().find(|it| it.progress.lot == lot) {
            reported.basis = basis;
        }
    }

    /// How many results a lot has, if this daemon runs it and knows of all, where
    /// `lease` is the lease that it certainly holds.
    pub fn vouched_results(
        &self,
        lot: &str,
        lease: Option<LeaseId>,
        now: Timestamp,
    ) -> Option<usize> {
        let reported = self.progress.iter().find(|it| it.progress.lot == lot)?;
        let is_entitled = reported.stage(lease, now) == LotStage::Held;
        is_entitled.then_some(usize::from(reported.progress.results))
    }

    /// What is to be told now, where `lease` is the lease that this daemon certainly
    /// holds.
    pub fn current(
        &mut self,
        lease: Option<LeaseId>,
        now: Timestamp,
    ) -> (Vec<LotNotice>, Vec<LotProgress>) {
        self.notices
            .retain(|it| now.since(it.1) < it.0.repeat_duration());
        self.progress.retain(|it| {
            it.progress.stage.is_running() || now.since(it.reported_at) < PROGRESS_REPEAT_DURATION
        });
        let notices = self.notices.iter().rev().take(MAX_NOTICES);
        let progress = self.progress.iter().rev().take(MAX_NOTICES);
        (
            notices.map(|it| it.0.clone()).collect(),
            progress
                .map(|it| LotProgress {
                    stage: it.stage(lease, now),
                    ..it.progress.clone()
                })
                .collect(),
        )
    }
}
