//! Which answers of engines count against an item of a lot.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod lot_calls;
mod support;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyramp_http::Method;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use lot_calls::{LotCaller, input};
use serde_json::{Value, json};
use support::{FleetPlan, KEY, TestFleet, WAIT_TIMEOUT, chat, vm};
use tokio_util::sync::CancellationToken;

/// How many items the lot has.
const ITEMS: usize = 20;
/// A part of the id of the item whose runs a test answers by its script.
const CHOSEN_ITEM: &str = "_0_3";
/// How often an item may fail on its own account.
const RUNS: usize = 3;

/// Returns the whole answer to a request of this length, which bears `id`.
fn answer(id: &str, length: &str) -> ScriptedAnswer {
    let event = json!({
        "id": "c", "created": 0, "model": "demo-model",
        "choices": [{ "delta": { "content": format!("to {length} bytes") } }],
    });
    let events = format!("data: {event}\n\ndata: [DONE]\n\n");
    ScriptedAnswer::stream(id, events.as_bytes())
}

fn length(it: &ScriptedRequest) -> &str {
    it.request.header("content-length")
}

fn whole(it: &ScriptedRequest) -> ScriptedAnswer {
    answer(it.request.id(), length(it))
}

/// Runs a lot at one engine, which answers the first runs of one item by `script`. Returns the
/// counts of the items.
async fn run_lot(
    script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
) -> Value {
    // The lengths of the requests for the item. Those that differ from the first are probes.
    let lengths = Arc::new(Mutex::new(Vec::new()));
    let chosen_lengths = lengths.clone();
    let chosen = move |it: &ScriptedRequest| {
        let mut lengths = chosen_lengths.lock().unwrap();
        let is_probe = lengths.first().is_some_and(|first| first != length(it));
        if is_probe || lengths.len() == RUNS {
            return whole(it);
        }
        lengths.push(length(it).to_owned());
        script(it)
    };
    let (lot, _) = run_lot_at(chosen).await;
    let runs = lengths.lock().unwrap().len();
    assert_eq!(runs, RUNS, "the item failed too seldom");
    lot["request_counts"].clone()
}

/// Runs a lot at one engine, which answers the requests for one item by `chosen`. Returns the
/// lot and its output.
async fn run_lot_at(
    chosen: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
) -> (Value, String) {
    let fleet = TestFleet::start(FleetPlan {
        engines: Vec::new(),
        ..FleetPlan::default()
    })
    .await;
    let stop = CancellationToken::new();
    let _stopped = stop.clone().drop_guard();
    let answer = move |it: &ScriptedRequest| match it.request.id() {
        "" => ScriptedAnswer::whole(200, "", b"{}")
            .header("x-engine-running", "0")
            .header("x-engine-waiting", "0")
            .header("x-engine-batch", "16"),
        id if id.contains(CHOSEN_ITEM) => chosen(it),
        _ => whole(it),
    };
    let server = ScriptedServer::start("scripted-1", answer, stop)
        .await
        .unwrap();
    let listed = vm("scripted-1", "zone-1", "engines", server.address);
    fleet.platform.put_vm(listed);
    wait_until_served(&fleet).await;
    let caller = LotCaller::new(&fleet, 0);
    let file = caller.upload(&input(ITEMS, 4)).await;
    let lot = caller.create(&file).await;
    let lot = caller
        .wait_for(lot["id"].as_str().unwrap(), "completed")
        .await;
    let output = lot["output_file_id"].as_str().unwrap();
    let path = format!("/v1/files/{output}/content");
    let output = caller.send(Method::GET, &path, String::new()).await.text();
    (lot, output)
}

/// Waits until the engine is known and the customer's rate has settled.
async fn wait_until_served(fleet: &TestFleet) {
    let deadline = tokio::time::Instant::now() + WAIT_TIMEOUT;
    while !fleet
        .chat(0, KEY, &chat("a", 4, true))
        .await
        .status
        .is_success()
    {
        assert!(tokio::time::Instant::now() < deadline, "never served");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// An engine that is full hasn't run the item. An item that came at busy moments must not be
/// given up for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_kept_while_engines_have_no_room_for_it() {
    for (status, body) in [(429, "{}"), (503, "{}"), (503, "upstream is full")] {
        let script = move |it: &ScriptedRequest| {
            ScriptedAnswer::whole(status, it.request.id(), body.as_bytes())
        };
        let counts = run_lot(script).await;
        assert_eq!(counts["completed"], ITEMS, "{status} {body}: {counts}");
    }
}

/// An answer to another request says nothing about the item, which must not be given up for it.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_is_kept_where_other_requests_are_answered_in_its_place() {
    let script = |it: &ScriptedRequest| match it.previous_id.as_deref() {
        None | Some("") => ScriptedAnswer::whole(503, it.request.id(), b"{}"),
        Some(id) => ScriptedAnswer::whole(500, id, b"{}"),
    };
    let counts = run_lot(script).await;
    assert_eq!(counts["completed"], ITEMS, "{counts}");
}

/// An item that a server ran and failed at, each time while others succeed, must be given up:
/// its lot would never end.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_that_fails_alone_is_given_up() {
    let script = |it: &ScriptedRequest| ScriptedAnswer::whole(500, it.request.id(), b"{}");
    let counts = run_lot(script).await;
    assert_eq!(counts["completed"], ITEMS - 1, "{counts}");
    assert_eq!(counts["failed"], 1, "{counts}");
}

/// The late answer to a probe, which is sent in place of an item's run, must not be recorded as
/// the item's result.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_to_a_probe_is_not_recorded_as_the_result_of_the_item() {
    let received: Arc<Mutex<Vec<(String, String)>>> = Arc::default();
    let requests = received.clone();
    let chosen = move |it: &ScriptedRequest| {
        let mut requests = requests.lock().unwrap();
        let earlier = requests
            .iter()
            .rfind(|(id, _)| Some(id) == it.previous_id.as_ref());
        let late = earlier.map(|(id, length)| answer(id, length));
        let is_first = requests.is_empty();
        requests.push((it.request.id().to_owned(), length(it).to_owned()));
        match late {
            _ if is_first => ScriptedAnswer::whole(500, it.request.id(), b"{}"),
            Some(late) => late.then(&whole(it)),
            None => whole(it),
        }
    };
    let (_, output) = run_lot_at(chosen).await;
    let received = received.lock().unwrap();
    let item_length = &received[0].1;
    assert_ne!(&received[1].1, item_length, "no probe was sent");
    let mut lines = output.lines();
    let line = lines.find(|it| it.contains("\"item-3\"")).unwrap();
    assert!(line.contains(&format!("to {item_length} bytes")), "{line}");
}
