//! Tests of the member table: daemons that join and leave, and which daemon has which
//! role.

use comfreyramp_policy::{
    DaemonId, Heartbeat, Incarnation, ListedDaemon, MemberEvent, MemberTable, ServerKey, Timestamp,
    ZoneId,
};

const OWN_ZONE: ZoneId = ZoneId(0);
const OTHER_ZONE: ZoneId = ZoneId(1);

fn at(secs: f64) -> Timestamp {
    Timestamp::from_micros((secs * 1e6) as u64)
}

fn name(daemon: usize) -> String {
    format!("entry-{daemon:03}")
}

fn heartbeat(daemon: usize) -> Heartbeat {
    Heartbeat {
        name: name(daemon),
        zone: if daemon < 100 { OWN_ZONE } else { OTHER_ZONE },
        address: format!("10.0.0.{daemon}:7000"),
        incarnation: Incarnation(daemon as u64),
        leaving: false,
    }
}

fn listed(daemon: usize) -> ListedDaemon {
    let heartbeat = heartbeat(daemon);
    ListedDaemon {
        name: heartbeat.name,
        zone: heartbeat.zone,
        address: heartbeat.address,
        leaving: false,
    }
}

/// Returns the table of daemon `own`, which has received a heartbeat of each of
/// `others`.
fn table(own: usize, others: impl IntoIterator<Item = usize>, now: Timestamp) -> MemberTable {
    let mut table = MemberTable::new(&heartbeat(own), now);
    for other in others {
        table.heartbeat(&heartbeat(other), now);
    }
    table
}

fn names(table: &MemberTable, now: Timestamp) -> Vec<String> {
    let alive = table.alive(now);
    let names = alive.filter_map(|it| table.entry(it).map(|it| it.name.clone()));
    names.collect()
}

fn home_name(table: &MemberTable, server: u64, now: Timestamp) -> String {
    let home = table
        .home_daemon(ServerKey(server), OWN_ZONE, now)
        .expect("a home");
    table.entry(home).expect("a member").name.clone()
}

/// The zone is cut off, and the platform answers with an empty VM list. If the daemon
/// applied it, it would forget the peers outside the zone, and neither side would ever
/// contact the other again.
#[test]
fn an_empty_list_removes_nobody() {
    let mut table = table(0, [1, 101], at(1.0));
    table.apply_list(&[listed(0), listed(1), listed(101)], at(1.0));
    for secs in 2..600 {
        table.heartbeat(&heartbeat(1), at(f64::from(secs)));
        table.apply_list(&[], at(f64::from(secs)));
    }
    assert_eq!(names(&table, at(600.0)), vec![name(0), name(1)]);
    let cut = table.find(&name(101)).unwrap();
    assert!(table.due_heartbeats(at(600.0)).contains(&cut));
}

/// A daemon starts and isn't on the VM list for some minutes. Its heartbeats prove that
/// it is running.
#[test]
fn a_daemon_that_sends_heartbeats_needs_no_list() {
    let mut table = table(0, [1], at(1.0));
    for secs in 2..600 {
        assert_eq!(
            table.heartbeat(&heartbeat(1), at(f64::from(secs))),
            MemberEvent::Unchanged(DaemonId(1))
        );
        table.apply_list(&[listed(0)], at(f64::from(secs)));
    }
    assert_eq!(names(&table, at(600.0)), vec![name(0), name(1)]);
}

/// A daemon's VM is lost but stays on the VM list for another hour. Other daemons have
/// to take over its work within seconds.
#[test]
fn a_silent_daemon_is_not_alive_whatever_the_list_says() {
    let mut table = table(0, [1, 101], at(1.0));
    let list = [listed(0), listed(1), listed(2), listed(101)];
    table.apply_list(&list, at(1.0));
    assert_eq!(names(&table, at(6.0)).len(), 4);
    table.apply_list(&list, at(8.0));
    assert_eq!(names(&table, at(8.0)), vec![name(0), name(101)]);
    assert_eq!(names(&table, at(62.0)), vec![name(0)]);
    let back = table.heartbeat(&heartbeat(1), at(70.0));
    assert!(matches!(back, MemberEvent::Joined(_)), "{back:?}");

    table.mark_unreachable(table.find(&name(1)).unwrap());
    assert_eq!(names(&table, at(70.5)), vec![name(0)]);
    table.heartbeat(&heartbeat(1), at(71.0));
    assert_eq!(names(&table, at(71.0)).len(), 2);
}

#[test]
fn a_daemon_without_listing_and_heartbeats_is_dropped() {
    let mut table = table(0, [1], at(1.0));
    table.apply_list(&[listed(0)], at(60.0));
    assert!(table.find(&name(1)).is_some());
    table.apply_list(&[listed(0)], at(122.0));
    assert_eq!(table.find(&name(1)), None);
    table.heartbeat(&heartbeat(2), at(123.0));
    assert_eq!(
        table.find(&name(2)),
        Some(DaemonId(2)),
        "numbers aren't reused for a while"
    );
    table.heartbeat(&heartbeat(3), at(4000.0));
    assert_eq!(table.find(&name(3)), Some(DaemonId(1)));
}

/// A daemon announces that it stops, and its successor on the same VM sends a heartbeat
/// a moment later. Delayed heartbeats of the first process must not bring it back.
#[test]
fn a_leaving_daemon_is_gone_at_once_and_its_successor_is_new() {
    let mut table = table(0, [1], at(1.0));
    let leaving = Heartbeat {
        leaving: true,
        ..heartbeat(1)
    };
    assert_eq!(
        table.heartbeat(&leaving, at(2.0)),
        MemberEvent::Leaving(DaemonId(1))
    );
    assert_eq!(names(&table, at(2.0)), vec![name(0)]);
    assert_eq!(
        table.heartbeat(&heartbeat(1), at(2.1)),
        MemberEvent::Unchanged(DaemonId(1))
    );
    assert_eq!(names(&table, at(2.1)), vec![name(0)]);
    let successor = Heartbeat {
        incarnation: Incarnation(77),
        ..heartbeat(1)
    };
    assert_eq!(
        table.heartbeat(&successor, at(3.0)),
        MemberEvent::Restarted(DaemonId(1))
    );
    assert_eq!(names(&table, at(3.0)).len(), 2);

    let mut list = [listed(0), listed(1)];
    list[1].leaving = true;
    table.apply_list(&list, at(3.5));
    assert_eq!(names(&table, at(3.5)), vec![name(0)]);
}

#[test]
fn homes_are_spread_evenly_and_agreed_on_without_messages() {
    let now = at(1.0);
    let one = table(0, 1..51, now);
    let two = table(7, (0..51).rev(), now);
    let mut counts = vec![0; 51];
    for server in 0..1300 {
        let home = home_name(&one, server, now);
        assert_eq!(home, home_name(&two, server, now));
        counts[one.find(&home).unwrap().index()] += 1;
    }
    assert!(counts.iter().all(|it| (8..60).contains(it)), "{counts:?}");
    assert_eq!(one.watchers(OWN_ZONE, now).len(), 2);
    let own = [&one, &two].map(|it| {
        let watchers = it.watchers(OWN_ZONE, now).into_iter();
        let watchers = watchers.map(|daemon| it.entry(daemon).unwrap().name.clone());
        watchers.collect::<Vec<_>>()
    });
    assert_eq!(own[0], own[1]);
}

/// One daemon hasn't learned of another's loss yet. If the home daemons of all servers
/// changed with each loss, all bulk work of the zone would be disturbed.
#[test]
fn a_disagreement_concerns_only_the_servers_of_the_disputed_daemon() {
    let now = at(1.0);
    let knows = table(0, 1..51, now);
    let mut lacks = knows.clone();
    lacks.mark_unreachable(lacks.find(&name(9)).unwrap());
    assert_eq!(names(&lacks, now).len(), 50);
    for server in 0..1300 {
        let homes = [&knows, &lacks].map(|it| home_name(it, server, now));
        assert!(homes[0] == homes[1] || homes[0] == name(9), "{homes:?}");
    }
    let both = [&knows, &lacks].map(|it| it.watchers(OWN_ZONE, now));
    let shared = both[0].iter().filter(|it| both[1].contains(it)).count();
    assert!(shared >= 1, "at least one watcher is the same");
}

#[test]
fn a_daemon_alone_does_everything_for_its_zone() {
    let table = table(0, [101], at(1.0));
    assert!(table.is_watcher(at(1.0)));
    assert_eq!(
        table.home_daemon(ServerKey(5), OWN_ZONE, at(1.0)),
        Some(MemberTable::OWN)
    );
    assert_eq!(
        table.home_daemon(ServerKey(5), OTHER_ZONE, at(1.0)),
        table.find(&name(101))
    );
    assert_eq!(table.home_daemon(ServerKey(5), ZoneId(9), at(1.0)), None);
}

/// At the target size, 51 daemons in the zone and 360 in all, heartbeats must use only
/// a small part of the bytes that a daemon may spend on control messages.
#[test]
fn heartbeats_are_few() {
    let mut table = table(0, (1..51).chain(101..410), at(0.0));
    let heartbeats: usize = (1..=600)
        .map(|tenth| table.due_heartbeats(at(f64::from(tenth) / 10.0)).len())
        .sum();
    assert!(heartbeats <= 2800, "{heartbeats} in a minute");
    assert!(table.find(&name(409)).is_some());
}
