//! What daemons tell each other of customers' requests.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    usage::{CustomerLimit, PeerId, UsageCount, UsageTracker},
};
use comfreyramp_serving::fleet::UsageTimes;

const CUSTOMER: u64 = 7;
const BURST: f64 = 20.0;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros((1_000_000_000 + millis) * 1_000)
}

fn tracker_with(other: u64) -> UsageTracker {
    let mut tracker = UsageTracker::new(at(0));
    let limit = CustomerLimit {
        customer: CUSTOMER,
        rate: BURST,
        burst: BURST,
    };
    tracker.set_limits(&[limit], at(0));
    tracker.set_members(&[PeerId(other)], at(0));
    tracker.set_interval(Duration::from_millis(750));
    tracker
}

/// Of a word that takes long to come, a part of it lost on the way: the requests are
/// charged to a bucket that was full since they were let in, though they left room in it.
fn level_after_words(sent: impl Fn(Vec<UsageCount>) -> Vec<UsageCount>) -> f64 {
    let (mut near, mut far) = (tracker_with(2), tracker_with(1));
    for millis in [4_000, 4_700] {
        near.tick(at(millis));
        let word = sent(far.own_counts(at(millis)));
        near.receive(PeerId(2), 1, &word, at(millis));
        if millis == 4_000 {
            for _ in 0..3 {
                assert!(far.admit(CUSTOMER, at(4_100)).is_ok());
            }
        }
    }
    near.tick(at(4_800));
    near.level(CUSTOMER)
}

/// Without the times, a customer that was long made up for is short of tokens.
#[test]
fn requests_told_late_are_charged_as_if_they_were_new() {
    let full = level_after_words(|counts| counts);
    assert!(full > BURST - 0.1, "{full}");
    let untimed = level_after_words(|mut counts| {
        counts.iter_mut().for_each(|it| it.times = None);
        counts
    });
    assert!(untimed < BURST - 0.5, "{untimed}");
}

/// Times go behind everything else, and a former version's message has none.
#[test]
fn a_message_without_times_is_read_as_before() {
    let mut tracker = tracker_with(1);
    assert!(tracker.admit(CUSTOMER, at(4_000)).is_ok());
    let counts = tracker.own_counts(at(4_010));
    let times = UsageTimes::of(&counts);
    assert_eq!(times.sums.len(), counts.len());
    assert_eq!(counts[0].times.map(|it| it.told), Some(times.told));
}
