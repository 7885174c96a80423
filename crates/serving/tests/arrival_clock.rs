//! Receive times of datagrams that are read late.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::fleet::{ArrivalClock, MAX_QUEUE_CHECK_INTERVAL};

/// After a VM was paused for five seconds, the datagrams queued in that time may have
/// arrived at any moment of it, so none of them proves the present state. They must be dated
/// to the start of the pause, not to the moment of reading.
#[test]
fn datagrams_queued_while_a_daemon_was_paused_are_old() {
    let start = Timestamp::from_micros(1_000_000);
    let mut clock = ArrivalClock::new(start);
    let running = start + Duration::from_millis(30);
    assert_eq!(
        clock.arrival(running),
        running,
        "a running daemon reads at once"
    );
    let resumed = start + Duration::from_secs(5);
    let arrival = clock.arrival(resumed);
    assert_eq!(arrival, start + MAX_QUEUE_CHECK_INTERVAL);
    assert_eq!(
        clock.arrival(resumed),
        arrival,
        "also the next queued datagram"
    );
    clock.note_empty_queue(resumed);
    let fresh = resumed + Duration::from_millis(20);
    assert_eq!(clock.arrival(fresh), fresh);
}
