//! A simulated fleet of hundreds of daemons that count customers' rates.

#![allow(dead_code, reason = "each test file uses a part")]

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    usage::{
        CustomerLimit, PeerId, PeerIncarnation, RateTolerance, ReportSchedule, UsageCount,
        UsageTracker,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::usage_window::max_in_window;

/// The interval of a daemon's reports.
const INTERVAL: Duration = Duration::from_millis(750);
const STEP: Duration = Duration::from_millis(10);
/// The steps between two ticks of a daemon.
const TICK_STEPS: usize = 5;
/// The most by which a busy daemon's report is late.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(100);

/// How far operators let customers' limits be exceeded.
pub(crate) const TOLERANCE: RateTolerance = RateTolerance {
    window: Duration::from_secs(5),
    fraction: 0.1,
    requests: 20.0,
};

/// A customer of the simulated fleet, with the counts that the test evaluates.
#[derive(Clone, Debug)]
pub(crate) struct SimulatedCustomer {
    pub(crate) limit: CustomerLimit,
    /// Its mean load, as a fraction of its rate.
    load: f64,
    /// The tokens that it has left, by a central count.
    tokens: f64,
    pub(crate) admitted: Vec<Timestamp>,
    pub(crate) sent: usize,
    /// The refused requests for which it had a token, by the central count.
    pub(crate) refused_wrongly: usize,
}

struct Daemon {
    tracker: UsageTracker,
    schedule: ReportSchedule,
    incarnation: PeerIncarnation,
    zone: usize,
    /// When it was started last. Its clock counts from there, as that of a real daemon does.
    booted_at: Timestamp,
    is_leaving: bool,
    /// `None` while it runs.
    back_at: Option<Timestamp>,
}

/// A fleet of entry daemons, which admit requests, in several zones. Daemons that run lots
/// admit none and aren't simulated.
pub(crate) struct UsageFleet {
    daemons: Vec<Daemon>,
    pub(crate) customers: Vec<SimulatedCustomer>,
    /// The zone that is cut off from the others.
    pub(crate) cut_zone: Option<usize>,
    now: Timestamp,
    started_at: Timestamp,
    steps: usize,
    random: StdRng,
}

impl Daemon {
    /// Returns the time on its own clock.
    fn clock(&self, now: Timestamp) -> Timestamp {
        Timestamp::ZERO + now.since(self.booted_at)
    }

    /// Returns its run, as its reports describe it.
    fn run(&self, now: Timestamp) -> PeerIncarnation {
        PeerIncarnation {
            uptime: Some(now.since(self.booted_at)),
            ..self.incarnation
        }
    }
}

impl UsageFleet {
    /// Creates a fleet that has run for some seconds. `customers` has each customer's rate,
    /// which is also its burst, and its mean load as a fraction of it.
    pub(crate) fn new(entries: usize, zones: usize, customers: &[(f64, f64)], seed: u64) -> Self {
        let now = Timestamp::from_micros(1_000_000);
        let customer = |(index, &(rate, load)): (usize, &(f64, f64))| SimulatedCustomer {
            limit: CustomerLimit {
                customer: index as u64,
                rate,
                burst: rate,
            },
            load,
            tokens: rate,
            admitted: Vec::new(),
            sent: 0,
            refused_wrongly: 0,
        };
        let mut fleet = UsageFleet {
            daemons: Vec::new(),
            customers: customers.iter().enumerate().map(customer).collect(),
            cut_zone: None,
            now,
            started_at: now,
            steps: 0,
            random: StdRng::seed_from_u64(seed),
        };
        for index in 0..entries {
            fleet.daemons.push(Daemon {
                tracker: UsageTracker::new(now),
                schedule: ReportSchedule::new(now),
                incarnation: PeerIncarnation {
                    id: id(index),
                    number: 0,
                    uptime: None,
                },
                zone: index % zones,
                booted_at: now,
                is_leaving: false,
                back_at: Some(now),
            });
        }
        fleet.run(Duration::from_secs(12));
        fleet.forget_counts();
        fleet
    }

    /// Starts the counts of the customers anew. Admitted requests are kept, since the
    /// windows over which they are counted slide.
    pub(crate) fn forget_counts(&mut self) {
        for customer in &mut self.customers {
            customer.sent = 0;
            customer.refused_wrongly = 0;
        }
    }

    /// Kills all daemons. Each is back after `down` and a moment more.
    pub(crate) fn kill_all(&mut self, down: Duration) {
        for daemon in &mut self.daemons {
            let start_time = Duration::from_millis(self.random.random_range(0..300));
            daemon.back_at = Some(self.now + down + start_time);
        }
    }

    /// Kills a daemon, which is back after `down`.
    pub(crate) fn kill(&mut self, daemon: usize, down: Duration) {
        self.daemons[daemon].back_at = Some(self.now + down);
    }

    /// Has a daemon leave: it tells the others and gets no new requests. They take it off
    /// their lists, but it goes on reporting until it is killed.
    pub(crate) fn leave(&mut self, daemon: usize) {
        self.daemons[daemon].is_leaving = true;
        self.report(daemon);
        let staying = (0..self.daemons.len()).filter(|it| !self.daemons[*it].is_leaving);
        let staying: Vec<PeerId> = staying.map(id).collect();
        for other in 0..self.daemons.len() {
            if self.is_heard(daemon, other) {
                let now = self.daemons[other].clock(self.now);
                let others = staying.iter().copied().filter(|it| *it != id(other));
                let tracker = &mut self.daemons[other].tracker;
                tracker.leave(id(daemon));
                tracker.set_members(&others.collect::<Vec<_>>(), now);
            }
        }
    }

    /// Sets the mean load of all customers, as a fraction of their rates.
    pub(crate) fn set_load(&mut self, load: f64) {
        for customer in &mut self.customers {
            customer.load = load;
        }
    }

    /// Advances the simulation.
    pub(crate) fn run(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now = self.now + STEP;
            self.steps += 1;
            self.start_daemons();
            for customer in 0..self.customers.len() {
                self.send_requests(customer);
            }
            for daemon in 0..self.daemons.len() {
                self.report_if_due(daemon);
                let is_tick_due = (self.steps + daemon).is_multiple_of(TICK_STEPS);
                let daemon = &mut self.daemons[daemon];
                if is_tick_due && daemon.back_at.is_none() {
                    let now = daemon.clock(self.now);
                    daemon.tracker.tick(now);
                }
            }
        }
    }

    fn start_daemons(&mut self) {
        let now = self.now;
        let all: Vec<PeerId> = (0..self.daemons.len()).map(id).collect();
        let limits: Vec<CustomerLimit> = self.customers.iter().map(|it| it.limit).collect();
        for (index, daemon) in self.daemons.iter_mut().enumerate() {
            if daemon.back_at.is_none_or(|it| it > now) {
                continue;
            }
            daemon.back_at = None;
            daemon.is_leaving = false;
            daemon.incarnation.number += 1;
            daemon.booted_at = now;
            let now = daemon.clock(now);
            daemon.schedule = ReportSchedule::new(now);
            daemon.tracker = UsageTracker::new(now);
            daemon.tracker.set_tolerance(TOLERANCE);
            daemon.tracker.set_limits(&limits, now);
            let others = all.iter().copied().filter(|it| *it != id(index));
            daemon.tracker.set_members(&others.collect::<Vec<_>>(), now);
            daemon.tracker.set_interval(INTERVAL);
        }
    }

    /// Sends a customer's requests of one step to random daemons. The load is high for 2.4 s
    /// and low for 3.4 s.
    fn send_requests(&mut self, customer: usize) {
        let seconds = self.now.since(self.started_at).as_secs_f64();
        let height = if seconds % 5.8 >= 3.4 { 1.87 } else { 0.383 };
        let simulated = &mut self.customers[customer];
        let rate = simulated.limit.rate;
        simulated.tokens = (simulated.tokens + rate * STEP.as_secs_f64()).min(rate);
        let expected = rate * simulated.load * height * STEP.as_secs_f64();
        let mut count = expected.floor() as usize;
        count += usize::from(self.random.random_bool(expected.fract()));
        for _ in 0..count {
            let mut entry = self.random.random_range(0..self.daemons.len());
            while self.daemons[entry].is_leaving {
                entry = self.random.random_range(0..self.daemons.len());
            }
            self.receive_request(entry, customer);
        }
    }

    fn receive_request(&mut self, entry: usize, customer: usize) {
        // A caller whose daemon is down reaches another a moment later.
        if self.daemons[entry].back_at.is_some() {
            return;
        }
        let key = self.customers[customer].limit.customer;
        let now = self.daemons[entry].clock(self.now);
        let tracker = &self.daemons[entry].tracker;
        if tracker.is_rejected_as_unconfirmed(key, now) {
            for peer in tracker.unconfirmed_peers(now) {
                let peer = peer.0 as usize - 1;
                if self.is_heard(peer, entry) {
                    let peer_now = self.daemons[peer].clock(self.now);
                    let counts = self.daemons[peer].tracker.own_counts(peer_now);
                    self.deliver_report(peer, entry, &counts);
                }
            }
        }
        let result = self.daemons[entry].tracker.admit(key, now);
        let customer = &mut self.customers[customer];
        customer.sent += 1;
        match result {
            Ok(()) => {
                customer.tokens -= 1.0;
                customer.admitted.push(self.now);
            }
            Err(_) => customer.refused_wrongly += usize::from(customer.tokens >= 1.0),
        }
    }

    fn report_if_due(&mut self, from: usize) {
        let customers = self.customers.iter().map(|it| it.limit.customer);
        let daemon = &self.daemons[from];
        let is_urgent = customers
            .into_iter()
            .any(|it| daemon.tracker.is_report_urgent(it));
        let now = daemon.clock(self.now);
        if daemon.back_at.is_some() || !(is_urgent || daemon.schedule.is_due(now)) {
            return;
        }
        let delay = MAX_REPORT_DELAY.mul_f64(self.random.random_range(0.0..1.0));
        self.daemons[from]
            .schedule
            .record_report(INTERVAL + delay, now, &mut self.random);
        self.report(from);
    }

    fn report(&mut self, from: usize) {
        let now = self.daemons[from].clock(self.now);
        let counts = self.daemons[from].tracker.own_counts(now);
        for to in 0..self.daemons.len() {
            if self.is_heard(from, to) {
                self.deliver_report(from, to, &counts);
            }
        }
    }

    /// Asserts that no customer got more than its limit allows in any window.
    pub(crate) fn assert_within_tolerance(&self, seed: u64) {
        for customer in &self.customers {
            let limit = customer.limit;
            let in_window = limit.rate * TOLERANCE.window.as_secs_f64() + limit.burst;
            let bound = in_window * (1.0 + TOLERANCE.fraction) + TOLERANCE.requests;
            let admitted = max_in_window(&customer.admitted);
            assert!(
                admitted as f64 <= bound,
                "seed {seed}, rate {}: {admitted} of {bound}",
                limit.rate
            );
        }
    }

    fn is_heard(&self, from: usize, to: usize) -> bool {
        let (sender, receiver) = (&self.daemons[from], &self.daemons[to]);
        let is_cut = |zone: usize| self.cut_zone == Some(zone);
        from != to
            && sender.back_at.is_none()
            && receiver.back_at.is_none()
            && is_cut(sender.zone) == is_cut(receiver.zone)
    }

    fn deliver_report(&mut self, from: usize, to: usize, counts: &[UsageCount]) {
        let incarnation = self.daemons[from].run(self.now);
        let receiver = &mut self.daemons[to];
        let now = receiver.clock(self.now);
        receiver.tracker.receive(incarnation, counts, now);
    }
}

fn id(daemon: usize) -> PeerId {
    PeerId(daemon as u64 + 1)
}
