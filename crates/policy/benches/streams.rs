//! Benchmarks what a daemon does for each stream at the target size: it chooses the stream's
//! keepers out of 359 other daemons, and records the streams that it was told of.

use std::{hint::black_box, time::Duration};

use comfreyramp_policy::{
    Timestamp,
    streams::{
        KeeperCandidate, KeeperCounts, OriginTable, SoftwareKey, StreamKey, StreamOrigin,
        choose_keepers,
    },
    usage::PeerId,
};
use criterion::{Criterion, criterion_group, criterion_main};

const DAEMONS: u64 = 360;
const ZONES: u64 = 7;
/// The streams that a daemon keeps: 23 a second begin at each daemon, and each has four
/// keepers for ten minutes.
const KEPT_STREAMS: u64 = 23 * 4 * 600;
const LIFETIME: Duration = Duration::from_secs(600);

fn benchmark_streams(criterion: &mut Criterion) {
    let peers = (1..DAEMONS).map(|it| KeeperCandidate {
        id: PeerId::of_name(&format!("daemon-{it}")),
        is_near: it % ZONES == 0,
    });
    let peers: Vec<KeeperCandidate> = peers.collect();
    let mut number = 0;
    criterion.bench_function("choose keepers", |bencher| {
        bencher.iter(|| {
            number += 1;
            choose_keepers(
                StreamKey(black_box(number)),
                KeeperCounts::TOLD,
                peers.iter().copied(),
            )
        });
    });
    let software = SoftwareKey::of("drafts", "v1");
    let origin = |number| StreamOrigin {
        stream: StreamKey(number),
        software,
        lifetime: LIFETIME,
    };
    let mut table = OriginTable::default();
    let mut number = 0;
    let micros_between = LIFETIME.as_micros() as u64 / KEPT_STREAMS;
    let mut record = |table: &mut OriginTable| {
        number += 1;
        let now = Timestamp::from_micros(number * micros_between);
        table.record(origin(number), now);
        now
    };
    for _ in 0..KEPT_STREAMS {
        record(&mut table);
    }
    println!("{} streams are kept", table.len());
    criterion.bench_function("record a stream", |bencher| {
        bencher.iter(|| record(&mut table));
    });
    let now = record(&mut table);
    criterion.bench_function("find no stream", |bencher| {
        bencher.iter(|| table.find(StreamKey(black_box(0)), now));
    });
}

criterion_group!(benches, benchmark_streams);
criterion_main!(benches);
