//! A fleet on virtual time, some of whose servers answer requests with failures.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, VecDeque},
    rc::Rc,
    time::Duration,
};

use comfreyramp_policy::{
    ServerId, Timestamp, name_hash,
    placement::{
        AnswerEvidence, FailureCount, HomePair, LoadShare, PlacementQuery, PlacementTable,
        ServerListing, ServerOutcomeKind, WorkKind, home_pairs,
    },
    usage::PeerId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub(crate) const SERVERS: usize = 72;
pub(crate) const DAEMONS: usize = 64;
const ZONES: usize = 3;
const SLOTS: usize = 8;
const DAEMONS_PER_SERVER: usize = 4;
/// Mean requests a second.
const RATE: f64 = 302.0;
const REQUEST_DURATION: Duration = Duration::from_millis(800);
const FIRST_EVENT: Duration = Duration::from_millis(50);
const FAILURE_DURATION: Duration = Duration::from_millis(1);
/// The fraction of requests with a single attempt. The others have two.
const SINGLE_FRACTION: f64 = 0.58;
const MAX_WAIT: Duration = Duration::from_millis(210);
const NEAR_DELAY: Duration = Duration::from_millis(30);
const FAR_INTERVAL: Duration = Duration::from_millis(750);
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
pub(crate) const FAULT_BEGIN: Duration = Duration::from_secs(8);
pub(crate) const FAULT_END: Duration = Duration::from_secs(15);
const RUN_END: Duration = Duration::from_secs(17);
const BEGIN: Timestamp = Timestamp::from_micros(1_000_000);
const CUSTOMERS: usize = 80;
/// The customers that have [`LARGE_WEIGHT`] times the requests of others.
const LARGE_CUSTOMERS: usize = 5;
const LARGE_WEIGHT: usize = 12;

/// How daemons treat answers that are failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Approach {
    /// They count as answers.
    Ignore,
    /// They count as broken connections, so that two in a row eject a server.
    EjectAfterTwo,
    /// `server_failures`, without reports of peers.
    OwnCounts,
    /// `server_failures`.
    Compare,
}

/// What fails from [`FAULT_BEGIN`] to [`FAULT_END`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Eight servers fail all requests.
    EightServers,
    /// The servers of the first zone fail 45% of their requests.
    Zone,
    /// The requests of the first customer fail everywhere. It is one of the large ones.
    Customer,
    /// All servers fail all requests.
    Service,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) approach: Approach,
    pub(crate) fault: Fault,
    /// How late reports arrive.
    pub(crate) report_delay: Duration,
    /// A daemon that stops sending reports when the fault begins, and gets no requests.
    pub(crate) lost_daemon: Option<usize>,
}

impl Scenario {
    pub(crate) fn new(approach: Approach, fault: Fault) -> Self {
        Scenario {
            approach,
            fault,
            report_delay: Duration::ZERO,
            lost_daemon: None,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    /// Requests with a single attempt that arrived since the fault began.
    pub(crate) single: usize,
    /// Those of them that failed.
    pub(crate) single_failed: usize,
    /// Requests with two attempts, and those whose caller got a failure.
    pub(crate) double: usize,
    pub(crate) double_failed: usize,
    pub(crate) refused: usize,
    /// The fraction of samples in which a daemon avoided one of its home servers, for the
    /// server that was avoided most, and for all together.
    pub(crate) avoided_most: f64,
    pub(crate) avoided_mean: f64,
    /// The requests that each server ran successfully since the fault began.
    pub(crate) runs: Vec<usize>,
    /// When the last daemon stopped suspecting a server that had failed, after the fault.
    pub(crate) recovered_after: Duration,
    /// The time from the end of the fault until half of the servers that had failed got a
    /// request with a single attempt.
    pub(crate) used_after: Duration,
    /// The reports that daemons sent to all others since a server had recovered.
    pub(crate) urgent_reports: usize,
}

impl Figures {
    pub(crate) fn single_failed_per_1000(&self) -> f64 {
        self.single_failed as f64 * 1_000.0 / self.single.max(1) as f64
    }
}

#[derive(Clone, Debug)]
struct LiveRequest {
    customer: usize,
    daemon: usize,
    is_single: bool,
    arrived: Timestamp,
    tried: Vec<ServerId>,
    failed_at: Option<ServerId>,
}

struct Report {
    shares: Vec<(u64, LoadShare)>,
    failures: Vec<FailureCount>,
}

enum Event {
    Arrival,
    Started(Box<LiveRequest>),
    /// The end of a request in its slot.
    End(Box<LiveRequest>),
    Failure(Box<LiveRequest>),
    NearReport(usize),
    FarReport(usize),
    Report(usize, usize, Rc<Report>),
    Sample,
}

struct FailureReplay {
    scenario: Scenario,
    now: Timestamp,
    tables: Vec<PlacementTable>,
    homes: Vec<HomePair>,
    near_peers: Vec<Vec<usize>>,
    is_near_due: Vec<bool>,
    weights: Vec<f64>,
    running: Vec<usize>,
    waiting: Vec<VecDeque<Box<LiveRequest>>>,
    events: BTreeMap<u64, Event>,
    order: BinaryHeap<Reverse<(Timestamp, u64)>>,
    next_event: u64,
    random: StdRng,
    samples: usize,
    avoided: Vec<usize>,
    used_at: Vec<Option<Timestamp>>,
    figures: Figures,
}

/// Runs a scenario with a seed.
pub(crate) fn replay(scenario: Scenario, seed: u64) -> Figures {
    FailureReplay::new(scenario, seed).run()
}

/// Adds up the figures of several seeds.
pub(crate) fn replay_seeds(scenario: Scenario, seeds: std::ops::RangeInclusive<u64>) -> Figures {
    let mut total = Figures::default();
    let count = seeds.clone().count() as f64;
    for seed in seeds {
        let figures = replay(scenario, seed);
        eprintln!("{scenario:?}, seed {seed}: {}", figures.describe());
        total.single += figures.single;
        total.single_failed += figures.single_failed;
        total.double += figures.double;
        total.double_failed += figures.double_failed;
        total.refused += figures.refused;
        total.avoided_most = total.avoided_most.max(figures.avoided_most);
        total.avoided_mean += figures.avoided_mean / count;
        total.recovered_after = total.recovered_after.max(figures.recovered_after);
        total.used_after = total.used_after.max(figures.used_after);
        total.urgent_reports += figures.urgent_reports;
        total.runs.resize(SERVERS, 0);
        for (sum, runs) in total.runs.iter_mut().zip(&figures.runs) {
            *sum += runs;
        }
    }
    eprintln!("{scenario:?}, all seeds: {}", total.describe());
    total
}

impl Figures {
    fn describe(&self) -> String {
        format!(
            "{} of {} with one attempt failed ({:.1} in 1,000), {} of {} with two, {} refused, \
             avoided {:.4} on average and {:.3} at most, trusted again after {:?}, used after {:?}, {} urgent reports",
            self.single_failed,
            self.single,
            self.single_failed_per_1000(),
            self.double_failed,
            self.double,
            self.refused,
            self.avoided_mean,
            self.avoided_most,
            self.recovered_after,
            self.used_after,
            self.urgent_reports,
        )
    }
}

fn zone_name(index: usize) -> String {
    format!("zone-{}", index % ZONES + 1)
}

fn peer(daemon: usize) -> PeerId {
    PeerId::of_name(&format!("entry-{daemon}"))
}

impl FailureReplay {
    fn new(scenario: Scenario, seed: u64) -> Self {
        let listings: Vec<ServerListing> = (0..SERVERS)
            .map(|number| ServerListing {
                name: format!("server-{seed}-{number}"),
                service: "drafts".to_owned(),
                zone: zone_name(number),
                address: format!("10.0.0.{number}:80"),
                slots: SLOTS as u32,
                is_ready: true,
                version: "v1".to_owned(),
                incarnation: 1,
                cold_left: Some(Duration::ZERO),
                revision: 1,
            })
            .collect();
        let mut homes = Vec::new();
        for zone in 0..ZONES {
            let of_zone = listings.iter().filter(|it| it.zone == zone_name(zone));
            let servers: Vec<u64> = of_zone.map(|it| PeerId::of_name(&it.name).0).collect();
            let daemons = (0..DAEMONS).filter(|it| it % ZONES == zone).map(peer);
            let daemons: Vec<PeerId> = daemons.collect();
            homes.extend(home_pairs(&servers, &daemons, DAEMONS_PER_SERVER));
        }
        let table = |own: usize| {
            let mut table = PlacementTable::new(peer(own));
            table.set_listings(&listings, Timestamp::ZERO);
            table.set_homes(|server| homes.contains(&(server, peer(own))));
            table
        };
        let tables = (0..DAEMONS).map(table).collect();
        let near = |own: usize| -> Vec<usize> {
            let of_own = homes.iter().filter(|it| it.1 == peer(own));
            let servers: Vec<u64> = of_own.map(|it| it.0).collect();
            let sharing = homes.iter().filter(|it| servers.contains(&it.0));
            let sharing: Vec<PeerId> = sharing.map(|it| it.1).collect();
            let is_near = |it: &usize| *it != own && sharing.contains(&peer(*it));
            (0..DAEMONS).filter(is_near).collect()
        };
        let near_peers = (0..DAEMONS).map(near).collect();
        let mut random = StdRng::seed_from_u64(seed);
        FailureReplay {
            scenario,
            now: BEGIN,
            tables,
            homes,
            near_peers,
            is_near_due: vec![false; DAEMONS],
            weights: (0..DAEMONS)
                .map(|_| random.random_range(0.3..1.7))
                .collect(),
            running: vec![0; SERVERS],
            waiting: vec![VecDeque::new(); SERVERS],
            events: BTreeMap::new(),
            order: BinaryHeap::new(),
            next_event: 0,
            random,
            samples: 0,
            avoided: vec![0; SERVERS],
            used_at: vec![None; SERVERS],
            figures: Figures {
                runs: vec![0; SERVERS],
                ..Figures::default()
            },
        }
    }

    fn schedule(&mut self, delay: Duration, event: Event) {
        self.order
            .push(Reverse((self.now + delay, self.next_event)));
        self.events.insert(self.next_event, event);
        self.next_event += 1;
    }

    fn run(mut self) -> Figures {
        self.schedule(Duration::ZERO, Event::Arrival);
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        for daemon in 0..DAEMONS {
            let delay = FAR_INTERVAL.mul_f64(self.random.random::<f64>());
            self.schedule(delay, Event::FarReport(daemon));
        }
        while let Some(Reverse((at, number))) = self.order.pop() {
            if at.since(BEGIN) >= RUN_END {
                break;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.process(event);
            }
        }
        let all = self.samples.max(1) as f64;
        let per_server = |server: usize| {
            let key = self.tables[0].key(ServerId(server as u32));
            let homes = self.homes.iter().filter(|it| it.0 == key).count();
            self.avoided[server] as f64 / (all * homes.max(1) as f64)
        };
        let avoided: Vec<f64> = (0..SERVERS).map(per_server).collect();
        self.figures.avoided_most = avoided.iter().copied().fold(0.0, f64::max);
        self.figures.avoided_mean = avoided.iter().sum::<f64>() / SERVERS as f64;
        let mut used: Vec<Duration> = (0..SERVERS)
            .filter(|it| self.is_faulty(*it))
            .map(|it| {
                let used_at = self.used_at[it].unwrap_or(BEGIN + RUN_END);
                used_at.since(BEGIN + FAULT_END)
            })
            .collect();
        used.sort_unstable();
        self.figures.used_after = used.get(used.len() / 2).copied().unwrap_or_default();
        self.figures
    }

    fn is_fault_time(&self) -> bool {
        let passed = self.now.since(BEGIN);
        passed >= FAULT_BEGIN && passed < FAULT_END
    }

    /// Returns whether the server is one of those that the fault concerns.
    fn is_faulty(&self, server: usize) -> bool {
        match self.scenario.fault {
            Fault::EightServers => server % 9 == 4,
            Fault::Zone => zone_name(server) == zone_name(0),
            Fault::Customer => false,
            Fault::Service => true,
        }
    }

    fn fails(&mut self, server: usize, customer: usize) -> bool {
        if !self.is_fault_time() {
            return false;
        }
        match self.scenario.fault {
            Fault::Customer => customer == 0,
            Fault::Zone => self.is_faulty(server) && self.random.random_bool(0.45),
            Fault::EightServers | Fault::Service => self.is_faulty(server),
        }
    }

    fn is_lost(&self, daemon: usize) -> bool {
        let has_begun = self.now.since(BEGIN) >= FAULT_BEGIN;
        has_begun && self.scenario.lost_daemon == Some(daemon)
    }

    fn process(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrive(),
            Event::Started(request) => {
                let server = request.tried[request.tried.len() - 1];
                self.record(&request, server, AnswerEvidence::Succeeded);
                if let Some(failed_at) = request.failed_at {
                    self.record(&request, failed_at, AnswerEvidence::FailedAlone);
                }
            }
            Event::End(request) => self.end(&request),
            Event::Failure(request) => self.fail(request),
            Event::NearReport(daemon) => {
                self.is_near_due[daemon] = false;
                let peers = self.near_peers[daemon].clone();
                self.send_report(daemon, &peers);
            }
            Event::FarReport(daemon) => {
                self.schedule(FAR_INTERVAL, Event::FarReport(daemon));
                let peers: Vec<usize> = (0..DAEMONS).filter(|it| *it != daemon).collect();
                self.send_report(daemon, &peers);
            }
            Event::Report(from, to, report) => {
                let now = self.now;
                self.tables[to].receive(peer(from), &report.shares, now);
                self.tables[to].receive_failures(peer(from), &report.failures, now);
            }
            Event::Sample => self.sample(),
        }
    }

    fn arrive(&mut self) {
        let passed = self.now.since(BEGIN).as_secs_f64();
        let factor = if passed % 5.8 < 3.4 { 0.38 } else { 1.87 };
        let interval = -(1.0 - self.random.random::<f64>()).ln() / (RATE * factor);
        self.schedule(Duration::from_secs_f64(interval), Event::Arrival);
        let request = LiveRequest {
            customer: self.draw_customer(),
            daemon: self.draw_daemon(),
            is_single: self.random.random_bool(SINGLE_FRACTION),
            arrived: self.now,
            tried: Vec::new(),
            failed_at: None,
        };
        if self.counts(&request) {
            match request.is_single {
                true => self.figures.single += 1,
                false => self.figures.double += 1,
            }
        }
        self.place(Box::new(request));
    }

    fn counts(&self, request: &LiveRequest) -> bool {
        request.arrived.since(BEGIN) >= FAULT_BEGIN
    }

    fn draw_customer(&mut self) -> usize {
        let small = CUSTOMERS - LARGE_CUSTOMERS;
        let drawn = self
            .random
            .random_range(0..LARGE_CUSTOMERS * LARGE_WEIGHT + small);
        match drawn < LARGE_CUSTOMERS * LARGE_WEIGHT {
            true => drawn / LARGE_WEIGHT,
            false => LARGE_CUSTOMERS + drawn - LARGE_CUSTOMERS * LARGE_WEIGHT,
        }
    }

    fn draw_daemon(&mut self) -> usize {
        let all: f64 = self.weights.iter().sum();
        loop {
            let mut drawn = self.random.random_range(0.0..all);
            let position = self.weights.iter().position(|it| {
                drawn -= it;
                drawn < 0.0
            });
            let daemon = position.unwrap_or(0);
            if !self.is_lost(daemon) {
                return daemon;
            }
        }
    }

    fn place(&mut self, mut request: Box<LiveRequest>) {
        let now = self.now;
        let zone = zone_name(request.daemon);
        let query = PlacementQuery {
            service: "drafts",
            zone: &zone,
            exclude: &request.tried,
            max_wait: MAX_WAIT,
            software: None,
            parts: &[],
        };
        let table = &mut self.tables[request.daemon];
        let is_first = request.tried.is_empty();
        let mut placement = None;
        if !request.is_single && is_first {
            placement = table.choose_trial(query, now, &mut self.random);
        }
        let placement = match placement {
            Some(placement) => Ok(placement),
            None => table.choose_live(query, now, &mut self.random),
        };
        let Ok(placement) = placement else {
            if self.counts(&request) {
                self.figures.refused += 1;
            }
            return;
        };
        let server = placement.server;
        table.begin(server, WorkKind::Live, now);
        self.mark_changed(request.daemon);
        request.tried.push(server);
        let index = server.index();
        if request.is_single && now.since(BEGIN) >= FAULT_END {
            self.used_at[index].get_or_insert(now);
        }
        if self.fails(index, request.customer) {
            self.schedule(FAILURE_DURATION, Event::Failure(request));
        } else if self.running[index] < SLOTS {
            self.begin(request);
        } else {
            self.waiting[index].push_back(request);
        }
    }

    /// Begins a request in a slot of the server that was tried last.
    fn begin(&mut self, request: Box<LiveRequest>) {
        let server = request.tried[request.tried.len() - 1].index();
        self.running[server] += 1;
        if self.counts(&request) {
            self.figures.runs[server] += 1;
        }
        self.schedule(FIRST_EVENT, Event::Started(request.clone()));
        self.schedule(REQUEST_DURATION, Event::End(request));
    }

    fn end(&mut self, request: &LiveRequest) {
        let server = request.tried[request.tried.len() - 1];
        let now = self.now;
        self.tables[request.daemon].end(server, WorkKind::Live);
        self.tables[request.daemon].note(server, ServerOutcomeKind::Answered, now);
        self.mark_changed(request.daemon);
        self.running[server.index()] -= 1;
        if let Some(next) = self.waiting[server.index()].pop_front() {
            self.begin(next);
        }
    }

    fn fail(&mut self, mut request: Box<LiveRequest>) {
        let server = request.tried[request.tried.len() - 1];
        let now = self.now;
        let table = &mut self.tables[request.daemon];
        table.end(server, WorkKind::Live);
        let outcome = match self.scenario.approach {
            Approach::EjectAfterTwo => ServerOutcomeKind::Broken,
            _ => ServerOutcomeKind::Answered,
        };
        table.note(server, outcome, now);
        self.mark_changed(request.daemon);
        if request.is_single {
            self.record(&request, server, AnswerEvidence::Failed);
        } else if let Some(former) = request.failed_at {
            self.record(&request, former, AnswerEvidence::FailedLikeOthers);
            self.record(&request, server, AnswerEvidence::FailedLikeOthers);
        } else {
            request.failed_at = Some(server);
            self.place(request);
            return;
        }
        if self.counts(&request) {
            match request.is_single {
                true => self.figures.single_failed += 1,
                false => self.figures.double_failed += 1,
            }
        }
    }

    fn record(&mut self, request: &LiveRequest, server: ServerId, evidence: AnswerEvidence) {
        if matches!(
            self.scenario.approach,
            Approach::Ignore | Approach::EjectAfterTwo
        ) {
            return;
        }
        let customer = name_hash(&format!("customer-{}", request.customer));
        let now = self.now;
        let table = &mut self.tables[request.daemon];
        let change = table.record_answer(server, customer, evidence, now);
        if change.is_some_and(|it| it.is_recovery) {
            let peers: Vec<usize> = (0..DAEMONS).filter(|it| *it != request.daemon).collect();
            self.figures.urgent_reports += 1;
            self.send_report(request.daemon, &peers);
        }
    }

    /// Has the daemon report to those with which it shares servers.
    fn mark_changed(&mut self, daemon: usize) {
        if !self.is_near_due[daemon] {
            self.is_near_due[daemon] = true;
            self.schedule(NEAR_DELAY, Event::NearReport(daemon));
        }
    }

    fn send_report(&mut self, from: usize, to: &[usize]) {
        if self.is_lost(from) {
            return;
        }
        let failures = match self.scenario.approach {
            Approach::Compare => self.tables[from].own_failures(self.now),
            _ => Vec::new(),
        };
        let report = Rc::new(Report {
            shares: self.tables[from].own_shares(),
            failures,
        });
        for to in to {
            let event = Event::Report(from, *to, report.clone());
            self.schedule(self.scenario.report_delay, event);
        }
    }

    fn sample(&mut self) {
        self.schedule(SAMPLE_INTERVAL, Event::Sample);
        let passed = self.now.since(BEGIN);
        if passed < FAULT_BEGIN {
            return;
        }
        self.samples += 1;
        for daemon in 0..DAEMONS {
            for server in 0..SERVERS {
                let id = ServerId(server as u32);
                if !self.tables[daemon].avoids(id, self.now) {
                    continue;
                }
                let pair = (self.tables[daemon].key(id), peer(daemon));
                self.avoided[server] += usize::from(self.homes.contains(&pair));
                if passed >= FAULT_END && self.is_faulty(server) {
                    self.figures.recovered_after = passed - FAULT_END;
                }
            }
        }
    }
}
