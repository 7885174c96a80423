//! Creation, lookup, listing and cancellation of customers' lots.

use std::collections::BTreeMap;

use bytes::Bytes;
use comfreyramp_store::{
    Comparison, KeyRange, KeyValue, PlatformStore, Revision, TransactionAnswer, Write, WriteBatch,
};

use crate::{
    BatchObject, CompletionWindow, FileRecord, FileStore, LotCounts, LotError, LotKeys, LotRecord,
    RetentionPolicy, SegmentProgress, StoreRetryPolicy, SystemClock, WallClock, WallTime,
    codec::{digest, from_json, new_id, to_json},
    file_store::{check_id, page_range},
    lot_record::{CancelMark, JobMark, OpenMark},
};

/// The prefix of all lot ids.
const LOT_PREFIX: &str = "batch_";
/// The maximum number of metadata pairs, and the maximum size of a key and of a
/// value in bytes.
const MAX_METADATA: usize = 16;
const MAX_METADATA_KEY: usize = 64;
const MAX_METADATA_VALUE: usize = 512;
/// How often an operation is attempted that conflicts with a concurrent change,
/// such as a lot that ends between two reads.
const MAX_RACE_ATTEMPTS: usize = 3;

/// A caller's request to create a lot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewLot {
    /// The id of the uploaded file with the items.
    pub input_file_id: String,
    /// The API endpoint, which must be that of the file's items.
    pub endpoint: String,
    /// The time the lot may take.
    pub completion_window: CompletionWindow,
    /// Key-value pairs that the caller attaches to the lot.
    pub metadata: BTreeMap<String, String>,
    /// The caller's idempotency key.
    pub job_key: Option<String>,
}

/// One page of a listing of lots.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LotPage {
    /// The lots of this page, newest first.
    pub lots: Vec<BatchObject>,
    /// Whether more lots follow this page.
    pub has_more: bool,
}

/// The state of an open lot according to its index keys.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct IndexState {
    pub(crate) is_open: bool,
    pub(crate) cancelled_at: Option<WallTime>,
    pub(crate) claims: usize,
    pub(crate) progress: Vec<(usize, SegmentProgress)>,
    pub(crate) keys: Vec<String>,
}

impl IndexState {
    pub(crate) fn read(pairs: &[KeyValue]) -> Result<Self, LotError> {
        let mut state = IndexState::default();
        for pair in pairs {
            state.keys.push(pair.key.clone());
            let mut parts = pair.key.rsplit('/');
            let last = parts.next().unwrap_or_default();
            match (last, parts.next().unwrap_or_default()) {
                ("open", _) => state.is_open = true,
                ("cancel", _) => state.cancelled_at = Some(from_json::<CancelMark>(pair)?.at),
                (_, "claim") => state.claims += 1,
                (segment, "progress") => {
                    let segment = segment.parse().unwrap_or_default();
                    state.progress.push((segment, from_json(pair)?));
                }
                _ => {}
            }
        }
        Ok(state)
    }

    /// Returns how many items have ended so far. Cancelled items are counted
    /// only when the lot ends.
    pub(crate) fn counts(&self) -> LotCounts {
        let mut counts = LotCounts::default();
        for (_, progress) in &self.progress {
            counts.completed += u32::from(progress.completed);
            counts.failed += u32::from(progress.failed);
        }
        counts
    }
}

/// Access to customers' lots from any daemon.
#[derive(Clone, Debug)]
pub struct LotStore<S, C = SystemClock> {
    pub(crate) store: S,
    pub(crate) clock: C,
    /// How requests to the key-value store are retried.
    pub retry: StoreRetryPolicy,
    /// How long files and lots are kept.
    pub retention: RetentionPolicy,
}

impl<S: PlatformStore, C: WallClock> LotStore<S, C> {
    /// Creates a lot store on top of a key-value store.
    pub fn new(store: S, clock: C) -> Self {
        LotStore {
            store,
            clock,
            retry: StoreRetryPolicy::default(),
            retention: RetentionPolicy::default(),
        }
    }

    /// Returns the store of the files that the lots read and write.
    pub fn files(&self) -> FileStore<S, C> {
        FileStore {
            store: self.store.clone(),
            clock: self.clock.clone(),
            retry: self.retry,
            retention: self.retention,
        }
    }

    /// Creates a lot, or returns the one that an earlier identical request
    /// created.
    ///
    /// When this returns without an error, the lot is stored completely: a
    /// single transaction writes its record, its index entry, its job entry and
    /// its reference to the file's segments, which were stored before. A failed
    /// transaction leaves nothing behind.
    pub async fn create(&self, customer: &str, new: &NewLot) -> Result<BatchObject, LotError> {
        let file = self.files().get(customer, &new.input_file_id).await?;
        validate_new_lot(new, &file)?;
        let request = request_digest(new);
        let job = match &new.job_key {
            Some(key) => digest(&[b"key", key.as_bytes()]),
            None => digest(&[b"request", request.as_bytes()]),
        };
        let mut replaced = None;
        for _ in 0..MAX_RACE_ATTEMPTS {
            let record = self.new_record(customer, new, &file, &job);
            let batch = self.creation_batch(&record, &request, replaced);
            let answer = self.retry.transact(&self.store, batch).await?;
            let TransactionAnswer::Refused { found, .. } = answer else {
                return Ok(BatchObject::open(&record, &IndexState::default()));
            };
            let job_key = LotKeys.job(customer, &job);
            let Some(pair) = found.iter().find(|it| it.key == job_key) else {
                return Err(LotError::NotFound("file"));
            };
            let mark: JobMark = from_json(pair)?;
            match self.find_earlier(customer, new, &mark, &request).await? {
                Some(lot) => return Ok(lot),
                None => replaced = Some(pair.modified),
            }
        }
        Err(LotError::KeyReused)
    }

    /// Returns the lot of an earlier identical request, unless that request is
    /// too long ago or its lot has been deleted.
    async fn find_earlier(
        &self,
        customer: &str,
        new: &NewLot,
        mark: &JobMark,
        request: &str,
    ) -> Result<Option<BatchObject>, LotError> {
        if mark.request != request {
            return Err(LotError::KeyReused);
        }
        let until = mark.at + self.retention.repeat_window;
        if new.job_key.is_none() && until < self.clock.now() {
            return Ok(None);
        }
        match self.get(customer, &mark.lot).await {
            Err(LotError::NotFound(_)) => Ok(None),
            found => found.map(Some),
        }
    }

    fn new_record(&self, customer: &str, new: &NewLot, file: &FileRecord, job: &str) -> LotRecord {
        let now = self.clock.now();
        LotRecord {
            id: format!("{LOT_PREFIX}{}", new_id(now)),
            customer: customer.to_owned(),
            job: job.to_owned(),
            file: file.id.clone(),
            content: file.content.clone(),
            endpoint: new.endpoint.clone(),
            model: file.model.clone(),
            window: new.completion_window.clone(),
            created_at: now,
            due_at: now + new.completion_window.duration,
            metadata: new.metadata.clone(),
            segments: file.segments.clone(),
            outcome: None,
        }
    }

    fn creation_batch(
        &self,
        record: &LotRecord,
        request: &str,
        replaced: Option<Revision>,
    ) -> WriteBatch {
        let job_key = LotKeys.job(&record.customer, &record.job);
        let file_key = LotKeys.file(&record.customer, &record.file);
        let job_mark = JobMark {
            lot: record.id.clone(),
            request: request.to_owned(),
            at: record.created_at,
        };
        let open_mark = OpenMark {
            customer: record.customer.clone(),
            model: record.model.clone(),
            endpoint: record.endpoint.clone(),
            content: record.content.clone(),
            created_at: record.created_at,
            due_at: record.due_at,
            segments: record.segments.clone(),
        };
        let put = |key, value| Write::Put {
            key,
            value,
            lease: None,
        };
        let free = match replaced {
            Some(revision) => Comparison::ModifiedAt(job_key.clone(), revision),
            None => Comparison::Absent(job_key.clone()),
        };
        WriteBatch {
            when: vec![free, Comparison::Present(file_key)],
            then: vec![
                put(
                    LotKeys.record(&record.customer, &record.id),
                    to_json(record),
                ),
                put(LotKeys.open(&record.id), to_json(&open_mark)),
                put(job_key.clone(), to_json(&job_mark)),
                put(LotKeys.reader(&record.content, &record.id), Bytes::new()),
            ],
            read_back: vec![job_key],
        }
    }

    /// Returns a customer's lot.
    pub async fn get(&self, customer: &str, id: &str) -> Result<BatchObject, LotError> {
        for _ in 0..MAX_RACE_ATTEMPTS {
            let (record, _) = self.record(customer, id).await?;
            if let Some(lot) = self.describe(&record).await? {
                return Ok(lot);
            }
        }
        Err(LotError::NotFound("batch"))
    }

    /// Lists a customer's lots, newest first, starting after the id `after`.
    pub async fn list(
        &self,
        customer: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<LotPage, LotError> {
        if let Some(after) = after {
            check_id(after)?;
        }
        let range = page_range(&LotKeys.records(customer), after);
        let answer = self.retry.range(&self.store, range, limit).await?;
        let mut lots = Vec::new();
        for pair in &answer.pairs {
            let record: LotRecord = from_json(pair)?;
            lots.push(match self.describe(&record).await? {
                Some(lot) => lot,
                None => self.get(customer, &record.id).await?,
            });
        }
        Ok(LotPage {
            lots,
            has_more: answer.more,
        })
    }

    /// Cancels a lot. When this returns without an error, no further result of
    /// the lot is recorded. Running items are stopped within seconds, after
    /// which the lot's status is cancelled.
    pub async fn cancel(&self, customer: &str, id: &str) -> Result<BatchObject, LotError> {
        let (record, modified) = self.record(customer, id).await?;
        if record.outcome.is_some() {
            return self.get(customer, id).await;
        }
        let mark = CancelMark {
            at: self.clock.now(),
        };
        let batch = WriteBatch {
            when: vec![
                Comparison::ModifiedAt(LotKeys.record(customer, id), modified),
                Comparison::Present(LotKeys.open(id)),
                Comparison::Absent(LotKeys.cancel(id)),
            ],
            then: vec![Write::Put {
                key: LotKeys.cancel(id),
                value: to_json(&mark),
                lease: None,
            }],
            read_back: Vec::new(),
        };
        // A rejected transaction means that the lot was already cancelled or
        // has just ended. The status that the caller gets back says which.
        self.retry.transact(&self.store, batch).await?;
        self.get(customer, id).await
    }

    pub(crate) async fn record(
        &self,
        customer: &str,
        id: &str,
    ) -> Result<(LotRecord, Revision), LotError> {
        check_id(id)?;
        let key = LotKeys.record(customer, id);
        let pair = self.retry.read_key(&self.store, key).await?;
        let pair = pair.ok_or(LotError::NotFound("batch"))?;
        Ok((from_json(&pair)?, pair.modified))
    }

    pub(crate) async fn index_state(&self, id: &str) -> Result<IndexState, LotError> {
        let range = KeyRange::Prefix(LotKeys.index_of(id));
        let answer = self.retry.range(&self.store, range, 0).await?;
        IndexState::read(&answer.pairs)
    }

    /// Describes a lot for the API. Returns `None` if it ended between two
    /// reads.
    async fn describe(&self, record: &LotRecord) -> Result<Option<BatchObject>, LotError> {
        if let Some(outcome) = &record.outcome {
            return Ok(Some(BatchObject::ended(record, outcome)));
        }
        let state = self.index_state(&record.id).await?;
        Ok(state.is_open.then(|| BatchObject::open(record, &state)))
    }
}

fn validate_new_lot(new: &NewLot, file: &FileRecord) -> Result<(), LotError> {
    if file.segments.is_empty() {
        return Err(LotError::Invalid {
            param: "input_file_id",
            message: "this is an output file; specify an uploaded file".to_owned(),
        });
    }
    if new.endpoint != file.endpoint {
        return Err(LotError::Invalid {
            param: "endpoint",
            message: format!(
                "`{}` differs from the url `{}` of the file's items; they must be equal",
                new.endpoint, file.endpoint
            ),
        });
    }
    check_metadata(&new.metadata)
}

fn check_metadata(metadata: &BTreeMap<String, String>) -> Result<(), LotError> {
    let fits = |(key, value): (&String, &String)| {
        key.len() <= MAX_METADATA_KEY && value.len() <= MAX_METADATA_VALUE
    };
    if metadata.len() <= MAX_METADATA && metadata.iter().all(fits) {
        return Ok(());
    }
    Err(LotError::Invalid {
        param: "metadata",
        message: format!(
            "at most {MAX_METADATA} pairs with keys of {MAX_METADATA_KEY} \
             and values of {MAX_METADATA_VALUE} bytes are allowed"
        ),
    })
}

fn request_digest(new: &NewLot) -> String {
    digest(&[
        new.input_file_id.as_bytes(),
        new.endpoint.as_bytes(),
        new.completion_window.to_string().as_bytes(),
        &to_json(&new.metadata),
    ])
}

/// The id of a lot's output or error file, which contains the lot's id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct OutputId {
    pub(crate) lot: String,
    pub(crate) errors: bool,
}

impl OutputId {
    pub(crate) fn parse(id: &str) -> Option<Self> {
        let (rest, errors) = match id.strip_suffix("-output") {
            Some(rest) => (rest, false),
            None => (id.strip_suffix("-errors")?, true),
        };
        let lot = format!("{LOT_PREFIX}{}", rest.strip_prefix("file-")?);
        check_id(&lot).ok()?;
        Some(OutputId { lot, errors })
    }

    pub(crate) fn name(lot: &str, errors: bool) -> String {
        let rest = lot.strip_prefix(LOT_PREFIX).unwrap_or(lot);
        let kind = if errors { "errors" } else { "output" };
        format!("file-{rest}-{kind}")
    }

    /// Returns the output file's metadata, or `None` if the lot hasn't ended.
    pub(crate) fn describe(&self, lot: &LotRecord) -> Option<FileRecord> {
        let outcome = lot.outcome.as_ref()?;
        let bytes = match self.errors {
            true => outcome.error_bytes,
            false => outcome.output_bytes,
        };
        let id = OutputId::name(&lot.id, self.errors);
        Some(FileRecord {
            filename: format!("{id}.jsonl"),
            id,
            customer: lot.customer.clone(),
            bytes,
            created_at: outcome.ended_at,
            expires_at: outcome.expires_at,
            content: String::new(),
            segments: Vec::new(),
            endpoint: lot.endpoint.clone(),
            model: lot.model.clone(),
        })
    }
}
