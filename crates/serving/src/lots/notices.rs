//! Reports on lots that daemons send to each other, so that they needn't query the store.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, lots::knows_all_results, usage::PeerId};
use comfreyramp_store::LeaseId;
use serde::{Deserialize, Serialize};

/// How long the acceptance of a lot is repeated. Single datagrams get lost, but not all of
/// those sent within this time.
const ACCEPTED_REPEAT_DURATION: Duration = Duration::from_secs(3);
/// How long the end of a lot is repeated. A daemon that was cut off for less than its lease
/// lasts still has its claim and learns of the end in no other way: it would keep starting
/// items until the store rejects their results.
const ENDED_REPEAT_DURATION: Duration = Duration::from_secs(12);
/// How long the progress of a lot is reported after its last change. A reader that comes
/// later queries the store.
const PROGRESS_REPEAT_DURATION: Duration = Duration::from_secs(8);
/// Maximum number of notices in one message, so that it fits into one datagram.
const MAX_NOTICES: usize = 200;

/// An event that concerns a lot, with the id of the lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LotNotice {
    /// The lot was accepted and waits for a daemon to run it.
    Accepted(String),
    /// The customer ended the lot.
    Ended(String),
}

/// An accepted lot and the daemon that is asked to run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AssignedLot {
    /// Id of the lot.
    pub lot: String,
    /// Daemon that should run it.
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

/// State of a lot on the daemon that reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LotStage {
    /// The daemon runs the lot and knows all its results.
    Held,
    /// The daemon ran the lot and left it to others.
    Left,
    /// The daemon ran the lot to its end, and no items are left.
    Finished,
    /// The daemon runs the lot, but the store may hold more results than it knows of: its
    /// claim may be lost, or a write of its own has no answer yet. This variant has to stay
    /// last, since daemons of an earlier version identify variants by their index.
    Unsure,
}

impl LotStage {
    /// Returns whether a daemon in this stage runs the lot.
    pub fn is_running(self) -> bool {
        matches!(self, LotStage::Held | LotStage::Unsure)
    }

    /// Returns the stage as a label for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            LotStage::Held => "held",
            LotStage::Left => "left",
            LotStage::Finished => "finished",
            LotStage::Unsure => "unsure",
        }
    }

    /// Returns whether a daemon in this stage knows all results.
    pub fn knows_all_results(self) -> bool {
        matches!(self, LotStage::Held | LotStage::Finished)
    }
}

/// Progress of a lot, reported by the daemon that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotProgress {
    /// Id of the lot.
    pub lot: String,
    /// Number of results in the store.
    pub results: u16,
    /// State of the lot on the reporting daemon.
    pub stage: LotStage,
}

/// Conditions under which a daemon that runs a lot may report its results as complete.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportBasis {
    /// Lease that its claim is bound to, if it has a claim.
    pub lease: Option<LeaseId>,
    /// Start of a write of results that has no answer yet.
    pub unanswered_since: Option<Timestamp>,
}

#[derive(Debug)]
struct ReportedProgress {
    progress: LotProgress,
    basis: ReportBasis,
    reported_at: Timestamp,
}

impl ReportedProgress {
    /// Returns the stage as of now. A claim expires and a write stays unanswered merely
    /// because time passes, also while this daemon is suspended. If the earlier stage were
    /// reported unchanged, readers would take an old count of results for the final one.
    fn stage(&self, lease: Option<LeaseId>, now: Timestamp) -> LotStage {
        let is_entitled = self.basis.lease.is_some()
            && self.basis.lease == lease
            && knows_all_results(self.basis.unanswered_since, now);
        match self.progress.stage {
            LotStage::Held if !is_entitled => LotStage::Unsure,
            stage => stage,
        }
    }
}

/// Notices and progress that this daemon currently repeats to its peers.
#[derive(Debug, Default)]
pub struct LotNotices {
    notices: Vec<(LotNotice, Timestamp)>,
    placed: Vec<(AssignedLot, Timestamp)>,
    progress: Vec<ReportedProgress>,
}

impl LotNotices {
    /// Starts to repeat a notice.
    pub fn add_notice(&mut self, notice: LotNotice, now: Timestamp) {
        self.notices.push((notice, now));
    }

    /// Starts to report which daemon is asked to run a lot. It is repeated as long as the
    /// acceptance is.
    pub fn add_assignment(&mut self, placed: AssignedLot, now: Timestamp) {
        self.placed.push((placed, now));
    }

    /// Returns the current assignments of lots to daemons.
    pub fn current_assignments(&mut self, now: Timestamp) -> Vec<AssignedLot> {
        self.placed
            .retain(|it| now.since(it.1) < ACCEPTED_REPEAT_DURATION);
        let placed = self.placed.iter().rev().take(MAX_NOTICES);
        placed.map(|it| it.0.clone()).collect()
    }

    /// Replaces the reported progress of a lot.
    pub fn report_progress(&mut self, progress: LotProgress, basis: ReportBasis, now: Timestamp) {
        self.progress.retain(|it| it.progress.lot != progress.lot);
        self.progress.push(ReportedProgress {
            progress,
            basis,
            reported_at: now,
        });
    }

    /// Replaces the conditions under which the reported progress of a lot is complete.
    pub fn set_basis(&mut self, lot: &str, basis: ReportBasis) {
        if let Some(reported) = self.progress.iter_mut().find(|it| it.progress.lot == lot) {
            reported.basis = basis;
        }
    }

    /// Returns the number of results of a lot, provided that this daemon runs the lot and
    /// knows all its results. `lease` is the lease that this daemon certainly holds.
    pub fn confirmed_results(
        &self,
        lot: &str,
        lease: Option<LeaseId>,
        now: Timestamp,
    ) -> Option<usize> {
        let reported = self.progress.iter().find(|it| it.progress.lot == lot)?;
        let is_entitled = reported.stage(lease, now) == LotStage::Held;
        is_entitled.then_some(usize::from(reported.progress.results))
    }

    /// Returns the notices and the progress to send now. `lease` is the lease that this
    /// daemon certainly holds.
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
