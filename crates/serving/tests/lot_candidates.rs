//! Lots that wait for this daemon to claim them.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::lots::LotCandidates;

const START: Timestamp = Timestamp::from_micros(1_000_000);
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

fn claimable(candidates: &mut LotCandidates, now: Timestamp) -> usize {
    let is_due =
        |it: &&mut comfreyramp_serving::lots::LotCandidate| !it.is_claiming && it.not_before <= now;
    candidates.iter_mut().filter(is_due).count()
}

/// When a daemon is reachable again after a network cut, the store rejects both its pending
/// results and its new claim, because another daemon runs the lot. Each rejection schedules
/// another attempt. If both led to a claim, the lot would be run twice in parallel, and a
/// customer would find items at two positions.
#[test]
fn a_lot_that_is_lost_in_two_ways_is_claimed_once() {
    let mut candidates = LotCandidates::default();
    candidates.add("lot-1", START, START + RETRY_DELAY);
    candidates.add("lot-1", START, START + RETRY_DELAY);
    assert_eq!(claimable(&mut candidates, START), 0);
    assert_eq!(claimable(&mut candidates, START + RETRY_DELAY), 1);
}

/// A lot is lost while a claim on it is in flight. The answer to that claim decides; a
/// second claim in parallel would have the lot held twice.
#[test]
fn a_lot_with_a_claim_in_flight_is_not_claimed_again() {
    let mut candidates = LotCandidates::default();
    candidates.add("lot-1", START, START);
    for candidate in candidates.iter_mut() {
        candidate.is_claiming = true;
    }
    candidates.add("lot-1", START, START + RETRY_DELAY);
    assert_eq!(claimable(&mut candidates, START + RETRY_DELAY), 0);
    candidates.postpone("lot-1", START + RETRY_DELAY);
    assert_eq!(claimable(&mut candidates, START + RETRY_DELAY), 1);
    candidates.remove("lot-1");
    assert!(!candidates.contains("lot-1"));
}
