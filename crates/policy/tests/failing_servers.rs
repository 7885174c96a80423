//! Replays servers, zones, customers and services whose requests fail, on virtual time.

mod failing_fleet;

use std::time::Duration;

use failing_fleet::{Approach, Fault, Scenario, replay_seeds};

/// Guards against servers that fail at once and attract load: they look idle.
#[test]
fn few_requests_reach_servers_that_fail_at_once() {
    let run = |approach| replay_seeds(Scenario::new(approach, Fault::EightServers), 1..=6);
    let today = run(Approach::Ignore);
    let ejected = run(Approach::EjectAfterTwo);
    let own = run(Approach::OwnCounts);
    let compared = run(Approach::Compare);
    for figures in [&today, &ejected, &own] {
        let failed = figures.single_failed_per_1000();
        assert!(failed > compared.single_failed_per_1000(), "{failed}");
    }
    let failed = compared.single_failed_per_1000();
    assert!(failed <= 3.0, "{failed} in 1,000 failed");
    assert!(compared.used_after <= Duration::from_secs(1));
}

/// Guards against servers that far daemons go on avoiding after they have recovered.
#[test]
fn every_daemon_trusts_recovered_servers_within_a_second() {
    let scenario = Scenario::new(Approach::Compare, Fault::EightServers);
    let compared = replay_seeds(scenario, 1..=6);
    let recovered_after = compared.recovered_after;
    assert!(
        recovered_after <= Duration::from_secs(1),
        "{recovered_after:?}"
    );
}

/// Guards against a zone whose servers fail often, but not always.
#[test]
fn requests_leave_a_zone_that_fails_often() {
    let run = |approach| replay_seeds(Scenario::new(approach, Fault::Zone), 1..=3);
    let today = run(Approach::Ignore);
    run(Approach::EjectAfterTwo);
    let compared = run(Approach::Compare);
    assert!(compared.single_failed * 3 <= today.single_failed * 2);
}

/// Guards against servers that are avoided since one large customer's requests fail.
#[test]
fn no_server_is_avoided_for_a_customer_whose_requests_fail() {
    run_customer(Approach::EjectAfterTwo);
    let compared = run_customer(Approach::Compare);
    assert!(compared.avoided_most <= 0.1, "{}", compared.avoided_most);
    assert!(compared.avoided_mean <= 0.01, "{}", compared.avoided_mean);
}

fn run_customer(approach: Approach) -> failing_fleet::Figures {
    replay_seeds(Scenario::new(approach, Fault::Customer), 1..=3)
}

/// Guards against avoiding servers that fail no more than all others.
#[test]
fn no_server_is_avoided_where_all_fail() {
    let scenario = Scenario::new(Approach::Compare, Fault::Service);
    let figures = replay_seeds(scenario, 1..=3);
    assert!(figures.avoided_mean <= 0.01, "{}", figures.avoided_mean);
}

/// Guards against relying on a peer that is gone, or on reports that arrive in time.
#[test]
fn lost_peers_and_late_reports_cost_little() {
    let lost = Scenario {
        lost_daemon: Some(7),
        ..Scenario::new(Approach::Compare, Fault::EightServers)
    };
    let lost = replay_seeds(lost, 1..=3);
    assert!(lost.single_failed_per_1000() <= 4.0);
    let late = Scenario {
        report_delay: Duration::from_secs(2),
        ..Scenario::new(Approach::Compare, Fault::EightServers)
    };
    let late = replay_seeds(late, 1..=3);
    let own = Scenario::new(Approach::OwnCounts, Fault::EightServers);
    let own = replay_seeds(own, 1..=3);
    assert!(late.single_failed_per_1000() <= own.single_failed_per_1000() * 1.1 + 1.0);
}
