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

/// How far an order to retire has been carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RetireStage {
    /// There is no order.
    NotOrdered,
    /// The lots stay here until another daemon is there that runs lots.
    AwaitsSuccessor,
    /// Other daemons have the lots.
    Retired,
}

/// Follows orders to empty this VM until `stop` is cancelled.
///
/// A daemon keeps nothing on its disk, so that only the lots it runs have to be handed
/// over. The status is written to the store once that is done. The last daemon that runs lots
/// goes on with them and reports that the order is being carried out: its VM is removed as
/// soon as it reports more, and lots would be accepted that nobody runs.
pub async fn follow_retire_orders<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let mut stage = RetireStage::NotOrdered;
    while !stop.is_cancelled() {
        tokio::select! {
            () = tokio::time::sleep(POLL_INTERVAL) => {}
            () = stop.cancelled() => return,
        }
        if !node.is_ordered_to_retire() {
            node.is_retiring.set(false);
            stage = RetireStage::NotOrdered;
        } else if stage == RetireStage::Retired {
            continue;
        } else if node.has_lot_successor() {
            log::info!("retire: lots are handed on");
            node.is_retiring.set(true);
            tokio::time::sleep(HAND_OVER_DURATION).await;
            if report_status(&node, true).await {
                stage = RetireStage::Retired;
            }
        } else {
            // Another daemon may have left since this one began to hand its lots on.
            node.is_retiring.set(false);
            if stage == RetireStage::NotOrdered && report_status(&node, false).await {
                log::warn!("retire: no other daemon runs lots, so that they stay here");
                stage = RetireStage::AwaitsSuccessor;
            }
        }
    }
}

/// Writes whether the order has been carried out. Returns whether the store has it.
async fn report_status<D: Dialect>(node: &Node<D>, is_done: bool) -> bool {
    let (key, value) = <D::Records as FleetRecords>::retire_status(&node.settings.name, is_done);
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
