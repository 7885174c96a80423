//! Zones whose daemons have all left, while their servers work on.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_stream};

/// The only daemon of the second zone.
const LEAVING_DAEMON: usize = 1;
/// The engines of the first zone and of the second.
const NEAR_ENGINE: usize = 0;
const FAR_ENGINE: usize = 1;
/// How long after the loss of daemons the others count as undisturbed.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// How long after their submission users wait for the results of items.
const MAX_COMPLETION: Duration = Duration::from_secs(18);

/// How a daemon leaves for good.
#[derive(Clone, Copy, Debug)]
enum Departure {
    PlannedStop,
    Kill,
}

/// Starts a fleet whose second zone loses its only daemon.
async fn fleet_without_far_daemon(departure: Departure) -> Fleet {
    let mut fleet = Fleet::started().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    match departure {
        Departure::PlannedStop => {
            fleet.terminate(LEAVING_DAEMON);
            assert!(fleet.exits_cleanly(LEAVING_DAEMON).await);
        }
        Departure::Kill => fleet.kill(LEAVING_DAEMON),
    }
    tokio::time::sleep(CONTACT_TIME).await;
    fleet
}

/// Guards against items that never run, since their servers are in a zone that counts as cut
/// off once its last daemon has left.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_at_servers_of_a_zone_without_daemons() {
    for departure in [Departure::PlannedStop, Departure::Kill] {
        let fleet = fleet_without_far_daemon(departure).await;
        fleet.servers[NEAR_ENGINE].register(&fleet.store, "draining");
        let submitted_at = Instant::now();
        let status = fleet.submit_lot(0, "lot-1", &["one", "two"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        let page = fleet.read_finished_lot(0, "lot-1").await;
        assert!(submitted_at.elapsed() < MAX_COMPLETION, "{departure:?}");
        assert_eq!(page["results"][0]["state"], "done", "{departure:?}");
    }
}

/// Guards against a zone whose servers stay idle beside full ones of other zones, since its
/// last daemon has left.
#[tokio::test(flavor = "multi_thread")]
async fn live_requests_use_the_servers_of_a_zone_without_daemons() {
    for departure in [Departure::PlannedStop, Departure::Kill] {
        let fleet = fleet_without_far_daemon(departure).await;
        let far = &fleet.servers[FAR_ENGINE];
        let before = far.arrivals().len();
        let mut sending = tokio::task::JoinSet::new();
        for number in 0..12 {
            let callers = fleet.callers();
            sending.spawn(async move {
                let id = format!("live-{number}");
                let call = CallerRequest::post("/drafts/1", &id, b"verse");
                let response = callers.send(0, call).await;
                response.is_ok_and(|it| it.body() == &expected_stream())
            });
        }
        let served = sending.join_all().await;
        assert!(served.iter().all(|it| *it), "{departure:?}: {served:?}");
        let used = far.arrivals().len() - before;
        assert!(used > 0, "{departure:?}: the zone's server is idle");
    }
}
