//! What the platform's calls are reported to.

use std::time::Duration;

use crate::StoreError;

/// The kind of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum StoreCall {
    /// A read of a range.
    Range,
    /// A transaction.
    Transaction,
    /// A new lease.
    LeaseGrant,
    /// A lease's renewal.
    LeaseRenew,
    /// A lease's end.
    LeaseRevoke,
    /// The opening of a watch.
    Watch,
    /// A read of the VM list.
    VmList,
}

impl StoreCall {
    /// All kinds, for whoever prepares a label for each.
    pub const ALL: [StoreCall; 7] = [
        StoreCall::Range,
        StoreCall::Transaction,
        StoreCall::LeaseGrant,
        StoreCall::LeaseRenew,
        StoreCall::LeaseRevoke,
        StoreCall::Watch,
        StoreCall::VmList,
    ];

    /// The kind as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            StoreCall::Range => "range",
            StoreCall::Transaction => "txn",
            StoreCall::LeaseGrant => "lease_grant",
            StoreCall::LeaseRenew => "lease_renew",
            StoreCall::LeaseRevoke => "lease_revoke",
            StoreCall::Watch => "watch",
            StoreCall::VmList => "vm_list",
        }
    }
}

/// How a call to the platform ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallEnd {
    /// With an answer.
    Answered,
    /// With an error of the platform's own.
    Refused,
    /// No byte left.
    Unreachable,
    /// Without an answer.
    AnswerLost,
}

impl CallEnd {
    /// All ends, for whoever prepares a label for each.
    pub const ALL: [CallEnd; 4] = [
        CallEnd::Answered,
        CallEnd::Refused,
        CallEnd::Unreachable,
        CallEnd::AnswerLost,
    ];

    /// The end as a label.
    pub fn as_str(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::Refused => "refused",
            CallEnd::Unreachable => "unreachable",
            CallEnd::AnswerLost => "answer_lost",
        }
    }

    /// The end that a call's result stands for.
    pub fn of<T>(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => CallEnd::Answered,
            Err(StoreError::Unreachable(_)) => CallEnd::Unreachable,
            Err(StoreError::AnswerLost(_)) => CallEnd::AnswerLost,
            Err(_) => CallEnd::Refused,
        }
    }
}

/// Where a client reports its calls, for metrics. The platform counts each
/// call, a waiting watch as one.
pub trait CallCounts: Clone + Send + Sync + 'static {
    /// Takes note of a call that ended.
    fn count(&self, call: StoreCall, end: CallEnd, took: Duration);

    /// Takes note that a watch began to wait.
    fn watch_opened(&self) {}

    /// Takes note that a waiting watch ended.
    fn watch_closed(&self) {}
}

/// Counts nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoCounts;

impl CallCounts for NoCounts {
    fn count(&self, _call: StoreCall, _end: CallEnd, _took: Duration) {}
}
