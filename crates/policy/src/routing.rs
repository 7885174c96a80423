//! The choice of the backend server for a request.
//!
//! [`ServerTable`] holds what this daemon knows of each server: the VM list shows that
//! it exists, load reports in its answers show how busy it is, and the connections to
//! it show whether it works. Each of these sources is delayed or wrong at times, so
//! they correct each other. See `docs/DESIGN.md`.

mod choose;
mod health;
mod list;
mod load;
mod server_table;

pub use choose::RouteQuery;
pub use health::{ServerHealth, ServerOutcome};
pub use list::{ListOutcome, ListedServer};
pub use load::{LoadReport, PreemptibleLoad, ServerLoad, ZoneLoad};
pub use server_table::{ServerEntry, ServerKey, ServerState, ServerTable};
