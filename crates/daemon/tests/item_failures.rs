//! Which answers of engines count against an item of a lot.

#![allow(clippy::unwrap_used, reason = "a panic fails the test")]

mod lot_calls;
mod support;

use std::sync::{Arc, Mutex};

use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use lot_calls::{LotCaller, input};
use serde_json::{Value, json};
use support::{FleetPlan, TestFleet, vm};
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
    let fleet = TestFleet::start(FleetPlan {
        engines: Vec::new(),
        ..FleetPlan::default()
    })
    .await;
    let stop = CancellationToken::new();
    let _stopped = stop.clone().drop_guard();
    // The lengths of the requests for the item. Those that differ from the first are probes.
    let lengths = Arc::new(Mutex::new(Vec::new()));
    let chosen_lengths = lengths.clone();
    let answer = move |it: &ScriptedRequest| match it.request.id() {
        "" => ScriptedAnswer::whole(200, "", b"{}")
            .header("x-engine-running", "0")
            .header("x-engine-waiting", "0")
            .header("x-engine-batch", "16"),
        id if id.contains(CHOSEN_ITEM) => {
            let mut lengths = chosen_lengths.lock().unwrap();
            let is_probe = lengths.first().is_some_and(|first| first != length(it));
            if is_probe || lengths.len() == RUNS {
                return whole(it);
            }
            lengths.push(length(it).to_owned());
            script(it)
        }
        _ => whole(it),
    };
    let server = ScriptedServer::start("scripted-1", answer, stop)
        .await
        .unwrap();
    let listed = vm("scripted-1", "zone-1", "engines", server.address);
    fleet.platform.put_vm(listed);
    let caller = LotCaller::new(&fleet, 0);
    let file = caller.upload(&input(ITEMS, 4)).await;
    let lot = caller.create(&file).await;
    let lot = caller
        .wait_for(lot["id"].as_str().unwrap(), "completed")
        .await;
    let runs = lengths.lock().unwrap().len();
    assert_eq!(runs, RUNS, "the item failed too seldom");
    lot["request_counts"].clone()
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
