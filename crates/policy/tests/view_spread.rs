//! How a change reaches the daemons of a zone of which one watches the store.

use std::time::Duration;

use comfreyramp_policy::{PassedSources, ShowBudget, Timestamp, ViewLag};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

const DAEMONS: usize = 30;
/// What a small VM's connection carries.
const LINK_BYTES_PER_S: f64 = 30e6 / 8.0;
/// How long an ask waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// How often a daemon looks whether others are ahead.
const LOOK_INTERVAL: Duration = Duration::from_millis(300);
/// A daemon far away hears of a change after up to so long.
const HEARD_AFTER: Duration = Duration::from_millis(750);
const STEP: Duration = Duration::from_millis(5);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// An answer on its way.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    source: usize,
    left: f64,
    until: Timestamp,
}

#[derive(Debug)]
struct Spreader {
    budget: ShowBudget,
    passed: PassedSources<usize>,
    has_view_since: Option<Timestamp>,
    /// Since when others can know of its view.
    shown_from: Timestamp,
    next_look: Timestamp,
    transfer: Option<Transfer>,
}

/// A zone in which daemon 0 has a new view of `bytes`, and the others ask for it.
struct Zone {
    daemons: Vec<Spreader>,
    bytes: usize,
    random: StdRng,
    /// Daemons that take a question and never answer.
    hung: Vec<usize>,
    unanswered: usize,
}

impl Zone {
    fn new(bytes: usize, seed: u64) -> Zone {
        let mut random = StdRng::seed_from_u64(seed);
        let mut daemons = Vec::new();
        for number in 0..DAEMONS {
            daemons.push(Spreader {
                budget: ShowBudget::default(),
                passed: PassedSources::default(),
                has_view_since: (number == 0).then_some(Timestamp::ZERO),
                shown_from: Timestamp::ZERO,
                next_look: at(random.random_range(0..300)),
                transfer: None,
            });
        }
        Zone {
            daemons,
            bytes,
            random,
            hung: Vec::new(),
            unanswered: 0,
        }
    }

    fn missing(&self) -> usize {
        let has_none = |it: &&Spreader| it.has_view_since.is_none();
        self.daemons.iter().filter(has_none).count()
    }

    /// Runs until all have the view, and returns how long that took.
    fn spread(&mut self, limit: Duration) -> Option<Duration> {
        let mut now = Timestamp::ZERO;
        while now.since(Timestamp::ZERO) < limit {
            now = now + STEP;
            self.send(now);
            for number in 1..DAEMONS {
                self.look(number, now);
            }
            if self.missing() == 0 {
                return Some(now.since(Timestamp::ZERO));
            }
        }
        None
    }

    /// Each source's connection is shared evenly by its answers.
    fn send(&mut self, now: Timestamp) {
        let mut sharing = vec![0_usize; DAEMONS];
        for transfer in self.daemons.iter().filter_map(|it| it.transfer) {
            sharing[transfer.source] += 1;
        }
        for number in 0..DAEMONS {
            let Some(mut transfer) = self.daemons[number].transfer else {
                continue;
            };
            let is_hung = self.hung.contains(&transfer.source);
            let share = LINK_BYTES_PER_S * STEP.as_secs_f64() / sharing[transfer.source] as f64;
            transfer.left -= if is_hung { 0.0 } else { share };
            self.daemons[number].transfer = Some(transfer);
            if transfer.left <= 0.0 {
                let heard = HEARD_AFTER.mul_f64(self.random.random_range(0.0..1.0));
                let daemon = &mut self.daemons[number];
                daemon.transfer = None;
                daemon.has_view_since = Some(now);
                daemon.shown_from = now + heard;
            } else if now >= transfer.until {
                let daemon = &mut self.daemons[number];
                daemon.transfer = None;
                daemon.passed.note_silent(transfer.source, now);
                daemon.next_look = now;
                self.unanswered += 1;
            }
        }
    }

    fn look(&mut self, number: usize, now: Timestamp) {
        let daemon = &self.daemons[number];
        let is_waiting = daemon.transfer.is_some() || daemon.next_look > now;
        if daemon.has_view_since.is_some() || is_waiting {
            return;
        }
        let sources: Vec<usize> = (0..DAEMONS)
            .filter(|it| self.daemons[*it].has_view_since.is_some())
            .filter(|it| self.daemons[*it].shown_from <= now)
            .filter(|it| !daemon.passed.is_passed(*it, now))
            .collect();
        self.daemons[number].next_look = now + LOOK_INTERVAL;
        let Some(&source) = sources.choose(&mut self.random) else {
            return;
        };
        if self.daemons[source].budget.admits(self.bytes, now) {
            self.daemons[number].transfer = Some(Transfer {
                source,
                left: self.bytes as f64,
                until: now + ANSWER_TIMEOUT,
            });
            return;
        }
        let random = &mut self.random;
        let daemon = &mut self.daemons[number];
        daemon.passed.note_busy(source, now, random);
        daemon.next_look = now + Duration::from_millis(random.random_range(50..150));
    }
}

/// An operator adds thousands of routes, and all daemons of a zone ask the one that
/// watches the store, over a connection of 30 Mbit/s. Shown to all of them at once, the
/// settings arrive at none before it gives up, and all ask again together: the zone
/// refuses callers of the new routes, and lets in withdrawn keys, until nothing is left
/// to ask for.
#[test]
fn large_settings_reach_a_whole_zone_within_two_seconds_and_a_half() {
    for seed in 1..=40 {
        let mut zone = Zone::new(700_000, seed);
        let took = zone.spread(Duration::from_secs(30));
        let left = zone.missing();
        assert!(
            took.is_some_and(|it| it < Duration::from_millis(2_500)),
            "seed {seed}: took {took:?}, {left} never"
        );
        assert_eq!(zone.unanswered, 0, "seed {seed}: asks without an answer");
    }
}

/// A view as long as the store's values may be still gets through.
#[test]
fn the_longest_settings_reach_a_whole_zone() {
    for seed in 1..=40 {
        let mut zone = Zone::new(1_400_000, seed);
        let took = zone.spread(Duration::from_secs(30));
        assert!(
            took.is_some_and(|it| it < Duration::from_millis(5_000)),
            "seed {seed}: {took:?}"
        );
    }
}

/// The daemon that watches is heard and says that it is ahead, but answers nothing:
/// its process hangs. Those who asked it go to others that have the view.
#[test]
fn a_source_that_never_answers_is_passed_over() {
    for seed in 1..=40 {
        let mut zone = Zone::new(60_000, seed);
        zone.daemons[1].has_view_since = Some(Timestamp::ZERO);
        zone.hung.push(0);
        let took = zone.spread(Duration::from_secs(30));
        assert!(
            took.is_some_and(|it| it < Duration::from_millis(2_500)),
            "seed {seed}: {took:?}"
        );
    }
}

/// All who could show a change are lost, or cut off from this zone. After a step one
/// daemon asks the store in their place, and the others learn from it; were that to
/// fail too, all have asked after six seconds. Each asks once.
#[test]
fn more_daemons_stand_in_the_longer_a_change_is_missing() {
    let mut lag = ViewLag::default();
    lag.note(10, 10, at(0));
    assert_eq!(lag.stand_ins(at(60_000)), 0, "nothing is missing");
    lag.note(10, 15, at(60_000));
    assert_eq!(lag.stand_ins(at(61_100)), 0);
    assert_eq!(lag.stand_ins(at(61_300)), 1);
    assert_eq!(lag.stand_ins(at(62_500)), 3);
    assert!(lag.stand_ins(at(66_100)) >= DAEMONS);
    lag.note(15, 15, at(66_200));
    assert_eq!(lag.stand_ins(at(70_000)), 0, "it has arrived");
}

/// Daemons come and go several times a second, and each change arrives half a second
/// after others act by it. Nobody has to stand in, though something newer is missing
/// at any moment.
#[test]
fn changes_that_keep_arriving_need_nobody_to_stand_in() {
    let mut lag = ViewLag::default();
    for change in 0..100 {
        let now = at(1_000 + change * 200);
        lag.note(change as i64 - 3, change as i64, now);
        assert_eq!(lag.stand_ins(now), 0, "change {change}");
    }
}
