//! An open watch and the updates it returns.

use std::time::Duration;

use comfreyramp_store::wire::EventMessage;
use tokio::sync::watch;

use super::{SharedPlatform, WatchCursor};

/// An update that a watch returns.
#[derive(Clone, Debug, PartialEq)]
pub enum WatchUpdate {
    /// Events, oldest first, and the store's present revision.
    Events(Vec<EventMessage>, i64),
    /// The watch requested revisions before this one, which have been compacted.
    Compacted(i64),
    /// The watch was broken by a fault and must be reopened.
    Broken,
}

/// An open watch; dropping it closes it.
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

    /// Returns the revision up to which all events have been reported, or `None` if events
    /// are pending or the watch is held back or broken.
    pub fn progress(&self) -> Option<i64> {
        let state = self.platform.lock();
        let held = state.faults.hold_watches || state.watch_epoch != self.epoch;
        let revision = state.model.revision();
        (!held && self.cursor.next_revision > revision).then_some(revision)
    }

    /// Waits for the next update.
    pub async fn next(&mut self) -> WatchUpdate {
        loop {
            self.changed.borrow_and_update();
            let (update, until_expiry) = self.poll();
            if let Some(update) = update {
                return update;
            }
            // This fails only when the sender is dropped, and `platform` holds the sender.
            let changed = self.changed.changed();
            match until_expiry {
                None => drop(changed.await),
                Some(wait) => drop(tokio::time::timeout(wait, changed).await),
            }
        }
    }

    /// Returns the update that is available now, if any, and how long until the next lease
    /// expires.
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
