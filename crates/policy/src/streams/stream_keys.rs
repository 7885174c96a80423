//! Hashes that identify streams and the software of servers on every daemon.

use serde::{Deserialize, Serialize};

use crate::name_hash;

/// Identifies the software of a server: its service and version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct SoftwareKey(pub u64);

impl SoftwareKey {
    /// Returns the key of a version of a service's software.
    pub fn of(service: &str, version: &str) -> Self {
        SoftwareKey(name_hash(&format!("{service}\0{version}")))
    }
}

/// Identifies a stream by the request that received its first event.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of the stream that a customer's request began. Callers choose the ids
    /// of their requests, so another customer may use the same one.
    pub fn of(customer: &str, request_id: &str) -> Self {
        StreamKey(name_hash(&format!("{customer}\0{request_id}")))
    }
}
