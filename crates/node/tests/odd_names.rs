//! Entries of other writers whose names hold characters that have a meaning in a query, in
//! lists of several pages.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest};
use fleet::{CallerRequest, Fleet, expected_stream};

/// How long daemons may take to follow a change.
const APPLY_TIME: Duration = Duration::from_millis(1_500);
/// What another writer has put into its entries.
const ODD_VALUE: &[u8] = br#"{"owner":"inventory"}"#;
/// The number of entries in a page of a list.
const PAGE_ENTRIES: usize = 500;
/// The number of requests after a restart.
const REQUESTS: usize = 8;
/// Names with characters that separate or change the fields of a query, or end it.
const ODD_NAMES: [&str; 26] = [
    "&",
    "+",
    "#",
    "%",
    " ",
    "=",
    "?",
    "/",
    "a&b",
    "a+b",
    "a#b",
    "a%b",
    "a b",
    "a%2",
    "a%26b",
    "a%zz",
    "%00",
    "%7e",
    "%7Ex",
    "a\0b",
    "a\nb",
    "a\"b\\c",
    "é",
    "😀",
    "a&after=zz",
    "&prefix=op/",
];
/// The prefixes of all lists that daemons follow or read.
const PREFIXES: [&str; 7] = [
    "servers/",
    "op/",
    "op/retire/",
    "op/evacuate/",
    "fleet/members/",
    "lots/open/",
    "lots/claim/",
];

/// Kills all daemons and starts them again, and waits until they are ready.
async fn restart_all(fleet: &mut Fleet) {
    for daemon in 0..fleet.daemons.len() {
        fleet.kill(daemon);
    }
    for daemon in 0..fleet.daemons.len() {
        fleet.restart(daemon);
    }
    fleet.wait_ready().await;
    tokio::time::sleep(APPLY_TIME).await;
}

/// Asserts that both entry daemons serve requests.
async fn assert_serves(fleet: &Fleet, round: &str) {
    let mut served = 0;
    for number in 0..REQUESTS {
        let id = format!("request-{number}");
        let call = CallerRequest::post("/drafts/1", &id, b"verse");
        let response = fleet.send(number % 2, call).await;
        served += usize::from(response.is_ok_and(|it| it.body() == &expected_stream()));
    }
    assert_eq!(served, REQUESTS, "served with {round:?} in the list");
}

/// Guards against a restart after which no request is served, since the list of servers has a
/// name at the end of its first page that changes the query for the second.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_name_at_the_end_of_a_page_leaves_all_servers_known() {
    let mut fleet = Fleet::started().await;
    for number in 1..PAGE_ENTRIES {
        let key = format!("servers/a-{number:03}");
        fleet.store.put(&key, ODD_VALUE);
    }
    for name in ["b&c", "b+c", "b#c", "b%c", "b c"] {
        let key = format!("servers/{name}");
        fleet.store.put(&key, ODD_VALUE);
        restart_all(&mut fleet).await;
        assert_serves(&fleet, name).await;
        fleet.store.remove(&key);
    }
}

/// Guards against a list that is taken as complete although servers are missing from it, since
/// the query for its second page asks for what comes after a later name.
#[tokio::test(flavor = "multi_thread")]
async fn an_escape_in_a_name_skips_no_servers() {
    let mut fleet = Fleet::started().await;
    fleet.store.set_page_entries(1);
    for name in ["%7e", "%7Ex"] {
        let key = format!("servers/{name}");
        fleet.store.put(&key, ODD_VALUE);
        restart_all(&mut fleet).await;
        assert_serves(&fleet, name).await;
        fleet.store.remove(&key);
    }
}

/// Guards against lists of any kind that daemons no longer follow, at their start or when they
/// list them again, because of a name in them.
#[tokio::test(flavor = "multi_thread")]
async fn odd_names_in_all_lists_stop_nothing() {
    let mut fleet = Fleet::started().await;
    fleet.store.set_page_entries(1);
    for prefix in PREFIXES {
        for name in ODD_NAMES {
            fleet.store.put(&format!("{prefix}{name}"), ODD_VALUE);
        }
    }
    let bodies = ["takes 4000", "takes 4000"];
    let submitted = fleet.submit_lot(0, "lot-before", &bodies).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
    restart_all(&mut fleet).await;
    assert_serves(&fleet, "all names").await;
    fleet.read_finished_lot(1, "lot-before").await;
    let submitted = fleet.submit_lot(1, "lot-after", &["one"]).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
    fleet.read_finished_lot(0, "lot-after").await;
    // Daemons list all keys again where the history of changes is gone.
    fleet.store.drop_history();
    fleet.add_engine("engine-new", "zone-1", "v1").await;
    fleet.servers[0].register(&fleet.store, "draining");
    fleet.servers[1].register(&fleet.store, "draining");
    tokio::time::sleep(APPLY_TIME).await;
    assert_serves(&fleet, "all names").await;
    let new = fleet.servers.last().unwrap();
    assert_eq!(new.arrivals().len(), REQUESTS);
}

/// Guards against requests that a server runs without a check that it is the one that is
/// meant, since no header can hold the name of its entry.
#[tokio::test(flavor = "multi_thread")]
async fn a_name_that_no_header_can_hold_names_no_server() {
    let fleet = Fleet::started().await;
    let script = |it: &ScriptedRequest| ScriptedAnswer::stream(it.request.id(), b"id: 1\n\n");
    let server = fleet.add_scripted_engine(2, script).await;
    let entry = fleet.store.keys("servers/scripted-1")[0].value.clone();
    fleet.store.remove("servers/scripted-1");
    for name in ["", " ", "a\nb", "a\0b", "a\u{7f}b", " a", "a ", "\ta"] {
        fleet.store.put(&format!("servers/{name}"), &entry);
    }
    tokio::time::sleep(APPLY_TIME).await;
    let mut statuses = Vec::new();
    for number in 0..REQUESTS {
        let id = format!("request-{number}");
        let call = CallerRequest::post("/drafts/1", &id, b"verse");
        let response = fleet.send(number % 2, call).await.unwrap();
        statuses.push(response.status());
    }
    let received = server.requests();
    let meant = received
        .iter()
        .map(|it| it.request.header("x-expect-instance"));
    assert_eq!(meant.collect::<Vec<_>>(), [""; 0], "requests by server");
    assert_eq!(statuses, [StatusCode::SERVICE_UNAVAILABLE; REQUESTS]);
}
