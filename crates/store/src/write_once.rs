//! Writes that are safe to repeat after a lost answer.

use bytes::Bytes;

use crate::{
    Comparison, KeyValue, PlatformStore, RetryPace, Revision, StoreError, TransactionAnswer, Write,
    WriteBatch,
};

/// What became of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OnceOutcome {
    /// It took effect, once, at this revision.
    Written(Revision),
    /// It certainly never took effect: a comparison failed.
    Refused {
        /// The pairs of the batch's `read_back` that exist.
        found: Vec<KeyValue>,
        /// The store's revision when it answered.
        revision: Revision,
    },
    /// It isn't in force now. An answer was lost, and the key has been written
    /// by somebody else, before our write or after it.
    Overtaken {
        /// The pairs of the batch's `read_back` that exist.
        found: Vec<KeyValue>,
        /// The store's revision when it answered.
        revision: Revision,
    },
}

/// What to do after an attempt.
#[derive(Debug)]
pub enum OnceStep {
    /// The write is decided.
    Done(Result<OnceOutcome, StoreError>),
    /// The same batch has to be sent again.
    Again,
}

/// The write by which a batch is recognised when it is read back.
#[derive(Clone, Debug, PartialEq, Eq)]
enum OwnWrite {
    /// The key holds this value.
    Value(String, Bytes),
    /// The key is gone.
    Gone(String),
}

impl OwnWrite {
    /// A written value if there is one, of a compared key if possible. Only
    /// when the batch does nothing but delete is a missing key a sign of it:
    /// somebody else's deletion looks the same.
    fn of(batch: &WriteBatch) -> Option<Self> {
        let mut puts = batch.then.iter().filter_map(put_value);
        let guarded_put = puts.clone().find(|(key, _)| is_guarded(batch, key));
        if let Some((key, value)) = guarded_put.or_else(|| puts.next()) {
            return Some(OwnWrite::Value(key.clone(), value.clone()));
        }
        let mut keys = batch.then.iter().map(Write::key);
        let key = keys.find(|key| is_guarded(batch, key))?;
        Some(OwnWrite::Gone(key.clone()))
    }

    fn key(&self) -> &String {
        match self {
            OwnWrite::Value(key, _) | OwnWrite::Gone(key) => key,
        }
    }

    /// The revision at which the write took effect, if it did and still shows.
    fn shows_in(&self, found: &[KeyValue], revision: Revision) -> Option<Revision> {
        let pair = found.iter().find(|it| it.key == *self.key());
        match (self, pair) {
            (OwnWrite::Value(_, value), Some(pair)) => {
                (pair.value == *value).then_some(pair.modified)
            }
            (OwnWrite::Gone(_), None) => Some(revision),
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

/// Whether the batch compares a key that it writes. Once such a batch has
/// taken effect its comparison fails, and no copy of it that is still under
/// way can take effect again.
fn is_repeatable(batch: &WriteBatch) -> bool {
    let mut keys = batch.then.iter().map(Write::key);
    keys.any(|key| is_guarded(batch, key))
}

/// Whether writing `key` makes this comparison fail from then on.
fn guards(comparison: &Comparison, key: &String) -> bool {
    match comparison {
        Comparison::Absent(guarded) | Comparison::ModifiedAt(guarded, _) => guarded == key,
        Comparison::Present(_) => false,
    }
}

/// The deciding part of [`write_once`]: what the answers so far add up to.
#[derive(Clone, Debug)]
pub struct OnceProgress {
    own: OwnWrite,
    answer_lost: bool,
}

impl OnceProgress {
    /// Prepares a batch: its own write is added to what is read back.
    /// Refuses a batch that could take effect twice.
    pub fn new(batch: &mut WriteBatch) -> Result<Self, StoreError> {
        let own = OwnWrite::of(batch).filter(|_| is_repeatable(batch));
        let Some(own) = own else {
            let reason = "the batch compares none of the keys it writes, so it can't be repeated";
            return Err(StoreError::Rejected(reason.into()));
        };
        if !batch.read_back.contains(own.key()) {
            batch.read_back.push(own.key().clone());
        }
        Ok(OnceProgress {
            own,
            answer_lost: false,
        })
    }

    /// Takes the result of one attempt.
    pub fn take(&mut self, result: Result<TransactionAnswer, StoreError>) -> OnceStep {
        match result {
            Ok(TransactionAnswer::Written(revision)) => {
                OnceStep::Done(Ok(OnceOutcome::Written(revision)))
            }
            Ok(TransactionAnswer::Refused { found, revision }) => {
                OnceStep::Done(Ok(self.refused(found, revision)))
            }
            Err(StoreError::AnswerLost(_)) => {
                self.answer_lost = true;
                OnceStep::Again
            }
            // Not to be reported as it is: an earlier attempt may have taken
            // effect, and the caller would take "unreachable" for "not run".
            Err(_) if self.answer_lost => OnceStep::Again,
            Err(error) => OnceStep::Done(Err(error)),
        }
    }

    fn refused(&self, found: Vec<KeyValue>, revision: Revision) -> OnceOutcome {
        if !self.answer_lost {
            return OnceOutcome::Refused { found, revision };
        }
        match self.own.shows_in(&found, revision) {
            Some(written) => OnceOutcome::Written(written),
            None => OnceOutcome::Overtaken { found, revision },
        }
    }
}

/// Runs a transaction and, when its answer is lost, sends it again until an
/// answer tells whether it took effect.
///
/// Without this a writer that lost an answer either gives up a write that is
/// in force, or repeats it and takes its own first attempt for somebody
/// else's. The batch must compare a key that it writes, so that it can't take
/// effect twice, and the value of that key must be unlike any other writer's:
/// put the writer's name and a number of its own into it.
///
/// [`StoreError::AnswerLost`] means that the write is still undecided after
/// the last attempt. Any other error means that it never took effect.
pub async fn write_once<S: PlatformStore>(
    store: &S,
    mut batch: WriteBatch,
    pace: RetryPace,
) -> Result<OnceOutcome, StoreError> {
    let mut progress = OnceProgress::new(&mut batch)?;
    let mut waits = pace.waits();
    loop {
        let result = store.transact(batch.clone()).await;
        let last_error = result.as_ref().err().map(ToString::to_string);
        if let OnceStep::Done(result) = progress.take(result) {
            return result;
        }
        let Some(wait) = waits.next() else {
            return Err(StoreError::AnswerLost(last_error.unwrap_or_default()));
        };
        tokio::time::sleep(wait).await;
    }
}
