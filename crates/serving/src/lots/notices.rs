//! What daemons tell each other of lots, so that nobody has to ask the store.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use serde::{Deserialize, Serialize};

/// How long it is repeated that a lot was accepted. Datagrams get lost; this many of
/// them don't.
const ACCEPTED_TOLD_FOR: Duration = Duration::from_secs(3);
/// How long it is repeated that a lot was ended. A daemon that was cut off for less
/// than its lease holds still has its claim, and learns of the end in no other way:
/// it would go on starting items until the store refuses their results.
const ENDED_TOLD_FOR: Duration = Duration::from_secs(12);
/// How long the progress of a lot is told after its last change. A reader that
/// comes later asks the store.
const PROGRESS_TOLD_FOR: Duration = Duration::from_secs(8);
/// The notices that one message holds at most, so that it stays one datagram.
const MOST_NOTICES: usize = 200;

/// Something that happened to a lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LotNotice {
    /// It was accepted and waits for a daemon to run it.
    Accepted(String),
    /// Its customer ended it.
    Ended(String),
}

impl LotNotice {
    fn told_for(&self) -> Duration {
        match self {
            LotNotice::Accepted(_) => ACCEPTED_TOLD_FOR,
            LotNotice::Ended(_) => ENDED_TOLD_FOR,
        }
    }
}

/// What a daemon has to do with a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LotStage {
    /// It runs it.
    Held,
    /// It ran it, and left it to others.
    Left,
    /// It ran it to the end: there is nothing more to do.
    Finished,
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

/// The notices of one daemon that are still being repeated.
#[derive(Debug, Default)]
pub struct LotNotices {
    notices: Vec<(LotNotice, Timestamp)>,
    progress: Vec<(LotProgress, Timestamp)>,
}

impl LotNotices {
    /// Tells something from now on.
    pub fn tell(&mut self, notice: LotNotice, now: Timestamp) {
        self.notices.push((notice, now));
    }

    /// Tells how far a lot is.
    pub fn tell_progress(&mut self, progress: LotProgress, now: Timestamp) {
        self.progress.retain(|it| it.0.lot != progress.lot);
        self.progress.push((progress, now));
    }

    /// What is to be told now.
    pub fn current(&mut self, now: Timestamp) -> (Vec<LotNotice>, Vec<LotProgress>) {
        self.notices.retain(|it| now.since(it.1) < it.0.told_for());
        self.progress
            .retain(|it| it.0.stage == LotStage::Held || now.since(it.1) < PROGRESS_TOLD_FOR);
        let notices = self.notices.iter().rev().take(MOST_NOTICES);
        let progress = self.progress.iter().rev().take(MOST_NOTICES);
        (
            notices.map(|it| it.0.clone()).collect(),
            progress.map(|it| it.0.clone()).collect(),
        )
    }
}
