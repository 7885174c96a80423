//! Simulates streams that share long prompt parts on virtual time: engines keep parts in
//! order of use, read the others anew, and delay all requests that run beside a reading.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

mod placement_replay;

use std::time::Duration;

use comfreyramp_policy::{
    ServerId, Timestamp,
    parts::PartKey,
    placement::{PlacementQuery, PromptCacheSettings, PromptPart, ServerListing, WorkKind},
};
use placement_replay::{Daemons, LIVE_STEPS, even_homes, listing, query, slot_report, zone_name};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SLOTS: usize = 8;
const ENTRIES: usize = 25;
const ZONES: usize = 3;
const TICK: Duration = Duration::from_millis(1);
const OBJECTIVE: Duration = Duration::from_millis(300);
const MAX_PAUSE: Duration = Duration::from_millis(250);
const MAX_WAIT: Duration = Duration::from_millis(210);
/// The time that daemons and the network add to a first event, within a zone and across.
const NETWORK_TIME: Duration = Duration::from_millis(4);
const CROSSING_TIME: Duration = Duration::from_millis(4);
const EVENTS: u32 = 17;
/// The steps of an engine for each event: 17 events take about 0.8 s.
const STEPS_PER_EVENT: u32 = 13;
const CHUNK_TOKENS: u32 = 3_072;
const STEP_MICROS: u64 = 3_700;
const TOKENS_PER_MS: f64 = 145.0;
/// Streams a second on average, 0.38 and 1.87 of it by turns.
const RATE: f64 = 60.0;
const LONG_FRACTION: f64 = 0.42;
const OWN_TOKENS: u32 = 150;
const WARM_UP: Duration = Duration::from_secs(10);
const RUN_DURATION: Duration = Duration::from_secs(45);
const SEEDS: u64 = 6;

/// A deployment.
#[derive(Clone, Copy)]
struct Shape {
    name: &'static str,
    servers: usize,
    memory: u32,
    parts: usize,
    /// The tokens of all parts together.
    tokens: f64,
}

const SHAPES: [Shape; 2] = [
    Shape {
        name: "14 engines",
        servers: 14,
        memory: 72_000,
        parts: 124,
        tokens: 1.65e6,
    },
    Shape {
        name: "18 engines",
        servers: 18,
        memory: 147_261,
        parts: 63,
        tokens: 0.84e6,
    },
];

#[derive(Clone)]
struct Job {
    daemon: usize,
    arrived: Timestamp,
    has_slot: bool,
    prompt: Vec<PromptPart>,
    is_long: bool,
    expected: u32,
    /// The tokens that are still to be read; `None` before the job has a slot.
    unread: Option<u32>,
    steps: u32,
    events: u32,
    last_event: Timestamp,
    max_pause: Duration,
    first: Option<Duration>,
}

/// An engine that reads one chunk of a prompt between two steps of all its streams.
struct Engine {
    memory: u32,
    free_at: Timestamp,
    running: Vec<Job>,
    waiting: Vec<Job>,
    /// Cached prefixes by their hash, with the tokens of their last part: the one that was
    /// used last at the end.
    cached: Vec<(u64, u32)>,
}

impl Engine {
    /// Takes a prompt's parts into the cache and returns the tokens that it has to read.
    fn load(&mut self, prompt: &[PromptPart]) -> u32 {
        let mut chain = 0_u64;
        let mut is_cached = true;
        let mut unread = 0;
        let mut used = Vec::new();
        for part in prompt {
            chain = chain.rotate_left(17).wrapping_mul(0x9e37_79b9) ^ part.key.0;
            let known = self.cached.iter().position(|it| it.0 == chain);
            is_cached &= known.is_some();
            if let Some(position) = known {
                self.cached.remove(position);
            }
            if !is_cached {
                unread += part.tokens;
            }
            used.push((chain, part.tokens));
        }
        // The parts before are used after those that follow them, so that they stay longer.
        self.cached.extend(used.into_iter().rev());
        let mut tokens: u32 = self.cached.iter().map(|it| it.1).sum();
        while tokens > self.memory {
            tokens -= self.cached.remove(0).1;
        }
        unread
    }
}

#[derive(Default, Clone, Copy, Debug)]
struct Outcome {
    long: usize,
    late_long: usize,
    short: usize,
    late_short: usize,
    paused: usize,
    refused: usize,
    tokens: u64,
    read: u64,
    crossed: usize,
}

struct PromptReplay {
    now: Timestamp,
    daemons: Daemons,
    engines: Vec<Engine>,
    prompts: Vec<Vec<PromptPart>>,
    /// How often each prompt is drawn, cumulated.
    popularity: Vec<f64>,
    random: StdRng,
    outcome: Outcome,
    counts_from: Timestamp,
    max_own: u32,
}

/// Returns parts whose sizes and popularity are skewed; a third of them follow another one.
fn draw_prompts(shape: Shape, random: &mut StdRng) -> Vec<Vec<PromptPart>> {
    let mut sizes: Vec<f64> = (0..shape.parts)
        .map(|_| random.random_range(0.0_f64..1.0).powf(1.5) + 0.1)
        .collect();
    for _ in 0..20 {
        let sum: f64 = sizes.iter().sum();
        let scale = shape.tokens / sum;
        sizes
            .iter_mut()
            .for_each(|it| *it = (*it * scale).min(39_900.0));
    }
    let mut prompts: Vec<Vec<PromptPart>> = Vec::new();
    for (number, size) in sizes.iter().enumerate() {
        let part = PromptPart {
            key: PartKey(random.random()),
            tokens: *size as u32,
        };
        let mut prompt = Vec::new();
        if number > 8 && random.random_bool(0.33) {
            let parent = prompts[random.random_range(0..8)].clone();
            if parent.iter().map(|it| it.tokens).sum::<u32>() + part.tokens < 39_900 {
                prompt = parent;
            }
        }
        prompt.push(part);
        prompts.push(prompt);
    }
    prompts
}

impl PromptReplay {
    fn new(shape: Shape, seed: u64, uses_parts: bool) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let server_listing = |number: usize| ServerListing {
            name: format!("server-{seed}-{number}"),
            zone: zone_name(number % ZONES),
            ..listing(number, SLOTS)
        };
        let listings: Vec<ServerListing> = (0..shape.servers).map(server_listing).collect();
        let zone_of: Vec<usize> = (0..ENTRIES).map(|it| it % ZONES).collect();
        let mut daemons = Daemons::in_zones(&zone_of, &listings, even_homes);
        if uses_parts {
            for table in &mut daemons.tables {
                table.set_prompt_caches(vec![PromptCacheSettings {
                    service: "drafts".to_owned(),
                    memory_tokens: shape.memory,
                    objective: OBJECTIVE,
                }]);
            }
        }
        let prompts = draw_prompts(shape, &mut random);
        let mut sum = 0.0;
        let popularity = (0..prompts.len()).map(|rank| {
            sum += 1.0 / (rank as f64 + 1.0).powf(0.9);
            sum
        });
        let popularity = popularity.collect();
        let engine = |_| Engine {
            memory: shape.memory,
            free_at: Timestamp::ZERO,
            running: Vec::new(),
            waiting: Vec::new(),
            cached: Vec::new(),
        };
        let now = Timestamp::from_micros(1_000_000);
        PromptReplay {
            now,
            daemons,
            engines: (0..shape.servers).map(engine).collect(),
            prompts,
            popularity,
            random,
            outcome: Outcome::default(),
            counts_from: now + WARM_UP,
            max_own: OWN_TOKENS,
        }
    }

    fn run(mut self) -> Outcome {
        let begin = self.now;
        self.daemons.start_reports(begin, &mut self.random);
        while self.now.since(begin) < RUN_DURATION {
            self.now = self.now + TICK;
            for server in 0..self.engines.len() {
                self.run_engine(server);
            }
            let factor = LIVE_STEPS.at(self.now.since(begin));
            if self.random.random_bool(RATE * factor * TICK.as_secs_f64()) {
                self.arrival();
            }
            for daemon in 0..ENTRIES {
                self.daemons.send_due_reports(daemon, self.now);
            }
        }
        self.outcome
    }

    fn arrival(&mut self) {
        let daemon = self.random.random_range(0..ENTRIES);
        let is_long = self.random.random_bool(LONG_FRACTION);
        let own = PromptPart {
            key: PartKey(self.random.random()),
            tokens: self.max_own,
        };
        let mut prompt = match is_long {
            true => {
                let all = self.popularity.last().copied().unwrap();
                let drawn = self.random.random_range(0.0..all);
                let index = self.popularity.partition_point(|it| *it <= drawn);
                self.prompts[index].clone()
            }
            false => vec![PromptPart {
                key: PartKey(self.random.random_range(1..20)),
                tokens: 100,
            }],
        };
        prompt.push(own);
        let zone = zone_name(daemon % ZONES);
        let query = PlacementQuery {
            parts: &prompt,
            ..query(&zone, MAX_WAIT)
        };
        let table = &mut self.daemons.tables[daemon];
        let placement = table.choose_live(query, self.now, &mut self.random);
        let is_counted = self.now >= self.counts_from;
        let Ok(placement) = placement else {
            self.outcome.refused += usize::from(is_counted);
            return;
        };
        let server = placement.server;
        let reading = table.begin_prompt(server, &prompt, self.now);
        let expected = reading.map_or(0, |it| it.tokens);
        let has_slot = table.begin(server, WorkKind::Live, self.now);
        if is_counted {
            self.outcome.crossed += usize::from(table.listing(server).zone != zone);
        }
        self.daemons.report_placement(daemon, server, self.now);
        self.engines[server.index()].waiting.push(Job {
            daemon,
            arrived: self.now,
            has_slot,
            prompt,
            is_long,
            expected,
            unread: None,
            steps: 0,
            events: 0,
            last_event: self.now,
            max_pause: Duration::ZERO,
            first: None,
        });
    }

    /// Runs an engine up to this moment.
    fn run_engine(&mut self, server: usize) {
        while self.engines[server].free_at <= self.now {
            let engine = &mut self.engines[server];
            while engine.running.len() < SLOTS && !engine.waiting.is_empty() {
                let mut job = engine.waiting.remove(0);
                let unread = engine.load(&job.prompt);
                if job.arrived >= self.counts_from {
                    let all: u32 = job.prompt.iter().map(|it| it.tokens).sum();
                    self.outcome.tokens += u64::from(all);
                    self.outcome.read += u64::from(unread);
                }
                job.unread = Some(unread);
                engine.running.push(job);
            }
            if engine.running.is_empty() {
                engine.free_at = self.now + TICK;
                break;
            }
            let mut chunk = 0;
            if let Some(job) = engine.running.iter_mut().find(|it| it.unread > Some(0)) {
                let unread = job.unread.unwrap();
                chunk = unread.min(CHUNK_TOKENS);
                job.unread = Some(unread - chunk);
            }
            let micros = STEP_MICROS + (f64::from(chunk) / TOKENS_PER_MS * 1e3) as u64;
            engine.free_at = engine.free_at.max(self.now - TICK) + Duration::from_micros(micros);
            let at = engine.free_at;
            let mut first = Vec::new();
            for job in engine.running.iter_mut().filter(|it| it.unread == Some(0)) {
                job.steps += 1;
                if job.first.is_none() {
                    job.first = Some(at.since(job.arrived));
                    job.last_event = at;
                    job.events = 1;
                    job.steps = 0;
                    first.push(job.clone());
                } else if job.steps >= STEPS_PER_EVENT {
                    job.steps = 0;
                    job.events += 1;
                    job.max_pause = job.max_pause.max(at.since(job.last_event));
                    job.last_event = at;
                }
            }
            let report = slot_report(engine.running.len(), engine.waiting.len(), SLOTS);
            let ended: Vec<Job> = engine
                .running
                .extract_if(.., |it| it.events >= EVENTS)
                .collect();
            let id = ServerId(server as u32);
            for job in first {
                let table = &mut self.daemons.tables[job.daemon];
                table.report(id, report, self.now);
                let elapsed = job.first.unwrap() + NETWORK_TIME;
                if job.has_slot {
                    table.record_first_event(id, job.expected, elapsed, self.now);
                }
            }
            for job in ended {
                self.end(id, &job);
            }
        }
    }

    fn end(&mut self, id: ServerId, job: &Job) {
        let table = &mut self.daemons.tables[job.daemon];
        table.end(id, WorkKind::Live);
        if job.has_slot {
            table.record_hold_time(id, self.now.since(job.arrived));
        }
        if job.arrived < self.counts_from {
            return;
        }
        let crosses = table.listing(id).zone != zone_name(job.daemon % ZONES);
        let crossing = if crosses {
            CROSSING_TIME
        } else {
            Duration::ZERO
        };
        let is_late = job.first.unwrap() + NETWORK_TIME + crossing > OBJECTIVE;
        let outcome = &mut self.outcome;
        match job.is_long {
            true => {
                outcome.long += 1;
                outcome.late_long += usize::from(is_late);
            }
            false => {
                outcome.short += 1;
                outcome.late_short += usize::from(is_late);
            }
        }
        outcome.paused += usize::from(job.max_pause > MAX_PAUSE);
    }
}

fn fraction(count: usize, all: usize) -> f64 {
    count as f64 / all.max(1) as f64
}

/// Returns the mean fractions of late long and short streams, of streams with a long pause,
/// and of tokens that are read.
fn measure(shape: Shape, uses_parts: bool) -> [f64; 6] {
    let mut sums = [0.0; 6];
    for seed in 1..=SEEDS {
        let it = PromptReplay::new(shape, seed, uses_parts).run();
        let all = it.long + it.short;
        let values = [
            fraction(it.late_long, it.long),
            fraction(it.late_short, it.short),
            fraction(it.paused, all),
            it.read as f64 / it.tokens as f64,
            fraction(it.refused, all + it.refused),
            fraction(it.crossed, all),
        ];
        for (sum, value) in sums.iter_mut().zip(values) {
            *sum += value / SEEDS as f64;
        }
    }
    eprintln!(
        "{}, parts {uses_parts}: late {:.4} of long, {:.4} of short; paused {:.4}; read {:.3}; refused {:.4}; crossed {:.3}",
        shape.name, sums[0], sums[1], sums[2], sums[3], sums[4], sums[5]
    );
    sums
}

/// Guards against streams that are late since each server reads each part anew.
#[test]
fn streams_that_share_parts_find_them_cached() {
    for shape in SHAPES {
        let by_load = measure(shape, false);
        let by_parts = measure(shape, true);
        assert!(by_parts[3] < by_load[3] * 0.7);
        assert!(by_parts[0] < by_load[0]);
        assert!(by_parts[1] <= by_load[1]);
    }
}

/// Guards against other decisions, or other random draws, where all parts are small.
#[test]
fn small_parts_change_no_decision() {
    let mut plain = PromptReplay::new(SHAPES[0], 7, false);
    let mut aware = PromptReplay::new(SHAPES[0], 7, true);
    for number in 0..500 {
        let now = plain.now + Duration::from_millis(number * 9);
        let parts = [(1, 100), (number % 5, 1_500), (number, 30_000)];
        let parts = parts.map(|(key, tokens)| PromptPart {
            key: PartKey(key),
            tokens,
        });
        let daemon = number as usize % ENTRIES;
        let zone = zone_name(daemon % ZONES);
        let query = PlacementQuery {
            parts: &parts,
            ..query(&zone, MAX_WAIT)
        };
        let choose = |replay: &mut PromptReplay| {
            let table = &mut replay.daemons.tables[daemon];
            let bulk = table.choose_bulk(query, now, &mut replay.random);
            let live = table.choose_live(query, now, &mut replay.random);
            if let Ok(placement) = live {
                assert_eq!(table.begin_prompt(placement.server, &parts, now), None);
                table.begin(placement.server, WorkKind::Live, now);
            }
            (bulk, live)
        };
        assert_eq!(choose(&mut plain), choose(&mut aware));
    }
}

/// Guards against a time to read a token that stays at the default although servers read
/// several times as fast or as slowly, and against one that a stray sample decides.
#[test]
fn the_time_to_read_follows_first_events() {
    for token_micros in [2.0_f64, 7.0, 40.0] {
        let mut table = PromptReplay::new(SHAPES[0], 7, true)
            .daemons
            .tables
            .remove(0);
        let parts = [(1, 20_000), (2, 100)].map(|(key, tokens)| PromptPart {
            key: PartKey(key),
            tokens,
        });
        let mut now = Timestamp::from_micros(1_000_000);
        let server = ServerId(0);
        for number in 0..400 {
            now = now + Duration::from_millis(40);
            let base = Duration::from_millis(30);
            table.record_first_event(server, 0, base, now);
            let tokens = 10_000;
            let reading = Duration::from_secs_f64(token_micros * 1e-6 * f64::from(tokens));
            table.record_first_event(server, tokens, base + reading, now);
            if number % 50 == 0 {
                table.record_first_event(server, tokens, Duration::from_secs(9), now);
            }
        }
        let readings = (0..SHAPES[0].servers).filter_map(|it| {
            let reading = table.begin_prompt(ServerId(it as u32), &parts, now)?;
            (reading.tokens > 0).then_some(reading)
        });
        let reading = readings.max_by_key(|it| it.tokens).unwrap();
        let measured = reading.duration.as_secs_f64() * 1e6 / f64::from(reading.tokens);
        assert!(
            measured > token_micros * 0.8,
            "{measured} of {token_micros}"
        );
        assert!(
            measured < token_micros * 1.6,
            "{measured} of {token_micros}"
        );
    }
}
