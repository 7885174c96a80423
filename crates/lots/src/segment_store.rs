//! Claiming a segment, and recording its results under the claim.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyramp_store::{
    Comparison, KeyValue, PlatformStore, Revision, StoreError, TransactionAnswer, Write, WriteBatch,
};
use tokio::time::sleep;

use crate::{
    HeldLease, LotError, LotKeys, RetryPlan, SegmentProgress,
    codec::{damaged, from_json, pack, to_json, unpack},
};

/// The pause between tries to record, while the lease holds.
const RECORD_PAUSE: Duration = Duration::from_millis(500);

/// A segment that this daemon owns.
#[derive(Clone, Debug)]
pub(crate) struct SegmentClaim {
    pub(crate) lot: Arc<str>,
    pub(crate) segment: usize,
    pub(crate) lease: HeldLease,
    /// When the claim was written. A later owner's claim has another revision,
    /// which makes this the fencing number of all writes under the claim.
    pub(crate) revision: Revision,
}

/// A claimed segment with what it holds.
#[derive(Debug)]
pub(crate) struct LoadedSegment {
    pub(crate) claim: SegmentClaim,
    pub(crate) progress: SegmentProgress,
    pub(crate) progress_at: Option<Revision>,
    pub(crate) raw: Bytes,
}

/// Results to record, with the progress that counts them in.
#[derive(Clone, Debug)]
pub(crate) struct GroupWrite {
    pub(crate) lines: Vec<u8>,
    pub(crate) progress: SegmentProgress,
    pub(crate) progress_at: Option<Revision>,
    pub(crate) is_last: bool,
}

/// How a try to record ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordAnswer {
    /// Recorded at this revision.
    Written(Revision),
    /// Refused: the claim is lost or the lot cancelled.
    Fenced,
}

/// The platform as owners of segments use it.
#[derive(Clone, Debug)]
pub(crate) struct SegmentStore<S> {
    pub(crate) store: S,
    pub(crate) retry: RetryPlan,
}

impl<S: PlatformStore> SegmentStore<S> {
    /// Claims a segment for `owner`, or returns nothing if it isn't to be had.
    pub(crate) async fn claim(
        &self,
        lot: Arc<str>,
        segment: usize,
        owner: &str,
        lease: HeldLease,
    ) -> Result<Option<SegmentClaim>, StoreError> {
        let key = LotKeys.claim(&lot, segment);
        // The lease's id tells this claim from one of an earlier life of the
        // same daemon.
        let value = Bytes::from(format!("{owner} {}", lease.id.0));
        let batch = WriteBatch {
            when: vec![
                Comparison::Absent(key.clone()),
                Comparison::Present(LotKeys.open(&lot)),
                Comparison::Absent(LotKeys.cancel(&lot)),
            ],
            then: vec![Write::Put {
                key: key.clone(),
                value: value.clone(),
                lease: Some(lease.id),
            }],
            read_back: vec![key],
        };
        let revision = match self.retry.transact(&self.store, batch).await? {
            TransactionAnswer::Written(revision) => revision,
            TransactionAnswer::Refused { found, .. } => {
                let own = found.into_iter().find(|it| it.value == value);
                let Some(pair) = own else {
                    return Ok(None);
                };
                pair.modified
            }
        };
        Ok(Some(SegmentClaim {
            lot,
            segment,
            lease,
            revision,
        }))
    }

    /// Reads what a claimed segment holds.
    pub(crate) async fn load(
        &self,
        claim: SegmentClaim,
        content: &str,
    ) -> Result<LoadedSegment, LotError> {
        let progress_key = LotKeys.progress(&claim.lot, claim.segment);
        let input_key = LotKeys.input(content, claim.segment);
        let pair = self.retry.one(&self.store, progress_key).await?;
        let progress_at = pair.as_ref().map(|it| it.modified);
        let progress = match &pair {
            Some(pair) => from_json(pair)?,
            None => SegmentProgress::default(),
        };
        let input = self.retry.one(&self.store, input_key.clone()).await?;
        let input = input.ok_or_else(|| damaged(&input_key, "it is missing"))?;
        Ok(LoadedSegment {
            claim,
            progress,
            progress_at,
            raw: unpack(&input)?.into(),
        })
    }

    /// Records a group of results, and tries until the lease lapses.
    ///
    /// A lost answer is met by repeating: if the first try took effect, the
    /// progress read back is the one just written. Should it be equal because a
    /// later owner recorded the same items, then that owner's results stand, and
    /// any further write under this claim is refused.
    pub(crate) async fn record(&self, claim: &SegmentClaim, write: &GroupWrite) -> RecordAnswer {
        let batch = record_batch(claim, write);
        loop {
            let answer = tokio::select! {
                answer = self.store.transact(batch.clone()) => answer,
                () = claim.lease.lapsed.cancelled() => return RecordAnswer::Fenced,
            };
            match answer {
                Ok(TransactionAnswer::Written(revision)) => {
                    return RecordAnswer::Written(revision);
                }
                Ok(TransactionAnswer::Refused { found, .. }) => {
                    return read_back(&found, write);
                }
                Err(error) => {
                    log::warn!("lots: a group of {} waits: {error}", claim.lot);
                    sleep(RECORD_PAUSE).await;
                }
            }
        }
    }

    /// Gives a claim back. Should this fail, it lapses with the lease.
    pub(crate) async fn release(&self, claim: &SegmentClaim) {
        let key = LotKeys.claim(&claim.lot, claim.segment);
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), claim.revision)],
            then: vec![Write::Delete(key)],
            read_back: Vec::new(),
        };
        if let Err(error) = self.retry.transact(&self.store, batch).await {
            log::warn!("lots: a claim on {} lapses by itself: {error}", claim.lot);
        }
    }
}

fn record_batch(claim: &SegmentClaim, write: &GroupWrite) -> WriteBatch {
    let claim_key = LotKeys.claim(&claim.lot, claim.segment);
    let progress_key = LotKeys.progress(&claim.lot, claim.segment);
    let unchanged = match write.progress_at {
        Some(revision) => Comparison::ModifiedAt(progress_key.clone(), revision),
        None => Comparison::Absent(progress_key.clone()),
    };
    let mut when = vec![
        Comparison::ModifiedAt(claim_key.clone(), claim.revision),
        Comparison::Absent(LotKeys.cancel(&claim.lot)),
        unchanged,
    ];
    let put = |key, value| Write::Put {
        key,
        value,
        lease: None,
    };
    let mut then = vec![put(progress_key.clone(), to_json(&write.progress))];
    if !write.lines.is_empty() {
        let group = usize::from(write.progress.groups) - 1;
        let key = LotKeys.result(&claim.lot, claim.segment, group);
        when.push(Comparison::Absent(key.clone()));
        then.push(put(key, pack(&write.lines)));
    }
    if write.is_last {
        then.push(Write::Delete(claim_key));
    }
    WriteBatch {
        when,
        then,
        read_back: vec![progress_key],
    }
}

fn read_back(found: &[KeyValue], write: &GroupWrite) -> RecordAnswer {
    let written = to_json(&write.progress);
    match found.first().filter(|it| it.value == written) {
        Some(pair) => RecordAnswer::Written(pair.modified),
        None => RecordAnswer::Fenced,
    }
}
