//! Entries of other writers in the lists that daemons follow, and odd reports of servers.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest};
use fleet::{CallerRequest, Fleet, expected_stream};
use serde_json::{Value, json};

/// How long daemons may take to follow a change.
const APPLY_TIME: Duration = Duration::from_millis(1_500);
/// Numbers as JSON text that a field may be unable to hold.
const NUMBERS: [&str; 12] = [
    "-1",
    "0",
    "0.5",
    "1e3",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "-9223372036854775809",
    "1e40",
    "1e300",
    "-1e999",
];
/// Addresses to which nothing can be sent, or that are none.
const ADDRESSES: [&str; 12] = [
    "",
    ":",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999",
    "256.0.0.1:80",
    "[::1]:1",
    "host.example:80",
    "255.255.255.255:9",
    "127.0.0.1:1\r\nx: y",
];
/// The depth of nested entries.
const DEPTH: usize = 50_000;

/// Returns values that are entries of no kind, or nested without end.
fn odd_values() -> Vec<Vec<u8>> {
    let nested = |open: &str, close: &str| {
        [open.repeat(DEPTH), close.repeat(DEPTH)]
            .concat()
            .into_bytes()
    };
    let mut values = vec![
        Vec::new(),
        b"null".to_vec(),
        b"[]".to_vec(),
        b"{}".to_vec(),
        b"\xff\xfe\x00".to_vec(),
        b"{\"service\":".to_vec(),
        vec![b'x'; 300_000],
        nested("[", "]"),
        nested("{\"a\":", "}"),
    ];
    values.extend(NUMBERS.map(|it| it.as_bytes().to_vec()));
    values
}

/// Returns a sound entry with one field after the other replaced by something odd.
fn with_odd_fields(entry: &Value, odd: &[Value]) -> Vec<Vec<u8>> {
    let mut values = Vec::new();
    for field in entry.as_object().unwrap().keys() {
        for value in odd {
            let mut changed = entry.clone();
            changed[field] = value.clone();
            values.push(changed.to_string().into_bytes());
        }
        for number in NUMBERS {
            let mut changed = entry.clone();
            changed[field] = json!("NUMBER");
            let text = changed.to_string().replace("\"NUMBER\"", number);
            values.push(text.into_bytes());
        }
    }
    values
}

fn odd_fields() -> Vec<Value> {
    let mut odd = vec![
        json!(null),
        json!(true),
        json!([]),
        json!({}),
        json!("x".repeat(5_000)),
    ];
    odd.extend(ADDRESSES.map(Value::from));
    odd
}

/// Puts odd entries into all lists that daemons follow. Returns their number.
fn put_odd_entries(fleet: &Fleet) -> usize {
    let server = json!({
        "service": "drafts", "address": "127.0.0.1:1", "zone": "zone-1", "version": "v1",
        "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": 1,
    });
    let mut far = server.clone();
    // Servers that nobody reaches must not be among those of the fleet's service.
    far["service"] = json!("others");
    let member = json!({
        "name": "lots-9", "zone": "zone-1", "address": "127.0.0.1:9", "incarnation": 7,
        "runs_lots": true,
    });
    let odd = odd_fields();
    let mut entries = 0;
    let mut put = |prefix: &str, values: &[Vec<u8>]| {
        for value in values {
            entries += 1;
            fleet.store.put(&format!("{prefix}odd-{entries}"), value);
        }
    };
    put("servers/", &odd_values());
    put("servers/", &with_odd_fields(&far, &odd));
    put("fleet/members/", &odd_values());
    put("fleet/members/", &with_odd_fields(&member, &odd));
    put("op/retire/", &odd_values());
    put(
        "op/retire/",
        &with_odd_fields(&json!({"duration_s": 1}), &odd),
    );
    put("op/evacuate/", &odd_values());
    put("op/", &odd_values());
    put("lots/open/", &odd_values());
    entries
}

/// Asserts that all daemons run and follow the lists: a server that is drained gets no more
/// requests, a new one gets some, and a lot is run.
async fn assert_follows(fleet: &mut Fleet, round: usize) {
    for daemon in 0..fleet.daemons.len() {
        assert!(fleet.is_running(daemon), "daemon {daemon} has ended");
    }
    let new = fleet.servers.len();
    fleet.servers[0].register(&fleet.store, "draining");
    fleet.servers[1].register(&fleet.store, "draining");
    let name = format!("engine-new-{round}");
    fleet.add_engine(&name, "zone-2", "v1").await;
    tokio::time::sleep(APPLY_TIME).await;
    let before = fleet.servers[0].arrivals().len() + fleet.servers[1].arrivals().len();
    for daemon in [0, 1] {
        let id = format!("follows-{round}-{daemon}");
        let call = CallerRequest::post("/drafts/1", &id, b"verse");
        let response = fleet.send(daemon, call).await.unwrap();
        assert_eq!(response.body(), &expected_stream());
    }
    let after = fleet.servers[0].arrivals().len() + fleet.servers[1].arrivals().len();
    assert_eq!(before, after, "a drained server is used on");
    assert!(!fleet.servers[new].arrivals().is_empty());
    let lot = format!("lot-{round}");
    assert_eq!(
        fleet.submit_lot(0, &lot, &["one", "two"]).await,
        Ok(StatusCode::ACCEPTED)
    );
    let page = fleet.read_finished_lot(1, &lot).await;
    assert_eq!(page["results"][1]["state"], "done");
    fleet.servers[new].register(&fleet.store, "draining");
}

/// Guards against daemons that end, or stop following a list, for an entry of another writer;
/// those that are running and those that start with it.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_do_not_stop_daemons() {
    let mut fleet = Fleet::started().await;
    let entries = put_odd_entries(&fleet);
    assert!(entries > 500, "{entries} entries");
    tokio::time::sleep(APPLY_TIME).await;
    assert_follows(&mut fleet, 1).await;
    for daemon in [0, 2] {
        fleet.kill(daemon);
        fleet.restart(daemon);
    }
    fleet.wait_ready().await;
    tokio::time::sleep(APPLY_TIME).await;
    assert_follows(&mut fleet, 2).await;
}

/// Guards against one entry that draws the requests of a service, since it states more slots
/// than all servers and an address at which nothing can be reached.
#[tokio::test(flavor = "multi_thread")]
async fn entries_without_an_address_name_no_server() {
    let fleet = Fleet::started().await;
    for (number, address) in ADDRESSES[..8].iter().enumerate() {
        let entry = json!({
            "service": "drafts", "address": address, "zone": "zone-1", "version": "v1",
            "slots": u32::MAX, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": 1,
        });
        let key = format!("servers/odd-{number}");
        fleet.store.put(&key, entry.to_string().as_bytes());
    }
    tokio::time::sleep(APPLY_TIME).await;
    for number in 0..20 {
        let id = format!("request-{number}");
        let call = CallerRequest::post("/once/1", &id, id.as_bytes());
        let response = fleet.send(0, call).await.unwrap();
        assert_eq!(response.status(), StatusCode::OK, "{id}");
        let lines = fleet.log_lines_with_id(&id).await;
        let failed = lines.iter().find(|it| it["message"] == "attempt: failed");
        assert_eq!(failed, None, "{id} was sent to a server without an address");
    }
}

/// Guards against daemons that end for what a server says of its load and state.
#[tokio::test(flavor = "multi_thread")]
async fn odd_reports_of_servers_do_not_stop_daemons() {
    let mut fleet = Fleet::started().await;
    let loads: Vec<String> = NUMBERS
        .iter()
        .flat_map(|it| {
            [
                format!("{it},{it},{it},{it}"),
                format!("1,{it},8,{it}"),
                format!("{it},{it}"),
                format!("{it};"),
            ]
        })
        .chain([",".repeat(8_000), "x".repeat(8_000), String::new()])
        .collect();
    let number = Arc::new(AtomicUsize::new(0));
    let (shared, all) = (number.clone(), loads.clone());
    let script = move |it: &ScriptedRequest| {
        let load = &all[shared.load(Ordering::SeqCst) % all.len()];
        let timeout = NUMBERS[shared.load(Ordering::SeqCst) % NUMBERS.len()];
        ScriptedAnswer::stream(it.request.id(), b"id: 1\ndata: a\n\n")
            .header("x-server-load", load)
            .header("keep-alive", &format!("timeout={timeout}, max={timeout}"))
    };
    let server = fleet.add_scripted_engine(2, script).await;
    for load in 0..loads.len() {
        number.store(load, Ordering::SeqCst);
        let id = format!("request-{load}");
        let call = CallerRequest::post("/drafts/1", &id, id.as_bytes());
        // A server that says that it is full may get none.
        let _ = fleet.send(load % 2, call).await;
    }
    assert!(server.requests().len() > loads.len() / 2);
    fleet.store.remove("servers/scripted-1");
    assert_follows(&mut fleet, 1).await;
}
