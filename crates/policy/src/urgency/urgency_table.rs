//! The recent traffic of all keys.

use std::{mem::size_of, time::Duration};

use super::key_traffic::KeyTraffic;
use crate::Timestamp;

/// How long the traffic of an idle key is remembered.
const IDLE_LIFETIME: Duration = Duration::from_secs(3600);

/// Identifies a key in the urgency table by a part of the key's hash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerKey(pub u64);

/// The interface through which a request arrived.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CallerInterface {
    /// Completions and plain services, for which a person may be waiting.
    #[default]
    Live,
    /// Files and batches, which form lots (batch jobs).
    Lots,
}

/// The properties of a request that determine its urgency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTraits {
    /// The interface through which it arrived.
    pub interface: CallerInterface,
    /// Whether its answer is streamed.
    pub streaming: bool,
}

/// The urgency of a request, from the most urgent to the least.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// A person may be waiting for it.
    #[default]
    Person,
    /// It came through the live interface, at a rate that persons don't reach.
    Bulk,
    /// It belongs to a lot (a batch job).
    Lot,
}

impl Urgency {
    /// All values, the most urgent first.
    pub const ALL: [Urgency; 3] = [Urgency::Person, Urgency::Bulk, Urgency::Lot];
}

/// The recent traffic of all keys in use.
///
/// Streams and other requests of a key are counted separately: people read answers as
/// they are streamed, programs seldom do. So a program that shares the key of a shop
/// doesn't use up the rank of the people there.
#[derive(Clone, Debug, Default)]
pub struct UrgencyTable {
    /// Sorted by key, then by whether the requests stream.
    traffic: Vec<((CallerKey, bool), KeyTraffic)>,
}

impl UrgencyTable {
    /// Counts the start of a request and returns its urgency.
    pub fn begin(&mut self, key: CallerKey, traits: CallTraits, now: Timestamp) -> Urgency {
        if traits.interface == CallerInterface::Lots {
            return Urgency::Lot;
        }
        let position = self.position(key, traits);
        let at = position.unwrap_or_else(|at| {
            let traffic = ((key, traits.streaming), KeyTraffic::new(now));
            self.traffic.insert(at, traffic);
            at
        });
        if self.traffic[at].1.begin(now) {
            Urgency::Person
        } else {
            Urgency::Bulk
        }
    }

    /// Counts the end of a request that had the urgency `urgency` when it began.
    pub fn end(&mut self, key: CallerKey, traits: CallTraits, urgency: Urgency) {
        if urgency != Urgency::Person {
            return;
        }
        if let Ok(at) = self.position(key, traits) {
            let traffic = &mut self.traffic[at].1;
            traffic.in_flight = traffic.in_flight.saturating_sub(1);
        }
    }

    /// Removes keys that have been idle for long. Has to be called every few minutes.
    pub fn poll(&mut self, now: Timestamp) {
        self.traffic
            .retain(|(_, it)| it.in_flight > 0 || now.since(it.seen_at) < IDLE_LIFETIME);
    }

    /// Returns the number of entries: one or two for each key in use.
    pub fn entry_count(&self) -> usize {
        self.traffic.len()
    }

    /// Returns the memory usage of the table in bytes.
    pub fn memory(&self) -> usize {
        self.traffic.capacity() * size_of::<((CallerKey, bool), KeyTraffic)>()
    }

    fn position(&self, key: CallerKey, traits: CallTraits) -> Result<usize, usize> {
        let wanted = (key, traits.streaming);
        self.traffic.binary_search_by_key(&wanted, |&(key, _)| key)
    }
}
