//! Tests of the operator API for settings, including concurrent changes and
//! failures of the platform.

mod support;

use std::time::{Duration, Instant};

use comfreyramp_http::{MessageBody, Method, Request, StatusCode, header};
use comfreyramp_standins::platform::{FaultChange, LostAnswers};
use serde_json::{Value, json};
use support::{
    FleetPlan, KEY, SECOND_KEY, TOKEN, TestFleet, answers::WholeAnswer, chat, default_settings,
};

/// The number of changes that a history keeps.
const KEPT_CHANGES: usize = 50;

async fn read(fleet: &TestFleet, path: &str) -> WholeAnswer {
    fleet.operators(0, Method::GET, path, String::new()).await
}

async fn revision_of(fleet: &TestFleet, team: &str) -> i64 {
    let view = read(fleet, &format!("/settings/{team}")).await;
    view.json()["revision"].as_i64().expect("a revision")
}

async fn history_of(fleet: &TestFleet, team: &str) -> Vec<Value> {
    let view = read(fleet, &format!("/settings/{team}/history")).await;
    assert_eq!(view.status, StatusCode::OK, "{}", view.text());
    let changes = view.json()["changes"].as_array().cloned();
    changes.expect("a list of changes")
}

/// Returns the default settings with another rate for the first customer.
fn with_rate(rate: u32) -> Value {
    let mut settings = json!(default_settings());
    settings["customers"][0]["rate"] = json!(rate);
    settings
}

/// Writes settings as a named operator, with the id of the change if given.
async fn put(
    fleet: &TestFleet,
    by: &str,
    id: Option<&str>,
    revision: i64,
    settings: &Value,
) -> WholeAnswer {
    let address = fleet.daemons[0].addresses.operators;
    let change = json!({ "revision": revision, "by": by, "settings": settings });
    let mut request = Request::builder()
        .method(Method::PUT)
        .uri(format!("http://{address}/settings/studio"))
        .header(header::AUTHORIZATION, format!("Bearer {TOKEN}"));
    if let Some(id) = id {
        request = request.header("idempotency-key", id);
    }
    let request = request.body(MessageBody::from(change.to_string()));
    fleet.fetch(request.expect("a valid request")).await
}

fn set_faults(change: FaultChange, fleet: &TestFleet) {
    fleet.platform.change_faults(change);
}

/// A change has several errors. All of them must be reported at once, nothing may
/// be written, and the settings in force must stay.
#[tokio::test]
async fn findings_come_together_and_nothing_is_written() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let seen = revision_of(&fleet, "studio").await;
    let mut settings = with_rate(1);
    settings["customers"][0]["rate"] = json!(-1);
    settings["customers"][1]["keys"][0]["sha256"] = json!(SECOND_KEY);
    settings["colour"] = json!(KEY);
    let refused = fleet.put_settings("studio", seen, &settings).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    let body = refused.json();
    let places: Vec<&str> = body["error"]["findings"]
        .as_array()
        .expect("findings")
        .iter()
        .filter_map(|it| it["place"].as_str())
        .collect();
    let expected = ["customers[0].rate", "customers[1].keys[0].sha256", "colour"];
    assert_eq!(places, expected, "{body}");
    for secret in [KEY, SECOND_KEY, TOKEN] {
        assert!(!refused.text().contains(secret), "{body}");
    }
    assert_eq!(refused.headers["x-comfreyramp-ran"], "no");
    assert_eq!(revision_of(&fleet, "studio").await, seen);
    let check = "/settings/studio/check";
    let checked = fleet.operators(0, Method::POST, check, settings.to_string());
    assert_eq!(
        checked.await.json()["error"]["findings"],
        body["error"]["findings"]
    );
}

/// A second team defines a customer of the first team. If accepted, it would take
/// over that customer's calls.
#[tokio::test]
async fn another_teams_names_are_findings() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let refused = fleet.put_settings("market", 0, &with_rate(1)).await;
    assert_eq!(refused.status, StatusCode::UNPROCESSABLE_ENTITY);
    assert!(
        refused.text().contains("team studio already has"),
        "{}",
        refused.text()
    );
    assert_eq!(
        read(&fleet, "/settings/market").await.status,
        StatusCode::NOT_FOUND
    );
}

/// A script sends malformed changes, some of which contain a key. Among them are
/// lists, which a derived deserializer would read as the fields in their order.
#[tokio::test]
async fn a_change_in_a_wrong_form_is_refused() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let seen = revision_of(&fleet, "studio").await;
    let settings = with_rate(1);
    let bodies = [
        String::new(),
        "{".to_owned(),
        json!([seen, null, settings]).to_string(),
        json!([seen, settings]).to_string(),
        json!({ "revision": "1", "settings": settings }).to_string(),
        json!({ "revision": seen }).to_string(),
        json!({ "revision": seen, "settings": settings, KEY: 1 }).to_string(),
        json!({ "revision": KEY, "settings": settings }).to_string(),
        json!({ "revision": seen, "settings": settings, "by": "" }).to_string(),
        json!({ "revision": seen, "settings": settings, "by": "a\nb" }).to_string(),
    ];
    for body in bodies {
        let refused = fleet.operators(0, Method::PUT, "/settings/studio", body.clone());
        let refused = refused.await;
        assert_eq!(refused.status, StatusCode::BAD_REQUEST, "{body}");
        assert!(!refused.text().contains(KEY), "{}", refused.text());
    }
    assert_eq!(revision_of(&fleet, "studio").await, seen);
    let path = "/settings/Not%20A%20Team";
    let refused = fleet
        .operators(0, Method::PUT, path, settings.to_string())
        .await;
    assert_eq!(refused.code(), "bad_team_name");
}

/// Two operators change a team from the same revision at the same time. One must
/// succeed, and the other must learn who changed what, since a blind retry would
/// overwrite the first change.
#[tokio::test]
async fn of_two_operators_one_wins_and_the_other_is_told_what_changed() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let seen = revision_of(&fleet, "studio").await;
    let (first, second) = (with_rate(111), with_rate(222));
    let (first, second) = tokio::join!(
        put(&fleet, "ada", None, seen, &first),
        put(&fleet, "ben", None, seen, &second),
    );
    let (winner, winners_rate, loser) = if first.status == StatusCode::OK {
        ("ada", "111.0", second)
    } else {
        assert_eq!(second.status, StatusCode::OK, "{}", second.text());
        ("ben", "222.0", first)
    };
    assert_eq!(loser.status, StatusCode::CONFLICT, "{}", loser.text());
    let error = loser.json()["error"].clone();
    let message = error["message"].as_str().expect("a message");
    assert!(message.contains(winner), "{message}");
    assert!(
        message.contains("changed customers[press].rate"),
        "{message}"
    );
    let change = &error["changed_since"][0];
    assert_eq!(change["by"], winner);
    assert_eq!(change["replaced"], seen);
    let difference = &change["differences"][0];
    assert_eq!(difference["place"], "customers[press].rate");
    assert_eq!(difference["before"], "10000.0");
    assert_eq!(difference["after"], winners_rate);
    assert_eq!(change["revision"], revision_of(&fleet, "studio").await);
}

/// The daemon's answer to an operator's tool is lost, and the tool sends the
/// change again. Meanwhile another operator changed the team.
#[tokio::test]
async fn a_change_that_is_sent_again_is_reported_as_written() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let seen = revision_of(&fleet, "studio").await;
    let (mine, theirs) = (with_rate(111), with_rate(222));
    let written = put(&fleet, "ada", Some("change-1"), seen, &mine).await;
    let revision = written.json()["revision"].as_i64().expect("a revision");
    let again = put(&fleet, "ada", Some("change-1"), seen, &mine).await;
    assert_eq!(again.json()["revision"], revision, "{}", again.text());
    let other = put(&fleet, "ben", None, revision, &theirs).await;
    assert_eq!(other.status, StatusCode::OK, "{}", other.text());
    let again = put(&fleet, "ada", Some("change-1"), seen, &mine).await;
    assert_eq!(again.json()["revision"], revision, "{}", again.text());
    assert_eq!(history_of(&fleet, "studio").await.len(), 3);
    // The same id with other content is another change, and must not be
    // reported as written.
    let reused = put(&fleet, "ada", Some("change-1"), seen, &theirs).await;
    assert_eq!(reused.status, StatusCode::CONFLICT, "{}", reused.text());
}

/// The platform writes the change, but its answers are lost.
#[tokio::test]
async fn a_change_whose_answers_are_lost_is_reported_as_written() {
    for lost in [
        LostAnswers::Next(1),
        LostAnswers::Next(2),
        LostAnswers::All(true),
    ] {
        let fleet = TestFleet::start(FleetPlan::default()).await;
        let seen = revision_of(&fleet, "studio").await;
        set_faults(
            FaultChange {
                lose_answers: Some(lost),
                ..FaultChange::default()
            },
            &fleet,
        );
        let written = put(&fleet, "ada", None, seen, &with_rate(111)).await;
        assert_eq!(
            written.status,
            StatusCode::OK,
            "{lost:?}: {}",
            written.text()
        );
        assert_eq!(
            written.json()["revision"],
            revision_of(&fleet, "studio").await
        );
        assert_eq!(history_of(&fleet, "studio").await.len(), 2, "{lost:?}");
    }
}

/// During an outage of the platform, the operator must soon learn that nothing was
/// written and when to retry.
#[tokio::test]
async fn in_an_outage_a_change_is_refused_as_not_run() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let seen = revision_of(&fleet, "studio").await;
    let outage = |on| FaultChange {
        outage: Some(on),
        ..FaultChange::default()
    };
    set_faults(outage(true), &fleet);
    let began = Instant::now();
    let refused = put(&fleet, "ada", None, seen, &with_rate(111)).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers["x-comfreyramp-ran"], "no");
    assert!(refused.headers.contains_key("retry-after"));
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "{:?}",
        began.elapsed()
    );
    set_faults(outage(false), &fleet);
    assert_eq!(revision_of(&fleet, "studio").await, seen);
    let written = put(&fleet, "ada", None, seen, &with_rate(111)).await;
    assert_eq!(written.status, StatusCode::OK, "{}", written.text());
}

/// The platform is slow, and then so slow that every call times out.
#[tokio::test]
async fn a_slow_platform_delays_a_change_or_refuses_it_in_time() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let seen = revision_of(&fleet, "studio").await;
    let slow = |millis| FaultChange {
        slow: Some(Duration::from_millis(millis)),
        ..FaultChange::default()
    };
    set_faults(slow(500), &fleet);
    let written = put(&fleet, "ada", None, seen, &with_rate(111)).await;
    assert_eq!(written.status, StatusCode::OK, "{}", written.text());
    let seen = revision_of(&fleet, "studio").await;
    set_faults(slow(60_000), &fleet);
    let began = Instant::now();
    let refused = put(&fleet, "ada", None, seen, &with_rate(222)).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(
        began.elapsed() < Duration::from_secs(10),
        "{:?}",
        began.elapsed()
    );
}

/// A team changes its settings for years. The history must not exceed the maximum
/// size of a value of the platform, and daemons must not keep it in memory.
#[tokio::test]
async fn a_history_records_who_changed_what_and_keeps_the_last_changes() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let first = revision_of(&fleet, "studio").await;
    let made = history_of(&fleet, "studio").await[0]["differences"].clone();
    let differences = made.as_array().expect("differences");
    assert!(differences.iter().all(|it| it["what"] == "added"), "{made}");
    let mut seen = first;
    let count = KEPT_CHANGES + 3;
    for round in 0..count {
        let by = format!("operator-{round}");
        let written = put(&fleet, &by, None, seen, &with_rate(100 + round as u32)).await;
        assert_eq!(written.status, StatusCode::OK, "{}", written.text());
        seen = written.json()["revision"].as_i64().expect("a revision");
    }
    let changes = history_of(&fleet, "studio").await;
    assert_eq!(changes.len(), KEPT_CHANGES);
    assert_eq!(changes[0]["revision"], seen);
    assert_eq!(changes[0]["by"], format!("operator-{}", count - 1));
    assert_eq!(
        changes[0]["differences"][0]["place"],
        "customers[press].rate"
    );
    assert_eq!(changes[0]["differences"].as_array().map(Vec::len), Some(1));
    for pair in changes.windows(2) {
        assert_eq!(pair[0]["replaced"], pair[1]["revision"]);
    }
    let teams = read(&fleet, "/settings").await.json();
    assert_eq!(teams["teams"].as_array().map(Vec::len), Some(1), "{teams}");
    // For a revision older than the history, only the current revision is
    // reported.
    let late = put(&fleet, "ada", None, first, &with_rate(1)).await;
    assert_eq!(late.status, StatusCode::CONFLICT);
    assert!(
        late.text().contains("somebody else changed it"),
        "{}",
        late.text()
    );
    let unknown = read(&fleet, "/settings/nobody/history").await;
    assert_eq!(unknown.status, StatusCode::NOT_FOUND);
}

/// Requests to the operator API have no token or a wrong one.
#[tokio::test]
async fn without_the_token_nothing_is_disclosed_or_changed() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.operators;
    let requests = [
        (Method::GET, "/status"),
        (Method::GET, "/settings"),
        (Method::GET, "/settings/studio"),
        (Method::GET, "/settings/studio/history"),
        (Method::PUT, "/settings/studio"),
        (Method::POST, "/settings/studio/check"),
        (Method::POST, "/drain"),
        (Method::GET, "/unknown"),
    ];
    for (method, path) in requests {
        for authorization in [
            "",
            "Bearer",
            "Bearer ",
            "Bearer wrong",
            TOKEN,
            &format!("Bearer {TOKEN}x"),
        ] {
            let request = Request::builder()
                .method(method.clone())
                .uri(format!("http://{address}{path}"))
                .header(header::AUTHORIZATION, authorization)
                .body(MessageBody::empty())
                .expect("a valid request");
            let refused = fleet.fetch(request).await;
            assert_eq!(
                refused.status,
                StatusCode::UNAUTHORIZED,
                "{path} {authorization}"
            );
            assert!(!refused.text().contains(TOKEN));
        }
    }
    assert!(!fleet.daemons[0].stop.is_cancelled());
}

/// Monitoring, which reads the metrics without a token, relies on the values that
/// the documentation for operators lists.
#[tokio::test]
async fn metrics_report_the_current_values() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let answer = fleet.chat(0, KEY, &chat("a verse", 3, true)).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
    let seen = revision_of(&fleet, "studio").await;
    let text = read(&fleet, "/metrics").await.text();
    let expected = [
        format!("comfreyramp_state{{name=\"settings_revision\"}} {seen}"),
        "comfreyramp_state{name=\"settings_age_ms\"}".to_owned(),
        "comfreyramp_state{name=\"bulk_slots_open\"} 0".to_owned(),
        "comfreyramp_state{name=\"bulk_slots_allowed\"}".to_owned(),
        "comfreyramp_state{name=\"ready\"} 1".to_owned(),
        "comfreyramp_first_token_seconds_count{class=\"live\",customer=\"press\"} 1".to_owned(),
        "comfreyramp_between_tokens_seconds_count{class=\"live\",customer=\"press\"} 2".to_owned(),
        "comfreyramp_platform_calls_total{kind=".to_owned(),
        // A single daemon holds every slot, with a burst of 10,000 in total.
        "comfreyramp_share{customer=\"press\",part=\"capacity\"} 10000".to_owned(),
        "comfreyramp_share{customer=\"market\",part=\"tokens\"} 10000".to_owned(),
    ];
    for line in expected {
        assert!(text.contains(&line), "{line} is missing in {text}");
    }
}
