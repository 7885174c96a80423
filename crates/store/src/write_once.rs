//! Writes that are safe to repeat after a lost answer.

use bytes::Bytes;

use crate::{
    Comparison, KeyValue, PlatformStore, RetryPolicy, Revision, StoreError, TransactionAnswer,
    Write, WriteBatch,
};

/// The outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOnceOutcome {
    /// The write took effect exactly once, at this revision.
    Written(Revision),
    /// A comparison failed, and the write certainly never took effect.
    Refused {
        /// The pairs of the batch's `read_back` that exist.
        found: Vec<KeyValue>,
        /// The store's revision when it answered.
        revision: Revision,
    },
    /// The write isn't in force now. An answer was lost, and another writer has written
    /// the key, either before or after this write.
    Superseded {
        /// The pairs of the batch's `read_back` that exist.
        found: Vec<KeyValue>,
        /// The store's revision when it answered.
        revision: Revision,
    },
}

/// What to do after an attempt.
#[derive(Debug)]
pub enum WriteOnceStep {
    /// The outcome is known.
    Done(Result<WriteOnceOutcome, StoreError>),
    /// The same batch must be sent again.
    Again,
}

/// The write by which a batch is recognised when its keys are read back.
#[derive(Clone, Debug, PartialEq, Eq)]
enum MarkerWrite {
    /// The key has this value.
    Value(String, Bytes),
    /// The key was deleted.
    Deleted(String),
}

impl MarkerWrite {
    /// Returns the first written value, preferably of a compared key. A missing key
    /// identifies the batch only if it contains nothing but deletions, since another
    /// writer's deletion looks the same.
    fn of(batch: &WriteBatch) -> Option<Self> {
        let mut puts = batch.then.iter().filter_map(put_value);
        let guarded_put = puts.clone().find(|(key, _)| is_guarded(batch, key));
        if let Some((key, value)) = guarded_put.or_else(|| puts.next()) {
            return Some(MarkerWrite::Value(key.clone(), value.clone()));
        }
        let mut keys = batch.then.iter().map(Write::key);
        let key = keys.find(|key| is_guarded(batch, key))?;
        Some(MarkerWrite::Deleted(key.clone()))
    }

    fn key(&self) -> &String {
        match self {
            MarkerWrite::Value(key, _) | MarkerWrite::Deleted(key) => key,
        }
    }

    /// Returns the revision at which the write took effect, if it is still visible.
    fn find_revision(&self, found: &[KeyValue], revision: Revision) -> Option<Revision> {
        let pair = found.iter().find(|it| it.key == *self.key());
        match (self, pair) {
            (MarkerWrite::Value(_, value), Some(pair)) => {
                (pair.value == *value).then_some(pair.modified)
            }
            (MarkerWrite::Deleted(_), None) => Some(revision),
            _ => None,
        }
    }
}

fn put_value(write: &Write) -> Option<(&String, &Bytes)> {
    match write {
        Write::Put { key, value, .. } => Some((key, value)),
        Write::Delete(_) => None,
    }
}

fn is_guarded(batch: &WriteBatch, key: &String) -> bool {
    batch.when.iter().any(|it| guards(it, key))
}

/// Returns whether the batch compares a key that it writes. Once such a batch has taken
/// effect its comparison fails, so no copy that is still in flight can take effect
/// again.
fn is_repeatable(batch: &WriteBatch) -> bool {
    let mut keys = batch.then.iter().map(Write::key);
    keys.any(|key| is_guarded(batch, key))
}

/// Returns whether writing `key` makes this comparison fail from then on.
fn guards(comparison: &Comparison, key: &String) -> bool {
    match comparison {
        Comparison::Absent(guarded) | Comparison::ModifiedAt(guarded, _) => guarded == key,
        Comparison::Present(_) => false,
    }
}

/// The state machine of [`write_once`]: determines the outcome from the answers so far.
#[derive(Clone, Debug)]
pub struct WriteOnceState {
    marker: MarkerWrite,
    answer_lost: bool,
}

impl WriteOnceState {
    /// Prepares a batch: adds the key that identifies its write to the keys that are
    /// read back.
    ///
    /// # Errors
    ///
    /// Rejects a batch that could take effect twice.
    pub fn new(batch: &mut WriteBatch) -> Result<Self, StoreError> {
        let marker = MarkerWrite::of(batch).filter(|_| is_repeatable(batch));
        let Some(marker) = marker else {
            let reason = "the batch compares none of the keys that it writes, so it can't be repeated safely";
            return Err(StoreError::Rejected(reason.into()));
        };
        if !batch.read_back.contains(marker.key()) {
            batch.read_back.push(marker.key().clone());
        }
        Ok(WriteOnceState {
            marker,
            answer_lost: false,
        })
    }

    /// Processes the result of one attempt.
    pub fn on_result(&mut self, result: Result<TransactionAnswer, StoreError>) -> WriteOnceStep {
        match result {
            Ok(TransactionAnswer::Written(revision)) => {
                WriteOnceStep::Done(Ok(WriteOnceOutcome::Written(revision)))
            }
            Ok(TransactionAnswer::Refused { found, revision }) => {
                WriteOnceStep::Done(Ok(self.refused(found, revision)))
            }
            Err(StoreError::AnswerLost(_)) => {
                self.answer_lost = true;
                WriteOnceStep::Again
            }
            // This error must not be returned as it is: an earlier attempt may have
            // taken effect, and the caller would take "unreachable" for "not run".
            Err(_) if self.answer_lost => WriteOnceStep::Again,
            Err(error) => WriteOnceStep::Done(Err(error)),
        }
    }

    fn refused(&self, found: Vec<KeyValue>, revision: Revision) -> WriteOnceOutcome {
        if !self.answer_lost {
            return WriteOnceOutcome::Refused { found, revision };
        }
        match self.marker.find_revision(&found, revision) {
            Some(written) => WriteOnceOutcome::Written(written),
            None => WriteOnceOutcome::Superseded { found, revision },
        }
    }
}

/// Runs a transaction and, if its answer is lost, sends it again until an answer shows
/// whether it took effect.
///
/// Without this, a writer that lost an answer would either give up a write that is in
/// force, or repeat it and mistake its own first attempt for another writer's. The
/// batch must compare a key that it writes, so that it can't take effect twice, and the
/// value of that key must differ from any other writer's: include the writer's name and
/// a number that is unique to the write.
///
/// # Errors
///
/// [`StoreError::AnswerLost`] means that the outcome is still unknown after the last
/// attempt. After any other error the write never took effect.
pub async fn write_once<S: PlatformStore>(
    store: &S,
    mut batch: WriteBatch,
    policy: RetryPolicy,
) -> Result<WriteOnceOutcome, StoreError> {
    let mut state = WriteOnceState::new(&mut batch)?;
    let mut delays = policy.delays();
    loop {
        let result = store.transact(batch.clone()).await;
        let last_error = result.as_ref().err().map(ToString::to_string);
        if let WriteOnceStep::Done(result) = state.on_result(result) {
            return result;
        }
        let Some(delay) = delays.next() else {
            return Err(StoreError::AnswerLost(last_error.unwrap_or_default()));
        };
        tokio::time::sleep(delay).await;
    }
}
