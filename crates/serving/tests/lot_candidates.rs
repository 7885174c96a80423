//! Which lots wait for a claim.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::lots::LotCandidates;

const BEGIN: Timestamp = Timestamp::from_micros(1_000_000);
const PAUSE: Duration = Duration::from_millis(1_000);

fn claimable(candidates: &mut LotCandidates, now: Timestamp) -> usize {
    let due =
        |it: &&mut comfreyramp_serving::lots::LotCandidate| !it.is_claiming && it.not_before <= now;
    candidates.iter_mut().filter(due).count()
}

/// A daemon is back from a cut. In the same moment the store refuses the results that it
/// had left to write, and its new claim, since another daemon runs the lot. Each of the
/// two has it look at the lot again later. Claimed twice, the lot would be run twice
/// side by side, and a customer find items at two positions.
#[test]
fn a_lot_that_is_lost_in_two_ways_is_claimed_once() {
    let mut candidates = LotCandidates::default();
    candidates.add("lot-1", BEGIN, BEGIN + PAUSE);
    candidates.add("lot-1", BEGIN, BEGIN + PAUSE);
    assert_eq!(claimable(&mut candidates, BEGIN), 0);
    assert_eq!(claimable(&mut candidates, BEGIN + PAUSE), 1);
}

/// A lot is lost while a claim on it is under way. The answer to that claim decides;
/// another one beside it would have the lot held twice.
#[test]
fn a_lot_that_is_being_claimed_is_not_claimed_beside() {
    let mut candidates = LotCandidates::default();
    candidates.add("lot-1", BEGIN, BEGIN);
    for candidate in candidates.iter_mut() {
        candidate.is_claiming = true;
    }
    candidates.add("lot-1", BEGIN, BEGIN + PAUSE);
    assert_eq!(claimable(&mut candidates, BEGIN + PAUSE), 0);
    candidates.postpone("lot-1", BEGIN + PAUSE);
    assert_eq!(claimable(&mut candidates, BEGIN + PAUSE), 1);
    candidates.remove("lot-1");
    assert!(!candidates.contains("lot-1"));
}
