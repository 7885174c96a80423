//! A burst of lots replayed on virtual time: for a few seconds six times the
//! usual number of lots come in, then live requests take half of the slots, and it
//! takes a minute to work off what has gathered.

use std::{cmp::Reverse, collections::VecDeque, time::Duration};

use comfreyramp_policy::lots::{HeldSize, ItemTimes, RunPace, StartRank};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// What live requests leave on average of twelve servers with eight slots.
const SLOTS: usize = 44;
const STEP: Duration = Duration::from_millis(50);
const DAY: Duration = Duration::from_secs(100);
/// Lots of ten items; what comes in usually takes four fifths of the slots.
const LOTS_PER_SEC: f64 = 0.686;
const LOT_ITEMS: usize = 10;
const BURST: std::ops::Range<f64> = 10.0..13.0;
const BURST_TIMES: f64 = 6.0;
/// Live requests take half of that for some seconds.
const BUSY: std::ops::Range<f64> = 14.0..24.0;
const DUE_SPAN: Duration = Duration::from_secs(18);
const GIVEN_UP_SPAN: Duration = Duration::from_secs(60);
const MEAN_RUN: f64 = 5.1;

#[derive(Clone, Copy)]
struct Waiting {
    arrived: Duration,
    run: Duration,
}

impl Waiting {
    fn times(&self, now: Duration) -> ItemTimes {
        ItemTimes {
            due_in: (self.arrived + DUE_SPAN).saturating_sub(now),
            given_up_in: (self.arrived + GIVEN_UP_SPAN).saturating_sub(now),
            needs: Duration::from_secs_f64(MEAN_RUN),
        }
    }
}

#[derive(Debug, Default)]
struct Tally {
    handed_in: usize,
    on_time: usize,
    given_up: usize,
}

/// Replays a day in which items start in the order of a key, the least first.
fn replay<K: Ord>(seed: u64, key: impl Fn(&Waiting, Duration) -> K) -> Tally {
    let mut random = StdRng::seed_from_u64(seed);
    let mut waiting: Vec<Waiting> = Vec::new();
    // When each run ends, and when its item is due.
    let mut running: Vec<(Duration, Duration)> = Vec::new();
    let mut tally = Tally::default();
    let mut now = Duration::ZERO;
    while now < DAY {
        now += STEP;
        let is_burst = BURST.contains(&now.as_secs_f64());
        let times = if is_burst { BURST_TIMES } else { 1.0 };
        if random.random_bool(LOTS_PER_SEC * times * STEP.as_secs_f64()) {
            for _ in 0..LOT_ITEMS {
                let run = MEAN_RUN * random.random_range(0.6..1.4);
                waiting.push(Waiting {
                    arrived: now,
                    run: Duration::from_secs_f64(run),
                });
            }
            tally.handed_in += LOT_ITEMS;
        }
        let ended = running.extract_if(.., |it| it.0 <= now);
        tally.on_time += ended.filter(|it| it.0 <= it.1).count();
        let before = waiting.len();
        waiting.retain(|it| it.arrived + GIVEN_UP_SPAN > now);
        tally.given_up += before - waiting.len();
        waiting.sort_by_key(|it| Reverse(key(it, now)));
        let is_busy = BUSY.contains(&now.as_secs_f64());
        let slots = if is_busy { SLOTS / 2 } else { SLOTS };
        while running.len() < slots {
            let Some(item) = waiting.pop() else {
                break;
            };
            running.push((now + item.run, item.arrived + DUE_SPAN));
        }
    }
    tally
}

/// After a burst the oldest items have just missed their due time. Were they to
/// run first, whoever hands in a lot for the next minute would get it late too,
/// though there are slots enough for it. By rank a tenth more items are on time.
#[test]
fn a_burst_of_lots_does_not_make_later_ones_late() {
    let (mut ranked, mut by_due, mut all) = (0, 0, 0);
    for seed in 1..=5 {
        let tally = replay(seed, |it, now| StartRank::of(it.times(now)));
        assert_eq!(tally.given_up, 0, "seed {seed}: {tally:?}");
        let plain = replay(seed, |it, _| it.arrived);
        ranked += tally.on_time;
        by_due += plain.on_time;
        all += tally.handed_in;
    }
    eprintln!("on time: {ranked} by rank, {by_due} by due time, of {all}");
    assert!(
        ranked as f64 >= by_due as f64 * 1.1,
        "{ranked} by rank, {by_due} by due time, of {all}"
    );
}

/// A flood: for some seconds fifteen times as many lots come in as there are slots for,
/// and a daemon ranks the items of those that it holds. Returns how many are on time.
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
    while now < DAY {
        now += STEP;
        let is_flood = now.as_secs_f64() < FLOOD_SECS;
        if is_flood && random.random_bool(0.3) {
            unclaimed.push_back(now);
        }
        held.retain(|it| it.1.arrived + GIVEN_UP_SPAN > now);
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
            let Some((place, _)) = next else {
                break;
            };
            let (_, item) = held.remove(place);
            running.push((now + item.run, item.arrived + DUE_SPAN));
        }
    }
    on_time
}

/// A flood of lots fills a daemon with lots that are late, and those that could be on
/// time aren't looked at until they are late as well.
#[test]
fn lots_that_are_late_leave_room_for_others() {
    let all = |has_room: fn(HeldSize) -> bool| (1..=3).map(|it| flood(it, has_room)).sum::<usize>();
    let (few, held) = (all(|it| it.lots < 24), all(HeldSize::has_room));
    eprintln!("on time: {held}, {few} with room for 24 lots");
    assert!(held * 10 >= few * 13, "{held} and {few} on time");
}

/// The estimate of how long an item takes comes from runs that were broken off
/// as well as from whole ones.
#[test]
fn what_an_item_has_made_already_is_no_longer_needed() {
    let mut pace = RunPace::default();
    assert_eq!(pace.rest(0), Duration::ZERO, "nothing was measured yet");
    pace.note_run(Duration::from_secs(2), 50);
    pace.note_whole(150);
    assert_eq!(pace.rest(0), Duration::from_secs(6));
    assert_eq!(pace.rest(100), Duration::from_secs(2));
    assert_eq!(pace.rest(200), Duration::ZERO);
}
