//! Benchmarks how a daemon decides whether to follow the settings in the platform.

use std::{hint::black_box, time::Duration};

use comfreyramp_policy::{
    DaemonId, FleetMember, FreshnessSettings, Timestamp, ViewOffer, WatchPlan, member_score,
};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::{SeedableRng, rngs::StdRng};

/// The number of daemons in the fleet, and how many of them are in the same zone.
const FLEET: u32 = 360;
const ZONE: u32 = 52;

fn members() -> Vec<FleetMember> {
    let member = |id: u32| FleetMember {
        id: DaemonId(id),
        score: member_score("zone", &id.to_string()),
        same_zone: id < ZONE,
    };
    (1..FLEET).map(member).collect()
}

/// Simulates one second of a daemon that doesn't follow the platform: ten checks of
/// whether it should follow, one query to a peer and one answer.
fn second(plan: &mut WatchPlan, members: &[FleetMember], now: Timestamp, rng: &mut StdRng) {
    for _ in 0..10 {
        black_box(plan.should_follow(now));
    }
    plan.set_members(members);
    if let Some(peer) = plan.next_request(now, rng) {
        let offer = ViewOffer {
            base: 1,
            revision: 1,
            age: Duration::from_millis(500),
            direct: true,
        };
        black_box(plan.apply_offer(peer, offer, now, now));
    }
}

fn freshness(criterion: &mut Criterion) {
    let members = members();
    let mut rng = StdRng::seed_from_u64(1);
    let mut plan = WatchPlan::new(FreshnessSettings::default(), 0);
    let mut now = Timestamp::ZERO;
    plan.apply_read(1, now, now);
    criterion.bench_function("freshness/one second of 360 daemons", |bencher| {
        bencher.iter(|| {
            now = now + Duration::from_secs(1);
            second(&mut plan, &members, now, &mut rng);
        });
    });
}

criterion_group!(benches, freshness);
criterion_main!(benches);
