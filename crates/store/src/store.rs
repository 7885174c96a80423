//! The store as the project sees it.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// The most bytes that the platform takes as one value.
pub const VALUE_LIMIT: usize = 1_000_000;
/// The most comparisons or steps that the platform takes in one transaction.
pub const STEP_LIMIT: usize = 128;
/// The bounds of the range that holds every key.
const ALL_KEYS: (Bytes, Bytes) = (Bytes::from_static(&[0]), Bytes::from_static(&[0]));

/// A revision of the whole store. Later writes have higher revisions.
pub type Revision = i64;

/// A lease of the platform. Keys written under it vanish when it lapses.
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
    /// Exactly this key.
    One(String),
    /// Each key that starts with this text.
    Prefix(String),
    /// Each key that starts with a text and sorts after another.
    After {
        /// What the keys start with.
        prefix: String,
        /// The key after which they begin.
        after: String,
    },
    /// Each key from the first up to, not with, the second.
    Between(String, String),
}

impl KeyRange {
    /// The first key and the end of the range, as the platform's calls name
    /// them: no end for one key, a single zero byte for all keys that follow.
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

/// The first byte string after all that start with `prefix`. Text never holds
/// the byte 255, so that adding one to its last byte can't overflow.
fn prefix_end(prefix: &str) -> Bytes {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end.into()
}

/// What a read returned.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeAnswer {
    /// The pairs found, in key order.
    pub pairs: Vec<KeyValue>,
    /// The store's revision when it answered.
    pub revision: Revision,
    /// Whether the limit cut the answer short.
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
        /// The lease with which the key shall vanish.
        lease: Option<LeaseId>,
    },
    /// Deletes a key if it exists.
    Delete(String),
}

impl Write {
    /// The key that is written.
    pub fn key(&self) -> &String {
        match self {
            Write::Put { key, .. } | Write::Delete(key) => key,
        }
    }
}

/// A transaction: the writes happen together if every comparison holds.
///
/// When one doesn't, the keys in `read_back` are read in the same step.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriteBatch {
    /// All of these must hold.
    pub when: Vec<Comparison>,
    /// Then these are written.
    pub then: Vec<Write>,
    /// Otherwise these keys are read.
    pub read_back: Vec<String>,
}

/// What a transaction did.
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
/// A key that changed more than once since the last message stands here once,
/// as its last change left it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WatchBatch {
    /// The pairs written since the last message.
    pub written: Vec<KeyValue>,
    /// The keys deleted since the last message.
    pub deleted: Vec<String>,
    /// The store's revision up to which the watcher has now seen everything.
    pub revision: Revision,
    /// The revision of the newest change in this message; 0 without one. Two watches
    /// may report the same change up to different revisions.
    pub changed: Revision,
}

/// Why the store gave no answer.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// No byte of the call reached the platform: it has certainly not run.
    #[error("the platform can't be reached: {0}")]
    Unreachable(String),
    /// The call was sent and no answer came: a write may have taken effect.
    #[error("the platform gave no answer: {0}")]
    AnswerLost(String),
    /// The platform answered with an error of its own.
    #[error("the platform refused: {0}")]
    Rejected(String),
    /// A watch asked for revisions that the platform no longer has.
    #[error("the platform dropped history before revision {0}")]
    Compacted(Revision),
    /// The lease is unknown to the platform: it lapsed or was revoked.
    #[error("the lease has lapsed")]
    LeaseLapsed,
}

/// An open watch.
pub trait WatchStream: Send {
    /// Waits for the next message. An error ends the watch.
    fn next(&mut self) -> impl Future<Output = Result<WatchBatch, StoreError>> + Send;
}

/// The platform's key-value service.
pub trait PlatformStore: Clone + Send + Sync + 'static {
    /// The watch that this store opens.
    type Watch: WatchStream;

    /// Reads a range of keys, `limit` pairs at most (0 for all).
    fn range(
        &self,
        range: KeyRange,
        limit: usize,
    ) -> impl Future<Output = Result<RangeAnswer, StoreError>> + Send;

    /// Reads all keys of a range with their revisions and without values: the
    /// cheap way to learn whether a view of them is current.
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

    /// Grants a lease that lapses `ttl` after its last renewal.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<LeaseId, StoreError>> + Send;

    /// Renews a lease and returns the time it has left.
    fn renew(&self, lease: LeaseId) -> impl Future<Output = Result<Duration, StoreError>> + Send;

    /// Revokes a lease; its keys vanish.
    fn revoke(&self, lease: LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Opens a watch that reports all writes from revision `from` on.
    fn watch(
        &self,
        range: KeyRange,
        from: Revision,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}
