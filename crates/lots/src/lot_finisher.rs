//! Finishing lots: writing the outcome and removing the lot from the index.

use std::collections::BTreeMap;

use comfreyramp_store::{Comparison, PlatformStore, TransactionAnswer, Write, WriteBatch};

use crate::{
    LotCounts, LotError, LotKeys, LotOutcome, LotRecord, LotStore, SegmentProgress, WallClock,
    codec::to_json, file_store::MAX_DELETE_BATCH, keys::key_part, lot_store::IndexState,
};

impl<S: PlatformStore, C: WallClock> LotStore<S, C> {
    /// Writes a lot's outcome and removes the lot from the index, if it has
    /// ended. Returns whether the lot is finished. Any daemon may call this at
    /// any time and repeatedly.
    ///
    /// The outcome is written in one transaction, on condition that the record
    /// has none yet. The index keys are deleted in it or after it, the open
    /// mark last. If the daemon crashes in between, another daemon still sees
    /// the lot as open and finishes the work.
    pub(crate) async fn finish(&self, customer: &str, id: &str) -> Result<bool, LotError> {
        let (mut record, modified) = self.record(customer, id).await?;
        let state = self.index_state(id).await?;
        if !state.is_open {
            return Ok(true);
        }
        if record.outcome.is_some() {
            self.clear_index(id, state.keys).await?;
            return Ok(true);
        }
        let Some(outcome) = self.outcome(&record, &state) else {
            return Ok(false);
        };
        let is_cancelled = outcome.cancelled_at.is_some();
        let expires_at = outcome.expires_at;
        record.outcome = Some(outcome);
        let key = LotKeys.record(customer, id);
        let mut when = vec![Comparison::ModifiedAt(key.clone(), modified)];
        if !is_cancelled {
            when.push(Comparison::Absent(LotKeys.cancel(id)));
        }
        let rest = format!("{}/{id}", key_part(customer));
        let put = |key, value| Write::Put {
            key,
            value,
            lease: None,
        };
        let mut then = vec![
            put(key, to_json(&record)),
            put(
                LotKeys.expiry(expires_at, "lot", &rest),
                customer.to_owned().into(),
            ),
            Write::Delete(LotKeys.reader(&record.content, id)),
        ];
        let fits = state.keys.len() <= MAX_DELETE_BATCH;
        if fits {
            then.extend(state.keys.iter().cloned().map(Write::Delete));
        }
        let batch = WriteBatch {
            when,
            then,
            read_back: Vec::new(),
        };
        let answer = self.retry.transact(&self.store, batch).await?;
        let TransactionAnswer::Written(_) = answer else {
            return Ok(false);
        };
        if !fits {
            self.clear_index(id, state.keys).await?;
        }
        log::info!("lots: lot {id} of customer {customer} ended");
        Ok(true)
    }

    /// Returns the lot's outcome, or `None` if it hasn't ended.
    fn outcome(&self, record: &LotRecord, state: &IndexState) -> Option<LotOutcome> {
        let mut counts = state.counts();
        let recorded = counts.completed + counts.failed;
        let all_recorded = recorded == record.items();
        let may_end = match state.cancelled_at {
            Some(_) => state.claims == 0,
            None => all_recorded,
        };
        if !may_end {
            return None;
        }
        counts.cancelled = record.items() - recorded;
        let ended_at = self.clock.now();
        let progress: BTreeMap<usize, &SegmentProgress> =
            state.progress.iter().map(|it| (it.0, &it.1)).collect();
        let groups = (0..record.segments.len())
            .map(|it| progress.get(&it).map_or(0, |it| it.groups))
            .collect();
        Some(LotOutcome {
            ended_at,
            cancelled_at: state.cancelled_at,
            expires_at: ended_at + self.retention.lots,
            counts,
            groups,
            output_bytes: progress.values().map(|it| it.output_bytes).sum(),
            error_bytes: progress.values().map(|it| it.error_bytes).sum(),
        })
    }

    async fn clear_index(&self, id: &str, mut keys: Vec<String>) -> Result<(), LotError> {
        let open = LotKeys.open(id);
        keys.retain(|it| *it != open);
        keys.push(open);
        self.files().delete_keys(keys).await
    }
}

impl LotCounts {
    /// Returns the number of all items that have ended.
    pub fn total(&self) -> u32 {
        self.completed + self.failed + self.cancelled
    }
}
