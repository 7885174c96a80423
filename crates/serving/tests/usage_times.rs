//! The times that daemons attach to their reports of customers' requests.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    usage::{CustomerLimit, PeerId, PeerIncarnation, UsageCount, UsageTracker},
};
use comfreyramp_serving::fleet::UsageTimes;

const CUSTOMER: u64 = 7;
const BURST: f64 = 20.0;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros((1_000_000_000 + millis) * 1_000)
}

fn tracker_with_peer(peer: u64) -> UsageTracker {
    let mut tracker = UsageTracker::new(at(0));
    let limit = CustomerLimit {
        customer: CUSTOMER,
        rate: BURST,
        burst: BURST,
    };
    tracker.set_limits(&[limit], at(0));
    tracker.set_members(&[PeerId(peer)], at(0));
    tracker.set_interval(Duration::from_millis(750));
    tracker
}

/// Returns a customer's token level at a daemon whose peer reports late; `alter` may drop
/// parts of the reports. The requests were admitted while the bucket had capacity, but a late
/// report without their times charges them to a bucket that has been full since then.
fn level_after_late_reports(alter: impl Fn(Vec<UsageCount>) -> Vec<UsageCount>) -> f64 {
    let (mut local, mut remote) = (tracker_with_peer(2), tracker_with_peer(1));
    for millis in [4_000, 4_700] {
        let sender = PeerIncarnation {
            id: PeerId(2),
            number: 1,
            uptime: Some(Duration::from_millis(millis)),
        };
        local.tick(at(millis));
        let report = alter(remote.own_counts(at(millis)));
        local.receive(sender, &report, at(millis));
        if millis == 4_000 {
            for _ in 0..3 {
                assert!(remote.admit(CUSTOMER, at(4_100)).is_ok());
            }
        }
    }
    local.tick(at(4_800));
    local.level(CUSTOMER)
}

/// Requests that are reported late must be charged at the time of their admission. Without
/// the times, a customer whose bucket has long been refilled is short of tokens.
#[test]
fn requests_reported_late_are_charged_as_if_they_were_new() {
    let timed = level_after_late_reports(|counts| counts);
    assert!(timed > BURST - 0.1, "{timed}");
    let untimed = level_after_late_reports(|mut counts| {
        counts.iter_mut().for_each(|it| it.times = None);
        counts
    });
    assert!(untimed < BURST - 0.5, "{untimed}");
}

/// Times are the last field of a message, and messages of an earlier version have none.
#[test]
fn a_message_without_times_is_read_as_before() {
    let mut tracker = tracker_with_peer(1);
    assert!(tracker.admit(CUSTOMER, at(4_000)).is_ok());
    let counts = tracker.own_counts(at(4_010));
    let times = UsageTimes::of(&counts);
    assert_eq!(times.sums.len(), counts.len());
    assert_eq!(counts[0].times.map(|it| it.told), Some(times.told));
}
