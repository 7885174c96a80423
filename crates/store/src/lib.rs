//! Access to the platform's key-value service and VM list.
//!
//! [`PlatformStore`] is the trait that the rest of the project uses. The daemon's
//! client implements it over the JSON gateway of the etcd v3 API, which provides
//! exactly what is needed: compare-and-swap, leases and watches.
//!
//! An answer can be lost after its write took effect. So each write is a transaction
//! that its caller can read back and repeat, as [`write_once`] does. [`FencedLease`] is
//! for work that only one process at a time may do.

mod call_metrics;
mod convert;
mod fenced_lease;
mod gateway_store;
mod gateway_vm_list;
mod gateway_watch;
mod lease_term;
mod line_reader;
mod reopening_watch;
mod retry_pace;
mod store;
mod vms;
pub mod wire;
mod write_once;

pub use call_metrics::{CallEnd, CallMetrics, NoMetrics, StoreCall};
pub use fenced_lease::{AcquireOutcome, FencedLease, LeaseRequest};
pub use gateway_store::{GatewaySettings, GatewayStore};
pub use gateway_vm_list::GatewayVmList;
pub use gateway_watch::GatewayWatch;
pub use lease_term::LeaseTerm;
pub use reopening_watch::ReopeningWatch;
pub use retry_pace::RetryPolicy;
pub use store::{
    Comparison, KeyRange, KeyValue, LeaseId, MAX_TRANSACTION_STEPS, MAX_VALUE_BYTES, PlatformStore,
    RangeAnswer, Revision, StoreError, TransactionAnswer, WatchBatch, WatchStream, Write,
    WriteBatch,
};
pub use vms::{ListedVm, VmList, VmState};
pub use write_once::{WriteOnceOutcome, WriteOnceState, WriteOnceStep, write_once};
