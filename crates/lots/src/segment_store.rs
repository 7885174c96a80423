//! Claiming segments and recording results under a claim.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyramp_store::{
    Comparison, KeyValue, PlatformStore, Revision, StoreError, TransactionAnswer, Write, WriteBatch,
};
use tokio::time::sleep;

use crate::{
    HeldLease, LotError, LotKeys, SegmentProgress, StoreRetryPolicy,
    codec::{damaged, from_json, pack, to_json, unpack},
};

/// The delay between attempts to record results while the lease is valid.
const RECORD_RETRY_DELAY: Duration = Duration::from_millis(500);

/// A claim of this daemon on a segment.
#[derive(Clone, Debug)]
pub(crate) struct SegmentClaim {
    pub(crate) lot: Arc<str>,
    pub(crate) segment: usize,
    pub(crate) lease: HeldLease,
    /// The revision at which the claim was written. A later owner's claim has
    /// another revision, so this is the fencing number of all writes under the
    /// claim.
    pub(crate) revision: Revision,
}

/// A claimed segment with its items and progress.
#[derive(Debug)]
pub(crate) struct LoadedSegment {
    pub(crate) claim: SegmentClaim,
    pub(crate) progress: SegmentProgress,
    pub(crate) progress_at: Option<Revision>,
    pub(crate) raw: Bytes,
}

/// A group of results to record, with the progress that includes them.
#[derive(Clone, Debug)]
pub(crate) struct GroupWrite {
    pub(crate) lines: Vec<u8>,
    pub(crate) progress: SegmentProgress,
    pub(crate) progress_at: Option<Revision>,
    pub(crate) is_last: bool,
}

/// The outcome of an attempt to record results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordAnswer {
    /// Recorded at this revision.
    Written(Revision),
    /// Rejected: the claim is lost or the lot is cancelled.
    Fenced,
}

/// The store operations of a segment's owner.
#[derive(Clone, Debug)]
pub(crate) struct SegmentStore<S> {
    pub(crate) store: S,
    pub(crate) retry: StoreRetryPolicy,
}

impl<S: PlatformStore> SegmentStore<S> {
    /// Claims a segment for `owner`. Returns `None` if it is already claimed or
    /// its lot isn't open any more.
    pub(crate) async fn claim(
        &self,
        lot: Arc<str>,
        segment: usize,
        owner: &str,
        lease: HeldLease,
    ) -> Result<Option<SegmentClaim>, StoreError> {
        let key = LotKeys.claim(&lot, segment);
        // The lease id distinguishes this claim from one of an earlier
        // incarnation of the same daemon.
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

    /// Reads the items and the progress of a claimed segment.
    pub(crate) async fn load(
        &self,
        claim: SegmentClaim,
        content: &str,
    ) -> Result<LoadedSegment, LotError> {
        let progress_key = LotKeys.progress(&claim.lot, claim.segment);
        let input_key = LotKeys.input(content, claim.segment);
        let pair = self.retry.read_key(&self.store, progress_key).await?;
        let progress_at = pair.as_ref().map(|it| it.modified);
        let progress = match &pair {
            Some(pair) => from_json(pair)?,
            None => SegmentProgress::default(),
        };
        let input = self.retry.read_key(&self.store, input_key.clone()).await?;
        let input = input.ok_or_else(|| damaged(&input_key, "the value is missing"))?;
        Ok(LoadedSegment {
            claim,
            progress,
            progress_at,
            raw: unpack(&input)?.into(),
        })
    }

    /// Records a group of results and retries until the lease expires.
    ///
    /// A lost answer is handled by repeating the write: if the first attempt
    /// took effect, the progress read back equals the one just written. It may
    /// also be equal because a later owner recorded the same items. Then that
    /// owner's results stand, and all further writes under this claim are
    /// rejected.
    pub(crate) async fn record(&self, claim: &SegmentClaim, write: &GroupWrite) -> RecordAnswer {
        let batch = record_batch(claim, write);
        loop {
            let answer = tokio::select! {
                answer = self.store.transact(batch.clone()) => answer,
                () = claim.lease.expired.cancelled() => return RecordAnswer::Fenced,
            };
            match answer {
                Ok(TransactionAnswer::Written(revision)) => {
                    return RecordAnswer::Written(revision);
                }
                Ok(TransactionAnswer::Refused { found, .. }) => {
                    return check_read_back(&found, write);
                }
                Err(error) => {
                    log::warn!(
                        "lots: recording results of lot {} failed and is retried: {error}",
                        claim.lot
                    );
                    sleep(RECORD_RETRY_DELAY).await;
                }
            }
        }
    }

    /// Releases a claim. If this fails, the claim expires with the lease.
    pub(crate) async fn release(&self, claim: &SegmentClaim) {
        let key = LotKeys.claim(&claim.lot, claim.segment);
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), claim.revision)],
            then: vec![Write::Delete(key)],
            read_back: Vec::new(),
        };
        if let Err(error) = self.retry.transact(&self.store, batch).await {
            log::warn!(
                "lots: a claim on lot {} wasn't released and will expire: {error}",
                claim.lot
            );
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

fn check_read_back(found: &[KeyValue], write: &GroupWrite) -> RecordAnswer {
    let written = to_json(&write.progress);
    match found.first().filter(|it| it.value == written) {
        Some(pair) => RecordAnswer::Written(pair.modified),
        None => RecordAnswer::Fenced,
    }
}
