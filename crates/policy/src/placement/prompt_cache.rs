//! Which servers probably have the parts of a prompt in memory.
//!
//! The load pattern: many streams share long prompt parts, and an engine reads such a part
//! for 100 ms unless it has it cached. While it reads, all requests that run beside wait.
//! Engines together can't keep all parts several times.
//!
//! So each part has a server of its own, by rendezvous hashing, and more where a single one
//! can't carry its load. All daemons compute the same order of servers without messages.
//! Another server is used where reading the part anew starts sooner. Prompts whose parts
//! are read within a small fraction of the objective are placed by load alone.

use std::time::Duration;

use super::PromptPart;
use crate::{Timestamp, hash::mix, parts::PartKey};

/// The time to read a token until there are samples: engines read 125 to 166 tokens a
/// millisecond.
const DEFAULT_TOKEN_SECS: f64 = 7.0e-6;
/// The weight of a new sample in the mean time to read a token.
const TOKEN_TIME_WEIGHT: f64 = 0.1;
/// The weight of a sample that is a small fraction of the mean: another daemon's request
/// probably had the server read the part before.
const CACHED_SAMPLE_WEIGHT: f64 = 0.02;
/// The fraction of the mean below which a sample is probably that of a cached part.
const CACHED_SAMPLE_FRACTION: f64 = 0.25;
/// The largest sample as a multiple of the mean; beyond it something else took the time.
const MAX_SAMPLE_FACTOR: f64 = 4.0;
/// The weight of a new sample in the mean time to a first event without reading.
const BASE_TIME_WEIGHT: f64 = 0.05;
/// The fraction of the objective from which on a reading counts.
const NOTICEABLE_FRACTION: f64 = 0.1;
/// The fraction of the objective that costs as much as one request on a server does
/// ([`super::server_entry::ServerEntry::live_cost`]). With a larger fraction, servers read
/// more parts anew than they save in waits.
const COST_UNIT_FRACTION: f64 = 0.05;
/// The time constant with which counts of requests decay.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(20);
/// The fraction of a server's slots that requests with one part should use where memory
/// is plenty. The rest is for requests with other parts and without any.
const MIN_SLOTS_FRACTION: f64 = 0.25;
/// The most parts of a service whose demand is counted.
const MAX_COUNTED_PARTS: usize = 512;
/// The fewest servers of a zone with which its daemons use only these for parts. With fewer,
/// the memory of one zone's servers is too small for all parts.
const MIN_ZONE_SERVERS: usize = 12;

/// A service whose servers keep prompt parts in memory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptCacheSettings {
    /// The service's name.
    pub service: String,
    /// The tokens that one server keeps.
    pub memory_tokens: u32,
    /// The least target time to the first event among the routes that use the service.
    pub objective: Duration,
}

/// What a server probably has to read of the prompt parts that requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptReading {
    /// The tokens of all shared parts.
    pub shared_tokens: u32,
    /// Those that the server has to read.
    pub tokens: u32,
    /// Whether it is one of the servers that keep the parts.
    pub is_own: bool,
    /// How long it reads.
    pub duration: Duration,
    /// Since a first event last showed how fast servers read; `None` if none has.
    pub sample_age: Option<Duration>,
}

impl PromptReading {
    /// Returns how much the server has cached, as a metric label.
    pub fn outcome(&self) -> &'static str {
        match self.tokens {
            0 => "all",
            tokens if tokens < self.shared_tokens => "some",
            _ => "none",
        }
    }
}

/// The prefixes of a prompt that other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SharedPrefix {
    /// The shortest prefix that takes noticeable time to read.
    root: PartKey,
    root_tokens: u32,
    /// The whole prefix: the root itself if what follows is read quickly.
    whole: PartKey,
    /// The tokens of the whole prefix.
    tokens: u32,
}

/// A server as the order of a part's servers needs it.
#[derive(Clone, Copy, Debug)]
pub(super) struct CacheServer {
    pub(super) index: usize,
    pub(super) key: u64,
    pub(super) is_in_zone: bool,
}

/// A server and the tokens that it has to read of a prompt's shared prefix.
#[derive(Clone, Copy, Debug)]
pub(super) struct CacheCandidate {
    pub(super) index: usize,
    /// Whether it is one of the prefix's own servers.
    pub(super) is_own: bool,
    pub(super) tokens: u32,
}

/// The load of a service's servers together.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServiceLoad {
    pub(super) servers: f64,
    pub(super) live: f64,
    /// The mean number of slots of a server.
    pub(super) slots: f64,
}

#[derive(Clone, Copy, Debug)]
struct PrefixDemand {
    prefix: PartKey,
    /// The tokens of the prefix beyond those of a counted prefix that it begins with.
    tokens: u32,
    count: f64,
    counted_at: Timestamp,
}

/// What a daemon knows of the prompt parts of one service.
#[derive(Clone, Debug)]
pub(super) struct PromptCache {
    pub(super) settings: PromptCacheSettings,
    token_secs: f64,
    /// The mean time to the first event of requests that have little to read.
    base_secs: Option<f64>,
    /// When a request's first event last showed how fast servers read.
    sampled_at: Option<Timestamp>,
    /// Sorted by prefix.
    demand: Vec<PrefixDemand>,
    requests: f64,
    requests_at: Timestamp,
}

impl PromptCache {
    pub(super) fn new(settings: PromptCacheSettings) -> Self {
        PromptCache {
            settings,
            token_secs: DEFAULT_TOKEN_SECS,
            base_secs: None,
            sampled_at: None,
            demand: Vec::new(),
            requests: 0.0,
            requests_at: Timestamp::ZERO,
        }
    }

    /// Returns the time that a server needs to read tokens.
    pub(super) fn read_time(&self, tokens: u32) -> Duration {
        Duration::from_secs_f64(f64::from(tokens) * self.token_secs)
    }

    /// Returns what a server has to read of a prefix.
    pub(super) fn reading(
        &self,
        prefix: SharedPrefix,
        candidate: CacheCandidate,
        now: Timestamp,
    ) -> PromptReading {
        PromptReading {
            shared_tokens: prefix.tokens,
            tokens: candidate.tokens,
            is_own: candidate.is_own,
            duration: self.read_time(candidate.tokens),
            sample_age: self.sampled_at.map(|it| now.since(it)),
        }
    }

    fn is_noticeable(&self, tokens: u32) -> bool {
        self.read_time(tokens) >= self.settings.objective.mul_f64(NOTICEABLE_FRACTION)
    }

    /// Returns the prefix of a prompt that other requests may share, if reading it takes
    /// noticeable time. The last part belongs to the request alone.
    pub(super) fn shared_prefix(&self, parts: &[PromptPart]) -> Option<SharedPrefix> {
        let (_, shared) = parts.split_last()?;
        let mut tokens: u32 = 0;
        let mut whole = PartKey(0);
        let mut root = None;
        for part in shared {
            tokens = tokens.saturating_add(part.tokens);
            whole = PartKey(mix(whole.0 ^ part.key.0));
            if root.is_none() && self.is_noticeable(tokens) {
                root = Some((whole, tokens));
            }
        }
        let (root, root_tokens) = root?;
        if !self.is_noticeable(tokens - root_tokens) {
            whole = root;
        }
        Some(SharedPrefix {
            root,
            root_tokens,
            whole,
            tokens,
        })
    }

    /// Returns the servers with the tokens that each has to read, the prefix's own servers
    /// first.
    pub(super) fn candidates(
        &self,
        prefix: SharedPrefix,
        mut servers: Vec<CacheServer>,
        load: ServiceLoad,
        now: Timestamp,
    ) -> Vec<CacheCandidate> {
        let of_zone = servers.iter().filter(|it| it.is_in_zone).count();
        let has_own_zone = of_zone >= MIN_ZONE_SERVERS;
        let is_eligible = |it: &CacheServer| it.is_in_zone || !has_own_zone;
        let score = |it: &CacheServer, key: PartKey| (is_eligible(it), mix(it.key ^ key.0));
        servers.sort_by_cached_key(|it| std::cmp::Reverse(score(it, prefix.root)));
        let roots = self.server_count(prefix.root, load, now).min(servers.len());
        let mut wholes = roots;
        if prefix.whole != prefix.root {
            servers[..roots].sort_by_cached_key(|it| std::cmp::Reverse(score(it, prefix.whole)));
            wholes = self.server_count(prefix.whole, load, now).min(roots);
        }
        let to_candidate = |(rank, server): (usize, &CacheServer)| {
            let cached = match rank {
                rank if rank < wholes => prefix.tokens,
                rank if rank < roots => prefix.root_tokens,
                _ => 0,
            };
            CacheCandidate {
                index: server.index,
                is_own: rank < roots,
                tokens: prefix.tokens - cached,
            }
        };
        servers.iter().enumerate().map(to_candidate).collect()
    }

    /// Returns the number of servers that carry the load of a prefix: its part of this
    /// daemon's requests is taken as its part of the load of all.
    fn server_count(&self, prefix: PartKey, load: ServiceLoad, now: Timestamp) -> usize {
        let index = self.demand.binary_search_by_key(&prefix, |it| it.prefix);
        let Ok(index) = index else { return 1 };
        let demand = self.demand[index];
        let requests = decayed(self.requests, self.requests_at, now);
        let count = decayed(demand.count, demand.counted_at, now);
        let live = load.live * count / requests.max(1.0);
        1 + (live / (load.slots * self.slots_fraction(load)).max(1.0)) as usize
    }

    /// Returns the fraction of a server's slots that requests with one part should use: all
    /// of them where the parts known here need the memory of all servers, less where the
    /// servers can keep parts several times.
    fn slots_fraction(&self, load: ServiceLoad) -> f64 {
        let tokens: f64 = self.demand.iter().map(|it| f64::from(it.tokens)).sum();
        let memory = f64::from(self.settings.memory_tokens) * load.servers;
        (tokens / memory.max(1.0)).clamp(MIN_SLOTS_FRACTION, 1.0)
    }

    /// Returns what reading tokens costs at a server whose requests and items use this
    /// fraction of its slots, in the unit of a server's cost. They all wait while it reads.
    pub(super) fn read_cost(&self, tokens: u32, used_fraction: f64) -> f64 {
        let unit = self.settings.objective.as_secs_f64() * COST_UNIT_FRACTION;
        let reading = self.read_time(tokens).as_secs_f64();
        reading * (1.0 + used_fraction) / unit.max(1e-3)
    }

    /// Records the prompt of a request that is sent to a server.
    pub(super) fn record_request(&mut self, parts: &[PromptPart], now: Timestamp) {
        self.requests = decayed(self.requests, self.requests_at, now) + 1.0;
        self.requests_at = now;
        let Some(prefix) = self.shared_prefix(parts) else {
            return;
        };
        self.record_prefix(prefix.root, prefix.root_tokens, now);
        if prefix.whole != prefix.root {
            self.record_prefix(prefix.whole, prefix.tokens - prefix.root_tokens, now);
        }
    }

    fn record_prefix(&mut self, prefix: PartKey, tokens: u32, now: Timestamp) {
        match self.demand.binary_search_by_key(&prefix, |it| it.prefix) {
            Ok(index) => {
                let demand = &mut self.demand[index];
                demand.count = decayed(demand.count, demand.counted_at, now) + 1.0;
                demand.counted_at = now;
            }
            Err(index) => {
                let demand = PrefixDemand {
                    prefix,
                    tokens,
                    count: 1.0,
                    counted_at: now,
                };
                self.demand.insert(index, demand);
                self.limit_demand(now);
            }
        }
    }

    /// Forgets the prefixes that were requested least, so that the list stays bounded.
    fn limit_demand(&mut self, now: Timestamp) {
        let is_recent = |it: &PrefixDemand| now.since(it.counted_at) < DEMAND_DECAY_TIME;
        if self.demand.len() > MAX_COUNTED_PARTS {
            self.demand.retain(is_recent);
        }
        if self.demand.len() > MAX_COUNTED_PARTS {
            self.demand.retain(|it| it.count > 1.0);
        }
        self.demand.truncate(MAX_COUNTED_PARTS);
    }

    /// Records the time to the first event of a request that found a free slot, at a server
    /// that had to read `tokens`.
    pub(super) fn record_first_event(&mut self, tokens: u32, elapsed: Duration, now: Timestamp) {
        let elapsed_secs = elapsed.as_secs_f64();
        if !self.is_noticeable(tokens) {
            let base = self.base_secs.get_or_insert(elapsed_secs);
            *base += BASE_TIME_WEIGHT * (elapsed_secs - *base);
            return;
        }
        let Some(base) = self.base_secs else { return };
        let sample = (elapsed_secs - base).max(0.0) / f64::from(tokens);
        let weight = match sample < self.token_secs * CACHED_SAMPLE_FRACTION {
            true => CACHED_SAMPLE_WEIGHT,
            false => TOKEN_TIME_WEIGHT,
        };
        let sample = sample.min(self.token_secs * MAX_SAMPLE_FACTOR);
        self.sampled_at = Some(now);
        self.token_secs += weight * (sample - self.token_secs);
    }
}

fn decayed(count: f64, counted_at: Timestamp, now: Timestamp) -> f64 {
    let age = now.since(counted_at).as_secs_f64() / DEMAND_DECAY_TIME.as_secs_f64();
    count * (-age).exp()
}
