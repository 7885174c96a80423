//! The settings in force, indexed for the request path.

mod names;

use comfreyramp_policy::{CustomerId, ServiceId};
use comfreyramp_settings::{CutOffPolicy, ServiceKind, ServiceSettings, TeamSettings};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

pub use names::NameInterner;

/// The SHA-256 hash of an API key.
pub type KeyHash = [u8; 32];

/// A customer as the request path sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerEntry {
    /// Its id, stable for the lifetime of the process.
    pub id: CustomerId,
    /// The team whose settings define it.
    pub team: String,
    /// Its name.
    pub name: String,
    /// The rate limit over the whole fleet, in requests per second.
    pub rate: f64,
    /// The most requests admitted at once over the whole fleet.
    pub burst: u32,
    /// Its weight in the division of scarce capacity among customers.
    pub weight: f64,
    /// What happens to its keys when the view of the settings is stale.
    pub when_cut: CutOffPolicy,
    /// Whether its lots may delay live work rather than miss their due time.
    pub lots_may_delay_live: bool,
}

/// A service as the request path sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceEntry {
    /// Its id, stable for the lifetime of the process.
    pub id: ServiceId,
    /// The team whose settings define it.
    pub team: String,
    /// Its settings.
    pub settings: ServiceSettings,
}

/// An API key, by its hash, and the customer it belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyEntry {
    /// The key's hash.
    pub hash: KeyHash,
    /// The customer it belongs to.
    pub customer: CustomerId,
}

/// One team's settings subtree in the version that was accepted last.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamEntry {
    /// The team's name.
    pub team: String,
    /// The revision at which it was written.
    pub revision: i64,
    /// Its settings.
    pub settings: TeamSettings,
}

/// All settings in force, indexed. Every vector is sorted for binary search.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SettingsSnapshot {
    /// The store revision up to which the settings are included; 0 for none.
    pub revision: i64,
    /// The teams' subtrees, by team.
    pub teams: Vec<TeamEntry>,
    /// The customers, by id.
    pub customers: Vec<CustomerEntry>,
    /// The services, by id.
    pub services: Vec<ServiceEntry>,
    keys: Vec<KeyEntry>,
    models: Vec<(String, ServiceId)>,
    prefixes: Vec<(String, ServiceId)>,
}

/// Assigns ids to customers and services for the lifetime of the process.
#[derive(Clone, Debug, Default)]
pub struct SettingsNames {
    /// The ids of customers.
    pub customers: NameInterner,
    /// The ids of services.
    pub services: NameInterner,
}

impl SettingsSnapshot {
    /// Builds a snapshot from the teams' subtrees.
    ///
    /// If two teams define the same customer, service, model or prefix, the one
    /// that was written first keeps it: a later write must never take over
    /// callers of another team.
    pub fn build(revision: i64, mut teams: Vec<TeamEntry>, names: &mut SettingsNames) -> Self {
        let mut snapshot = SettingsSnapshot {
            revision,
            ..SettingsSnapshot::default()
        };
        teams.sort_by_key(|it| it.revision);
        for entry in &teams {
            snapshot.add_customers(entry, names);
            snapshot.add_services(entry, names);
        }
        teams.sort_by(|a, b| a.team.cmp(&b.team));
        snapshot.teams = teams;
        snapshot.customers.sort_by_key(|it| it.id);
        snapshot.services.sort_by_key(|it| it.id);
        snapshot.keys.sort_by_key(|it| it.hash);
        snapshot.models.sort();
        snapshot.prefixes.sort();
        snapshot
    }

    /// Returns the entry of a key, which names its customer.
    ///
    /// The search compares hashes only, so that its duration reveals nothing
    /// about the key itself. The final comparison runs in constant time.
    pub fn customer_of_key(&self, key: &str) -> Option<KeyEntry> {
        let hash: KeyHash = Sha256::digest(key.as_bytes()).into();
        let index = self.keys.binary_search_by_key(&hash, |it| it.hash).ok()?;
        let entry = self.keys[index];
        bool::from(entry.hash.ct_eq(&hash)).then_some(entry)
    }

    /// Returns whether a key still belongs to the same customer.
    pub fn is_key_valid(&self, entry: KeyEntry) -> bool {
        self.keys
            .binary_search_by_key(&entry.hash, |it| it.hash)
            .is_ok_and(|index| self.keys[index].customer == entry.customer)
    }

    /// Returns the customer with this id.
    pub fn customer(&self, id: CustomerId) -> Option<&CustomerEntry> {
        let index = self.customers.binary_search_by_key(&id, |it| it.id).ok()?;
        self.customers.get(index)
    }

    /// Returns the service with this id.
    pub fn service(&self, id: ServiceId) -> Option<&ServiceEntry> {
        let index = self.services.binary_search_by_key(&id, |it| it.id).ok()?;
        self.services.get(index)
    }

    /// Returns the service that serves a model.
    pub fn service_of_model(&self, model: &str) -> Option<&ServiceEntry> {
        let index = self
            .models
            .binary_search_by(|it| it.0.as_str().cmp(model))
            .ok()?;
        self.service(self.models[index].1)
    }

    /// Returns the plain service with the longest prefix that `path` starts with.
    pub fn service_of_path(&self, path: &str) -> Option<&ServiceEntry> {
        let longest = self
            .prefixes
            .iter()
            .filter(|it| is_below(path, &it.0))
            .max_by_key(|it| it.0.len())?;
        self.service(longest.1)
    }

    /// Returns the names of all models, sorted.
    pub fn models(&self) -> impl Iterator<Item = &str> {
        self.models.iter().map(|it| it.0.as_str())
    }

    /// Returns the settings subtree of a team.
    pub fn team(&self, team: &str) -> Option<&TeamEntry> {
        let index = self
            .teams
            .binary_search_by(|it| it.team.as_str().cmp(team))
            .ok()?;
        self.teams.get(index)
    }

    fn add_customers(&mut self, entry: &TeamEntry, names: &mut SettingsNames) {
        for customer in &entry.settings.customers {
            let id = CustomerId(names.customers.id(&customer.name));
            if self.customers.iter().any(|it| it.id == id) {
                log::warn!("settings: customer {} is set by two teams", customer.name);
                continue;
            }
            self.customers.push(CustomerEntry {
                id,
                team: entry.team.clone(),
                name: customer.name.clone(),
                rate: customer.rate,
                burst: customer.burst,
                weight: customer.weight,
                when_cut: customer.when_cut,
                lots_may_delay_live: customer.lots_may_delay_live,
            });
            for key in &customer.keys {
                let mut hash = KeyHash::default();
                if hex::decode_to_slice(&key.sha256, &mut hash).is_ok()
                    && !self.keys.iter().any(|it| it.hash == hash)
                {
                    self.keys.push(KeyEntry { hash, customer: id });
                }
            }
        }
    }

    fn add_services(&mut self, entry: &TeamEntry, names: &mut SettingsNames) {
        for settings in &entry.settings.services {
            let id = ServiceId(names.services.id(&settings.name));
            if self.services.iter().any(|it| it.id == id) {
                log::warn!("settings: service {} is set by two teams", settings.name);
                continue;
            }
            match &settings.kind {
                ServiceKind::Engine { models } => {
                    for model in models {
                        if !self.models.iter().any(|it| &it.0 == model) {
                            self.models.push((model.clone(), id));
                        }
                    }
                }
                ServiceKind::Plain { prefix } => {
                    if !self.prefixes.iter().any(|it| &it.0 == prefix) {
                        self.prefixes.push((prefix.clone(), id));
                    }
                }
            }
            let settings = settings.clone();
            self.services.push(ServiceEntry {
                id,
                team: entry.team.clone(),
                settings,
            });
        }
    }
}

/// Returns whether `path` is `prefix` or below it, by whole path segments.
fn is_below(path: &str, prefix: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}
