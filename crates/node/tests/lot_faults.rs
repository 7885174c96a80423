//! Items that servers fail at, while the daemons that run them come and go.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "tests end where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::Fleet;

/// The place of the only daemon that runs lots.
const LOTS: usize = 2;
/// How often a server may fail at an item of the test fleet's routes, by its operators.
const ATTEMPTS: usize = 2;

/// Servers fail at an item whenever they run it, and the daemon that runs its lot is
/// lost after each failure. Its successor knows of none and begins to count anew: the
/// item goes on wearing servers out, and its customer never hears that it was given up.
#[tokio::test(flavor = "multi_thread")]
async fn failures_of_an_item_count_on_when_its_daemon_is_lost() {
    let mut fleet = Fleet::started().await;
    let status = fleet.hand_in(0, "lot-f", &["fails"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    for lost in 1..=2 * ATTEMPTS {
        let runs = |fleet: &Fleet| -> usize {
            let arrivals = fleet.runners.iter().map(|it| it.arrivals().len());
            arrivals.sum()
        };
        fleet
            .eventually("it runs once more, or is given up", async || {
                let is_listed = !fleet.store.keys("lots/data/lot-f/results/").is_empty();
                runs(&fleet) >= lost || is_listed
            })
            .await;
        // The failure is known and noted by now, and the item not yet begun again.
        tokio::time::sleep(Duration::from_millis(150)).await;
        fleet.kill(LOTS);
        fleet.restart(LOTS);
    }
    let page = fleet.whole_lot(0, "lot-f").await;
    assert_eq!(page["results"][0]["state"], "dead_letter");
    let arrivals: usize = fleet.runners.iter().map(|it| it.arrivals().len()).sum();
    assert_eq!(arrivals, ATTEMPTS);
}
