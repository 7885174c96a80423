//! A stand-in for the store of the users' platform, in memory.
//!
//! [`KvState`] is the store, [`KvDoor`] one address at which it is reached. Each
//! daemon of a test gets a door of its own, so that a fault can be had by one of
//! them alone.

mod door;
mod faults;
mod state;

pub use door::KvDoor;
pub use faults::KvFaults;
pub use state::{KvEntry, KvState};
