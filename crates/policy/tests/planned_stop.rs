//! Which requests a daemon still begins while it is being stopped.

use std::time::Duration;

use comfreyramp_policy::{PlannedStop, Timestamp};

/// Guards against requests that are begun and then cut by the end of the process, and against
/// refusals while callers are still sent to the daemon.
#[test]
fn late_requests_are_begun_only_if_they_end_in_time() {
    let start = Timestamp::from_micros(1_000_000);
    let at = |seconds| start + Duration::from_secs(seconds);
    let stop = PlannedStop {
        closes_at: at(2),
        ends_at: at(7),
    };
    assert!(stop.may_begin(at(20), at(1)), "callers are still sent here");
    assert!(!stop.may_begin(at(20), at(2)));
    assert!(stop.may_begin(at(7), at(6)), "it ends in time");
    assert!(!stop.may_begin(at(8), at(6)));
}
