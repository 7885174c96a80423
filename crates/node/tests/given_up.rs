//! Items are given up only with the evidence that permits it.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use fleet::{Fleet, HOST, item};
use serde_json::{Value, json};
use tokio_util::sync::{CancellationToken, DropGuard};

/// The index of the only daemon that runs lots.
const LOT_DAEMON: usize = 2;
/// How long items are kept.
const RETENTION: Duration = Duration::from_secs(4);
/// How often a server may fail at an item, according to the routes in the fleet's settings.
const ATTEMPTS: usize = 2;
/// How much later than its retention permits an item may be given up.
const MAX_DELAY: Duration = Duration::from_secs(3);

/// A fleet whose only engine answers by a script.
struct ScriptedFleet {
    fleet: Fleet,
    server: Arc<ScriptedServer>,
    _stop: DropGuard,
}

impl ScriptedFleet {
    async fn start(
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> ScriptedFleet {
        let mut fleet = Fleet::started().await;
        fleet.put_retention(RETENTION.as_secs());
        let stop = CancellationToken::new();
        let server = ScriptedServer::start("scripted-1", script, stop.clone());
        let server = server.await.unwrap();
        server.register("drafts", "zone-1", &fleet.store);
        for engine in &fleet.servers[..2] {
            engine.register(&fleet.store, "draining");
        }
        // All daemons follow the settings and the list of servers.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        ScriptedFleet {
            fleet,
            server,
            _stop: stop.drop_guard(),
        }
    }

    /// Submits a lot of one item, and returns how long after its submission the item's
    /// result could be read first, and the result.
    async fn run_item(&self, lot: &str) -> (Duration, Value) {
        let submitted_at = Instant::now();
        let status = self.fleet.submit_lot(0, lot, &["one"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        let page = self.fleet.read_finished_lot(0, lot).await;
        (submitted_at.elapsed(), page["results"][0].clone())
    }
}

fn assert_kept(after: Duration, result: &Value) {
    assert_eq!(result["state"], "dead_letter");
    assert!(after >= RETENTION, "given up after {after:?}");
    assert!(after < RETENTION + MAX_DELAY, "given up after {after:?}");
}

fn body_of_failure() -> &'static [u8] {
    b"the server failed"
}

/// An item that no server has a slot for must be kept until its retention has passed.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_without_a_slot_is_kept_until_its_retention_has_passed() {
    let script = |it: &ScriptedRequest| ScriptedAnswer::not_run(503, it.request.id());
    let fleet = ScriptedFleet::start(script).await;
    let (after, result) = fleet.run_item("lot-full").await;
    assert_kept(after, &result);
}

/// A status other than 500 doesn't say that a server ran an item and failed, so it must not
/// count as a failure of the item.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_kept_where_servers_answer_with_other_failures() {
    for status in [502, 504] {
        let script = move |it: &ScriptedRequest| {
            ScriptedAnswer::whole(status, it.request.id(), body_of_failure())
        };
        let fleet = ScriptedFleet::start(script).await;
        let (after, result) = fleet.run_item("lot-other").await;
        assert_kept(after, &result);
    }
}

/// A failure whose answer is cut off is no answer, and must not count as one.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_kept_where_failures_are_cut_off() {
    for status in [500, 422] {
        let script = move |it: &ScriptedRequest| {
            ScriptedAnswer::cut(status, it.request.id(), body_of_failure())
        };
        let fleet = ScriptedFleet::start(script).await;
        let (after, result) = fleet.run_item("lot-cut").await;
        assert_kept(after, &result);
        assert!(fleet.server.requests().len() > ATTEMPTS);
    }
}

/// An item at which servers fail, whole answer by whole answer, must be given up after as
/// many runs as its route permits, and one that can never be done after one.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_given_up_after_whole_answers() {
    for (status, runs) in [(500, ATTEMPTS), (422, 1)] {
        let script = move |it: &ScriptedRequest| {
            ScriptedAnswer::whole(status, it.request.id(), body_of_failure())
        };
        let fleet = ScriptedFleet::start(script).await;
        let (after, result) = fleet.run_item("lot-fails").await;
        assert_eq!(result["state"], "dead_letter");
        assert!(after < RETENTION, "given up after {after:?}");
        assert_eq!(fleet.server.requests().len(), runs);
    }
}

/// A lot whose head states times by a clock that is behind must be kept as long as others.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_is_kept_although_the_clock_of_its_acceptance_was_behind() {
    let script = |it: &ScriptedRequest| ScriptedAnswer::not_run(503, it.request.id());
    let fleet = ScriptedFleet::start(script).await;
    let written_at = Instant::now();
    write_lot(&fleet.fleet, "lot-behind", Duration::from_secs(10));
    let page = fleet.fleet.read_finished_lot(0, "lot-behind").await;
    assert_kept(written_at.elapsed(), &page["results"][0]);
}

/// Writes the records of a lot as a daemon does that accepts it while its clock is behind.
fn write_lot(fleet: &Fleet, lot: &str, behind: Duration) {
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - behind;
    let submitted = clock.as_millis() as u64;
    let item = item(lot, 0, "one");
    let items = json!([{
        "id": item["id"], "path": item["path"], "headers": [["X-Model", "m"]],
        "body": item["body"], "tokens": 10,
    }]);
    let head = json!({
        "customer": "press", "host": HOST, "total": 1, "attempts": ATTEMPTS,
        "submitted": submitted, "due": submitted + 15_000,
        "given_up": submitted + RETENTION.as_millis() as u64, "route": "/lots/",
    });
    let mark = json!({
        "due": submitted + 15_000, "customer": "press", "route": "/lots/", "tokens": 10,
    });
    let put = |key: String, value: &Value| fleet.store.put(&key, value.to_string().as_bytes());
    put(format!("lots/data/{lot}/items/000"), &items);
    put(format!("lots/data/{lot}/head"), &head);
    put(format!("lots/open/{lot}"), &mark);
}

/// A daemon that takes a lot over must go on from the age that the one before it wrote, so
/// that a lot isn't kept anew by each of them.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_that_changes_its_daemon_is_not_kept_anew() {
    let script = |it: &ScriptedRequest| ScriptedAnswer::not_run(503, it.request.id());
    let mut fleet = ScriptedFleet::start(script).await;
    let submitted_at = Instant::now();
    let status = fleet.fleet.submit_lot(0, "lot-moves", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    tokio::time::sleep(RETENTION.mul_f64(0.75)).await;
    fleet.fleet.terminate(LOT_DAEMON);
    assert!(fleet.fleet.exits_cleanly(LOT_DAEMON).await);
    fleet.fleet.restart(LOT_DAEMON);
    let page = fleet.fleet.read_finished_lot(0, "lot-moves").await;
    assert_kept(submitted_at.elapsed(), &page["results"][0]);
}
