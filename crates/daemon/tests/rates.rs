//! Tests of a customer's rate across several daemons, through their caller APIs.

mod support;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use comfreyramp_settings::TeamSettings;
use support::{FleetPlan, KEY, SECOND_KEY, TestFleet, chat, default_settings};

const RATE: f64 = 20.0;
const BURST: u32 = 12;

fn tight_settings() -> TeamSettings {
    let mut settings = default_settings();
    settings.customers[0].rate = RATE;
    settings.customers[0].burst = BURST;
    settings
}

fn plan(daemons: Vec<&'static str>) -> FleetPlan {
    FleetPlan {
        daemons,
        settings: Some(tight_settings()),
        ..FleetPlan::default()
    }
}

/// Sends requests to one daemon for `duration` and returns how many were
/// admitted.
async fn send(fleet: &TestFleet, daemon: usize, duration: Duration) -> u32 {
    send_as(fleet, KEY, daemon, duration).await
}

async fn send_as(fleet: &TestFleet, key: &str, daemon: usize, duration: Duration) -> u32 {
    let began = Instant::now();
    let mut admitted = 0;
    while began.elapsed() < duration {
        let answer = fleet.chat(daemon, key, &chat("a verse", 1, false)).await;
        match answer.status {
            StatusCode::OK => admitted += 1,
            status => {
                assert_eq!(status, StatusCode::TOO_MANY_REQUESTS, "{}", answer.text());
                assert_eq!(answer.code(), "rate_limited");
                assert_eq!(answer.headers["x-comfreyramp-ran"], "no");
                assert!(answer.headers.contains_key("retry-after"));
            }
        }
    }
    admitted
}

/// A customer sends several times its rate to all daemons at once. If each daemon
/// counted on its own, the customer would get its full rate from each of them.
#[tokio::test]
async fn all_daemons_together_admit_no_more_than_the_rate() {
    let fleet = TestFleet::start(plan(vec!["zone-1", "zone-1", "zone-2"])).await;
    let began = Instant::now();
    let duration = Duration::from_secs(3);
    let sent = tokio::join!(
        send(&fleet, 0, duration),
        send(&fleet, 1, duration),
        send(&fleet, 2, duration),
    );
    let admitted = sent.0 + sent.1 + sent.2;
    let allowed = began.elapsed().as_secs_f64() * RATE + f64::from(BURST);
    assert!(f64::from(admitted) <= allowed, "{admitted} of {allowed}");
    assert!(admitted > 0, "no request was admitted");
}

/// All callers of a customer are connected to the daemon that started last. It
/// holds no tokens, and would refuse their requests if it couldn't borrow some.
#[tokio::test]
async fn a_daemon_without_tokens_borrows_them() {
    let fleet = TestFleet::start(plan(vec!["zone-1", "zone-1"])).await;
    let began = Instant::now();
    while send(&fleet, 1, Duration::from_millis(50)).await == 0 {
        assert!(
            began.elapsed() < Duration::from_secs(5),
            "no token was borrowed"
        );
    }
    let other = fleet.chat(1, SECOND_KEY, &chat("a verse", 1, false)).await;
    assert_eq!(other.status, StatusCode::OK, "{}", other.text());
}

/// During an outage of the platform, the daemons continue with the slots they
/// hold, and together still admit no more than the rate.
#[tokio::test]
async fn an_outage_of_the_platform_neither_stops_nor_widens_the_rate() {
    let fleet = TestFleet::start(plan(vec!["zone-1", "zone-1"])).await;
    // By then each daemon has found the other on the roster.
    tokio::time::sleep(Duration::from_secs(3)).await;
    fleet
        .platform
        .change_faults(comfreyramp_standins::platform::FaultChange {
            outage: Some(true),
            ..Default::default()
        });
    let began = Instant::now();
    // Longer than a daemon may spend tokens by a view that isn't confirmed.
    let duration = Duration::from_secs(7);
    let sent = tokio::join!(send(&fleet, 0, duration), send(&fleet, 1, duration));
    let outage_end = Instant::now();
    let second = Duration::from_secs(1);
    let last = tokio::join!(send(&fleet, 0, second), send(&fleet, 1, second));
    let last = last.0 + last.1;
    assert!(
        last > 0,
        "no request is admitted after {:?}",
        outage_end - began
    );
    let allowed = began.elapsed().as_secs_f64() * RATE + f64::from(BURST);
    let admitted = sent.0 + sent.1 + last;
    assert!(f64::from(admitted) <= allowed, "{admitted} of {allowed}");
}

/// A second daemon starts, and an outage of the platform begins within its first
/// seconds. Customers whose slots it hadn't taken yet were refused every request
/// during the outage.
#[tokio::test]
async fn an_outage_just_after_a_start_leaves_no_slot_without_a_holder() {
    let moments = (1..=12).map(|step| Duration::from_millis(200 * step));
    let admitted = futures::future::join_all(moments.map(admitted_in_outage)).await;
    let refused: Vec<_> = admitted.iter().filter(|it| it.1.contains(&0)).collect();
    assert!(refused.is_empty(), "no request is admitted: {refused:?}");
}

/// Starts a second daemon, and an outage of the platform `after` its start. Returns
/// `after`, and how many requests of each customer the first daemon admits once
/// the slots that were being transferred count again.
async fn admitted_in_outage(after: Duration) -> (Duration, [u32; 2]) {
    let mut settings = tight_settings();
    settings.customers[1].rate = RATE;
    settings.customers[1].burst = BURST;
    let plan = FleetPlan {
        settings: Some(settings),
        ..FleetPlan::default()
    };
    let mut fleet = TestFleet::start(plan).await;
    fleet.add_daemon("zone-1").await;
    tokio::time::sleep(after).await;
    let outage = comfreyramp_standins::platform::FaultChange {
        outage: Some(true),
        ..Default::default()
    };
    fleet.platform.change_faults(outage);
    tokio::time::sleep(Duration::from_secs(9)).await;
    let duration = Duration::from_secs(1);
    let press = send_as(&fleet, KEY, 0, duration).await;
    let market = send_as(&fleet, SECOND_KEY, 0, duration).await;
    (after, [press, market])
}
