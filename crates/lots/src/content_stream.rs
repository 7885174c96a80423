//! Streaming reads of file contents.

use std::vec::IntoIter;

use bytes::Bytes;
use comfreyramp_store::PlatformStore;

use crate::{
    FileRecord, LotError, LotKeys, LotOutcome, RecordedResult, StoreRetryPolicy,
    codec::{damaged, unpack},
};

/// Which lines of the stored values a [`ContentStream`] returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineFilter {
    All,
    Answered,
    Failed,
}

/// A stream of a file's content, which keeps at most one stored value in
/// memory.
#[derive(Debug)]
pub struct ContentStream<S> {
    store: S,
    retry: StoreRetryPolicy,
    keys: IntoIter<String>,
    filter: LineFilter,
    /// The total length of the content in bytes.
    pub bytes: u64,
}

impl<S: PlatformStore> ContentStream<S> {
    pub(crate) fn of_file(store: S, retry: StoreRetryPolicy, file: &FileRecord) -> Self {
        let keys = (0..file.segments.len()).map(|it| LotKeys.input(&file.content, it));
        ContentStream {
            store,
            retry,
            keys: keys.collect::<Vec<String>>().into_iter(),
            filter: LineFilter::All,
            bytes: file.bytes,
        }
    }

    pub(crate) fn of_lot(
        store: S,
        retry: StoreRetryPolicy,
        lot: &str,
        outcome: &LotOutcome,
        filter: LineFilter,
    ) -> Self {
        let groups = outcome.groups.iter().enumerate();
        let keys = groups.flat_map(|(segment, &groups)| {
            (0..usize::from(groups)).map(move |group| LotKeys.result(lot, segment, group))
        });
        let bytes = match filter {
            LineFilter::Failed => outcome.error_bytes,
            LineFilter::Answered | LineFilter::All => outcome.output_bytes,
        };
        ContentStream {
            store,
            retry,
            keys: keys.collect::<Vec<String>>().into_iter(),
            filter,
            bytes,
        }
    }

    /// Returns the next chunk of the content, or `None` at the end. Fails if a
    /// stored value is missing or can't be decoded.
    pub async fn next(&mut self) -> Result<Option<Bytes>, LotError> {
        for key in self.keys.by_ref() {
            let pair = self.retry.read_key(&self.store, key.clone()).await?;
            let pair = pair.ok_or_else(|| damaged(&key, "the value is missing"))?;
            let piece = keep_lines(unpack(&pair)?, self.filter, &key)?;
            if !piece.is_empty() {
                return Ok(Some(piece));
            }
        }
        Ok(None)
    }
}

fn keep_lines(raw: Vec<u8>, filter: LineFilter, key: &str) -> Result<Bytes, LotError> {
    if filter == LineFilter::All {
        return Ok(raw.into());
    }
    let wanted = filter == LineFilter::Answered;
    let mut kept = Vec::with_capacity(raw.len());
    for line in raw.split_inclusive(|&it| it == b'\n') {
        let result: RecordedResult =
            serde_json::from_slice(line).map_err(|error| damaged(key, error))?;
        if result.is_answered() == wanted {
            kept.extend_from_slice(line);
        }
    }
    Ok(kept.into())
}
