//! An in-memory stand-in for the customer's platform store (the key-value service).
//!
//! [`KvState`] is the store and [`KvEndpoint`] an HTTP endpoint of it. Each daemon of a test
//! gets its own endpoint, so that a fault can be injected for one daemon alone.

mod endpoint;
mod faults;
mod state;

pub use endpoint::KvEndpoint;
pub use faults::KvFaults;
pub use state::{KvEntry, KvState};
