//! The fleet's daemon, for any manner in which callers, backend servers and the
//! store speak.
//!
//! A tour, in the order in which a request meets the parts:
//!
//! 1. [`path`]: a caller's connection, the request's way to a server, and the
//!    answer's way back, event by event.
//! 2. [`node`]: what all parts share.
//! 3. [`fleet`]: what a daemon knows of the fleet, from the store and from the
//!    other daemons.
//! 4. [`lots`]: work that is accepted now and run later.
//! 5. [`run`]: starting and stopping.
//!
//! The decisions themselves are in `comfreyramp-policy`: where a request goes and
//! when it is refused (`placement`), and customers' rates (`usage`). The manner of
//! speaking comes in through the traits of [`dialect`], and [`model`] holds what
//! is spoken of. docs/PLATFORM.md says which programs run where, and why.

pub mod clock;
pub mod dialect;
pub mod fleet;
pub mod logs;
pub mod lots;
pub mod metrics;
pub mod model;
pub mod node;
pub mod path;
pub mod run;
pub mod settings;
pub mod suspects;
