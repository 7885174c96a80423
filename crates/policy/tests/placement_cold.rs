//! Simulates a zone whose servers come back together, cold, while callers are at their
//! peak, on virtual time: the daemons learn late that the servers are back, and of each
//! other's requests.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

mod cold_fleet;
mod placement_replay;

use std::time::Duration;

use cold_fleet::{ColdFleet, FleetShape, Incident};
use comfreyramp_policy::{
    Timestamp,
    placement::{ColdTolerance, PlacementQuery, PlacementTable, ServerListing, WorkKind},
    usage::PeerId,
};
use rand::{SeedableRng, rngs::StdRng};

/// The fraction of the requests that the limits allow which has to be served.
const MIN_SERVED_FRACTION: f64 = 0.97;

const FLEET: FleetShape = FleetShape {
    daemons: 50,
    servers: 90,
    rate: 430.0,
    seeds: 3,
};
const LARGE_FLEET: FleetShape = FleetShape {
    daemons: 195,
    seeds: 1,
    ..FLEET
};

fn check(shape: FleetShape, incident: Incident) {
    for seed in 0..shape.seeds {
        let outcome = ColdFleet::new(shape, incident, seed).run();
        println!("{shape:?} {incident:?} seed {seed}: {outcome:?}");
        assert!(
            outcome.most_in_a_second <= cold_fleet::LIMIT,
            "a cold server got {} requests in a second",
            outcome.most_in_a_second
        );
        let served = outcome.served as f64 / outcome.allowed;
        assert!(
            served >= MIN_SERVED_FRACTION,
            "{served:.3} of the allowed requests were served"
        );
    }
}

/// All servers of a zone return within the same moment.
#[test]
fn a_zone_of_cold_servers_is_not_overrun() {
    check(FLEET, Incident::ZoneReturns);
    check(LARGE_FLEET, Incident::ZoneReturns);
}

/// The servers return under their former names, before the daemons know that they failed.
#[test]
fn servers_that_restart_unnoticed_are_not_overrun() {
    check(FLEET, Incident::QuickRestart);
}

/// The zone has only its own cold servers.
#[test]
fn a_zone_of_cold_servers_that_is_cut_off_still_serves() {
    check(FLEET, Incident::ReturnInCut);
    check(LARGE_FLEET, Incident::ReturnInCut);
}

/// Restarted daemons don't know what they sent a moment ago, nor, at first, each other.
#[test]
fn daemons_that_restart_do_not_use_their_shares_twice() {
    check(FLEET, Incident::DaemonsRestart);
}

/// Servers fail and return every second and a half.
#[test]
fn flapping_servers_are_not_overrun() {
    check(FLEET, Incident::Flapping);
}

/// The load doubles while the zone's servers are cold.
#[test]
fn a_burst_does_not_overrun_cold_servers() {
    check(FLEET, Incident::Burst);
}

/// The servers turn cold without having failed.
#[test]
fn servers_that_turn_cold_in_service_are_not_overrun() {
    check(FLEET, Incident::TurnCold);
}

const NOW: Timestamp = Timestamp::from_micros(10_000_000);
const TOLERANCE: ColdTolerance = ColdTolerance {
    factor: 1.5,
    requests: 5.0,
};

fn listing(name: &str, zone: &str, cold_left: Option<Duration>) -> ServerListing {
    ServerListing {
        name: name.to_owned(),
        service: "drafts".to_owned(),
        zone: zone.to_owned(),
        address: format!("{name}:80"),
        slots: 8,
        is_ready: true,
        version: "v1".to_owned(),
        incarnation: 1,
        cold_left,
        revision: 1,
    }
}

fn query(exclude: &[comfreyramp_policy::ServerId]) -> PlacementQuery<'_> {
    PlacementQuery {
        service: "drafts",
        zone: "a",
        exclude,
        max_wait: Duration::from_millis(200),
        software: None,
        parts: &[],
    }
}

/// Returns how many live requests a daemon may send at once to the servers it knows.
fn accepted_at_once(table: &mut PlacementTable, now: Timestamp) -> u32 {
    let mut random = StdRng::seed_from_u64(1);
    let mut accepted = 0;
    while let Ok(placement) = table.choose_live(query(&[]), now, &mut random) {
        table.begin(placement.server, WorkKind::Live, now);
        accepted += 1;
    }
    accepted
}

fn table_with(cold_left: Option<Duration>, rate: f64) -> PlacementTable {
    let mut table = PlacementTable::new(PeerId(1));
    let limit = TOLERANCE.limit(Duration::from_secs(3), rate).unwrap();
    table.set_cold_limits(vec![("drafts".to_owned(), limit)], NOW);
    table.set_listings(&[listing("near", "a", cold_left)], NOW);
    let own = PeerId(1);
    table.set_cold_shares(|server, _, limit| limit.share(server, own, &[&[own]]));
    table
}

/// An entry with a negative time must not count as one of a warm server.
#[test]
fn a_server_without_a_valid_time_counts_as_cold() {
    let in_warm = accepted_at_once(&mut table_with(Some(Duration::ZERO), 6.2), NOW);
    let in_invalid = accepted_at_once(&mut table_with(None, 6.2), NOW);
    let in_cold = accepted_at_once(&mut table_with(Some(Duration::from_secs(3)), 6.2), NOW);
    assert!(in_invalid < in_warm);
    assert_eq!(in_invalid, in_cold);
}

/// An absurd time must not keep a server out of use for ever.
#[test]
fn an_absurd_time_ends() {
    let mut table = table_with(Some(Duration::from_secs(1_000_000)), 6.2);
    let later = NOW + Duration::from_secs(31);
    assert!(accepted_at_once(&mut table, later) > 4);
}

/// With a limit of nought nothing is sent, rather than anything.
#[test]
fn a_limit_of_nought_allows_nothing() {
    let mut table = table_with(Some(Duration::from_secs(3)), 0.0);
    let limit = ColdTolerance::default().limit(Duration::from_secs(3), -1.0);
    let limit = limit.unwrap();
    assert_eq!(limit.requests, 0);
    table.set_cold_shares(|server, _, _| limit.share(server, PeerId(1), &[&[PeerId(1)]]));
    assert_eq!(accepted_at_once(&mut table, NOW), 0);
}

/// An item of a lot takes none of the few requests that a cold server tolerates.
#[test]
fn items_do_not_use_cold_servers() {
    let table = table_with(Some(Duration::from_secs(3)), 6.2);
    let mut random = StdRng::seed_from_u64(1);
    assert_eq!(table.choose_bulk(query(&[]), NOW, &mut random), None);
    let later = NOW + Duration::from_secs(4);
    assert!(table.choose_bulk(query(&[]), later, &mut random).is_some());
}

/// A server of an evacuated zone gets nothing, even where no other server is left; taken
/// back, it counts as cold, whatever its entry says.
#[test]
fn an_evacuated_zone_gets_nothing_and_returns_cold() {
    let mut table = table_with(Some(Duration::ZERO), 6.2);
    table.set_evacuated_zones(vec!["a".to_owned(), "unknown".to_owned()], NOW);
    assert_eq!(accepted_at_once(&mut table, NOW), 0);
    assert!(!table.has_server("drafts"));
    let mut random = StdRng::seed_from_u64(1);
    assert_eq!(table.choose_bulk(query(&[]), NOW, &mut random), None);
    // A server that is listed during the evacuation.
    let listings = [
        listing("near", "a", Some(Duration::ZERO)),
        listing("new", "a", Some(Duration::ZERO)),
    ];
    table.set_listings(&listings, NOW);
    assert!(!table.has_server("drafts"));
    table.set_evacuated_zones(Vec::new(), NOW);
    assert!(table.has_server("drafts"));
    let own = PeerId(1);
    table.set_cold_shares(|server, _, limit| limit.share(server, own, &[&[own]]));
    assert!(accepted_at_once(&mut table, NOW) <= 2 * 2);
}
