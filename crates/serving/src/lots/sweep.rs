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
    let list = async |prefix: &str| {
        let range = KeyRange::Prefix(prefix.to_owned());
        node.store.range(range, 0).await
    };
    // A lot that is accepted between the two lists has no data in the first.
    let data = list(keys::all_data()).await?;
    let open = list(keys::OPEN).await?;
    let kept = (node.settings.results_kept_s + RETENTION_MARGIN).as_millis() as u64;
    let oldest = unix_millis().saturating_sub(kept);
    let due = keys_to_sweep(&data.pairs, &open.pairs, oldest);
    for keys in due.chunks(DELETIONS_PER_CALL) {
        let batch = WriteBatch {
            then: keys.iter().cloned().map(Write::Delete).collect(),
            ..WriteBatch::default()
        };
        node.store.transact(batch).await?;
    }
    Ok(due.len())
}

/// Returns the keys of the lots that ended before `oldest`, in Unix milliseconds, as far as
/// wall clocks tell. A lot with an open mark hasn't ended, whatever they tell.
pub fn keys_to_sweep(data: &[KeyValue], open: &[KeyValue], oldest: u64) -> Vec<String> {
    let mut old = Vec::new();
    for pair in data {
        let Some(folder) = pair.key.strip_suffix("head") else {
            continue;
        };
        let lot = folder.strip_prefix(keys::all_data());
        let mark = lot.map(|it| keys::open(it.trim_end_matches('/')));
        let is_open = open.iter().any(|it| Some(&it.key) == mark.as_ref());
        if !is_open && from_json::<LotHead>(pair).is_ok_and(|it| is_old(&it, oldest)) {
            old.push(folder);
        }
    }
    let is_due = |pair: &&KeyValue| old.iter().any(|it| pair.key.starts_with(it));
    let due = data.iter().filter(is_due);
    due.map(|it| it.key.clone()).collect()
}

fn is_old(head: &LotHead, oldest: u64) -> bool {
    head.submitted.max(head.given_up) < oldest
}
