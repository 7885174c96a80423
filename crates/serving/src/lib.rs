//! The fleet's daemon, independent of the wire formats of callers, backend servers
//! and the store.
//!
//! The modules, in the order in which a request passes through them:
//!
//! 1. [`path`]: accepts callers' connections, forwards requests to servers and
//!    streams the answers back event by event.
//! 2. [`node`]: the state that all parts of a daemon share.
//! 3. [`fleet`]: a daemon's local view of the fleet, built from the store and from
//!    the reports of its peers.
//! 4. [`lots`]: lots (batch jobs), which are accepted now and run later.
//! 5. [`memory`]: the bytes that are held for callers, and their bound.
//! 6. [`run`]: startup and shutdown.
//!
//! The decision logic is in `comfreyramp-policy`: to which server a request goes and
//! when it is refused (`placement`), and the customers' rates (`usage`). The traits of
//! [`dialect`] define the wire formats, and [`model`] holds the types that they
//! convert to and from. docs/PLATFORM.md says which programs run where, and why.

pub mod clock;
pub mod dialect;
pub mod fleet;
pub mod logs;
pub mod lots;
pub mod memory;
pub mod metrics;
pub mod model;
pub mod node;
pub mod path;
pub mod run;
pub mod settings;
pub mod suspects;
