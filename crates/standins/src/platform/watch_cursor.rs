//! The position of a watch in the history.

use bytes::Bytes;
use comfreyramp_store::wire::{EventMessage, WatchCreateRequest};

use super::{KeyValueModel, ModelError};

/// The range that a watch reads and the first revision it has not yet reported.
#[derive(Clone, Debug)]
pub struct WatchCursor {
    /// The first key of the range.
    pub key: Bytes,
    /// The end of the range, encoded as in a range request: empty for a single key, one
    /// zero byte for no end.
    pub range_end: Bytes,
    /// The first revision not yet reported; 0 for the revision of the next write.
    pub next_revision: i64,
}

impl From<WatchCreateRequest> for WatchCursor {
    fn from(request: WatchCreateRequest) -> Self {
        WatchCursor {
            key: request.key,
            range_end: request.range_end,
            next_revision: request.start_revision,
        }
    }
}

impl WatchCursor {
    /// Sets the revision to start from to `default_start` if the request named none.
    pub fn starting(mut self, default_start: i64) -> Self {
        if self.next_revision <= 0 {
            self.next_revision = default_start;
        }
        self
    }

    /// Returns the unreported events and advances past them. Fails with the oldest kept
    /// revision if some of the events have been compacted.
    pub fn read(&mut self, model: &KeyValueModel) -> Result<Vec<EventMessage>, i64> {
        let events = match model.events(&self.key, &self.range_end, self.next_revision) {
            Ok(events) => events,
            Err(ModelError::Compacted(oldest)) => return Err(oldest),
            Err(_) => Vec::new(),
        };
        self.next_revision = self.next_revision.max(model.revision() + 1);
        Ok(events)
    }
}
