//! The operators' settings in force, ready to be looked up.

use std::sync::Arc;

use comfreyramp_policy::{name_key, usage::CustomerLimit};
use rand::Rng;
use sha2::{Digest, Sha256};

use crate::model::{CustomerSettings, FleetSettings, RouteSettings};

/// A customer with the number that daemons exchange for it.
#[derive(Clone, Debug)]
pub struct KnownCustomer {
    /// Its settings.
    pub settings: CustomerSettings,
    /// The hash of its name.
    pub number: u64,
}

/// The operators' settings in force, ready to be looked up.
#[derive(Clone, Debug)]
pub struct FleetView {
    /// The settings.
    pub settings: FleetSettings,
    /// Sorted by host, then the longest prefix first.
    routes: Vec<Arc<RouteSettings>>,
    customers: Vec<Arc<KnownCustomer>>,
    /// Hashes of keys with their customers' places, sorted.
    keys: Vec<([u8; 32], usize)>,
}

impl FleetView {
    /// Sorts the settings for look-ups.
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
                number: name_key(&it.name),
            })
        });
        let customers: Vec<Arc<KnownCustomer>> = customers.collect();
        let mut keys = Vec::new();
        for (place, customer) in customers.iter().enumerate() {
            let hashes = customer
                .settings
                .keys
                .iter()
                .map(|it| (hash_key(it), place));
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

    /// The route of a request: of the host's routes the one with the longest
    /// prefix that begins the path.
    pub fn route(&self, host: &str, path: &str) -> Option<Arc<RouteSettings>> {
        let begin = self.routes.partition_point(|it| it.host.as_str() < host);
        let of_host = self.routes[begin..].iter().take_while(|it| it.host == host);
        let mut fitting = of_host.filter(|it| path.starts_with(&it.prefix));
        fitting.next().cloned()
    }

    /// Whether any route has this host.
    pub fn knows_host(&self, host: &str) -> bool {
        self.routes
            .binary_search_by(|it| it.host.as_str().cmp(host))
            .is_ok()
    }

    /// The customer to whom a key belongs.
    ///
    /// Keys are compared by their hashes, so that the time of a look-up tells
    /// nothing of how much of a key was guessed.
    pub fn customer_of_key(&self, key: &str) -> Option<Arc<KnownCustomer>> {
        let hash = hash_key(key);
        let place = self.keys.binary_search_by(|it| it.0.cmp(&hash)).ok()?;
        self.customers.get(self.keys[place].1).cloned()
    }

    /// Whether callers have to show a key.
    pub fn asks_for_keys(&self) -> bool {
        !self.customers.is_empty()
    }

    /// The limits of all customers.
    pub fn limits(&self) -> Vec<CustomerLimit> {
        let limits = self.customers.iter().map(|it| CustomerLimit {
            customer: it.number,
            rate: it.settings.rate.unwrap_or(0.0),
            burst: it.settings.burst,
        });
        limits.collect()
    }
}

/// Draws one of a route's services by their weights, out of those that have a
/// server.
pub fn draw_service<'a>(
    route: &'a RouteSettings,
    has_server: impl Fn(&str) -> bool,
    random: &mut impl Rng,
) -> Option<&'a str> {
    let usable = || {
        route
            .services
            .iter()
            .filter(|it| it.weight > 0 && has_server(&it.service))
    };
    let total: u32 = usable().map(|it| it.weight).sum();
    if total == 0 {
        return None;
    }
    let mut drawn = random.random_range(0..total);
    for choice in usable() {
        if drawn < choice.weight {
            return Some(&choice.service);
        }
        drawn -= choice.weight;
    }
    None
}

fn hash_key(key: &str) -> [u8; 32] {
    Sha256::digest(key.as_bytes()).into()
}
