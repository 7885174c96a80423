//! Tests of customers' rates while daemons restart one after the other and others are killed
//! meanwhile. The load comes in steps of 0.38 and 1.87 times its mean.

mod usage_fleet;
mod usage_window;

use std::time::Duration;

use usage_fleet::UsageFleet;

const ENTRIES: usize = 64;
const ZONES: usize = 3;
const SEEDS: u64 = 6;
/// The daemons that restart, three at a time.
const RESTARTED: std::ops::Range<usize> = 0..28;
const RESTART_INTERVAL: Duration = Duration::from_millis(1_200);
const RESTART_DOWNTIME: Duration = Duration::from_millis(900);
/// The daemons that are killed at the same moment.
const KILLED: std::ops::Range<usize> = 28..64;
const KILL_STEP: usize = 4;
const KILL_DOWNTIME: Duration = Duration::from_millis(1_300);
/// How long fleets run on after the last restart, so that 10 s after the kill are counted.
const REMAINING_TIME: Duration = Duration::from_millis(2_800);
/// The mean load of customers, as a fraction of their rates.
const TYPICAL_LOAD: f64 = 0.6;
/// At most one in this many requests of customers within their rates may be refused.
const REQUESTS_PER_REFUSAL: usize = 500;

fn customers(load: f64) -> Vec<(f64, f64)> {
    let rates = [330.0, 140.0, 88.0, 50.0, 38.0, 24.0, 17.0, 10.0, 7.0, 5.0];
    let rates = rates.into_iter().cycle().take(35);
    rates.map(|it| (it, load)).collect()
}

/// Restarts daemons three at a time, each after it has drained, and kills the others halfway.
/// Customers' requests are counted from the kill on.
fn restart_and_kill(fleet: &mut UsageFleet) {
    let restarted: Vec<usize> = RESTARTED.collect();
    let mut draining: &[usize] = &[];
    for (step, group) in restarted.chunks(3).enumerate() {
        for &daemon in draining {
            fleet.kill(daemon, RESTART_DOWNTIME);
        }
        for &daemon in group {
            fleet.leave(daemon);
        }
        draining = group;
        if step == KILL_STEP {
            fleet.forget_counts();
            for daemon in KILLED {
                fleet.kill(daemon, KILL_DOWNTIME);
            }
        }
        fleet.run(RESTART_INTERVAL);
    }
}

/// Daemons that have just restarted charge customers for requests that the others admitted
/// before, but lack the tokens that were gained meanwhile, and refuse customers within their
/// rates for many seconds.
#[test]
fn customers_within_their_rates_are_admitted_during_a_rolling_restart() {
    let (mut sent, mut refused) = (0, 0);
    for seed in 1..=SEEDS {
        let mut fleet = UsageFleet::new(ENTRIES, ZONES, &customers(TYPICAL_LOAD), seed);
        fleet.run(Duration::from_millis(17_000 + 1_900 * seed));
        restart_and_kill(&mut fleet);
        fleet.run(REMAINING_TIME);
        sent += fleet.customers.iter().map(|it| it.sent).sum::<usize>();
        let wrongly = fleet.customers.iter().map(|it| it.refused_wrongly);
        refused += wrongly.sum::<usize>();
    }
    assert!(
        refused * REQUESTS_PER_REFUSAL <= sent,
        "{refused} of {sent} refused"
    );
}

/// Customers that send many times their typical load while daemons restart and others are
/// killed must not get more than their rates by it.
#[test]
fn a_rolling_restart_gives_no_second_burst() {
    for seed in 1..=SEEDS {
        let mut fleet = UsageFleet::new(ENTRIES, ZONES, &customers(7.5 * TYPICAL_LOAD), seed);
        fleet.run(Duration::from_millis(1_900 * seed));
        restart_and_kill(&mut fleet);
        fleet.assert_within_tolerance(seed);
    }
}
