//! Slots that pass from one daemon of a zone to another while the platform is lost.

mod rates_bus;

use comfreyramp_policy::rates::{CustomerKey, CustomerRate};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rates_bus::{
    BusOptions, Fault, RateBus, SECOND,
    checks::{CentralBucket, overshoot},
};

/// When the second daemon starts.
const START: u64 = 20 * SECOND;
/// The new holder of a slot waits for 7 s, and begins with an empty bucket.
const HANDOVER: u64 = 10 * SECOND;
const OUTAGE: u64 = 60 * SECOND;

fn customers() -> Vec<CustomerRate> {
    let rates = (0..16).map(|number| CustomerRate {
        customer: CustomerKey::of_name(&format!("c{number}")),
        rate: 4.0,
        burst: 12,
    });
    rates.collect()
}

/// A zone alone, whose second daemon starts later.
fn fleet(seed: u64, rates: &[CustomerRate]) -> RateBus {
    let options = BusOptions {
        zones: 1,
        per_zone: 2,
        seed,
        is_last_late: true,
        ..BusOptions::default()
    };
    RateBus::new(options, rates)
}

/// Requests of all customers, `part` times their rates, at either daemon.
fn send(bus: &mut RateBus, rates: &[CustomerRate], part: f64, daemons: usize, until: u64) {
    let mut random = StdRng::seed_from_u64(bus.options.seed);
    for rate in rates {
        let pause = 1e6 / (rate.rate * part);
        let mut at = 10.0 * SECOND as f64;
        while at < until as f64 {
            let daemon = random.random_range(0..daemons);
            bus.arrivals([(at as u64, daemon, rate.customer)]);
            at += pause * random.random_range(0.5..1.5);
        }
    }
}

/// A second daemon starts shortly before the platform is lost. Slots that the first one
/// had released, and the second not yet taken, were nobody's, and their customers were
/// refused everything until the platform was back.
#[test]
fn an_outage_while_slots_change_hands_refuses_nobody() {
    let rates = customers();
    for step in 0..60 {
        let mut bus = fleet(step, &rates);
        let lost = START + step * 100_000;
        bus.fault(START, Fault::Restart(1));
        bus.fault(lost, Fault::Outage(OUTAGE));
        send(&mut bus, &rates, 0.6, 1, lost + OUTAGE);
        bus.run_until(lost + OUTAGE);
        for rate in &rates {
            let mut central = CentralBucket::new(rate.rate, f64::from(rate.burst));
            let requests = bus.requests.iter();
            let requests = requests.filter(|it| it.customer == rate.customer);
            let wrong = requests
                .filter(|it| central.admits(it.arrived) && !it.admitted)
                .filter(|it| it.arrived > lost + HANDOVER);
            let wrong = wrong.count();
            assert_eq!(wrong, 0, "refused, lost {step} steps after the start");
        }
    }
}

/// A daemon goes on with slots that it gave away until the other knows. Were it to go on
/// for too long, or the other to begin too soon, customers would have a slot twice.
#[test]
fn slots_that_change_hands_are_not_spent_twice() {
    let rates = customers();
    for seed in 0..100 {
        let mut random = StdRng::seed_from_u64(seed);
        let mut bus = fleet(seed, &rates);
        let end = START + 60 * SECOND;
        bus.fault(START, Fault::Restart(1));
        for _ in 0..random.random_range(1..4) {
            let at = START + random.random_range(0..20 * SECOND);
            let span = random.random_range(SECOND / 10..12 * SECOND);
            let daemon = random.random_range(0..2);
            bus.fault(
                at,
                match random.random_range(0..4) {
                    0 => Fault::Outage(span),
                    1 => Fault::Pause(daemon, span),
                    2 => Fault::Restart(daemon),
                    _ => Fault::Loss(0.3),
                },
            );
        }
        send(&mut bus, &rates, 3.0, 2, end);
        bus.run_until(end);
        for rate in &rates {
            let times = bus.admitted(rate.customer);
            let excess = overshoot(&times, &[(0, rate.rate, f64::from(rate.burst))]);
            assert!(excess <= 0.0, "seed {seed}: {excess} above the rate");
        }
    }
}
