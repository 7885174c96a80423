//! Daemons that watch a store which falls silent while its keys change often.

use std::time::Duration;

use comfreyramp_policy::{StoreContact, Timestamp};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// How long a watch waits for a change, and for its answer.
const WATCH_TIMEOUT: Duration = Duration::from_millis(18_500);
/// The pause after a change before the next one is asked for.
const GATHER_SPAN: Duration = Duration::from_millis(400);
/// What one daemon knows the others know after so long.
const TOLD_AFTER: Duration = Duration::from_millis(900);
/// Within this span a change is in force, counted from when the store answers.
const IN_FORCE: Duration = Duration::from_secs(2);
const STEP: Duration = Duration::from_millis(10);
const DAY: Duration = Duration::from_secs(60);

/// A store that answers at once or, for some spans, never: neither calls that come in
/// then nor those that wait.
struct Store {
    /// Beginnings and ends of its silences.
    silences: Vec<(Timestamp, Timestamp)>,
    /// When each change was made.
    changes: Vec<Timestamp>,
}

impl Store {
    /// Draws changes and silences. Before each silence there is a change, so that all
    /// watches are asked together when it begins.
    fn draw(shortest: Duration, random: &mut StdRng) -> Store {
        let mut store = Store {
            silences: Vec::new(),
            changes: Vec::new(),
        };
        let mut now = Timestamp::ZERO + Duration::from_secs(3);
        while now < Timestamp::ZERO + DAY {
            let lag = Duration::from_millis(random.random_range(0..700));
            let span = shortest + Duration::from_millis(random.random_range(0..5_000));
            store.changes.push(now);
            store.silences.push((now + lag, now + lag + span));
            now = now + lag + span;
            for _ in 0..random.random_range(1..12) {
                now = now + Duration::from_millis(random.random_range(1..1_500));
                store.changes.push(now);
            }
        }
        store
    }

    fn is_silent(&self, now: Timestamp) -> bool {
        self.silences.iter().any(|it| it.0 <= now && now < it.1)
    }

    /// Whether a call that came in at `asked` has lost its answer by `now`.
    fn is_swallowed(&self, asked: Timestamp, now: Timestamp) -> bool {
        self.silences.iter().any(|it| it.0 <= now && asked < it.1)
    }

    fn known_at(&self, now: Timestamp) -> usize {
        self.changes.partition_point(|it| *it <= now)
    }

    /// When a change has to be in force at the latest.
    fn due(&self, change: usize) -> Timestamp {
        let mut due = self.changes[change] + IN_FORCE;
        for silence in &self.silences {
            if silence.0 <= due && silence.1 > self.changes[change] {
                due = silence.1 + IN_FORCE;
            }
        }
        due
    }
}

/// A daemon that watches.
struct Watcher {
    contact: StoreContact,
    /// Whether it asks anew by what probes find.
    probes: bool,
    /// Whether it probes the store while it answers.
    is_lead: bool,
    known: usize,
    /// When its watch was asked, or is asked next.
    asked: Timestamp,
    /// When the probe was asked that is on its way, if it isn't lost yet.
    probe: Option<Timestamp>,
    calls: f64,
    random: StdRng,
}

impl Watcher {
    fn new(probes: bool, is_lead: bool, begin: Timestamp, random: StdRng) -> Watcher {
        Watcher {
            contact: StoreContact::default(),
            probes,
            is_lead,
            known: 0,
            asked: begin,
            probe: None,
            calls: 0.0,
            random,
        }
    }

    fn step(&mut self, store: &Store, now: Timestamp) {
        self.step_watch(store, now);
        if self.probes {
            self.step_probe(store, now);
        }
    }

    fn step_watch(&mut self, store: &Store, now: Timestamp) {
        if now < self.asked {
            return;
        }
        let is_doubtful = self.probes && self.contact.is_doubtful(self.asked);
        if self.asked == now || now.since(self.asked) >= WATCH_TIMEOUT || is_doubtful {
            self.asked = now;
            self.calls += 1.0;
            self.contact.note_waiting(now);
        }
        let known = store.known_at(now);
        if known > self.known && !store.is_swallowed(self.asked, now) {
            self.known = known;
            self.contact.note_news(self.asked, now);
            self.asked = now + GATHER_SPAN;
        }
    }

    fn step_probe(&mut self, store: &Store, now: Timestamp) {
        if let Some(asked) = self.probe {
            if now.since(asked) < self.contact.probe_timeout() {
                return;
            }
            self.probe = None;
            self.contact.note_lost_probe(asked, now);
        }
        if self
            .contact
            .next_probe(self.is_lead)
            .is_none_or(|it| it > now)
        {
            return;
        }
        self.calls += 0.1;
        self.contact.note_probe(&mut self.random, now);
        match store.is_silent(now) {
            true => self.probe = Some(now),
            false => {
                self.contact.note_answer(now, now);
            }
        }
    }
}

/// Plays a day, and returns by how much the latest change was late at the daemon where it
/// was latest, and what the daemons' calls cost.
fn play(store: &Store, watchers: &mut [Watcher]) -> (Duration, f64) {
    let mut late = Duration::ZERO;
    let mut told = vec![(Timestamp::ZERO, 0)];
    let mut now = Timestamp::ZERO;
    while now < Timestamp::ZERO + DAY {
        for watcher in watchers.iter_mut() {
            watcher.step(store, now);
        }
        let newest = watchers.iter().map(|it| it.known).max().unwrap_or_default();
        told.push((now, newest));
        let old = told.partition_point(|it| it.0 + TOLD_AFTER <= now);
        let heard = told[old.saturating_sub(1)].1;
        for watcher in watchers.iter_mut() {
            watcher.known = watcher.known.max(heard);
            if watcher.known < store.known_at(now) {
                late = late.max(now.since(store.due(watcher.known)));
            }
        }
        now = now + STEP;
    }
    let calls = watchers.iter().map(|it| it.calls).sum();
    (late, calls)
}

fn watchers(count: u64, probes: bool, random: &mut StdRng) -> Vec<Watcher> {
    let drawn = (0..count).map(|number| {
        let begin = Duration::from_millis(random.random_range(0..100) * 10);
        let own = StdRng::seed_from_u64(random.random());
        Watcher::new(probes, number == 0, Timestamp::ZERO + begin, own)
    });
    drawn.collect()
}

/// The latest change of many days, and the calls of one.
fn play_many(count: u64, shortest: Duration, probes: bool) -> (Duration, f64) {
    let mut late = Duration::ZERO;
    let mut calls = 0.0;
    for seed in 0..40 {
        let mut random = StdRng::seed_from_u64(seed);
        let store = Store::draw(shortest, &mut random);
        let mut watchers = watchers(count, probes, &mut random);
        let played = play(&store, &mut watchers);
        late = late.max(played.0);
        calls += played.1 / 40.0;
    }
    (late, calls)
}

/// A watch that was asked in a silence, or waited when it began, hangs until its own
/// timeout: settings were old for that long, at all daemons together.
#[test]
fn watches_hang_after_a_silence() {
    for count in [1, 3, 13] {
        let (late, _) = play_many(count, Duration::from_millis(1_600), true);
        assert_eq!(late, Duration::ZERO, "{count} daemons");
        let (late, _) = play_many(count, Duration::from_millis(1_600), false);
        assert!(late > Duration::from_secs(5), "without probes: {late:?}");
    }
}

/// A watch that was asked in a silence is found out however short the silence was.
#[test]
fn a_call_that_was_asked_in_a_silence_is_doubted() {
    let at = |millis: u64| Timestamp::ZERO + Duration::from_millis(millis);
    let mut contact = StoreContact::default();
    contact.note_waiting(at(1_000));
    let probe = contact.next_probe(true).unwrap_or_default();
    assert!(probe <= at(1_100), "{probe:?}");
    contact.note_probe(&mut StdRng::seed_from_u64(1), probe);
    // Another call is asked and answered before the probe is given up.
    contact.note_answer(at(1_300), at(1_304));
    assert!(!contact.is_doubtful(at(1_000)));
    let given_up = probe + contact.probe_timeout();
    contact.note_lost_probe(probe, given_up);
    assert!(contact.is_doubtful(at(1_000)));
    assert!(!contact.is_doubtful(given_up + STEP), "asked anew");
}

/// Answers to writes are lost now and then while the store answers everything else. Were
/// all watches asked anew each time, such a day would cost hundreds of calls.
#[test]
fn a_lost_write_alone_puts_no_watch_in_doubt() {
    let at = |millis: u64| Timestamp::ZERO + Duration::from_millis(millis);
    let mut contact = StoreContact::default();
    contact.note_waiting(at(0));
    contact.note_answer(at(60), at(64));
    contact.note_answer(at(1_560), at(1_564));
    contact.note_lost_call(at(1_000), at(2_500));
    contact.note_answer(at(3_000), at(3_004));
    assert!(!contact.is_doubtful(at(0)));
}

/// Each answer of a store takes long. Were its probes given up, all watches would be asked
/// anew with every answer to another call, and never be answered themselves.
#[test]
fn a_slow_store_has_its_watches_asked_anew_for_ever() {
    let at = |millis: u64| Timestamp::ZERO + Duration::from_millis(millis);
    let slow = Duration::from_millis(900);
    let mut contact = StoreContact::default();
    let mut random = StdRng::seed_from_u64(1);
    contact.note_waiting(at(0));
    contact.note_probe(&mut random, at(50));
    contact.note_lost_probe(at(50), at(50) + contact.probe_timeout());
    contact.note_answer(at(50), at(50) + slow);
    let asked = at(1_000);
    contact.note_waiting(asked);
    for turn in 1..10 {
        let probe = at(turn * 1_100);
        contact.note_probe(&mut random, probe);
        assert!(contact.probe_timeout() > slow);
        contact.note_answer(probe, probe + slow);
    }
    assert!(!contact.is_doubtful(asked));
}

/// The store is silent for less than the pause between two probes, just when all waits: no
/// probe tells of it, and the settings are old until the watches are given up.
#[test]
fn a_short_silence_cuts_waiting_watches_unnoticed() {
    let (late, _) = play_many(1, Duration::from_millis(300), true);
    assert_eq!(late, Duration::ZERO);
}

/// A watch of a calm store costs no call of its own beyond the probes.
#[test]
fn probes_of_a_calm_store_cost_a_tenth_of_a_call_each() {
    let calm = Store {
        silences: Vec::new(),
        changes: Vec::new(),
    };
    let mut random = StdRng::seed_from_u64(1);
    let (_, with) = play(&calm, &mut watchers(1, true, &mut random));
    let (_, without) = play(&calm, &mut watchers(1, false, &mut random));
    assert!(with - without <= 7.0, "{with} calls, {without} without");
}
