//! Tests of live requests while the engines are full.

mod support;

use std::time::{Duration, Instant};

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_standins::engine::{EngineOptions, EngineSettings};
use futures::future::join_all;
use http_body_util::BodyExt;
use serde_json::{Value, json};
use sha2::{Digest, Sha256};
use support::{FleetPlan, KEY, SECOND_KEY, TestFleet, chat, default_settings};

/// A second key of the customer `press`.
const OTHER_KEY: &str = "cfr-other-key-of-press-0123456789";
/// How long each test sends requests.
const SEND_DURATION: Duration = Duration::from_secs(5);
/// The number of tokens of each answer.
const TOKENS: u32 = 10;

/// Returns the options of an engine that answers about 40 requests of ten tokens
/// per second.
fn small_engine() -> EngineOptions {
    EngineOptions {
        settings: EngineSettings {
            batch: 4,
            ..EngineSettings::default()
        },
        ..EngineOptions::default()
    }
}

async fn small_fleet(daemons: usize) -> TestFleet {
    let mut settings = default_settings();
    let mut other = settings.customers[0].keys[0].clone();
    other.name = "key-2".to_owned();
    other.sha256 = hex::encode(Sha256::digest(OTHER_KEY.as_bytes()));
    settings.customers[0].keys.push(other);
    let plan = FleetPlan {
        daemons: vec!["zone-1"; daemons],
        engines: vec![("zone-1", small_engine())],
        settings: Some(settings),
    };
    TestFleet::start(plan).await
}

/// The outcome of one request.
#[derive(Debug)]
struct Outcome {
    status: StatusCode,
    has_retry_after: bool,
    first_token: Duration,
}

async fn send(fleet: &TestFleet, daemon: usize, key: &str, body: &Value) -> Outcome {
    let path = "/v1/chat/completions";
    let began = Instant::now();
    let request = fleet.request(daemon, Method::POST, path, key, body.to_string());
    let response = fleet.open(request).await;
    let (head, mut body) = response.into_parts();
    let _ = body.frame().await;
    let first_token = began.elapsed();
    while body.frame().await.is_some() {}
    Outcome {
        status: head.status,
        has_retry_after: head.headers.contains_key("retry-after"),
        first_token,
    }
}

/// Sends requests at equal intervals and waits for all of them.
async fn send_evenly(
    fleet: &TestFleet,
    daemon: usize,
    key: &str,
    per_second: u32,
    stream: bool,
) -> Vec<Outcome> {
    let count = per_second * SEND_DURATION.as_secs() as u32;
    let requests = (0..count).map(|number| async move {
        tokio::time::sleep(SEND_DURATION * number / count).await;
        let prompt = format!("verse {number} of {per_second} {stream}");
        let body = chat(&prompt, TOKENS, stream);
        send(fleet, daemon, key, &body).await
    });
    join_all(requests).await
}

fn percentile(outcomes: &[Outcome], fraction: f64) -> Duration {
    let served = outcomes.iter().filter(|it| it.status == StatusCode::OK);
    let mut waits: Vec<Duration> = served.map(|it| it.first_token).collect();
    waits.sort_unstable();
    waits[((waits.len() - 1) as f64 * fraction) as usize]
}

fn served(outcomes: &[Outcome]) -> usize {
    outcomes
        .iter()
        .filter(|it| it.status == StatusCode::OK)
        .count()
}

/// One customer sends ten times as many requests as another, more than the engine
/// can answer. In order of arrival, the other customer would wait behind its
/// backlog.
#[tokio::test]
async fn a_flood_of_one_customer_does_not_move_the_tail_of_another() {
    let fleet = small_fleet(1).await;
    let (flood, person) = futures::join!(
        send_evenly(&fleet, 0, SECOND_KEY, 60, true),
        send_evenly(&fleet, 0, KEY, 6, true),
    );
    let tail = percentile(&person, 0.99);
    println!(
        "flood: {} of {} served, p99 {:?}; person: {} of {} served, p99 {tail:?}",
        served(&flood),
        flood.len(),
        percentile(&flood, 0.99),
        served(&person),
        person.len(),
    );
    assert_eq!(
        served(&person),
        person.len(),
        "none of the person's requests is refused"
    );
    assert!(tail < Duration::from_millis(700), "{tail:?}");
    let refused = flood.iter().filter(|it| it.status != StatusCode::OK);
    assert!(refused.into_iter().all(|it| it.has_retry_after));
}

/// A program sends many requests to the live API with one key of a customer,
/// while a person waits for streams with another key. Without ranks the person
/// would wait behind the program, since both belong to the same customer.
#[tokio::test]
async fn bulk_through_the_live_api_waits_behind_a_person() {
    let fleet = small_fleet(1).await;
    let (program, person) = futures::join!(
        send_evenly(&fleet, 0, OTHER_KEY, 60, false),
        send_evenly(&fleet, 0, KEY, 2, true),
    );
    let later: Vec<Outcome> = person.into_iter().skip(3).collect();
    let tail = percentile(&later, 0.95);
    println!(
        "program: {} of {} served; person: p95 {tail:?}",
        served(&program),
        program.len(),
    );
    assert_eq!(served(&later), later.len());
    assert!(tail < Duration::from_millis(700), "{tail:?}");
}

/// The servers are full for longer than a request may wait. The request must be
/// refused immediately with a `Retry-After`, instead of waiting until it times
/// out.
#[tokio::test]
async fn what_could_not_start_in_time_is_refused_at_once() {
    let mut settings = default_settings();
    settings.services[0].timeout_ms = 1_500;
    let plan = FleetPlan {
        engines: vec![("zone-1", small_engine())],
        settings: Some(settings),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let outcomes = send_evenly(&fleet, 0, KEY, 120, false).await;
    let refused: Vec<&Outcome> = outcomes
        .iter()
        .filter(|it| !it.status.is_success())
        .collect();
    let immediate = refused
        .iter()
        .filter(|it| it.first_token < Duration::from_millis(200));
    println!(
        "{} of {} served, {} refused, {} of them at once",
        served(&outcomes),
        outcomes.len(),
        refused.len(),
        immediate.clone().count(),
    );
    assert!(!refused.is_empty());
    assert!(refused.iter().all(|it| it.has_retry_after));
    // The requests that timed out had started but took too long. Some of the
    // others were overtaken by more urgent requests after they were admitted.
    let timed_out = StatusCode::GATEWAY_TIMEOUT;
    let started = refused.iter().filter(|it| it.status == timed_out).count();
    println!("{started} of the refused had started");
    assert!(immediate.count() * 10 >= (refused.len() - started) * 9);
    let status = fleet.operators(0, Method::GET, "/status", String::new());
    assert_eq!(status.await.json()["ready"], json!(true));
}
