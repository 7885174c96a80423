//! Retries of requests to the key-value store.

use std::time::Duration;

use comfreyramp_store::{
    KeyRange, KeyValue, PlatformStore, RangeAnswer, StoreError, TransactionAnswer, WriteBatch,
};

/// How often and after which delay a failed request to the store is retried.
#[derive(Clone, Copy, Debug)]
pub struct StoreRetryPolicy {
    /// The maximum number of attempts, the first one included.
    pub max_attempts: u32,
    /// The delay before the second attempt. It doubles with each further
    /// attempt.
    pub initial_delay: Duration,
}

impl Default for StoreRetryPolicy {
    fn default() -> Self {
        StoreRetryPolicy {
            max_attempts: 4,
            initial_delay: Duration::from_millis(50),
        }
    }
}

impl StoreRetryPolicy {
    /// Runs a transaction that is safe to repeat.
    ///
    /// After a lost answer the repetition may be rejected because the first
    /// attempt took effect. The caller has to recognize that from what
    /// `read_back` returned. If all attempts fail and one of them lost its
    /// answer, that error is returned, since the transaction may have taken
    /// effect whatever the later errors say.
    pub(crate) async fn transact<S: PlatformStore>(
        self,
        store: &S,
        batch: WriteBatch,
    ) -> Result<TransactionAnswer, StoreError> {
        let mut lost = None;
        let mut delay = self.initial_delay;
        for remaining in (0..self.max_attempts).rev() {
            let error = match store.transact(batch.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let repeat = is_transient(&error);
            if matches!(error, StoreError::AnswerLost(_)) {
                lost = Some(error);
            } else if remaining == 0 || !repeat {
                return Err(lost.unwrap_or(error));
            }
            if remaining > 0 {
                tokio::time::sleep(delay).await;
                delay *= 2;
            }
        }
        Err(lost.unwrap_or_else(|| StoreError::Unreachable("no attempt was made".to_owned())))
    }

    /// Reads a range of keys.
    pub(crate) async fn range<S: PlatformStore>(
        self,
        store: &S,
        range: KeyRange,
        limit: usize,
    ) -> Result<RangeAnswer, StoreError> {
        let mut delay = self.initial_delay;
        for _ in 1..self.max_attempts {
            match store.range(range.clone(), limit).await {
                Err(error) if is_transient(&error) => {}
                answer => return answer,
            }
            tokio::time::sleep(delay).await;
            delay *= 2;
        }
        store.range(range, limit).await
    }

    /// Reads one key.
    pub(crate) async fn read_key<S: PlatformStore>(
        self,
        store: &S,
        key: String,
    ) -> Result<Option<KeyValue>, StoreError> {
        let answer = self.range(store, KeyRange::One(key), 1).await?;
        Ok(answer.pairs.into_iter().next())
    }
}

fn is_transient(error: &StoreError) -> bool {
    matches!(
        error,
        StoreError::Unreachable(_) | StoreError::AnswerLost(_)
    )
}
