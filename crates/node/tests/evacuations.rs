//! Zones that are evacuated, and servers that are cold.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::BackendArrival;
use fleet::{CallerRequest, Fleet};
use serde_json::json;

/// How long an order of the operators may take until it is in force.
const ORDER_IN_FORCE: Duration = Duration::from_secs(2);
/// The requests that a cold engine tolerates in a second.
const COLD_RATE: f64 = 10.0;

/// Sends streams to both entry daemons for a while and returns how many were answered.
async fn send_streams(fleet: &Fleet, tag: &str, duration: Duration) -> usize {
    let begin = Instant::now();
    let mut answered = 0;
    for number in 0.. {
        if begin.elapsed() >= duration {
            break;
        }
        let id = format!("{tag}-{number}");
        let request = CallerRequest::post("/drafts/1", &id, b"takes 24");
        let response = fleet.send(number % 2, request).await;
        answered += usize::from(response.is_ok_and(|it| it.status() == StatusCode::OK));
    }
    answered
}

fn arrivals_since(fleet: &Fleet, server: usize, since: Instant) -> Vec<BackendArrival> {
    let mut arrivals = fleet.servers[server].arrivals();
    arrivals.retain(|it| it.at >= since);
    arrivals
}

fn most_in_a_second(arrivals: &[BackendArrival]) -> usize {
    let count_from = |first: &BackendArrival| {
        let window = first.at..first.at + Duration::from_secs(1);
        arrivals.iter().filter(|it| window.contains(&it.at)).count()
    };
    arrivals.iter().map(count_from).max().unwrap_or(0)
}

/// Requests and items must not reach the servers of an evacuated zone, and a service whose
/// servers are all there has to be refused at once, with a time to come back.
#[tokio::test(flavor = "multi_thread")]
async fn an_evacuated_zone_gets_neither_requests_nor_items() {
    let fleet = Fleet::started().await;
    fleet.store.put("op/evacuate/zone-1", b"{}");
    fleet.store.put("op/evacuate/zone-of-nobody", b"{}");
    tokio::time::sleep(ORDER_IN_FORCE).await;
    let evacuated_at = Instant::now();
    assert!(send_streams(&fleet, "evacuated", Duration::from_secs(1)).await > 10);
    let status = fleet.submit_lot(0, "lot-e", &["one", "two", "three"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.read_finished_lot(1, "lot-e").await;
    let refused_from = Instant::now();
    let refused = fleet
        .send(0, CallerRequest::post("/proofs/1", "p1", b"state"))
        .await
        .unwrap();
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.headers().contains_key("retry-after"));
    assert!(refused_from.elapsed() < Duration::from_millis(500));
    for server in [0, 2] {
        let arrivals = arrivals_since(&fleet, server, evacuated_at);
        assert!(arrivals.is_empty(), "server {server}: {arrivals:?}");
    }
    fleet.store.remove("op/evacuate/zone-1");
    tokio::time::sleep(ORDER_IN_FORCE).await;
    assert!(send_streams(&fleet, "back", Duration::from_secs(1)).await > 10);
    assert!(!arrivals_since(&fleet, 0, evacuated_at).is_empty());
}

/// A daemon that starts during an evacuation must not send into the zone.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_starts_during_an_evacuation_obeys_it() {
    let mut fleet = Fleet::started().await;
    fleet.store.put("op/evacuate/zone-1", b"{}");
    tokio::time::sleep(ORDER_IN_FORCE).await;
    fleet.kill(0);
    fleet.restart(0);
    fleet.wait_ready().await;
    let ready_at = Instant::now();
    assert!(send_streams(&fleet, "restarted", Duration::from_secs(1)).await > 10);
    assert!(arrivals_since(&fleet, 0, ready_at).is_empty());
}

/// Engines that say in their entries that they are cold get no more than they tolerate,
/// however their time is written.
#[tokio::test(flavor = "multi_thread")]
async fn cold_engines_get_few_requests() {
    for cold_left_ms in [json!(3_000), json!(-1), json!(2_500.5)] {
        let mut fleet = Fleet::started().await;
        fleet.put_cold_rate(COLD_RATE);
        tokio::time::sleep(ORDER_IN_FORCE).await;
        let warm_from = Instant::now();
        send_streams(&fleet, "warm", Duration::from_millis(1_500)).await;
        let warm = most_in_a_second(&arrivals_since(&fleet, 0, warm_from));
        for server in &fleet.servers[..2] {
            server.register_cold(&fleet.store, "ready", &cold_left_ms);
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        let cold_from = Instant::now();
        let answered = send_streams(&fleet, "cold", Duration::from_millis(1_500)).await;
        assert!(answered > 0, "cold engines still serve");
        for server in [0, 1] {
            let cold = most_in_a_second(&arrivals_since(&fleet, server, cold_from));
            assert!(
                cold <= COLD_RATE as usize && cold < warm,
                "{cold_left_ms}: {cold} requests in a second, {warm} while warm"
            );
        }
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        let warm_again = Instant::now();
        let span = Duration::from_millis(1_500);
        // One sender alone sends too little on a busy machine.
        tokio::join!(
            send_streams(&fleet, "again", span),
            send_streams(&fleet, "beside", span)
        );
        let again = most_in_a_second(&arrivals_since(&fleet, 0, warm_again));
        assert!(again > COLD_RATE as usize, "{again} requests in a second");
    }
}
