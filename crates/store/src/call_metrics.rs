//! The trait through which clients count their calls to the platform.

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
    /// The renewal of a lease.
    LeaseRenew,
    /// The revocation of a lease.
    LeaseRevoke,
    /// The opening of a watch.
    Watch,
    /// A read of the VM list.
    VmList,
}

impl StoreCall {
    /// All kinds, for metrics that prepare a label for each.
    pub const ALL: [StoreCall; 7] = [
        StoreCall::Range,
        StoreCall::Transaction,
        StoreCall::LeaseGrant,
        StoreCall::LeaseRenew,
        StoreCall::LeaseRevoke,
        StoreCall::Watch,
        StoreCall::VmList,
    ];

    /// Returns the kind as a metric label.
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
    /// The platform answered without an error.
    Answered,
    /// The platform answered with an error.
    Refused,
    /// The platform couldn't be reached, so no byte was sent.
    Unreachable,
    /// The call was sent, but no answer arrived.
    AnswerLost,
}

impl CallEnd {
    /// All ends, for metrics that prepare a label for each.
    pub const ALL: [CallEnd; 4] = [
        CallEnd::Answered,
        CallEnd::Refused,
        CallEnd::Unreachable,
        CallEnd::AnswerLost,
    ];

    /// Returns the end as a metric label.
    pub fn as_str(self) -> &'static str {
        match self {
            CallEnd::Answered => "answered",
            CallEnd::Refused => "refused",
            CallEnd::Unreachable => "unreachable",
            CallEnd::AnswerLost => "answer_lost",
        }
    }

    /// Returns the end that corresponds to a call's result.
    pub fn of<T>(result: &Result<T, StoreError>) -> Self {
        match result {
            Ok(_) => CallEnd::Answered,
            Err(StoreError::Unreachable(_)) => CallEnd::Unreachable,
            Err(StoreError::AnswerLost(_)) => CallEnd::AnswerLost,
            Err(_) => CallEnd::Refused,
        }
    }
}

/// Receives the calls of a client, for metrics. The platform counts each call, and a
/// waiting watch as one call.
pub trait CallMetrics: Clone + Send + Sync + 'static {
    /// Counts a call that ended after `took`.
    fn count(&self, call: StoreCall, end: CallEnd, took: Duration);

    /// Counts a watch that was opened.
    fn watch_opened(&self) {}

    /// Counts an open watch that was closed.
    fn watch_closed(&self) {}
}

/// Ignores all calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoMetrics;

impl CallMetrics for NoMetrics {
    fn count(&self, _call: StoreCall, _end: CallEnd, _took: Duration) {}
}
