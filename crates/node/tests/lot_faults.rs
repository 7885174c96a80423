//! Items that fail on servers while the daemons that run them are lost and restarted.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::Fleet;

/// The index of the only daemon that runs lots.
const LOT_DAEMON: usize = 2;
/// How often a server may fail at an item, according to the routes in the fleet's settings.
const ATTEMPTS: usize = 2;

/// An item fails on every server, and the daemon that runs its lot is lost after each
/// failure. If its successor didn't know of the failures and started counting anew, the
/// item would keep wearing servers out, and its customer would never learn that it was
/// given up.
#[tokio::test(flavor = "multi_thread")]
async fn failures_of_an_item_are_kept_when_its_daemon_is_lost() {
    let mut fleet = Fleet::started().await;
    let status = fleet.submit_lot(0, "lot-f", &["fails"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    for loss in 1..=2 * ATTEMPTS {
        let run_count = |fleet: &Fleet| -> usize {
            let arrivals = fleet.servers.iter().map(|it| it.arrivals().len());
            arrivals.sum()
        };
        fleet
            .eventually("the item runs once more, or is given up", async || {
                let is_listed = !fleet.store.keys("lots/data/lot-f/results/").is_empty();
                run_count(&fleet) >= loss || is_listed
            })
            .await;
        // By now the failure is known and recorded, and the next attempt hasn't started.
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.kill(LOT_DAEMON);
        fleet.restart(LOT_DAEMON);
    }
    let page = fleet.read_finished_lot(0, "lot-f").await;
    assert_eq!(page["results"][0]["state"], "dead_letter");
    let arrivals: usize = fleet.servers.iter().map(|it| it.arrivals().len()).sum();
    assert_eq!(arrivals, ATTEMPTS);
}
