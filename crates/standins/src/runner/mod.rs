//! A stand-in for a customer's backend server: an engine that streams events, or a plain
//! service.

mod backend_server;

pub use backend_server::{BackendArrival, BackendKind, BackendOptions, BackendServer};
