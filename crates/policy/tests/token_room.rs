//! Which servers have memory left for the tokens of a request.

use std::time::Duration;

use comfreyramp_policy::{
    ServerId, Timestamp, name_hash,
    placement::{
        LoadShare, PlacementQuery, PlacementTable, ServerListing, ServerOutcomeKind, TokenRoom,
        WorkKind,
    },
    usage::PeerId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const NOW: Timestamp = Timestamp::from_micros(10_000_000);
const LIMIT: u32 = 72_000;
const SERVICE: &str = "drafts";
const FIRST: ServerId = ServerId(0);
const SECOND: ServerId = ServerId(1);

fn listing(name: String, slots: u32) -> ServerListing {
    ServerListing {
        address: format!("{name}:80"),
        name,
        service: SERVICE.to_owned(),
        zone: "a".to_owned(),
        slots,
        is_ready: true,
        version: "v1".to_owned(),
        incarnation: 1,
        cold_left: Some(Duration::ZERO),
        revision: 1,
    }
}

fn table(peer: u64, servers: usize) -> PlacementTable {
    let mut table = PlacementTable::new(PeerId(peer));
    let listings: Vec<ServerListing> = (0..servers)
        .map(|it| listing(format!("engine-{it}"), 8))
        .collect();
    table.set_listings(&listings, NOW);
    table
}

fn room() -> TokenRoom {
    let mut room = TokenRoom::default();
    room.set_limits([(SERVICE.to_owned(), LIMIT)]);
    room
}

fn query(exclude: &[ServerId]) -> PlacementQuery<'_> {
    PlacementQuery {
        service: SERVICE,
        zone: "a",
        exclude,
        max_wait: Duration::from_millis(200),
        software: None,
        parts: &[],
    }
}

/// Guards against two large requests of one daemon on an engine that has memory for one.
#[test]
fn own_requests_are_counted_exactly() {
    let table = table(1, 2);
    let mut room = room();
    let counted = room.begin(FIRST, SERVICE, Some(40_000));
    let excluded = room.servers_without_room(&query(&[]), Some(32_001), &table, NOW);
    assert_eq!(excluded, [FIRST]);
    let excluded = room.servers_without_room(&query(&[]), Some(32_000), &table, NOW);
    assert_eq!(excluded, []);
    room.end(FIRST, counted);
    assert_eq!(room.used(FIRST, &table, NOW), 0);
}

/// Guards against engines that other daemons have filled, of which only counts are known.
#[test]
fn requests_of_others_have_the_mean_tokens() {
    let mut table = table(1, 2);
    let mut room = room();
    let counted = room.begin(SECOND, SERVICE, Some(10_000));
    let share = LoadShare { live: 5, bulk: 1 };
    table.receive(PeerId(2), &[(name_hash("engine-0"), share)], NOW);
    assert_eq!(room.used(FIRST, &table, NOW), 60_000);
    let excluded = room.servers_without_room(&query(&[]), Some(12_001), &table, NOW);
    assert_eq!(excluded, [FIRST]);
    room.end(SECOND, counted);
}

/// Guards against a request that is refused, or waits forever, because it fits nowhere.
#[test]
fn a_request_that_fits_nowhere_goes_where_the_fewest_tokens_are() {
    let table = table(1, 2);
    let mut room = room();
    room.begin(FIRST, SERVICE, Some(40_000));
    let excluded = room.servers_without_room(&query(&[]), Some(80_000), &table, NOW);
    assert_eq!(excluded, [FIRST]);
    // The other one was tried already.
    let excluded = room.servers_without_room(&query(&[SECOND]), Some(80_000), &table, NOW);
    assert_eq!(excluded, []);
}

/// Guards against a choice that prefers a failed server, which has no tokens, to sound ones
/// without memory for the request.
#[test]
fn an_avoided_server_does_not_count_as_one_with_room() {
    let mut table = table(1, 2);
    let mut room = room();
    room.begin(FIRST, SERVICE, Some(40_000));
    for _ in 0..2 {
        table.note(SECOND, ServerOutcomeKind::Unreachable, NOW);
    }
    let excluded = room.servers_without_room(&query(&[]), Some(60_000), &table, NOW);
    assert_eq!(excluded, []);
}

/// Guards against a change for services whose memory isn't stated.
#[test]
fn services_without_a_stated_memory_are_not_counted() {
    let table = table(1, 2);
    let mut room = TokenRoom::default();
    assert_eq!(room.begin(FIRST, SERVICE, Some(500_000)), 0);
    let excluded = room.servers_without_room(&query(&[]), Some(500_000), &table, NOW);
    assert_eq!(excluded, []);
}

/// A request on a server.
struct Running {
    daemon: usize,
    server: ServerId,
    tokens: u64,
    counted: u64,
    ends_at: Timestamp,
}

/// Replays 20 s of load on 14 engines of 72,000 tokens and 8 slots by 3 daemons that report
/// their counts every 250 ms. One request in five has a prompt part of 13,300 to 39,900
/// tokens. Returns the started requests and how many of them exceeded an engine's memory.
fn replay(seed: u64, uses_room: bool) -> (usize, usize) {
    const ENGINES: usize = 14;
    let mut random = StdRng::seed_from_u64(seed);
    let mut daemons: Vec<(PlacementTable, TokenRoom)> =
        (0..3).map(|it| (table(it + 1, ENGINES), room())).collect();
    let mut running: Vec<Running> = Vec::new();
    let (mut started, mut exceeded) = (0, 0);
    for step in 0..4_000_u64 {
        let now = NOW + Duration::from_millis(step * 5);
        let (ended, left) = running.into_iter().partition(|it| it.ends_at <= now);
        running = left;
        for request in ended {
            let (table, room) = &mut daemons[request.daemon];
            table.end(request.server, WorkKind::Live);
            room.end(request.server, request.counted);
        }
        if step % 50 == 0 {
            let shares: Vec<_> = daemons.iter().map(|it| it.0.own_shares()).collect();
            for (daemon, (table, _)) in daemons.iter_mut().enumerate() {
                for (peer, shares) in shares.iter().enumerate().filter(|it| it.0 != daemon) {
                    table.receive(PeerId(peer as u64 + 1), shares, now);
                }
            }
        }
        if random.random_range(0.0..1.0) >= 0.25 {
            continue;
        }
        let daemon = random.random_range(0..3);
        let tokens: u64 = match random.random_range(0..5) {
            0 => 13_300 * random.random_range(1..=3),
            _ => random.random_range(500..4_000),
        };
        let (table, room) = &mut daemons[daemon];
        let exclude = match uses_room {
            true => room.servers_without_room(&query(&[]), Some(tokens), table, now),
            false => Vec::new(),
        };
        let Ok(placement) = table.choose_live(query(&exclude), now, &mut random) else {
            continue;
        };
        let server = placement.server;
        table.begin(server, WorkKind::Live, now);
        let counted = room.begin(server, SERVICE, Some(tokens));
        let there = running.iter().filter(|it| it.server == server);
        let total = there.map(|it| it.tokens).sum::<u64>() + tokens;
        started += 1;
        exceeded += usize::from(total > u64::from(LIMIT));
        running.push(Running {
            daemon,
            server,
            tokens,
            counted,
            ends_at: now + Duration::from_millis(900),
        });
    }
    (started, exceeded)
}

/// Guards against engines that crash because the large requests of several daemons meet
/// there, although others have room.
#[test]
fn fewer_requests_exceed_an_engines_memory() {
    let sum = |uses_room| {
        (1..=16)
            .map(|seed| replay(seed, uses_room))
            .fold((0, 0), |sum, it| (sum.0 + it.0, sum.1 + it.1))
    };
    let (without, with) = (sum(false), sum(true));
    println!("started and exceeding: {without:?} without, {with:?} with");
    assert!(
        with.1 * 10 <= without.1 * 9,
        "{without:?} without, {with:?} with"
    );
    assert!(
        with.0 * 100 >= without.0 * 99,
        "{without:?} without, {with:?} with"
    );
}
