//! The state of the store: entries, leases and the history of changes.

use std::{
    collections::BTreeMap,
    sync::{
        Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};
use tokio::sync::Notify;

/// The size in bytes of the values in a page of a listing, unless its only value is larger.
const PAGE_BYTES: usize = 1_000_000;
/// The number of entries in a page of a listing, unless a test sets another one.
const PAGE_ENTRIES: usize = 500;

/// A key with its value and when it was written.
#[serde_as]
#[derive(Clone, Debug, Serialize)]
pub struct KvEntry {
    /// The key.
    pub key: String,
    /// The value of the last write.
    #[serde_as(as = "Base64")]
    pub value: Vec<u8>,
    /// The revision of the last write.
    pub revision: i64,
    /// The revision of the write that created the key.
    pub created: i64,
    /// The lease with which the key is removed; 0 for none.
    pub lease: i64,
}

/// A change: a written entry or a removed key.
#[derive(Clone, Debug, Serialize)]
#[serde(untagged)]
pub(super) enum KvEvent {
    Written(KvEntry),
    Removed {
        key: String,
        revision: i64,
        removed: bool,
    },
}

impl KvEvent {
    fn key(&self) -> &str {
        match self {
            KvEvent::Written(entry) => &entry.key,
            KvEvent::Removed { key, .. } => key,
        }
    }

    fn revision(&self) -> i64 {
        match self {
            KvEvent::Written(entry) => entry.revision,
            KvEvent::Removed { revision, .. } => *revision,
        }
    }
}

#[derive(Debug, Deserialize)]
pub(super) struct ExpectedRow {
    key: String,
    revision: i64,
}

#[serde_as]
#[derive(Debug, Deserialize)]
pub(super) struct WriteRow {
    key: String,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    #[serde(default)]
    lease: i64,
}

#[derive(Debug, Deserialize)]
pub(super) struct TransactionBody {
    #[serde(default)]
    expected: Vec<ExpectedRow>,
    #[serde(default)]
    writes: Vec<WriteRow>,
    #[serde(default)]
    remove: Vec<String>,
}

impl TransactionBody {
    /// Returns the keys that the transaction writes.
    pub(super) fn written_keys(&self) -> Vec<String> {
        self.writes.iter().map(|it| it.key.clone()).collect()
    }

    /// Returns the size in bytes of the largest value that is written.
    pub(super) fn largest_value(&self) -> usize {
        let sizes = self.writes.iter().map(|it| it.value.len());
        sizes.max().unwrap_or_default()
    }
}

/// The result of a transaction.
pub(super) enum TransactionOutcome {
    Written(i64),
    Conflict(Vec<KvEntry>, i64),
    UnknownLease,
}

/// A page of a listing.
pub(super) struct RangePage {
    pub(super) items: Vec<KvEntry>,
    pub(super) has_more: bool,
    pub(super) revision: i64,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct Tables {
    revision: i64,
    entries: BTreeMap<String, KvEntry>,
    events: Vec<KvEvent>,
    compacted_revision: i64,
    leases: BTreeMap<i64, Lease>,
    next_lease: i64,
}

/// The state of the store, which its endpoints share.
#[derive(Debug, Default)]
pub struct KvState {
    tables: Mutex<Tables>,
    /// The number of entries in a page of a listing; 0 for [`PAGE_ENTRIES`].
    page_entries: AtomicUsize,
    pub(super) changed: Notify,
}

impl KvState {
    /// Writes a key without a lease, as an operator or a backend server would, and returns
    /// the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> i64 {
        let mut tables = self.lock();
        tables.revision += 1;
        tables.write(key, value.to_vec(), 0);
        let revision = tables.revision;
        drop(tables);
        self.changed.notify_waiters();
        revision
    }

    /// Removes a key, if it exists.
    pub fn remove(&self, key: &str) {
        let mut tables = self.lock();
        tables.revision += 1;
        tables.remove(key);
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Sets the number of entries in a page of a listing.
    pub fn set_page_entries(&self, entries: usize) {
        self.page_entries.store(entries, Ordering::SeqCst);
    }

    /// Drops the history of changes, so that watches from an older revision fail and must
    /// list the keys again.
    pub fn drop_history(&self) {
        let mut tables = self.lock();
        tables.compacted_revision = tables.revision;
        tables.events.clear();
        drop(tables);
        self.changed.notify_waiters();
    }

    /// Returns all entries whose keys start with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<KvEntry> {
        let mut tables = self.lock();
        tables.expire_leases();
        let matching = tables
            .entries
            .values()
            .filter(|it| it.key.starts_with(prefix));
        matching.cloned().collect()
    }

    pub(super) fn get(&self, key: &str) -> (Option<KvEntry>, i64) {
        let mut tables = self.lock();
        tables.expire_leases();
        (tables.entries.get(key).cloned(), tables.revision)
    }

    pub(super) fn range(&self, prefix: &str, after: &str) -> RangePage {
        let page_entries = match self.page_entries.load(Ordering::SeqCst) {
            0 => PAGE_ENTRIES,
            entries => entries,
        };
        let mut tables = self.lock();
        tables.expire_leases();
        let matching = tables.entries.values();
        let mut matching = matching
            .filter(|it| it.key.starts_with(prefix) && it.key.as_str() > after)
            .peekable();
        let mut items: Vec<KvEntry> = Vec::new();
        let mut bytes = 0;
        while let Some(next) = matching.peek() {
            bytes += next.value.len();
            let is_full = bytes > PAGE_BYTES && !items.is_empty();
            if is_full || items.len() == page_entries {
                break;
            }
            items.extend(matching.next().cloned());
        }
        RangePage {
            items,
            has_more: matching.peek().is_some(),
            revision: tables.revision,
        }
    }

    /// Returns the changes under a prefix after a revision and the present revision, or
    /// `None` if some of the changes have been dropped.
    pub(super) fn events(&self, prefix: &str, after: i64) -> Option<(Vec<KvEvent>, i64)> {
        let mut tables = self.lock();
        tables.expire_leases();
        if after < tables.compacted_revision {
            return None;
        }
        let matching = tables.events.iter();
        let matching = matching.filter(|it| it.revision() > after && it.key().starts_with(prefix));
        Some((matching.cloned().collect(), tables.revision))
    }

    pub(super) fn transact(&self, body: TransactionBody) -> TransactionOutcome {
        let mut tables = self.lock();
        tables.expire_leases();
        let holds = |row: &ExpectedRow| {
            let found = tables.entries.get(&row.key).map_or(0, |it| it.revision);
            found == row.revision
        };
        if !body.expected.iter().all(holds) {
            let found = body
                .expected
                .iter()
                .filter_map(|it| tables.entries.get(&it.key));
            return TransactionOutcome::Conflict(found.cloned().collect(), tables.revision);
        }
        let has_lease = |it: &WriteRow| it.lease == 0 || tables.leases.contains_key(&it.lease);
        if !body.writes.iter().all(has_lease) {
            return TransactionOutcome::UnknownLease;
        }
        tables.revision += 1;
        for write in body.writes {
            tables.write(&write.key, write.value, write.lease);
        }
        for key in body.remove {
            tables.remove(&key);
        }
        let revision = tables.revision;
        drop(tables);
        self.changed.notify_waiters();
        TransactionOutcome::Written(revision)
    }

    pub(super) fn grant(&self, ttl: Duration) -> i64 {
        let mut tables = self.lock();
        tables.next_lease += 1;
        let id = tables.next_lease;
        let expires_at = Instant::now() + ttl;
        tables.leases.insert(id, Lease { ttl, expires_at });
        id
    }

    pub(super) fn renew(&self, id: i64) -> Option<Duration> {
        let mut tables = self.lock();
        tables.expire_leases();
        let lease = tables.leases.get_mut(&id)?;
        lease.expires_at = Instant::now() + lease.ttl;
        Some(lease.ttl)
    }

    pub(super) fn revoke(&self, id: i64) -> bool {
        let mut tables = self.lock();
        let existed = tables.remove_lease(id);
        drop(tables);
        self.changed.notify_waiters();
        existed
    }

    fn lock(&self) -> MutexGuard<'_, Tables> {
        self.tables.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Tables {
    fn write(&mut self, key: &str, value: Vec<u8>, lease: i64) {
        let created = self.entries.get(key).map_or(self.revision, |it| it.created);
        let entry = KvEntry {
            key: key.to_owned(),
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.entries.insert(key.to_owned(), entry.clone());
        self.events.push(KvEvent::Written(entry));
    }

    fn remove(&mut self, key: &str) {
        if self.entries.remove(key).is_some() {
            self.events.push(KvEvent::Removed {
                key: key.to_owned(),
                revision: self.revision,
                removed: true,
            });
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|it| it.1.expires_at <= now);
        let expired: Vec<i64> = expired.map(|it| *it.0).collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    fn remove_lease(&mut self, id: i64) -> bool {
        let existed = self.leases.remove(&id).is_some();
        let keys = self.entries.values().filter(|it| it.lease == id);
        let keys: Vec<String> = keys.map(|it| it.key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
        existed
    }
}
