//! A watch that waits for news.

use std::time::Duration;

use comfreyramp_store::wire::EventMessage;
use tokio::sync::watch;

use super::{SharedPlatform, WatchCursor};

/// What a watch has to tell.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchUpdate {
    /// Events, oldest first, with the store's revision.
    Events(Vec<EventMessage>, i64),
    /// The watch asked for revisions before this one, which are gone.
    Compacted(i64),
    /// The watch broke.
    Broken,
}

/// An open watch.
#[derive(Debug)]
pub struct OpenWatch {
    platform: SharedPlatform,
    changed: watch::Receiver<()>,
    epoch: u64,
    cursor: WatchCursor,
}

impl OpenWatch {
    pub(super) fn new(
        platform: SharedPlatform,
        changed: watch::Receiver<()>,
        epoch: u64,
        cursor: WatchCursor,
    ) -> Self {
        OpenWatch {
            platform,
            changed,
            epoch,
            cursor,
        }
    }

    /// The revision up to which everything was reported, when nothing is
    /// waiting to be.
    pub fn progress(&self) -> Option<i64> {
        let state = self.platform.lock();
        let held = state.faults.hold_watches || state.watch_epoch != self.epoch;
        let revision = state.model.revision();
        (!held && self.cursor.next_revision > revision).then_some(revision)
    }

    /// Waits until there is something to tell.
    pub async fn next(&mut self) -> WatchUpdate {
        loop {
            self.changed.borrow_and_update();
            let (update, until_expiry) = self.poll();
            if let Some(update) = update {
                return update;
            }
            // Only the sender's end would fail here, and we hold it.
            let changed = self.changed.changed();
            match until_expiry {
                None => drop(changed.await),
                Some(wait) => drop(tokio::time::timeout(wait, changed).await),
            }
        }
    }

    /// What there is to tell now, or else how long until a lease lapses.
    fn poll(&mut self) -> (Option<WatchUpdate>, Option<Duration>) {
        let mut state = self.platform.lock();
        if state.watch_epoch != self.epoch {
            return (Some(WatchUpdate::Broken), None);
        }
        let now = self.platform.now(&state);
        state.model.expire(now);
        let until_expiry = state.model.next_expiry();
        let until_expiry = until_expiry.map(|it| it.since(now) + Duration::from_millis(1));
        if state.faults.hold_watches {
            return (None, until_expiry);
        }
        let revision = state.model.revision();
        match self.cursor.read(&state.model) {
            Ok(events) if events.is_empty() => (None, until_expiry),
            Ok(events) => (Some(WatchUpdate::Events(events, revision)), until_expiry),
            Err(oldest) => (Some(WatchUpdate::Compacted(oldest)), until_expiry),
        }
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.platform.lock().calls.waiting_watches -= 1;
    }
}
