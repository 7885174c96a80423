//! Tests of routing: which server gets a request.

mod routing_fixture;

use comfreyramp_policy::{
    LoadReport, RouteQuery, ServerId, ServerOutcome, ServerTable, ZoneId, ZoneLoad,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use routing_fixture::*;

fn zone_of(table: &ServerTable, server: ServerId) -> ZoneId {
    table.entry(server).expect("a known server").zone
}

#[test]
fn own_zone_goes_first_until_it_is_full() {
    let mut table = table(2, 2);
    let mut rng = StdRng::seed_from_u64(1);
    for _ in 0..32 {
        let server = table.choose(&query(), at(1.0), &mut rng).unwrap();
        assert_eq!(zone_of(&table, server), OWN_ZONE);
        table.begin(server);
    }
    let server = table.choose(&query(), at(1.0), &mut rng).unwrap();
    assert_eq!(zone_of(&table, server), OTHER_ZONE);

    let full = ZoneLoad {
        servers: 2,
        load: 40.0,
        batch: 32.0,
    };
    table.note_zone_load(GROUP, OTHER_ZONE, full, at(1.0));
    let server = table.choose(&query(), at(1.0), &mut rng).unwrap();
    assert_eq!(
        zone_of(&table, server),
        OWN_ZONE,
        "the other zone is full too"
    );
    assert_eq!(
        table.choose_with_capacity(&query(), at(1.0), &mut rng),
        None
    );
    let server = table
        .choose_with_capacity(&query(), at(12.0), &mut rng)
        .unwrap();
    assert_eq!(
        zone_of(&table, server),
        OTHER_ZONE,
        "its report is outdated by now"
    );
}

/// A server's process is gone while the list still has it, so each request to it fails.
/// The daemon must detect that by its connections, send it fewer and fewer requests,
/// and restore its share in steps once it answers again.
#[test]
fn ejection_and_return_are_gradual() {
    let mut table = table(4, 0);
    let mut rng = StdRng::seed_from_u64(6);
    let bad = table.find("home-0").unwrap();
    let even = shares(&table, 4000, at(1.0), &mut rng)[bad.index()];
    table.outcome(bad, ServerOutcome::ConnectFailed, at(1.0), &mut rng);
    let once = shares(&table, 4000, at(1.0), &mut rng)[bad.index()];
    assert!(once > even / 3 && once < even * 4 / 5, "{even} then {once}");
    table.outcome(bad, ServerOutcome::ConnectFailed, at(1.1), &mut rng);
    table.outcome(bad, ServerOutcome::ConnectFailed, at(1.2), &mut rng);
    assert_eq!(shares(&table, 4000, at(1.3), &mut rng)[bad.index()], 0);

    let mut before = 0;
    for secs in 3..8 {
        let share = shares(&table, 4000, at(f64::from(secs)), &mut rng)[bad.index()];
        assert!(share > before, "{before} then {share}");
        assert!(before == 0 || share < before * 3, "{before} then {share}");
        before = share;
        for _ in 0..50 {
            table.outcome(bad, ServerOutcome::Ok, at(f64::from(secs)), &mut rng);
        }
    }
    assert!(before > even * 9 / 10);
}

#[test]
fn a_server_that_keeps_failing_is_tried_ever_less() {
    let mut table = table(4, 0);
    let mut rng = StdRng::seed_from_u64(7);
    let bad = table.find("home-0").unwrap();
    let mut attempts = [0; 2];
    for tenth in 0..6000 {
        let now = at(f64::from(tenth) / 10.0);
        for _ in 0..10 {
            if table.choose(&query(), now, &mut rng) == Some(bad) {
                table.outcome(bad, ServerOutcome::ConnectFailed, now, &mut rng);
                attempts[usize::from(tenth >= 3000)] += 1;
            }
        }
    }
    assert!(attempts[0] <= 20 && attempts[1] <= 8, "{attempts:?}");
}

/// The daemon's own network fails for a moment, and with it the connections to all
/// servers. If all of them were ejected, callers would be refused long after the
/// network is back.
#[test]
fn the_last_server_is_never_ejected() {
    let mut table = table(3, 2);
    let mut rng = StdRng::seed_from_u64(8);
    let servers: Vec<ServerId> = table.servers().map(|(server, _)| server).collect();
    for _ in 0..20 {
        for &server in &servers {
            table.outcome(server, ServerOutcome::ConnectFailed, at(1.0), &mut rng);
        }
    }
    let left = table.servers();
    let left = left
        .filter(|(_, it)| !it.health.is_ejected(at(1.0)))
        .count();
    assert_eq!(left, 1);
    assert!(table.choose(&query(), at(1.0), &mut rng).is_some());
    let exclude = [servers[4], servers[3]];
    let query = RouteQuery {
        exclude: &exclude,
        ..query()
    };
    assert!(table.choose(&query, at(1.0), &mut rng).is_some());
}

/// A server reports that it is idle, and its next reports arrive seconds later. If the
/// daemon used only the report, it would send all requests to this server.
#[test]
fn own_requests_correct_a_lagging_report() {
    let mut table = table(4, 0);
    let mut rng = StdRng::seed_from_u64(9);
    for server in 0..4 {
        let report = LoadReport {
            running: if server == 0 { 0 } else { 8 },
            waiting: 0,
            batch: 64,
        };
        table.report(ServerId(server), report, at(1.0));
    }
    for _ in 0..100 {
        let server = table.choose(&query(), at(1.0), &mut rng).unwrap();
        table.begin(server);
    }
    let most = (0..4).map(|it| table.entry(ServerId(it)).unwrap().load.in_flight);
    let most = most.max().unwrap();
    // An even load would be 31 on the server that was idle and 23 on each other server.
    assert!(most <= 34, "{most} of 100 went to one server");
}

/// Every server reports a full batch of other daemons' requests. Reports arrive with
/// answers, so a daemon that sends nothing receives no reports: it would hold its
/// callers' requests forever, long after the servers are free.
#[test]
fn full_servers_are_tried_again() {
    let mut table = table(4, 0);
    let mut rng = StdRng::seed_from_u64(13);
    for _ in 0..50 {
        for server in 0..4 {
            let report = LoadReport {
                running: 16,
                waiting: 4,
                batch: 16,
            };
            table.report(ServerId(server), report, at(1.0));
        }
    }
    let probe = table.choose_with_capacity(&query(), at(1.1), &mut rng);
    table.begin(probe.expect("one request to get new reports"));
    assert_eq!(
        table.choose_with_capacity(&query(), at(1.2), &mut rng),
        None
    );
    let later = table.choose_with_capacity(&query(), at(12.0), &mut rng);
    assert!(later.is_some(), "the reports are old");
}

/// All servers but one are ejected, and that one leaves. The ejected servers may have
/// recovered, so they are used rather than holding requests until the end of the
/// ejection.
#[test]
fn ejected_servers_are_used_when_nothing_else_is_left() {
    let mut table = table(3, 0);
    let mut rng = StdRng::seed_from_u64(14);
    let servers: Vec<ServerId> = table.servers().map(|(server, _)| server).collect();
    for _ in 0..10 {
        for &server in &servers {
            table.outcome(server, ServerOutcome::Broken, at(1.0), &mut rng);
        }
    }
    let last = table
        .servers()
        .find(|(_, it)| !it.health.is_ejected(at(1.0)));
    let last = last.unwrap().0;
    table.mark_leaving(last);
    let found = table.choose_with_capacity(&query(), at(1.0), &mut rng);
    assert!(found.is_some_and(|it| it != last));
}

#[test]
fn the_lower_wait_of_two_servers_beats_a_random_choice() {
    let highest = |seed: u64, by_chance: bool| {
        let mut table = table(50, 0);
        let mut rng = StdRng::seed_from_u64(seed);
        for _ in 0..400 {
            let server = if by_chance {
                ServerId(rng.random_range(0..50))
            } else {
                table.choose(&query(), at(1.0), &mut rng).unwrap()
            };
            table.begin(server);
        }
        let loads = table.servers().map(|(_, it)| it.load.in_flight);
        loads.max().unwrap()
    };
    let chosen_loads: u32 = (0..20).map(|seed| highest(seed, false)).sum();
    let random_loads: u32 = (0..20).map(|seed| highest(seed, true)).sum();
    // The mean load is 8; a request waits for the load above it.
    assert!(
        (chosen_loads - 160) * 3 < random_loads - 160,
        "{chosen_loads} compared with {random_loads}"
    );
}

#[test]
fn a_prefix_stays_with_its_server_until_that_is_loaded() {
    let mut table = table(20, 0);
    let mut rng = StdRng::seed_from_u64(11);
    let query = query().prefix(77);
    let first = table.choose(&query, at(1.0), &mut rng).unwrap();
    for _ in 0..8 {
        assert_eq!(table.choose(&query, at(1.0), &mut rng), Some(first));
        table.begin(first);
    }
    let mut others = 0;
    for _ in 0..72 {
        let server = table.choose(&query, at(1.0), &mut rng).unwrap();
        others += usize::from(server != first);
        table.begin(server);
    }
    assert!(others >= 60, "only {others} of 72 went elsewhere");
}

#[test]
fn daemons_agree_on_a_prefix_whatever_order_they_learnt_of_the_servers() {
    let one = table(20, 0);
    let mut two = ServerTable::default();
    let mut list = vms(20, 0);
    list.reverse();
    two.apply_list(&list, at(0.0));
    let mut rng = StdRng::seed_from_u64(12);
    for prefix in 0..100 {
        let name = |table: &ServerTable, rng: &mut StdRng| {
            let query = query().prefix(prefix);
            let server = table.choose(&query, at(1.0), rng).unwrap();
            table.entry(server).unwrap().name.clone()
        };
        assert_eq!(name(&one, &mut rng), name(&two, &mut rng));
    }
}
