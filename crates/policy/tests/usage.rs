//! Tests of customers' rates with exchanged usage counts: what all daemons together
//! admit.

mod usage_window;

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    usage::{CustomerLimit, PeerId, PeerIncarnation, UsageCount, UsageTracker},
};
use usage_window::max_in_window;

const CUSTOMER: u64 = 7;
const RATE: f64 = 90.0;
const BURST: f64 = 90.0;
/// The delay of a message, and the interval at which daemons report.
const DELAY: Duration = Duration::from_millis(40);
const STEP: Duration = Duration::from_millis(10);

/// A few daemons that report their counts to each other, some of them cut off.
struct CountingFleet {
    trackers: Vec<UsageTracker>,
    incarnations: Vec<DaemonRun>,
    now: Timestamp,
    /// The group of each daemon; daemons of different groups don't receive each other's
    /// reports.
    groups: Vec<usize>,
    admitted: Vec<Timestamp>,
    refused: usize,
}

impl CountingFleet {
    fn new(daemons: usize) -> Self {
        let now = Timestamp::from_micros(1_000_000);
        let mut fleet = CountingFleet {
            trackers: Vec::new(),
            incarnations: (0..daemons).map(|it| incarnation(it, 1, now)).collect(),
            now,
            groups: vec![0; daemons],
            admitted: Vec::new(),
            refused: 0,
        };
        for _ in 0..daemons {
            fleet.trackers.push(new_tracker(now));
        }
        fleet.update_members();
        // Usage of a recently started fleet is unconfirmed for a moment.
        fleet.run(Duration::from_secs(3), |_| 0.0);
        fleet
    }

    fn update_members(&mut self) {
        for own in 0..self.trackers.len() {
            let others = (0..self.trackers.len()).filter(|it| *it != own).map(id);
            let others: Vec<PeerId> = others.collect();
            self.trackers[own].set_members(&others, self.now);
        }
    }

    /// Advances the simulation; `rate_at` returns each daemon's requests a second.
    fn run(&mut self, span: Duration, rate_at: impl Fn(usize) -> f64) {
        let until = self.now + span;
        let mut due = vec![0.0; self.trackers.len()];
        let mut round = 0_u64;
        while self.now < until {
            self.now = self.now + STEP;
            round += 1;
            for (daemon, due) in due.iter_mut().enumerate() {
                *due += rate_at(daemon) * STEP.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    match self.trackers[daemon].admit(CUSTOMER, self.now) {
                        Ok(()) => self.admitted.push(self.now),
                        Err(_) => self.refused += 1,
                    }
                }
            }
            if round.is_multiple_of((DELAY.as_millis() / STEP.as_millis()) as u64) {
                self.exchange();
            }
        }
    }

    fn exchange(&mut self) {
        for from in 0..self.trackers.len() {
            let counts = self.trackers[from].own_counts(self.now);
            for to in 0..self.trackers.len() {
                if to != from && self.groups[to] == self.groups[from] {
                    self.trackers[to].receive(
                        self.incarnations[from].reported(self.now),
                        &counts,
                        self.now,
                    );
                }
            }
        }
        for tracker in &mut self.trackers {
            tracker.tick(self.now);
        }
    }
}

fn id(daemon: usize) -> PeerId {
    PeerId(daemon as u64 + 1)
}

/// A run of a daemon.
#[derive(Clone, Copy)]
struct DaemonRun {
    daemon: usize,
    number: u64,
    started_at: Timestamp,
}

impl DaemonRun {
    /// Returns the run as a report describes it that is sent now.
    fn reported(self, now: Timestamp) -> PeerIncarnation {
        PeerIncarnation {
            id: id(self.daemon),
            number: self.number,
            uptime: Some(now.since(self.started_at)),
        }
    }
}

fn incarnation(daemon: usize, number: u64, started_at: Timestamp) -> DaemonRun {
    DaemonRun {
        daemon,
        number,
        started_at,
    }
}

fn new_tracker(now: Timestamp) -> UsageTracker {
    let mut tracker = UsageTracker::new(now);
    let limit = CustomerLimit {
        customer: CUSTOMER,
        rate: RATE,
        burst: BURST,
    };
    tracker.set_limits(&[limit], now);
    tracker
}

/// Returns the maximum for a customer in five seconds, plus a tenth and twenty
/// requests.
fn max_allowed() -> usize {
    ((RATE * 5.0 + BURST) * 1.1 + 20.0) as usize
}

/// One customer sends eight times its typical load, to all daemons at once. Each daemon
/// has tokens for it until it receives the reports of the others.
#[test]
fn a_hot_customer_gets_its_rate_over_all_daemons() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(12), |_| RATE * 5.0 / 6.0);
    let max_admitted = max_in_window(&fleet.admitted);
    assert!(
        max_admitted <= max_allowed(),
        "{max_admitted} of {}",
        max_allowed()
    );
    assert!(
        max_admitted as f64 >= RATE * 5.0 * 0.9,
        "the customer gets its rate: {max_admitted}"
    );
}

/// A customer within its rate sends all of its requests to one daemon, then to another.
/// None may be refused: the rate applies to the fleet, not to a daemon's share.
#[test]
fn a_customer_may_spend_its_rate_at_any_daemon() {
    let mut fleet = CountingFleet::new(6);
    for daemon in 0..6 {
        fleet.run(Duration::from_secs(2), |it| {
            if it == daemon { RATE * 0.9 } else { 0.0 }
        });
    }
    assert_eq!(fleet.refused, 0);
}

/// The fleet splits into two halves that don't receive each other's reports, while a
/// customer sends far too much to both. Each half reserves what the other may admit.
#[test]
fn halves_that_are_cut_off_share_a_rate() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(4), |_| RATE / 12.0);
    fleet.groups = vec![0, 0, 0, 1, 1, 1];
    fleet.run(Duration::from_secs(10), |_| RATE * 5.0 / 6.0);
    fleet.groups = vec![0; 6];
    fleet.run(Duration::from_secs(4), |_| RATE * 5.0 / 6.0);
    let max_admitted = max_in_window(&fleet.admitted);
    assert!(
        max_admitted <= max_allowed(),
        "{max_admitted} of {}",
        max_allowed()
    );
}

/// All daemons are killed at the same time and restart without their counts, right
/// after a customer has spent its burst. It must not get the burst again.
#[test]
fn a_restart_of_all_daemons_gives_no_second_burst() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(2), |_| RATE * 5.0 / 6.0);
    for daemon in 0..6 {
        fleet.trackers[daemon] = new_tracker(fleet.now);
        fleet.incarnations[daemon] = incarnation(daemon, 2, fleet.now);
    }
    fleet.update_members();
    fleet.run(Duration::from_secs(8), |_| RATE * 5.0 / 6.0);
    let max_admitted = max_in_window(&fleet.admitted);
    assert!(
        max_admitted <= max_allowed(),
        "{max_admitted} of {}",
        max_allowed()
    );
}

/// One daemon of six is lost. Until the others know that it is gone they reserve an
/// even share for it; a customer with a typical load must not be affected.
#[test]
fn a_lost_daemon_does_not_affect_a_typical_customer() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 6.0);
    fleet.groups[5] = 1;
    fleet.run(Duration::from_secs(6), |it| {
        if it < 5 { RATE * 0.6 / 5.0 } else { 0.0 }
    });
    assert_eq!(fleet.refused, 0);
}

/// An operator lowers a rate. The lower rate applies at once, and saved tokens beyond
/// its burst are removed.
#[test]
fn a_lowered_rate_counts_at_once() {
    let mut fleet = CountingFleet::new(3);
    let limit = CustomerLimit {
        customer: CUSTOMER,
        rate: 10.0,
        burst: 10.0,
    };
    for tracker in &mut fleet.trackers {
        tracker.set_limits(&[limit], fleet.now);
    }
    fleet.run(Duration::from_secs(10), |_| RATE);
    let max_admitted = max_in_window(&fleet.admitted);
    assert!(max_admitted <= 85, "{max_admitted}");
}

/// Many callers of one customer are refused within a moment. If all got the same retry
/// time, all but one of them would be refused again.
#[test]
fn refused_callers_get_staggered_retry_times() {
    let now = Timestamp::from_micros(1_000_000);
    let mut tracker = new_tracker(now);
    while tracker.admit(CUSTOMER, now).is_ok() {}
    let waits: Vec<Duration> = (0..40)
        .filter_map(|_| tracker.check(CUSTOMER, now).err())
        .collect();
    assert_eq!(waits.len(), 40);
    assert!(waits.is_sorted());
    let span = waits[39].saturating_sub(waits[0]).as_secs_f64();
    let served = span * RATE;
    assert!(
        (38.0..=41.0).contains(&served),
        "{served} tokens are refilled over the 40 waits"
    );
}

/// All daemons restart, some a second later than others, and customers send their
/// typical load. No customer is above its rate, so none may be refused for usage that
/// daemons which are still down might admit.
#[test]
fn a_fleet_that_restarts_refuses_no_usual_customer() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 6.0);
    for daemon in 0..6 {
        fleet.trackers[daemon] = new_tracker(fleet.now);
        fleet.incarnations[daemon] = incarnation(daemon, 2, fleet.now);
    }
    fleet.update_members();
    fleet.groups = vec![0, 0, 1, 2, 3, 4];
    fleet.run(Duration::from_millis(800), |it| {
        if it < 2 { RATE * 0.6 / 6.0 } else { 0.0 }
    });
    fleet.groups = vec![0; 6];
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 6.0);
    assert_eq!(fleet.refused, 0);
}

/// A zone with two of six daemons is cut off for some seconds, while customers send
/// their typical load, in steps of nearly twice the mean. Each side has the share of
/// the rate that it used before.
#[test]
fn a_cut_costs_a_usual_customer_little() {
    let mut fleet = CountingFleet::new(6);
    let share = |daemon: usize| [0.05, 0.05, 0.2, 0.2, 0.2, 0.3][daemon];
    fleet.run(Duration::from_secs(6), |it| RATE * 0.625 * share(it));
    fleet.groups = vec![1, 1, 0, 0, 0, 0];
    fleet.run(Duration::from_millis(1_500), |it| {
        RATE * 0.625 * 0.38 * share(it)
    });
    fleet.run(Duration::from_millis(2_400), |it| {
        RATE * 0.625 * 1.87 * share(it)
    });
    fleet.run(Duration::from_millis(1_500), |it| {
        RATE * 0.625 * 0.38 * share(it)
    });
    assert!(fleet.refused <= 3, "{} refused", fleet.refused);
}

/// Daemons are stopped and started in turn. Each announces its stop; a customer with a
/// typical load must not be affected.
#[test]
fn daemons_that_say_that_they_stop_cost_nothing() {
    let mut fleet = CountingFleet::new(4);
    fleet.run(Duration::from_secs(4), |_| RATE * 0.7 / 4.0);
    for daemon in 0..4 {
        for tracker in &mut fleet.trackers {
            tracker.leave(id(daemon));
        }
        fleet.groups[daemon] = 1;
        let others = |it: usize| if it == daemon { 0.0 } else { RATE * 0.7 / 3.0 };
        fleet.run(Duration::from_millis(2_500), others);
        fleet.trackers[daemon] = new_tracker(fleet.now);
        fleet.incarnations[daemon] = incarnation(daemon, 2, fleet.now);
        fleet.update_members();
        fleet.groups[daemon] = 0;
        fleet.run(Duration::from_millis(500), |_| RATE * 0.7 / 4.0);
    }
    assert_eq!(fleet.refused, 0);
}

/// A daemon is replaced while the others have run for minutes. It must not charge what
/// they admitted in all that time: a customer with a typical load must be admitted at
/// the new daemon as at any other.
#[test]
fn a_new_daemon_does_not_charge_what_was_let_in_long_ago() {
    let mut fleet = CountingFleet::new(3);
    // Few enough at each daemon to be counted as new usage, but more than its burst.
    fleet.run(Duration::from_secs(60), |_| 0.3);
    fleet.trackers[2] = new_tracker(fleet.now);
    fleet.incarnations[2] = incarnation(2, 2, fleet.now);
    fleet.update_members();
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 3.0);
    assert_eq!(fleet.refused, 0);
}

/// A zone of a large fleet is cut off, and a third of all daemons become silent at
/// once. If the share of each of them were calculated against all others, for each
/// customer of each message, the remaining daemons would be fully occupied: their
/// callers would wait for seconds and be refused.
#[test]
fn receiving_counts_costs_about_the_same_while_a_third_is_silent() {
    const DAEMONS: usize = 90;
    const CUSTOMERS: u64 = 90;
    let time_per_message = |silent: usize| {
        let started_at = Timestamp::from_micros(1_000_000);
        let mut now = started_at;
        let mut tracker = UsageTracker::new(now);
        let limits: Vec<CustomerLimit> = (0..CUSTOMERS)
            .map(|customer| CustomerLimit {
                customer,
                rate: 10.0,
                burst: 10.0,
            })
            .collect();
        tracker.set_limits(&limits, now);
        let mut admitted = 0;
        let mut report = |tracker: &mut UsageTracker, reporting: std::ops::Range<usize>, now| {
            admitted += 1;
            let count = |customer| UsageCount {
                customer,
                admitted,
                level: 5.0,
                times: None,
            };
            let counts: Vec<_> = (0..CUSTOMERS).map(count).collect();
            for daemon in reporting {
                tracker.receive(
                    incarnation(daemon, 1, started_at).reported(now),
                    &counts,
                    now,
                );
            }
        };
        report(&mut tracker, 0..DAEMONS, now);
        let mut receive_time = Duration::ZERO;
        for _ in 0..6 {
            now = now + Duration::from_millis(250);
            let begin = std::time::Instant::now();
            report(&mut tracker, silent..DAEMONS, now);
            receive_time += begin.elapsed();
            tracker.tick(now);
        }
        receive_time.as_secs_f64() / (DAEMONS - silent) as f64
    };
    let calm = time_per_message(0);
    let cut = time_per_message(DAEMONS / 3);
    let times = cut / calm;
    eprintln!("{times:.1} times what a calm message costs");
    assert!(times < 30.0, "{times:.1} times what a calm message costs");
}

/// A customer sends its whole burst to one daemon within a moment. If the others were
/// notified only after several changes, it could spend as much at each of them: with
/// nine daemons nine times its burst.
#[test]
fn a_burst_is_reported_before_it_is_spent() {
    let mut fleet = CountingFleet::new(2);
    let tracker = &mut fleet.trackers[0];
    let mut unreported = 0;
    while !tracker.is_report_urgent(CUSTOMER) {
        assert!(tracker.admit(CUSTOMER, fleet.now).is_ok());
        unreported += 1;
    }
    assert!(
        f64::from(unreported) <= BURST * 0.15,
        "{unreported} before a report"
    );
    tracker.own_counts(fleet.now);
    assert!(
        !tracker.is_report_urgent(CUSTOMER),
        "the others have the report"
    );
}

/// Returns the level at a daemon that has started 1.9 s after another and hears what that one
/// admitted meanwhile, and then the level at a third daemon, which has run for a minute, if
/// there is one.
fn level_after_a_later_start(level_of_third: Option<f32>) -> f64 {
    let now = Timestamp::from_micros(100_000);
    let mut tracker = new_tracker(Timestamp::ZERO);
    tracker.set_members(&[id(1), id(2)], Timestamp::ZERO);
    let count = |admitted, level| UsageCount {
        customer: CUSTOMER,
        admitted,
        level,
        times: None,
    };
    let run = |daemon, uptime| PeerIncarnation {
        id: id(daemon),
        number: 1,
        uptime: Some(uptime),
    };
    let own_uptime = now.since(Timestamp::ZERO);
    let earlier = run(1, own_uptime + Duration::from_millis(1_900));
    tracker.receive(earlier, &[count((RATE * 2.0) as u32, 0.0)], now);
    if let Some(level) = level_of_third {
        let oldest = run(2, Duration::from_secs(60));
        tracker.receive(oldest, &[count(5_000, level)], now);
    }
    tracker.level(CUSTOMER)
}

/// A daemon that starts shortly after another charges a customer for what that one admitted
/// before, but lacks the tokens gained meanwhile: the customer seems to have a debt although a
/// daemon that has run for longer knows that it has none.
#[test]
fn requests_from_before_a_start_are_charged_to_the_tokens_of_that_time() {
    let level = level_after_a_later_start(Some(BURST as f32));
    assert!(level > 0.0, "{level} tokens");
}

/// The refund must not give a customer tokens that a daemon which has run for longer knows to
/// be spent, nor any while no such daemon is heard: after a restart of all daemons, nobody
/// knows of the debts from before.
#[test]
fn earlier_charges_are_refunded_only_as_far_as_an_older_daemon_knows_of_tokens() {
    let debt = level_after_a_later_start(Some(-30.0));
    assert!(debt <= -30.0, "{debt} tokens");
    let unknown = level_after_a_later_start(None);
    assert!(unknown < -RATE, "{unknown} tokens");
}

/// A daemon that has just started leaves others their shares of the whole burst, although it
/// has little of it itself. If it asked them for no report, it would refuse customers within
/// their rates until the next ones.
#[test]
fn a_daemon_that_has_just_started_refuses_no_typical_customer_for_unconfirmed_usage() {
    let start = Timestamp::from_micros(1_000_000);
    let mut tracker = new_tracker(start);
    tracker.set_members(&[id(1), id(2)], start);
    let report = |tracker: &mut UsageTracker, now: Timestamp| {
        tracker.receive(incarnation(1, 1, start).reported(now), &[], now);
    };
    report(&mut tracker, start + Duration::from_millis(30));
    let interval = Duration::from_secs_f64(2.0 / RATE);
    let mut requested = 0;
    for number in 1..=26 {
        let now = start + interval * number;
        tracker.tick(now);
        if tracker.is_rejected_as_unconfirmed(CUSTOMER, now) {
            requested += 1;
            assert_eq!(tracker.unconfirmed_peers(now), [id(1)]);
            report(&mut tracker, now);
        }
        let admitted = tracker.admit(CUSTOMER, now);
        assert_eq!(admitted, Ok(()), "{:?} after the start", now.since(start));
    }
    assert!(
        (1..=4).contains(&requested),
        "{requested} reports requested"
    );
}
