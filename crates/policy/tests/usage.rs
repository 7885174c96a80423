//! Customers' rates by exchanged counts: what all daemons together let in.

mod usage_window;

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    usage::{CustomerLimit, PeerId, UsageBook},
};
use usage_window::most_in_window;

const CUSTOMER: u64 = 7;
const RATE: f64 = 90.0;
const BURST: f64 = 90.0;
/// How long a message takes, and how often daemons speak.
const DELAY: Duration = Duration::from_millis(40);
const STEP: Duration = Duration::from_millis(10);

/// A few daemons that tell each other their counts, some of them cut off.
struct CountingFleet {
    books: Vec<UsageBook>,
    incarnations: Vec<u64>,
    now: Timestamp,
    /// The group of each daemon; daemons of different groups don't hear each other.
    groups: Vec<usize>,
    admitted: Vec<Timestamp>,
    refused: usize,
}

impl CountingFleet {
    fn new(daemons: usize) -> Self {
        let now = Timestamp::from_micros(1_000_000);
        let mut fleet = CountingFleet {
            books: Vec::new(),
            incarnations: (0..daemons as u64).collect(),
            now,
            groups: vec![0; daemons],
            admitted: Vec::new(),
            refused: 0,
        };
        for _ in 0..daemons {
            fleet.books.push(fresh_book(now));
        }
        fleet.introduce();
        // What a fleet knows nothing of is in doubt for a moment after its start.
        fleet.run(Duration::from_secs(3), |_| 0.0);
        fleet
    }

    fn introduce(&mut self) {
        for own in 0..self.books.len() {
            let others = (0..self.books.len()).filter(|it| *it != own).map(id);
            let others: Vec<PeerId> = others.collect();
            self.books[own].set_members(&others, self.now);
        }
    }

    /// Lets time pass; each daemon gets so many requests a second.
    fn run(&mut self, span: Duration, rate_at: impl Fn(usize) -> f64) {
        let until = self.now + span;
        let mut due = vec![0.0; self.books.len()];
        let mut round = 0_u64;
        while self.now < until {
            self.now = self.now + STEP;
            round += 1;
            for (daemon, due) in due.iter_mut().enumerate() {
                *due += rate_at(daemon) * STEP.as_secs_f64();
                while *due >= 1.0 {
                    *due -= 1.0;
                    match self.books[daemon].admit(CUSTOMER, self.now) {
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
        for from in 0..self.books.len() {
            let counts = self.books[from].own_counts(self.now);
            for to in 0..self.books.len() {
                if to != from && self.groups[to] == self.groups[from] {
                    let incarnation = self.incarnations[from];
                    self.books[to].hear(id(from), incarnation, &counts, self.now);
                }
            }
        }
        for book in &mut self.books {
            book.tick(self.now);
        }
    }
}

fn id(daemon: usize) -> PeerId {
    PeerId(daemon as u64 + 1)
}

fn fresh_book(now: Timestamp) -> UsageBook {
    let mut book = UsageBook::new(now);
    let limit = CustomerLimit {
        customer: CUSTOMER,
        rate: RATE,
        burst: BURST,
    };
    book.set_limits(&[limit], now);
    book
}

/// What a customer may have in five seconds, with a tenth and twenty on top.
fn bound() -> usize {
    ((RATE * 5.0 + BURST) * 1.1 + 20.0) as usize
}

/// One customer sends eight times its usual at every daemon at once. All of them
/// believe to have tokens until they hear of each other.
#[test]
fn a_hot_customer_gets_its_rate_over_all_daemons() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(12), |_| RATE * 5.0 / 6.0);
    let most = most_in_window(&fleet.admitted);
    assert!(most <= bound(), "{most} of {}", bound());
    assert!(
        most as f64 >= RATE * 5.0 * 0.9,
        "it gets what it may have: {most}"
    );
}

/// A customer within its rate has all of its requests at one daemon, then at
/// another. None may be refused: the rate is the fleet's, not a daemon's part.
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

/// The fleet falls into two halves that don't hear each other, while a customer
/// sends far too much at both. Each half sets aside what the other may spend.
#[test]
fn halves_that_are_cut_off_share_a_rate() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(4), |_| RATE / 12.0);
    fleet.groups = vec![0, 0, 0, 1, 1, 1];
    fleet.run(Duration::from_secs(10), |_| RATE * 5.0 / 6.0);
    fleet.groups = vec![0; 6];
    fleet.run(Duration::from_secs(4), |_| RATE * 5.0 / 6.0);
    let most = most_in_window(&fleet.admitted);
    assert!(most <= bound(), "{most} of {}", bound());
}

/// All daemons are killed at the same moment and come back knowing nothing,
/// right after a customer has spent all it had. It must not have it again.
#[test]
fn a_restart_of_all_daemons_gives_no_second_burst() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(2), |_| RATE * 5.0 / 6.0);
    for daemon in 0..6 {
        fleet.books[daemon] = fresh_book(fleet.now);
        fleet.incarnations[daemon] += 100;
    }
    fleet.introduce();
    fleet.run(Duration::from_secs(8), |_| RATE * 5.0 / 6.0);
    let most = most_in_window(&fleet.admitted);
    assert!(most <= bound(), "{most} of {}", bound());
}

/// One daemon of six is lost. Until the others know that it is gone for good they
/// set aside an even part for it; a customer with a usual load notices nothing.
#[test]
fn a_lost_daemon_costs_a_usual_customer_nothing() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 6.0);
    fleet.groups[5] = 1;
    fleet.run(Duration::from_secs(6), |it| {
        if it < 5 { RATE * 0.6 / 5.0 } else { 0.0 }
    });
    assert_eq!(fleet.refused, 0);
}

/// An operator lowers a rate. From then on the lower one counts, and what was
/// saved up beyond its burst is gone.
#[test]
fn a_lowered_rate_counts_at_once() {
    let mut fleet = CountingFleet::new(3);
    let limit = CustomerLimit {
        customer: CUSTOMER,
        rate: 10.0,
        burst: 10.0,
    };
    for book in &mut fleet.books {
        book.set_limits(&[limit], fleet.now);
    }
    fleet.run(Duration::from_secs(10), |_| RATE);
    let most = most_in_window(&fleet.admitted);
    assert!(most <= 85, "{most}");
}

/// Many callers of one customer are refused within a moment. Told to come back at
/// the same time, all but one of them would be refused again.
#[test]
fn refused_callers_are_told_to_come_back_one_after_the_other() {
    let now = Timestamp::from_micros(1_000_000);
    let mut book = fresh_book(now);
    while book.admit(CUSTOMER, now).is_ok() {}
    let waits: Vec<Duration> = (0..40)
        .filter_map(|_| book.check(CUSTOMER, now).err())
        .collect();
    assert_eq!(waits.len(), 40);
    assert!(waits.is_sorted());
    let span = waits[39].saturating_sub(waits[0]).as_secs_f64();
    let served = span * RATE;
    assert!(
        (38.0..=41.0).contains(&served),
        "{served} tokens come in over the 40 waits"
    );
}

/// All daemons restart, some a second later than others, and customers send what
/// they usually do. Nobody is over its rate, so nobody may be refused for what
/// daemons that aren't up yet might let in.
#[test]
fn a_fleet_that_restarts_refuses_no_usual_customer() {
    let mut fleet = CountingFleet::new(6);
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 6.0);
    for daemon in 0..6 {
        fleet.books[daemon] = fresh_book(fleet.now);
        fleet.incarnations[daemon] += 100;
    }
    fleet.introduce();
    fleet.groups = vec![0, 0, 1, 2, 3, 4];
    fleet.run(Duration::from_millis(800), |it| {
        if it < 2 { RATE * 0.6 / 6.0 } else { 0.0 }
    });
    fleet.groups = vec![0; 6];
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 6.0);
    assert_eq!(fleet.refused, 0);
}

/// A zone with two of six daemons is cut off for some seconds, while customers
/// send what they usually do, in steps of nearly twice the mean. Each side has the
/// part of the rate that it used before.
#[test]
fn a_cut_costs_a_usual_customer_little() {
    let mut fleet = CountingFleet::new(6);
    let part = |daemon: usize| [0.05, 0.05, 0.2, 0.2, 0.2, 0.3][daemon];
    fleet.run(Duration::from_secs(6), |it| RATE * 0.625 * part(it));
    fleet.groups = vec![1, 1, 0, 0, 0, 0];
    fleet.run(Duration::from_millis(1_500), |it| {
        RATE * 0.625 * 0.38 * part(it)
    });
    fleet.run(Duration::from_millis(2_400), |it| {
        RATE * 0.625 * 1.87 * part(it)
    });
    fleet.run(Duration::from_millis(1_500), |it| {
        RATE * 0.625 * 0.38 * part(it)
    });
    assert!(fleet.refused <= 3, "{} refused", fleet.refused);
}

/// Daemons are stopped and started in turn. Each says so before it goes; a customer
/// with a usual load must not notice.
#[test]
fn daemons_that_say_that_they_stop_cost_nothing() {
    let mut fleet = CountingFleet::new(4);
    fleet.run(Duration::from_secs(4), |_| RATE * 0.7 / 4.0);
    for daemon in 0..4 {
        for book in &mut fleet.books {
            book.leave(id(daemon));
        }
        fleet.groups[daemon] = 1;
        let others = |it: usize| if it == daemon { 0.0 } else { RATE * 0.7 / 3.0 };
        fleet.run(Duration::from_millis(2_500), others);
        fleet.books[daemon] = fresh_book(fleet.now);
        fleet.incarnations[daemon] += 100;
        fleet.introduce();
        fleet.groups[daemon] = 0;
        fleet.run(Duration::from_millis(500), |_| RATE * 0.7 / 4.0);
    }
    assert_eq!(fleet.refused, 0);
}

/// A daemon is replaced by a new one while the others have run for minutes. What
/// they let in over all that time is none of its business: a customer with a usual
/// load must get in at the new daemon as at any other.
#[test]
fn a_new_daemon_does_not_charge_what_was_let_in_long_ago() {
    let mut fleet = CountingFleet::new(3);
    // Few enough at each daemon to be taken for news, and more than its burst.
    fleet.run(Duration::from_secs(60), |_| 0.3);
    fleet.books[2] = fresh_book(fleet.now);
    fleet.incarnations[2] += 100;
    fleet.introduce();
    fleet.run(Duration::from_secs(4), |_| RATE * 0.6 / 3.0);
    assert_eq!(fleet.refused, 0);
}

/// A zone of a large fleet is cut off, and a third of all daemons fall silent at
/// once. Were the part of each of them worked out against all others, for each
/// customer of each message, the daemons that are left would do nothing else: their
/// callers would wait for seconds and be refused.
#[test]
fn hearing_costs_about_the_same_while_a_third_is_silent() {
    const DAEMONS: usize = 90;
    const CUSTOMERS: u64 = 90;
    let span_of = |silent: usize| {
        let mut now = Timestamp::from_micros(1_000_000);
        let mut book = UsageBook::new(now);
        let limits: Vec<CustomerLimit> = (0..CUSTOMERS)
            .map(|customer| CustomerLimit {
                customer,
                rate: 10.0,
                burst: 10.0,
            })
            .collect();
        book.set_limits(&limits, now);
        let mut admitted = 0;
        let mut tell = |book: &mut UsageBook, speakers: std::ops::Range<usize>, now| {
            admitted += 1;
            let count = |customer| comfreyramp_policy::usage::UsageCount {
                customer,
                admitted,
                level: 5.0,
                times: None,
            };
            let counts: Vec<_> = (0..CUSTOMERS).map(count).collect();
            for daemon in speakers {
                book.hear(id(daemon), 1, &counts, now);
            }
        };
        tell(&mut book, 0..DAEMONS, now);
        let mut heard = Duration::ZERO;
        for _ in 0..6 {
            now = now + Duration::from_millis(250);
            let begin = std::time::Instant::now();
            tell(&mut book, silent..DAEMONS, now);
            heard += begin.elapsed();
            book.tick(now);
        }
        heard.as_secs_f64() / (DAEMONS - silent) as f64
    };
    let calm = span_of(0);
    let cut = span_of(DAEMONS / 3);
    let times = cut / calm;
    eprintln!("{times:.1} times what a calm message costs");
    assert!(times < 30.0, "{times:.1} times what a calm message costs");
}

/// A customer sends its whole burst to one daemon within a moment. Were the others
/// to hear of it only after changes have gathered, it could have as much at each of
/// them: with nine daemons nine times its burst.
#[test]
fn a_burst_is_told_before_it_is_spent() {
    let mut fleet = CountingFleet::new(2);
    let book = &mut fleet.books[0];
    let mut untold = 0;
    while !book.is_tell_urgent(CUSTOMER) {
        assert!(book.admit(CUSTOMER, fleet.now).is_ok());
        untold += 1;
    }
    assert!(f64::from(untold) <= BURST * 0.15, "{untold} before a word");
    book.own_counts(fleet.now);
    assert!(!book.is_tell_urgent(CUSTOMER), "the others know");
}
