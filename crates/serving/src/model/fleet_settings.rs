//! The operators' settings, as one typed snapshot.

use std::time::Duration;

/// How requests of a route may be treated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Idempotent: may run more than once.
    Safe,
    /// May run at most once for each attempt of the caller.
    Unsafe,
    /// Answered by a stream of events. Resumable streams may go on at another
    /// server; others run at most once.
    Stream {
        /// Whether another server may go on after the last event.
        resumable: bool,
    },
    /// Takes lots.
    Lot(LotTerms),
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn is_idempotent(self) -> bool {
        matches!(
            self,
            RouteKind::Safe | RouteKind::Stream { resumable: true }
        )
    }
}

/// What holds for the lots of a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LotTerms {
    /// After this span from the first submission all results are due.
    pub due_after: Duration,
    /// After this span an item may be given up.
    pub kept_for: Duration,
    /// The tokens of unfinished items that a customer may have here, counted over the
    /// whole fleet; none for no limit.
    pub waiting_tokens: Option<u64>,
}

/// A service with its part of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceWeight {
    /// The service.
    pub service: String,
    /// Its part, against the weights of the others.
    pub weight: u32,
}

/// A route: which requests go where, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteSettings {
    /// Its name.
    pub name: String,
    /// The host it belongs to.
    pub host: String,
    /// What its paths begin with.
    pub prefix: String,
    /// How its requests may be treated.
    pub kind: RouteKind,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Within this time the answer, or the first event, is on time.
    pub objective: Duration,
    /// The services that answer it.
    pub services: Vec<ServiceWeight>,
    /// The most servers that may run one attempt of a caller.
    pub attempts: u32,
    /// Whether it is open to callers without a key.
    pub is_public: bool,
}

/// A customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSettings {
    /// Its name, which servers are told.
    pub name: String,
    /// The keys that its callers show.
    pub keys: Vec<String>,
    /// Requests a second over the whole fleet; none for no limit.
    pub rate: Option<f64>,
    /// Requests at once beyond the rate.
    pub burst: f64,
}

/// What a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest head in bytes.
    pub head_bytes: usize,
    /// The longest body in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay without a request.
    pub idle_timeout: Duration,
}

/// The operators' settings, as one typed snapshot.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetSettings {
    /// Grows with each change.
    pub version: u64,
    /// All routes.
    pub routes: Vec<RouteSettings>,
    /// All customers. None at all means that no key is asked for.
    pub customers: Vec<CustomerSettings>,
    /// What a caller may send.
    pub limits: CallerLimits,
}

/// An operator's order to empty a VM that keeps data.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RetireOrder {
    /// The daemon's name.
    pub daemon: String,
    /// How long it may take.
    pub within: Duration,
}
