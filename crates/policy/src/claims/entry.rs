//! The state of one claim on this daemon.

use super::{ClaimCause, ClaimRecord, ClaimRefusal, ClaimState, ClaimVerdict};
use crate::Timestamp;

#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The claim is to be written with the next group.
    Waiting,
    /// The claim is being written to the platform.
    Writing { group: u64, sent_at: Timestamp },
    /// The claim is written. The call may be sent until `until`.
    Granted { until: Timestamp },
    /// The first byte may have been sent.
    Sent { until: Timestamp },
    /// The final state.
    Done(ClaimVerdict),
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) record: ClaimRecord,
    pub(super) stage: Stage,
    /// The time at which the call is rejected unless its claim is written by then.
    pub(super) expires_at: Timestamp,
    /// Whether the record may exist in the platform.
    pub(super) may_exist: bool,
    /// Whether the answer to an earlier write of the record was lost.
    pub(super) answer_lost: bool,
}

impl Entry {
    pub(super) fn refuse(&mut self, cause: ClaimCause) {
        let refusal = ClaimRefusal::new(cause);
        self.stage = Stage::Done(ClaimVerdict::Refused(refusal));
    }

    /// Derives the verdict from another call's record under the same key.
    pub(super) fn resolve(&mut self, found: &ClaimRecord) {
        if found.body != self.record.body {
            return self.refuse(ClaimCause::OtherBody);
        }
        match &found.state {
            ClaimState::Finished { answer } => {
                self.stage = Stage::Done(ClaimVerdict::Answered(answer.clone()));
            }
            ClaimState::Claimed | ClaimState::Unknown => self.refuse(ClaimCause::Claimed),
        }
    }
}
