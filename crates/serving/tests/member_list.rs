//! What a daemon knows of its peers from their messages.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, usage::PeerId};
use comfreyramp_serving::{
    fleet::{MemberList, MemberRecord, PeerMessage, ServerGroup, ViewRevisions},
    lots::{LotProgress, LotStage},
};

fn message(number: u64, progress: Vec<LotProgress>) -> PeerMessage {
    PeerMessage {
        from: MemberRecord {
            name: "lots-2".to_owned(),
            zone: "zone-1".to_owned(),
            address: ([127, 0, 0, 1], 7000).into(),
            incarnation: 1,
            runs_lots: true,
        },
        number,
        revisions: ViewRevisions::default(),
        shares: Vec::new(),
        usage: Vec::new(),
        suspects: Vec::new(),
        lots: Vec::new(),
        progress,
        reaches_store: true,
        is_leaving: false,
        items: 0,
        placed: Vec::new(),
        asks_word: false,
        usage_times: Default::default(),
        uptime_ms: 0,
        parts: Vec::new(),
        failures: Vec::new(),
    }
}

fn progress(stage: LotStage) -> Vec<LotProgress> {
    vec![LotProgress {
        lot: "lot-1".to_owned(),
        results: 3,
        stage,
    }]
}

/// A daemon acknowledges the end of a lot and is lost before it has informed its peers. A
/// daemon that lists the open lots has to know that this lot is still run, or the daemon
/// that runs it would continue until the store rejects its results.
#[test]
fn lots_that_others_run_are_known_until_they_are_done_or_silent() {
    let start = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.receive(&message(1, progress(LotStage::Held)), start);
    assert_eq!(members.held_lots(start), ["lot-1"]);
    let silent = start + Duration::from_secs(4);
    assert!(
        members.held_lots(silent).is_empty(),
        "its lease has expired"
    );
    members.receive(&message(2, progress(LotStage::Finished)), start);
    assert!(members.held_lots(start).is_empty(), "the lot is finished");
}

/// Under high load a daemon reports hundreds of lots, in no order, and each waiting lot is
/// looked up among them many times a second. A lot that isn't found would be claimed by one
/// daemon after another.
#[test]
fn each_of_many_lots_is_found() {
    let start = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    let lot = |number: usize| format!("lot-{}", number * 37 % 200);
    let reported = (0..200).map(|number| LotProgress {
        lot: lot(number),
        results: 1,
        stage: match number % 2 {
            0 => LotStage::Held,
            _ => LotStage::Finished,
        },
    });
    members.receive(&message(1, reported.collect()), start);
    for number in 0..200 {
        let is_held = number % 2 == 0;
        assert_eq!(members.is_held(&lot(number), start), is_held, "{number}");
        assert_eq!(
            members.is_reported_finished(&lot(number)),
            !is_held,
            "{number}"
        );
    }
    assert!(!members.is_held("lot-x", start) && !members.is_reported_finished("lot-x"));
}

/// A daemon that runs a lot is restarted and reports again before its peers noticed. The
/// reports of its former incarnation say nothing about what the store holds by now, so a
/// reader must not be told on their basis that a result doesn't exist.
#[test]
fn reports_of_a_former_incarnation_are_forgotten() {
    let start = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    members.receive(&message(9, progress(LotStage::Held)), start);
    assert_eq!(
        members.runner_confirmation("lot-1").map(|it| it.results),
        Some(3)
    );
    let mut next_incarnation = message(1, Vec::new());
    next_incarnation.from.incarnation = 2;
    members.receive(&next_incarnation, start + Duration::from_millis(500));
    assert_eq!(members.runner_confirmation("lot-1"), None);
    assert_eq!(
        members.lot_runner("lot-1", start + Duration::from_millis(500)),
        None
    );
}

/// Two daemons report a lot: one that left it to others, and one that is unsure of its
/// claim. Neither may be queried in place of the store, though both report.
#[test]
fn only_a_daemon_that_knows_all_results_is_asked_for_them() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.receive(&message(1, progress(LotStage::Left)), now);
    let mut other = message(1, progress(LotStage::Unsure));
    other.from.name = "lots-3".to_owned();
    members.receive(&other, now);
    assert_eq!(members.runner_confirmation("lot-1"), None);
    assert_eq!(members.lot_runner("lot-1", now), None);
    assert!(members.is_held("lot-1", now), "lots-3 may still run it");
    members.receive(&message(2, progress(LotStage::Finished)), now);
    assert!(members.lot_runner("lot-1", now).is_some());
}

/// A daemon ran a lot and was cut off, and another one runs it now. Both have reported the
/// same number of results, but the first one's report is old. If it hid the newer one, each
/// waiting reader would cause a useless request to the store.
#[test]
fn the_later_of_two_reports_counts() {
    let start = Timestamp::from_micros(1_000_000);
    let later = start + Duration::from_millis(2_000);
    for names in [["lots-2", "lots-3"], ["lots-3", "lots-2"]] {
        let mut members = MemberList::new("entry-1");
        for (name, at) in names.into_iter().zip([start, later]) {
            let mut report = message(1, progress(LotStage::Held));
            report.from.name = name.to_owned();
            members.receive(&report, at);
        }
        let confirmed = members.runner_confirmation("lot-1");
        assert_eq!(
            confirmed.map(|it| it.last_received_at),
            Some(later),
            "{names:?}"
        );
    }
}

/// Returns a message from the given incarnation of a daemon.
fn message_of_incarnation(
    incarnation: u64,
    number: u64,
    progress: Vec<LotProgress>,
) -> PeerMessage {
    let mut message = message(number, progress);
    message.from.incarnation = incarnation;
    message
}

/// A daemon is restarted and sends reports, but hasn't registered yet. Meanwhile another
/// daemon registers, and the store's member list still names the former incarnation, whose
/// lease runs for some seconds more. A daemon that went back to that incarnation would take
/// the running one's claim for a leftover and run the lot as well, and both would tell
/// readers that they know all of its results.
#[test]
fn an_outdated_list_does_not_restore_a_former_incarnation() {
    let start = Timestamp::from_micros(1_000_000);
    let later = start + Duration::from_millis(300);
    let mut members = MemberList::new("lots-1");
    members.set_listed(&[message_of_incarnation(1, 0, Vec::new()).from], start);
    members.receive(&message_of_incarnation(1, 9, Vec::new()), start);
    members.receive(
        &message_of_incarnation(2, 1, progress(LotStage::Held)),
        later,
    );
    members.set_listed(&[message_of_incarnation(1, 0, Vec::new()).from], later);
    assert!(
        members.is_held("lot-1", later),
        "the running incarnation holds the lot"
    );
    assert!(
        !members.is_former_incarnation("lots-2", 2, later),
        "this incarnation is running"
    );
    assert!(members.is_former_incarnation("lots-2", 1, later));
    assert_eq!(
        members.receive(&message_of_incarnation(2, 1, Vec::new()), later),
        None
    );
}

/// As above, but this daemon never received a report of the former incarnation: it
/// started after that was lost, received reports of the next incarnation, and reads the
/// member list only then.
#[test]
fn an_outdated_list_does_not_restore_an_incarnation_that_was_never_heard() {
    let start = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.receive(
        &message_of_incarnation(2, 1, progress(LotStage::Held)),
        start,
    );
    members.set_listed(&[message_of_incarnation(1, 0, Vec::new()).from], start);
    assert!(
        members.is_held("lot-1", start),
        "the running incarnation holds the lot"
    );
    assert!(
        !members.is_former_incarnation("lots-2", 2, start),
        "this incarnation is running"
    );
}

/// A daemon is restarted, and a datagram of its former incarnation arrives late, after
/// messages of the next one: it waited in a queue, or at a paused VM. Its lots and result
/// counts are outdated and must be ignored.
#[test]
fn a_late_message_of_a_former_incarnation_is_ignored() {
    let start = Timestamp::from_micros(1_000_000);
    let later = start + Duration::from_millis(300);
    let mut members = MemberList::new("entry-1");
    members.receive(&message_of_incarnation(1, 8, Vec::new()), start);
    members.receive(&message_of_incarnation(2, 1, Vec::new()), later);
    let late = message_of_incarnation(1, 9, progress(LotStage::Held));
    assert_eq!(members.receive(&late, later), None);
    assert_eq!(members.runner_confirmation("lot-1"), None);
    assert!(!members.is_held("lot-1", later));
    assert!(
        !members.is_former_incarnation("lots-2", 2, later),
        "this incarnation is running"
    );
}

/// Which of two incarnations is the later one is judged by the order in which their
/// reports arrive. If that is ever wrong, the incarnation that keeps sending must be
/// accepted again, or a running daemon would be ignored for ever.
#[test]
fn an_incarnation_that_keeps_sending_is_accepted_again() {
    let start = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    members.receive(&message_of_incarnation(2, 1, Vec::new()), start);
    members.receive(&message_of_incarnation(1, 9, Vec::new()), start);
    let later = start + Duration::from_millis(1_200);
    let received = members.receive(
        &message_of_incarnation(2, 6, progress(LotStage::Held)),
        later,
    );
    assert!(received.is_some());
    assert!(members.is_held("lot-1", later));
}

/// All daemons are restarted in turn. One of them reads a member list that names an
/// incarnation which is already lost, and that daemon's next incarnation claims a lot
/// without any report received here. A mere listing proves nothing: the claim is no leftover,
/// and the lot must stay with the daemon that runs it.
#[test]
fn a_claim_is_no_leftover_because_another_incarnation_was_listed_or_heard() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.set_listed(&[message_of_incarnation(1, 0, Vec::new()).from], now);
    assert!(
        !members.is_former_incarnation("lots-2", 2, now),
        "the other incarnation was only listed"
    );
    members.receive(&message_of_incarnation(1, 9, Vec::new()), now);
    assert!(
        !members.is_former_incarnation("lots-2", 2, now),
        "the incarnation that wasn't heard may be the later one"
    );
}

/// One daemon lists all open lots for its peers, which finds lots that no daemon was asked
/// to run. If the store rejects its requests while peers still receive its reports and rely
/// on it, such a lot would wait until the store accepts them again.
#[test]
fn a_daemon_that_does_not_reach_the_store_lists_no_lots_for_others() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-3");
    let mut received = message(1, Vec::new());
    members.receive(&received, now);
    assert!(!members.is_lister("lots-3", now), "lots-2 lists for others");
    received.number = 2;
    received.reaches_store = false;
    members.receive(&received, now);
    assert!(members.is_lister("lots-3", now));
}

/// A daemon was cut off or paused, and receives its peers' reports again. Its claims may be gone
/// and its lots ended, so it has to notice the gap. Single lost messages are no such sign.
#[test]
fn a_daemon_notices_that_others_were_out_of_touch() {
    let start = Timestamp::from_micros(1_000_000);
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut members = MemberList::new("lots-1");
    members.receive(&message(1, Vec::new()), start);
    members.receive(&message(3, Vec::new()), at(2_000));
    assert_eq!(members.last_reconnected_at(), None);
    members.receive(&message(4, Vec::new()), at(6_000));
    assert_eq!(members.last_reconnected_at(), Some(at(6_000)));
    members.receive(&message(5, Vec::new()), at(6_250));
    assert_eq!(
        members.last_reconnected_at(),
        Some(at(6_000)),
        "no further gap"
    );
}

/// A daemon learns of new settings first, reports them and is lost. Daemons that are behind
/// request data from those that are ahead. If the lost one stayed among them until its
/// lease expires, such requests would go unanswered though others could answer them.
#[test]
fn nothing_is_requested_from_a_silent_daemon() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    members.set_listed(&[message(1, Vec::new()).from], now);
    let mut received = message(1, Vec::new());
    received.revisions.operators = 7;
    members.receive(&received, now);
    let known = ViewRevisions::default();
    let ahead = |now| members.choose_peer_ahead(known, "zone-1", |_| false, &mut rand::rng(), now);
    assert_eq!(ahead(now), Some(received.from.address));
    assert_eq!(ahead(now + Duration::from_secs(3)), None);
}

/// Returns the member list of the daemon numbered `own` in a fleet of 30 daemons in each of
/// three zones. `reaches_store` says which of them reach the store.
fn zone_of_thirty(own: usize, reaches_store: impl Fn(usize) -> bool) -> MemberList {
    let start = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new(&format!("entry-{own}"));
    for index in 0..90 {
        let mut report = message(1, Vec::new());
        report.from.name = format!("entry-{index}");
        report.from.zone = format!("zone-{}", index / 30);
        report.reaches_store = reaches_store(index);
        members.receive(&report, start);
    }
    members
}

/// Returns the numbers of the first zone's daemons for which `holds` is true.
fn matching_daemons(
    reaches_store: impl Fn(usize) -> bool,
    holds: impl Fn(&MemberList, &MemberRecord) -> bool,
) -> Vec<usize> {
    let matches = |own: &usize| {
        let mut record = message(1, Vec::new()).from;
        record.name = format!("entry-{own}");
        record.zone = "zone-0".to_owned();
        holds(&zone_of_thirty(*own, &reaches_store), &record)
    };
    (0..30).filter(matches).collect()
}

/// Returns the numbers of the first zone's daemons that query the store while `substitutes`
/// further ones are requested.
fn watchers(substitutes: usize, reaches_store: impl Fn(usize) -> bool) -> Vec<usize> {
    let start = Timestamp::from_micros(1_000_000);
    matching_daemons(reaches_store, |members, own| {
        members.is_watcher(own, substitutes, start)
    })
}

/// If no daemon of a zone probes the store, its silence goes unnoticed; if every daemon
/// does, all probes are billed.
#[test]
fn one_daemon_of_a_zone_probes_the_store() {
    let start = Timestamp::from_micros(1_000_000);
    let probing = |reaches_store: &dyn Fn(usize) -> bool| {
        matching_daemons(reaches_store, |members, own| {
            members.is_first_of_zone(own, start)
        })
    };
    let first = probing(&|_| true);
    assert_eq!(first.len(), 1, "{first:?}");
    let with_next = probing(&|it| it != first[0]);
    assert_eq!(
        with_next.len(),
        2,
        "the failing daemon and the next one that reaches the store"
    );
}

/// The store is away for all. Each daemon that fails reports so, and the next one replaces
/// it. Without a limit, a store that comes back would receive requests from a hundred
/// daemons, each of them billed.
#[test]
fn few_daemons_of_a_zone_query_a_store_that_is_away() {
    assert_eq!(watchers(0, |_| true).len(), 1);
    let querying = watchers(0, |_| false);
    assert_eq!(querying.len(), 4, "{querying:?}");
    let first = watchers(0, |_| true);
    let next = watchers(0, |it| it != first[0]);
    assert_eq!(next.len(), 2, "the rejected daemon and its replacement");
}

/// A change is known to be missing, and no peer provides it. At first one and then three
/// further daemons of the zone query the store.
#[test]
fn daemons_stand_in_by_their_order() {
    let first = watchers(0, |_| true);
    let second = watchers(1, |_| true);
    let fourth = watchers(3, |_| true);
    assert_eq!((first.len(), second.len(), fourth.len()), (1, 2, 4));
    assert!(first.iter().all(|it| second.contains(it)));
    assert!(second.iter().all(|it| fourth.contains(it)));
}

/// A daemon of a full zone sends a request to a server in another zone. The daemons that
/// use that server first have to hear of it at once, or they place requests in the same
/// slot; so every daemon knows them.
#[test]
fn home_daemons_of_servers_in_other_zones_are_known() {
    let record = |zone: usize, number: u16| MemberRecord {
        name: format!("entry-{zone}-{number}"),
        zone: format!("zone-{zone}"),
        address: ([127, 0, 0, 1], 7000 + number).into(),
        incarnation: 1,
        runs_lots: false,
    };
    let groups = [1, 2].map(|zone| ServerGroup {
        zone: format!("zone-{zone}"),
        servers: (0..6).map(|it| zone * 100 + it).collect(),
    });
    let all: Vec<MemberRecord> = (0..24)
        .map(|it| record(1 + usize::from(it) % 2, it))
        .collect();
    let homes_at = |own: &MemberRecord| {
        let mut members = MemberList::new(&own.name);
        members.set_listed(&all, Timestamp::from_micros(1_000_000));
        let homes = members.assign_home_servers(own, &groups);
        (members, homes.expect("the fleet is large"))
    };
    let (members, _) = homes_at(&all[0]);
    for other in &all[1..] {
        let (_, homes) = homes_at(other);
        let is_home = |server: &u64| {
            let entries = members.home_entries(*server);
            entries.contains(&PeerId::of_name(&other.name))
        };
        let servers = groups.iter().flat_map(|it| it.servers.iter().copied());
        let known: Vec<u64> = servers.filter(is_home).collect();
        assert_eq!(known.len(), homes.len(), "home servers of {}", other.name);
        assert!(known.iter().all(|it| homes.contains(it)));
    }
}

/// A daemon reports a finished lot for some seconds. A reader that comes later has to know
/// which daemon ran it, but not one that left it, whose copy may lack results.
#[test]
fn the_last_runner_of_a_lot_is_remembered_when_it_reports_it_no_longer() {
    let lots = |names: &[(&str, LotStage)]| -> Vec<LotProgress> {
        let lots = names.iter().map(|(lot, stage)| LotProgress {
            lot: (*lot).to_owned(),
            results: 3,
            stage: *stage,
        });
        lots.collect()
    };
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    let reported = [
        ("lot-3", LotStage::Finished),
        ("lot-1", LotStage::Finished),
        ("lot-2", LotStage::Left),
        ("lot-4", LotStage::Finished),
    ];
    members.receive(&message(1, lots(&reported)), now);
    assert_eq!(members.remembered_runner("lot-1", now), None);
    members.receive(&message(2, lots(&[("lot-3", LotStage::Finished)])), now);
    let address = Some(([127, 0, 0, 1], 7000).into());
    let is_remembered = ["lot-1", "lot-2", "lot-3", "lot-4"]
        .map(|lot| members.remembered_runner(lot, now) == address);
    assert_eq!(is_remembered, [true, false, false, true]);
    let silent = now + Duration::from_secs(4);
    assert_eq!(members.remembered_runner("lot-1", silent), None);
}
