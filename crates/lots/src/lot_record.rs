//! The stored records of lots.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::{CompletionWindow, WallTime};

/// The number of items per word of a segment's bitmap.
const WORD_BITS: usize = 64;

/// The record of a lot. After its creation only the outcome is written, once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotRecord {
    /// The lot's id, `batch_…`. Newer ids sort first.
    pub id: String,
    /// The customer that owns the lot.
    pub customer: String,
    /// The digest by which a repeated request finds this lot.
    pub job: String,
    /// The id of the file with the items.
    pub file: String,
    /// The id under which the file's segments are stored.
    pub content: String,
    /// The API endpoint that all items are sent to.
    pub endpoint: String,
    /// The model that all items use.
    pub model: String,
    /// The time from creation until the lot is due.
    pub window: CompletionWindow,
    /// When the lot was created.
    pub created_at: WallTime,
    /// When the lot is due.
    pub due_at: WallTime,
    /// Key-value pairs that the caller attached to the lot.
    pub metadata: BTreeMap<String, String>,
    /// The number of items in each segment.
    pub segments: Vec<u16>,
    /// How the lot ended; absent while it is open.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<LotOutcome>,
}

impl LotRecord {
    /// Returns the number of items in the lot.
    pub fn items(&self) -> u32 {
        self.segments.iter().map(|&it| u32::from(it)).sum()
    }
}

/// The number of items by outcome. Once the lot has ended, the three add up to
/// all of its items.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotCounts {
    /// Items with a successful answer.
    pub completed: u32,
    /// Items with a recorded error.
    pub failed: u32,
    /// Items without a recorded result when the lot was cancelled.
    pub cancelled: u32,
}

/// The outcome of a lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotOutcome {
    /// When the lot ended.
    pub ended_at: WallTime,
    /// When the lot was cancelled, if it was.
    pub cancelled_at: Option<WallTime>,
    /// When the lot and its results are deleted.
    pub expires_at: WallTime,
    /// The number of items by outcome.
    pub counts: LotCounts,
    /// The number of result groups of each segment.
    pub groups: Vec<u16>,
    /// The length of the output file in bytes.
    pub output_bytes: u64,
    /// The length of the error file in bytes.
    pub error_bytes: u64,
}

/// The properties of an open lot that daemons need to run it. They are in the
/// index, so that no daemon has to read the lot's record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OpenMark {
    pub(crate) customer: String,
    pub(crate) model: String,
    pub(crate) endpoint: String,
    pub(crate) content: String,
    pub(crate) created_at: WallTime,
    pub(crate) due_at: WallTime,
    pub(crate) segments: Vec<u16>,
}

/// The index entry of a cancelled lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct CancelMark {
    pub(crate) at: WallTime,
}

/// The entry that maps a job to its lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct JobMark {
    pub(crate) lot: String,
    pub(crate) request: String,
    pub(crate) at: WallTime,
}

/// The progress of a segment. It is written in the same transaction as each
/// group of results, so that no result is counted or recorded twice.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentProgress {
    /// A bitmap of the items that have a recorded result.
    pub recorded: Vec<u64>,
    /// The number of result groups.
    pub groups: u16,
    /// The number of items with a successful answer.
    pub completed: u16,
    /// The number of items with an error.
    pub failed: u16,
    /// The bytes that this segment adds to the output file.
    pub output_bytes: u64,
    /// The bytes that this segment adds to the error file.
    pub error_bytes: u64,
    /// The items during whose run backend servers crashed, sorted, with the
    /// number of crashes. Stored here since the daemon that saw a crash may
    /// itself crash before the next attempt.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<(u16, u8)>,
}

impl SegmentProgress {
    /// Returns the number of items with a recorded result.
    pub fn count(&self) -> u16 {
        self.completed + self.failed
    }

    /// Returns whether this item has a recorded result.
    pub fn is_recorded(&self, item: usize) -> bool {
        let word = self.recorded.get(item / WORD_BITS).copied();
        word.unwrap_or_default() & (1 << (item % WORD_BITS)) != 0
    }

    /// Adds a result of the given size to the bitmap and the counts.
    pub(crate) fn record(&mut self, item: usize, answered: bool, bytes: usize) {
        let word = item / WORD_BITS;
        if self.recorded.len() <= word {
            self.recorded.resize(word + 1, 0);
        }
        self.recorded[word] |= 1 << (item % WORD_BITS);
        if answered {
            self.completed += 1;
            self.output_bytes += bytes as u64;
        } else {
            self.failed += 1;
            self.error_bytes += bytes as u64;
        }
    }

    /// Returns how many servers crashed while this item ran.
    pub(crate) fn crashes_of(&self, item: usize) -> u8 {
        let index = self.crashes.binary_search_by_key(&item, |it| it.0.into());
        index.map_or(0, |index| self.crashes[index].1)
    }

    /// Counts a server crash during the run of this item.
    pub(crate) fn note_crash(&mut self, item: usize) {
        match self.crashes.binary_search_by_key(&item, |it| it.0.into()) {
            Ok(index) => self.crashes[index].1 = self.crashes[index].1.saturating_add(1),
            Err(index) => self.crashes.insert(index, (item as u16, 1)),
        }
    }
}

/// One line of an output or error file, which is also the stored form of a
/// result.
#[derive(Debug, Serialize, Deserialize)]
pub struct RecordedResult {
    /// The id of the line.
    pub id: String,
    /// The caller's id of the item.
    pub custom_id: String,
    /// The answer, if the item got one.
    pub response: Option<ResultAnswer>,
    /// The reason why the item got no answer.
    pub error: Option<ResultError>,
}

impl RecordedResult {
    /// Returns whether the item was answered with a 2xx status. Its line then
    /// belongs in the output file, otherwise in the error file.
    pub fn is_answered(&self) -> bool {
        let status = self.response.as_ref().map(|it| it.status_code);
        status.is_some_and(|it| (200..300).contains(&it))
    }
}

/// The HTTP answer to an item.
#[derive(Debug, Serialize, Deserialize)]
pub struct ResultAnswer {
    /// The HTTP status.
    pub status_code: u16,
    /// The id of the request that got this answer.
    pub request_id: String,
    /// The body of the answer.
    pub body: Box<RawValue>,
}

/// The reason why an item has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultError {
    /// A stable identifier of the error, for use by programs.
    pub code: String,
    /// A description of the error.
    pub message: String,
}
