//! The trait for the platform's key-value store and the types of its calls.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The maximum size of a value in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
/// The maximum number of comparisons, and of steps, in a transaction.
pub const MAX_TRANSACTION_STEPS: usize = 128;
/// The bounds of the range that contains every key.
const ALL_KEYS: (Bytes, Bytes) = (Bytes::from_static(&[0]), Bytes::from_static(&[0]));

/// A revision of the whole store. Later writes have higher revisions.
pub type Revision = i64;

/// A lease of the platform: keys written under it are deleted when it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LeaseId(pub i64);

/// One key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key, as text.
    pub key: String,
    /// The value, 1 MB at most.
    pub value: Bytes,
    /// The revision at which the key was last written.
    pub modified: Revision,
    /// The revision at which the key was created.
    pub created: Revision,
    /// How often the key was written since its creation.
    pub version: i64,
}

/// The keys that a read or watch covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum KeyRange {
    /// Only this key.
    One(String),
    /// Each key that starts with this string.
    Prefix(String),
    /// Each key that starts with a string and sorts after another key.
    After {
        /// The prefix of the keys.
        prefix: String,
        /// The key after which the range begins.
        after: String,
    },
    /// Each key from the first one up to, but excluding, the second.
    Between(String, String),
}

impl KeyRange {
    /// Returns whether the range contains a key.
    pub fn contains(&self, key: &str) -> bool {
        let (first, end) = self.bounds();
        let key = key.as_bytes();
        match end.as_ref() {
            [] => key == first,
            [0] => key >= first.as_ref(),
            end => key >= first.as_ref() && key < end,
        }
    }

    /// Returns the first key and the end of the range in the form of the platform's
    /// calls: no end for a single key, a single zero byte for all keys that follow.
    pub fn bounds(&self) -> (Bytes, Bytes) {
        match self {
            KeyRange::One(key) => (key.clone().into(), Bytes::new()),
            KeyRange::Prefix(prefix) if prefix.is_empty() => ALL_KEYS,
            KeyRange::Prefix(prefix) => (prefix.clone().into(), prefix_end(prefix)),
            KeyRange::After { prefix, after } => (format!("{after}\0").into(), prefix_end(prefix)),
            KeyRange::Between(first, end) => (first.clone().into(), end.clone().into()),
        }
    }
}

/// Returns the first byte string that sorts after all those starting with `prefix`.
/// Text never contains the byte 255, so adding one to the last byte can't overflow.
fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end.into()
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAnswer {
    /// The pairs found, in key order.
    pub pairs: Vec<KeyValue>,
    /// The store's revision when it answered.
    pub revision: Revision,
    /// Whether the limit truncated the result.
    pub more: bool,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Comparison {
    /// The key doesn't exist.
    Absent(String),
    /// The key exists.
    Present(String),
    /// The key was last written at this revision.
    ModifiedAt(String, Revision),
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Write {
    /// Sets a key, under a lease if one is given.
    Put {
        /// The key to write.
        key: String,
        /// Its new value, 1 MB at most.
        value: Bytes,
        /// The lease with which the key is deleted.
        lease: Option<LeaseId>,
    },
    /// Deletes a key if it exists.
    Delete(String),
}

impl Write {
    /// Returns the key that is written.
    pub fn key(&self) -> &String {
        match self {
            Write::Put { key, .. } | Write::Delete(key) => key,
        }
    }
}

/// A transaction: all writes are applied if every comparison holds.
///
/// Otherwise the keys in `read_back` are read in the same step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// The conditions, all of which must hold.
    pub when: Vec<Comparison>,
    /// The writes if all conditions hold.
    pub then: Vec<Write>,
    /// The keys to read if a condition fails.
    pub read_back: Vec<String>,
}

/// The result of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TransactionAnswer {
    /// Everything was written at this revision.
    Written(Revision),
    /// A comparison failed. Nothing was written.
    Refused {
        /// The pairs of `read_back` that exist.
        found: Vec<KeyValue>,
        /// The store's revision when it answered.
        revision: Revision,
    },
}

/// One message of a watch.
///
/// A key that changed more than once since the last message occurs once, in its final
/// state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The pairs written since the last message.
    pub written: Vec<KeyValue>,
    /// The keys deleted since the last message.
    pub deleted: Vec<String>,
    /// The store's revision up to which the watch has now reported all changes.
    pub revision: Revision,
    /// The revision of the latest change in this message; 0 if there is none. Two
    /// watches may report the same change up to different revisions.
    pub last_change: Revision,
}

/// Why a call to the store failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The platform couldn't be reached. The call has certainly not run.
    #[error("the platform can't be reached: {0}")]
    Unreachable(String),
    /// The call was sent, but no answer arrived: a write may have taken effect.
    #[error("no answer from the platform: {0}")]
    AnswerLost(String),
    /// The platform rejected the call with an error.
    #[error("the platform rejected the call: {0}")]
    Rejected(String),
    /// A watch requested revisions that the platform no longer has.
    #[error("the platform has compacted the history before revision {0}")]
    Compacted(Revision),
    /// The platform doesn't know the lease: it expired or was revoked.
    #[error("the lease has expired")]
    LeaseLapsed,
}

impl StoreError {
    /// Returns whether the platform answered that it won't run the call, so that the same call
    /// would be refused again.
    pub fn is_final(&self) -> bool {
        matches!(self, StoreError::Rejected(_))
    }

    /// Returns whether the error leaves open whether the platform is there.
    pub fn is_outage(&self) -> bool {
        matches!(self, StoreError::Unreachable(_) | StoreError::AnswerLost(_))
    }
}

/// An open watch.
pub trait WatchStream: Send {
    /// Waits for the next message. An error ends the watch.
    fn next(&mut self) -> impl Future<Output = Result<WatchBatch, StoreError>> + Send;
}

/// The platform's key-value service.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// The type of watch that this store opens.
    type Watch: WatchStream;

    /// Reads a range of keys, at most `limit` pairs (0 for all).
    fn range(
        &self,
        range: KeyRange,
        limit: usize,
    ) -> impl Future<Output = Result<RangeAnswer, StoreError>> + Send;

    /// Reads all keys of a range with their revisions but without their values: a cheap
    /// way to check whether a view of them is current.
    fn read_keys(
        &self,
        range: KeyRange,
    ) -> impl Future<Output = Result<RangeAnswer, StoreError>> + Send {
        async {
            let mut answer = self.range(range, 0).await?;
            for pair in &mut answer.pairs {
                pair.value = Bytes::new();
            }
            Ok(answer)
        }
    }

    /// Runs a transaction.
    fn transact(
        &self,
        batch: WriteBatch,
    ) -> impl Future<Output = Result<TransactionAnswer, StoreError>> + Send;

    /// Requests a lease that expires `ttl` after its last renewal.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease and returns the time it has left.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, StoreError>> + Send;

    /// Revokes a lease and deletes its keys.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Opens a watch that reports all writes from revision `from` on.
    fn watch(
        &self,
        range: KeyRange,
        from: Revision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}
