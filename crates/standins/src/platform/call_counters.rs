//! How often the platform was called.

use serde::{Deserialize, Serialize};

/// The kind of a call.
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
    /// Whether the call can change something.
    pub fn is_write(self) -> bool {
        !matches!(self, CallKind::Range | CallKind::Watch | CallKind::Vms)
    }
}

/// Calls since the start, by kind, also those that a fault left unanswered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounters {
    /// Reads.
    pub range: u64,
    /// Transactions.
    pub txn: u64,
    /// Plain writes.
    pub put: u64,
    /// Plain deletes.
    pub delete_range: u64,
    /// Leases granted.
    pub lease_grant: u64,
    /// Leases renewed.
    pub lease_keepalive: u64,
    /// Leases revoked.
    pub lease_revoke: u64,
    /// Watches opened.
    pub watch_opened: u64,
    /// Watches open now.
    pub waiting_watches: u64,
    /// Reads of the VM list.
    pub vms: u64,
    /// Bytes of request bodies, of calls over HTTP.
    pub bytes_in: u64,
    /// Bytes of answer bodies, of calls over HTTP.
    pub bytes_out: u64,
}

impl CallCounters {
    /// Counts a call.
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
