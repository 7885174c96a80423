//! Replays of overload: what becomes of callers where requests wait at servers or at the
//! daemon, and where refused callers are told planned times.

mod overload_replay;

use std::time::Duration;

use overload_replay::{ENGINES, Outcomes, PLAIN, Replay, Report, Shape, Way};

const SEEDS: u64 = 3;
const LOADS: [f64; 5] = [0.5, 1.0, 1.5, 2.0, 4.0];
const WAYS: [(&str, Way); 4] = [
    (
        "servers' queues",
        Way {
            has_queue: false,
            has_plan: false,
        },
    ),
    (
        "servers' queues, planned",
        Way {
            has_queue: false,
            has_plan: true,
        },
    ),
    (
        "daemon's queue",
        Way {
            has_queue: true,
            has_plan: false,
        },
    ),
    (
        "daemon's queue, planned",
        Way {
            has_queue: true,
            has_plan: true,
        },
    ),
];

struct Total {
    all: Outcomes,
    by_rank: [Outcomes; 2],
    by_customer: [Outcomes; 3],
    worst_second: f64,
    promised: u32,
    kept: u32,
}

fn total(shape: Shape, run: impl Fn(u64) -> Report) -> Total {
    let mut total = Total {
        all: Outcomes::default(),
        by_rank: Default::default(),
        by_customer: Default::default(),
        worst_second: f64::INFINITY,
        promised: 0,
        kept: 0,
    };
    for seed in 1..=SEEDS {
        let report = run(seed);
        total.all.add(&report.all);
        for (sum, part) in total.by_rank.iter_mut().zip(&report.by_rank) {
            sum.add(part);
        }
        for (sum, part) in total.by_customer.iter_mut().zip(&report.by_customer) {
            sum.add(part);
        }
        let worst = report.worst_second(shape.capacity());
        total.worst_second = total.worst_second.min(worst);
        total.promised += report.promised;
        total.kept += report.kept;
    }
    total
}

fn print_row(shape: Shape, load: &str, way: &str, total: &Total) {
    let share = |part: u32, of: &Outcomes| f64::from(part) / f64::from(of.callers.max(1));
    println!(
        "{:15} {load:8} {way:25} in time {:.3} (first {:.3}) late {:.3} refused {:.3} worst second {:.2} | rank 0 {:.3} rank 1 {:.3} | hot {:.3} others {:.3} | promised {} kept {}",
        shape.name,
        share(total.all.all_in_time(), &total.all),
        share(total.all.in_time, &total.all),
        share(total.all.late, &total.all),
        share(total.all.refused, &total.all),
        total.worst_second,
        share(total.by_rank[0].all_in_time(), &total.by_rank[0]),
        share(total.by_rank[1].all_in_time(), &total.by_rank[1]),
        share(total.by_customer[0].all_in_time(), &total.by_customer[0]),
        share(total.by_customer[1].all_in_time(), &total.by_customer[1]),
        total.promised,
        total.kept,
    );
}

#[test]
fn table() {
    for shape in [PLAIN, ENGINES] {
        for load in LOADS {
            for (name, way) in WAYS {
                let total = total(shape, |seed| Replay::new(shape, way, load, seed).run());
                print_row(shape, &format!("x{load}"), name, &total);
            }
        }
        for (name, way) in WAYS {
            let total = total(shape, |seed| {
                let replay = Replay::new(shape, way, 1.0, seed);
                let at = Duration::from_millis(10_000);
                replay.with_outage(at, Duration::from_millis(1_300)).run()
            });
            print_row(shape, "restart", name, &total);
        }
    }
}
