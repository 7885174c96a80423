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
        items: 0,
        placed: Vec::new(),
        asks_word: false,
        usage_times: Default::default(),
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
    members.receive(&message(1, progress(LotStage::Held)), begin);
    assert_eq!(members.held_lots(begin), ["lot-1"]);
    let silent = begin + Duration::from_secs(4);
    assert!(members.held_lots(silent).is_empty(), "its lease has lapsed");
    members.receive(&message(2, progress(LotStage::Finished)), begin);
    assert!(members.held_lots(begin).is_empty(), "it is done");
}

/// In a flood a daemon tells of hundreds of lots, in no order, and each lot that waits is
/// looked up among them many times a second: one that isn't found would be claimed by
/// daemon after daemon.
#[test]
fn each_of_many_lots_is_found() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    let lot = |number: usize| format!("lot-{}", number * 37 % 200);
    let told = (0..200).map(|number| LotProgress {
        lot: lot(number),
        results: 1,
        stage: match number % 2 {
            0 => LotStage::Held,
            _ => LotStage::Finished,
        },
    });
    members.receive(&message(1, told.collect()), begin);
    for number in 0..200 {
        let is_held = number % 2 == 0;
        assert_eq!(members.is_held(&lot(number), begin), is_held, "{number}");
        assert_eq!(
            members.is_reported_finished(&lot(number)),
            !is_held,
            "{number}"
        );
    }
    assert!(!members.is_held("lot-x", begin) && !members.is_reported_finished("lot-x"));
}

/// A daemon that runs a lot is restarted, and is heard again before anybody noticed.
/// What it said in its former life tells nothing of what the store holds by now, and
/// a reader must not be told that a result isn't there on the strength of it.
#[test]
fn what_a_former_life_said_of_a_lot_is_forgotten() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    members.receive(&message(9, progress(LotStage::Held)), begin);
    assert_eq!(
        members.runner_confirmation("lot-1").map(|it| it.results),
        Some(3)
    );
    let mut next_life = message(1, Vec::new());
    next_life.from.incarnation = 2;
    members.receive(&next_life, begin + Duration::from_millis(500));
    assert_eq!(members.runner_confirmation("lot-1"), None);
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
    let mut members = MemberList::new("lots-1");
    members.receive(&message(1, progress(LotStage::Left)), now);
    let mut other = message(1, progress(LotStage::Unsure));
    other.from.name = "lots-3".to_owned();
    members.receive(&other, now);
    assert_eq!(members.runner_confirmation("lot-1"), None);
    assert_eq!(members.lot_runner("lot-1", now), None);
    assert!(members.is_held("lot-1", now), "it still runs there");
    members.receive(&message(2, progress(LotStage::Finished)), now);
    assert!(members.lot_runner("lot-1", now).is_some());
}

/// A daemon ran a lot, was cut off, and another one runs it now. Both have told the
/// same number of results; the word that is kept from the first is old. If it hid the
/// other's, each reader that waits would have the store asked in vain.
#[test]
fn the_later_of_two_words_counts() {
    let begin = Timestamp::from_micros(1_000_000);
    let later = begin + Duration::from_millis(2_000);
    for names in [["lots-2", "lots-3"], ["lots-3", "lots-2"]] {
        let mut members = MemberList::new("entry-1");
        for (name, at) in names.into_iter().zip([begin, later]) {
            let mut word = message(1, progress(LotStage::Held));
            word.from.name = name.to_owned();
            members.receive(&word, at);
        }
        let confirmation = members.runner_confirmation("lot-1");
        assert_eq!(
            confirmation.map(|it| it.last_received_at),
            Some(later),
            "{names:?}"
        );
    }
}

/// What a daemon says in one of its lives.
fn of_life(incarnation: u64, number: u64, progress: Vec<LotProgress>) -> PeerMessage {
    let mut message = message(number, progress);
    message.from.incarnation = incarnation;
    message
}

/// A daemon is restarted, speaks, and has not registered yet. Meanwhile a further
/// daemon registers, and the list of all that the store has then names the former
/// life: its lease runs on for seconds. A daemon that goes back to it takes the claim
/// of the living one for a leftover and runs the lot as well; both then tell readers
/// that they know of all its results.
#[test]
fn a_list_that_is_behind_brings_no_former_life_back() {
    let begin = Timestamp::from_micros(1_000_000);
    let later = begin + Duration::from_millis(300);
    let mut members = MemberList::new("lots-1");
    members.set_listed(&[of_life(1, 0, Vec::new()).from], begin);
    members.receive(&of_life(1, 9, Vec::new()), begin);
    members.receive(&of_life(2, 1, progress(LotStage::Held)), later);
    members.set_listed(&[of_life(1, 0, Vec::new()).from], later);
    assert!(members.is_held("lot-1", later), "the living one runs it");
    assert!(
        !members.is_former_incarnation("lots-2", 2, later),
        "it lives"
    );
    assert!(members.is_former_incarnation("lots-2", 1, later));
    assert_eq!(members.receive(&of_life(2, 1, Vec::new()), later), None);
}

/// The same where this daemon has never heard the former life: it started after it
/// was lost, heard the next one, and reads the list of all only then.
#[test]
fn a_list_that_is_behind_brings_back_no_life_that_was_never_heard() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.receive(&of_life(2, 1, progress(LotStage::Held)), begin);
    members.set_listed(&[of_life(1, 0, Vec::new()).from], begin);
    assert!(members.is_held("lot-1", begin), "the living one runs it");
    assert!(
        !members.is_former_incarnation("lots-2", 2, begin),
        "it lives"
    );
}

/// A daemon is restarted, and a datagram of its former life is late: it waited in a
/// queue, or at a VM that stood still. It says that the daemon runs a lot and how many
/// results there are, which was so before, and it comes after what the next life said.
#[test]
fn a_late_word_of_a_former_life_is_not_heard() {
    let begin = Timestamp::from_micros(1_000_000);
    let later = begin + Duration::from_millis(300);
    let mut members = MemberList::new("entry-1");
    members.receive(&of_life(1, 8, Vec::new()), begin);
    members.receive(&of_life(2, 1, Vec::new()), later);
    let late = of_life(1, 9, progress(LotStage::Held));
    assert_eq!(members.receive(&late, later), None);
    assert_eq!(members.runner_confirmation("lot-1"), None);
    assert!(!members.is_held("lot-1", later));
    assert!(
        !members.is_former_incarnation("lots-2", 2, later),
        "it lives"
    );
}

/// Which of two lives is the later one is told by the order in which they are heard.
/// Should that be wrong once, the one that goes on speaking has to be heard again, or
/// a living daemon would be left out for ever.
#[test]
fn a_life_that_goes_on_speaking_is_heard_again() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    members.receive(&of_life(2, 1, Vec::new()), begin);
    members.receive(&of_life(1, 9, Vec::new()), begin);
    let later = begin + Duration::from_millis(1_200);
    let heard = members.receive(&of_life(2, 6, progress(LotStage::Held)), later);
    assert!(heard.is_some());
    assert!(members.is_held("lot-1", later));
}

/// All daemons are restarted in turn. One of them reads the list of all, which names a
/// life that is lost already, and the next life of that daemon claims a lot without
/// having been heard here. Who was only listed has proved nothing: the claim is no
/// leftover, and the lot must be left to the one that runs it.
#[test]
fn a_claim_is_no_leftover_because_another_life_was_listed_or_heard() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-1");
    members.set_listed(&[of_life(1, 0, Vec::new()).from], now);
    assert!(
        !members.is_former_incarnation("lots-2", 2, now),
        "listed only"
    );
    members.receive(&of_life(1, 9, Vec::new()), now);
    assert!(
        !members.is_former_incarnation("lots-2", 2, now),
        "it may be later"
    );
}

/// One daemon lists all open lots for the others, which finds lots that nobody was told
/// to run. The store turns it away, with others still hearing it: were they to rely on
/// it, a lot would lie until the store lets it in again.
#[test]
fn a_daemon_that_does_not_reach_the_store_lists_no_lots_for_others() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("lots-3");
    let mut heard = message(1, Vec::new());
    members.receive(&heard, now);
    assert!(!members.is_lister("lots-3", now), "lots-2 does");
    heard.number = 2;
    heard.reaches_store = false;
    members.receive(&heard, now);
    assert!(members.is_lister("lots-3", now));
}

/// A daemon was cut off, or stood still, and hears the others again. Its claims may be
/// gone, and lots that it runs be ended; it has to notice that it was away. Single
/// words that get lost are no such sign.
#[test]
fn a_daemon_notices_that_others_were_out_of_touch() {
    let begin = Timestamp::from_micros(1_000_000);
    let at = |millis: u64| begin + Duration::from_millis(millis);
    let mut members = MemberList::new("lots-1");
    members.receive(&message(1, Vec::new()), begin);
    members.receive(&message(3, Vec::new()), at(2_000));
    assert_eq!(members.last_reconnected_at(), None);
    members.receive(&message(4, Vec::new()), at(6_000));
    assert_eq!(members.last_reconnected_at(), Some(at(6_000)));
    members.receive(&message(5, Vec::new()), at(6_250));
    assert_eq!(
        members.last_reconnected_at(),
        Some(at(6_000)),
        "it stays in touch"
    );
}

/// A daemon learns of new settings first, tells of it and is lost. Whoever is behind asks
/// those that are ahead for what they know; were the lost one among them until its lease
/// lapses, each such question would find no answer while others could give it.
#[test]
fn nothing_is_asked_of_a_daemon_that_is_silent() {
    let now = Timestamp::from_micros(1_000_000);
    let mut members = MemberList::new("entry-1");
    members.set_listed(&[message(1, Vec::new()).from], now);
    let mut heard = message(1, Vec::new());
    heard.revisions.operators = 7;
    members.receive(&heard, now);
    let known = ViewRevisions::default();
    let ahead = |now| members.choose_peer_ahead(known, "zone-1", |_| false, &mut rand::rng(), now);
    assert_eq!(ahead(now), Some(heard.from.address));
    assert_eq!(ahead(now + Duration::from_secs(3)), None);
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
        members.receive(&said, begin);
    }
    members
}

/// Those of the first zone of which something holds.
fn chosen(
    reaches_store: impl Fn(usize) -> bool,
    holds: impl Fn(&MemberList, &MemberRecord) -> bool,
) -> Vec<usize> {
    let is_chosen = |own: &usize| {
        let mut record = message(1, Vec::new()).from;
        record.name = format!("entry-{own}");
        record.zone = "zone-0".to_owned();
        holds(&zone_of_thirty(*own, &reaches_store), &record)
    };
    (0..30).filter(is_chosen).collect()
}

/// Those of the first zone that ask the store, where `substitutes` of them stand in.
fn watchers(substitutes: usize, reaches_store: impl Fn(usize) -> bool) -> Vec<usize> {
    let begin = Timestamp::from_micros(1_000_000);
    chosen(reaches_store, |members, own| {
        members.is_watcher(own, substitutes, begin)
    })
}

/// Nobody of a zone probes the store, so that its silence goes unnoticed, or each daemon
/// does, and all probes are billed.
#[test]
fn one_daemon_of_a_zone_probes_the_store() {
    let begin = Timestamp::from_micros(1_000_000);
    let leads = |reaches_store: &dyn Fn(usize) -> bool| {
        chosen(reaches_store, |members, own| {
            members.is_first_of_zone(own, begin)
        })
    };
    let first = leads(&|_| true);
    assert_eq!(first.len(), 1, "{first:?}");
    let with_next = leads(&|it| it != first[0]);
    assert_eq!(
        with_next.len(),
        2,
        "the next one of those that reach it too"
    );
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
