//! Where a watch stands in the history.

use bytes::Bytes;
use comfreyramp_store::wire::{EventMessage, WatchCreateRequest};

use super::{KeyValueModel, ModelError};

/// A range and the first revision not yet reported.
#[derive(Clone, Debug)]
pub struct WatchCursor {
    /// The first key.
    pub key: Bytes,
    /// The end, as in a read.
    pub range_end: Bytes,
    /// The first revision not yet reported, or 0 for the next to come.
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
    /// Fixes where to start, if the request left it open.
    pub fn starting(mut self, default_start: i64) -> Self {
        if self.next_revision <= 0 {
            self.next_revision = default_start;
        }
        self
    }

    /// Reads what is new and moves past it. Fails with the oldest revision
    /// still there when some of it is gone.
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
