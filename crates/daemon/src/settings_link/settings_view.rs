//! A copy of the settings as of one revision, and the changes between revisions.

use comfreyramp_store::{KeyValue, RangeAnswer, Revision, WatchBatch};

/// How many deletions are kept for peers whose views are older.
const MAX_KEPT_DELETIONS: usize = 256;

/// The changes from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewChanges {
    /// The revision they start from; 0 if they contain the whole view.
    pub base: Revision,
    /// The revision they lead to.
    pub revision: Revision,
    /// The pairs written in between, with their final values.
    pub written: Vec<KeyValue>,
    /// The keys deleted in between.
    pub deleted: Vec<String>,
}

impl ViewChanges {
    /// Returns the changes in a watch's message that follows the revision `base`.
    pub fn of_watch(batch: WatchBatch, base: Revision) -> Self {
        ViewChanges {
            base,
            revision: batch.revision,
            written: batch.written,
            deleted: batch.deleted,
        }
    }

    /// Returns whether nothing was changed.
    pub fn is_empty(&self) -> bool {
        self.base > 0 && self.written.is_empty() && self.deleted.is_empty()
    }
}

impl From<RangeAnswer> for ViewChanges {
    fn from(answer: RangeAnswer) -> Self {
        ViewChanges {
            base: 0,
            revision: answer.revision,
            written: answer.pairs,
            deleted: Vec::new(),
        }
    }
}

/// A deleted key and a revision at or after its deletion: the first one at which this
/// daemon learned of it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DeletedKey {
    key: String,
    revision: Revision,
}

/// All key-value pairs of the settings as of one revision, and the recent deletions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsView {
    /// The revision up to which all changes are included; 0 without a view.
    pub revision: Revision,
    /// The pairs, sorted by key.
    pairs: Vec<KeyValue>,
    /// The deletions after revision `deletions_from`, oldest first.
    deletions: Vec<DeletedKey>,
    deletions_from: Revision,
}

impl SettingsView {
    /// Returns the pairs, sorted by key.
    pub fn pairs(&self) -> &[KeyValue] {
        &self.pairs
    }

    /// Applies changes that start at this view's revision or before and lead to a
    /// later one.
    pub fn apply(&mut self, changes: ViewChanges) {
        let revision = changes.revision;
        if changes.base == 0 {
            self.replace(changes.written, revision);
        } else {
            for key in changes.deleted {
                self.delete(key, revision);
            }
            for pair in changes.written {
                self.put(pair);
            }
        }
        self.revision = revision;
    }

    /// Returns whether two views have the same pairs, whatever their revisions.
    pub fn has_same_pairs(&self, other: &SettingsView) -> bool {
        let own = self.pairs.iter().map(|it| (&it.key, it.modified));
        own.eq(other.pairs.iter().map(|it| (&it.key, it.modified)))
    }

    /// Returns whether a read of the keys alone has the same keys at the same
    /// revisions.
    pub fn matches(&self, keys: &RangeAnswer) -> bool {
        let own = self.pairs.iter().map(|it| (&it.key, it.modified));
        own.eq(keys.pairs.iter().map(|it| (&it.key, it.modified)))
    }

    /// Returns the changes after revision `base`, or the whole view if the deletions
    /// since then aren't all known any more.
    pub fn changes_since(&self, base: Revision) -> ViewChanges {
        if base < self.deletions_from.max(1) {
            return ViewChanges {
                base: 0,
                revision: self.revision,
                written: self.pairs.clone(),
                deleted: Vec::new(),
            };
        }
        let written = self.pairs.iter().filter(|it| it.modified > base);
        let deleted = self.deletions.iter().filter(|it| it.revision > base);
        // A key that was created again is among the pairs. A peer that has it
        // already must not delete it.
        let deleted = deleted.filter(|it| self.find(&it.key).is_err());
        ViewChanges {
            base,
            revision: self.revision,
            written: written.cloned().collect(),
            deleted: deleted.map(|it| it.key.clone()).collect(),
        }
    }

    fn replace(&mut self, mut pairs: Vec<KeyValue>, revision: Revision) {
        pairs.sort_by(|one, other| one.key.cmp(&other.key));
        if self.revision == 0 {
            // Deletions before the first view are not known.
            self.deletions_from = revision;
        }
        let removed = self.pairs.iter().map(|it| &it.key);
        let removed = removed.filter(|key| pairs.binary_search_by(|it| it.key.cmp(key)).is_err());
        let removed: Vec<String> = removed.cloned().collect();
        for key in removed {
            self.delete(key, revision);
        }
        self.pairs = pairs;
    }

    fn put(&mut self, pair: KeyValue) {
        match self.find(&pair.key) {
            // A peer's changes may start before this view's revision.
            Ok(index) if self.pairs[index].modified > pair.modified => {}
            Ok(index) => self.pairs[index] = pair,
            Err(index) => self.pairs.insert(index, pair),
        }
    }

    fn delete(&mut self, key: String, revision: Revision) {
        let Ok(index) = self.find(&key) else {
            return;
        };
        self.pairs.remove(index);
        self.deletions.push(DeletedKey { key, revision });
        if self.deletions.len() > MAX_KEPT_DELETIONS {
            let oldest = self.deletions.remove(0);
            self.deletions_from = self.deletions_from.max(oldest.revision);
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.pairs.binary_search_by(|it| it.key.as_str().cmp(key))
    }
}

impl From<&SettingsView> for RangeAnswer {
    fn from(view: &SettingsView) -> Self {
        RangeAnswer {
            pairs: view.pairs.clone(),
            revision: view.revision,
            more: false,
        }
    }
}
