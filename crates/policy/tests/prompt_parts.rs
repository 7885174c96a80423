//! Parts of prompts that crash servers, in whole fleets on virtual time.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    parts::{CRASHES_TO_BLOCK, PartKey, PartTable, ServerRun, trial_delay, trial_rank},
    usage::PeerId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(10);
const RUN_TIME: Duration = Duration::from_millis(500);
/// How long after a run has begun the part crashes its server.
const CRASH_DELAY: Duration = Duration::from_millis(60);
const RESTART_TIME: Duration = Duration::from_secs(3);
/// A server that has been writing for this long isn't crashed by the request.
const BEGIN_TIME: Duration = Duration::from_millis(400);
const MAX_LATE_RUNS: usize = 3;
const BAD_PART: PartKey = PartKey(0xbad0);
const FIRST_PART: PartKey = PartKey(0xa1);
/// With fewer sound requests a minute, only the users' bound holds: half of those later than
/// twice the contact time after the fifth crash begin.
const MIN_SOUND: usize = 1_000;
/// The number of subjects: second parts that a few sound requests share.
const SUBJECTS: u64 = 40;

#[derive(Clone)]
struct Run {
    daemon: usize,
    server: usize,
    parts: Vec<PartKey>,
    began_at: Timestamp,
}

/// A load on a fleet, and what goes wrong.
#[derive(Clone)]
struct Plan {
    daemons: usize,
    servers: usize,
    seconds: u64,
    sound_per_s: f64,
    bad_per_s: f64,
    bad_parts: Vec<PartKey>,
    /// At these seconds a fraction of all servers crashes at once.
    outages: Vec<(u64, f64)>,
    /// Whether the daemons restart one after the other.
    restarts_daemons: bool,
}

#[derive(Default)]
struct Outcome {
    crashes: usize,
    late_bad_runs: usize,
    sound: usize,
    sound_refused: usize,
    /// Sound requests later than twice the contact time after the fifth crash.
    late_sound: usize,
    late_sound_refused: usize,
    /// Sound requests that were refused in the last ten seconds.
    refused_at_end: usize,
    report_bytes: usize,
}

struct Simulation {
    plan: Plan,
    random: StdRng,
    tables: Vec<PartTable>,
    /// When each daemon started, which its clock counts from.
    started_at: Vec<Timestamp>,
    /// The number of each server's run, and when it is back.
    servers: Vec<(u64, Timestamp)>,
    runs: Vec<Run>,
    fifth_crash_at: Option<Timestamp>,
    outcome: Outcome,
}

impl Simulation {
    fn new(plan: Plan, seed: u64) -> Self {
        Simulation {
            random: StdRng::seed_from_u64(seed),
            tables: vec![PartTable::default(); plan.daemons],
            started_at: vec![Timestamp::ZERO; plan.daemons],
            servers: vec![(1, Timestamp::ZERO); plan.servers],
            runs: Vec::new(),
            fifth_crash_at: None,
            outcome: Outcome::default(),
            plan,
        }
    }

    fn interval(&self) -> Duration {
        Duration::from_millis(if self.plan.daemons <= 17 { 250 } else { 750 })
    }

    fn contact_time(&self) -> Duration {
        Duration::from_secs(if self.plan.daemons <= 17 { 3 } else { 4 })
    }

    fn play(mut self) -> Outcome {
        let steps = self.plan.seconds * 100;
        for step in 0..steps {
            let now = Timestamp::from_micros(step * STEP.as_micros() as u64);
            self.restart_daemon(step, now);
            self.begin_outage(step, now);
            self.send(now, steps - step < 1_000);
            self.end_runs(now);
            self.exchange_reports(step, now);
        }
        self.outcome
    }

    fn restart_daemon(&mut self, step: u64, now: Timestamp) {
        let daemon = (step / 200) as usize;
        if self.plan.restarts_daemons && step % 200 == 100 && daemon < self.plan.daemons {
            self.tables[daemon] = PartTable::default();
            self.started_at[daemon] = now;
            self.runs.retain(|it| it.daemon != daemon);
        }
    }

    fn begin_outage(&mut self, step: u64, now: Timestamp) {
        let outages = self.plan.outages.clone();
        for (_, share) in outages.iter().filter(|it| it.0 * 100 == step) {
            for server in 0..self.servers.len() {
                if self.random.random_bool(*share) {
                    self.crash(server, now);
                }
            }
        }
    }

    fn send(&mut self, now: Timestamp, is_end: bool) {
        let subject = PartKey(0x5000 + self.random.random_range(0..SUBJECTS));
        if self
            .random
            .random_bool(self.plan.sound_per_s * STEP.as_secs_f64())
        {
            // Without any server a request isn't served in any case.
            let has_server = self.servers.iter().any(|it| it.1 <= now);
            self.outcome.sound += usize::from(has_server);
            let is_late = self
                .fifth_crash_at
                .is_some_and(|it| now.since(it) > self.contact_time() * 2);
            self.outcome.late_sound += usize::from(has_server && is_late);
            if !self.begin(vec![FIRST_PART, subject], now) && has_server {
                self.outcome.late_sound_refused += usize::from(is_late);
                self.outcome.sound_refused += 1;
                self.outcome.refused_at_end += usize::from(is_end);
            }
        }
        if self
            .random
            .random_bool(self.plan.bad_per_s * STEP.as_secs_f64())
        {
            let parts = self.plan.bad_parts.clone();
            let is_late = self
                .fifth_crash_at
                .is_some_and(|it| now.since(it) > self.contact_time());
            if self.begin(parts, now) && is_late {
                self.outcome.late_bad_runs += 1;
            }
        }
    }

    /// Sends a request, if its daemon permits it. One without a server isn't refused for its
    /// parts.
    fn begin(&mut self, parts: Vec<PartKey>, now: Timestamp) -> bool {
        let daemon = self.random.random_range(0..self.plan.daemons);
        let others = (0..self.plan.daemons).filter(|&it| it != daemon);
        let others: Vec<PeerId> = others.map(|it| PeerId(it as u64)).collect();
        let rank = |part| trial_rank(part, PeerId(daemon as u64), others.iter().copied());
        let local = self.local(daemon, now);
        if self.tables[daemon].check(&parts, rank, local).is_err() {
            return false;
        }
        let up: Vec<usize> = (0..self.servers.len())
            .filter(|&it| self.servers[it].1 <= now)
            .collect();
        if !up.is_empty() {
            let server = up[self.random.random_range(0..up.len())];
            self.runs.push(Run {
                daemon,
                server,
                parts,
                began_at: now,
            });
        }
        true
    }

    fn end_runs(&mut self, now: Timestamp) {
        let is_bad = |it: &&Run| it.parts.contains(&BAD_PART);
        let crashing = self.runs.iter().filter(is_bad);
        let crashing = crashing.filter(|it| now.since(it.began_at) >= CRASH_DELAY);
        let crashing: Vec<usize> = crashing.map(|it| it.server).collect();
        for server in crashing {
            self.crash(server, now);
        }
        let (ended, open): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|it| now.since(it.began_at) >= RUN_TIME);
        self.runs = open;
        for run in ended {
            let local = self.local(run.daemon, now);
            self.tables[run.daemon].record_finished(&run.parts, local);
        }
    }

    fn crash(&mut self, server: usize, now: Timestamp) {
        if self.servers[server].1 > now {
            return;
        }
        let run = ServerRun::of(server as u64, self.servers[server].0);
        self.servers[server] = (self.servers[server].0 + 1, now + RESTART_TIME);
        let (broken, open): (Vec<Run>, Vec<Run>) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition(|it| it.server == server);
        self.runs = open;
        if broken.iter().any(|it| it.parts.contains(&BAD_PART)) {
            self.outcome.crashes += 1;
            if self.outcome.crashes == 5 {
                self.fifth_crash_at = Some(now);
            }
        }
        for it in broken {
            if now.since(it.began_at) < BEGIN_TIME {
                let local = self.local(it.daemon, now);
                self.tables[it.daemon].record_crash(&it.parts, run, local);
            }
        }
    }

    fn exchange_reports(&mut self, step: u64, now: Timestamp) {
        let period = (self.interval().as_millis() / STEP.as_millis()) as u64;
        for daemon in 0..self.plan.daemons {
            if !(step + daemon as u64).is_multiple_of(period) {
                continue;
            }
            let number = step / period;
            let local = self.local(daemon, now);
            let reports = self.tables[daemon].reports(number, self.plan.daemons - 1, local);
            for report in &reports {
                self.outcome.report_bytes += 16 + 6 * report.crashes.len();
            }
            for other in (0..self.plan.daemons).filter(|&it| it != daemon) {
                let local = self.local(other, now);
                self.tables[other].receive(&reports, local);
            }
        }
    }

    fn local(&self, daemon: usize, now: Timestamp) -> Timestamp {
        Timestamp::from_micros(now.since(self.started_at[daemon]).as_micros() as u64)
    }
}

fn plan(daemons: usize) -> Plan {
    Plan {
        daemons,
        servers: 12.max(daemons),
        seconds: 60,
        sound_per_s: 40.0,
        bad_per_s: 6.7,
        bad_parts: vec![FIRST_PART, BAD_PART],
        outages: Vec::new(),
        restarts_daemons: false,
    }
}

fn check_all(make_plan: impl Fn(usize) -> Plan) {
    for daemons in [2, 9, 13, 88, 360] {
        for seed in 1..=3 {
            let outcome = Simulation::new(make_plan(daemons), seed).play();
            println!(
                "{daemons} daemons, seed {seed}: {} crashes, {} late, {} of {} sound ones refused, {} late, {:.0} bytes a second and daemon",
                outcome.crashes,
                outcome.late_bad_runs,
                outcome.sound_refused,
                outcome.sound,
                outcome.late_sound_refused,
                outcome.report_bytes as f64 / 60.0 / daemons as f64,
            );
            assert!(outcome.late_bad_runs <= MAX_LATE_RUNS);
            assert!(outcome.late_sound_refused * 2 < outcome.late_sound.max(1));
            if outcome.sound >= MIN_SOUND {
                assert!(outcome.sound_refused * 10 <= outcome.sound);
            }
            assert_eq!(outcome.refused_at_end, 0);
        }
    }
}

/// Guards against requests with a part that go on to crash servers, in fleets of any size.
#[test]
fn a_part_is_sent_few_times_after_five_crashes() {
    check_all(plan);
}

/// Guards against the same where the part comes first in its prompts.
#[test]
fn a_first_part_is_sent_few_times_after_five_crashes() {
    check_all(|daemons| Plan {
        bad_parts: vec![BAD_PART],
        ..plan(daemons)
    });
}

/// Guards against a first part that is blocked with the one that crashes servers, as few sound
/// requests are there to clear it.
#[test]
fn a_first_part_of_few_sound_requests_is_not_blocked_with_the_bad_one() {
    check_all(|daemons| Plan {
        sound_per_s: 2.0,
        ..plan(daemons)
    });
}

/// Guards against what is known of a part being lost as daemons restart.
#[test]
fn a_part_stays_known_while_all_daemons_restart_in_turn() {
    check_all(|daemons| Plan {
        restarts_daemons: true,
        ..plan(daemons)
    });
}

/// Guards against outages that are taken for the fault of the parts that run meanwhile.
#[test]
fn outages_block_no_part_for_long() {
    check_all(|daemons| Plan {
        bad_per_s: 0.0,
        outages: vec![(8, 0.7), (15, 0.7), (16, 0.7), (25, 1.0), (30, 1.0)],
        ..plan(daemons)
    });
}

/// Guards against a part that is tried by many daemons at once, or never again.
#[test]
fn a_blocked_part_is_tried_by_one_daemon_at_a_time() {
    let part = PartKey(7);
    let now = |seconds: u64| Timestamp::from_micros(seconds * 1_000_000);
    let mut table = PartTable::default();
    for server in 0..CRASHES_TO_BLOCK as u64 {
        table.record_crash(&[part], ServerRun::of(server, 1), now(10));
    }
    assert!(table.check(&[part], |_| 0, now(11)).is_err());
    assert!(
        table.check(&[part], |_| 5, now(12)).is_err(),
        "another's turn"
    );
    assert!(
        table.check(&[part], |_| 0, now(13)) == Ok(true),
        "the trial"
    );
    assert!(table.check(&[part], |_| 0, now(13)).is_err(), "at once");
    table.record_crash(&[part], ServerRun::of(9, 1), now(13));
    assert!(table.check(&[part], |_| 0, now(25)).is_err());
    assert!(trial_delay(1, 1) > trial_delay(1, 0));
    assert!(trial_delay(1, 0) >= Duration::from_secs(60));
    table.record_finished(&[part], now(45));
    assert!(table.check(&[part], |_| 0, now(45)).is_ok());
}

/// Guards against a daemon that has just started and can't tell a crash before its start from
/// an answer before that.
#[test]
fn a_daemon_that_has_just_started_learns_of_earlier_crashes() {
    let part = PartKey(7);
    let now = |seconds: u64| Timestamp::from_micros(seconds * 1_000_000);
    let mut old = PartTable::default();
    old.record_crash(&[part], ServerRun::of(100, 1), now(50));
    old.record_finished(&[part], now(60));
    for server in 0..CRASHES_TO_BLOCK as u64 {
        old.record_crash(&[part], ServerRun::of(server, 1), now(100));
    }
    let mut new = PartTable::default();
    new.receive(&old.reports(1, 8, now(105)), now(1));
    assert!(new.is_blocked(part, now(1)));
}

/// Guards against a table that grows with the requests that were running at crashes.
#[test]
fn reports_are_bounded() {
    let mut table = PartTable::default();
    let now = Timestamp::from_micros(1_000_000);
    for part in 0..100_000 {
        table.record_crash(&[PartKey(part)], ServerRun::of(part, 1), now);
    }
    assert!(table.reports(1, 8, now).len() <= 24);
}
