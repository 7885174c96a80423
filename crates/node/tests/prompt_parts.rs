//! Requests with a part of their prompts that crashes the servers that answer them.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_output, expected_stream};
use serde_json::{Value, json};

/// The part that crashes servers.
const BAD_PART: &str = "bad0";
/// The part that all sound requests begin with.
const FIRST_PART: &str = "a1";
/// How long daemons may take to hear of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How many requests with the part may reach servers once daemons have heard of five crashes.
const MAX_LATE_RUNS: usize = 3;
/// The engines of the fleet: those of every fleet, and more.
const ENGINES: [usize; 8] = [0, 1, 3, 4, 5, 6, 7, 8];

/// Starts a fleet with eight engines and `entries` entry daemons.
async fn wide_fleet(entries: usize) -> Fleet {
    let mut fleet = Fleet::new().await;
    for number in 3..9 {
        let zone = if number % 2 == 0 { "zone-1" } else { "zone-2" };
        fleet
            .add_engine(&format!("engine-{number}"), zone, "v1")
            .await;
    }
    let mut fleet = fleet.with_daemons().await;
    for number in 2..entries {
        let zone = if number % 2 == 0 { "zone-1" } else { "zone-2" };
        fleet
            .add_daemon(&format!("entry-{}", number + 1), zone, true)
            .await;
    }
    fleet.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    fleet
}

/// Returns the daemons that serve callers.
fn entries(fleet: &Fleet) -> Vec<usize> {
    let daemons = 0..fleet.daemons.len();
    daemons
        .filter(|&it| fleet.daemons[it].caller_address.is_some())
        .collect()
}

/// Lets all engines crash at the part after some events.
fn set_crashing(fleet: &Fleet, after_events: u64) {
    for engine in ENGINES {
        let server = &fleet.servers[engine];
        server.set_crashing_part(BAD_PART, after_events, fleet.store.clone());
    }
}

/// Returns how many requests with the part have reached engines.
fn bad_runs(fleet: &Fleet) -> usize {
    let arrivals = fleet.servers.iter().flat_map(|it| it.arrivals());
    let is_bad = |prompt: &str| prompt.split(',').any(|it| it.starts_with(BAD_PART));
    let bad = arrivals.filter(|it| {
        let prompt = it.headers.get("x-prompt-prefix");
        prompt.is_some_and(|it| is_bad(it.to_str().unwrap()))
    });
    bad.count()
}

fn crashes(fleet: &Fleet) -> u32 {
    fleet.servers.iter().map(|it| it.crashes()).sum()
}

/// Sends a request with these parts and one of its own. Returns whether it was served whole.
async fn is_served(fleet: &Fleet, daemon: usize, id: &str, shared: &str) -> bool {
    let path = format!("/once/{id}");
    let prompt = format!(
        "{shared}:100,{:x}:50",
        id.len() * 7_919 + id.bytes().map(usize::from).sum::<usize>()
    );
    let call = CallerRequest::post(&path, id, id.as_bytes()).header("x-prompt-prefix", &prompt);
    let response = fleet.send(daemon, call).await;
    response.is_ok_and(|it| it.status() == StatusCode::OK && it.body() == &expected_stream())
}

/// Sends requests with the part, no two alike, to one daemon after the other until engines
/// have crashed five times, and waits until the daemons have heard of it. Returns how many
/// have reached engines.
async fn crash_five_times(fleet: &Fleet, daemons: &[usize], shared: &str) -> usize {
    for (number, daemon) in daemons.iter().cycle().enumerate().take(30) {
        if crashes(fleet) >= 5 {
            break;
        }
        assert!(!is_served(fleet, *daemon, &format!("early-{number}"), shared).await);
    }
    tokio::time::sleep(CONTACT_TIME).await;
    bad_runs(fleet)
}

/// Sends thirty requests with the part to all daemons, and checks how many reach engines.
async fn assert_few_late_runs(fleet: &Fleet, daemons: &[usize], shared: &str, early: usize) {
    for (number, daemon) in daemons.iter().cycle().enumerate().take(30) {
        assert!(!is_served(fleet, *daemon, &format!("late-{number}"), shared).await);
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let late = bad_runs(fleet) - early;
    assert!(late <= MAX_LATE_RUNS, "{late} requests reached engines");
}

/// Sends sound requests to all daemons and returns how many of twenty are served.
async fn served_of_twenty(fleet: &Fleet, prefix: &str) -> usize {
    let daemons = entries(fleet);
    let mut served = 0;
    for (number, daemon) in daemons.iter().cycle().enumerate().take(20) {
        let id = format!("{prefix}-{number}");
        let shared = format!("{FIRST_PART}:200,b{number}");
        served += usize::from(is_served(fleet, *daemon, &id, &shared).await);
    }
    served
}

/// Guards against a part that is sent on after it has crashed five servers, as no two of the
/// requests with it are alike.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_servers_is_not_sent_on() {
    let fleet = wide_fleet(2).await;
    set_crashing(&fleet, 0);
    let shared = format!("{FIRST_PART}:200,{BAD_PART}");
    let early = crash_five_times(&fleet, &entries(&fleet), &shared).await;
    assert_few_late_runs(&fleet, &entries(&fleet), &shared, early).await;
}

/// Guards against the same where the part is the first of its prompts.
#[tokio::test(flavor = "multi_thread")]
async fn a_first_part_that_crashes_servers_is_not_sent_on() {
    let fleet = wide_fleet(2).await;
    set_crashing(&fleet, 0);
    let early = crash_five_times(&fleet, &entries(&fleet), BAD_PART).await;
    assert_few_late_runs(&fleet, &entries(&fleet), BAD_PART, early).await;
    assert!(served_of_twenty(&fleet, "sound").await >= 19);
}

/// Guards against the same where servers crash after they have sent the first events.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_that_crashes_servers_after_the_first_event_is_not_sent_on() {
    let fleet = wide_fleet(2).await;
    set_crashing(&fleet, 2);
    let shared = format!("{FIRST_PART}:200,{BAD_PART}");
    let early = crash_five_times(&fleet, &entries(&fleet), &shared).await;
    assert_few_late_runs(&fleet, &entries(&fleet), &shared, early).await;
}

/// Guards against a part of which five daemons have seen one crash each.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_that_were_seen_by_five_daemons_are_counted_together() {
    let fleet = wide_fleet(5).await;
    set_crashing(&fleet, 0);
    let daemons = entries(&fleet);
    assert_eq!(daemons.len(), 5);
    let shared = format!("{FIRST_PART}:200,{BAD_PART}");
    let ids: Vec<String> = daemons.iter().map(|it| format!("early-{it}")).collect();
    let sending = daemons
        .iter()
        .zip(&ids)
        .map(|(daemon, id)| is_served(&fleet, *daemon, id, &shared));
    futures::future::join_all(sending).await;
    tokio::time::sleep(CONTACT_TIME).await;
    let early = bad_runs(&fleet);
    assert_few_late_runs(&fleet, &daemons, &shared, early).await;
}

/// Guards against crashes that are forgotten with the daemons that saw them, and against a
/// daemon that has just started and knows of none.
#[tokio::test(flavor = "multi_thread")]
async fn a_part_stays_known_when_the_daemons_that_saw_it_restart() {
    let mut fleet = wide_fleet(4).await;
    set_crashing(&fleet, 0);
    let daemons = entries(&fleet);
    let shared = format!("{FIRST_PART}:200,{BAD_PART}");
    let early = crash_five_times(&fleet, &daemons[..2], &shared).await;
    for daemon in &daemons[..2] {
        fleet.kill(*daemon);
        fleet.restart(*daemon);
    }
    fleet.wait_ready().await;
    tokio::time::sleep(CONTACT_TIME).await;
    assert_few_late_runs(&fleet, &daemons, &shared, early).await;
}

/// Guards against sound requests that are refused with the part, as they have the customer,
/// the route and the first part in common with those that crash servers.
#[tokio::test(flavor = "multi_thread")]
async fn sound_requests_are_served_while_a_part_is_blocked() {
    let fleet = wide_fleet(2).await;
    set_crashing(&fleet, 0);
    let shared = format!("{FIRST_PART}:200,{BAD_PART}");
    let early = crash_five_times(&fleet, &entries(&fleet), &shared).await;
    let daemons = entries(&fleet);
    let (_, served) = tokio::join!(
        assert_few_late_runs(&fleet, &daemons, &shared, early),
        served_of_twenty(&fleet, "sound"),
    );
    assert!(served >= 17, "{served} of 20 sound requests were served");
}

/// Guards against an outage that is taken for the fault of the parts that happen to run.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_many_servers_blocks_no_part_for_long() {
    let fleet = wide_fleet(2).await;
    for round in 0..2 {
        let ids: Vec<String> = (0..24).map(|it| format!("broken-{round}-{it}")).collect();
        let shared = format!("{FIRST_PART}:200,c1");
        let sending = ids
            .iter()
            .enumerate()
            .map(|(number, id)| is_served(&fleet, number % 2, id, &shared));
        let outage = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            for engine in ENGINES {
                fleet.servers[engine].crash(&fleet.store);
            }
        };
        tokio::join!(futures::future::join_all(sending), outage);
    }
    tokio::time::sleep(CONTACT_TIME).await;
    // The first one may be needed to show that the part is sound.
    is_served(&fleet, 0, "first-0", &format!("{FIRST_PART}:200,c1")).await;
    is_served(&fleet, 1, "first-1", &format!("{FIRST_PART}:200,c1")).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    let served = served_of_twenty(&fleet, "sound").await;
    assert!(served >= 19, "{served} of 20 sound requests were served");
}

/// Guards against items of lots that crash one server after the other, and against sound
/// items that are not run because of them.
#[tokio::test(flavor = "multi_thread")]
async fn items_with_a_part_that_crashes_servers_are_not_sent_on() {
    let fleet = wide_fleet(2).await;
    set_crashing(&fleet, 0);
    let item = |number: usize, shared: &str| -> Value {
        let mut item = fleet::item("lot-p", number, "one");
        item["headers"] = json!({
            "X-Model": "m", "X-Prompt-Prefix": format!("{shared}:100,{number:x}:50"),
        });
        item
    };
    let bad = format!("{FIRST_PART}:200,{BAD_PART}");
    let sound = format!("{FIRST_PART}:200,d1");
    let items: Vec<Value> = (0..12)
        .map(|it| item(it, if it % 2 == 0 { &bad } else { &sound }))
        .collect();
    let body = json!({"items": items}).to_string();
    let call = CallerRequest::post("/lots/lot-p", "lot-p", body.as_bytes());
    let response = fleet.send(0, call).await.unwrap();
    assert_eq!(response.status(), StatusCode::ACCEPTED);
    let done = async || {
        let page = fleet.read_lot(1, "lot-p", 0).await;
        page.map_or(0, |it| it["next"].as_u64().unwrap_or(0))
    };
    fleet
        .eventually("the sound items are done", async || done().await >= 6)
        .await;
    fleet
        .eventually("the part has crashed servers", async || {
            crashes(&fleet) >= 4
        })
        .await;
    tokio::time::sleep(CONTACT_TIME).await;
    let early = bad_runs(&fleet);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let late = bad_runs(&fleet) - early;
    assert!(late <= MAX_LATE_RUNS, "{late} runs after {early}");
    let page = fleet.read_lot(0, "lot-p", 0).await.unwrap();
    for result in page["results"].as_array().unwrap() {
        assert_eq!(result["state"], "done");
        assert_eq!(result["output"], expected_output());
    }
}
