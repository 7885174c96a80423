//! Deletes lots whose results callers may no longer request.

use std::{rc::Rc, time::Duration};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{KeyRange, KeyValue, PlatformStore, StoreError, Write, WriteBatch};
use tokio_util::sync::CancellationToken;

use super::{
    keys,
    records::{LotHead, from_json},
};
use crate::{clock::unix_millis, dialect::Dialect, node::Node};

/// Interval between two sweeps of the daemon in charge.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);
/// Time for which lots are kept beyond the promised retention, to allow for the clocks of
/// other VMs and for reads in progress.
const RETENTION_MARGIN: Duration = Duration::from_secs(60);
/// Number of deletions in one transaction.
const DELETIONS_PER_CALL: usize = 30;

/// Deletes old lots until `stop` is cancelled. Of all daemons that run lots, only the first
/// by name does so.
pub async fn sweep_lots<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    loop {
        tokio::select! {
            () = tokio::time::sleep(SWEEP_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        if !node.is_first_lot_runner() {
            continue;
        }
        match sweep(&node).await {
            Ok(0) => {}
            Ok(deleted) => log::info!(keys = deleted; "lots: old lots deleted"),
            Err(error) => log::warn!(error:% = error; "lots: the sweep failed"),
        }
        let now: Timestamp = node.clock.now();
        let kept = node.settings.results_kept_s;
        node.lot_cache.borrow_mut().drop_unused(now, kept);
    }
}

async fn sweep<D: Dialect>(node: &Node<D>) -> Result<usize, StoreError> {
    let listed = node
        .store
        .range(KeyRange::Prefix(keys::all_data().to_owned()), 0)
        .await?;
    let kept = (node.settings.results_kept_s + RETENTION_MARGIN).as_millis() as u64;
    let oldest = unix_millis().saturating_sub(kept);
    let mut old = Vec::new();
    for pair in &listed.pairs {
        let is_head = pair.key.ends_with("/head");
        if is_head && from_json::<LotHead>(pair).is_ok_and(|it| is_old(&it, oldest)) {
            old.push(pair.key.trim_end_matches("head"));
        }
    }
    let is_due = |pair: &&KeyValue| old.iter().any(|it| pair.key.starts_with(it));
    let due: Vec<String> = listed
        .pairs
        .iter()
        .filter(is_due)
        .map(|it| it.key.clone())
        .collect();
    for keys in due.chunks(DELETIONS_PER_CALL) {
        let batch = WriteBatch {
            then: keys.iter().cloned().map(Write::Delete).collect(),
            ..WriteBatch::default()
        };
        node.store.transact(batch).await?;
    }
    Ok(due.len())
}

fn is_old(head: &LotHead, oldest: u64) -> bool {
    head.submitted.max(head.given_up) < oldest
}
