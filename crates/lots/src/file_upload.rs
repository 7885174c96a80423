//! Parsing and storing an upload line by line with bounded memory.

use bytes::Bytes;
use comfreyramp_store::{Comparison, PlatformStore, TransactionAnswer, Write, WriteBatch};
use sha2::{Digest, Sha256};

use crate::{
    FileRecord, FileStore, LineFinding, LotError, LotKeys, WallClock,
    codec::{digest, from_json, pack, to_json},
    item_line::{ItemLine, LineKind, MAX_LINE_BYTES},
};

/// The maximum number of items in a file, and so in a lot.
const MAX_ITEMS: usize = 99_000;
/// The maximum size of a file in bytes.
const MAX_FILE_BYTES: u64 = 200 << 20;
/// The maximum number of items in a segment.
pub(crate) const SEGMENT_ITEMS: usize = 256;
/// The maximum size of a segment before compression, in bytes. Even text that
/// doesn't compress must fit the store's limit of 1 MB per value.
pub(crate) const SEGMENT_BYTES: usize = 900 << 10;
/// The maximum number of errors reported for one upload.
const MAX_FINDINGS: usize = 100;

/// An upload in progress.
///
/// The file becomes visible when [`FileUpload::finish`] writes its record. An
/// upload that is dropped or whose daemon crashes leaves segments without a
/// record. The sweeper finds and deletes them, since an expiry entry is written
/// before the first segment.
#[derive(Debug)]
pub struct FileUpload<S, C> {
    files: FileStore<S, C>,
    customer: String,
    filename: String,
    job_key: String,
    content: String,
    line: Vec<u8>,
    lines: u64,
    bytes: u64,
    hasher: Sha256,
    raw: Vec<u8>,
    raw_items: usize,
    segments: Vec<u16>,
    written: usize,
    kind: Option<LineKind>,
    ids: Vec<(u64, u64)>,
    findings: Vec<LineFinding>,
}

impl<S: PlatformStore, C: WallClock> FileUpload<S, C> {
    pub(crate) fn new(files: FileStore<S, C>, customer: &str, filename: &str) -> Self {
        let content = files.new_id();
        FileUpload {
            files,
            customer: customer.to_owned(),
            filename: filename.to_owned(),
            job_key: String::new(),
            content,
            line: Vec::new(),
            lines: 0,
            bytes: 0,
            hasher: Sha256::new(),
            raw: Vec::new(),
            raw_items: 0,
            segments: Vec::new(),
            written: 0,
            kind: None,
            ids: Vec::new(),
            findings: Vec::new(),
        }
    }

    /// Sets the caller's idempotency key. The same content uploaded with
    /// another key is a separate file.
    pub fn job_key(mut self, key: Option<&str>) -> Self {
        self.job_key = key.unwrap_or_default().to_owned();
        self
    }

    /// Processes the next bytes of the file. Fails at the size limit or after
    /// too many invalid lines; the upload is then rejected as a whole.
    pub async fn push(&mut self, bytes: &[u8]) -> Result<(), LotError> {
        self.bytes += bytes.len() as u64;
        if self.bytes > MAX_FILE_BYTES {
            let message = format!("the file is larger than {MAX_FILE_BYTES} bytes; split it");
            self.add_finding(0, "file_too_large", message);
            return Err(self.reject().await);
        }
        self.hasher.update(bytes);
        let mut rest = bytes;
        while let Some(end) = rest.iter().position(|&it| it == b'\n') {
            self.line.extend_from_slice(&rest[..=end]);
            rest = &rest[end + 1..];
            self.finish_line().await?;
        }
        // A line without an end must not exhaust the memory. Bytes past the
        // limit are dropped, and the length check of the line then fails.
        let capacity = (MAX_LINE_BYTES + 2).saturating_sub(self.line.len());
        self.line
            .extend_from_slice(&rest[..rest.len().min(capacity)]);
        Ok(())
    }

    /// Completes the upload. When this returns without an error, the store
    /// holds the whole file.
    pub async fn finish(mut self) -> Result<FileRecord, LotError> {
        if !self.line.is_empty() {
            self.finish_line().await?;
        }
        if self.ids.is_empty() && self.findings.is_empty() {
            let message = "the file has no items; write one JSON object per line".to_owned();
            self.add_finding(0, "empty_file", message);
        }
        self.find_duplicates();
        if !self.findings.is_empty() {
            return Err(self.reject().await);
        }
        self.write_record().await
    }

    /// Aborts the upload and tries to delete the segments written so far.
    pub async fn abort(mut self) {
        self.delete_segments().await;
    }

    async fn finish_line(&mut self) -> Result<(), LotError> {
        self.lines += 1;
        let line = std::mem::take(&mut self.line);
        if self.findings.len() >= MAX_FINDINGS {
            return Err(self.reject().await);
        }
        let text = line.trim_ascii();
        if !text.is_empty() {
            self.check_item(text);
            self.flush_if_full(line.len()).await?;
            self.raw_items += 1;
        }
        if self.findings.is_empty() {
            self.raw.extend_from_slice(&line);
        }
        Ok(())
    }

    fn check_item(&mut self, text: &[u8]) {
        if self.ids.len() == MAX_ITEMS {
            let message = format!("the file has more than {MAX_ITEMS} items; split it");
            self.add_finding(self.lines, "too_many_items", message);
        }
        let (item, kind) = match ItemLine::check(text, self.lines) {
            Ok(found) => found,
            Err(finding) => return self.findings.push(finding),
        };
        self.ids.push((hash_id(&item.custom_id), self.lines));
        let Some(first) = &self.kind else {
            self.kind = Some(kind);
            return;
        };
        if *first != kind {
            let message = format!(
                "url and model are {} and {}, but {} and {} in earlier lines; \
                 all lines of a file must use the same url and model",
                kind.url, kind.model, first.url, first.model
            );
            self.add_finding(self.lines, "mixed_items", message);
        }
    }

    fn find_duplicates(&mut self) {
        self.ids.sort_unstable();
        let pairs: Vec<(u64, u64)> = self
            .ids
            .windows(2)
            .filter(|pair| pair[0].0 == pair[1].0)
            .map(|pair| (pair[0].1, pair[1].1))
            .collect();
        for (first, second) in pairs.into_iter().take(MAX_FINDINGS) {
            let message = format!("custom_id was used in line {first}; make each one unique");
            self.add_finding(second, "duplicate_custom_id", message);
        }
        self.findings.sort_by_key(|it| it.line);
    }

    fn add_finding(&mut self, line: u64, code: &'static str, message: String) {
        self.findings.push(LineFinding {
            line,
            code,
            message,
        });
    }

    async fn flush_if_full(&mut self, bytes: usize) -> Result<(), LotError> {
        let full = self.raw_items == SEGMENT_ITEMS || self.raw.len() + bytes > SEGMENT_BYTES;
        if !full || self.raw_items == 0 || !self.findings.is_empty() {
            return Ok(());
        }
        let key = self.finish_segment();
        if self.written == 0 {
            self.write_expiry().await?;
        }
        let batch = WriteBatch {
            then: vec![key],
            ..WriteBatch::default()
        };
        self.written += 1;
        self.files.retry.transact(&self.files.store, batch).await?;
        Ok(())
    }

    /// Finishes the current segment and returns the write that stores it.
    fn finish_segment(&mut self) -> Write {
        let key = LotKeys.input(&self.content, self.segments.len());
        let value = pack(&self.raw);
        self.segments.push(self.raw_items as u16);
        self.raw.clear();
        self.raw_items = 0;
        Write::Put {
            key,
            value,
            lease: None,
        }
    }

    /// Writes the expiry entry through which the sweeper finds the segments of
    /// an upload that is never completed.
    async fn write_expiry(&self) -> Result<(), LotError> {
        let write = Write::Put {
            key: self.expiry_key(),
            value: Bytes::new(),
            lease: None,
        };
        let batch = WriteBatch {
            then: vec![write],
            ..WriteBatch::default()
        };
        self.files.retry.transact(&self.files.store, batch).await?;
        Ok(())
    }

    fn expiry_key(&self) -> String {
        let at = self.files.id_time(&self.content) + self.files.retention.unfinished_upload;
        LotKeys.expiry(at, "upload", &self.content)
    }

    /// Writes the last segment and the record in one transaction.
    async fn write_record(mut self) -> Result<FileRecord, LotError> {
        let last = self.finish_segment();
        let record = self.record();
        let key = LotKeys.file(&self.customer, &record.id);
        let expiry = LotKeys.expiry(
            record.expires_at,
            "file",
            &format!("{}/{}", crate::keys::key_part(&self.customer), record.id),
        );
        let put = |key, value| Write::Put {
            key,
            value,
            lease: None,
        };
        let mut then = vec![
            last,
            put(key.clone(), to_json(&record)),
            put(expiry, Bytes::from(self.customer.clone())),
        ];
        let mut when = vec![Comparison::Absent(key.clone())];
        if self.written > 0 {
            // If the expiry entry is gone, the sweeper may have deleted
            // segments.
            when.push(Comparison::Present(self.expiry_key()));
            then.push(Write::Delete(self.expiry_key()));
        }
        let batch = WriteBatch {
            when,
            then,
            read_back: vec![key],
        };
        let answer = self.files.retry.transact(&self.files.store, batch).await?;
        let TransactionAnswer::Refused { found, .. } = answer else {
            return Ok(record);
        };
        let Some(pair) = found.first() else {
            return Err(LotError::Invalid {
                param: "file",
                message: "the upload took too long and has expired; send it again".to_owned(),
            });
        };
        let found: FileRecord = from_json(pair)?;
        if found.content == self.content {
            return Ok(found);
        }
        // The same file was uploaded before. Its record is kept and the new
        // segments are deleted.
        self.delete_segments().await;
        self.files.extend(found, pair.modified).await
    }

    fn record(&self) -> FileRecord {
        let hash = self.hasher.clone().finalize();
        let id = digest(&[self.customer.as_bytes(), self.job_key.as_bytes(), &hash]);
        let kind = self.kind.clone();
        let (endpoint, model) = kind.map(|it| (it.url, it.model)).unwrap_or_default();
        let created_at = self.files.clock.now();
        FileRecord {
            id: format!("file-{id}"),
            customer: self.customer.clone(),
            filename: self.filename.clone(),
            bytes: self.bytes,
            created_at,
            expires_at: created_at + self.files.retention.files,
            content: self.content.clone(),
            segments: self.segments.clone(),
            endpoint,
            model,
        }
    }

    async fn reject(&mut self) -> LotError {
        self.delete_segments().await;
        LotError::Findings(std::mem::take(&mut self.findings))
    }

    /// Deletes the segments written so far. If the store is unavailable, the
    /// expiry entry remains and the sweeper deletes them later.
    async fn delete_segments(&mut self) {
        if self.written == 0 {
            return;
        }
        let content = self.content.clone();
        let keys = (0..self.written).map(|it| LotKeys.input(&content, it));
        let keys = keys.chain([self.expiry_key()]).collect();
        if let Err(error) = self.files.delete_keys(keys).await {
            log::warn!("lots: upload {content} is left to the sweeper: {error}");
        }
        self.written = 0;
    }
}

/// Returns the first 64 bits of a hash of the id. With 99,000 ids in a full
/// file the probability of a false duplicate is 3 in ten billion.
fn hash_id(id: &str) -> u64 {
    let hash = Sha256::digest(id);
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_le_bytes(first)
}
