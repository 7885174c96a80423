//! The platform stand-in: a key-value service and a VM list with injectable faults.
//!
//! [`KeyValueModel`] is the service as a state machine without I/O. [`MemoryStore`] offers
//! it to tests in the same process, and [`serve_platform`] serves it over HTTP in the
//! published format of the etcd v3 JSON gateway.

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
