//! A segment while this daemon owns it.

use std::sync::Arc;

use bytes::Bytes;
use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{ItemAttempts, ResultGrouping},
};
use comfreyramp_store::Revision;
use tokio_util::sync::CancellationToken;

use crate::{
    LotError, RecordedResult, SegmentProgress,
    codec::{damaged, to_json},
    item_line::ItemLine,
    lot_record::{OpenMark, ResultError},
    segment_store::{GroupWrite, LoadedSegment, SegmentClaim},
};

/// The most bytes of one result; what is longer is recorded as an error.
const MAX_RESULT_BYTES: usize = 640 << 10;
/// The most bytes of a group before compression, so that it fits the
/// platform's 1 MB however badly it compresses.
const MAX_GROUP_BYTES: usize = 900 << 10;

/// Where an item stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ItemState {
    /// It may run from this moment on.
    Waiting(Timestamp),
    /// It runs.
    Running,
    /// A server crashed under it; it may run again once that is recorded.
    Crashed(Timestamp),
    /// It has its result, not yet recorded.
    Ended,
    /// Its result is recorded.
    Recorded,
}

#[derive(Debug)]
pub(crate) struct HeldItem<R> {
    pub(crate) custom_id: String,
    pub(crate) body: Bytes,
    pub(crate) state: ItemState,
    pub(crate) tries: ItemAttempts,
    pub(crate) resume: Option<R>,
}

/// A result that waits to be recorded.
#[derive(Clone, Debug)]
pub(crate) struct ItemResult {
    pub(crate) item: usize,
    pub(crate) is_answered: bool,
    pub(crate) line: Bytes,
}

/// What a write under way will have recorded.
#[derive(Debug)]
struct PendingWrite {
    progress: SegmentProgress,
    results: Vec<ItemResult>,
    crashes: Vec<usize>,
    is_last: bool,
}

/// A segment while this daemon owns it.
#[derive(Debug)]
pub(crate) struct HeldSegment<R> {
    pub(crate) key: u64,
    pub(crate) claim: SegmentClaim,
    pub(crate) mark: Arc<OpenMark>,
    pub(crate) customer: CustomerId,
    /// Stops all items of it.
    pub(crate) stop: CancellationToken,
    pub(crate) items: Vec<HeldItem<R>>,
    pub(crate) running: usize,
    pub(crate) last_run: Timestamp,
    /// Nothing of it is started any more.
    pub(crate) is_closing: bool,
    progress: SegmentProgress,
    progress_at: Option<Revision>,
    group: Vec<ItemResult>,
    group_bytes: usize,
    group_since: Timestamp,
    crashes: Vec<usize>,
    pending: Option<PendingWrite>,
}

impl<R> HeldSegment<R> {
    pub(crate) fn new(
        key: u64,
        loaded: LoadedSegment,
        mark: Arc<OpenMark>,
        customer: CustomerId,
        now: Timestamp,
    ) -> Result<Self, LotError> {
        let items = read_items(&loaded, now)?;
        Ok(HeldSegment {
            key,
            stop: loaded.claim.lease.lapsed.child_token(),
            claim: loaded.claim,
            mark,
            customer,
            items,
            running: 0,
            last_run: now,
            is_closing: false,
            progress: loaded.progress,
            progress_at: loaded.progress_at,
            group: Vec::new(),
            group_bytes: 0,
            group_since: now,
            crashes: Vec::new(),
            pending: None,
        })
    }

    /// The name of an item, the same whoever runs it.
    pub(crate) fn item_id(&self, item: usize) -> String {
        let lot = self.claim.lot.trim_start_matches("batch_");
        format!("batch_req_{lot}_{}_{item}", self.claim.segment)
    }

    /// The next item that may run.
    pub(crate) fn ready_item(&self, allow_suspect: bool, now: Timestamp) -> Option<usize> {
        if self.is_closing {
            return None;
        }
        self.items.iter().position(|it| match it.state {
            ItemState::Waiting(from) => from <= now && (allow_suspect || it.tries.crashes == 0),
            _ => false,
        })
    }

    /// When an item that waits may run.
    pub(crate) fn next_wait(&self) -> Option<Timestamp> {
        let waits = self.items.iter().filter_map(|it| match it.state {
            ItemState::Waiting(from) => Some(from),
            _ => None,
        });
        waits.min().filter(|_| !self.is_closing)
    }

    /// Takes an item's result in. A second one for the same item is dropped.
    pub(crate) fn end_item(&mut self, item: usize, result: &RecordedResult, now: Timestamp) {
        let is_answered = result.is_answered();
        let mut line = to_json(result).to_vec();
        line.push(b'\n');
        if line.len() > MAX_RESULT_BYTES {
            let error = ResultError {
                code: "answer_too_large".to_owned(),
                message: format!("the answer has more than {MAX_RESULT_BYTES} bytes"),
            };
            return self.fail_item(item, error, now);
        }
        self.take(
            ItemResult {
                item,
                is_answered,
                line: line.into(),
            },
            now,
        );
    }

    /// Ends an item with an error.
    pub(crate) fn fail_item(&mut self, item: usize, error: ResultError, now: Timestamp) {
        let result = RecordedResult {
            id: self.item_id(item),
            custom_id: self.items[item].custom_id.clone(),
            response: None,
            error: Some(error),
        };
        self.end_item(item, &result, now);
    }

    /// Takes a result in unless the item already has one.
    pub(crate) fn take(&mut self, result: ItemResult, now: Timestamp) {
        let Some(item) = self.items.get_mut(result.item) else {
            return;
        };
        if matches!(item.state, ItemState::Ended | ItemState::Recorded) {
            return;
        }
        item.state = ItemState::Ended;
        item.resume = None;
        item.body = Bytes::new();
        if self.group.is_empty() {
            self.group_since = now;
        }
        self.group_bytes += result.line.len();
        self.group.push(result);
    }

    /// Notes that a server crashed while an item ran. It runs again only after
    /// that is recorded: else a daemon lost in between would let it crash a
    /// third and fourth server.
    pub(crate) fn crash_item(&mut self, item: usize, retry_at: Timestamp) {
        self.items[item].state = ItemState::Crashed(retry_at);
        self.crashes.push(item);
    }

    /// Whether every item has its result.
    pub(crate) fn is_done(&self) -> bool {
        let mut states = self.items.iter().map(|it| it.state);
        states.all(|it| matches!(it, ItemState::Ended | ItemState::Recorded))
    }

    /// Whether there is nothing left to write.
    pub(crate) fn is_written(&self) -> bool {
        self.group.is_empty() && self.crashes.is_empty() && self.pending.is_none()
    }

    /// When the next write is due, if there is anything to write.
    pub(crate) fn write_due(&self, grouping: &ResultGrouping) -> Option<Timestamp> {
        if self.pending.is_some() || (self.group.is_empty() && self.crashes.is_empty()) {
            return None;
        }
        if !self.crashes.is_empty() || self.is_closing || self.is_done() {
            return Some(Timestamp::ZERO);
        }
        Some(grouping.due(self.group_bytes, self.group_since))
    }

    /// Begins a write of what waits, as much as fits one value.
    pub(crate) fn begin_write(&mut self) -> GroupWrite {
        let mut progress = self.progress.clone();
        let mut lines = Vec::with_capacity(self.group_bytes.min(MAX_GROUP_BYTES));
        let fits = |it: &ItemResult, len: usize| len == 0 || len + it.line.len() <= MAX_GROUP_BYTES;
        let mut taken = 0;
        while taken < self.group.len() && fits(&self.group[taken], lines.len()) {
            let result = &self.group[taken];
            lines.extend_from_slice(&result.line);
            progress.record(result.item, result.is_answered, result.line.len());
            taken += 1;
        }
        let results = self.group.drain(..taken).collect();
        self.group_bytes -= lines.len();
        if !lines.is_empty() {
            progress.groups += 1;
        }
        let crashes = std::mem::take(&mut self.crashes);
        for &item in &crashes {
            progress.note_crash(item);
        }
        let is_last = usize::from(progress.count()) == self.items.len();
        self.pending = Some(PendingWrite {
            progress: progress.clone(),
            results,
            crashes,
            is_last,
        });
        GroupWrite {
            lines,
            progress,
            progress_at: self.progress_at,
            is_last,
        }
    }

    /// Ends a write that took effect. Returns whether the segment is complete.
    pub(crate) fn end_write(&mut self, revision: Revision) -> bool {
        let Some(pending) = self.pending.take() else {
            return false;
        };
        self.progress = pending.progress;
        self.progress_at = Some(revision);
        for result in pending.results {
            self.items[result.item].state = ItemState::Recorded;
        }
        for item in pending.crashes {
            if let ItemState::Crashed(retry_at) = self.items[item].state {
                self.items[item].state = ItemState::Waiting(retry_at);
            }
        }
        pending.is_last
    }

    /// Drops what the platform refused.
    pub(crate) fn forget_results(&mut self) {
        self.pending = None;
        self.crashes.clear();
        self.group.clear();
        self.group_bytes = 0;
    }

    pub(crate) fn recorded(&self) -> u16 {
        self.progress.count()
    }

    /// The results that aren't known to be recorded, for a later claim on the
    /// segment.
    pub(crate) fn into_results(self) -> Vec<ItemResult> {
        let mut results = self.pending.map_or_else(Vec::new, |it| it.results);
        results.extend(self.group);
        results
    }
}

fn read_items<R>(loaded: &LoadedSegment, now: Timestamp) -> Result<Vec<HeldItem<R>>, LotError> {
    let lines = loaded.raw.split(|&it| it == b'\n');
    let lines = lines.map(<[u8]>::trim_ascii).filter(|it| !it.is_empty());
    let mut items = Vec::new();
    for (index, text) in lines.enumerate() {
        let line: ItemLine<'_> =
            serde_json::from_slice(text).map_err(|error| damaged(&loaded.claim.lot, error))?;
        let is_recorded = loaded.progress.is_recorded(index);
        let state = match is_recorded {
            true => ItemState::Recorded,
            false => ItemState::Waiting(now),
        };
        let body = match is_recorded {
            true => Bytes::new(),
            false => loaded.raw.slice_ref(line.body.get().as_bytes()),
        };
        items.push(HeldItem {
            custom_id: line.custom_id,
            body,
            state,
            tries: ItemAttempts {
                crashes: loaded.progress.crashes_of(index),
                ..ItemAttempts::default()
            },
            resume: None,
        });
    }
    Ok(items)
}
