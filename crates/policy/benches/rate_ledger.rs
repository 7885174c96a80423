//! Benchmarks the rate ledger with 780 customers: admitting a request from a slot held
//! by this daemon, borrowing one token from another daemon, and one tick.

use std::{hint::black_box, time::Duration};

use comfreyramp_policy::{
    DaemonId, Timestamp,
    rates::{CustomerKey, CustomerRate, Decision, LedgerTiming, SLOTS, ShareLedger},
};
use criterion::{Criterion, criterion_group, criterion_main};

const ZONES: usize = 7;

fn rates() -> Vec<CustomerRate> {
    let mut rates = Vec::new();
    for rank in 1..=780 {
        rates.push(CustomerRate {
            customer: CustomerKey::of_name(&format!("customer-{rank}")),
            rate: 1e9 / f64::from(rank),
            burst: 10_000_000,
        });
    }
    rates
}

/// Returns the ledger of daemon `me` in a zone of 51 daemons. If `all` is given, that
/// daemon holds all slots of the zone.
fn ledger(me: u32, all: Option<u32>) -> (ShareLedger, Timestamp) {
    let start = Timestamp::from_micros(1_000_000);
    let timing = LedgerTiming::default();
    let mut ledger = ShareLedger::new(DaemonId(me), 0, ZONES, timing, 0, start);
    let mut now = start;
    for zone in 0..ZONES {
        let mut holders = [None; SLOTS];
        for (slot, holder) in holders.iter_mut().enumerate() {
            *holder = Some(DaemonId(all.unwrap_or((zone * 51 + slot % 51) as u32)));
        }
        ledger.set_holders(zone, &holders, 0, now);
    }
    ledger.set_rates(&rates(), now);
    for second in 1..=60 {
        now = start + Duration::from_secs(second);
        ledger.confirm_view(now);
        ledger.tick(now);
    }
    (ledger, now)
}

fn bench(criterion: &mut Criterion) {
    let customers: Vec<CustomerKey> = rates().iter().map(|rate| rate.customer).collect();
    let (slotless, now) = ledger(357, None);
    println!(
        "a ledger with 780 customers takes {} bytes",
        slotless.memory_size()
    );

    let (mut holder, _) = ledger(0, Some(0));
    let mut micros = 0;
    criterion.bench_function("admit from a held slot", |bencher| {
        bencher.iter(|| {
            micros += 1;
            let customer = customers[micros % customers.len()];
            holder.admit(
                black_box(customer),
                now + Duration::from_micros(micros as u64 / 100),
            )
        });
    });

    // Requests are two milliseconds apart, so that each customer's demand at this
    // daemon stays below the level at which the daemon borrows in advance.
    let mut borrower = slotless.clone();
    let (mut holder, _) = ledger(0, Some(0));
    let mut number = 0;
    criterion.bench_function("borrow: ask, answer, spend", |bencher| {
        bencher.iter(|| {
            number += 1;
            let at = now + Duration::from_millis(2 * number);
            if number.is_multiple_of(1_000) {
                holder.confirm_view(at);
                holder.tick(at);
            }
            let customer = customers[number as usize % customers.len()];
            let decision = borrower.admit(black_box(customer), at);
            let Decision::RequestToken {
                request, attempt, ..
            } = decision
            else {
                unreachable!("the borrower already has tokens");
            };
            let answer = holder.handle_tokens(&request, at);
            borrower.on_answer(attempt, answer, at)
        });
    });

    let (mut held, _) = ledger(1, None);
    let mut step = 0;
    criterion.bench_function("tick", |bencher| {
        bencher.iter(|| {
            step += 1;
            held.tick(now + Duration::from_micros(step));
        });
    });
}

criterion_group!(benches, bench);
criterion_main!(benches);
