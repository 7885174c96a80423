//! Tests of decisions about lots, on virtual time.

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{
        GiveUpReason, ItemAttempts, ItemRetryPolicy, ItemRetryVerdict, LotForecast, LotKey,
        LotRanking, PaceMeter, RankedLot, SegmentChoice,
    },
};
use rand::{SeedableRng, rngs::StdRng};

const HOUR: Duration = Duration::from_secs(3600);
const BIG: CustomerId = CustomerId(0);
const SMALL: CustomerId = CustomerId(1);

fn lot(key: u32, customer: CustomerId, due: Duration) -> RankedLot {
    RankedLot {
        lot: LotKey(key),
        customer,
        due: Timestamp::ZERO + due,
        needs: Duration::ZERO,
    }
}

/// Serves one item at a time, always from the lot with the highest rank, and returns
/// how many of the first `turns` items each customer got.
fn serve(ranking: &mut LotRanking, lots: &[RankedLot], turns: usize, now: Timestamp) -> [usize; 2] {
    let mut got = [0; 2];
    for _ in 0..turns {
        let mut lots = lots.to_vec();
        ranking.sort(&mut lots, now);
        got[lots[0].customer.index()] += 1;
        ranking.charge(lots[0].customer, 100.0);
    }
    got
}

// A customer submits a lot of 20 items while another customer's lot of 99,000 items is
// running. In order of arrival the short lot would wait for hours.
#[test]
fn a_long_lot_does_not_hold_up_a_short_one() {
    let mut ranking = LotRanking::default();
    let big = lot(0, BIG, 24 * HOUR);
    ranking.set_active(&[BIG]);
    serve(&mut ranking, &[big], 50_000, Timestamp::ZERO);
    ranking.set_active(&[BIG, SMALL]);
    let lots = [big, lot(1, SMALL, 24 * HOUR)];
    let got = serve(&mut ranking, &lots, 40, Timestamp::ZERO);
    assert_eq!(got, [20, 20]);
}

// A customer is idle for a day while another one is served. If its share of that day
// were credited, the other customer would get nothing for as long.
#[test]
fn an_idle_customer_accumulates_no_credit() {
    let mut ranking = LotRanking::default();
    let lots = [lot(0, BIG, 24 * HOUR), lot(1, SMALL, 24 * HOUR)];
    ranking.set_active(&[BIG, SMALL]);
    serve(&mut ranking, &lots, 10, Timestamp::ZERO);
    ranking.set_active(&[BIG]);
    serve(&mut ranking, &lots[..1], 10_000, Timestamp::ZERO);
    ranking.set_active(&[BIG, SMALL]);
    assert_eq!(serve(&mut ranking, &lots, 100, Timestamp::ZERO), [50, 50]);
}

#[test]
fn weights_divide_the_capacity() {
    let mut ranking = LotRanking::default();
    ranking.set_weight(BIG, 3.0);
    ranking.set_active(&[BIG, SMALL]);
    let lots = [lot(0, BIG, 24 * HOUR), lot(1, SMALL, 24 * HOUR)];
    assert_eq!(serve(&mut ranking, &lots, 400, Timestamp::ZERO), [300, 100]);
}

// A lot is about to miss its due time while another customer's lot has a day left. With
// equal turns it would be late.
#[test]
fn a_lot_short_of_time_runs_first() {
    let mut ranking = LotRanking::default();
    ranking.set_active(&[BIG, SMALL]);
    let mut urgent = lot(1, SMALL, HOUR);
    urgent.needs = Duration::from_secs(3500);
    let lots = [lot(0, BIG, 24 * HOUR), urgent];
    let got = serve(&mut ranking, &lots, 1000, Timestamp::ZERO);
    assert_eq!(got, [0, 1000]);
}

// A customer states a due time of one second for all of its lots. Without a limit on
// the advantage of urgent lots, no other customer would be served again.
#[test]
fn stated_urgency_starves_nobody() {
    let mut ranking = LotRanking::default();
    ranking.set_active(&[BIG, SMALL]);
    let lots = [
        lot(0, BIG, Duration::from_secs(1)),
        lot(1, SMALL, 24 * HOUR),
    ];
    let got = serve(&mut ranking, &lots, 20_000, Timestamp::ZERO + HOUR);
    // The advantage is limited to 200,000 tokens, which is 2,000 items; the rest is
    // shared evenly.
    assert_eq!(got, [11_000, 9_000]);
}

// All servers are down for an hour. Items that are attempted in this time must not be
// recorded as failed: their customer would lose work because of a fault of the service.
#[test]
fn an_outage_fails_no_item() {
    let policy = ItemRetryPolicy::default();
    let mut random = StdRng::seed_from_u64(1);
    let mut attempts = ItemAttempts::default();
    let mut now = Timestamp::ZERO;
    while now < Timestamp::ZERO + HOUR {
        let verdict = policy.fault(&mut attempts, 0, now, &mut random);
        assert_matches!(verdict, ItemRetryVerdict::Retry(at) if at > now);
        if let ItemRetryVerdict::Retry(at) = verdict {
            now = at;
        }
    }
    assert!(
        attempts.faults < 300,
        "{} attempts in an hour",
        attempts.faults
    );
}

// One item fails each time while other items of its lot succeed. With unlimited
// attempts its lot would never end.
#[test]
fn an_item_that_fails_alone_is_given_up_after_three_attempts() {
    let policy = ItemRetryPolicy::default();
    let mut random = StdRng::seed_from_u64(2);
    let mut attempts = ItemAttempts::default();
    let now = Timestamp::ZERO;
    let verdicts: Vec<ItemRetryVerdict> = (0..3)
        .map(|_| policy.fault(&mut attempts, 5, now, &mut random))
        .collect();
    assert_matches!(
        verdicts[..2],
        [ItemRetryVerdict::Retry(_), ItemRetryVerdict::Retry(_)]
    );
    assert_eq!(
        verdicts[2],
        ItemRetryVerdict::GiveUp(GiveUpReason::FailsAlone)
    );
}

// The last item of a lot fails each time, and there are no other items that could show
// whether the servers are at fault. A probe shows it: without probes the lot would
// never end, and if their result were ignored, an outage would fail the item.
#[test]
fn a_probe_distinguishes_server_faults_from_item_faults() {
    let policy = ItemRetryPolicy::default();
    let mut random = StdRng::seed_from_u64(6);
    let mut attempts = ItemAttempts::default();
    let now = Timestamp::ZERO;
    for succeeded in [false, true, false, true] {
        let fault = policy.fault(&mut attempts, 0, now, &mut random);
        assert_matches!(fault, ItemRetryVerdict::Retry(_));
        assert!(attempts.needs_probe);
        let probed = policy.probe(&mut attempts, succeeded, now, &mut random);
        assert_matches!(probed, ItemRetryVerdict::Retry(_));
    }
    policy.fault(&mut attempts, 0, now, &mut random);
    let probed = policy.probe(&mut attempts, true, now, &mut random);
    assert_eq!(probed, ItemRetryVerdict::GiveUp(GiveUpReason::FailsAlone));
}

// An item crashes each backend server that runs it. Each further attempt would take
// another server away from live requests.
#[test]
fn an_item_costs_at_most_two_servers() {
    let policy = ItemRetryPolicy::default();
    let mut random = StdRng::seed_from_u64(3);
    let mut attempts = ItemAttempts::default();
    let first = policy.crash(&mut attempts, Timestamp::ZERO, &mut random);
    let second = policy.crash(&mut attempts, Timestamp::ZERO, &mut random);
    assert_matches!(first, ItemRetryVerdict::Retry(_));
    assert_eq!(
        second,
        ItemRetryVerdict::GiveUp(GiveUpReason::CrashesServers)
    );
}

// At its current pace a lot will end an hour late. Its customer can react if it learns
// of that in time, but not after the due time.
#[test]
fn a_late_end_is_forecast_hours_ahead() {
    let mut meter = PaceMeter::default();
    let mut now = Timestamp::ZERO;
    let due = now + 4 * HOUR;
    let mut items = 0;
    let mut forecast_at = None;
    while now < due && forecast_at.is_none() {
        meter.observe(items, now);
        let forecast = LotForecast::judge(due, meter.needs(18_000 - items, now), now);
        if let LotForecast::WillBeLate(by) = forecast {
            forecast_at = Some((now, by));
        }
        items += 10;
        now = now + Duration::from_secs(10);
    }
    let (at, by) = forecast_at.unwrap();
    assert!(at < Timestamp::ZERO + Duration::from_secs(120), "{at:?}");
    assert!(by.abs_diff(HOUR) < Duration::from_secs(300), "{by:?}");
}

#[test]
fn started_segments_are_claimed_first() {
    let mut random = StdRng::seed_from_u64(4);
    let mut choice = SegmentChoice::default();
    assert_eq!(choice.pick(&mut random), None);
    choice.add(0, false);
    choice.add(7, true);
    choice.add(8, false);
    assert_eq!(choice.pick(&mut random), Some(7));
}
