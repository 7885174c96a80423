//! One team's settings, a subtree of the platform's store.

use serde::{Deserialize, Serialize};

/// The settings of one team: its customers and the services that serve them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct TeamSettings {
    /// The team's customers.
    pub customers: Vec<CustomerSettings>,
    /// The team's services.
    pub services: Vec<ServiceSettings>,
}

/// A customer, whose callers authenticate with its keys.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerSettings {
    /// Its name, unique over all teams.
    pub name: String,
    /// The customer's rate limit in requests per second, over the whole fleet.
    pub rate: f64,
    /// How many requests the customer may send at once after being idle.
    pub burst: u32,
    /// The customer's weight when scarce capacity is divided between customers.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The customer's keys.
    #[serde(default)]
    pub keys: Vec<KeySettings>,
    /// What a daemon does with the customer's keys once its view of the settings is
    /// old.
    #[serde(default)]
    pub when_cut: CutOffPolicy,
    /// Whether the customer's lots (batch jobs) may delay live requests rather than
    /// miss their due time.
    #[serde(default)]
    pub lots_may_delay_live: bool,
}

fn default_weight() -> f64 {
    1.0
}

/// A customer's key, stored as a hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeySettings {
    /// The name that operators gave the key, unique within the customer.
    pub name: String,
    /// The SHA-256 of the key, as 64 lower-case hex digits.
    pub sha256: String,
}

/// What a daemon does with a customer's keys while it is cut off from the store and
/// can't learn of revoked keys.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum CutOffPolicy {
    /// Keep serving with the keys it knows.
    #[default]
    Serve,
    /// Reject the customer's requests once the view of the settings is older than this.
    RefuseAfter {
        /// The maximum age of the view, in seconds.
        seconds: u32,
    },
}

/// A service, made of model engines or plain HTTP servers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Its name, unique over all teams.
    pub name: String,
    /// The kind of service, with the settings of that kind.
    pub kind: ServiceKind,
    /// The group of VMs that serves it.
    pub group: String,
    /// The timeout of a whole request, in milliseconds.
    #[serde(default = "default_timeout_ms")]
    pub timeout_ms: u64,
    /// Whether the service's servers reject requests with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

fn default_timeout_ms() -> u64 {
    120_000
}

/// The kind of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum ServiceKind {
    /// Engines, servers that run models.
    Engine {
        /// The models that the engines serve.
        models: Vec<String>,
    },
    /// Plain HTTP servers.
    Plain {
        /// The path prefix under which callers reach it.
        prefix: String,
    },
}
