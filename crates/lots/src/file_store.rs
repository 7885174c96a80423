//! Customers' files.

use std::time::Duration;

use comfreyramp_store::{
    Comparison, KeyRange, PlatformStore, Revision, TransactionAnswer, Write, WriteBatch,
};

use crate::{
    ContentStream, FileRecord, FileUpload, LotError, LotKeys, LotRecord, RetryPlan, SystemClock,
    WallClock, WallTime,
    codec::{from_json, new_id, to_json},
    content_stream::LineFilter,
    keys::part,
    lot_store::OutputId,
};

/// The most deletions in one transaction; the platform allows 128 operations.
pub(crate) const DELETE_BATCH: usize = 100;
/// A file that is uploaded again is kept for longer once this old.
const EXTEND_AFTER: Duration = Duration::from_secs(3600);

/// How long things are kept.
#[derive(Clone, Copy, Debug)]
pub struct RetentionPlan {
    /// A file, from its upload on.
    pub files: Duration,
    /// A lot with its results, from its end on.
    pub lots: Duration,
    /// The parts of an upload that never ended.
    pub upload: Duration,
    /// How long a request without an idempotency key is taken for a resent one
    /// when it equals an earlier one.
    pub same_request: Duration,
}

impl Default for RetentionPlan {
    fn default() -> Self {
        const DAY: Duration = Duration::from_secs(86_400);
        RetentionPlan {
            files: 7 * DAY,
            lots: 7 * DAY,
            upload: DAY / 4,
            same_request: DAY,
        }
    }
}

/// Customers' files, as any daemon sees them.
#[derive(Clone, Debug)]
pub struct FileStore<S, C = SystemClock> {
    pub(crate) store: S,
    pub(crate) clock: C,
    /// How patiently the platform is asked.
    pub retry: RetryPlan,
    /// How long things are kept.
    pub retention: RetentionPlan,
}

impl<S: PlatformStore, C: WallClock> FileStore<S, C> {
    /// Files kept in this store.
    pub fn new(store: S, clock: C) -> Self {
        FileStore {
            store,
            clock,
            retry: RetryPlan::default(),
            retention: RetentionPlan::default(),
        }
    }

    /// Begins an upload.
    pub fn upload(&self, customer: &str, filename: &str) -> FileUpload<S, C> {
        FileUpload::new(self.clone(), customer, filename)
    }

    /// Finds a customer's file: an upload, or the output of one of its lots.
    pub async fn get(&self, customer: &str, id: &str) -> Result<FileRecord, LotError> {
        if let Some(output) = OutputId::parse(id) {
            let lot = self.finished_lot(customer, &output).await?;
            return output.describe(&lot).ok_or(LotError::NotFound("file"));
        }
        let pair = self.find(customer, id).await?;
        from_json(&pair)
    }

    /// Streams a file's content.
    pub async fn content(&self, customer: &str, id: &str) -> Result<ContentStream<S>, LotError> {
        let Some(output) = OutputId::parse(id) else {
            let file: FileRecord = from_json(&self.find(customer, id).await?)?;
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

    /// Lists a customer's uploads in the order of their ids, after `after`.
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

    /// Deletes a file. Open lots that read it go on and end as usual: its
    /// content is deleted once none is left.
    pub async fn delete(&self, customer: &str, id: &str) -> Result<(), LotError> {
        if OutputId::parse(id).is_some() {
            return Err(LotError::Invalid {
                param: "file_id",
                message: "results are kept and deleted with their batch".to_owned(),
            });
        }
        let pair = self.find(customer, id).await?;
        let file: FileRecord = from_json(&pair)?;
        self.drop_record(&file, pair.modified).await
    }

    /// Deletes the record and leaves the content to the sweeper.
    pub(crate) async fn drop_record(
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
        // Refused means that it changed or is gone: if it is gone, then either
        // by our own first try or by somebody who wanted the same.
        self.retry.transact(&self.store, batch).await?;
        Ok(())
    }

    /// Keeps a file for longer that was uploaded again.
    pub(crate) async fn extend(
        &self,
        mut file: FileRecord,
        modified: Revision,
    ) -> Result<FileRecord, LotError> {
        let expires_at = self.clock.now() + self.retention.files;
        if expires_at < file.expires_at + EXTEND_AFTER {
            return Ok(file);
        }
        file.expires_at = expires_at;
        let key = LotKeys.file(&file.customer, &file.id);
        let rest = format!("{}/{}", part(&file.customer), file.id);
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

    /// When an id was made.
    pub(crate) fn started(&self, id: &str) -> WallTime {
        crate::codec::id_time(id)
    }

    pub(crate) async fn delete_keys(&self, keys: Vec<String>) -> Result<(), LotError> {
        for keys in keys.chunks(DELETE_BATCH) {
            let batch = WriteBatch {
                then: keys.iter().cloned().map(Write::Delete).collect(),
                ..WriteBatch::default()
            };
            self.retry.transact(&self.store, batch).await?;
        }
        Ok(())
    }

    async fn find(
        &self,
        customer: &str,
        id: &str,
    ) -> Result<comfreyramp_store::KeyValue, LotError> {
        check_id(id)?;
        let key = LotKeys.file(customer, id);
        let pair = self.retry.one(&self.store, key).await?;
        pair.ok_or(LotError::NotFound("file"))
    }

    async fn finished_lot(&self, customer: &str, output: &OutputId) -> Result<LotRecord, LotError> {
        let key = LotKeys.record(customer, &output.lot);
        let pair = self.retry.one(&self.store, key).await?;
        from_json(&pair.ok_or(LotError::NotFound("file"))?)
    }
}

/// An id from a caller must not reach other keys.
pub(crate) fn check_id(id: &str) -> Result<(), LotError> {
    let plain = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_');
    match id.bytes().all(plain) {
        true => Ok(()),
        false => Err(LotError::NotFound("file or batch")),
    }
}

/// The keys of a folder after a given name.
pub(crate) fn page_range(folder: &str, after: Option<&str>) -> KeyRange {
    let Some(after) = after else {
        return KeyRange::Prefix(folder.to_owned());
    };
    // `0` follows `/`, so that the folder's name with it ends the folder; a
    // zero byte makes the first key after the given one.
    let end = format!("{}0", folder.trim_end_matches('/'));
    KeyRange::Between(format!("{folder}{after}\0"), end)
}
