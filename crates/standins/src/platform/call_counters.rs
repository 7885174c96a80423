//! Counters of the calls to the platform stand-in.

use serde::{Deserialize, Serialize};

/// The kind of a call, by its path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// `/v3/kv/range`.
    Range,
    /// `/v3/kv/txn`.
    Transaction,
    /// `/v3/kv/put`.
    Put,
    /// `/v3/kv/deleterange`.
    DeleteRange,
    /// `/v3/lease/grant`.
    LeaseGrant,
    /// `/v3/lease/keepalive`.
    LeaseKeepAlive,
    /// `/v3/lease/revoke`.
    LeaseRevoke,
    /// `/v3/watch`.
    Watch,
    /// `/vms`.
    Vms,
}

impl CallKind {
    /// Returns whether the call can change state.
    pub fn is_write(self) -> bool {
        !matches!(self, CallKind::Range | CallKind::Watch | CallKind::Vms)
    }
}

/// Calls since the start, by kind, including those that a fault left unanswered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounters {
    /// Range reads.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Single writes, outside transactions.
    pub put: u64,
    /// Deletes, outside transactions.
    pub delete_range: u64,
    /// Lease grants.
    pub lease_grant: u64,
    /// Lease renewals.
    pub lease_keepalive: u64,
    /// Lease revocations.
    pub lease_revoke: u64,
    /// Watches opened.
    pub watch_opened: u64,
    /// Watches that are open now.
    pub waiting_watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Bytes of the request bodies of calls over HTTP.
    pub bytes_in: u64,
    /// Bytes of the response bodies of calls over HTTP.
    pub bytes_out: u64,
}

impl CallCounters {
    /// Counts a call of a kind.
    pub fn add(&mut self, kind: CallKind) {
        *self.field(kind) += 1;
    }

    fn field(&mut self, kind: CallKind) -> &mut u64 {
        match kind {
            CallKind::Range => &mut self.range,
            CallKind::Transaction => &mut self.txn,
            CallKind::Put => &mut self.put,
            CallKind::DeleteRange => &mut self.delete_range,
            CallKind::LeaseGrant => &mut self.lease_grant,
            CallKind::LeaseKeepAlive => &mut self.lease_keepalive,
            CallKind::LeaseRevoke => &mut self.lease_revoke,
            CallKind::Watch => &mut self.watch_opened,
            CallKind::Vms => &mut self.vms,
        }
    }
}
