//! Most new connections of a region come to one daemon for some seconds.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_stream};

/// The time between two requests, each on a new connection.
const REQUEST_INTERVAL: Duration = Duration::from_millis(12);
const REQUESTS: usize = 250;

/// Sends requests to the daemons that `daemon_of` names, each on a connection of its own, and
/// returns how many are served at their first attempt.
async fn served(fleet: &Fleet, prefix: &str, daemon_of: impl Fn(usize) -> usize) -> usize {
    let mut sending = tokio::task::JoinSet::new();
    for number in 0..REQUESTS {
        let callers = fleet.callers().with_new_connections();
        let daemon = daemon_of(number);
        let id = format!("{prefix}-{number}");
        sending.spawn(async move {
            let call = CallerRequest::post("/drafts/1", &id, b"verse");
            let response = callers.send(daemon, call).await;
            let is_whole = |body: &[u8]| body == expected_stream().as_bytes();
            response.is_ok_and(|it| it.status() == StatusCode::OK && is_whole(it.body()))
        });
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    let outcomes = sending.join_all().await;
    outcomes.into_iter().filter(|it| *it).count()
}

/// Guards against a daemon that serves fewer of its requests once it gets those of all others.
#[tokio::test(flavor = "multi_thread")]
async fn most_requests_are_served_when_they_come_to_one_daemon() {
    let mut fleet = Fleet::new().await;
    for number in 3..7 {
        let zone = if number % 2 == 0 { "zone-1" } else { "zone-2" };
        fleet
            .add_engine(&format!("engine-{number}"), zone, "v1")
            .await;
    }
    let mut fleet = fleet.with_daemons().await;
    fleet.add_daemon("entry-3", "zone-2", true).await;
    fleet.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let entries = [0, 1, 3];
    let before = served(&fleet, "spread", |it| entries[it % entries.len()]).await;
    let busy = served(&fleet, "busy", |it| if it % 20 == 0 { 1 } else { 0 }).await;
    assert!(before * 10 >= REQUESTS * 9, "{before} of {REQUESTS} before");
    assert!(
        busy * 4 >= before * 3,
        "{busy} of {REQUESTS} at one daemon, {before} before"
    );
}
