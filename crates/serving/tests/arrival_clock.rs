//! When datagrams came in that are read late.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::fleet::{ArrivalClock, MAX_QUEUE_CHECK_INTERVAL};

/// A VM stands still for five seconds. The datagrams that wait for it then may have come
/// in at any moment of them, and none of them tells how it is now.
#[test]
fn what_waited_while_a_daemon_stood_still_is_old() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut clock = ArrivalClock::new(begin);
    let soon = begin + Duration::from_millis(30);
    assert_eq!(clock.arrival(soon), soon, "it runs");
    let awake = begin + Duration::from_secs(5);
    let arrival = clock.arrival(awake);
    assert_eq!(arrival, begin + MAX_QUEUE_CHECK_INTERVAL);
    assert_eq!(clock.arrival(awake), arrival, "also the next one");
    clock.note_empty_queue(awake);
    let fresh = awake + Duration::from_millis(20);
    assert_eq!(clock.arrival(fresh), fresh);
}
