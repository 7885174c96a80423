//! A copy of the keys under one prefix of the store.

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{KeyValue, Revision, WatchBatch};

/// A copy of the keys under one prefix of the store.
///
/// It only ever moves forward: a list or a batch that is older than what the
/// copy shows changes nothing. After a store lost its history, or where a peer's
/// copy stands in for the store, older states would otherwise come back into
/// force, keys that were withdrawn among them.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// Sorted by key.
    pairs: Vec<KeyValue>,
    revision: Revision,
    changed_revision: Revision,
    confirmed_at: Option<Timestamp>,
}

/// All keys under a prefix.
#[derive(Clone, Debug, Default)]
pub struct WholeList {
    /// The pairs.
    pub pairs: Vec<KeyValue>,
    /// The store's revision that it shows.
    pub revision: Revision,
    /// The revision of its last change, where a daemon shows its copy: it may know of
    /// a removal by its revision.
    pub changed: Option<Revision>,
}

impl StoreView {
    /// The pairs, sorted by key.
    pub fn pairs(&self) -> &[KeyValue] {
        &self.pairs
    }

    /// One key.
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        let place = self
            .pairs
            .binary_search_by(|it| it.key.as_str().cmp(key))
            .ok()?;
        Some(&self.pairs[place])
    }

    /// The store's revision that it shows; 0 before anything was read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The revision of the last change that it shows.
    pub fn changed_revision(&self) -> Revision {
        self.changed_revision
    }

    /// When it was last known to be current.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Takes over a whole list. Returns whether anything changed.
    pub fn reset(&mut self, list: WholeList, now: Timestamp) -> bool {
        let WholeList {
            mut pairs,
            revision,
            changed,
        } = list;
        if revision < self.revision {
            return false;
        }
        pairs.sort_by(|left, right| left.key.cmp(&right.key));
        let is_changed = self.pairs != pairs || self.confirmed_at.is_none();
        let newest = pairs.iter().map(|it| it.modified).max().unwrap_or_default();
        // A list names no removal. Were one passed over, the daemons that learn from
        // this copy would find nothing newer in it, and use a server that is gone.
        let newest = match self.is_within(&pairs) {
            true => newest,
            false => changed.unwrap_or(revision),
        };
        self.changed_revision = self.changed_revision.max(newest);
        self.pairs = pairs;
        self.revision = revision;
        self.confirmed_at = Some(now);
        is_changed
    }

    /// Whether a list, sorted by key, has all keys of this copy.
    fn is_within(&self, listed: &[KeyValue]) -> bool {
        let has = |key: &str| listed.binary_search_by(|it| it.key.as_str().cmp(key));
        self.pairs.iter().all(|it| has(&it.key).is_ok())
    }

    /// Takes over changes. Returns whether anything changed.
    pub fn apply(&mut self, batch: WatchBatch, now: Timestamp) -> bool {
        self.confirmed_at = Some(now);
        if batch.revision < self.revision {
            return false;
        }
        self.revision = batch.revision;
        let mut is_changed = false;
        for pair in batch.written {
            match self.pairs.binary_search_by(|it| it.key.cmp(&pair.key)) {
                Ok(place) if self.pairs[place].modified >= pair.modified => continue,
                Ok(place) => self.pairs[place] = pair,
                Err(place) => self.pairs.insert(place, pair),
            }
            is_changed = true;
        }
        for key in batch.deleted {
            if let Ok(place) = self.pairs.binary_search_by(|it| it.key.cmp(&key)) {
                self.pairs.remove(place);
                is_changed = true;
            }
        }
        if is_changed {
            self.changed_revision = self.changed_revision.max(batch.changed);
        }
        is_changed
    }
}
