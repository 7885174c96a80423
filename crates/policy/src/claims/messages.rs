//! The records and transactions of claims, and the verdicts that follow from them.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::{Fingerprint, Incarnation, RunState};

/// The identity of a call that must not be repeated.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Returns the key for a caller's `Idempotency-Key`, which is the same on every
    /// daemon.
    pub fn of(customer: &str, service: &str, idempotency_key: &str) -> Self {
        ClaimKey(Fingerprint::of(customer, service, idempotency_key.as_bytes()).0)
    }

    /// Returns a unique key for a call without `Idempotency-Key`. Resends of such a
    /// call can't be recognised.
    pub fn unique(rng: &mut impl Rng) -> Self {
        ClaimKey(rng.random())
    }
}

/// Identifies one claim of one process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimTicket {
    /// The process that holds the claim.
    pub holder: Incarnation,
    /// A sequence number within that process.
    pub number: u64,
}

/// The location of a stored answer.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerRef(pub String);

/// The state of a claimed call.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The call may have been sent.
    #[default]
    Claimed,
    /// The call was answered.
    Finished {
        /// The location of the answer.
        answer: AnswerRef,
    },
    /// The call was sent and its answer was lost.
    Unknown,
}

/// The platform's record of a claim, kept for a day.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The claimed call.
    pub key: ClaimKey,
    /// The fingerprint of the call's body, which reveals a different call under the
    /// same key.
    pub body: Fingerprint,
    /// The claim that wrote the record.
    pub ticket: ClaimTicket,
    /// The state of the call.
    pub state: ClaimState,
}

/// Claims to be written in one transaction: all of them if none of the keys exists,
/// otherwise none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimGroup {
    /// The sequence number that identifies the answer.
    pub number: u64,
    /// The claims.
    pub records: Vec<ClaimRecord>,
}

/// The result of writing a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAnswer {
    /// All claims were written.
    Written,
    /// Nothing was written, since records with these keys exist.
    Found(Vec<ClaimRecord>),
    /// No answer arrived, so the group may have been written.
    Lost,
    /// The platform couldn't be reached, so nothing was written.
    Unreachable,
}

/// A later change of a claim's record. It may be made only while the record has this
/// ticket: the transaction has to compare the revision at which the record was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimChange {
    /// The record is replaced by this one.
    Settle(ClaimRecord),
    /// The record is deleted: its call was certainly never sent.
    Release(ClaimKey, ClaimTicket),
}

/// Why a call isn't sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimCause {
    /// The platform is unavailable.
    NoPlatform,
    /// Too many claims wait to be written.
    Busy,
    /// The claim took too long, or expired before the call was sent.
    Late,
    /// The same call is in progress, or was made and its answer is lost.
    Claimed,
    /// A different call was made under the same key.
    OtherBody,
}

/// The final answer to a call that isn't sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRefusal {
    /// Whether the call has run.
    pub run: RunState,
    /// Why it isn't sent.
    pub cause: ClaimCause,
    /// The delay after which the caller may retry.
    pub retry_after: Duration,
}

impl ClaimRefusal {
    pub(super) fn new(cause: ClaimCause) -> Self {
        let (run, secs) = match cause {
            ClaimCause::NoPlatform => (RunState::No, 5),
            ClaimCause::Busy | ClaimCause::Late => (RunState::No, 1),
            ClaimCause::Claimed => (RunState::Unknown, 5),
            ClaimCause::OtherBody => (RunState::No, 24 * 3600),
        };
        ClaimRefusal {
            run,
            cause,
            retry_after: Duration::from_secs(secs),
        }
    }
}

/// What a call may do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The call has to wait, since its claim isn't written yet.
    Wait,
    /// The call may be sent; see [`ClaimTracker::start`](super::ClaimTracker::start).
    Send,
    /// The call was made before. This is its answer.
    Answered(AnswerRef),
    /// The call must not be sent.
    Refused(ClaimRefusal),
}
