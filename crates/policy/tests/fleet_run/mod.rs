//! Simulates a fleet of watch plans with one platform, on virtual time.

#![allow(unreachable_pub, reason = "a module of a test")]

use std::time::Duration;

use comfreyramp_policy::{
    DaemonId, FleetMember, FreshnessSettings, OfferDecision, Timestamp, WatchPlan, member_score,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// The length of one simulation step.
const STEP: Duration = Duration::from_millis(50);
/// The interval at which a follower reads the settings from the platform.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// A simulated daemon.
struct RunDaemon {
    zone: usize,
    plan: WatchPlan,
    alive: bool,
    cut_from_platform: bool,
    following: bool,
    next_check: Timestamp,
    /// The highest revision that the plan ever had; the plan must never go back. And
    /// the latest time at which the platform is known to have had the state of the
    /// view.
    max_revision: i64,
    current_at: Option<Timestamp>,
}

pub struct FleetRun {
    daemons: Vec<RunDaemon>,
    cut_zones: Vec<bool>,
    pub platform_up: bool,
    pub watches_silent: bool,
    pub platform_calls: usize,
    pub queries: usize,
    revision: i64,
    now: Timestamp,
    rng: StdRng,
}

impl FleetRun {
    pub fn new(zone_sizes: &[usize], seed: u64) -> Self {
        FleetRun::with_settings(zone_sizes, seed, FreshnessSettings::default())
    }

    pub fn with_settings(zone_sizes: &[usize], seed: u64, settings: FreshnessSettings) -> Self {
        let mut run = FleetRun {
            daemons: Vec::new(),
            cut_zones: vec![false; zone_sizes.len()],
            platform_up: true,
            watches_silent: false,
            platform_calls: 0,
            queries: 0,
            revision: 1,
            now: Timestamp::from_micros(1),
            rng: StdRng::seed_from_u64(seed),
        };
        for (zone, size) in zone_sizes.iter().enumerate() {
            for number in 0..*size {
                let score = score(zone, number);
                run.daemons.push(RunDaemon {
                    zone,
                    plan: WatchPlan::new(settings, score),
                    alive: true,
                    cut_from_platform: false,
                    following: false,
                    next_check: Timestamp::ZERO,
                    max_revision: 0,
                    current_at: None,
                });
            }
        }
        let mut scores = Vec::new();
        for (zone, size) in zone_sizes.iter().enumerate() {
            scores.extend((0..*size).map(|number| score(zone, number)));
        }
        let zones: Vec<usize> = run.daemons.iter().map(|it| it.zone).collect();
        for (own, daemon) in run.daemons.iter_mut().enumerate() {
            let others = (0..zones.len()).filter(|it| *it != own);
            let members = others.map(|id| FleetMember {
                id: DaemonId(id as u32),
                score: scores[id],
                same_zone: zones[id] == daemon.zone,
            });
            daemon.plan.set_members(&members.collect::<Vec<_>>());
        }
        run
    }

    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Advances the simulation by `duration`.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Changes the settings and returns the time until every running daemon has them.
    pub fn change_settings(&mut self) -> Duration {
        self.change_settings_now();
        let begin = self.now;
        while (0..self.daemons.len()).any(|it| self.is_behind(it)) {
            self.step();
            let took = self.now.since(begin);
            assert!(
                took < Duration::from_secs(120),
                "the change isn't in force everywhere"
            );
        }
        self.now.since(begin)
    }

    pub fn change_settings_now(&mut self) {
        self.revision += 1;
    }

    pub fn is_behind(&self, daemon: usize) -> bool {
        let daemon = &self.daemons[daemon];
        daemon.alive && daemon.plan.revision() < self.revision
    }

    pub fn stop(&mut self, daemon: usize) {
        self.daemons[daemon].alive = false;
    }

    pub fn start(&mut self, daemon: usize) {
        self.daemons[daemon].alive = true;
    }

    pub fn cut_from_platform(&mut self, daemon: usize, cut: bool) {
        self.daemons[daemon].cut_from_platform = cut;
    }

    /// Cuts a zone off from the platform and from all other zones, or reconnects it.
    pub fn cut_zone(&mut self, zone: usize, cut: bool) {
        self.cut_zones[zone] = cut;
    }

    pub fn zone(&self, zone: usize) -> Vec<usize> {
        let all = 0..self.daemons.len();
        all.filter(|it| self.daemons[*it].zone == zone).collect()
    }

    pub fn following(&self) -> Vec<usize> {
        let all = 0..self.daemons.len();
        all.filter(|it| self.daemons[*it].alive && self.daemons[*it].following)
            .collect()
    }

    pub fn followers_in_zone(&self, zone: usize) -> Vec<usize> {
        let mut following = self.following();
        following.retain(|it| self.daemons[*it].zone == zone);
        following
    }

    pub fn followers(&self) -> usize {
        self.following().len()
    }

    pub fn oldest_view(&self) -> Duration {
        self.ages().max().unwrap_or(Duration::MAX)
    }

    pub fn youngest_view(&self) -> Duration {
        self.ages().min().unwrap_or(Duration::ZERO)
    }

    fn ages(&self) -> impl Iterator<Item = Duration> {
        let alive = self.daemons.iter().filter(|it| it.alive);
        alive.map(|it| it.plan.age(self.now).unwrap_or(Duration::MAX))
    }

    /// Breaks or repairs a random component, or changes the settings.
    pub fn inject_fault(&mut self) {
        let daemon = self.rng.random_range(0..self.daemons.len());
        let zone = self.rng.random_range(0..self.cut_zones.len());
        match self.rng.random_range(0..6) {
            0 => self.platform_up = !self.platform_up,
            1 => self.watches_silent = !self.watches_silent,
            2 => self.cut_zones[zone] = !self.cut_zones[zone],
            3 => self.daemons[daemon].alive = !self.daemons[daemon].alive,
            4 => {
                let daemon = &mut self.daemons[daemon];
                daemon.cut_from_platform = !daemon.cut_from_platform;
            }
            _ => self.change_settings_now(),
        }
    }

    pub fn repair_everything(&mut self) {
        self.platform_up = true;
        self.watches_silent = false;
        self.cut_zones.fill(false);
        for daemon in &mut self.daemons {
            daemon.alive = true;
            daemon.cut_from_platform = false;
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        for own in 0..self.daemons.len() {
            if !self.daemons[own].alive {
                continue;
            }
            self.follow(own);
            self.query_peer(own);
            self.check(own);
        }
    }

    fn reaches_platform(&self, own: usize) -> bool {
        let daemon = &self.daemons[own];
        self.platform_up && !daemon.cut_from_platform && !self.cut_zones[daemon.zone]
    }

    fn reaches(&self, own: usize, peer: usize) -> bool {
        let (own, peer) = (&self.daemons[own], &self.daemons[peer]);
        let cut = self.cut_zones[own.zone] || self.cut_zones[peer.zone];
        peer.alive && (own.zone == peer.zone || !cut)
    }

    fn follow(&mut self, own: usize) {
        let reaches = self.reaches_platform(own);
        let (now, revision) = (self.now, self.revision);
        let daemon = &mut self.daemons[own];
        daemon.following = daemon.plan.should_follow(now);
        if !daemon.following {
            return;
        }
        if reaches && !self.watches_silent {
            daemon.plan.apply_watch_event(revision);
        }
        if now < daemon.next_check {
            return;
        }
        daemon.next_check = now + CHECK_INTERVAL;
        self.platform_calls += 1;
        if reaches {
            assert!(daemon.plan.apply_read(revision, now, now));
            daemon.current_at = Some(now);
        }
    }

    fn query_peer(&mut self, own: usize) {
        let now = self.now;
        let target = self.daemons[own].plan.next_request(now, &mut self.rng);
        let Some(target) = target else {
            return;
        };
        self.queries += 1;
        let peer = target.index();
        if !self.reaches(own, peer) {
            return self.daemons[own].plan.record_timeout(target, now);
        }
        let offered = self.daemons[peer].plan.offer(0, now);
        let current_at = self.daemons[peer].current_at;
        let daemon = &mut self.daemons[own];
        let Some(offer) = offered else {
            return daemon.plan.record_empty_answer(target, now);
        };
        let verdict = daemon.plan.apply_offer(target, offer, now, now);
        if verdict == OfferDecision::Apply {
            daemon.current_at = daemon.current_at.max(current_at);
        }
    }

    /// Checks the invariants of a daemon's view.
    fn check(&mut self, own: usize) {
        let now = self.now;
        let daemon = &mut self.daemons[own];
        let revision = daemon.plan.revision();
        assert!(
            revision >= daemon.max_revision,
            "the view went back to an older revision"
        );
        assert!(revision <= self.revision);
        daemon.max_revision = revision;
        if let Some(age) = daemon.plan.age(now) {
            let true_age = now.since(daemon.current_at.unwrap());
            assert!(
                age >= true_age,
                "reported age {age:?}, actual age {true_age:?}"
            );
        }
    }
}

fn score(zone: usize, number: usize) -> u64 {
    member_score(&format!("zone-{zone}"), &format!("entry-{zone}-{number}"))
}
