//! Follows the keys under a prefix of the store by a list and a watch.

use std::time::Duration;

use comfreyramp_store::{KeyRange, PlatformStore, Revision, StoreError, WatchBatch, WatchStream};
use rand::Rng;
use tokio_util::sync::CancellationToken;

use super::{PrefixSnapshot, StoreMonitor};

/// Backoff after a first failed call, and its maximum after several in a row. Each call
/// is billed, rejected ones too, and a store that is down needs no further load.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(1_000);
/// How often a daemon that doesn't watch checks whether it has to.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Delay after a change before the next call of the watch. Further changes often follow,
/// as when servers are replaced one by one or a fleet starts, and each call is billed.
/// An operator's change has two seconds to be in force.
const BATCH_DELAY: Duration = Duration::from_millis(400);
/// Delay between the first list and the first watch of the operators' keys and of the
/// server directory. In that time a daemon that starts learns from its peers' reports
/// which of them watch already. Without it each daemon of a large fleet would open
/// watches that it soon leaves: 2 of the 8 calls of a start. The list of daemons is
/// watched without this delay, since daemons that start together have to find each other.
pub const INITIAL_WATCH_DELAY: Duration = Duration::from_millis(1_000);

/// An update from following a prefix.
#[derive(Debug)]
pub enum FollowUpdate {
    /// All pairs under the prefix, from a new list.
    Listed(PrefixSnapshot),
    /// The changes since the last update.
    Changed(WatchBatch),
    /// A call failed: the store can't be reached, or rejected it.
    Failed {
        /// Why the call failed.
        error: StoreError,
        /// How long the call waited before it failed.
        waited: Duration,
    },
}

impl FollowUpdate {
    /// Returns the revision up to which this update is complete.
    fn revision(&self) -> Option<Revision> {
        match self {
            FollowUpdate::Listed(list) => Some(list.revision),
            FollowUpdate::Changed(batch) => Some(batch.revision),
            FollowUpdate::Failed { .. } => None,
        }
    }

    /// Returns how long to wait for further changes before the next call to the store.
    fn batch_delay(&self) -> Duration {
        match self {
            FollowUpdate::Changed(batch) if batch.last_change > 0 => BATCH_DELAY,
            _ => Duration::ZERO,
        }
    }
}

/// A store to follow, and the monitor of whether it answers.
#[derive(Clone, Debug)]
pub struct FollowedStore<S> {
    /// The store, called directly and not through other daemons.
    pub store: S,
    /// Tracks whether the store answers this daemon.
    pub contact: StoreMonitor,
}

/// Follows a prefix until `stop` is cancelled, and passes each update to `sink`: lists the
/// prefix, then watches it while `is_watcher` holds. The first watch starts once
/// `initial_delay` has passed since the first list.
///
/// If the store has dropped the history that a watch needs, changes may have been missed.
/// The prefix is then listed again, from the store itself and never from a copy that may
/// be behind. A watch that may have been lost while the store was silent is reissued
/// from the last known revision.
pub async fn follow_store<S: PlatformStore>(
    followed: FollowedStore<S>,
    prefix: &'static str,
    mut sink: impl FnMut(FollowUpdate),
    is_watcher: impl Fn() -> bool,
    initial_delay: Duration,
    stop: CancellationToken,
) {
    let contact = &followed.contact;
    let mut backoff = MIN_BACKOFF;
    let mut initial_delay = Some(initial_delay);
    let mut known = None;
    let mut is_known = false;
    let mut was_idle = false;
    while !stop.is_cancelled() {
        if is_known && !is_watcher() {
            was_idle = true;
            known = None;
            tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
            continue;
        }
        if std::mem::take(&mut was_idle) {
            log::info!(prefix = prefix; "store: asked in place of others");
        }
        is_known = true;
        let sent_at = contact.note_waiting();
        let update = tokio::select! {
            update = followed.next_update(prefix, known) => update,
            () = contact.reissue_due(sent_at) => continue,
            () = stop.cancelled() => return,
        };
        match known {
            Some(_) => contact.note_wait_end(sent_at, &update),
            None => contact.note_end(sent_at, &update),
        }
        let error = match update {
            Ok(update) => {
                known = update.revision();
                backoff = MIN_BACKOFF;
                let delay = initial_delay.take().unwrap_or(update.batch_delay());
                sink(update);
                tokio::time::sleep(delay).await;
                continue;
            }
            Err(error) => error,
        };
        let is_compacted = matches!(error, StoreError::Compacted(_));
        if is_compacted || matches!(error, StoreError::Rejected(_)) {
            known = None;
        }
        let waited = contact.now().since(sent_at);
        sink(FollowUpdate::Failed { error, waited });
        if is_compacted {
            continue;
        }
        tokio::select! {
            () = wait_after_failure(backoff, contact) => {}
            () = stop.cancelled() => return,
        }
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Waits for the backoff, and then for as long as the store is silent: the probes that
/// find it so are cheaper than further calls that fail.
async fn wait_after_failure(backoff: Duration, contact: &StoreMonitor) {
    // Daemons that lost the store at the same time must not retry at the same time.
    let jitter = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(backoff.mul_f64(jitter)).await;
    contact.silence_ended().await;
}

impl<S: PlatformStore> FollowedStore<S> {
    /// Returns the changes after the revision `known`, or the whole prefix if there is none.
    async fn next_update(
        &self,
        prefix: &str,
        known: Option<Revision>,
    ) -> Result<FollowUpdate, StoreError> {
        let range = KeyRange::Prefix(prefix.to_owned());
        let Some(known) = known else {
            let listed = self.store.range(range, 0).await?;
            return Ok(FollowUpdate::Listed(PrefixSnapshot {
                pairs: listed.pairs,
                revision: listed.revision,
                changed: None,
            }));
        };
        let mut watch = self.store.watch(range, known + 1).await?;
        Ok(FollowUpdate::Changed(watch.next().await?))
    }
}
