//! Tests of how a change of settings appears to operators and callers while the
//! platform fails.

mod support;

use std::time::{Duration, Instant};

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_settings::{CutOffPolicy, TeamSettings};
use comfreyramp_standins::platform::{FaultChange, LostAnswers};
use serde_json::json;
use support::{
    FleetPlan, KEY, SECOND_KEY, TestFleet, WAIT_TIMEOUT, answers::WholeAnswer, chat,
    default_settings,
};

/// The time within which a change must be in force on every daemon.
const MAX_PROPAGATION_DELAY: Duration = Duration::from_secs(5);

fn outage(on: bool) -> FaultChange {
    FaultChange {
        outage: Some(on),
        ..FaultChange::default()
    }
}

/// Sends requests with a key until an answer has the given status, and returns
/// that answer.
async fn wait_for_status(
    fleet: &TestFleet,
    daemon: usize,
    key: &str,
    status: StatusCode,
) -> WholeAnswer {
    let began = Instant::now();
    loop {
        let answer = fleet.chat(daemon, key, &chat("a verse", 1, false)).await;
        if answer.status == status {
            return answer;
        }
        assert!(began.elapsed() < WAIT_TIMEOUT, "{}", answer.text());
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// A key is withdrawn while the daemons' watches are open but deliver nothing.
/// Without reads besides the watches, the key would stay valid.
#[tokio::test]
async fn a_key_withdrawn_behind_silent_watches_stops_within_seconds() {
    let plan = FleetPlan {
        daemons: vec!["zone-1", "zone-2"],
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    fleet.platform.change_faults(FaultChange {
        hold_watches: Some(true),
        ..FaultChange::default()
    });
    let mut settings = default_settings();
    settings.customers[0].keys.clear();
    let revision = revision_of(&fleet, "studio").await;
    let written = fleet
        .put_settings("studio", revision, &json!(settings))
        .await;
    assert_eq!(written.status, StatusCode::OK, "{}", written.text());
    let began = Instant::now();
    for daemon in 0..2 {
        wait_for_status(&fleet, daemon, KEY, StatusCode::UNAUTHORIZED).await;
    }
    assert!(
        began.elapsed() <= MAX_PROPAGATION_DELAY,
        "{:?}",
        began.elapsed()
    );
    let other = fleet.chat(0, SECOND_KEY, &chat("a verse", 1, false)).await;
    assert_eq!(other.status, StatusCode::OK, "{}", other.text());
}

async fn revision_of(fleet: &TestFleet, team: &str) -> i64 {
    let path = format!("/settings/{team}");
    let view = fleet.operators(0, Method::GET, &path, String::new()).await;
    view.json()["revision"].as_i64().expect("a revision")
}

fn settings_with_a_bound() -> TeamSettings {
    let mut settings = default_settings();
    settings.customers[1].when_cut = CutOffPolicy::RefuseAfter { seconds: 5 };
    settings
}

/// During an outage of the platform, a withdrawn key can't be told from a valid
/// one. One customer is configured to be served, the other to be refused.
#[tokio::test]
async fn in_an_outage_each_customer_gets_what_was_chosen_for_it() {
    let plan = FleetPlan {
        settings: Some(settings_with_a_bound()),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    // Without a fault, the age of the view stays far below the limit.
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(7) {
        let answer = fleet.chat(0, SECOND_KEY, &chat("a verse", 1, false)).await;
        assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    fleet.platform.change_faults(outage(true));
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    let refused = wait_for_status(&fleet, 0, SECOND_KEY, unavailable).await;
    assert_eq!(refused.code(), "settings_too_old");
    assert!(refused.headers.contains_key("retry-after"));
    let served = fleet.chat(0, KEY, &chat("a verse", 1, false)).await;
    assert_eq!(served.status, StatusCode::OK, "{}", served.text());

    fleet.platform.change_faults(outage(false));
    wait_for_status(&fleet, 0, SECOND_KEY, StatusCode::OK).await;
}

/// A daemon starts during an outage of the platform and has no settings. It must
/// not report ready to the load balancer, and requests that arrive anyway must be
/// refused with the statement that nothing ran.
#[tokio::test]
async fn a_daemon_started_in_an_outage_is_not_ready() {
    let mut fleet = TestFleet::start(FleetPlan::default()).await;
    fleet.platform.change_faults(outage(true));
    fleet.add_daemon("zone-1").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let ready = fleet.operators(1, Method::GET, "/readyz", String::new());
    assert_eq!(ready.await.status, StatusCode::SERVICE_UNAVAILABLE);
    let refused = fleet.chat(1, KEY, &chat("a verse", 1, false)).await;
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.headers["x-comfreyramp-ran"], "no");
    assert!(refused.headers.contains_key("retry-after"));

    fleet.platform.change_faults(outage(false));
    fleet.wait_ready(1).await;
    wait_for_status(&fleet, 1, KEY, StatusCode::OK).await;
}

/// The answer to an operator's write is lost after the write took effect. If the
/// write were reported as failed, the operator would repeat it and conflict with
/// their own change. A second operator who started from the same revision must get
/// a conflict that names the current revision.
#[tokio::test]
async fn a_change_whose_answer_is_lost_is_reported_as_written() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let seen = revision_of(&fleet, "studio").await;
    fleet.platform.change_faults(FaultChange {
        lose_answers: Some(LostAnswers::Next(1)),
        ..FaultChange::default()
    });
    let first = json!(settings_with_a_bound());
    let written = fleet.put_settings("studio", seen, &first).await;
    assert_eq!(written.status, StatusCode::OK, "{}", written.text());
    let revision = written.json()["revision"].as_i64().expect("a revision");
    assert_eq!(revision, revision_of(&fleet, "studio").await);

    let second = json!(default_settings());
    let conflict = fleet.put_settings("studio", seen, &second).await;
    assert_eq!(conflict.status, StatusCode::CONFLICT);
    let text = conflict.text();
    assert!(text.contains(&format!("revision {revision}")), "{text}");
}
