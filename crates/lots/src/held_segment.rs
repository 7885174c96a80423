//! A segment that this daemon has claimed, with the state of its items.

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

/// The maximum size of one result in bytes. A larger one is recorded as an
/// error.
const MAX_RESULT_BYTES: usize = 640 << 10;
/// The maximum size of a group of results before compression, in bytes. It must
/// fit the store's limit of 1 MB per value even if it doesn't compress.
const MAX_GROUP_BYTES: usize = 900 << 10;

/// The state of an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ItemState {
    /// Ready to run from this time on.
    Waiting(Timestamp),
    /// Currently running.
    Running,
    /// A backend server crashed while the item ran. It becomes ready at this
    /// time, but only after the crash is recorded.
    Crashed(Timestamp),
    /// Has a result that isn't recorded yet.
    Ended,
    /// Has a recorded result.
    Recorded,
}

#[derive(Debug)]
pub(crate) struct HeldItem<R> {
    pub(crate) custom_id: String,
    pub(crate) body: Bytes,
    pub(crate) state: ItemState,
    pub(crate) attempts: ItemAttempts,
    pub(crate) resume: Option<R>,
}

/// A result that is still to be recorded.
#[derive(Clone, Debug)]
pub(crate) struct ItemResult {
    pub(crate) item: usize,
    pub(crate) is_answered: bool,
    pub(crate) line: Bytes,
}

/// What is recorded once the current write succeeds.
#[derive(Debug)]
struct PendingWrite {
    progress: SegmentProgress,
    results: Vec<ItemResult>,
    crashes: Vec<usize>,
    is_last: bool,
}

/// A segment that this daemon has claimed, with its items and the results that
/// are still to be recorded.
#[derive(Debug)]
pub(crate) struct HeldSegment<R> {
    pub(crate) key: u64,
    pub(crate) claim: SegmentClaim,
    pub(crate) mark: Arc<OpenMark>,
    pub(crate) customer: CustomerId,
    /// Stops all running items of the segment.
    pub(crate) stop: CancellationToken,
    pub(crate) items: Vec<HeldItem<R>>,
    pub(crate) running: usize,
    pub(crate) last_run: Timestamp,
    /// Whether the segment is about to be released: no more items are started.
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
            stop: loaded.claim.lease.expired.child_token(),
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

    /// Returns the id of an item, which is the same on every daemon.
    pub(crate) fn item_id(&self, item: usize) -> String {
        let lot = self.claim.lot.trim_start_matches("batch_");
        format!("batch_req_{lot}_{}_{item}", self.claim.segment)
    }

    /// Returns the first item that may run now. Suspects, during whose run a
    /// server crashed, are only considered with `allow_suspect`.
    pub(crate) fn ready_item(&self, allow_suspect: bool, now: Timestamp) -> Option<usize> {
        if self.is_closing {
            return None;
        }
        self.items.iter().position(|it| match it.state {
            ItemState::Waiting(from) => from <= now && (allow_suspect || it.attempts.crashes == 0),
            _ => false,
        })
    }

    /// Returns the earliest time at which a waiting item may run.
    pub(crate) fn next_ready_at(&self) -> Option<Timestamp> {
        let waits = self.items.iter().filter_map(|it| match it.state {
            ItemState::Waiting(from) => Some(from),
            _ => None,
        });
        waits.min().filter(|_| !self.is_closing)
    }

    /// Stores an item's result for recording. A second result of the same item
    /// is dropped.
    pub(crate) fn end_item(&mut self, item: usize, result: &RecordedResult, now: Timestamp) {
        let is_answered = result.is_answered();
        let mut line = to_json(result).to_vec();
        line.push(b'\n');
        if line.len() > MAX_RESULT_BYTES {
            let error = ResultError {
                code: "answer_too_large".to_owned(),
                message: format!("the answer is larger than {MAX_RESULT_BYTES} bytes"),
            };
            return self.fail_item(item, error, now);
        }
        self.add_result(
            ItemResult {
                item,
                is_answered,
                line: line.into(),
            },
            now,
        );
    }

    /// Ends an item with an error as its result.
    pub(crate) fn fail_item(&mut self, item: usize, error: ResultError, now: Timestamp) {
        let result = RecordedResult {
            id: self.item_id(item),
            custom_id: self.items[item].custom_id.clone(),
            response: None,
            error: Some(error),
        };
        self.end_item(item, &result, now);
    }

    /// Adds a result to the current group, unless the item already has one.
    pub(crate) fn add_result(&mut self, result: ItemResult, now: Timestamp) {
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

    /// Notes that a server crashed while an item ran. The item may run again
    /// only after the crash is recorded. Otherwise, if this daemon crashed in
    /// between, the next owner wouldn't know of it and the item could crash a
    /// third and fourth server.
    pub(crate) fn mark_crashed(&mut self, item: usize, retry_at: Timestamp) {
        self.items[item].state = ItemState::Crashed(retry_at);
        self.crashes.push(item);
    }

    /// Returns whether every item has a result.
    pub(crate) fn is_done(&self) -> bool {
        let mut states = self.items.iter().map(|it| it.state);
        states.all(|it| matches!(it, ItemState::Ended | ItemState::Recorded))
    }

    /// Returns whether nothing is left to write.
    pub(crate) fn is_written(&self) -> bool {
        self.group.is_empty() && self.crashes.is_empty() && self.pending.is_none()
    }

    /// Returns when the next write is due, or `None` if there is nothing to
    /// write.
    pub(crate) fn write_due(&self, grouping: &ResultGrouping) -> Option<Timestamp> {
        if self.pending.is_some() || (self.group.is_empty() && self.crashes.is_empty()) {
            return None;
        }
        if !self.crashes.is_empty() || self.is_closing || self.is_done() {
            return Some(Timestamp::ZERO);
        }
        Some(grouping.due(self.group_bytes, self.group_since))
    }

    /// Starts a write of the waiting results and crashes, as many as fit into
    /// one stored value.
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

    /// Finishes a successful write. Returns whether it completed the segment.
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

    /// Discards results that the store has rejected.
    pub(crate) fn discard_results(&mut self) {
        self.pending = None;
        self.crashes.clear();
        self.group.clear();
        self.group_bytes = 0;
    }

    pub(crate) fn recorded(&self) -> u16 {
        self.progress.count()
    }

    /// Returns the results that may not be recorded, so that they can be used
    /// if this daemon claims the segment again.
    pub(crate) fn into_unrecorded(self) -> Vec<ItemResult> {
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
            attempts: ItemAttempts {
                crashes: loaded.progress.crashes_of(index),
                ..ItemAttempts::default()
            },
            resume: None,
        });
    }
    Ok(items)
}
