//! Converts between the project's types and the gateway's JSON messages.

use std::time::Duration;

use bytes::Bytes;

use crate::{
    Comparison, KeyRange, KeyValue, LeaseId, RangeAnswer, StoreError, TransactionAnswer,
    WatchBatch, Write, WriteBatch,
    wire::{
        CompareMessage, CompareResult, CompareTarget, DeleteRangeRequest, EventKind, EventMessage,
        LeaseMessage, PairMessage, PutRequest, RangeRequest, RangeResponse, RequestStep,
        ResponseStep, TransactionRequest, TransactionResponse, WatchCreateRequest, WatchResponse,
    },
};

impl RangeRequest {
    /// Creates a read of at most `limit` pairs, or of all of them for 0.
    pub fn new(range: &KeyRange, limit: usize) -> Self {
        let (key, range_end) = range.bounds();
        let limit = i64::try_from(limit).unwrap_or(i64::MAX);
        RangeRequest {
            key,
            range_end,
            limit,
            keys_only: false,
        }
    }

    /// Creates a read of all keys without their values.
    pub fn keys_only(range: &KeyRange) -> Self {
        RangeRequest {
            keys_only: true,
            ..RangeRequest::new(range, 0)
        }
    }
}

impl WatchCreateRequest {
    /// Creates a watch that reports all writes from revision `from` on, and its
    /// progress while nothing is written.
    pub fn new(range: &KeyRange, from: i64) -> Self {
        let (key, range_end) = range.bounds();
        WatchCreateRequest {
            key,
            range_end,
            start_revision: from,
            progress_notify: true,
        }
    }
}

impl LeaseMessage {
    /// Creates a request for a lease. The platform counts whole seconds; rounding up
    /// keeps the lease at least as long as its holder assumes.
    pub fn grant(ttl: Duration) -> Self {
        let seconds = ttl.as_millis().div_ceil(1000).max(1);
        LeaseMessage {
            ttl: i64::try_from(seconds).unwrap_or(i64::MAX),
            ..LeaseMessage::default()
        }
    }

    /// Creates a request to renew or revoke `lease`.
    pub fn for_lease(lease: LeaseId) -> Self {
        LeaseMessage {
            id: lease.0,
            ..LeaseMessage::default()
        }
    }

    /// Returns the time that a renewed lease has left.
    pub fn time_left(&self) -> Result<Duration, StoreError> {
        match u64::try_from(self.ttl) {
            Ok(0) | Err(_) => Err(StoreError::LeaseLapsed),
            Ok(seconds) => Ok(Duration::from_secs(seconds)),
        }
    }
}

impl From<WriteBatch> for TransactionRequest {
    fn from(batch: WriteBatch) -> Self {
        TransactionRequest {
            compare: batch.when.into_iter().map(CompareMessage::from).collect(),
            success: batch.then.into_iter().map(RequestStep::from).collect(),
            failure: batch.read_back.into_iter().map(read_step).collect(),
        }
    }
}

impl From<Comparison> for CompareMessage {
    fn from(comparison: Comparison) -> Self {
        match comparison {
            Comparison::Absent(key) => compare_created(key, CompareResult::Equal),
            Comparison::Present(key) => compare_created(key, CompareResult::Greater),
            Comparison::ModifiedAt(key, revision) => CompareMessage {
                result: CompareResult::Equal,
                target: CompareTarget::Mod,
                key: key.into(),
                mod_revision: Some(revision),
                ..CompareMessage::default()
            },
        }
    }
}

/// Compares a key's creation revision with 0, which the platform reports for an absent
/// key.
fn compare_created(key: String, result: CompareResult) -> CompareMessage {
    CompareMessage {
        result,
        target: CompareTarget::Create,
        key: key.into(),
        create_revision: Some(0),
        ..CompareMessage::default()
    }
}

impl From<Write> for RequestStep {
    fn from(write: Write) -> Self {
        match write {
            Write::Put { key, value, lease } => RequestStep {
                request_put: Some(PutRequest {
                    key: key.into(),
                    value,
                    lease: lease.map_or(0, |it| it.0),
                }),
                ..RequestStep::default()
            },
            Write::Delete(key) => RequestStep {
                request_delete_range: Some(DeleteRangeRequest {
                    key: key.into(),
                    range_end: Bytes::new(),
                }),
                ..RequestStep::default()
            },
        }
    }
}

fn read_step(key: String) -> RequestStep {
    RequestStep {
        request_range: Some(RangeRequest::new(&KeyRange::One(key), 0)),
        ..RequestStep::default()
    }
}

impl TryFrom<PairMessage> for KeyValue {
    type Error = StoreError;

    fn try_from(pair: PairMessage) -> Result<Self, StoreError> {
        Ok(KeyValue {
            key: key_text(&pair.key)?,
            value: pair.value,
            modified: pair.mod_revision,
            created: pair.create_revision,
            version: pair.version,
        })
    }
}

/// Returns a key as text. The project only writes text keys, so any other key indicates
/// a wrong prefix.
fn key_text(key: &Bytes) -> Result<String, StoreError> {
    let text = String::from_utf8(key.to_vec());
    text.map_err(|_| StoreError::Rejected(format!("the key {key:?} is not UTF-8 text")))
}

fn pairs(messages: Vec<PairMessage>) -> Result<Vec<KeyValue>, StoreError> {
    messages.into_iter().map(KeyValue::try_from).collect()
}

impl TryFrom<RangeResponse> for RangeAnswer {
    type Error = StoreError;

    fn try_from(response: RangeResponse) -> Result<Self, StoreError> {
        Ok(RangeAnswer {
            pairs: pairs(response.kvs)?,
            revision: response.header.revision,
            more: response.more,
        })
    }
}

impl TryFrom<TransactionResponse> for TransactionAnswer {
    type Error = StoreError;

    fn try_from(response: TransactionResponse) -> Result<Self, StoreError> {
        let revision = response.header.revision;
        if response.succeeded {
            return Ok(TransactionAnswer::Written(revision));
        }
        let read = response.responses.into_iter().flat_map(step_pairs);
        let found = pairs(read.collect())?;
        Ok(TransactionAnswer::Refused { found, revision })
    }
}

fn step_pairs(step: ResponseStep) -> Vec<PairMessage> {
    step.response_range.map_or_else(Vec::new, |it| it.kvs)
}

impl TryFrom<WatchResponse> for WatchBatch {
    type Error = StoreError;

    /// Returns the reason as an error if the message ends the watch.
    fn try_from(response: WatchResponse) -> Result<Self, StoreError> {
        if response.compact_revision > 0 {
            return Err(StoreError::Compacted(response.compact_revision));
        }
        if response.canceled {
            let reason = format!("the watch was canceled: {}", response.cancel_reason);
            return Err(StoreError::Rejected(reason));
        }
        watch_batch(response.events, response.header.revision)
    }
}

/// Builds a batch from a watch message. A message without events reports progress, and
/// the revision in its header is the one that the watch has reached. In a message with
/// events the header may already be ahead of them, and resuming from there would skip
/// writes, so the last event's revision counts.
fn watch_batch(events: Vec<EventMessage>, head_revision: i64) -> Result<WatchBatch, StoreError> {
    let last = events.iter().map(|it| it.kv.mod_revision).max();
    let mut batch = WatchBatch {
        revision: last.unwrap_or(head_revision),
        last_change: last.unwrap_or_default(),
        ..WatchBatch::default()
    };
    for event in events {
        let key = key_text(&event.kv.key)?;
        batch.written.retain(|it| it.key != key);
        batch.deleted.retain(|it| *it != key);
        match event.kind {
            EventKind::Put => batch.written.push(event.kv.try_into()?),
            EventKind::Delete => batch.deleted.push(key),
        }
    }
    Ok(batch)
}
