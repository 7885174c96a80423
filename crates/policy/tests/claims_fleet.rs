//! Tests that calls run at most once, in a small fleet on virtual time.

mod claims_store;

use std::time::Duration;

use claims_store::{Store, at};
use comfreyramp_policy::{
    AnswerRef, ClaimGroup, ClaimKey, ClaimTicket, ClaimTracker, ClaimVerdict, Fingerprint,
    GroupAnswer, Incarnation, RunState, Timestamp,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const BODY: Fingerprint = Fingerprint(5);
const STEP: Duration = Duration::from_millis(10);
const RUN_DURATION: Duration = Duration::from_millis(100);

#[derive(Clone, Copy, PartialEq)]
enum Stage {
    Claiming,
    Running(Timestamp),
    Ended,
}

struct Attempt {
    daemon: usize,
    key: ClaimKey,
    ticket: ClaimTicket,
    stage: Stage,
    ran: bool,
}

/// Daemons that are lost and paused, a platform that is unavailable or slow or whose
/// answers are lost, and callers that send the same call to several daemons.
struct Fleet {
    rng: StdRng,
    now: Timestamp,
    faults: f64,
    store: Store,
    delayed_writes: Vec<(Timestamp, ClaimGroup)>,
    outage_until: Timestamp,
    trackers: Vec<(ClaimTracker, Timestamp)>,
    starts: u64,
    attempts: Vec<Attempt>,
    runs: Vec<u32>,
    answered: Vec<bool>,
}

impl Fleet {
    fn new(seed: u64, faults: f64) -> Self {
        let keys = 30;
        Fleet {
            rng: StdRng::seed_from_u64(seed),
            now: at(1.0),
            faults,
            store: Store::default(),
            delayed_writes: Vec::new(),
            outage_until: Timestamp::ZERO,
            trackers: (0..4)
                .map(|it| (ClaimTracker::new(Incarnation(it)), Timestamp::ZERO))
                .collect(),
            starts: 4,
            attempts: Vec::new(),
            runs: vec![0; keys],
            answered: vec![false; keys],
        }
    }

    fn fault(&mut self, fraction: f64) -> bool {
        let chance = self.faults * fraction;
        self.rng.random_bool(chance)
    }

    fn send(&mut self, key: usize) {
        let daemon = self.rng.random_range(0..self.trackers.len());
        let (tracker, paused_until) = &mut self.trackers[daemon];
        if *paused_until > self.now {
            return;
        }
        let deadline = self.now + Duration::from_secs(10);
        match tracker.claim(ClaimKey(key as u128), BODY, deadline, self.now) {
            Ok(ticket) => self.attempts.push(Attempt {
                daemon,
                key: ClaimKey(key as u128),
                ticket,
                stage: Stage::Claiming,
                ran: false,
            }),
            Err(verdict) => self.answered[key] |= matches!(verdict, ClaimVerdict::Answered(_)),
        }
    }

    fn write(&mut self, group: ClaimGroup) -> GroupAnswer {
        if self.now < self.outage_until {
            return GroupAnswer::Unreachable;
        }
        if self.fault(0.1) {
            return GroupAnswer::Lost;
        }
        if self.fault(0.1) {
            let delay = Duration::from_millis(self.rng.random_range(0..4000));
            self.delayed_writes.push((self.now + delay, group));
            return GroupAnswer::Lost;
        }
        let answer = self.store.transact(&group.records, self.now);
        if self.fault(0.3) {
            return GroupAnswer::Lost;
        }
        answer
    }

    fn step_tracker(&mut self, at: usize) {
        let now = self.now;
        if self.fault(0.003) {
            // The daemon is lost and a new one is started in its place. Calls that the
            // lost one had sent continue to run.
            self.starts += 1;
            self.trackers[at] = (ClaimTracker::new(Incarnation(self.starts)), now);
            self.attempts.retain(|it| it.daemon != at);
        }
        if self.fault(0.003) {
            let pause = self.rng.random_range(0..10_000);
            self.trackers[at].1 = now + Duration::from_millis(pause);
        }
        if self.trackers[at].1 > now {
            return;
        }
        if let Some(group) = self.trackers[at].0.next_group(now) {
            let number = group.number;
            let answer = self.write(group);
            self.trackers[at].0.group_answer(number, &answer, now);
        }
        let changes = self.trackers[at].0.take_changes(10);
        if self.now < self.outage_until || self.fault(0.3) {
            self.trackers[at].0.return_changes(changes);
        } else {
            changes.into_iter().for_each(|it| self.store.change(it));
        }
    }

    fn step_attempt(&mut self, at: usize) {
        let now = self.now;
        let is_lost = self.fault(0.3);
        let attempt = &mut self.attempts[at];
        let (key, ticket) = (attempt.key, attempt.ticket);
        let (tracker, paused_until) = &mut self.trackers[attempt.daemon];
        if *paused_until > now {
            return;
        }
        match (attempt.stage, tracker.verdict(key, ticket)) {
            (Stage::Claiming, ClaimVerdict::Send) if tracker.start(key, ticket, now) => {
                attempt.stage = Stage::Running(now);
                attempt.ran = true;
                self.runs[key.0 as usize] += 1;
            }
            (Stage::Claiming, ClaimVerdict::Answered(_)) => {
                self.answered[key.0 as usize] = true;
                attempt.stage = Stage::Ended;
                tracker.forget(key, ticket);
            }
            (Stage::Claiming, ClaimVerdict::Refused(refusal)) => {
                assert!(refusal.run != RunState::No || !attempt.ran);
                attempt.stage = Stage::Ended;
                tracker.forget(key, ticket);
            }
            (Stage::Running(since), _) if now.since(since) >= RUN_DURATION => {
                if is_lost {
                    tracker.record_lost_answer(key, ticket);
                } else {
                    tracker.finish(key, ticket, AnswerRef(format!("answer {}", key.0)));
                    self.answered[key.0 as usize] = true;
                }
                attempt.stage = Stage::Ended;
                tracker.forget(key, ticket);
            }
            _ => {}
        }
        self.trackers[self.attempts[at].daemon].0.poll(now);
    }

    fn run(&mut self) {
        for step in 0..3000 {
            self.now = self.now + STEP;
            let now = self.now;
            if self.fault(0.003) {
                let outage = self.rng.random_range(0..5000);
                self.outage_until = now + Duration::from_millis(outage);
            }
            let (due, delayed_writes) = std::mem::take(&mut self.delayed_writes)
                .into_iter()
                .partition(|(at, _)| *at <= now);
            self.delayed_writes = delayed_writes;
            let due: Vec<(Timestamp, ClaimGroup)> = due;
            for (_, group) in due {
                self.store.transact(&group.records, now);
            }
            for key in 0..self.runs.len() {
                if step < 2000 && !self.answered[key] && self.rng.random_bool(0.02) {
                    self.send(key);
                }
            }
            (0..self.trackers.len()).for_each(|it| self.step_tracker(it));
            (0..self.attempts.len()).for_each(|it| self.step_attempt(it));
            self.attempts.retain(|it| it.stage != Stage::Ended);
        }
    }
}

/// A call with a side effect (it prints something) is sent repeatedly to different
/// daemons, while daemons are lost and paused, and the platform is unavailable, slow,
/// or applies a write whose answer is lost. If the call ran twice, two copies would be
/// printed.
#[test]
fn a_call_runs_once_at_most_whatever_fails() {
    let mut ran = 0;
    for seed in 0..60 {
        let mut fleet = Fleet::new(seed, 1.0);
        fleet.run();
        assert!(fleet.runs.iter().all(|&runs| runs <= 1), "seed {seed}");
        ran += fleet.runs.iter().sum::<u32>();
    }
    println!("{ran} of {} calls ran", 60 * 30);
    assert!(ran > 60 * 30 / 2, "{ran} of {} calls ran", 60 * 30);
}

#[test]
fn every_call_runs_and_is_answered_when_nothing_fails() {
    let mut fleet = Fleet::new(1, 0.0);
    fleet.run();
    assert!(fleet.runs.iter().all(|&runs| runs == 1));
    assert!(fleet.answered.iter().all(|&it| it));
}
