//! Tests of slots that pass from one daemon of a zone to another while the platform is
//! unavailable.

mod rates_bus;

use comfreyramp_policy::rates::{CustomerKey, CustomerRate};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rates_bus::{
    BusOptions, Fault, RateBus, SECOND,
    checks::{CentralBucket, overshoot},
};

/// When the second daemon starts.
const START: u64 = 20 * SECOND;
/// The new holder of a slot waits for 7 s and starts with an empty bucket.
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

/// Returns a single zone whose second daemon starts later.
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

/// Sends requests of all customers, at `load` times their rates, to random daemons.
fn send(bus: &mut RateBus, rates: &[CustomerRate], load: f64, daemons: usize, until: u64) {
    let mut random = StdRng::seed_from_u64(bus.options.seed);
    for rate in rates {
        let interval = 1e6 / (rate.rate * load);
        let mut at = 10.0 * SECOND as f64;
        while at < until as f64 {
            let daemon = random.random_range(0..daemons);
            bus.arrivals([(at as u64, daemon, rate.customer)]);
            at += interval * random.random_range(0.5..1.5);
        }
    }
}

/// A second daemon starts shortly before the platform is lost. Slots that the first
/// daemon had released and the second had not yet taken had no holder, and their
/// customers were refused everything until the platform was back.
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
            assert_eq!(
                wrong, 0,
                "refused requests; platform lost {step} steps after the start"
            );
        }
    }
}

/// A daemon continues to use slots that it gave away until the new holder knows of
/// them. If it continued for too long, or the new holder started too early, both would
/// spend the tokens of a slot.
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
            let duration = random.random_range(SECOND / 10..12 * SECOND);
            let daemon = random.random_range(0..2);
            bus.fault(
                at,
                match random.random_range(0..4) {
                    0 => Fault::Outage(duration),
                    1 => Fault::Pause(daemon, duration),
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
