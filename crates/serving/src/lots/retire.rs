//! Emptying a VM that is to be taken away.

use std::{rc::Rc, time::Duration};

use comfreyramp_store::{PlatformStore, Write, WriteBatch};
use tokio_util::sync::CancellationToken;

use crate::{
    dialect::{Dialect, FleetRecords},
    node::Node,
};

/// How often it is looked whether there is an order.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Lots need this long to be handed on: their items are stopped at once, and
/// another daemon claims them.
const HAND_OVER_DURATION: Duration = Duration::from_millis(700);

/// Answers orders to empty this VM until `stop` is cancelled.
///
/// A daemon keeps nothing on its disk, so that only the lots which it runs have
/// to be handed on. The order is answered once that is done.
pub async fn follow_retire<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
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
            log::info!("retire: done");
            true
        }
        Err(error) => {
            log::warn!(error:% = error; "retire: the status can't be written");
            false
        }
    }
}
