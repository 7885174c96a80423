//! Compares the rate shares with an equal static split and with one central bucket:
//! counts wrongly refused requests and messages, and prints the table of docs/RATES.md.
//!
//! `cargo run --release -p comfreyramp-policy --example rate_refusals`

#[path = "../tests/rates_bus/mod.rs"]
mod rates_bus;

use std::collections::BTreeMap;

use comfreyramp_policy::rates::{CustomerKey, CustomerRate};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rates_bus::{
    BusOptions, Fault, RateBus, Request, SECOND,
    checks::{CentralBucket, overshoot},
};

/// The buckets are full by the time of the first request.
const START: u64 = 60 * SECOND;

/// The daemons at which a customer's requests arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Arrival {
    /// Any daemon.
    Spread,
    /// One daemon, a different one for each customer.
    Pinned,
    /// One daemon, which changes every five seconds.
    Moving,
    /// Any daemon of one zone.
    OneZone,
    /// One daemon: the whole burst at once after an idle period.
    Bursts,
}

#[derive(Clone, Copy, Debug)]
struct Fleet {
    name: &'static str,
    zones: usize,
    per_zone: usize,
    customers: usize,
    per_second: f64,
    seconds: u64,
}

#[derive(Clone, Debug)]
struct Scenario {
    name: &'static str,
    arrival: Arrival,
    /// Demand as a fraction of each customer's rate.
    load: f64,
    faults: Vec<(u64, Fault)>,
    /// When the platform can't be reached: first and last second, and the zone (`None`
    /// for all zones).
    disconnected: Option<(u64, u64, Option<usize>)>,
    /// The seconds whose requests are counted. Requests outside of them are simulated
    /// too.
    window: (u64, u64),
}

fn rates_of(fleet: &Fleet, load: f64) -> Vec<CustomerRate> {
    let weights: f64 = (1..=fleet.customers).map(|rank| 1.0 / rank as f64).sum();
    let mut rates = Vec::new();
    for rank in 1..=fleet.customers {
        let demand = fleet.per_second / rank as f64 / weights;
        let rate = demand / load;
        rates.push(CustomerRate {
            customer: CustomerKey::of_name(&format!("customer-{rank}")),
            rate,
            burst: (rate * 2.0).ceil().max(10.0) as u32,
        });
    }
    rates
}

fn arrivals_of(
    fleet: &Fleet,
    scenario: &Scenario,
    rate: &CustomerRate,
    random: &mut StdRng,
) -> Vec<(u64, usize, CustomerKey)> {
    let daemons = fleet.zones * fleet.per_zone;
    let end = START + fleet.seconds * SECOND;
    let mut home = random.random_range(0..daemons);
    let zone = random.random_range(0..fleet.zones);
    let mut moved = START;
    let mut at = START as f64;
    let mut arrivals = Vec::new();
    if scenario.arrival == Arrival::Bursts {
        let interval = (f64::from(rate.burst) / rate.rate / scenario.load * 1e6) as u64;
        let mut at = START + random.random_range(0..interval);
        while at < end {
            let daemon = random.random_range(0..daemons);
            for number in 0..u64::from(rate.burst) {
                arrivals.push((at + number * 100, daemon, rate.customer));
            }
            at += interval;
        }
        return arrivals;
    }
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / (rate.rate * scenario.load) * 1e6;
        if at >= end as f64 {
            return arrivals;
        }
        if at as u64 - moved > 5 * SECOND {
            moved = at as u64;
            if scenario.arrival == Arrival::Moving {
                home = random.random_range(0..daemons);
            }
        }
        let daemon = match scenario.arrival {
            Arrival::Spread => random.random_range(0..daemons),
            Arrival::OneZone => zone * fleet.per_zone + random.random_range(0..fleet.per_zone),
            Arrival::Pinned | Arrival::Moving | Arrival::Bursts => home,
        };
        arrivals.push((at as u64, daemon, rate.customer));
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct RefusalCounts {
    all: usize,
    central: usize,
    wrong: usize,
    admitted: usize,
    admitted_too_few: usize,
    split_wrong: usize,
    counter_wrong: usize,
    unavoidable: usize,
}

fn run_scenario(fleet: &Fleet, scenario: &Scenario) {
    let daemons = fleet.zones * fleet.per_zone;
    let rates = rates_of(fleet, scenario.load.min(0.8));
    let options = BusOptions {
        zones: fleet.zones,
        per_zone: fleet.per_zone,
        seed: 7,
        ..BusOptions::default()
    };
    let mut bus = RateBus::new(options, &rates);
    let mut random = StdRng::seed_from_u64(11);
    for rate in &rates {
        let arrivals = arrivals_of(fleet, scenario, rate, &mut random);
        bus.arrivals(arrivals);
    }
    for (at, fault) in &scenario.faults {
        bus.fault(START + at * SECOND, fault.clone());
    }
    bus.run_until(START - 1);
    let before = bus.messages;
    let slices = bus.slices;
    bus.run_until(START + (fleet.seconds + 3) * SECOND);
    let mut by_customer: BTreeMap<CustomerKey, Vec<Request>> = BTreeMap::new();
    for request in &bus.requests {
        by_customer
            .entry(request.customer)
            .or_default()
            .push(*request);
    }
    let mut total = RefusalCounts::default();
    let mut worst = f64::MIN;
    for rate in &rates {
        let Some(requests) = by_customer.get(&rate.customer) else {
            continue;
        };
        let count = count_refusals(fleet, scenario, rate, requests, daemons);
        total.all += count.all;
        total.central += count.central;
        total.wrong += count.wrong;
        total.admitted += count.admitted;
        total.admitted_too_few += count.central.saturating_sub(count.admitted);
        total.split_wrong += count.split_wrong;
        total.counter_wrong += count.counter_wrong;
        total.unavoidable += count.unavoidable;
        let mut times: Vec<u64> = Vec::new();
        times.extend(
            requests
                .iter()
                .filter(|one| one.admitted)
                .map(|one| one.decided),
        );
        times.sort_unstable();
        let steps = [(0, rate.rate, f64::from(rate.burst))];
        worst = worst.max(overshoot(&times, &steps));
    }
    // Messages can't be attributed to a part of the run, so they are divided by all
    // requests.
    let sent = bus.requests.len().max(1);
    let slices = bus.slices - slices;
    let each = slices as f64 / (bus.messages[1] - before[1]).max(1) as f64;
    let percent = |count: usize| 100.0 * count as f64 / total.all.max(1) as f64;
    let messages: Vec<String> = (0..4)
        .map(|kind| (bus.messages[kind] - before[kind]) as f64 / sent as f64)
        .map(|each| format!("{each:.3}"))
        .collect();
    println!(
        "| {} | {} | {} | {:.2} | {:.3} | {:.3} | {:.2} | {:.2} | {:.2} | {} | {:.1} | {} |",
        fleet.name,
        scenario.name,
        total.all,
        percent(total.all - total.central),
        percent(total.wrong),
        percent(total.admitted_too_few),
        percent(total.split_wrong),
        percent(total.counter_wrong),
        percent(total.unavoidable),
        messages.join(" / "),
        each,
        if worst <= 0.0 {
            "0".to_owned()
        } else {
            format!("{worst:.6}")
        },
    );
}

fn count_refusals(
    fleet: &Fleet,
    scenario: &Scenario,
    rate: &CustomerRate,
    requests: &[Request],
    daemons: usize,
) -> RefusalCounts {
    let burst = f64::from(rate.burst);
    let parts = daemons as f64;
    let mut central = CentralBucket::new(rate.rate, burst);
    let mut split: BTreeMap<usize, CentralBucket> = BTreeMap::new();
    let zones = fleet.zones as f64;
    let mut sides = [
        CentralBucket::new(rate.rate / zones, burst / zones),
        CentralBucket::new(
            rate.rate * (zones - 1.0) / zones,
            burst * (zones - 1.0) / zones,
        ),
    ];
    let mut count = RefusalCounts::default();
    for request in requests {
        let admits = central.admits(request.arrived);
        let own = split
            .entry(request.daemon)
            .or_insert_with(|| CentralBucket::new(rate.rate / parts, burst / parts));
        let split_admits = own.admits(request.arrived);
        let is_disconnected = scenario.disconnected.is_some_and(|(from, to, zone)| {
            let second = (request.arrived - START) / SECOND;
            let here = zone.is_none_or(|zone| zone == request.daemon / fleet.per_zone);
            here && (from..to).contains(&second)
        });
        let second = (request.arrived - START) / SECOND;
        let mut avoidable = true;
        if let Some((from, to, Some(zone))) = scenario.disconnected {
            let side = usize::from(zone != request.daemon / fleet.per_zone);
            let side_admits = sides[side].admits(request.arrived);
            let disconnected = (from..to).contains(&second);
            avoidable = !disconnected || !admits || side_admits;
        }
        if !(scenario.window.0..scenario.window.1).contains(&second) {
            continue;
        }
        count.unavoidable += usize::from(!avoidable);
        count.all += 1;
        count.central += usize::from(admits);
        count.admitted += usize::from(request.admitted);
        count.wrong += usize::from(admits && !request.admitted);
        count.split_wrong += usize::from(admits && !split_admits);
        count.counter_wrong += usize::from(admits && is_disconnected);
    }
    count
}

fn scenarios() -> Vec<Scenario> {
    let plain = |name, arrival, load| Scenario {
        name,
        arrival,
        load,
        faults: Vec::new(),
        disconnected: None,
        window: (0, u64::MAX),
    };
    let mut all = vec![
        plain("spread, 0.7 of the rate", Arrival::Spread, 0.7),
        plain("one daemon each, 0.7", Arrival::Pinned, 0.7),
        plain("one daemon, moving, 0.7", Arrival::Moving, 0.7),
        plain("one zone each, 0.7", Arrival::OneZone, 0.7),
        plain("whole bursts, 0.7", Arrival::Bursts, 0.7),
        plain("spread, 3 times the rate", Arrival::Spread, 3.0),
        plain("one daemon each, 3 times", Arrival::Pinned, 3.0),
    ];
    let mut loss = plain("a daemon lost and replaced", Arrival::Spread, 0.7);
    loss.faults = vec![(10, Fault::Kill(1)), (25, Fault::Restart(1))];
    all.push(loss);
    let mut lossy = plain("1 in 100 messages lost", Arrival::Spread, 0.7);
    lossy.faults = vec![(0, Fault::Loss(0.01))];
    all.push(lossy);
    let mut outage = plain("platform out for 30 s", Arrival::Spread, 0.7);
    outage.faults = vec![(10, Fault::Outage(30 * SECOND))];
    outage.disconnected = Some((10, 40, None));
    all.push(outage);
    let mut cut = plain("a zone cut off for 30 s", Arrival::Spread, 0.7);
    cut.faults = vec![(10, Fault::Cut(0, 30 * SECOND))];
    cut.disconnected = Some((10, 40, Some(0)));
    let windows = [
        ("a zone cut off for 30 s", (0, u64::MAX)),
        ("the first 4 s of the cut", (10, 14)),
        ("the rest of the cut", (14, 40)),
        ("the 4 s after the cut", (40, 44)),
        ("later", (44, 60)),
    ];
    for (name, window) in windows {
        let cut = cut.clone();
        all.push(Scenario {
            name,
            window,
            ..cut
        });
    }
    all
}

fn main() {
    let fleets = [
        Fleet {
            name: "3 x 3",
            zones: 3,
            per_zone: 3,
            customers: 8,
            per_second: 200.0,
            seconds: 60,
        },
        Fleet {
            name: "4 x 2",
            zones: 4,
            per_zone: 2,
            customers: 8,
            per_second: 200.0,
            seconds: 60,
        },
        Fleet {
            name: "7 x 51",
            zones: 7,
            per_zone: 51,
            customers: 780,
            per_second: 8_200.0,
            seconds: 60,
        },
    ];
    // Optional arguments: the name of a fleet, and a part of a scenario's name.
    let only = std::env::args().nth(1);
    let name_filter = std::env::args().nth(2).unwrap_or_default();
    println!(
        "| fleet | scenario | requests | refused by one bucket, % | wrongly refused, % | admitted too few, % | wrongly refused by static split, % | by a central counter, % | by one bucket on each side of a cut, % | asks per request: tokens / slices / returns / settlements | slices in a message | overshoot |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|");
    for fleet in &fleets {
        if only.as_deref().is_some_and(|only| only != fleet.name) {
            continue;
        }
        for scenario in scenarios() {
            if scenario.name.contains(&name_filter) {
                run_scenario(fleet, &scenario);
            }
        }
    }
}
