//! How long daemons repeat notices about lots to their peers.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_serving::lots::{LotNotice, LotNotices, LotProgress, LotStage, ReportBasis};
use comfreyramp_store::LeaseId;

fn ended() -> LotNotice {
    LotNotice::Ended("lot-1".to_owned())
}

/// A customer ends a lot while the daemon that runs it is cut off for less time than its
/// lease lasts. That daemon still holds the claim afterwards, and only a notice from its
/// peers tells it to stop. Without one it would keep starting items, and the customer would
/// pay for a lot that it has ended.
#[test]
fn the_end_of_a_lot_is_repeated_for_longer_than_a_claim_survives_a_cut() {
    let start = Timestamp::from_micros(1_000_000);
    let mut notices = LotNotices::default();
    notices.add_notice(ended(), start);
    let (reported, _) = notices.current(None, start + Duration::from_secs(10));
    assert_eq!(reported, vec![ended()]);
    let (reported, _) = notices.current(None, start + Duration::from_secs(20));
    assert_eq!(reported, vec![], "the notice expires");
}

/// An accepted lot is claimed within moments or found by the next listing. If its notice
/// were repeated for as long as the notice of an end, it would fill every message of a
/// fleet that accepts many lots.
#[test]
fn an_accepted_lot_is_repeated_for_a_moment() {
    let start = Timestamp::from_micros(1_000_000);
    let mut notices = LotNotices::default();
    notices.add_notice(LotNotice::Accepted("lot-1".to_owned()), start);
    let (reported, _) = notices.current(None, start + Duration::from_secs(2));
    assert_eq!(reported.len(), 1);
    let (reported, _) = notices.current(None, start + Duration::from_secs(4));
    assert_eq!(reported, vec![]);
}

const LEASE: LeaseId = LeaseId(7);

/// Returns the stage that a daemon running a lot reports at `now` while it holds `lease`.
fn reported_stage(basis: ReportBasis, lease: Option<LeaseId>, now: Timestamp) -> LotStage {
    let mut notices = LotNotices::default();
    let progress = LotProgress {
        lot: "lot-1".to_owned(),
        results: 3,
        stage: LotStage::Held,
    };
    notices.report_progress(progress, basis, Timestamp::ZERO);
    let (_, reported) = notices.current(lease, now);
    assert_eq!(
        notices.confirmed_results("lot-1", lease, now),
        (reported[0].stage == LotStage::Held).then_some(3),
        "the report and the confirmed results agree"
    );
    reported[0].stage
}

/// A VM is paused for longer than its lease, or the store rejects its requests. Another
/// daemon takes over its lot and writes results. When the first daemon reports again, its
/// outdated report must not be taken as complete.
#[test]
fn a_daemon_whose_claim_may_be_gone_confirms_no_results() {
    let now = Timestamp::from_micros(9_000_000);
    let basis = ReportBasis {
        lease: Some(LEASE),
        unanswered_since: None,
    };
    assert_eq!(reported_stage(basis, Some(LEASE), now), LotStage::Held);
    assert_eq!(
        reported_stage(basis, None, now),
        LotStage::Unsure,
        "the lease expired"
    );
    let later_lease = Some(LeaseId(8));
    assert_eq!(
        reported_stage(basis, later_lease, now),
        LotStage::Unsure,
        "not claimed under the new lease"
    );
    assert_eq!(
        reported_stage(ReportBasis::default(), Some(LEASE), now),
        LotStage::Unsure
    );
}

/// The store accepts results and answers late, or never. Until then the daemon that wrote
/// them knows of fewer results than the store returns to others, so it must not report its
/// count as complete.
#[test]
fn a_daemon_with_an_unanswered_write_confirms_no_results() {
    let write_sent_at = Timestamp::from_micros(9_000_000);
    let basis = ReportBasis {
        lease: Some(LEASE),
        unanswered_since: Some(write_sent_at),
    };
    let shortly_after = write_sent_at + Duration::from_millis(100);
    assert_eq!(
        reported_stage(basis, Some(LEASE), shortly_after),
        LotStage::Held,
        "a write in flight for 100 ms is no reason for doubt"
    );
    let long_after = write_sent_at + Duration::from_millis(300);
    assert_eq!(
        reported_stage(basis, Some(LEASE), long_after),
        LotStage::Unsure
    );
}
