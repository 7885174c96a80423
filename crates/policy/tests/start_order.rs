//! Simulates a burst of lots on virtual time: for a few seconds lots arrive at six
//! times the typical rate, then live requests take half of the slots, and it takes a
//! minute to process the backlog.

use std::{cmp::Reverse, collections::VecDeque, time::Duration};

use comfreyramp_policy::lots::{HeldSize, ItemTimes, RunTimeEstimate, StartRank};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The slots that live requests leave on average of twelve servers with eight slots.
const SLOTS: usize = 44;
const STEP: Duration = Duration::from_millis(50);
const RUN_DURATION: Duration = Duration::from_secs(100);
/// Lots of ten items, which typically use four fifths of the slots.
const LOTS_PER_SEC: f64 = 0.686;
const LOT_ITEMS: usize = 10;
const BURST: std::ops::Range<f64> = 10.0..13.0;
const BURST_FACTOR: f64 = 6.0;
/// When live requests take half of the slots.
const BUSY: std::ops::Range<f64> = 14.0..24.0;
const DUE_DELAY: Duration = Duration::from_secs(18);
const GIVE_UP_DELAY: Duration = Duration::from_secs(60);
const MEAN_RUN: f64 = 5.1;

#[derive(Clone, Copy)]
struct Waiting {
    arrived: Duration,
    run: Duration,
}

impl Waiting {
    fn times(&self, now: Duration) -> ItemTimes {
        ItemTimes {
            due_in: (self.arrived + DUE_DELAY).saturating_sub(now),
            given_up_in: (self.arrived + GIVE_UP_DELAY).saturating_sub(now),
            needs: Duration::from_secs_f64(MEAN_RUN),
        }
    }
}

#[derive(Debug, Default)]
struct Tally {
    submitted: usize,
    on_time: usize,
    given_up: usize,
}

/// Simulates a run in which items start in the order of a key, the lowest first.
fn replay<K: Ord>(seed: u64, key: impl Fn(&Waiting, Duration) -> K) -> Tally {
    let mut random = StdRng::seed_from_u64(seed);
    let mut waiting: Vec<Waiting> = Vec::new();
    // The end time of each run, and the due time of its item.
    let mut running: Vec<(Duration, Duration)> = Vec::new();
    let mut tally = Tally::default();
    let mut now = Duration::ZERO;
    while now < RUN_DURATION {
        now += STEP;
        let is_burst = BURST.contains(&now.as_secs_f64());
        let factor = if is_burst { BURST_FACTOR } else { 1.0 };
        if random.random_bool(LOTS_PER_SEC * factor * STEP.as_secs_f64()) {
            for _ in 0..LOT_ITEMS {
                let run = MEAN_RUN * random.random_range(0.6..1.4);
                waiting.push(Waiting {
                    arrived: now,
                    run: Duration::from_secs_f64(run),
                });
            }
            tally.submitted += LOT_ITEMS;
        }
        let ended = running.extract_if(.., |it| it.0 <= now);
        tally.on_time += ended.filter(|it| it.0 <= it.1).count();
        let before = waiting.len();
        waiting.retain(|it| it.arrived + GIVE_UP_DELAY > now);
        tally.given_up += before - waiting.len();
        waiting.sort_by_key(|it| Reverse(key(it, now)));
        let is_busy = BUSY.contains(&now.as_secs_f64());
        let slots = if is_busy { SLOTS / 2 } else { SLOTS };
        while running.len() < slots {
            let Some(item) = waiting.pop() else {
                break;
            };
            running.push((now + item.run, item.arrived + DUE_DELAY));
        }
    }
    tally
}

/// After a burst the oldest items have just missed their due time. If they ran first,
/// lots that are submitted in the next minute would be late too, though there are
/// enough slots for them. With ranked starts a tenth more items are on time.
#[test]
fn a_burst_of_lots_does_not_make_later_ones_late() {
    let (mut ranked, mut by_due, mut all) = (0, 0, 0);
    for seed in 1..=5 {
        let tally = replay(seed, |it, now| StartRank::of(it.times(now)));
        assert_eq!(tally.given_up, 0, "seed {seed}: {tally:?}");
        let unranked = replay(seed, |it, _| it.arrived);
        ranked += tally.on_time;
        by_due += unranked.on_time;
        all += tally.submitted;
    }
    eprintln!("on time: {ranked} by rank, {by_due} by due time, of {all}");
    assert!(
        ranked as f64 >= by_due as f64 * 1.1,
        "{ranked} by rank, {by_due} by due time, of {all}"
    );
}

/// Simulates a flood: for some seconds fifteen times as many lots arrive as there are
/// slots for, and a daemon ranks only the items of lots that it holds. Returns the
/// number of items on time.
fn flood(seed: u64, has_room: impl Fn(HeldSize) -> bool) -> usize {
    const FLOOD_SECS: f64 = 14.0;
    const DAEMON_SLOTS: usize = SLOTS / 3;
    let mut random = StdRng::seed_from_u64(seed);
    // Lots that wait for a claim, and the items that are held, each with its lot.
    let mut unclaimed: VecDeque<Duration> = VecDeque::new();
    let mut held: Vec<(usize, Waiting)> = Vec::new();
    let mut running: Vec<(Duration, Duration)> = Vec::new();
    let (mut lots, mut on_time) = (0, 0);
    let mut now = Duration::ZERO;
    while now < RUN_DURATION {
        now += STEP;
        let is_flood = now.as_secs_f64() < FLOOD_SECS;
        if is_flood && random.random_bool(0.3) {
            unclaimed.push_back(now);
        }
        held.retain(|it| it.1.arrived + GIVE_UP_DELAY > now);
        while let Some(&arrived) = unclaimed.front() {
            let lots_held = held.chunk_by(|left, right| left.0 == right.0).count();
            let size = HeldSize {
                lots: lots_held,
                bytes: 0,
            };
            if !has_room(size) {
                break;
            }
            unclaimed.pop_front();
            lots += 1;
            let run = Duration::from_secs_f64(MEAN_RUN);
            held.extend((0..LOT_ITEMS).map(|_| (lots, Waiting { arrived, run })));
        }
        on_time += running
            .extract_if(.., |it| it.0 <= now)
            .filter(|it| it.0 <= it.1)
            .count();
        while running.len() < DAEMON_SLOTS {
            let next = held
                .iter()
                .enumerate()
                .min_by_key(|it| StartRank::of(it.1.1.times(now)));
            let Some((index, _)) = next else {
                break;
            };
            let (_, item) = held.remove(index);
            running.push((now + item.run, item.arrived + DUE_DELAY));
        }
    }
    on_time
}

/// A flood fills a daemon with lots that are late, and lots that could be on time
/// aren't claimed until they are late as well.
#[test]
fn late_lots_leave_capacity_for_others() {
    let all = |has_room: fn(HeldSize) -> bool| (1..=3).map(|it| flood(it, has_room)).sum::<usize>();
    let (few, held) = (all(|it| it.lots < 24), all(HeldSize::has_capacity));
    eprintln!("on time: {held}, {few} with capacity for 24 lots");
    assert!(held * 10 >= few * 13, "{held} and {few} on time");
}

/// The estimate of how long an item takes is based on interrupted runs as well as
/// complete ones.
#[test]
fn generated_tokens_reduce_the_remaining_time() {
    let mut run_times = RunTimeEstimate::default();
    assert_eq!(
        run_times.remaining(0),
        Duration::ZERO,
        "nothing was measured yet"
    );
    run_times.record_run(Duration::from_secs(2), 50);
    run_times.record_item_events(150);
    assert_eq!(run_times.remaining(0), Duration::from_secs(6));
    assert_eq!(run_times.remaining(100), Duration::from_secs(2));
    assert_eq!(run_times.remaining(200), Duration::ZERO);
}
