//! The task that writes claims, and the ends of claimed calls, to the platform.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{ClaimChange, ClaimGroup, ClaimRecord, GroupAnswer};
use comfreyramp_store::{PlatformStore, StoreError};
use tokio_util::sync::CancellationToken;

use super::{ClaimManager, ClaimRecords};
use crate::shared::SharedState;

/// The interval at which claims that took too long are given up.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The delay after the first failed write. It doubles with each consecutive
/// failure.
const MIN_BACKOFF: Duration = Duration::from_millis(25);
/// The maximum delay between two attempts.
const MAX_BACKOFF: Duration = Duration::from_millis(500);
/// The maximum number of changes taken from the tracker at a time.
const MAX_CHANGES: usize = 32;
/// How long a stopping daemon continues to write the ends of its calls.
const STOP_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes claims and the ends of claimed calls until `stop` is cancelled, then
/// the changes that are left.
pub async fn run_claims(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    let writer = ClaimWriter {
        manager: state.claims.clone(),
        records: ClaimRecords::new(state.store.clone()),
    };
    tokio::select! {
        () = writer.write_groups() => {}
        () = writer.write_changes() => {}
        () = writer.poll() => {}
        () = stop.cancelled() => {}
    }
    let last = tokio::time::timeout(STOP_TIMEOUT, writer.write_remaining_changes());
    if last.await.is_err() {
        log::warn!("claims: could not write the ends of all calls before the stop");
    }
    Ok(())
}

struct ClaimWriter<S> {
    manager: Arc<ClaimManager>,
    records: ClaimRecords<S>,
}

impl<S: PlatformStore> ClaimWriter<S> {
    async fn write_groups(&self) {
        loop {
            let now = self.manager.clock().now();
            let due = self.manager.tracker().group_due();
            let Some(due) = due else {
                self.manager.claim_added.notified().await;
                continue;
            };
            if due > now {
                tokio::time::sleep(due.since(now)).await;
            }
            let group = self
                .manager
                .tracker()
                .next_group(self.manager.clock().now());
            if let Some(group) = group {
                self.write_group(&group).await;
            }
        }
    }

    async fn write_group(&self, group: &ClaimGroup) {
        let now = self.manager.clock().now();
        let answer = self.records.write_group(group, now).await;
        if !matches!(answer, GroupAnswer::Written | GroupAnswer::Found(_)) {
            log::debug!("claims: could not write group {}: {answer:?}", group.number);
        }
        let now = self.manager.clock().now();
        let losses = {
            let mut tracker = self.manager.tracker();
            tracker.group_answer(group.number, &answer, now);
            tracker.consecutive_losses()
        };
        self.manager.notify_progress();
        self.manager.notify_change();
        if losses > 0 {
            tokio::time::sleep(backoff_after(losses)).await;
        }
    }

    /// Gives up claims that took too long. Runs concurrently with the writes,
    /// which may hang.
    async fn poll(&self) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        loop {
            ticks.tick().await;
            let now = self.manager.clock().now();
            self.manager.tracker().poll(now);
            self.manager.notify_progress();
        }
    }

    async fn write_changes(&self) {
        loop {
            if !self.write_some_changes().await {
                self.manager.change_added.notified().await;
            }
        }
    }

    async fn write_remaining_changes(&self) {
        while self.write_some_changes().await {}
    }

    /// Writes the next changes, repeating each until it succeeds. Returns
    /// whether there were any.
    async fn write_some_changes(&self) -> bool {
        let mut changes = PendingChanges::take(&self.manager);
        if changes.remaining.is_empty() {
            return false;
        }
        let mut failures = 0;
        while let Some(change) = changes.remaining.last() {
            match self.write_change(change).await {
                Ok(()) => {
                    failures = 0;
                    changes.remaining.pop();
                }
                Err(error) => {
                    failures += 1;
                    log::debug!("claims: could not write the end of a call, retrying: {error}");
                    tokio::time::sleep(backoff_after(failures)).await;
                }
            }
        }
        true
    }

    async fn write_change(&self, change: &ClaimChange) -> Result<(), StoreError> {
        match change {
            ClaimChange::Settle(record) => {
                while !self.settle(record).await? {}
                self.manager.remove_settled(record.key, record.ticket);
            }
            ClaimChange::Release(key, ticket) => {
                while let Some(found) = self.records.read(*key).await? {
                    if !found.belongs_to(*ticket) || self.records.release(&found, *key).await? {
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    /// Writes the end of a call. Returns `false` if the record changed
    /// meanwhile and the write must be repeated.
    async fn settle(&self, record: &ClaimRecord) -> Result<bool, StoreError> {
        let found = self.records.read(record.key).await?;
        let Some(found) = found.filter(|it| it.belongs_to(record.ticket)) else {
            return Ok(true);
        };
        let answer = self.manager.pending_answer(record.key);
        let now = self.manager.clock().now();
        let settled = self.records.settle(&found, record, answer.as_ref(), now);
        settled.await
    }
}

/// Changes that are returned to the tracker on drop unless they were written:
/// the task that writes them can be dropped at any await point.
struct PendingChanges<'a> {
    manager: &'a ClaimManager,
    remaining: Vec<ClaimChange>,
}

impl<'a> PendingChanges<'a> {
    fn take(manager: &'a ClaimManager) -> Self {
        let mut remaining = manager.tracker().take_changes(MAX_CHANGES);
        // Changes are popped from the end, so the oldest comes last.
        remaining.reverse();
        PendingChanges { manager, remaining }
    }
}

impl Drop for PendingChanges<'_> {
    fn drop(&mut self) {
        if self.remaining.is_empty() {
            return;
        }
        let mut remaining = std::mem::take(&mut self.remaining);
        remaining.reverse();
        self.manager.tracker().return_changes(remaining);
    }
}

fn backoff_after(failures: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failures.saturating_sub(1).min(10));
    MIN_BACKOFF.saturating_mul(factor).min(MAX_BACKOFF)
}
