//! A route counts as taken away only after a time for which current settings lacked it.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    lots::{RouteAbsence, RouteObservation},
};

const INTERVAL: Duration = Duration::from_millis(500);
const START: Timestamp = Timestamp::from_micros(100_000_000);

const MISSING: RouteObservation = RouteObservation {
    is_known: false,
    version: 7,
    accepted_version: 5,
    store_silence: Duration::from_millis(300),
};

/// Returns after how many seconds a route counts as taken away that is observed regularly,
/// `None` if it doesn't within half a minute.
fn taken_away_after(observation: impl Fn(Duration) -> RouteObservation) -> Option<f64> {
    let mut absence = RouteAbsence::default();
    (0..60).find_map(|step| {
        let elapsed = INTERVAL * step;
        let is_gone = absence.observe(observation(elapsed), START + elapsed);
        is_gone.then_some(elapsed.as_secs_f64())
    })
}

/// A route that is gone for good must count as taken away.
#[test]
fn a_route_that_stays_away_is_taken_away() {
    assert_eq!(taken_away_after(|_| MISSING), Some(5.0));
}

/// A route that is missing again and again, for less than the grace time each, must not
/// count as taken away.
#[test]
fn a_route_that_comes_back_is_not_taken_away() {
    let observation = |elapsed: Duration| RouteObservation {
        is_known: elapsed.as_millis().is_multiple_of(4_000),
        ..MISSING
    };
    assert_eq!(taken_away_after(observation), None);
}

/// Settings that are older than the lot don't say that its route was taken away.
#[test]
fn older_settings_take_no_route_away() {
    let observation = |_| RouteObservation {
        version: 4,
        ..MISSING
    };
    assert_eq!(taken_away_after(observation), None);
}

/// Settings of a daemon that the store doesn't answer don't say that the route is still away.
#[test]
fn settings_without_the_store_take_no_route_away() {
    let observation = |elapsed| RouteObservation {
        store_silence: elapsed,
        ..MISSING
    };
    assert_eq!(taken_away_after(observation), None);
}

/// A route that wasn't looked at for a while may have been back meanwhile.
#[test]
fn an_absence_that_was_not_watched_starts_anew() {
    let mut absence = RouteAbsence::default();
    let long_after = START + Duration::from_secs(60);
    assert!(!absence.observe(MISSING, START));
    assert!(!absence.observe(MISSING, long_after));
    assert!(!absence.observe(MISSING, long_after + INTERVAL));
}
