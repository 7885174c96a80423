//! Responses for files and batches (lots) in the format of the OpenAI API.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::{
    FileRecord, LotCounts, LotOutcome, LotPage, LotRecord,
    lot_store::{IndexState, OutputId},
};

/// A file as the API returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileObject {
    /// The file's id.
    pub id: String,
    /// Always `file`.
    pub object: String,
    /// The length of the content in bytes.
    pub bytes: u64,
    /// When the file was created, in seconds since 1970.
    pub created_at: u64,
    /// When the file is deleted, in seconds since 1970.
    pub expires_at: u64,
    /// The name under which the caller uploaded the file.
    pub filename: String,
    /// `batch` for an upload, `batch_output` for the results of a lot.
    pub purpose: String,
    /// Always `processed`, since an invalid file is rejected and never stored.
    pub status: String,
}

impl From<&FileRecord> for FileObject {
    fn from(file: &FileRecord) -> Self {
        let is_output = file.segments.is_empty();
        FileObject {
            id: file.id.clone(),
            object: "file".to_owned(),
            bytes: file.bytes,
            created_at: file.created_at.as_secs(),
            expires_at: file.expires_at.as_secs(),
            filename: file.filename.clone(),
            purpose: if is_output { "batch_output" } else { "batch" }.to_owned(),
            status: "processed".to_owned(),
        }
    }
}

/// A page of files as the API returns it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FileList {
    /// Always `list`.
    pub object: String,
    /// The files of this page.
    pub data: Vec<FileObject>,
    /// The id of the first file on this page.
    pub first_id: Option<String>,
    /// The id of the last file on this page; pass it as `after` to get the next
    /// page.
    pub last_id: Option<String>,
    /// Whether more files follow this page.
    pub has_more: bool,
}

impl FileList {
    /// Creates a page of these files.
    pub fn new(files: &[FileRecord], has_more: bool) -> Self {
        FileList {
            object: "list".to_owned(),
            data: files.iter().map(FileObject::from).collect(),
            first_id: files.first().map(|it| it.id.clone()),
            last_id: files.last().map(|it| it.id.clone()),
            has_more,
        }
    }
}

/// The status of a lot.
///
/// There is no `expired` status: an accepted item is always finished, so a lot
/// that misses its due time continues until every item has a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BatchStatus {
    /// Its items are running or waiting to run.
    InProgress,
    /// All results are recorded, but the output files aren't available yet.
    Finalizing,
    /// All items have a result and the output files are available.
    Completed,
    /// Cancelled, but some items may still be running.
    Cancelling,
    /// Cancelled, and none of its items is running any more.
    Cancelled,
}

/// How many items of a lot there are, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestCounts {
    /// All items of the lot.
    pub total: u32,
    /// Items with a successful answer.
    pub completed: u32,
    /// Items with a recorded error.
    pub failed: u32,
    /// Items without a result because the lot was cancelled.
    #[serde(default)]
    pub cancelled: u32,
}

/// A lot as the API returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchObject {
    /// The lot's id.
    pub id: String,
    /// Always `batch`.
    pub object: String,
    /// The API endpoint that all items are sent to.
    pub endpoint: String,
    /// Always absent: a file with invalid lines is rejected at upload.
    pub errors: Option<()>,
    /// The id of the file with the items.
    pub input_file_id: String,
    /// The time the lot may take, as the caller wrote it.
    pub completion_window: String,
    /// The current status.
    pub status: BatchStatus,
    /// The id of the file with the answers, once the lot has ended.
    pub output_file_id: Option<String>,
    /// The id of the file with the errors, once the lot has ended and if any
    /// item failed.
    pub error_file_id: Option<String>,
    /// When the lot was created. All times are in seconds since 1970.
    pub created_at: u64,
    /// When the items became ready to run; always the time of creation.
    pub in_progress_at: Option<u64>,
    /// When the lot is due.
    pub expires_at: u64,
    /// When all results were recorded.
    pub finalizing_at: Option<u64>,
    /// When the lot was completed.
    pub completed_at: Option<u64>,
    /// Always absent: a lot never fails as a whole.
    pub failed_at: Option<u64>,
    /// Always absent: lots don't expire.
    pub expired_at: Option<u64>,
    /// When the cancellation was recorded.
    pub cancelling_at: Option<u64>,
    /// When the last item of the cancelled lot had stopped.
    pub cancelled_at: Option<u64>,
    /// How many items there are, by outcome.
    pub request_counts: RequestCounts,
    /// Key-value pairs that the caller attached to the lot.
    pub metadata: BTreeMap<String, String>,
}

impl BatchObject {
    pub(crate) fn open(lot: &LotRecord, state: &IndexState) -> Self {
        let counts = state.counts();
        let all_done = counts.completed + counts.failed == lot.items();
        let status = match (state.cancelled_at, all_done) {
            (Some(_), _) => BatchStatus::Cancelling,
            (None, true) => BatchStatus::Finalizing,
            (None, false) => BatchStatus::InProgress,
        };
        BatchObject {
            status,
            cancelling_at: state.cancelled_at.map(|it| it.as_secs()),
            request_counts: request_counts(lot, counts),
            ..BatchObject::base(lot)
        }
    }

    pub(crate) fn ended(lot: &LotRecord, outcome: &LotOutcome) -> Self {
        let ended = outcome.ended_at.as_secs();
        let is_cancelled = outcome.cancelled_at.is_some();
        let has_errors = outcome.counts.failed > 0;
        BatchObject {
            status: match is_cancelled {
                true => BatchStatus::Cancelled,
                false => BatchStatus::Completed,
            },
            output_file_id: Some(OutputId::name(&lot.id, false)),
            error_file_id: has_errors.then(|| OutputId::name(&lot.id, true)),
            finalizing_at: (!is_cancelled).then_some(ended),
            completed_at: (!is_cancelled).then_some(ended),
            cancelling_at: outcome.cancelled_at.map(|it| it.as_secs()),
            cancelled_at: is_cancelled.then_some(ended),
            request_counts: request_counts(lot, outcome.counts),
            ..BatchObject::base(lot)
        }
    }

    fn base(lot: &LotRecord) -> Self {
        BatchObject {
            id: lot.id.clone(),
            object: "batch".to_owned(),
            endpoint: lot.endpoint.clone(),
            errors: None,
            input_file_id: lot.file.clone(),
            completion_window: lot.window.to_string(),
            status: BatchStatus::InProgress,
            output_file_id: None,
            error_file_id: None,
            created_at: lot.created_at.as_secs(),
            in_progress_at: Some(lot.created_at.as_secs()),
            expires_at: lot.due_at.as_secs(),
            finalizing_at: None,
            completed_at: None,
            failed_at: None,
            expired_at: None,
            cancelling_at: None,
            cancelled_at: None,
            request_counts: RequestCounts::default(),
            metadata: lot.metadata.clone(),
        }
    }
}

fn request_counts(lot: &LotRecord, counts: LotCounts) -> RequestCounts {
    RequestCounts {
        total: lot.items(),
        completed: counts.completed,
        failed: counts.failed,
        cancelled: counts.cancelled,
    }
}

/// A page of lots as the API returns it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchList {
    /// Always `list`.
    pub object: String,
    /// The lots of this page, newest first.
    pub data: Vec<BatchObject>,
    /// The id of the first lot on this page.
    pub first_id: Option<String>,
    /// The id of the last lot on this page; pass it as `after` to get the next
    /// page.
    pub last_id: Option<String>,
    /// Whether more lots follow this page.
    pub has_more: bool,
}

impl From<LotPage> for BatchList {
    fn from(page: LotPage) -> Self {
        BatchList {
            object: "list".to_owned(),
            first_id: page.lots.first().map(|it| it.id.clone()),
            last_id: page.lots.last().map(|it| it.id.clone()),
            has_more: page.has_more,
            data: page.lots,
        }
    }
}
