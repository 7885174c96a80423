//! What daemons repeat of lots, and for how long.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::lots::{LotNotice, LotNotices};

fn ended() -> LotNotice {
    LotNotice::Ended("lot-1".to_owned())
}

/// A customer ends a lot while the daemon that runs it is cut off for less time than
/// its lease holds. When it is back it still has the claim, and nothing but a word of
/// the others tells it to stop: otherwise items of the lot go on being started, and
/// the customer pays for what it has ended.
#[test]
fn the_end_of_a_lot_is_told_for_longer_than_a_claim_outlives_a_cut() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut notices = LotNotices::default();
    notices.tell(ended(), begin);
    let (told, _) = notices.current(begin + Duration::from_secs(10));
    assert_eq!(told, vec![ended()]);
    let (told, _) = notices.current(begin + Duration::from_secs(20));
    assert_eq!(told, vec![], "it isn't repeated for ever");
}

/// An accepted lot is claimed within moments or found by the next list; told for as
/// long as an end, it would take up each message of a fleet that accepts many.
#[test]
fn an_accepted_lot_is_told_for_a_moment() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut notices = LotNotices::default();
    notices.tell(LotNotice::Accepted("lot-1".to_owned()), begin);
    let (told, _) = notices.current(begin + Duration::from_secs(2));
    assert_eq!(told.len(), 1);
    let (told, _) = notices.current(begin + Duration::from_secs(4));
    assert_eq!(told, vec![]);
}
