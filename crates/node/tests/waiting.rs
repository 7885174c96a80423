//! Live requests that wait at the daemon while all servers are full.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet};
use tokio::task::JoinSet;

/// The slots of the only engine that is left.
const SLOTS: usize = 8;

/// Starts a fleet whose daemons have a queue, and drains the second of its engines.
async fn fleet_with_one_engine() -> Fleet {
    let fleet = Fleet::new().await.with_live_queue().with_daemons().await;
    fleet.servers[1].register(&fleet.store, "draining");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet
}

type Statuses = JoinSet<(String, Option<StatusCode>)>;

/// Sends a stream that takes `millis` to the first daemon.
fn send(fleet: &Fleet, sending: &mut Statuses, path: &'static str, id: String, millis: u64) {
    let callers = fleet.callers().with_new_connections();
    sending.spawn(async move {
        let body = format!("takes {millis}");
        let call = CallerRequest::post(path, &id, body.as_bytes());
        let response = callers.send(0, call).await;
        (id.clone(), response.ok().map(|it| it.status()))
    });
}

/// Fills the engine with streams that end one after the other from `millis` on.
async fn fill(fleet: &Fleet, sending: &mut Statuses, millis: u64) {
    for number in 0..SLOTS {
        let id = format!("full-{number}");
        send(fleet, sending, "/drafts/1", id, millis + 60 * number as u64);
    }
    fleet
        .eventually("the engine is full", async || {
            ran(fleet, "full").len() == SLOTS
        })
        .await;
}

/// Returns the requests that the engine received, in order, whose ids have a prefix.
fn ran(fleet: &Fleet, prefix: &str) -> Vec<String> {
    let arrivals = fleet.servers[0].arrivals().into_iter();
    let ids = arrivals.map(|it| it.request_id);
    ids.filter(|it| it.starts_with(prefix)).collect()
}

async fn wait_until_waiting(fleet: &Fleet, count: usize) {
    let line = format!("comfreyramp_waiting {count}\n");
    let what = format!("{count} requests wait");
    let holds = async || fleet.metrics(0).await.contains(&line);
    fleet.eventually(&what, holds).await;
}

/// Guards against requests of a lower rank that start first because they came first.
#[tokio::test(flavor = "multi_thread")]
async fn a_higher_rank_starts_first() {
    let fleet = fleet_with_one_engine().await;
    let mut sending = JoinSet::new();
    fill(&fleet, &mut sending, 1_000).await;
    for number in 0..3 {
        send(
            &fleet,
            &mut sending,
            "/once/1",
            format!("wait-low-{number}"),
            600,
        );
    }
    wait_until_waiting(&fleet, 3).await;
    for number in 0..3 {
        send(
            &fleet,
            &mut sending,
            "/drafts/1",
            format!("wait-high-{number}"),
            600,
        );
    }
    wait_until_waiting(&fleet, 6).await;
    assert_eq!(ran(&fleet, "wait"), Vec::<String>::new());
    let statuses = sending.join_all().await;
    let is_served = |it: &(String, Option<StatusCode>)| it.1 == Some(StatusCode::OK);
    assert!(statuses.iter().all(is_served), "{statuses:?}");
    let order = ran(&fleet, "wait");
    assert!(
        order[..3].iter().all(|it| it.starts_with("wait-high")),
        "{order:?}"
    );
}

/// Guards against requests that run although their caller has left while they waited.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_leaves_is_removed() {
    let fleet = fleet_with_one_engine().await;
    let mut sending = JoinSet::new();
    fill(&fleet, &mut sending, 1_000).await;
    let mut leaving = JoinSet::new();
    send(
        &fleet,
        &mut leaving,
        "/drafts/1",
        "wait-left".to_owned(),
        100,
    );
    wait_until_waiting(&fleet, 1).await;
    leaving.shutdown().await;
    wait_until_waiting(&fleet, 0).await;
    sending.join_all().await;
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(ran(&fleet, "wait"), Vec::<String>::new());
    let metrics = fleet.metrics(0).await;
    let line = "comfreyramp_waits_seconds_count{end=\"left\"} 1\n";
    assert!(metrics.contains(line), "{metrics}");
}

/// Guards against requests that run, or were told to have run, although they waited at a
/// daemon that was killed.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_daemon_has_run_nothing_of_what_waited() {
    let mut fleet = fleet_with_one_engine().await;
    let mut sending = JoinSet::new();
    fill(&fleet, &mut sending, 1_500).await;
    for number in 0..10 {
        send(
            &fleet,
            &mut sending,
            "/drafts/1",
            format!("wait-{number}"),
            100,
        );
    }
    wait_until_waiting(&fleet, 10).await;
    fleet.kill(0);
    let statuses = sending.join_all().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(ran(&fleet, "wait"), Vec::<String>::new());
    let waited = statuses.iter().filter(|it| it.0.starts_with("wait"));
    assert!(waited.clone().all(|it| it.1.is_none()), "{statuses:?}");
}

/// Guards against callers that are told times at which they are refused again.
#[tokio::test(flavor = "multi_thread")]
async fn a_refused_caller_is_served_at_the_time_it_is_told() {
    let fleet = fleet_with_one_engine().await;
    let mut sending = JoinSet::new();
    fill(&fleet, &mut sending, 2_300).await;
    let callers = fleet.callers().with_new_connections();
    let sent_at = tokio::time::Instant::now();
    let call = CallerRequest::post("/drafts/1", "first", b"takes 100");
    let response = callers.send(0, call).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(sent_at.elapsed() < Duration::from_millis(1_700));
    let told = response.headers().get("retry-after").unwrap();
    let told: f64 = told.to_str().unwrap().parse().unwrap();
    assert!((0.25..2.5).contains(&told), "{told}");
    assert_eq!(ran(&fleet, "first"), Vec::<String>::new());
    tokio::time::sleep(Duration::from_secs_f64(told)).await;
    let left = Duration::from_secs(5).saturating_sub(sent_at.elapsed());
    let left = left.as_millis().to_string();
    let call = CallerRequest::post("/drafts/1", "second", b"takes 100");
    let call = call.header("x-deadline-ms", &left);
    let response = callers.send(1, call).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    sending.join_all().await;
}
