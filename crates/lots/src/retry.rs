//! Repeating calls to the platform.

use std::time::Duration;

use comfreyramp_store::{
    KeyRange, KeyValue, PlatformStore, RangeAnswer, StoreError, TransactionAnswer, WriteBatch,
};

/// How often and how patiently a caller's operation asks the platform.
#[derive(Clone, Copy, Debug)]
pub struct RetryPlan {
    /// How often a call is made at most.
    pub tries: u32,
    /// The pause before the second try; it doubles from then on.
    pub pause: Duration,
}

impl Default for RetryPlan {
    fn default() -> Self {
        RetryPlan {
            tries: 4,
            pause: Duration::from_millis(50),
        }
    }
}

impl RetryPlan {
    /// Runs a transaction that is safe to repeat.
    ///
    /// After a lost answer the repetition may be refused by the first try's own
    /// effect: the caller has to tell that from what `read_back` found. When
    /// every try failed, a lost answer among them is reported as such, since a
    /// later "unreachable" doesn't undo it.
    pub(crate) async fn transact<S: PlatformStore>(
        self,
        store: &S,
        batch: WriteBatch,
    ) -> Result<TransactionAnswer, StoreError> {
        let mut lost = None;
        let mut pause = self.pause;
        for left in (0..self.tries).rev() {
            let error = match store.transact(batch.clone()).await {
                Ok(answer) => return Ok(answer),
                Err(error) => error,
            };
            let repeat = is_transient(&error);
            if matches!(error, StoreError::AnswerLost(_)) {
                lost = Some(error);
            } else if left == 0 || !repeat {
                return Err(lost.unwrap_or(error));
            }
            if left > 0 {
                tokio::time::sleep(pause).await;
                pause *= 2;
            }
        }
        Err(lost.unwrap_or_else(|| StoreError::Unreachable("no try was made".to_owned())))
    }

    /// Reads a range.
    pub(crate) async fn range<S: PlatformStore>(
        self,
        store: &S,
        range: KeyRange,
        limit: usize,
    ) -> Result<RangeAnswer, StoreError> {
        let mut pause = self.pause;
        for _ in 1..self.tries {
            match store.range(range.clone(), limit).await {
                Err(error) if is_transient(&error) => {}
                answer => return answer,
            }
            tokio::time::sleep(pause).await;
            pause *= 2;
        }
        store.range(range, limit).await
    }

    /// Reads one key.
    pub(crate) async fn one<S: PlatformStore>(
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
