//! Benchmarks one routing decision at the target size of 910 servers.

use std::{hint::black_box, time::Duration};

use comfreyramp_policy::{
    GroupId, ListedServer, LoadReport, RouteQuery, ServerTable, Timestamp, ZoneId,
};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SERVERS: u32 = 910;
const ZONES: u32 = 7;

fn loaded_table(groups: u32, rng: &mut StdRng) -> ServerTable {
    let listed: Vec<ListedServer> = (0..SERVERS)
        .map(|it| ListedServer {
            name: format!("server-{it:04}.zone-{}.example", it % ZONES),
            address: format!("10.0.{}.{}:8000", it / 256, it % 256),
            zone: ZoneId(it % ZONES),
            group: GroupId(it / ZONES % groups),
            leaving: false,
        })
        .collect();
    let mut table = ServerTable::default();
    let now = Timestamp::from_micros(1);
    table.apply_list(&listed, now);
    let servers: Vec<_> = table.servers().map(|(server, _)| server).collect();
    for server in servers {
        let report = LoadReport {
            running: rng.random_range(0..16),
            waiting: 0,
            batch: 16,
        };
        table.report(server, report, now);
        table.first_token(server, Duration::from_millis(rng.random_range(50..500)));
    }
    table
}

fn routing(criterion: &mut Criterion) {
    let mut rng = StdRng::seed_from_u64(1);
    let mut group = criterion.benchmark_group("routing");
    for groups in [1, 5] {
        let mut table = loaded_table(groups, &mut rng);
        println!("state for {groups} groups: {} bytes", table.memory());
        let mut micros = 1;
        group.bench_function(format!("choose/{groups}-groups"), |bencher| {
            bencher.iter(|| {
                micros += 100;
                let group = GroupId(rng.random_range(0..groups));
                let query = RouteQuery::new(group, ZoneId(0));
                table.choose(black_box(&query), Timestamp::from_micros(micros), &mut rng)
            });
        });
        group.bench_function(format!("choose-by-prefix/{groups}-groups"), |bencher| {
            bencher.iter(|| {
                micros += 100;
                let group = GroupId(rng.random_range(0..groups));
                let query = RouteQuery::new(group, ZoneId(0)).prefix(rng.random_range(0..1000));
                table.choose(black_box(&query), Timestamp::from_micros(micros), &mut rng)
            });
        });
        group.bench_function(format!("choose-begin-end/{groups}-groups"), |bencher| {
            bencher.iter(|| {
                micros += 100;
                let group = GroupId(rng.random_range(0..groups));
                let query = RouteQuery::new(group, ZoneId(0)).prefix(rng.random_range(0..1000));
                let now = Timestamp::from_micros(micros);
                if let Some(server) = table.choose(black_box(&query), now, &mut rng) {
                    table.begin(server);
                    table.end(server, Duration::from_millis(200));
                }
            });
        });
    }
    group.finish();
}

criterion_group!(benches, routing);
criterion_main!(benches);
