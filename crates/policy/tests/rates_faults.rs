//! Tests that no customer gets more than its rate and burst, whichever faults occur.

mod rates_bus;

use comfreyramp_policy::rates::{CustomerKey, CustomerRate};
use proptest::{prelude::*, test_runner::RngSeed};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rates_bus::{
    BusOptions, Fault, RateBus, SECOND,
    checks::{CentralBucket, overshoot},
};

const WARM_UP: u64 = 40 * SECOND;

fn customer(name: &str, rate: f64, burst: u32) -> CustomerRate {
    let customer = CustomerKey::of_name(name);
    CustomerRate {
        customer,
        rate,
        burst,
    }
}

/// Returns random arrivals of one customer at the given daemons.
fn poisson(
    random: &mut StdRng,
    customer: CustomerKey,
    per_second: f64,
    period: (u64, u64),
    daemons: &[usize],
) -> Vec<(u64, usize, CustomerKey)> {
    let mut arrivals = Vec::new();
    let mut at = period.0 as f64;
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / per_second * 1e6;
        if at >= period.1 as f64 {
            return arrivals;
        }
        let daemon = daemons[random.random_range(0..daemons.len())];
        arrivals.push((at as u64, daemon, customer));
    }
}

fn assert_never_above(bus: &RateBus, rates: &[CustomerRate]) {
    for rate in rates {
        let times = bus.admitted(rate.customer);
        let excess = overshoot(&times, &[(0, rate.rate, f64::from(rate.burst))]);
        assert!(
            excess <= 0.0,
            "{excess} above the rate, {} admitted",
            times.len()
        );
    }
}

/// Counts the requests that were refused though one bucket for the whole fleet would
/// admit them, and all requests.
fn wrongly_refused(bus: &RateBus, rate: &CustomerRate) -> (usize, usize) {
    let mut central = CentralBucket::new(rate.rate, f64::from(rate.burst));
    let mut count = (0, 0);
    for request in bus
        .requests
        .iter()
        .filter(|request| request.customer == rate.customer)
    {
        let admits = central.admits(request.arrived);
        count.1 += 1;
        count.0 += usize::from(admits && !request.admitted);
    }
    count
}

/// Sends three times the rate of each customer to random daemons, so that every
/// existing token is spent.
fn overload(bus: &mut RateBus, rates: &[CustomerRate], period: (u64, u64)) {
    let mut random = StdRng::seed_from_u64(bus.options.seed);
    let daemons: Vec<usize> = (0..bus.options.zones * bus.options.per_zone).collect();
    for rate in rates {
        let arrivals = poisson(
            &mut random,
            rate.customer,
            rate.rate * 3.0,
            period,
            &daemons,
        );
        bus.arrivals(arrivals);
    }
}

fn two_customers() -> [CustomerRate; 2] {
    [customer("small", 6.0, 12), customer("large", 120.0, 60)]
}

#[test]
fn skewed_arrivals_are_served_as_by_one_bucket() {
    // A load balancer keeps a customer's connections on one daemon, so that all its
    // requests arrive there. With equal fixed shares the customer would be refused at a
    // ninth of its rate.
    let rates = [customer("small", 10.0, 20), customer("large", 400.0, 200)];
    for seed in 0..3 {
        let mut bus = RateBus::new(
            BusOptions {
                seed,
                ..BusOptions::default()
            },
            &rates,
        );
        let mut random = StdRng::seed_from_u64(seed);
        for rate in &rates {
            let period = (WARM_UP, 80 * SECOND);
            let arrivals = poisson(&mut random, rate.customer, rate.rate * 0.7, period, &[4]);
            bus.arrivals(arrivals);
        }
        bus.run_until(85 * SECOND);
        assert_never_above(&bus, &rates);
        for rate in &rates {
            let (wrong, all) = wrongly_refused(&bus, rate);
            assert!(wrong * 1_000 <= all, "{wrong} of {all} wrongly refused");
        }
    }
}

#[test]
fn a_whole_burst_after_a_pause_is_admitted_at_one_daemon() {
    // A buyer's screen sends several requests at once after an idle hour. The tokens
    // are spread over the holders of all zones, in fractions; if these were lost when
    // they are combined, the last request of the burst would be refused.
    let rates = [customer("small", 2.0, 10), customer("large", 300.0, 200)];
    let mut bus = RateBus::new(BusOptions::default(), &rates);
    for rate in &rates {
        for round in 0..4 {
            let start = WARM_UP + round * 10 * SECOND;
            let burst = 0..u64::from(rate.burst);
            bus.arrivals(burst.map(|number| (start + number * 100, 2, rate.customer)));
        }
    }
    bus.run_until(WARM_UP + 40 * SECOND);
    assert_never_above(&bus, &rates);
    for rate in &rates {
        assert_eq!(bus.admitted(rate.customer).len(), 4 * rate.burst as usize);
    }
}

#[test]
fn lost_and_replaced_daemons_never_double_tokens() {
    // A VM fails with slots, borrowed slices and granted tokens; another process starts
    // on it seconds later, and a second VM never returns. If a new holder started with
    // tokens that the lost one may have lent, a customer would get more than its rate
    // for a while.
    let rates = two_customers();
    for seed in 0..4 {
        let mut bus = RateBus::new(
            BusOptions {
                seed,
                ..BusOptions::default()
            },
            &rates,
        );
        overload(&mut bus, &rates, (WARM_UP, 150 * SECOND));
        bus.fault(50 * SECOND, Fault::Kill(1));
        bus.fault(51 * SECOND, Fault::Restart(1));
        bus.fault(55 * SECOND, Fault::Kill(5));
        bus.run_until(160 * SECOND);
        assert_never_above(&bus, &rates);
        assert!(
            bus.rosters[1].member("5").is_none(),
            "the lost daemon stays on the roster"
        );
    }
}

#[test]
fn a_paused_daemon_that_was_expelled_spends_nothing_when_it_wakes() {
    // A VM is paused for minutes and missing from the VM list, so its slots go to
    // others. When it resumes, requests wait in its sockets and its buckets are full.
    // If it spent these tokens, customers would get its share twice.
    let rates: Vec<_> = (0..12)
        .map(|number| customer(&format!("c{number}"), 4.0, 24))
        .collect();
    for seed in 0..3 {
        let mut bus = RateBus::new(
            BusOptions {
                seed,
                ..BusOptions::default()
            },
            &rates,
        );
        bus.fault(50 * SECOND, Fault::Unlist(4));
        bus.fault(50 * SECOND, Fault::Pause(4, 90 * SECOND));
        let wake = 140 * SECOND;
        for (number, rate) in rates.iter().enumerate() {
            let bursts = (0..400).map(|step| (wake - 50_000 + step * 250, rate.customer));
            let daemon = |step: usize| {
                if step.is_multiple_of(2) {
                    4
                } else {
                    (step + number) % 9
                }
            };
            let arrivals = bursts.enumerate();
            bus.arrivals(arrivals.map(|(step, (at, key))| (at, daemon(step), key)));
        }
        bus.run_until(150 * SECOND);
        assert!(
            bus.rosters[1].member("4").is_some(),
            "the daemon doesn't come back"
        );
        assert_never_above(&bus, &rates);
    }
}

#[test]
fn a_zone_that_is_cut_off_serves_on_within_its_part() {
    // A zone loses the other zones and the platform for a minute. Both sides continue
    // with their fixed shares; each may only count tokens that the other side can't
    // spend.
    let rates = two_customers();
    for seed in 0..4 {
        let mut bus = RateBus::new(
            BusOptions {
                seed,
                ..BusOptions::default()
            },
            &rates,
        );
        overload(&mut bus, &rates, (WARM_UP, 130 * SECOND));
        bus.fault(50 * SECOND, Fault::Cut(1, 60 * SECOND));
        bus.run_until(140 * SECOND);
        assert_never_above(&bus, &rates);
        for rate in &rates {
            let within = |request: &&rates_bus::Request| {
                let cut = 60 * SECOND..110 * SECOND;
                request.customer == rate.customer
                    && request.admitted
                    && cut.contains(&request.decided)
                    && request.daemon / 3 == 1
            };
            let served = bus.requests.iter().filter(within).count() as f64;
            let share = rate.rate / 3.0 * 50.0;
            assert!(
                served > share * 0.95,
                "{served} of {share} served in the zone cut off"
            );
        }
    }
}

#[test]
fn a_platform_outage_refuses_nobody() {
    // The platform is unavailable for a minute, and no daemon can confirm or change the
    // rosters. If daemons stopped for lack of confirmation, they would refuse customers
    // that are well within their rates.
    let rates = two_customers();
    let mut bus = RateBus::new(BusOptions::default(), &rates);
    let mut random = StdRng::seed_from_u64(3);
    let daemons: Vec<usize> = (0..9).collect();
    for rate in &rates {
        let period = (WARM_UP, 130 * SECOND);
        let demand = rate.rate * 0.6;
        let arrivals = poisson(&mut random, rate.customer, demand, period, &daemons);
        bus.arrivals(arrivals);
    }
    bus.fault(50 * SECOND, Fault::Outage(60 * SECOND));
    bus.run_until(135 * SECOND);
    assert_never_above(&bus, &rates);
    for rate in &rates {
        let (wrong, all) = wrongly_refused(&bus, rate);
        assert!(wrong * 1_000 <= all, "{wrong} of {all} wrongly refused");
    }
}

#[test]
fn lost_answers_lose_tokens_and_never_double_them() {
    // One message in five is lost, requests as well as answers, so lenders don't know
    // whether their tokens arrived, nor borrowers whether their slices were returned.
    let rates = two_customers();
    for seed in 0..4 {
        let mut bus = RateBus::new(
            BusOptions {
                seed,
                ..BusOptions::default()
            },
            &rates,
        );
        overload(&mut bus, &rates, (WARM_UP, 100 * SECOND));
        bus.fault(WARM_UP, Fault::Loss(0.2));
        bus.run_until(110 * SECOND);
        assert_never_above(&bus, &rates);
    }
}

#[test]
fn a_lowered_rate_holds_everywhere_within_seconds() {
    // Operators lower a rate during a fault. Tokens that were lent and granted at the
    // old rate must have expired when the settings count as in force. A zone that is
    // cut off can't know of the change; only its share stays as it was.
    let rates = two_customers();
    let lowered = [customer("small", 2.0, 4), customer("large", 30.0, 15)];
    let faults = [
        Fault::Loss(0.1),
        Fault::Kill(4),
        Fault::Pause(4, 20 * SECOND),
        Fault::Cut(1, 60 * SECOND),
    ];
    for (seed, injected) in faults.into_iter().enumerate() {
        let seed = seed as u64;
        let mut bus = RateBus::new(
            BusOptions {
                seed,
                ..BusOptions::default()
            },
            &rates,
        );
        overload(&mut bus, &rates, (WARM_UP, 110 * SECOND));
        let cut = matches!(injected, Fault::Cut(..));
        bus.fault(50 * SECOND, injected);
        bus.fault(50 * SECOND + 1, Fault::Rates(lowered.to_vec()));
        bus.run_until(120 * SECOND);
        let settle = bus.options.timing.takeover_delay().as_micros() as u64;
        for (old, new) in rates.iter().zip(&lowered) {
            let share = |old: f64, new: f64| if cut { (old + 2.0 * new) / 3.0 } else { new };
            let burst = share(f64::from(old.burst), f64::from(new.burst));
            let steps = [
                (0, old.rate, f64::from(old.burst)),
                (50 * SECOND + settle, share(old.rate, new.rate), burst),
            ];
            let excess = overshoot(&bus.admitted(old.customer), &steps);
            assert!(excess <= 0.0, "{excess} above the lowered rate");
        }
    }
}

#[test]
fn a_new_division_into_slots_never_adds_up_to_more() {
    // A rate is raised so far that the customer uses more slots, and lowered again.
    // Daemons learn of it at different times, one of them late. If a slot of the new
    // division counted beside a slot of the old one, the customer would get both.
    let small = [customer("large", 150.0, 90)];
    let big = [customer("large", 260.0, 90)];
    for seed in 0..4 {
        let mut bus = RateBus::new(
            BusOptions {
                seed,
                ..BusOptions::default()
            },
            &small,
        );
        overload(&mut bus, &big, (WARM_UP, 120 * SECOND));
        bus.fault(49 * SECOND, Fault::Pause(2, 3 * SECOND));
        bus.fault(50 * SECOND, Fault::Rates(big.to_vec()));
        bus.fault(80 * SECOND, Fault::Rates(small.to_vec()));
        bus.run_until(125 * SECOND);
        let settle = bus.options.timing.takeover_delay().as_micros() as u64;
        let steps = [
            (0, 150.0, 90.0),
            (50 * SECOND, 260.0, 90.0),
            (80 * SECOND + settle, 150.0, 90.0),
        ];
        let excess = overshoot(&bus.admitted(small[0].customer), &steps);
        assert!(excess <= 0.0, "{excess} above the rate");
    }
}

fn any_fault() -> impl Strategy<Value = Fault> {
    let daemon = || 0..9_usize;
    let period = || (1..80_u64).prop_map(|seconds| seconds * SECOND);
    prop_oneof![
        (daemon(), period()).prop_map(|(daemon, period)| Fault::Pause(daemon, period)),
        daemon().prop_map(Fault::Kill),
        daemon().prop_map(Fault::Unlist),
        daemon().prop_map(Fault::Restart),
        (0..3_usize, period()).prop_map(|(zone, period)| Fault::Cut(zone, period)),
        period().prop_map(Fault::Outage),
        (0..30_u32).prop_map(|percent| Fault::Loss(f64::from(percent) / 100.0)),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20),
        ..ProptestConfig::default()
    })]

    /// Any faults occur at any time, also together or repeatedly. A customer that sends
    /// three times its rate must never get more than its rate.
    #[test]
    fn no_run_of_faults_admits_more(
        faults in prop::collection::vec((40..150_u64, any_fault()), 1..9),
        seed in 0..1_000_u64,
    ) {
        let rates = two_customers();
        let mut bus = RateBus::new(BusOptions { seed, ..BusOptions::default() }, &rates);
        overload(&mut bus, &rates, (WARM_UP, 190 * SECOND));
        for (second, fault) in &faults {
            bus.fault(second * SECOND, fault.clone());
        }
        bus.run_until(195 * SECOND);
        for rate in &rates {
            let times = bus.admitted(rate.customer);
            let excess = overshoot(&times, &[(0, rate.rate, f64::from(rate.burst))]);
            prop_assert!(excess <= 0.0, "{} above the rate", excess);
        }
    }
}
