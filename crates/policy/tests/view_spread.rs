//! Simulates how a change reaches the daemons of a zone in which one daemon watches the
//! store.

use std::time::Duration;

use comfreyramp_policy::{PausedSources, SendBudget, Timestamp, ViewLag};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::IndexedRandom};

const DAEMONS: usize = 30;
/// The capacity of a small VM's connection.
const LINK_BYTES_PER_S: f64 = 30e6 / 8.0;
/// How long a query waits for its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(800);
/// The interval at which a daemon checks whether others are ahead.
const CHECK_INTERVAL: Duration = Duration::from_millis(300);
/// The maximum delay after which other daemons know of a daemon's view.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(750);
const STEP: Duration = Duration::from_millis(5);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

/// An answer in transit.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    source: usize,
    left: f64,
    until: Timestamp,
}

#[derive(Debug)]
struct ZoneDaemon {
    budget: SendBudget,
    skipped: PausedSources<usize>,
    has_view_since: Option<Timestamp>,
    /// The time from which other daemons know that it has the view.
    published_at: Timestamp,
    next_check: Timestamp,
    transfer: Option<Transfer>,
}

/// A zone in which daemon 0 has a new view of `bytes`, and the others request it.
struct Zone {
    daemons: Vec<ZoneDaemon>,
    bytes: usize,
    random: StdRng,
    /// Daemons that accept a query and never answer.
    hung: Vec<usize>,
    unanswered: usize,
}

impl Zone {
    fn new(bytes: usize, seed: u64) -> Zone {
        let mut random = StdRng::seed_from_u64(seed);
        let mut daemons = Vec::new();
        for number in 0..DAEMONS {
            daemons.push(ZoneDaemon {
                budget: SendBudget::default(),
                skipped: PausedSources::default(),
                has_view_since: (number == 0).then_some(Timestamp::ZERO),
                published_at: Timestamp::ZERO,
                next_check: at(random.random_range(0..300)),
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
        let has_none = |it: &&ZoneDaemon| it.has_view_since.is_none();
        self.daemons.iter().filter(has_none).count()
    }

    /// Runs until all daemons have the view, and returns how long that took.
    fn run_until_complete(&mut self, limit: Duration) -> Option<Duration> {
        let mut now = Timestamp::ZERO;
        while now.since(Timestamp::ZERO) < limit {
            now = now + STEP;
            self.send(now);
            for number in 1..DAEMONS {
                self.check_sources(number, now);
            }
            if self.missing() == 0 {
                return Some(now.since(Timestamp::ZERO));
            }
        }
        None
    }

    /// Shares the connection of each source evenly between its answers.
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
                let delay = MAX_REPORT_DELAY.mul_f64(self.random.random_range(0.0..1.0));
                let daemon = &mut self.daemons[number];
                daemon.transfer = None;
                daemon.has_view_since = Some(now);
                daemon.published_at = now + delay;
            } else if now >= transfer.until {
                let daemon = &mut self.daemons[number];
                daemon.transfer = None;
                daemon.skipped.note_silent(transfer.source, now);
                daemon.next_check = now;
                self.unanswered += 1;
            }
        }
    }

    fn check_sources(&mut self, number: usize, now: Timestamp) {
        let daemon = &self.daemons[number];
        let is_waiting = daemon.transfer.is_some() || daemon.next_check > now;
        if daemon.has_view_since.is_some() || is_waiting {
            return;
        }
        let sources: Vec<usize> = (0..DAEMONS)
            .filter(|it| self.daemons[*it].has_view_since.is_some())
            .filter(|it| self.daemons[*it].published_at <= now)
            .filter(|it| !daemon.skipped.is_paused(*it, now))
            .collect();
        self.daemons[number].next_check = now + CHECK_INTERVAL;
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
        daemon.skipped.note_busy(source, now, random);
        daemon.next_check = now + Duration::from_millis(random.random_range(50..150));
    }
}

/// An operator adds thousands of routes, and all daemons of a zone request the settings
/// from the one that watches the store, over a connection of 30 Mbit/s. If the settings
/// were sent to all of them at once, they would arrive at none before its timeout, and
/// all would retry together: the zone would refuse callers of the new routes, and
/// accept withdrawn keys, indefinitely.
#[test]
fn large_settings_reach_a_whole_zone_within_two_seconds_and_a_half() {
    for seed in 1..=40 {
        let mut zone = Zone::new(700_000, seed);
        let duration = zone.run_until_complete(Duration::from_secs(30));
        let left = zone.missing();
        assert!(
            duration.is_some_and(|it| it < Duration::from_millis(2_500)),
            "seed {seed}: took {duration:?}, {left} daemons without the view"
        );
        assert_eq!(zone.unanswered, 0, "seed {seed}: queries without an answer");
    }
}

/// The longest view that the store's values allow still reaches all daemons.
#[test]
fn the_longest_settings_reach_a_whole_zone() {
    for seed in 1..=40 {
        let mut zone = Zone::new(1_400_000, seed);
        let duration = zone.run_until_complete(Duration::from_secs(30));
        assert!(
            duration.is_some_and(|it| it < Duration::from_millis(5_000)),
            "seed {seed}: {duration:?}"
        );
    }
}

/// The daemon that watches reports that it is ahead but answers no queries, because its
/// process hangs. The others fail over to daemons that have the view.
#[test]
fn a_source_that_never_answers_is_skipped() {
    for seed in 1..=40 {
        let mut zone = Zone::new(60_000, seed);
        zone.daemons[1].has_view_since = Some(Timestamp::ZERO);
        zone.hung.push(0);
        let duration = zone.run_until_complete(Duration::from_secs(30));
        assert!(
            duration.is_some_and(|it| it < Duration::from_millis(2_500)),
            "seed {seed}: {duration:?}"
        );
    }
}

/// All daemons that could send a change are lost, or cut off from this zone. After a
/// delay one daemon queries the store in their place, and the others get the change
/// from it; if that fails too, all have queried the store after six seconds. Each
/// queries it once.
#[test]
fn more_daemons_stand_in_the_longer_a_change_is_missing() {
    let mut lag = ViewLag::default();
    lag.note(10, 10, at(0));
    assert_eq!(lag.substitutes(at(60_000)), 0, "nothing is missing");
    lag.note(10, 15, at(60_000));
    assert_eq!(lag.substitutes(at(61_100)), 0);
    assert_eq!(lag.substitutes(at(61_300)), 1);
    assert_eq!(lag.substitutes(at(62_500)), 3);
    assert!(lag.substitutes(at(66_100)) >= DAEMONS);
    lag.note(15, 15, at(66_200));
    assert_eq!(lag.substitutes(at(70_000)), 0, "the change has arrived");
}

/// Daemons join and leave several times a second, and each change arrives half a second
/// after other daemons apply it. No daemon has to query the store, though a newer
/// change is missing at any time.
#[test]
fn changes_that_keep_arriving_need_nobody_to_stand_in() {
    let mut lag = ViewLag::default();
    for change in 0..100 {
        let now = at(1_000 + change * 200);
        lag.note(change as i64 - 3, change as i64, now);
        assert_eq!(lag.substitutes(now), 0, "change {change}");
    }
}
