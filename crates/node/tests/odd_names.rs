//! Entries of other writers whose names hold characters that have a meaning in a query, in
//! lists of several pages.
//!
//! `SOAK_SEEDS=100,101` runs other seeds of random names and restarts than those of the check
//! script:
//!
//! ```text
//! SOAK_SEEDS=100,101 cargo test -p comfreyramp-node --test odd_names random -- --nocapture
//! ```

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest};
use fleet::{CallerRequest, Callers, Fleet, expected_stream};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};
use tokio_util::sync::CancellationToken;

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
const PREFIXES: [&str; 8] = [
    "servers/",
    "op/",
    "op/retire/",
    "op/evacuate/",
    "fleet/members/",
    "lots/open/",
    "lots/claim/",
    "lots/data/",
];

/// The seeds of the check script.
const SEEDS: [u64; 2] = [1, 2];
/// The number of rounds of changes and restarts of a seed.
const ROUNDS: usize = 3;
/// What random names are made of.
const NAME_PARTS: [&str; 24] = [
    "&", "+", "#", "%", " ", "=", "?", "/", "%2", "%26", "%7e", "%00", "\0", "\n", "\"", "\\", "é",
    "😀", "after=", "prefix=", "a", "e", "z", "~",
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

/// Asserts that requests are served after all daemons were restarted while an entry stood in
/// the list of servers under this name.
async fn assert_serves_beside(fleet: &mut Fleet, name: &str) {
    let key = format!("servers/{name}");
    fleet.store.put(&key, ODD_VALUE);
    restart_all(fleet).await;
    assert_serves(fleet, name).await;
    fleet.store.remove(&key);
}

/// Asserts that lots are run, and that lists are read again where the history of changes is
/// gone: a new server is used in place of those that are drained.
async fn assert_follows(fleet: &mut Fleet, round: &str) {
    let submitted = fleet.submit_lot(1, "lot-after", &["one"]).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED), "{round}");
    fleet.read_finished_lot(0, "lot-after").await;
    fleet.store.drop_history();
    fleet.add_engine("engine-new", "zone-1", "v1").await;
    fleet.servers[0].register(&fleet.store, "draining");
    fleet.servers[1].register(&fleet.store, "draining");
    tokio::time::sleep(APPLY_TIME).await;
    assert_serves(fleet, round).await;
    let new = fleet.servers.last().unwrap();
    assert_eq!(new.arrivals().len(), REQUESTS, "{round}");
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
        assert_serves_beside(&mut fleet, name).await;
    }
}

/// Guards against a list that is taken as complete although servers are missing from it, since
/// the query for its second page asks for what comes after a later name.
#[tokio::test(flavor = "multi_thread")]
async fn an_escape_in_a_name_skips_no_servers() {
    let mut fleet = Fleet::started().await;
    fleet.store.set_page_entries(1);
    for name in ["%7e", "%7Ex"] {
        assert_serves_beside(&mut fleet, name).await;
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
    for name in ODD_NAMES {
        let key = format!("lots/data/lot-before/{name}");
        fleet.store.put(&key, ODD_VALUE);
    }
    restart_all(&mut fleet).await;
    assert_serves(&fleet, "all names").await;
    fleet.read_finished_lot(1, "lot-before").await;
    fleet.kill(0);
    fleet.restart(0);
    fleet.wait_ready().await;
    assert_serves(&fleet, "all names").await;
    fleet.read_finished_lot(0, "lot-before").await;
    assert_follows(&mut fleet, "all names").await;
}

/// Guards against entries of other writers that are claimed as lots and deleted, or claimed
/// again and again.
#[tokio::test(flavor = "multi_thread")]
async fn an_odd_name_among_open_lots_names_no_lot() {
    let fleet = Fleet::started().await;
    let long_name = "x".repeat(150);
    for name in ODD_NAMES.into_iter().chain([long_name.as_str()]) {
        fleet.store.put(&format!("lots/open/{name}"), ODD_VALUE);
    }
    let submitted = fleet.submit_lot(0, "lot-1", &["one"]).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
    fleet.read_finished_lot(1, "lot-1").await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    let left = fleet.store.keys("lots/open/");
    assert_eq!(left.len(), ODD_NAMES.len() + 1);
    assert!(left.iter().all(|it| it.value == ODD_VALUE));
    assert_eq!(fleet.store.keys("lots/claim/").len(), 0);
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

fn random_name(random: &mut StdRng) -> String {
    let parts = random.random_range(1..=6);
    let name = (0..parts).filter_map(|_| NAME_PARTS.choose(random));
    name.copied().collect()
}

/// Puts and removes entries of other writers in all lists, kills some daemons or all meanwhile,
/// and starts them again.
async fn change_and_restart(fleet: &mut Fleet, keys: &mut Vec<String>, random: &mut StdRng) {
    let kills_all = random.random_bool(0.5);
    let daemons = fleet.daemons.len();
    let killed: Vec<bool> = (0..daemons)
        .map(|_| kills_all || random.random_bool(0.5))
        .collect();
    let mut steps = Vec::new();
    steps.extend((0..daemons).filter(|it| killed[*it]).map(Some));
    steps.extend([None; 20]);
    for _ in 0..steps.len() {
        let step = steps.swap_remove(random.random_range(0..steps.len()));
        match step {
            Some(daemon) => fleet.kill(daemon),
            None if random.random_bool(0.3) && !keys.is_empty() => {
                let key = keys.swap_remove(random.random_range(0..keys.len()));
                fleet.store.remove(&key);
            }
            None => {
                let prefix = PREFIXES.choose(random).unwrap();
                let key = format!("{prefix}{}", random_name(random));
                fleet.store.put(&key, ODD_VALUE);
                keys.push(key);
            }
        }
        if random.random_bool(0.1) {
            fleet.store.drop_history();
        }
        tokio::time::sleep(Duration::from_millis(random.random_range(0..60))).await;
    }
    for daemon in (0..daemons).filter(|it| killed[*it]) {
        fleet.restart(daemon);
        tokio::time::sleep(Duration::from_millis(random.random_range(0..400))).await;
    }
}

/// Sends requests over open connections until `stop` is cancelled. While daemons restart they
/// may be refused or broken off. Returns the number of whole answers.
async fn send_requests(callers: Callers, daemon: usize, stop: CancellationToken) -> usize {
    let mut whole = 0;
    for number in 0.. {
        if stop.is_cancelled() {
            break;
        }
        let id = format!("open-{daemon}-{number}");
        let call = CallerRequest::post("/drafts/1", &id, b"verse");
        match callers.send(daemon, call).await {
            Ok(response) if response.status() == StatusCode::OK => {
                assert_eq!(response.body(), &expected_stream());
                whole += 1;
            }
            _ => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
    whole
}

async fn run_seed(seed: u64) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::started().await;
    fleet.store.set_page_entries(random.random_range(1..=4));
    let stop = CancellationToken::new();
    let senders = [0, 1].map(|daemon| {
        let sending = send_requests(fleet.callers(), daemon, stop.clone());
        tokio::spawn(sending)
    });
    let mut keys = Vec::new();
    for _ in 0..ROUNDS {
        change_and_restart(&mut fleet, &mut keys, &mut random).await;
    }
    restart_all(&mut fleet).await;
    stop.cancel();
    let mut whole = 0;
    for sender in senders {
        whole += sender.await.unwrap();
    }
    eprintln!(
        "seed {seed}: {} odd entries, {whole} whole answers: {keys:?}",
        keys.len()
    );
    let round = format!("seed {seed}");
    assert_serves(&fleet, &round).await;
    assert_follows(&mut fleet, &round).await;
}

/// Guards against random names of entries that stop the service, or the following of a list,
/// while daemons restart one by one and all at once.
#[tokio::test(flavor = "multi_thread")]
async fn random_names_stop_nothing_while_daemons_restart() {
    let seeds = std::env::var("SOAK_SEEDS").unwrap_or_default();
    let mut seeds: Vec<u64> = seeds.split(',').filter_map(|it| it.parse().ok()).collect();
    if seeds.is_empty() {
        seeds = SEEDS.to_vec();
    }
    for seed in seeds {
        run_seed(seed).await;
    }
}

/// Guards against requests that fail where a server's entry stands a second time, under an odd
/// name: the server refuses what isn't meant for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_copy_of_an_entry_under_an_odd_name_costs_no_request() {
    let mut fleet = Fleet::started().await;
    let entry = fleet.store.keys("servers/engine-1")[0].value.clone();
    fleet.store.put("servers/a&b", &entry);
    restart_all(&mut fleet).await;
    for round in ["first", "second", "third"] {
        assert_serves(&fleet, round).await;
    }
}
