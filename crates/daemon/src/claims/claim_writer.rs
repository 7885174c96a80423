//! The task that writes claims and their ends to the platform.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{ClaimChange, ClaimGroup, ClaimRecord, GroupAnswer};
use comfreyramp_store::{PlatformStore, StoreError};
use tokio_util::sync::CancellationToken;

use super::{ClaimKeeper, ClaimRecords};
use crate::shared::SharedState;

/// How often claims that took too long are given up.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The pause after a lost answer; it doubles with each further one.
const LOSS_PAUSE: Duration = Duration::from_millis(25);
/// The longest pause between two tries.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);
/// The changes that are taken up at a time.
const CHANGES: usize = 32;
/// How long a daemon that stops still tries to write the ends of its calls.
const LAST_CHANGES: Duration = Duration::from_secs(3);

/// Writes claims and their ends until `stop` is cancelled.
pub async fn run_claims(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    let writer = ClaimWriter {
        keeper: state.claims.clone(),
        records: ClaimRecords::new(state.store.clone()),
    };
    tokio::select! {
        () = writer.write_groups() => {}
        () = writer.write_changes() => {}
        () = writer.poll() => {}
        () = stop.cancelled() => {}
    }
    let last = tokio::time::timeout(LAST_CHANGES, writer.write_last_changes());
    if last.await.is_err() {
        log::warn!("claims: not all ends of calls could be written before the stop");
    }
    Ok(())
}

struct ClaimWriter<S> {
    keeper: Arc<ClaimKeeper>,
    records: ClaimRecords<S>,
}

impl<S: PlatformStore> ClaimWriter<S> {
    async fn write_groups(&self) {
        loop {
            let now = self.keeper.clock().now();
            let due = self.keeper.book().group_due();
            let Some(due) = due else {
                self.keeper.claim_added.notified().await;
                continue;
            };
            if due > now {
                tokio::time::sleep(due.since(now)).await;
            }
            let group = self.keeper.book().next_group(self.keeper.clock().now());
            if let Some(group) = group {
                self.write_group(&group).await;
            }
        }
    }

    async fn write_group(&self, group: &ClaimGroup) {
        let now = self.keeper.clock().now();
        let answer = self.records.write_group(group, now).await;
        if !matches!(answer, GroupAnswer::Written | GroupAnswer::Found(_)) {
            log::debug!("claims: group {} got no answer: {answer:?}", group.number);
        }
        let now = self.keeper.clock().now();
        let losses = {
            let mut book = self.keeper.book();
            book.group_answer(group.number, &answer, now);
            book.consecutive_losses()
        };
        self.keeper.note_progress();
        self.keeper.note_change();
        if losses > 0 {
            tokio::time::sleep(pause_after(losses)).await;
        }
    }

    /// Gives up what took too long. It runs beside the writes, which may hang.
    async fn poll(&self) {
        let mut ticks = tokio::time::interval(POLL_INTERVAL);
        loop {
            ticks.tick().await;
            let now = self.keeper.clock().now();
            self.keeper.book().poll(now);
            self.keeper.note_progress();
        }
    }

    async fn write_changes(&self) {
        loop {
            if !self.write_some_changes().await {
                self.keeper.change_added.notified().await;
            }
        }
    }

    async fn write_last_changes(&self) {
        while self.write_some_changes().await {}
    }

    /// Returns whether there was a change to write.
    async fn write_some_changes(&self) -> bool {
        let mut changes = PendingChanges::take(&self.keeper);
        if changes.left.is_empty() {
            return false;
        }
        let mut failures = 0;
        while let Some(change) = changes.left.last() {
            match self.write_change(change).await {
                Ok(()) => {
                    failures = 0;
                    changes.left.pop();
                }
                Err(error) => {
                    failures += 1;
                    log::debug!("claims: the end of a call isn't written yet: {error}");
                    tokio::time::sleep(pause_after(failures)).await;
                }
            }
        }
        true
    }

    async fn write_change(&self, change: &ClaimChange) -> Result<(), StoreError> {
        match change {
            ClaimChange::Settle(record) => {
                while !self.settle(record).await? {}
                self.keeper.settled(record.key, record.ticket);
            }
            ClaimChange::Release(key, ticket) => {
                while let Some(found) = self.records.read(*key).await? {
                    if !found.is_of(*ticket) || self.records.release(&found, *key).await? {
                        break;
                    }
                }
            }
        }
        Ok(())
    }

    /// Returns whether nothing is left to do.
    async fn settle(&self, record: &ClaimRecord) -> Result<bool, StoreError> {
        let found = self.records.read(record.key).await?;
        let Some(found) = found.filter(|it| it.is_of(record.ticket)) else {
            return Ok(true);
        };
        let answer = self.keeper.pending_answer(record.key);
        let now = self.keeper.clock().now();
        let settled = self.records.settle(&found, record, answer.as_ref(), now);
        settled.await
    }
}

/// Changes that go back to the book unless they were made: the task that makes
/// them can be dropped at any point.
struct PendingChanges<'a> {
    keeper: &'a ClaimKeeper,
    left: Vec<ClaimChange>,
}

impl<'a> PendingChanges<'a> {
    fn take(keeper: &'a ClaimKeeper) -> Self {
        let mut left = keeper.book().take_changes(CHANGES);
        // They are made from the end, and the first came first.
        left.reverse();
        PendingChanges { keeper, left }
    }
}

impl Drop for PendingChanges<'_> {
    fn drop(&mut self) {
        if self.left.is_empty() {
            return;
        }
        let mut left = std::mem::take(&mut self.left);
        left.reverse();
        self.keeper.book().return_changes(left);
    }
}

fn pause_after(failures: u32) -> Duration {
    let factor = 2_u32.saturating_pow(failures.saturating_sub(1).min(10));
    LOSS_PAUSE.saturating_mul(factor).min(LONGEST_PAUSE)
}
