//! Servers that answer with failures.

use serde::{Deserialize, Serialize};

/// How a daemon's recent requests to one server ended. Daemons report it to each other for
/// servers that failed lately.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// The hash of the server's name.
    pub server: u64,
    /// The requests that failed at this server although their customers' requests to other
    /// servers of the service succeed.
    pub failed: u16,
    /// The requests that succeeded.
    pub succeeded: u16,
}
