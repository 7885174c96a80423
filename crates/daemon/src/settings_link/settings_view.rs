//! The settings as of one revision.

use comfreyramp_store::{KeyValue, RangeAnswer, Revision, WatchBatch};

/// How many deletions are remembered for peers that are behind.
const REMEMBERED_DELETIONS: usize = 256;

/// The changes from one revision to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewChanges {
    /// The revision they start from; 0 when they hold the whole view.
    pub base: Revision,
    /// The revision they lead to.
    pub revision: Revision,
    /// The pairs written in between, as they are at the end.
    pub written: Vec<KeyValue>,
    /// The keys deleted in between.
    pub deleted: Vec<String>,
}

impl ViewChanges {
    /// The changes of a watch's message that follows on `base`.
    pub fn of_watch(batch: WatchBatch, base: Revision) -> Self {
        ViewChanges {
            base,
            revision: batch.revision,
            written: batch.written,
            deleted: batch.deleted,
        }
    }

    /// Whether nothing was changed.
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

/// A deletion and the revision at which it was known at the latest.
#[derive(Clone, Debug, PartialEq, Eq)]
struct DeletedKey {
    key: String,
    revision: Revision,
}

/// All pairs of the settings as of one revision, and what has changed lately.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsView {
    /// The revision up to which everything is seen; 0 for no view.
    pub revision: Revision,
    /// The pairs, by key.
    pairs: Vec<KeyValue>,
    /// Deletions after `deletions_from`, oldest first.
    deletions: Vec<DeletedKey>,
    deletions_from: Revision,
}

impl SettingsView {
    /// The pairs, by key.
    pub fn pairs(&self) -> &[KeyValue] {
        &self.pairs
    }

    /// Applies changes that lead from this view, or from before it, to a later
    /// one.
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

    /// Whether two views hold the same pairs, whatever their revisions.
    pub fn is_same(&self, other: &SettingsView) -> bool {
        let own = self.pairs.iter().map(|it| (&it.key, it.modified));
        own.eq(other.pairs.iter().map(|it| (&it.key, it.modified)))
    }

    /// Whether a read of the keys shows the same pairs.
    pub fn matches(&self, keys: &RangeAnswer) -> bool {
        let own = self.pairs.iter().map(|it| (&it.key, it.modified));
        own.eq(keys.pairs.iter().map(|it| (&it.key, it.modified)))
    }

    /// The changes after `base`, or the whole view where that isn't known.
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
        // One that was created again stands among the pairs, and whoever has
        // it already must not lose it.
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
            // What was deleted before the first view is not known.
            self.deletions_from = revision;
        }
        let gone = self.pairs.iter().map(|it| &it.key);
        let gone = gone.filter(|key| pairs.binary_search_by(|it| it.key.cmp(key)).is_err());
        let gone: Vec<String> = gone.cloned().collect();
        for key in gone {
            self.delete(key, revision);
        }
        self.pairs = pairs;
    }

    fn put(&mut self, pair: KeyValue) {
        match self.find(&pair.key) {
            // A peer's changes may reach back to before this view.
            Ok(place) if self.pairs[place].modified > pair.modified => {}
            Ok(place) => self.pairs[place] = pair,
            Err(place) => self.pairs.insert(place, pair),
        }
    }

    fn delete(&mut self, key: String, revision: Revision) {
        let Ok(place) = self.find(&key) else {
            return;
        };
        self.pairs.remove(place);
        self.deletions.push(DeletedKey { key, revision });
        if self.deletions.len() > REMEMBERED_DELETIONS {
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
