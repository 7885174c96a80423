//! What a daemon knows of the others by what they say.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::{
    fleet::{MemberList, MemberRecord, PeerMessage, ViewRevisions},
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
    }
}

fn progress(stage: LotStage) -> Vec<LotProgress> {
    vec![LotProgress {
        lot: "lot-1".to_owned(),
        results: 3,
        stage,
    }]
}

/// A daemon acknowledges the end of a lot and is lost before it has told anybody.
/// Whoever lists the open lots has to know that the lot is run, or the daemon that
/// runs it would go on until the store refuses its results.
#[test]
fn lots_that_others_run_are_known_until_they_are_done_or_silent() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.hear(&message(1, progress(LotStage::Held)), begin);
    assert_eq!(members.held_lots(begin), ["lot-1"]);
    let silent = begin + Duration::from_secs(4);
    assert!(members.held_lots(silent).is_empty(), "its lease has lapsed");
    members.hear(&message(2, progress(LotStage::Finished)), begin);
    assert!(members.held_lots(begin).is_empty(), "it is done");
}

/// A daemon that runs a lot is restarted, and is heard again before anybody noticed.
/// What it said in its former life tells nothing of what the store holds by now, and
/// a reader must not be told that a result isn't there on the strength of it.
#[test]
fn what_a_former_life_said_of_a_lot_is_forgotten() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    members.hear(&message(9, progress(LotStage::Held)), begin);
    assert_eq!(members.runner_vouch("lot-1").map(|it| it.results), Some(3));
    let mut next_life = message(1, Vec::new());
    next_life.from.incarnation = 2;
    members.hear(&next_life, begin + Duration::from_millis(500));
    assert_eq!(members.runner_vouch("lot-1"), None);
    assert_eq!(
        members.lot_runner("lot-1", begin + Duration::from_millis(500)),
        None
    );
}

/// Two daemons tell of a lot: one that left it to others, and one that isn't sure of
/// its claim. Neither may be asked in place of the store, though both are heard.
#[test]
fn only_a_daemon_that_knows_all_results_is_asked_for_them() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    for stage in [LotStage::Left, LotStage::Unsure] {
        members.hear(&message(stage as u64 + 1, progress(stage)), now);
        assert_eq!(members.runner_vouch("lot-1"), None, "{stage:?}");
        assert_eq!(members.lot_runner("lot-1", now), None, "{stage:?}");
    }
    members.hear(&message(9, progress(LotStage::Unsure)), now);
    assert!(members.is_held("lot-1", now), "it still runs there");
    members.hear(&message(10, progress(LotStage::Finished)), now);
    assert!(members.lot_runner("lot-1", now).is_some());
}

/// A fleet of 30 daemons in each of three zones, none of which reaches the store.
fn zone_of_thirty(own: usize, reaches_store: impl Fn(usize) -> bool) -> MemberList {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new(&format!("entry-{own}"));
    for place in 0..90 {
        let mut said = message(1, Vec::new());
        said.from.name = format!("entry-{place}");
        said.from.zone = format!("zone-{}", place / 30);
        said.reaches_store = reaches_store(place);
        members.hear(&said, begin);
    }
    members
}

/// Those of the first zone that ask the store, where `stand_ins` of them stand in.
fn watchers(stand_ins: usize, reaches_store: impl Fn(usize) -> bool) -> Vec<usize> {
    let begin = Timestamp::from_micros(1_000_000);
    let asks = |own: &usize| {
        let mut record = message(1, Vec::new()).from;
        record.name = format!("entry-{own}");
        record.zone = "zone-0".to_owned();
        zone_of_thirty(*own, &reaches_store).is_watcher(&record, stand_ins, begin)
    };
    (0..30).filter(asks).collect()
}

/// The store is away for all. Each daemon that fails says so, and the next one steps
/// in; were there no end to that, a store that comes back would find a hundred daemons
/// at its door, and each of their calls is billed.
#[test]
fn few_daemons_of_a_zone_ask_a_store_that_is_away() {
    assert_eq!(watchers(0, |_| true).len(), 1);
    let asking = watchers(0, |_| false);
    assert_eq!(asking.len(), 4, "{asking:?}");
    let first = watchers(0, |_| true);
    let next = watchers(0, |it| it != first[0]);
    assert_eq!(next.len(), 2, "the one that is turned away, and one for it");
}

/// A change is known to be missing, and nobody brings it. One daemon more asks the
/// store, then three.
#[test]
fn daemons_stand_in_by_their_order() {
    let first = watchers(0, |_| true);
    let second = watchers(1, |_| true);
    let fourth = watchers(3, |_| true);
    assert_eq!((first.len(), second.len(), fourth.len()), (1, 2, 4));
    assert!(first.iter().all(|it| second.contains(it)));
    assert!(second.iter().all(|it| fourth.contains(it)));
}
