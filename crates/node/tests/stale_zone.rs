//! A zone whose daemons rely on a peer for changes that doesn't answer them.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicI64, Ordering},
    },
    time::{Duration, Instant},
};

use comfreyramp_http::{HttpClient, MessageBody, Request, StatusCode};
use comfreyramp_policy::usage::PeerId;
use comfreyramp_serving::fleet::{MEMBERS, MemberRecord, PeerMessage, ViewRevisions};
use fleet::{CallerRequest, Fleet, KEY, SPARE_KEY};
use tokio::net::{TcpListener, UdpSocket};

/// The number of hung daemons that are registered beside the real ones: enough that only a
/// few daemons watch the store for all.
const REGISTERED: usize = 17;
/// The number of hung daemons that send reports and claim to reach the store. They come
/// before the real ones in the order in which daemons watch the store.
const REPORTING: usize = 3;
/// The longest time for which a test waits for a state to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Daemons of a zone that are registered, send reports and are up to date, but answer no
/// request.
struct HungDaemons {
    records: Vec<MemberRecord>,
    /// The revision of the settings that they report.
    settings: Arc<AtomicI64>,
}

impl HungDaemons {
    /// Registers hung daemons, the first of them ordered before the daemons named `real`.
    async fn register(fleet: &Fleet, zone: &str, real: &[&str]) -> HungDaemons {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        // Connections are accepted and never read.
        tokio::spawn(async move {
            let mut connections = Vec::new();
            while let Ok(connection) = listener.accept().await {
                connections.push(connection);
            }
        });
        let first_real = real.iter().map(|it| PeerId::of_name(it)).min().unwrap();
        let is_before = |it: &String| PeerId::of_name(it) < first_real;
        let candidate_names = || (0..).map(|it| format!("hung-{it}"));
        let before = candidate_names().filter(is_before).take(REPORTING);
        let after = candidate_names().filter(|it| !is_before(it));
        let names = before.chain(after.take(REGISTERED - REPORTING));
        let records = names.map(|name| MemberRecord {
            name,
            zone: zone.to_owned(),
            address,
            incarnation: 1,
            runs_lots: false,
        });
        let records: Vec<MemberRecord> = records.collect();
        for record in &records {
            let value = serde_json::to_vec(record).unwrap();
            fleet
                .store
                .put(&format!("{MEMBERS}{}", record.name), &value);
        }
        HungDaemons {
            records,
            settings: Arc::default(),
        }
    }

    /// Lets some of them send reports to all real daemons from now on.
    fn start_reporting(&self, fleet: &Fleet) {
        let senders = self.records[..REPORTING].to_vec();
        let receivers: Vec<SocketAddr> = (0..fleet.daemons.len())
            .map(|it| fleet.peer_address(it))
            .collect();
        let settings = self.settings.clone();
        tokio::spawn(async move {
            let socket = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
            for number in 1.. {
                for sender in &senders {
                    let report = message(sender, number, settings.load(Ordering::SeqCst));
                    let bytes = postcard::to_stdvec(&report).unwrap();
                    for receiver in &receivers {
                        socket.send_to(&bytes, receiver).await.unwrap();
                    }
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }

    /// Lets them report the newest settings.
    fn catch_up(&self, fleet: &Fleet) {
        let newest = fleet.store.keys("op/config")[0].revision;
        self.settings.store(newest, Ordering::SeqCst);
    }
}

fn message(from: &MemberRecord, number: u64, operators: i64) -> PeerMessage {
    PeerMessage {
        from: from.clone(),
        number,
        revisions: ViewRevisions {
            operators,
            ..ViewRevisions::default()
        },
        shares: Vec::new(),
        usage: Vec::new(),
        suspects: Vec::new(),
        lots: Vec::new(),
        progress: Vec::new(),
        reaches_store: true,
        is_leaving: false,
        items: 0,
        placed: Vec::new(),
        asks_word: false,
        usage_times: Default::default(),
        uptime_ms: 0,
        parts: Vec::new(),
        failures: Vec::new(),
    }
}

/// Sends requests with a key until it is refused, and returns how long that took.
async fn time_until_refused(fleet: &Fleet, key: &str) -> Duration {
    let start = Instant::now();
    loop {
        let request = CallerRequest::post("/proofs/1", "r1", b"proof").key(key);
        let status = fleet.send(0, request).await.unwrap().status();
        if status == StatusCode::UNAUTHORIZED {
            return start.elapsed();
        }
        assert_eq!(status, StatusCode::OK);
        assert!(
            start.elapsed() < WAIT_TIMEOUT,
            "the old settings are still in force"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The daemon that watches the store for its zone still reports and has the newest settings,
/// but its responses never arrive: it hangs, or its connection is saturated. Another zone has
/// these settings as well. When only the own zone was queried, callers with a withdrawn key
/// were admitted for as long as that lasted, and callers of new routes were refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_gets_settings_from_another_zone_where_its_own_source_is_silent() {
    let mut fleet = Fleet::new().await;
    let hung = HungDaemons::register(&fleet, "zone-1", &["entry-1"]).await;
    fleet.add_daemon("entry-1", "zone-1", true).await;
    fleet.add_daemon("entry-2", "zone-2", true).await;
    hung.start_reporting(&fleet);
    fleet.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.put_settings(&[KEY], 1_000.0);
    hung.catch_up(&fleet);
    let took = time_until_refused(&fleet, SPARE_KEY).await;
    assert!(took < Duration::from_secs(3), "took {took:?}");
}

/// None of the peers that have the newest settings answers. A daemon that doesn't watch the
/// store otherwise has to query it, with a single call.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_queries_the_store_where_no_peer_sends_newer_settings() {
    let mut fleet = Fleet::new().await;
    let hung = HungDaemons::register(&fleet, "zone-1", &["entry-1"]).await;
    fleet.add_daemon("entry-1", "zone-1", true).await;
    hung.start_reporting(&fleet);
    fleet.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = range_calls(&fleet).await;
    fleet.put_settings(&[KEY], 1_000.0);
    hung.catch_up(&fleet);
    let took = time_until_refused(&fleet, SPARE_KEY).await;
    assert!(took < Duration::from_secs(3), "took {took:?}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let range_call_count = range_calls(&fleet).await - before;
    assert_eq!(range_call_count, 1, "range requests to the store");
}

/// Returns how many lists the first daemon has requested from the store.
async fn range_calls(fleet: &Fleet) -> u64 {
    let metrics = fleet.metrics(0).await;
    let lines = metrics.lines().filter(|it| it.contains("\"range\""));
    let counts = lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok());
    counts.sum::<f64>() as u64
}

/// Many daemons of a zone request settings that can't be compressed, as after each change.
/// They receive the settings a few at a time; the others are told so at once, and receive
/// the directory of servers with that answer. If the settings were sent to all of them at
/// once over a slow connection, they would reach none of them in time, and requests would
/// go to servers that have left.
#[tokio::test(flavor = "multi_thread")]
async fn large_settings_are_sent_to_a_few_daemons_at_a_time() {
    let mut fleet = Fleet::new().await;
    add_routes(&fleet);
    fleet.add_daemon("entry-1", "zone-1", true).await;
    fleet.wait_ready().await;
    let requests = (0..12).map(|_| sent_views_length(&fleet));
    let lengths = futures::future::join_all(requests).await;
    let complete = lengths.iter().filter(|it| **it > 300_000).count();
    assert!((1..=3).contains(&complete), "{lengths:?}");
    let shortest = lengths.iter().min().unwrap();
    assert!(*shortest > 100, "the directory is sent to all: {lengths:?}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(
        sent_views_length(&fleet).await > 300_000,
        "the settings are sent to the next daemon later"
    );
}

/// Adds routes with random names to the settings, which can't be compressed.
fn add_routes(fleet: &Fleet) {
    let entry = fleet.store.keys("op/config").remove(0);
    let mut settings: serde_json::Value = serde_json::from_slice(&entry.value).unwrap();
    settings["version"] = 9.into();
    let routes = settings["routes"].as_array_mut().unwrap();
    for _ in 0..2_000 {
        let mut route = routes[0].clone();
        let name: String = (0..25)
            .map(|_| format!("{:x}", rand::random::<u64>()))
            .collect();
        route["prefix"] = format!("/{name}/").into();
        routes.push(route);
    }
    fleet
        .store
        .put("op/config", settings.to_string().as_bytes());
}

/// Returns the length of the response to a daemon that has no view yet.
async fn sent_views_length(fleet: &Fleet) -> usize {
    let known = postcard::to_stdvec(&ViewRevisions::default()).unwrap();
    let address = fleet.peer_address(0);
    let request = Request::post(format!("http://{address}/packed-views"));
    let request = request.body(MessageBody::from(known)).unwrap();
    let client = HttpClient::default();
    let response = client
        .exchange(request, WAIT_TIMEOUT, 16 << 20)
        .await
        .unwrap();
    response.body().len()
}
