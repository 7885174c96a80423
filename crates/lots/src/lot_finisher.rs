//! Ending lots.

use std::collections::BTreeMap;

use comfreyramp_store::{Comparison, PlatformStore, TransactionAnswer, Write, WriteBatch};

use crate::{
    LotCounts, LotError, LotKeys, LotOutcome, LotRecord, LotStore, SegmentProgress, WallClock,
    codec::to_json, file_store::DELETE_BATCH, keys::part, lot_store::IndexState,
};

impl<S: PlatformStore, C: WallClock> LotStore<S, C> {
    /// Writes a lot's outcome and takes it out of the index, if it has come to
    /// its end. Any daemon may do this at any time and as often as it likes.
    ///
    /// The outcome is written in one step, on condition that the record has
    /// none. The index keys go after it, the open mark last, so that a daemon
    /// lost in between leaves the lot where the next one finds it.
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
        let rest = format!("{}/{id}", part(customer));
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
        let fits = state.keys.len() <= DELETE_BATCH;
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
        log::info!("lots: {id} of {customer} ended");
        Ok(true)
    }

    /// How the lot ended, or nothing if it hasn't.
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
    /// All items that have ended.
    pub fn total(&self) -> u32 {
        self.completed + self.failed + self.cancelled
    }
}
