//! Tests of where requests are sent, and when they are refused instead.

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_policy::name_hash;
use comfreyramp_policy::{
    ServerId, Timestamp,
    placement::{
        LoadShare, PlacementQuery, PlacementRefusal, PlacementTable, ServerListing,
        ServerOutcomeKind, SlotReport, WorkKind,
    },
    usage::PeerId,
};
use rand::{SeedableRng, rngs::StdRng};

const NOW: Timestamp = Timestamp::from_micros(10_000_000);
const OBJECTIVE: Duration = Duration::from_millis(200);

fn listing(name: &str, zone: &str) -> ServerListing {
    ServerListing {
        name: name.to_owned(),
        service: "drafts".to_owned(),
        zone: zone.to_owned(),
        address: format!("{name}:80"),
        slots: 4,
        is_ready: true,
        version: "v1".to_owned(),
        incarnation: 1,
        cold_left: Some(Duration::ZERO),
        revision: 1,
    }
}

fn table() -> PlacementTable {
    let mut table = PlacementTable::new(PeerId(1));
    table.set_listings(&[listing("near", "a"), listing("far", "b")], NOW);
    table
}

fn query(exclude: &[ServerId]) -> PlacementQuery<'_> {
    PlacementQuery {
        service: "drafts",
        zone: "a",
        exclude,
        max_wait: OBJECTIVE,
        software: None,
        parts: &[],
    }
}

fn chosen(table: &PlacementTable) -> Result<String, PlacementRefusal> {
    let placement = table.choose_live(query(&[]), NOW, &mut StdRng::seed_from_u64(1))?;
    Ok(table.listing(placement.server).name.clone())
}

const NEAR: ServerId = ServerId(0);
const FAR: ServerId = ServerId(1);

/// A new server must not take over the entry, and with it the load and the failures, of a
/// server that is still listed after it.
#[test]
fn a_new_server_does_not_reset_what_is_known_of_others() {
    let mut table = table();
    for _ in 0..3 {
        table.note(NEAR, ServerOutcomeKind::Broken, NOW);
    }
    let peer_load = LoadShare { live: 3, bulk: 0 };
    table.receive(PeerId(2), &[(table.key(FAR), peer_load)], NOW);
    assert_eq!(chosen(&table), Ok("far".to_owned()));
    let listings = [
        listing("new", "c"),
        listing("near", "a"),
        listing("far", "b"),
    ];
    table.set_listings(&listings, NOW);
    assert_eq!(table.listing(NEAR).name, "near");
    assert_eq!(table.listing(FAR).name, "far");
    let exclude = [ServerId(2)];
    let placement = table.choose_live(query(&exclude), NOW, &mut StdRng::seed_from_u64(1));
    let found = placement.map(|it| (it.server, it.load));
    assert_eq!(found, Ok((FAR, peer_load)), "what was known was forgotten");
}

/// A zone is full while another zone has free slots. Requests that wait in their own
/// zone would start late for no reason.
#[test]
fn another_zone_is_used_before_a_request_waits() {
    let mut table = table();
    assert_eq!(chosen(&table), Ok("near".to_owned()));
    for _ in 0..4 {
        table.begin(NEAR, WorkKind::Live, NOW);
    }
    assert_eq!(chosen(&table), Ok("far".to_owned()));
}

/// All slots hold live requests, so that a new request would start too late. It is
/// refused at once, with a retry time, instead of being held until its deadline.
#[test]
fn a_request_that_would_start_too_late_is_refused_at_once() {
    let mut table = table();
    for _ in 0..8 {
        table.begin(NEAR, WorkKind::Live, NOW);
        table.begin(FAR, WorkKind::Live, NOW);
    }
    assert_matches!(chosen(&table), Err(PlacementRefusal::Full { retry_after, .. })
        if retry_after >= Duration::from_millis(250));
}

/// Items of lots hold all slots. A live request is still admitted, and one item is
/// preempted for it, because items can wait.
#[test]
fn items_of_lots_cause_no_refusal() {
    let mut table = table();
    for _ in 0..4 {
        table.begin(NEAR, WorkKind::Bulk, NOW);
        table.begin(FAR, WorkKind::Bulk, NOW);
    }
    let first = chosen(&table);
    assert!(first.is_ok());
    table.begin(NEAR, WorkKind::Live, NOW);
    let orders = table.preemption_orders(NOW);
    assert_eq!(orders.len(), 1);
    assert_eq!((orders[0].server, orders[0].items), (NEAR, 1));
}

/// Two daemons have items on a server where a live request needs one slot. If each
/// daemon preempted an item, one slot would be freed for nothing.
#[test]
fn daemons_together_preempt_only_what_is_missing() {
    let mut total = 0;
    for (own, other) in [(1, 2), (2, 1)] {
        let mut table = PlacementTable::new(PeerId(own));
        table.set_listings(&[listing("near", "a")], NOW);
        for _ in 0..2 {
            table.begin(NEAR, WorkKind::Bulk, NOW);
        }
        let bulk = LoadShare { live: 0, bulk: 2 };
        table.receive(PeerId(other), &[(name_hash("near"), bulk)], NOW);
        let live = LoadShare { live: 1, bulk: 0 };
        table.receive(PeerId(9), &[(name_hash("near"), live)], NOW);
        total += table
            .preemption_orders(NOW)
            .iter()
            .map(|it| it.items)
            .sum::<u32>();
    }
    assert_eq!(total, 1);
}

/// An item was just preempted. If it were started again at once, it would be preempted
/// again at once, as long as the live requests last.
#[test]
fn no_item_starts_where_one_was_just_preempted() {
    let mut table = table();
    table.set_listings(&[listing("near", "a")], NOW);
    for _ in 0..4 {
        table.begin(NEAR, WorkKind::Bulk, NOW);
    }
    table.begin(NEAR, WorkKind::Live, NOW);
    let later = NOW + Duration::from_millis(100);
    assert_eq!(table.preemption_orders(later).len(), 1);
    for _ in 0..3 {
        table.end(NEAR, WorkKind::Bulk);
    }
    let mut random = StdRng::seed_from_u64(1);
    let soon = later + Duration::from_millis(200);
    assert_eq!(table.choose_bulk(query(&[]), soon, &mut random), None);
    let late = later + Duration::from_millis(900);
    assert!(table.choose_bulk(query(&[]), late, &mut random).is_some());
}

/// Daemons behind a network cut can't be reached, but they use the same server. The
/// server's own report includes their requests.
#[test]
fn a_server_report_includes_load_that_no_peer_reported() {
    let mut table = table();
    let report = SlotReport {
        running: 4,
        waiting: 3,
        slots: 4,
        pace_percent: None,
    };
    table.report(NEAR, report, NOW);
    assert_eq!(chosen(&table), Ok("far".to_owned()));
}

/// A server fails twice in a row. It is avoided for a moment, unless there is no other
/// server.
#[test]
fn a_failing_server_is_avoided_unless_it_is_the_last_one() {
    let mut table = table();
    for _ in 0..2 {
        table.note(NEAR, ServerOutcomeKind::Broken, NOW);
    }
    assert_eq!(chosen(&table), Ok("far".to_owned()));
    table.set_listings(&[listing("near", "a")], NOW);
    assert_eq!(chosen(&table), Ok("near".to_owned()));
}

/// A server that is leaving, or whose entry is gone, gets no new requests, even while
/// it still has requests in flight.
#[test]
fn a_server_that_leaves_gets_nothing() {
    let mut table = table();
    table.begin(NEAR, WorkKind::Live, NOW);
    let mut leaving = listing("near", "a");
    leaving.is_ready = false;
    table.set_listings(&[leaving], NOW);
    assert_eq!(chosen(&table), Err(PlacementRefusal::NoServer));
    table.end(NEAR, WorkKind::Live);
}

/// A server restarts under its old name. Failures of its former incarnation must not
/// count against it, and the old table entry stays for requests that are still in
/// flight there.
#[test]
fn a_restarted_server_is_a_new_server() {
    let mut table = table();
    table.begin(NEAR, WorkKind::Live, NOW);
    let mut restarted = listing("near", "a");
    restarted.incarnation = 2;
    table.set_listings(&[restarted], NOW);
    let placement = table
        .choose_live(query(&[]), NOW, &mut StdRng::seed_from_u64(1))
        .ok();
    assert_ne!(placement.map(|it| it.server), Some(NEAR));
    table.end(NEAR, WorkKind::Live);
}

/// Returns the server that an item is sent to.
fn chosen_for_item(table: &PlacementTable, exclude: &[ServerId], now: Timestamp) -> Option<String> {
    let placement = table.choose_bulk(query(exclude), now, &mut StdRng::seed_from_u64(1))?;
    Some(table.listing(placement.server).name.clone())
}

/// Guards against items that never run, since all of their servers are avoided.
#[test]
fn items_use_avoided_servers_where_no_other_is_left() {
    let mut table = table();
    table.set_silent_zones(vec!["b".to_owned()]);
    assert_eq!(chosen_for_item(&table, &[], NOW), Some("near".to_owned()));
    // A server at which the item failed is better than one that probably gives no answer.
    assert_eq!(chosen_for_item(&table, &[NEAR], NOW), None);
    let mut draining = listing("near", "a");
    draining.is_ready = false;
    table.set_listings(&[draining, listing("far", "b")], NOW);
    assert_eq!(chosen_for_item(&table, &[], NOW), Some("far".to_owned()));
}

/// Guards against items that wait for the failing servers of their own zone while sound ones
/// elsewhere are idle.
#[test]
fn items_use_servers_of_other_daemons_where_their_own_are_avoided() {
    let mut table = table();
    let near = table.key(NEAR);
    table.set_homes(|it| it == near);
    assert_eq!(chosen_for_item(&table, &[], NOW), Some("near".to_owned()));
    for _ in 0..3 {
        table.note(NEAR, ServerOutcomeKind::Broken, NOW);
    }
    assert_eq!(chosen_for_item(&table, &[], NOW), Some("far".to_owned()));
}

/// Guards against servers that never get an item, since their few slots are all left free for
/// live requests or a report of one request more is never quite forgotten.
#[test]
fn items_use_servers_with_few_slots() {
    for slots in [1, 2] {
        let mut table = PlacementTable::new(PeerId(1));
        let mut small = listing("near", "a");
        small.slots = slots;
        table.set_listings(&[small], NOW);
        let near = Some("near".to_owned());
        assert_eq!(chosen_for_item(&table, &[], NOW), near, "{slots} slots");
        let report = SlotReport {
            running: 1,
            waiting: 0,
            slots,
            pace_percent: None,
        };
        table.report(NEAR, report, NOW);
        assert_eq!(chosen_for_item(&table, &[], NOW), None, "{slots} slots");
        let later = NOW + Duration::from_secs(3);
        assert_eq!(chosen_for_item(&table, &[], later), near, "{slots} slots");
        table.begin(NEAR, WorkKind::Live, later);
        assert_eq!(chosen_for_item(&table, &[], later), None, "{slots} slots");
    }
}

/// Guards against a daemon that ends, or counts a full server as empty, for numbers that no
/// server or daemon can mean.
#[test]
fn reports_of_any_size_are_read() {
    let mut table = table();
    let report = SlotReport {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 4,
        pace_percent: Some(u32::MAX),
    };
    table.report(NEAR, report, NOW);
    assert_eq!(chosen(&table), Ok("far".to_owned()));
    let share = LoadShare {
        live: u16::MAX,
        bulk: u16::MAX,
    };
    for peer in 2..4 {
        table.receive(PeerId(peer), &[(table.key(NEAR), share)], NOW);
    }
    assert_eq!(chosen(&table), Ok("far".to_owned()));
    assert_eq!(chosen_for_item(&table, &[], NOW), Some("far".to_owned()));
}
