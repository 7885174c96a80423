//! A request that crashes the servers that run it after they have sent its first events.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, expected_stream};

const CRASHING_BODY: &[u8] = b"crashes";
const PROMPT: &str = "a1:200,b1:100,c1:50";
/// How long daemons may take to hear of a crash.
const CONTACT_TIME: Duration = Duration::from_secs(3);
/// How often the request may reach servers later than that after its third crash.
const MAX_LATE_RUNS: usize = 3;
/// For how long the request comes again.
const LOAD_TIME: Duration = Duration::from_secs(10);
const ENGINES: [usize; 4] = [0, 1, 3, 4];

/// Returns when the crashing request reached engines.
fn bad_runs(fleet: &Fleet) -> Vec<Instant> {
    let arrivals = fleet.servers.iter().flat_map(|it| it.arrivals());
    let bad = arrivals.filter(|it| it.path.ends_with("/bad") && it.ran);
    let mut moments: Vec<Instant> = bad.map(|it| it.at).collect();
    moments.sort();
    moments
}

/// Starts a fleet whose engines are crashed by one body after their first events.
async fn fleet_with_crashes() -> Fleet {
    let fleet = Fleet::new().await.with_further_engines(2).await;
    let fleet = fleet.with_daemons().await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    for engine in ENGINES {
        fleet.servers[engine].set_crashing_body(CRASHING_BODY, 2, fleet.store.clone());
    }
    fleet
}

async fn send(fleet: &Fleet, daemon: usize, path: &str, id: &str, body: &[u8]) -> bool {
    let call = CallerRequest::post(path, id, body).header("x-prompt-prefix", PROMPT);
    let response = fleet.send(daemon, call).await;
    response.is_ok_and(|it| it.status() == StatusCode::OK && it.body() == &expected_stream())
}

/// Guards against a request that is sent to one server after the other, since sound requests
/// with the same parts clear these all the time and only breaks before the first event
/// counted against the request itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_servers_after_the_first_event_is_not_sent_on() {
    for route in ["/drafts/bad", "/once/bad"] {
        let fleet = fleet_with_crashes().await;
        let until = Instant::now() + LOAD_TIME;
        let bad = async {
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let id = format!("bad-{number}");
                assert!(!send(&fleet, number % 2, route, &id, CRASHING_BODY).await);
                tokio::time::sleep(Duration::from_millis(400)).await;
            }
        };
        let sound = async {
            let mut number = 0;
            while Instant::now() < until {
                number += 1;
                let (path, id) = (format!("/drafts/{number}"), format!("sound-{number}"));
                send(&fleet, number % 2, &path, &id, id.as_bytes()).await;
            }
        };
        tokio::join!(bad, sound);
        let runs = bad_runs(&fleet);
        let third = runs[2];
        let late = runs.iter().filter(|it| **it > third + CONTACT_TIME);
        assert!(
            late.clone().count() <= MAX_LATE_RUNS,
            "{route}: {}",
            late.count()
        );
        assert!(send(&fleet, 0, "/drafts/after", "after", b"one").await);
    }
}

/// Guards against a sound request that many callers send in the same words, and that is refused
/// since some of them were at servers that another request crashed.
#[tokio::test(flavor = "multi_thread")]
async fn a_sound_request_beside_crashes_is_served_on() {
    let fleet = fleet_with_crashes().await;
    let until = Instant::now() + LOAD_TIME;
    let crashes = async {
        let mut number = 0;
        while Instant::now() < until {
            number += 1;
            // Another path each time, so that none of them is refused.
            let (path, id) = (format!("/once/bad-{number}"), format!("bad-{number}"));
            send(&fleet, number % 2, &path, &id, CRASHING_BODY).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    };
    let sound = async {
        let (mut sent, mut served) = (0, 0);
        while Instant::now() < until {
            let ids: Vec<String> = (0..4).map(|it| format!("same-{sent}-{it}")).collect();
            let calls = ids.iter().enumerate();
            let calls = calls.map(|(it, id)| send(&fleet, it % 2, "/once/same", id, b"same"));
            let ends = futures::future::join_all(calls).await;
            sent += ends.len();
            served += ends.iter().filter(|it| **it).count();
        }
        (sent, served)
    };
    let (_, (sent, served)) = tokio::join!(crashes, sound);
    println!("{served} of {sent} served");
    // About one in four is at the engine that crashes.
    assert!(served * 2 > sent, "{served} of {sent} served");
    tokio::time::sleep(CONTACT_TIME).await;
    for daemon in [0, 1] {
        assert!(send(&fleet, daemon, "/once/same", "last", b"same").await);
    }
}
