//! The directory's list of servers.

use std::time::Duration;

use crate::streams::SoftwareKey;

/// A server as the directory lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerListing {
    /// Its name.
    pub name: String,
    /// The service it belongs to.
    pub service: String,
    /// Its zone.
    pub zone: String,
    /// Its address as `ip:port`.
    pub address: String,
    /// How many requests it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub is_ready: bool,
    /// The version of its software.
    pub version: String,
    /// A number that changes when the server restarts under the same name.
    pub incarnation: u64,
    /// How much longer it stays cold, as of `revision`; `None` if its entry has no valid
    /// time.
    pub cold_left: Option<Duration>,
    /// The store's revision of its entry.
    pub revision: i64,
}

impl ServerListing {
    /// Returns the key of the server's software.
    pub fn software(&self) -> SoftwareKey {
        SoftwareKey::of(&self.service, &self.version)
    }
}
