//! How often servers failed at an item, and when it is given up for that.
//!
//! The load pattern: a lot has items at which servers fail whenever they run, and daemons are
//! lost one after the other. A daemon that began to count anew would run such an item as often
//! as the one before it, so that counts are stored before an item runs again. An answer that
//! came right before its daemon was lost is in no count. So each daemon that was lost while it
//! ran the lot may have seen one more failure than is known, and as many failures fewer are
//! needed (`tests/failure_count.rs`).

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Pause after a whole failure of a server.
const FAULT_PAUSE: Duration = Duration::from_millis(250);
/// Pause after the first failure that isn't known to be whole, and by how much it grows with
/// each. The item may really fail, so it isn't run often.
const UNPROVEN_PAUSE: Duration = Duration::from_secs(1);
const UNPROVEN_PAUSE_FACTOR: u32 = 8;
/// The number of failures from which the pause grows no more.
const MAX_PAUSE_STEPS: u32 = 3;
/// The longest pause where the answers ended with their connections, as those of a server that
/// gives no length do. They add up to a proof.
const MAX_UNDELIMITED_PAUSE: Duration = Duration::from_secs(4);
/// Number of such answers after which an item is given up: those that say that it can never
/// succeed, and for each attempt of its route those that say that its server failed. Each may
/// be the broken answer of a server that lost its connection.
const MAX_UNDELIMITED_IMPOSSIBLE: u32 = 3;
const UNDELIMITED_FAILURES_PER_ATTEMPT: u32 = 2;

/// What an answer that reports a failure says of the item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemFailureKind {
    /// That the server ran it and failed, in a whole answer.
    Failed,
    /// That it can never succeed, in an answer that ended with its connection.
    UndelimitedImpossible,
    /// That the server ran it and failed, in an answer that ended with its connection.
    UndelimitedFailed,
    /// Nothing: the answer broke off.
    CutOff,
}

/// Counts the failures of an item over all daemons that ran its lot.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct FailureCount {
    /// Whole answers that a server failed.
    pub faults: u32,
    /// Answers without a length that the item can never succeed.
    pub undelimited_impossible: u32,
    /// Answers without a length that a server failed.
    pub undelimited_failed: u32,
    /// Answers of either kind that broke off.
    pub cut_off: u32,
}

impl FailureCount {
    /// Counts a failure. Returns how long the item waits after it.
    pub fn record(&mut self, kind: ItemFailureKind) -> Duration {
        let count = match kind {
            ItemFailureKind::Failed => &mut self.faults,
            ItemFailureKind::UndelimitedImpossible => &mut self.undelimited_impossible,
            ItemFailureKind::UndelimitedFailed => &mut self.undelimited_failed,
            ItemFailureKind::CutOff => &mut self.cut_off,
        };
        *count = count.saturating_add(1);
        match kind {
            ItemFailureKind::Failed => FAULT_PAUSE,
            _ => self.unproven_pause(kind == ItemFailureKind::CutOff),
        }
    }

    /// Returns how long the item waits at a daemon that takes its lot over. How much of its
    /// pause has passed isn't known.
    pub fn pause_after_takeover(&self) -> Duration {
        match self.unproven() {
            0 => Duration::ZERO,
            _ => self.unproven_pause(self.cut_off > 0),
        }
    }

    /// Returns whether the item is given up. Its route has `attempts`, and `lost_daemons` is
    /// the number of daemons that were lost while they ran its lot.
    ///
    /// What those may have seen shortens the wait for further failures, but is no evidence
    /// itself.
    pub fn is_final(&self, attempts: u32, lost_daemons: u32) -> bool {
        let impossible = self.undelimited_impossible;
        let is_impossible =
            impossible > 0 && impossible.saturating_add(lost_daemons) >= MAX_UNDELIMITED_IMPOSSIBLE;
        let failed = self.undelimited_failed;
        let max_failed = attempts.saturating_mul(UNDELIMITED_FAILURES_PER_ATTEMPT);
        let has_failed = failed > 0
            && self.faults.saturating_add(failed) >= attempts
            && failed.saturating_add(lost_daemons) >= max_failed;
        self.faults >= attempts || is_impossible || has_failed
    }

    /// Returns whether no failure is counted.
    pub fn is_empty(&self) -> bool {
        *self == FailureCount::default()
    }

    fn unproven(&self) -> u32 {
        let undelimited = self
            .undelimited_impossible
            .saturating_add(self.undelimited_failed);
        undelimited.saturating_add(self.cut_off)
    }

    fn unproven_pause(&self, is_cut_off: bool) -> Duration {
        let before = self.unproven().saturating_sub(1);
        let pause = UNPROVEN_PAUSE * UNPROVEN_PAUSE_FACTOR.pow(before.min(MAX_PAUSE_STEPS));
        match is_cut_off {
            true => pause,
            false => pause.min(MAX_UNDELIMITED_PAUSE),
        }
    }
}
