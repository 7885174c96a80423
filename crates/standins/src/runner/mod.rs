//! Stand-ins for a customer's backend server: an engine that streams events or a plain
//! service, and a server whose answers end with their connections.

mod backend_server;
mod closing_server;

pub use backend_server::{BackendArrival, BackendKind, BackendOptions, BackendServer};
pub use closing_server::{ClosingAnswer, ClosingServer};
