//! Prepares a VM for its removal by handing its lots over to other daemons.

use std::{rc::Rc, time::Duration};

use comfreyramp_store::{PlatformStore, Write, WriteBatch};
use tokio_util::sync::CancellationToken;

use crate::{
    dialect::{Dialect, FleetRecords},
    node::Node,
};

/// Interval at which the daemon checks for an order to retire.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Time that the hand-over of all lots takes: their items are stopped at once, and other
/// daemons claim them.
const HAND_OVER_DURATION: Duration = Duration::from_millis(700);

/// Follows orders to empty this VM until `stop` is cancelled.
///
/// A daemon keeps nothing on its disk, so that only the lots it runs have to be handed
/// over. The status is written to the store once that is done.
pub async fn follow_retire_orders<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let mut is_reported = false;
    while !stop.is_cancelled() {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        let is_ordered = node.is_ordered_to_retire();
        if !is_ordered && is_reported {
            is_reported = false;
            node.is_retiring.set(false);
        }
        if !is_ordered || is_reported {
            continue;
        }
        log::info!("retire: lots are handed on");
        node.is_retiring.set(true);
        tokio::time::sleep(HAND_OVER_DURATION).await;
        is_reported = report_retired(&node).await;
    }
}

async fn report_retired<D: Dialect>(node: &Node<D>) -> bool {
    let (key, value) = <D::Records as FleetRecords>::retire_status(&node.settings.name, true);
    let batch = WriteBatch {
        then: vec![Write::Put {
            key,
            value,
            lease: None,
        }],
        ..WriteBatch::default()
    };
    match node.store.transact(batch).await {
        Ok(_) => {
            log::info!("retire: the status is written");
            true
        }
        Err(error) => {
            log::warn!(error:% = error; "retire: the status can't be written");
            false
        }
    }
}
