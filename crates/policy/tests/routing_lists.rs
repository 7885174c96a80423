//! Tests of routing: what VM lists change, and which servers never get a request.

mod routing_fixture;

use std::time::Duration;

use comfreyramp_policy::{
    RouteQuery, ServerId, ServerKey, ServerOutcome, ServerState, ServerTable, ZoneId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use routing_fixture::*;

/// A platform that has just restarted answers with an empty VM list. If the daemon
/// applied it, every caller would be refused although all servers are running.
#[test]
fn an_empty_list_is_not_an_empty_fleet() {
    let mut table = table(3, 0);
    let mut rng = StdRng::seed_from_u64(2);
    for secs in 1..2000 {
        let outcome = table.apply_list(&[], at(f64::from(secs)));
        assert!(outcome.ignored);
        assert!(
            table
                .choose(&query(), at(f64::from(secs)), &mut rng)
                .is_some()
        );
    }
}

/// A list from a lagging replica lacks two of four servers, one of which answers all
/// the time. Dropping them at once would take half of the capacity away; keeping them
/// forever would send requests to machines that are long gone.
#[test]
fn a_missing_server_is_kept_while_it_answers() {
    let mut table = table(4, 0);
    let mut rng = StdRng::seed_from_u64(3);
    let working = table.find("home-3").unwrap();
    let silent = table.find("home-2").unwrap();
    let short = vms(2, 0);
    for secs in 1..=29 {
        table.outcome(working, ServerOutcome::Ok, at(f64::from(secs)), &mut rng);
        let outcome = table.apply_list(&short, at(f64::from(secs)));
        assert_eq!(outcome.missing, 2);
    }
    assert!(table.find("home-2").is_some());
    table.outcome(working, ServerOutcome::Ok, at(30.0), &mut rng);
    let outcome = table.apply_list(&short, at(31.0));
    assert_eq!(outcome.dropped, vec![silent]);
    assert!(table.find("home-3").is_some());
    let outcome = table.apply_list(&short, at(70.0));
    assert_eq!(outcome.dropped, vec![working]);

    let outcome = table.apply_list(&vms(4, 0), at(71.0));
    assert_eq!(outcome.added.len(), 2);
}

/// The platform's list shrinks to one server of ten between two reads. Most likely the
/// list is wrong, so the servers are kept for a long time.
#[test]
fn a_list_that_lacks_most_servers_is_applied_late() {
    let mut table = table(10, 0);
    for secs in 1..600 {
        table.apply_list(&vms(1, 0), at(f64::from(secs)));
        assert_eq!(table.servers().count(), 10);
    }
    table.apply_list(&vms(1, 0), at(602.0));
    assert_eq!(table.servers().count(), 1);
}

/// A server that is being stopped is listed as leaving, then a lagging replica lists it
/// as live again for some reads. New requests would be cut off there.
#[test]
fn a_leaving_server_gets_nothing_new() {
    let mut table = table(2, 0);
    let mut rng = StdRng::seed_from_u64(4);
    let leaving = table.find("home-1").unwrap();
    let mut list = vms(2, 0);
    list[1].leaving = true;
    assert_eq!(table.apply_list(&list, at(1.0)).leaving, vec![leaving]);
    for read in 0..20 {
        list[1].leaving = read % 4 == 0;
        table.apply_list(&list, at(2.0 + f64::from(read)));
        for _ in 0..20 {
            let server = table.choose(&query(), at(3.0), &mut rng).unwrap();
            assert_ne!(server, leaving);
        }
    }
}

/// The server itself reports that it is leaving, long before the list does.
#[test]
fn a_server_is_believed_when_it_says_that_it_leaves() {
    let mut table = table(2, 0);
    let mut rng = StdRng::seed_from_u64(5);
    let leaving = table.find("home-0").unwrap();
    table.begin(leaving);
    table.mark_leaving(leaving);
    table.apply_list(&vms(2, 0), at(1.0));
    table.end(leaving, Duration::from_secs(1));
    assert_eq!(shares(&table, 100, at(2.0), &mut rng)[leaving.index()], 0);
}

#[test]
fn an_index_is_reused_only_after_its_requests_have_ended() {
    let mut table = table(2, 0);
    let gone = table.find("home-0").unwrap();
    table.begin(gone);
    table.apply_list(&vms(2, 0)[1..], at(1.0));
    table.apply_list(&vms(2, 0)[1..], at(40.0));
    let other = table.apply_list(&[vm("new-0", OWN_ZONE)], at(41.0)).added[0];
    assert_ne!(other, gone);
    table.end(gone, Duration::from_secs(1));
    let reused = table.apply_list(&[vm("new-1", OWN_ZONE)], at(42.0)).added[0];
    assert_eq!(reused, gone);
    assert_eq!(table.entry(gone).unwrap().key, ServerKey::of("new-1"));
    assert_eq!(table.find_key(ServerKey::of("new-1")), Some(gone));
    assert_eq!(table.find_key(ServerKey::of("home-0")), None);
}

/// Applies arbitrary wrong lists, outcomes and reports, in any order. A chosen server
/// must accept new requests and not be excluded, and a server is chosen as long as
/// there is such a server.
#[test]
fn whatever_happens_only_live_servers_are_chosen() {
    for seed in 0..200 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut table = ServerTable::default();
        let mut running: Vec<ServerId> = Vec::new();
        let mut now = at(1.0);
        for _ in 0..300 {
            now = now + Duration::from_millis(rng.random_range(0..3000));
            let any = ServerId(rng.random_range(0..12));
            match rng.random_range(0..8) {
                0 => {
                    let mut list = vms(6, 4);
                    list.retain(|_| rng.random_bool(0.8));
                    for listed in &mut list {
                        listed.leaving = rng.random_bool(0.2);
                        listed.zone = ZoneId(rng.random_range(0..2));
                    }
                    table.apply_list(&list, now);
                }
                1 => table.outcome(any, ServerOutcome::Broken, now, &mut rng),
                2 => table.outcome(any, ServerOutcome::Ok, now, &mut rng),
                3 => table.mark_leaving(any),
                4 => {
                    if let Some(ended) = running.pop() {
                        table.end(ended, Duration::from_millis(300));
                    }
                }
                _ => {
                    let exclude = [any];
                    let query = RouteQuery {
                        exclude: &exclude,
                        prefix: rng.random_bool(0.5).then(|| rng.random()),
                        ..query()
                    };
                    let takes_work = |id: ServerId, state| id != any && state == ServerState::Live;
                    let is_left = table.servers().any(|(id, it)| takes_work(id, it.state));
                    let chosen = table.choose(&query, now, &mut rng);
                    assert_eq!(chosen.is_some(), is_left, "seed {seed}");
                    if let Some(chosen) = chosen {
                        let entry = table.entry(chosen).unwrap();
                        assert!(takes_work(chosen, entry.state), "seed {seed}");
                        table.begin(chosen);
                        running.push(chosen);
                    }
                }
            }
        }
        for ended in running.drain(..) {
            table.end(ended, Duration::from_millis(300));
        }
        let mut loads = table.servers().map(|(_, it)| it.load.in_flight);
        assert!(loads.all(|it| it == 0), "seed {seed}");
    }
}
