//! Tests of slot assignment in a zone's roster, and of how a lost member loses its
//! slots.

use std::time::Duration;

use comfreyramp_policy::{
    DaemonId, Timestamp,
    rates::{ExpulsionTracker, SLOTS, ZoneRoster},
};

const WAIT: Duration = Duration::from_secs(60);

fn second(second: u64) -> Timestamp {
    Timestamp::from_micros(second * 1_000_000)
}

fn roster_of(names: &[&str]) -> ZoneRoster {
    let mut roster = ZoneRoster::default();
    for name in names {
        roster = roster.with_member(name, "", 1).unwrap_or(roster);
    }
    for name in names {
        roster = roster.with_slots(name).unwrap_or(roster);
    }
    roster
}

fn count(roster: &ZoneRoster, name: &str) -> usize {
    let held = roster
        .slots
        .iter()
        .filter(|slot| slot.as_deref() == Some(name));
    held.count()
}

#[test]
fn a_new_member_gets_an_equal_share_after_others_release_theirs() {
    let roster = roster_of(&["a", "b"]);
    assert_eq!(count(&roster, "a"), SLOTS / 2);
    let roster = roster.with_member("c", "", 1).unwrap();
    assert_eq!(roster.with_slots("c"), None, "no slot is free");
    let excess = roster.excess_slots("a");
    let roster = roster.without_slots("a", &excess).unwrap();
    let excess = roster.excess_slots("b");
    let roster = roster.without_slots("b", &excess).unwrap();
    let roster = roster.with_slots("c").unwrap();
    assert_eq!(
        ["a", "b", "c"].map(|name| count(&roster, name)),
        [22, 22, 20]
    );
    assert_eq!(roster.without_slots("a", &[]), None);
}

#[test]
fn a_restarted_process_takes_over_its_slots() {
    // A daemon crashes and restarts on its VM. If it waited until the others have
    // expelled it, its share of each customer's rate would be unused.
    let roster = roster_of(&["a", "b"]);
    let restarted = roster.with_member("a", "", 2).unwrap();
    assert_eq!(restarted.slots, roster.slots);
    assert!(!restarted.is_current("a", 1));
    assert!(restarted.is_current("a", 2));
}

#[test]
fn a_lost_member_keeps_its_slots_for_the_whole_wait() {
    // A VM is lost. Its slots must go to others, but not before a daemon that is merely
    // paused would have noticed that its view is stale.
    let roster = roster_of(&["a", "b"]);
    let mut tracker = ExpulsionTracker::default();
    let always = |_: &str| true;
    let never = |_: &str| false;
    assert_eq!(
        tracker.marked(&roster, "a", always, never),
        None,
        "it still answers"
    );
    assert_eq!(
        tracker.marked(&roster, "a", never, always),
        None,
        "the list still has it"
    );
    let roster = tracker.marked(&roster, "a", always, always).unwrap();
    let key_of = |name: &str| Some(DaemonId(u32::from(name.as_bytes()[0])));
    assert!(!roster.holders(key_of).contains(&key_of("b")));
    tracker.note(&roster, second(100));
    assert_eq!(tracker.freed(&roster, WAIT, second(159)), None);
    let freed = tracker.freed(&roster, WAIT, second(160)).unwrap();
    assert!(freed.member("b").is_none());
    let taken = freed.with_slots("a").unwrap();
    assert_eq!(count(&taken, "a"), SLOTS);
}

#[test]
fn a_member_that_answers_again_clears_its_mark_and_the_wait() {
    // A daemon was paused and marked; it resumes and reads the record before the wait
    // is over. If it is marked again, the wait must start again.
    let roster = roster_of(&["a", "b"]);
    let mut tracker = ExpulsionTracker::default();
    let marked = roster.with_expelled("b").unwrap();
    tracker.note(&marked, second(100));
    let cleared = marked.with_member("b", "", 1).unwrap();
    tracker.note(&cleared, second(130));
    assert_eq!(tracker.freed(&cleared, WAIT, second(200)), None);
    tracker.note(&marked, second(150));
    assert_eq!(tracker.freed(&marked, WAIT, second(209)), None);
    assert!(tracker.freed(&marked, WAIT, second(210)).is_some());
}
