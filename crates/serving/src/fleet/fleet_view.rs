//! The operators' settings in force, indexed for look-ups.

use std::sync::Arc;

use comfreyramp_policy::{name_hash, usage::CustomerLimit};
use rand::Rng;
use sha2::{Digest, Sha256};

use crate::model::{CustomerSettings, FleetSettings, RouteSettings};

/// A customer and the number by which daemons refer to it in their messages.
#[derive(Clone, Debug)]
pub struct KnownCustomer {
    /// The settings that operators wrote for the customer.
    pub settings: CustomerSettings,
    /// The hash of the customer's name.
    pub name_hash: u64,
}

/// The operators' settings in force, indexed for look-ups.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The settings as operators wrote them.
    pub settings: FleetSettings,
    /// Sorted by host, then by prefix length, the longest first.
    routes: Vec<Arc<RouteSettings>>,
    customers: Vec<Arc<KnownCustomer>>,
    /// Hashes of API keys, each with its customer's index in `customers`, sorted.
    keys: Vec<([u8; 32], usize)>,
}

impl FleetView {
    /// Builds the indexes for `settings`.
    pub fn new(settings: FleetSettings) -> Self {
        let mut routes: Vec<Arc<RouteSettings>> =
            settings.routes.iter().cloned().map(Arc::new).collect();
        routes.sort_by(|left, right| {
            let hosts = left.host.cmp(&right.host);
            hosts.then(right.prefix.len().cmp(&left.prefix.len()))
        });
        let customers = settings.customers.iter().map(|it| {
            Arc::new(KnownCustomer {
                settings: it.clone(),
                name_hash: name_hash(&it.name),
            })
        });
        let customers: Vec<Arc<KnownCustomer>> = customers.collect();
        let mut keys = Vec::new();
        for (index, customer) in customers.iter().enumerate() {
            let hashes = customer
                .settings
                .keys
                .iter()
                .map(|it| (hash_key(it), index));
            keys.extend(hashes);
        }
        keys.sort_unstable();
        FleetView {
            settings,
            routes,
            customers,
            keys,
        }
    }

    /// Returns the route of a request: of the host's routes, the one with the longest
    /// prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<RouteSettings>> {
        let begin = self.routes.partition_point(|it| it.host.as_str() < host);
        let of_host = self.routes[begin..].iter().take_while(|it| it.host == host);
        let mut matching = of_host.filter(|it| path.starts_with(&it.prefix));
        matching.next().cloned()
    }

    /// Returns the route of a host that has this name.
    pub fn route_named(&self, host: &str, name: &str) -> Option<Arc<RouteSettings>> {
        let mut routes = self.routes.iter();
        let route = routes.find(|it| it.host == host && it.name == name);
        route.cloned()
    }

    /// Returns whether any route has this host.
    pub fn knows_host(&self, host: &str) -> bool {
        self.routes
            .binary_search_by(|it| it.host.as_str().cmp(host))
            .is_ok()
    }

    /// Returns the customer to whom an API key belongs.
    ///
    /// Keys are compared by their hashes, so that the duration of a look-up doesn't
    /// reveal how much of a key was guessed.
    pub fn customer_of_key(&self, key: &str) -> Option<Arc<KnownCustomer>> {
        let hash = hash_key(key);
        let index = self.keys.binary_search_by(|it| it.0.cmp(&hash)).ok()?;
        self.customers.get(self.keys[index].1).cloned()
    }

    /// Returns whether callers have to send an API key.
    pub fn requires_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// Returns the rate limits of all customers. A rate of 0 means that the customer has
    /// none.
    pub fn limits(&self) -> Vec<CustomerLimit> {
        let limits = self.customers.iter().map(|it| CustomerLimit {
            customer: it.name_hash,
            rate: it.settings.rate.unwrap_or(0.0),
            burst: it.settings.burst,
        });
        limits.collect()
    }
}

/// Chooses one of a route's services at random by their weights, out of those that
/// have a server.
pub fn choose_service<'a>(
    route: &'a RouteSettings,
    has_server: impl Fn(&str) -> bool,
    random: &mut impl Rng,
) -> Option<&'a str> {
    let candidates = || {
        route
            .services
            .iter()
            .filter(|it| it.weight > 0 && has_server(&it.service))
    };
    let total: u32 = candidates().map(|it| it.weight).sum();
    if total == 0 {
        return None;
    }
    let mut offset = random.random_range(0..total);
    for choice in candidates() {
        if offset < choice.weight {
            return Some(&choice.service);
        }
        offset -= choice.weight;
    }
    None
}

fn hash_key(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}
