//! The software that began a stream, and the daemons that keep it.

use std::{sync::LazyLock, time::Duration};

use comfreyramp_policy::{
    Timestamp,
    streams::{
        KeeperCandidate, KeeperCounts, OriginTable, SoftwareKey, StreamKey, StreamOrigin,
        choose_keepers,
    },
    usage::PeerId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const DAEMONS: u64 = 360;
const ZONES: u64 = 7;
const STREAMS: u64 = 2_000;

/// A daemon that sees some of the others, as these have not been lost.
fn keepers_of(
    own: u64,
    stream: StreamKey,
    counts: KeeperCounts,
    is_seen: impl Fn(u64) -> bool,
) -> Vec<PeerId> {
    let others = (0..DAEMONS).filter(|&it| it != own && is_seen(it));
    let candidates = others.map(|it| KeeperCandidate {
        id: peer(it),
        is_near: it % ZONES == own % ZONES,
    });
    choose_keepers(stream, counts, candidates)
}

fn peer(daemon: u64) -> PeerId {
    static PEERS: LazyLock<Vec<PeerId>> = LazyLock::new(|| {
        let names = (0..DAEMONS).map(|it| format!("daemon-{it}"));
        names.map(|it| PeerId::of_name(&it)).collect()
    });
    PEERS[daemon as usize]
}

fn stream(number: u64) -> StreamKey {
    StreamKey::of("press", &format!("request-{number}"))
}

/// Returns the share of streams whose version the daemon that is asked can learn, after some
/// daemons were lost together with the one that began the stream.
fn known_share(seed: u64, is_lost: impl Fn(u64, u64) -> bool, asks_in_zone: bool) -> f64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut known = 0;
    for number in 0..STREAMS {
        let begins = random.random_range(0..DAEMONS);
        let is_alive = |it: u64| it != begins && !is_lost(it, begins);
        let told = keepers_of(begins, stream(number), KeeperCounts::TOLD, |_| true);
        let asks = loop {
            let drawn = random.random_range(0..DAEMONS);
            if is_alive(drawn) && (!asks_in_zone || drawn % ZONES == begins % ZONES) {
                break drawn;
            }
        };
        let asked = keepers_of(asks, stream(number), KeeperCounts::ASKED, is_alive);
        let is_told = |it: &PeerId| told.contains(it);
        known += u64::from(asked.iter().any(is_told) || told.contains(&peer(asks)));
    }
    let share = known as f64 / STREAMS as f64;
    println!("seed {seed}: {share} known");
    share
}

/// Guards against streams whose version nobody can tell after their daemon was lost.
#[test]
fn a_stream_is_known_after_its_daemon_was_lost() {
    for seed in 1..=5 {
        assert_eq!(known_share(seed, |_, _| false, true), 1.0);
        assert_eq!(known_share(seed, |_, _| false, false), 1.0);
    }
}

/// Guards against streams that nobody knows once all daemons of their zone were lost.
#[test]
fn most_streams_are_known_after_their_zone_was_lost() {
    for seed in 1..=5 {
        let of_zone = |daemon, begins| daemon % ZONES == begins % ZONES;
        let share = known_share(seed, of_zone, false);
        assert!(share > 0.9, "{share} after the zone was lost, seed {seed}");
    }
}

/// Guards against streams that nobody knows after many daemons were killed at once.
#[test]
fn most_streams_are_known_after_half_of_all_daemons_were_killed() {
    for seed in 1..=5 {
        let drawn: Vec<bool> = {
            let mut random = StdRng::seed_from_u64(seed + 100);
            (0..DAEMONS).map(|_| random.random_bool(0.5)).collect()
        };
        let is_lost = |daemon: u64, _| drawn[daemon as usize];
        let share = known_share(seed, is_lost, true);
        assert!(share > 0.85, "{share} known, seed {seed}");
    }
}

/// Guards against a zone that is cut off and can't go on with the streams it begins.
#[test]
fn a_zone_that_is_cut_off_knows_its_own_streams() {
    for number in 0..STREAMS {
        let begins = number % DAEMONS;
        let asks = (begins + ZONES) % DAEMONS;
        let of_zone = |it: u64| it % ZONES == begins % ZONES;
        if asks % ZONES != begins % ZONES {
            continue;
        }
        let told = keepers_of(begins, stream(number), KeeperCounts::TOLD, of_zone);
        let asked = keepers_of(asks, stream(number), KeeperCounts::ASKED, |it| {
            of_zone(it) && it != begins
        });
        assert!(asked.iter().any(|it| told.contains(it)) || told.contains(&peer(asks)));
    }
}

/// Guards against a table that grows with all streams that ever began, or forgets one that
/// may still be taken up.
#[test]
fn origins_are_kept_for_their_lifetimes() {
    let mut table = OriginTable::default();
    let lifetime = Duration::from_secs(10);
    let software = SoftwareKey::of("drafts", "v1");
    let at = |millis| Timestamp::from_micros(millis * 1_000);
    for number in 0..100_000 {
        let origin = StreamOrigin {
            stream: stream(number),
            software,
            lifetime,
        };
        table.record(origin, at(number));
    }
    assert_eq!(table.find(stream(99_999), at(100_000)), Some(software));
    assert_eq!(table.find(stream(95_000), at(100_000)), Some(software));
    assert_eq!(table.find(stream(80_000), at(100_000)), None);
    assert!(table.len() <= 10_001, "{} are kept", table.len());
}

/// Guards against two customers with the same id of a request, or two services with the same
/// name of a version, that are taken for one.
#[test]
fn keys_name_the_customer_and_the_service() {
    assert_ne!(StreamKey::of("press", "1"), StreamKey::of("studio", "1"));
    assert_ne!(
        SoftwareKey::of("drafts", "v1"),
        SoftwareKey::of("proofs", "v1")
    );
}
