//! Storage of customers' files.

use std::time::Duration;

use comfreyramp_store::{
    Comparison, KeyRange, PlatformStore, Revision, TransactionAnswer, Write, WriteBatch,
};

use crate::{
    ContentStream, FileRecord, FileUpload, LotError, LotKeys, LotRecord, StoreRetryPolicy,
    SystemClock, WallClock, WallTime,
    codec::{from_json, new_id, to_json},
    content_stream::LineFilter,
    keys::key_part,
    lot_store::OutputId,
};

/// The maximum number of deletions in one transaction. The store accepts at
/// most 128 operations per transaction.
pub(crate) const MAX_DELETE_BATCH: usize = 100;
/// Uploading the same file again extends its retention if that moves the expiry
/// by at least this much. More frequent repetitions cost no write.
const MIN_EXTENSION: Duration = Duration::from_secs(3600);

/// How long files, lots and related records are kept.
#[derive(Clone, Copy, Debug)]
pub struct RetentionPolicy {
    /// How long a file is kept after its upload.
    pub files: Duration,
    /// How long a lot and its results are kept after it ended.
    pub lots: Duration,
    /// How long the segments of an unfinished upload are kept.
    pub unfinished_upload: Duration,
    /// How long a request without an idempotency key counts as a repetition of
    /// an earlier identical request.
    pub repeat_window: Duration,
}

impl Default for RetentionPolicy {
    fn default() -> Self {
        const DAY: Duration = Duration::from_secs(86_400);
        RetentionPolicy {
            files: 7 * DAY,
            lots: 7 * DAY,
            unfinished_upload: DAY / 4,
            repeat_window: DAY,
        }
    }
}

/// Access to customers' files from any daemon.
#[derive(Clone, Debug)]
pub struct FileStore<S, C = SystemClock> {
    pub(crate) store: S,
    pub(crate) clock: C,
    /// How requests to the key-value store are retried.
    pub retry: StoreRetryPolicy,
    /// How long files and lots are kept.
    pub retention: RetentionPolicy,
}

impl<S: PlatformStore, C: WallClock> FileStore<S, C> {
    /// Creates a file store on top of a key-value store.
    pub fn new(store: S, clock: C) -> Self {
        FileStore {
            store,
            clock,
            retry: StoreRetryPolicy::default(),
            retention: RetentionPolicy::default(),
        }
    }

    /// Starts an upload of a file for a customer.
    pub fn upload(&self, customer: &str, filename: &str) -> FileUpload<S, C> {
        FileUpload::new(self.clone(), customer, filename)
    }

    /// Returns the metadata of a customer's file, which is either an upload or
    /// an output file of one of the customer's lots.
    pub async fn get(&self, customer: &str, id: &str) -> Result<FileRecord, LotError> {
        if let Some(output) = OutputId::parse(id) {
            let lot = self.finished_lot(customer, &output).await?;
            return output.describe(&lot).ok_or(LotError::NotFound("file"));
        }
        let pair = self.find_record(customer, id).await?;
        from_json(&pair)
    }

    /// Opens a stream of a file's content.
    pub async fn content(&self, customer: &str, id: &str) -> Result<ContentStream<S>, LotError> {
        let Some(output) = OutputId::parse(id) else {
            let file: FileRecord = from_json(&self.find_record(customer, id).await?)?;
            return Ok(ContentStream::of_file(
                self.store.clone(),
                self.retry,
                &file,
            ));
        };
        let lot = self.finished_lot(customer, &output).await?;
        let outcome = lot.outcome.ok_or(LotError::NotFound("file"))?;
        let filter = match output.errors {
            true => LineFilter::Failed,
            false => LineFilter::Answered,
        };
        let store = self.store.clone();
        Ok(ContentStream::of_lot(
            store, self.retry, &lot.id, &outcome, filter,
        ))
    }

    /// Lists a customer's uploads in the order of their ids, starting after the
    /// id `after`. Also returns whether more files follow.
    pub async fn list(
        &self,
        customer: &str,
        after: Option<&str>,
        limit: usize,
    ) -> Result<(Vec<FileRecord>, bool), LotError> {
        let range = page_range(&LotKeys.files(customer), after);
        let answer = self.retry.range(&self.store, range, limit).await?;
        let files: Result<Vec<FileRecord>, LotError> = answer.pairs.iter().map(from_json).collect();
        Ok((files?, answer.more))
    }

    /// Deletes a file. Open lots that use it aren't affected: its content is
    /// deleted once the last of them has ended. Output files can't be deleted,
    /// since they are kept as long as their lot.
    pub async fn delete(&self, customer: &str, id: &str) -> Result<(), LotError> {
        if OutputId::parse(id).is_some() {
            return Err(LotError::Invalid {
                param: "file_id",
                message: "an output file is deleted together with its batch".to_owned(),
            });
        }
        let pair = self.find_record(customer, id).await?;
        let file: FileRecord = from_json(&pair)?;
        self.delete_record(&file, pair.modified).await
    }

    /// Deletes the metadata and schedules the deletion of the content by the
    /// sweeper.
    pub(crate) async fn delete_record(
        &self,
        file: &FileRecord,
        modified: Revision,
    ) -> Result<(), LotError> {
        let key = LotKeys.file(&file.customer, &file.id);
        let now = self.clock.now();
        let put = Write::Put {
            key: LotKeys.expiry(now, "content", &file.content),
            value: file.segments.len().to_string().into(),
            lease: None,
        };
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), modified)],
            then: vec![Write::Delete(key), put],
            read_back: Vec::new(),
        };
        // A rejected transaction means that the record has changed or is gone.
        // If it is gone, either an earlier attempt of this call or a concurrent
        // deletion succeeded.
        self.retry.transact(&self.store, batch).await?;
        Ok(())
    }

    /// Extends the retention of a file that was uploaded again. Returns the
    /// stored metadata.
    pub(crate) async fn extend(
        &self,
        mut file: FileRecord,
        modified: Revision,
    ) -> Result<FileRecord, LotError> {
        let expires_at = self.clock.now() + self.retention.files;
        if expires_at < file.expires_at + MIN_EXTENSION {
            return Ok(file);
        }
        file.expires_at = expires_at;
        let key = LotKeys.file(&file.customer, &file.id);
        let rest = format!("{}/{}", key_part(&file.customer), file.id);
        let put = |key, value| Write::Put {
            key,
            value,
            lease: None,
        };
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), modified)],
            then: vec![
                put(key.clone(), to_json(&file)),
                put(
                    LotKeys.expiry(expires_at, "file", &rest),
                    file.customer.clone().into(),
                ),
            ],
            read_back: vec![key],
        };
        match self.retry.transact(&self.store, batch).await? {
            TransactionAnswer::Written(_) => Ok(file),
            TransactionAnswer::Refused { found, .. } => {
                let pair = found.first().ok_or(LotError::NotFound("file"))?;
                from_json(pair)
            }
        }
    }

    pub(crate) fn new_id(&self) -> String {
        new_id(self.clock.now())
    }

    /// Returns when an id was generated.
    pub(crate) fn id_time(&self, id: &str) -> WallTime {
        crate::codec::id_time(id)
    }

    pub(crate) async fn delete_keys(&self, keys: Vec<String>) -> Result<(), LotError> {
        for keys in keys.chunks(MAX_DELETE_BATCH) {
            let batch = WriteBatch {
                then: keys.iter().cloned().map(Write::Delete).collect(),
                ..WriteBatch::default()
            };
            self.retry.transact(&self.store, batch).await?;
        }
        Ok(())
    }

    async fn find_record(
        &self,
        customer: &str,
        id: &str,
    ) -> Result<comfreyramp_store::KeyValue, LotError> {
        check_id(id)?;
        let key = LotKeys.file(customer, id);
        let pair = self.retry.read_key(&self.store, key).await?;
        pair.ok_or(LotError::NotFound("file"))
    }

    async fn finished_lot(&self, customer: &str, output: &OutputId) -> Result<LotRecord, LotError> {
        let key = LotKeys.record(customer, &output.lot);
        let pair = self.retry.read_key(&self.store, key).await?;
        from_json(&pair.ok_or(LotError::NotFound("file"))?)
    }
}

/// Rejects ids from callers that contain `/` or other special characters and so
/// could address other keys.
pub(crate) fn check_id(id: &str) -> Result<(), LotError> {
    let plain = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_');
    match id.bytes().all(plain) {
        true => Ok(()),
        false => Err(LotError::NotFound("file or batch")),
    }
}

/// Returns the range of the keys under `folder` that follow the name `after`.
pub(crate) fn page_range(folder: &str, after: Option<&str>) -> KeyRange {
    let Some(after) = after else {
        return KeyRange::Prefix(folder.to_owned());
    };
    // `0` is the character after `/`, so the folder's name followed by `0` is
    // the end of the range. The zero byte gives the first key after `after`.
    let end = format!("{}0", folder.trim_end_matches('/'));
    KeyRange::Between(format!("{folder}{after}\0"), end)
}
