//! The operators' settings.

use std::time::Duration;

/// Whether, and how often, requests of a route may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent requests, which may run more than once.
    Safe,
    /// Requests that may run at most once for each attempt of the caller.
    Unsafe,
    /// Requests that are answered by a stream of events. A resumable stream may resume on
    /// another server; any other runs at most once.
    Stream {
        /// Whether another server may continue the stream after the last event.
        resumable: bool,
    },
    /// Submissions of lots.
    Lot(LotTerms),
}

impl RouteKind {
    /// Whether a request may be repeated although it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Safe | RouteKind::Stream { resumable: true }
        )
    }
}

/// The terms for the lots of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LotTerms {
    /// The time from the first submission to the moment at which all results are due.
    pub due_after: Duration,
    /// The time from the first submission after which an item may be given up.
    pub give_up_after: Duration,
    /// The maximum number of tokens that a customer's unfinished items may have on this
    /// route, counted over the whole fleet; `None` for no limit.
    pub max_unfinished_tokens: Option<u64>,
}

/// A service and its weight in the distribution of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service's name.
    pub service: String,
    /// The service's weight, relative to the sum of all weights of the route.
    pub weight: u32,
}

/// A route: it assigns the requests for a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// The route's name.
    pub name: String,
    /// The host of the requests that it takes.
    pub host: String,
    /// The prefix of the paths that it takes.
    pub prefix: String,
    /// Whether, and how often, its requests may run.
    pub kind: RouteKind,
    /// The maximum time that a caller waits for an answer.
    pub timeout: Duration,
    /// The target time until the answer or, of a stream, until its first event.
    pub objective: Duration,
    /// The services that answer its requests.
    pub services: Vec<ServiceWeight>,
    /// The maximum number of servers that may run one attempt of a caller.
    pub attempts: u32,
    /// Whether callers need no API key.
    pub is_public: bool,
    /// The rank of its requests against others of the same service; 0 is the highest.
    pub priority: u32,
    /// The longest pause between two events with which a stream is still on time, if the
    /// operators state one.
    pub max_event_gap: Option<Duration>,
}

/// A service and what its servers tolerate after they start.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSettings {
    /// The service's name.
    pub name: String,
    /// How long a server is cold after it starts; zero if it never is.
    pub cold_period: Duration,
    /// How many requests a second a cold server tolerates.
    pub cold_rate: f64,
    /// How many tokens the requests on one of its servers, and the parts of prompts that it
    /// keeps, may have together; `None` if its servers aren't model engines.
    pub memory_tokens: Option<u32>,
    /// How many connections a server accepts from all daemons together; `None` if that
    /// isn't stated.
    pub max_connections: Option<u32>,
}

/// A customer with its API keys and its rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// The customer's name, which is also sent to servers.
    pub name: String,
    /// The API keys of its callers.
    pub keys: Vec<String>,
    /// The requests per second over the whole fleet; `None` for no limit.
    pub rate: Option<f64>,
    /// The burst: how many requests it may send at once beyond the rate.
    pub burst: f64,
    /// The rank of its requests, which takes precedence over that of the route; 0 is the
    /// highest.
    pub priority: Option<u32>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a head in bytes.
    pub head_bytes: usize,
    /// The maximum size of a body in bytes.
    pub body_bytes: usize,
    /// How long a caller may take to send a head.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
    pub idle_timeout: Duration,
}

/// A snapshot of all settings of the operators.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// The settings' version, which increases with each change.
    pub version: u64,
    /// All routes of the fleet.
    pub routes: Vec<RouteSettings>,
    /// All services of the fleet.
    pub services: Vec<ServiceSettings>,
    /// All customers. If there are none, no API keys are required.
    pub customers: Vec<CustomerSettings>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
}

/// An operator's order to empty a VM that holds data, before it is retired.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetireOrder {
    /// The name of the daemon on the VM.
    pub daemon: String,
    /// How long emptying the VM may take.
    pub within: Duration,
}
