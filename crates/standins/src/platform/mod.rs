//! The platform stand-in: a key-value service and a VM list with faults on demand.
//!
//! [`KeyValueModel`] is the service as a pure state machine. On it stand
//! [`MemoryStore`], for tests inside one process, and [`serve_platform`], the
//! same over HTTP in the published shapes of the etcd v3 JSON gateway.

mod call_counters;
mod fault_switches;
mod lease_table;
mod memory_store;
mod model;
mod model_error;
mod open_watch;
mod server;
mod shared_platform;
mod vm_history;
mod watch_cursor;

pub use call_counters::{CallCounters, CallKind};
pub use fault_switches::{FaultChange, FaultSwitches, LostAnswers};
pub use lease_table::LeaseTable;
pub use memory_store::{MemoryStore, MemoryWatch};
pub use model::KeyValueModel;
pub use model_error::ModelError;
pub use open_watch::{OpenWatch, WatchUpdate};
pub use server::{ClockChange, serve_platform};
pub use shared_platform::{CallFault, CallOutcome, SharedPlatform};
pub use vm_history::VmHistory;
pub use watch_cursor::WatchCursor;
