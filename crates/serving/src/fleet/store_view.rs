//! A local copy of the keys under one prefix of the store.

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{KeyValue, Revision, WatchBatch};

/// A local copy of the keys under one prefix of the store.
///
/// Its revision never goes back: a list or a batch that is older than the copy changes
/// nothing. Otherwise, after the store lost its history, or where a peer's copy replaces
/// the store, older states would come into force again, withdrawn keys among them.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// Sorted by key.
    pairs: Vec<KeyValue>,
    revision: Revision,
    changed_revision: Revision,
    confirmed_at: Option<Timestamp>,
}

/// All keys under a prefix at one revision.
#[derive(Clone, Debug, Default)]
pub struct PrefixSnapshot {
    /// The pairs, in any order.
    pub pairs: Vec<KeyValue>,
    /// The store's revision at which the list is complete.
    pub revision: Revision,
    /// The revision of the last change, if the list is another daemon's copy. That daemon
    /// may know the revision of a removal, which the pairs don't show.
    pub changed: Option<Revision>,
}

impl StoreView {
    /// Returns the pairs, sorted by key.
    pub fn pairs(&self) -> &[KeyValue] {
        &self.pairs
    }

    /// Returns the pair with this key.
    pub fn get(&self, key: &str) -> Option<&KeyValue> {
        let index = self
            .pairs
            .binary_search_by(|it| it.key.as_str().cmp(key))
            .ok()?;
        Some(&self.pairs[index])
    }

    /// Returns the store's revision up to which the copy is complete; 0 before the first read.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the revision of the last change in the copy.
    pub fn changed_revision(&self) -> Revision {
        self.changed_revision
    }

    /// Returns when the copy was last known to be current.
    pub fn confirmed_at(&self) -> Option<Timestamp> {
        self.confirmed_at
    }

    /// Replaces all pairs by those of a list. Returns whether anything changed.
    pub fn reset(&mut self, list: PrefixSnapshot, now: Timestamp) -> bool {
        let PrefixSnapshot {
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
        // A list doesn't contain removals. Unless one counts as a change, daemons that learn
        // from this copy find nothing newer in it, and use a server that is gone.
        let newest = match self.is_contained_in(&pairs) {
            true => newest,
            false => changed.unwrap_or(revision),
        };
        self.changed_revision = self.changed_revision.max(newest);
        self.pairs = pairs;
        self.revision = revision;
        self.confirmed_at = Some(now);
        is_changed
    }

    /// Returns whether a list, sorted by key, has all keys of this copy.
    fn is_contained_in(&self, listed: &[KeyValue]) -> bool {
        let has = |key: &str| listed.binary_search_by(|it| it.key.as_str().cmp(key));
        self.pairs.iter().all(|it| has(&it.key).is_ok())
    }

    /// Applies a batch of changes. Returns whether anything changed.
    pub fn apply(&mut self, batch: WatchBatch, now: Timestamp) -> bool {
        self.confirmed_at = Some(now);
        if batch.revision < self.revision {
            return false;
        }
        self.revision = batch.revision;
        let mut is_changed = false;
        for pair in batch.written {
            match self.pairs.binary_search_by(|it| it.key.cmp(&pair.key)) {
                Ok(index) if self.pairs[index].modified >= pair.modified => continue,
                Ok(index) => self.pairs[index] = pair,
                Err(index) => self.pairs.insert(index, pair),
            }
            is_changed = true;
        }
        for key in batch.deleted {
            if let Ok(index) = self.pairs.binary_search_by(|it| it.key.cmp(&key)) {
                self.pairs.remove(index);
                is_changed = true;
            }
        }
        if is_changed {
            self.changed_revision = self.changed_revision.max(batch.last_change);
        }
        is_changed
    }
}
