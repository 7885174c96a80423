//! Requests that share a long part of their prompts.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet};

/// A part that an engine reads for about 140 ms.
const PART: &str = "c0ffee:20000";
/// How long daemons may take to follow a change of the settings or of the servers.
const CONTACT_TIME: Duration = Duration::from_millis(1_500);

/// Starts a fleet with eight engines that keep parts.
async fn wide_fleet() -> Fleet {
    let mut fleet = Fleet::new().await;
    fleet.put_engine_memory(72_000);
    for number in 3..9 {
        let zone = if number % 2 == 0 { "zone-1" } else { "zone-2" };
        fleet
            .add_engine(&format!("engine-{number}"), zone, "v1")
            .await;
    }
    let fleet = fleet.with_daemons().await;
    tokio::time::sleep(CONTACT_TIME).await;
    fleet
}

/// Sends a request with the part. Returns whether it was served.
async fn is_served(fleet: &Fleet, daemon: usize, id: &str, body: &str) -> bool {
    let path = format!("/drafts/{id}");
    let prompt = format!("{PART},{:x}:80", 7_000 + id.len());
    let call = CallerRequest::post(&path, id, body.as_bytes()).header("x-prompt-prefix", &prompt);
    let response = fleet.send(daemon, call).await;
    response.is_ok_and(|it| it.status() == StatusCode::OK)
}

/// Returns how many requests with this prefix of their ids each server has received.
fn received(fleet: &Fleet, prefix: &str) -> Vec<usize> {
    let count = |server: usize| {
        let arrivals = fleet.servers[server].arrivals();
        let of_prefix = arrivals
            .iter()
            .filter(|it| it.request_id.starts_with(prefix));
        of_prefix.count()
    };
    (0..fleet.servers.len()).map(count).collect()
}

/// Sends requests one after the other to both daemons.
async fn send_in_turn(fleet: &Fleet, prefix: &str, count: usize) {
    for number in 0..count {
        let id = format!("{prefix}-{number}");
        assert!(is_served(fleet, number % 2, &id, "takes 40").await);
    }
}

fn busiest(received: &[usize]) -> usize {
    let servers = 0..received.len();
    servers.max_by_key(|it| received[*it]).unwrap()
}

/// Guards against a part that each server reads anew, against daemons that choose different
/// servers for it, and against one that stays with a server that is gone.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_long_part_go_to_the_same_server() {
    let fleet = wide_fleet().await;
    send_in_turn(&fleet, "first", 16).await;
    let first = received(&fleet, "first");
    let own = busiest(&first);
    assert!(first[own] >= 15, "{first:?}");

    fleet.servers[own].register(&fleet.store, "draining");
    tokio::time::sleep(CONTACT_TIME).await;
    send_in_turn(&fleet, "second", 16).await;
    let second = received(&fleet, "second");
    assert_eq!(second[own], 0, "{second:?}");
    assert!(second[busiest(&second)] >= 15, "{second:?}");
}

/// Guards against requests that wait at the server of their part, or are refused, while
/// others have room.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_long_part_go_elsewhere_where_their_server_is_full() {
    let fleet = wide_fleet().await;
    send_in_turn(&fleet, "first", 6).await;
    let ids: Vec<String> = (0..24).map(|it| format!("burst-{it}")).collect();
    let sending = ids.iter().map(|id| is_served(&fleet, 0, id, "takes 600"));
    let served = futures::future::join_all(sending).await;
    let burst = received(&fleet, "burst");
    let served = served.iter().filter(|it| **it).count();
    assert_eq!(served, 24, "{burst:?}");
    let most = burst[busiest(&burst)];
    assert!((4..=9).contains(&most), "{burst:?}");
}

/// Guards against small parts that draw requests to one server.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_small_parts_are_spread() {
    let fleet = wide_fleet().await;
    for number in 0..24 {
        let id = format!("small-{number}");
        let path = format!("/drafts/{id}");
        let call =
            CallerRequest::post(&path, &id, b"takes 40").header("x-prompt-prefix", "d1:100,e1:80");
        let response = fleet.send(number % 2, call).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
    }
    let small = received(&fleet, "small");
    assert!(small[busiest(&small)] <= 14, "{small:?}");
}
