//! A zone whose daemons learn of changes from one that gives them nothing.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "tests end where something is missing"
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
use fleet::{Ask, Fleet, KEY, SPARE_KEY};
use tokio::net::{TcpListener, UdpSocket};

/// So many daemons are registered beside the real ones: enough that a few watch for all.
const REGISTERED: usize = 17;
/// So many of them are heard, and say that they reach the store. They come before the
/// real ones in the order in which daemons watch.
const HEARD: usize = 3;
/// Nothing in a test may take longer.
const PATIENCE: Duration = Duration::from_secs(20);

/// Daemons of a zone that are registered, heard, and up to date, and that answer no
/// question.
struct HungDaemons {
    records: Vec<MemberRecord>,
    /// The revision of the settings that they say they act by.
    settings: Arc<AtomicI64>,
}

impl HungDaemons {
    /// Registers them, before any of the daemons `real`.
    async fn register(fleet: &Fleet, zone: &str, real: &[&str]) -> HungDaemons {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
        let address = listener.local_addr().unwrap();
        // Connections are taken and never read.
        tokio::spawn(async move {
            let mut taken = Vec::new();
            while let Ok(connection) = listener.accept().await {
                taken.push(connection);
            }
        });
        let first = real.iter().map(|it| PeerId::of_name(it)).min().unwrap();
        let is_before = |it: &String| PeerId::of_name(it) < first;
        let drawn = || (0..).map(|it| format!("hung-{it}"));
        let before = drawn().filter(is_before).take(HEARD);
        let after = drawn().filter(|it| !is_before(it));
        let names = before.chain(after.take(REGISTERED - HEARD));
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

    /// Has some of them speak to all real daemons from now on.
    fn speak(&self, fleet: &Fleet) {
        let speakers = self.records[..HEARD].to_vec();
        let listeners: Vec<SocketAddr> = (0..fleet.nodes.len())
            .map(|it| fleet.peers_of(it))
            .collect();
        let settings = self.settings.clone();
        tokio::spawn(async move {
            let socket = UdpSocket::bind(("127.0.0.1", 0)).await.unwrap();
            for number in 1.. {
                for speaker in &speakers {
                    let said = message(speaker, number, settings.load(Ordering::SeqCst));
                    let bytes = postcard::to_stdvec(&said).unwrap();
                    for listener in &listeners {
                        socket.send_to(&bytes, listener).await.unwrap();
                    }
                }
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        });
    }

    /// Has them act by the newest settings.
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
    }
}

/// Asks with a key until it is refused, and returns how long that took.
async fn until_refused(fleet: &Fleet, key: &str) -> Duration {
    let begin = Instant::now();
    loop {
        let ask = Ask::post("/proofs/1", "r1", b"proof").key(key);
        let status = fleet.ask(0, ask).await.unwrap().status();
        if status == StatusCode::UNAUTHORIZED {
            return begin.elapsed();
        }
        assert_eq!(status, StatusCode::OK);
        assert!(begin.elapsed() < PATIENCE, "the old settings stay in force");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// The daemon that watches for its zone is heard and has the newest settings, but no
/// answer of it arrives: it hangs, or its connection is full. Another zone has them as
/// well. Callers with a key that was withdrawn were let in for as long as that lasted,
/// and callers of new routes refused, since only the own zone was asked.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_learns_from_another_where_its_own_source_answers_nothing() {
    let mut fleet = Fleet::new().await;
    let hung = HungDaemons::register(&fleet, "zone-1", &["entry-1"]).await;
    fleet.add_node("entry-1", "zone-1", true).await;
    fleet.add_node("entry-2", "zone-2", true).await;
    hung.speak(&fleet);
    fleet.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    fleet.put_settings(&[KEY], 1_000.0);
    hung.catch_up(&fleet);
    let took = until_refused(&fleet, SPARE_KEY).await;
    assert!(took < Duration::from_secs(3), "took {took:?}");
}

/// Nobody who has the newest settings answers. A daemon that doesn't watch the store
/// otherwise asks it, with a single call.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_asks_the_store_where_nobody_gives_it_what_others_have() {
    let mut fleet = Fleet::new().await;
    let hung = HungDaemons::register(&fleet, "zone-1", &["entry-1"]).await;
    fleet.add_node("entry-1", "zone-1", true).await;
    hung.speak(&fleet);
    fleet.wait_ready().await;
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let before = range_calls(&fleet).await;
    fleet.put_settings(&[KEY], 1_000.0);
    hung.catch_up(&fleet);
    let took = until_refused(&fleet, SPARE_KEY).await;
    assert!(took < Duration::from_secs(3), "took {took:?}");
    tokio::time::sleep(Duration::from_secs(2)).await;
    let calls = range_calls(&fleet).await - before;
    assert_eq!(calls, 1, "calls for a list");
}

/// How many lists the first daemon has asked the store for.
async fn range_calls(fleet: &Fleet) -> u64 {
    let metrics = fleet.metrics(0).await;
    let lines = metrics.lines().filter(|it| it.contains("\"range\""));
    let counts = lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok());
    counts.sum::<f64>() as u64
}

/// Many daemons of a zone ask for settings that don't shrink, as after each change. They
/// get them a few at a time; the others hear so at once, and get the directory with it.
/// Shown to all at once, the settings would reach none of them in time over a small
/// connection, and requests would go to servers that have left.
#[tokio::test(flavor = "multi_thread")]
async fn large_settings_are_shown_to_a_few_at_a_time() {
    let mut fleet = Fleet::new().await;
    add_routes(&fleet);
    fleet.add_node("entry-1", "zone-1", true).await;
    fleet.wait_ready().await;
    let asks = (0..12).map(|_| shown_length(&fleet));
    let lengths = futures::future::join_all(asks).await;
    let whole = lengths.iter().filter(|it| **it > 300_000).count();
    assert!((1..=3).contains(&whole), "{lengths:?}");
    let least = lengths.iter().min().unwrap();
    assert!(*least > 100, "the directory is shown to all: {lengths:?}");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(shown_length(&fleet).await > 300_000, "to the next later");
}

/// Adds routes to the settings whose names are drawn.
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

/// How long the answer is to a daemon that knows nothing.
async fn shown_length(fleet: &Fleet) -> usize {
    let known = postcard::to_stdvec(&ViewRevisions::default()).unwrap();
    let address = fleet.peers_of(0);
    let request = Request::post(format!("http://{address}/packed-views"));
    let request = request.body(MessageBody::from(known)).unwrap();
    let client = HttpClient::default();
    let answer = client.exchange(request, PATIENCE, 16 << 20).await.unwrap();
    answer.body().len()
}
