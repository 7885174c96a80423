//! Reads an uploaded file from a multipart body with bounded memory.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::{Bytes, ErrorAnswer, StatusCode};
use comfreyramp_lots::{FileRecord, FileStore, FileUpload, WallClock};
use comfreyramp_store::PlatformStore;
use futures::{Stream, StreamExt as _, stream};
use multer::{Field, Multipart};
use tokio::time::Instant;

use super::lot_answers::{bad_request, lot_error};

/// The only supported value of the field `purpose`.
const PURPOSE: &str = "batch";
/// The maximum length in bytes that is read of a field other than the file.
const MAX_FIELD_VALUE: usize = 256;
/// The maximum length of a file's name in bytes.
const MAX_FILENAME: usize = 255;
/// The name of a file for which the caller gave none.
const DEFAULT_FILENAME: &str = "upload.jsonl";
/// `retry_after` for a caller whose upload was too slow.
const SLOW_RETRY: Duration = Duration::from_secs(1);

/// The limits on the size and duration of an upload.
#[derive(Clone, Copy, Debug)]
pub(super) struct UploadLimits {
    /// The maximum body size in bytes: the largest file, plus some capacity for
    /// the other fields.
    pub(super) body: u64,
    /// The maximum number of bytes read but not yet consumed as field content.
    /// Without it, a field head that never ends would fill the memory.
    pub(super) read_ahead: u64,
    /// The maximum wait for the next bytes.
    pub(super) idle_timeout: Duration,
    /// The maximum time from the first byte to the last.
    pub(super) total_timeout: Duration,
}

impl Default for UploadLimits {
    fn default() -> Self {
        UploadLimits {
            body: (200 << 20) + (64 << 10),
            read_ahead: 1 << 20,
            idle_timeout: Duration::from_secs(30),
            total_timeout: Duration::from_secs(15 * 60),
        }
    }
}

/// An upload that is being read and stored in the platform.
#[derive(Debug)]
pub(super) struct UploadRequest<'a, S, C> {
    /// The store for the file.
    pub(super) files: &'a FileStore<S, C>,
    /// The customer that owns the file.
    pub(super) customer: &'a str,
    /// The caller's idempotency key.
    pub(super) job_key: Option<&'a str>,
    /// The limits on the upload.
    pub(super) limits: UploadLimits,
}

impl<S: PlatformStore, C: WallClock> UploadRequest<'_, S, C> {
    /// Reads the body with the fields `purpose` and `file` in any order, and
    /// stores the file once both are complete.
    pub(super) async fn read<B, E>(
        &self,
        boundary: String,
        body: B,
    ) -> Result<FileRecord, ErrorAnswer>
    where
        B: Stream<Item = Result<Bytes, E>> + Send + 'static,
        E: std::error::Error + Send + Sync + 'static,
    {
        let consumed = Arc::new(AtomicU64::new(0));
        let body = limit_body(body, self.limits, consumed.clone());
        let mut reader = FieldReader {
            parts: Multipart::new(body, boundary),
            idle_timeout: self.limits.idle_timeout,
            deadline: Instant::now() + self.limits.total_timeout,
            consumed,
        };
        let mut upload = None;
        match self.read_fields(&mut reader, &mut upload).await {
            Ok(()) => {}
            Err(answer) => {
                if let Some(upload) = upload {
                    upload.abort().await;
                }
                return Err(answer);
            }
        }
        let Some(upload) = upload else {
            return Err(missing_field("file", "the items, one JSON object a line"));
        };
        upload.finish().await.map_err(lot_error)
    }

    async fn read_fields(
        &self,
        reader: &mut FieldReader,
        upload: &mut Option<FileUpload<S, C>>,
    ) -> Result<(), ErrorAnswer> {
        let mut has_purpose = false;
        while let Some(field) = reader.next_field().await? {
            match field.name() {
                Some("purpose") if !has_purpose => {
                    reader.check_purpose(field).await?;
                    has_purpose = true;
                }
                Some("file") if upload.is_none() => {
                    let target = upload.insert(self.begin(&field)?);
                    reader.copy_file(field, target).await?;
                }
                name => return Err(unknown_field(name)),
            }
        }
        if !has_purpose {
            return Err(missing_field("purpose", &format!("the value `{PURPOSE}`")));
        }
        Ok(())
    }

    fn begin(&self, field: &Field<'_>) -> Result<FileUpload<S, C>, ErrorAnswer> {
        let filename = field.file_name().filter(|it| !it.is_empty());
        let filename = filename.unwrap_or(DEFAULT_FILENAME);
        if filename.len() > MAX_FILENAME {
            let text = format!("The file's name is longer than {MAX_FILENAME} bytes. Shorten it.");
            return Err(bad_request("invalid_filename", text).param("file"));
        }
        let upload = self.files.upload(self.customer, filename);
        Ok(upload.job_key(self.job_key))
    }
}

/// Reads the fields of a form, with limits on the waits.
struct FieldReader {
    parts: Multipart<'static>,
    idle_timeout: Duration,
    deadline: Instant,
    consumed: Arc<AtomicU64>,
}

impl FieldReader {
    async fn next_field(&mut self) -> Result<Option<Field<'static>>, ErrorAnswer> {
        let until = self.deadline.min(Instant::now() + self.idle_timeout);
        let field = tokio::time::timeout_at(until, self.parts.next_field()).await;
        field
            .map_err(|_| upload_too_slow())?
            .map_err(|it| body_error(&it))
    }

    async fn next_bytes(&self, field: &mut Field<'_>) -> Result<Option<Bytes>, ErrorAnswer> {
        let until = self.deadline.min(Instant::now() + self.idle_timeout);
        let bytes = tokio::time::timeout_at(until, field.chunk()).await;
        let bytes = bytes
            .map_err(|_| upload_too_slow())?
            .map_err(|it| body_error(&it))?;
        let count = bytes.as_ref().map_or(0, Bytes::len) as u64;
        self.consumed.fetch_add(count, Ordering::Relaxed);
        Ok(bytes)
    }

    async fn check_purpose(&self, mut field: Field<'_>) -> Result<(), ErrorAnswer> {
        let mut value = Vec::new();
        while let Some(bytes) = self.next_bytes(&mut field).await? {
            let capacity = MAX_FIELD_VALUE.saturating_sub(value.len());
            value.extend_from_slice(&bytes[..bytes.len().min(capacity)]);
        }
        if value == PURPOSE.as_bytes() {
            return Ok(());
        }
        let value = String::from_utf8_lossy(&value);
        let text = format!("The purpose `{value}` is unknown. Use `{PURPOSE}`.");
        Err(bad_request("invalid_purpose", text).param("purpose"))
    }

    async fn copy_file<S: PlatformStore, C: WallClock>(
        &self,
        mut field: Field<'_>,
        upload: &mut FileUpload<S, C>,
    ) -> Result<(), ErrorAnswer> {
        while let Some(bytes) = self.next_bytes(&mut field).await? {
            upload.push(&bytes).await.map_err(lot_error)?;
        }
        Ok(())
    }
}

/// Why the rest of a body isn't read.
#[derive(Debug, thiserror::Error)]
enum LimitError {
    #[error("the body is longer than {0} bytes")]
    Body(u64),
    #[error("the head of a field is longer than {0} bytes; shorten it")]
    Head(u64),
    #[error("the connection broke: {0}")]
    Connection(Box<dyn std::error::Error + Send + Sync>),
}

/// Ends a body with an error once it is too long, or once too many bytes were
/// read without being consumed.
fn limit_body<B, E>(
    body: B,
    limits: UploadLimits,
    consumed: Arc<AtomicU64>,
) -> impl Stream<Item = Result<Bytes, LimitError>> + Send + 'static
where
    B: Stream<Item = Result<Bytes, E>> + Send + 'static,
    E: std::error::Error + Send + Sync + 'static,
{
    let mut read = 0;
    // The multipart reader buffers everything that is ready before it returns
    // any field. Yielding before each piece keeps a fast sender from filling
    // the memory. The end of the body comes separately after the last piece: if
    // both came together, the reader would, on its second poll, take the body
    // for one without a boundary.
    let end = stream::once(async { Ok(Bytes::new()) });
    let body = body.chain(end).then(|bytes| async {
        tokio::task::yield_now().await;
        bytes
    });
    body.map(move |bytes| {
        let bytes = bytes.map_err(|it| LimitError::Connection(Box::new(it)))?;
        read += bytes.len() as u64;
        if read > limits.body {
            return Err(LimitError::Body(limits.body));
        }
        let ahead = read.saturating_sub(consumed.load(Ordering::Relaxed));
        if ahead > limits.read_ahead + bytes.len() as u64 {
            return Err(LimitError::Head(limits.read_ahead));
        }
        Ok(bytes)
    })
}

fn body_error(error: &multer::Error) -> ErrorAnswer {
    let multer::Error::StreamReadFailed(source) = error else {
        let text = format!("The multipart body is broken: {error}. Nothing of it was stored.");
        return bad_request("broken_multipart", text);
    };
    match source.downcast_ref::<LimitError>() {
        Some(LimitError::Body(limit)) => too_long(*limit),
        Some(limit @ LimitError::Head(_)) => {
            bad_request("broken_multipart", format!("Nothing was stored: {limit}."))
        }
        _ => {
            let text = format!("The body didn't arrive: {source}");
            bad_request("body_incomplete", text)
        }
    }
}

/// Returns the error for a body of more than `limit` bytes.
pub(super) fn too_long(limit: u64) -> ErrorAnswer {
    let text =
        format!("The body is longer than {limit} bytes. Nothing was stored; split the file.");
    ErrorAnswer::new(StatusCode::PAYLOAD_TOO_LARGE, "body_too_long", text).param("file")
}

fn upload_too_slow() -> ErrorAnswer {
    let text = "The upload was too slow. Nothing of it was stored; send it again.";
    ErrorAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow", text).retry_after(SLOW_RETRY)
}

fn missing_field(field: &'static str, what: &str) -> ErrorAnswer {
    let text = format!("The form has no field `{field}`. Add it with {what}.");
    bad_request("missing_field", text).param(field)
}

fn unknown_field(name: Option<&str>) -> ErrorAnswer {
    let name = name.unwrap_or_default();
    let text = format!("The form may have `purpose` and `file` once each; leave out `{name}`.");
    bad_request("unknown_field", text).param(name)
}

#[cfg(test)]
mod tests;
