//! What daemons repeat of lots, and for how long.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::lots::{LotNotice, LotNotices, LotProgress, LotStage, ReportBasis};
use comfreyramp_store::LeaseId;

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
    notices.add_notice(ended(), begin);
    let (told, _) = notices.current(None, begin + Duration::from_secs(10));
    assert_eq!(told, vec![ended()]);
    let (told, _) = notices.current(None, begin + Duration::from_secs(20));
    assert_eq!(told, vec![], "it isn't repeated for ever");
}

/// An accepted lot is claimed within moments or found by the next list; told for as
/// long as an end, it would take up each message of a fleet that accepts many.
#[test]
fn an_accepted_lot_is_told_for_a_moment() {
    let begin = Timestamp::from_micros(1_000_000);
    let mut notices = LotNotices::default();
    notices.add_notice(LotNotice::Accepted("lot-1".to_owned()), begin);
    let (told, _) = notices.current(None, begin + Duration::from_secs(2));
    assert_eq!(told.len(), 1);
    let (told, _) = notices.current(None, begin + Duration::from_secs(4));
    assert_eq!(told, vec![]);
}

const LEASE: LeaseId = LeaseId(7);

/// A daemon that runs a lot, as it says so at `now` while it holds `lease`.
fn told_stage(basis: ReportBasis, lease: Option<LeaseId>, now: Timestamp) -> LotStage {
    let mut notices = LotNotices::default();
    let progress = LotProgress {
        lot: "lot-1".to_owned(),
        results: 3,
        stage: LotStage::Held,
    };
    notices.report_progress(progress, basis, Timestamp::ZERO);
    let (_, told) = notices.current(lease, now);
    assert_eq!(
        notices.confirmed_results("lot-1", lease, now),
        (told[0].stage == LotStage::Held).then_some(3),
        "what is told and what is shown agree"
    );
    told[0].stage
}

/// A VM stands still for longer than its lease, or the store turns it away. Another
/// daemon takes its lot over and writes results. The first one is heard again, and
/// what it says there is would be taken for all.
#[test]
fn a_daemon_whose_claim_may_be_gone_speaks_for_no_lot() {
    let now = Timestamp::from_micros(9_000_000);
    let basis = ReportBasis {
        lease: Some(LEASE),
        unanswered_since: None,
    };
    assert_eq!(told_stage(basis, Some(LEASE), now), LotStage::Held);
    assert_eq!(told_stage(basis, None, now), LotStage::Unsure, "lapsed");
    let later_lease = Some(LeaseId(8));
    assert_eq!(
        told_stage(basis, later_lease, now),
        LotStage::Unsure,
        "not claimed anew"
    );
    assert_eq!(
        told_stage(ReportBasis::default(), Some(LEASE), now),
        LotStage::Unsure
    );
}

/// The store takes results and answers late, or never. Until then the daemon that
/// wrote them says that there are fewer than the store shows to others.
#[test]
fn a_daemon_with_an_unanswered_write_speaks_for_no_lot() {
    let begun = Timestamp::from_micros(9_000_000);
    let basis = ReportBasis {
        lease: Some(LEASE),
        unanswered_since: Some(begun),
    };
    let soon = begun + Duration::from_millis(100);
    assert_eq!(
        told_stage(basis, Some(LEASE), soon),
        LotStage::Held,
        "answers take a moment"
    );
    let late = begun + Duration::from_millis(300);
    assert_eq!(told_stage(basis, Some(LEASE), late), LotStage::Unsure);
}
