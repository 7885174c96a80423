//! The cache events that an engine publishes, with a lag and with losses.

use std::{collections::VecDeque, time::Duration};

use comfreyramp_policy::Timestamp;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use super::prefix_cache::CacheChange;

/// The number of events that are kept for readers that lag behind.
const MAX_KEPT_EVENTS: usize = 10_000;

/// The lag and the losses of the events.
#[derive(Clone, Copy, Debug)]
pub struct JournalOptions {
    /// The delay after which the event of a change can be read.
    pub lag: Duration,
    /// The fraction of events that are lost, from 0 to 1.
    pub drop_fraction: f64,
    /// The seed of the random choice of lost events.
    pub seed: u64,
}

impl Default for JournalOptions {
    fn default() -> Self {
        JournalOptions {
            lag: Duration::from_millis(300),
            drop_fraction: 0.05,
            seed: 1,
        }
    }
}

/// The published changes of a prefix cache.
///
/// Events are numbered before some are lost, so that a reader can detect a gap.
#[derive(Debug)]
pub struct CacheJournal {
    options: JournalOptions,
    random: StdRng,
    next_number: u64,
    events: VecDeque<(u64, Timestamp, CacheChange)>,
}

impl CacheJournal {
    /// Creates an empty journal.
    pub fn new(options: JournalOptions) -> Self {
        CacheJournal {
            options,
            random: StdRng::seed_from_u64(options.seed),
            next_number: 1,
            events: VecDeque::new(),
        }
    }

    /// Publishes a change, or drops it at the configured rate.
    pub fn publish(&mut self, at: Timestamp, change: CacheChange) {
        let number = self.next_number;
        self.next_number += 1;
        if self
            .random
            .random_bool(self.options.drop_fraction.clamp(0.0, 1.0))
        {
            return;
        }
        self.events.push_back((number, at, change));
        if self.events.len() > MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events with a number above `after` that are at least one lag old.
    pub fn read(&self, now: Timestamp, after: u64) -> Vec<(u64, &CacheChange)> {
        let is_published = |at: Timestamp| at + self.options.lag <= now;
        self.events
            .iter()
            .filter(|(number, at, _)| *number > after && is_published(*at))
            .map(|(number, _, change)| (*number, change))
            .collect()
    }

    /// Returns the events of [`CacheJournal::read`] in the JSON format of the HTTP API.
    pub fn read_json(&self, now: Timestamp, after: u64) -> Value {
        let events: Vec<Value> = self
            .read(now, after)
            .into_iter()
            .map(|(number, change)| event_json(number, change))
            .collect();
        json!({ "events": events })
    }
}

fn event_json(number: u64, change: &CacheChange) -> Value {
    let (kind, blocks) = match change {
        CacheChange::Stored(blocks) => ("stored", blocks),
        CacheChange::Removed(blocks) => ("removed", blocks),
    };
    let blocks: Vec<String> = blocks.iter().map(|it| format!("{it:016x}")).collect();
    json!({ "number": number, "kind": kind, "blocks": blocks })
}
