//! Reading a file out again, one packed value at a time.

use std::vec::IntoIter;

use bytes::Bytes;
use comfreyramp_store::PlatformStore;

use crate::{
    FileRecord, LotError, LotKeys, LotOutcome, RecordedResult, RetryPlan,
    codec::{damaged, unpack},
};

/// Which lines of the packed values are wanted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LineFilter {
    All,
    Answered,
    Failed,
}

/// The content of a file, streamed. At most one packed value is in memory.
#[derive(Debug)]
pub struct ContentStream<S> {
    store: S,
    retry: RetryPlan,
    keys: IntoIter<String>,
    filter: LineFilter,
    /// The length of the whole content in bytes.
    pub bytes: u64,
}

impl<S: PlatformStore> ContentStream<S> {
    pub(crate) fn of_file(store: S, retry: RetryPlan, file: &FileRecord) -> Self {
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
        retry: RetryPlan,
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

    /// The next piece, or nothing at the end.
    pub async fn next(&mut self) -> Result<Option<Bytes>, LotError> {
        for key in self.keys.by_ref() {
            let pair = self.retry.one(&self.store, key.clone()).await?;
            let pair = pair.ok_or_else(|| damaged(&key, "it is missing"))?;
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
