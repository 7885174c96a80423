//! A replay, on virtual time, of daemons whose servers get more live requests than fit.

use std::{collections::VecDeque, time::Duration};

use comfreyramp_policy::{
    ServerId, Timestamp,
    overload::{ReturnPlan, ReturnQuery, TimeLeft, WaitingRequest, WaitingRequests, has_live_room},
    placement::{Placement, PlacementRefusal, ServerListing, WorkKind},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::placement_replay::{
    Daemons, EventQueue, FAR_INTERVAL, LIVE_STEPS, LoadSteps, listing, peer, query, slot_report,
    zone_name,
};

const DAEMONS: usize = 8;
/// How old a daemon's count of another daemon's requests becomes.
const REPORT_INTERVAL: Duration = FAR_INTERVAL;
/// The time in which a request or an answer travels between a daemon and a server.
const TRAVEL_TIME: Duration = Duration::from_millis(1);
/// The load's phases: their lengths and rates relative to the mean.
const STEPS: LoadSteps = LoadSteps {
    low: 0.38,
    ..LIVE_STEPS
};
/// Four times both phases.
const RUN_DURATION: Duration = Duration::from_millis(23_200);
/// The fractions are those of `live_request.rs`.
const START_FRACTION: f64 = 0.7;
const RETRY_WAIT_FRACTION: f64 = 0.4;
/// The part of their time left for which most callers honour a Retry-After.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;
/// The callers that honour a Retry-After wholly.
const OBEDIENT_FRACTION: f64 = 0.04;
/// The relative loads of the customers: the first sends 7.5 times its usual load.
const CUSTOMER_LOADS: [f64; 3] = [7.5, 1.0, 1.0];
/// The fraction of requests of the higher rank.
const HIGH_RANK_FRACTION: f64 = 0.4;
/// While all machines are down, callers try again at this interval.
const CONNECT_INTERVAL: Duration = Duration::from_millis(250);

/// How requests wait and what refused callers are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Way {
    /// Whether requests wait at the daemon; else they wait at servers.
    pub(crate) has_queue: bool,
    /// Whether callers are told planned times; else twice the excess wait.
    pub(crate) has_plan: bool,
}

/// The servers of a replay, and what callers expect of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shape {
    pub(crate) name: &'static str,
    pub(crate) servers: usize,
    pub(crate) slots: usize,
    /// The mean time for which a request holds its slot.
    pub(crate) hold: Duration,
    pub(crate) objective: Duration,
    pub(crate) timeout: Duration,
}

pub(crate) const PLAIN: Shape = Shape {
    name: "plain 3 x 6",
    servers: 3,
    slots: 6,
    hold: Duration::from_millis(60),
    objective: Duration::from_millis(400),
    timeout: Duration::from_secs(3),
};
pub(crate) const ENGINES: Shape = Shape {
    name: "engines 16 x 8",
    servers: 16,
    slots: 8,
    hold: Duration::from_millis(840),
    objective: Duration::from_millis(300),
    timeout: Duration::from_secs(5),
};

impl Shape {
    /// The requests that fit, per second.
    pub(crate) fn capacity(&self) -> f64 {
        (self.servers * self.slots) as f64 / self.hold.as_secs_f64()
    }
}

/// What became of the callers of a replay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    pub(crate) callers: u32,
    /// Started in time at the first attempt.
    pub(crate) in_time: u32,
    /// Refused once and started in time at the retry.
    pub(crate) in_time_returned: u32,
    pub(crate) late: u32,
    pub(crate) refused: u32,
}

impl Outcomes {
    pub(crate) fn all_in_time(&self) -> u32 {
        self.in_time + self.in_time_returned
    }

    pub(crate) fn add(&mut self, other: &Outcomes) {
        self.callers += other.callers;
        self.in_time += other.in_time;
        self.in_time_returned += other.in_time_returned;
        self.late += other.late;
        self.refused += other.refused;
    }
}

/// The result of a replay.
#[derive(Clone, Debug, Default)]
pub(crate) struct Report {
    pub(crate) all: Outcomes,
    pub(crate) by_rank: [Outcomes; 2],
    pub(crate) by_customer: [Outcomes; 3],
    /// By the second of the first attempt.
    pub(crate) seconds: Vec<Outcomes>,
    /// Callers that were promised capacity.
    pub(crate) promised: u32,
    /// Of the promised returns, those that started.
    pub(crate) kept: u32,
}

impl Report {
    /// Returns the smallest share, in any second, of those in time in what fits or came.
    pub(crate) fn worst_second(&self, capacity: f64) -> f64 {
        let seconds = self.seconds.iter().filter(|it| it.callers >= 10);
        let share =
            |it: &Outcomes| f64::from(it.all_in_time()) / f64::from(it.callers).min(capacity);
        seconds.map(share).fold(f64::INFINITY, f64::min)
    }
}

#[derive(Clone, Copy, Debug)]
struct Caller {
    first_sent: Timestamp,
    sent: Timestamp,
    deadline: Timestamp,
    customer: usize,
    rank: u32,
    attempts: u32,
    is_obedient: bool,
    was_promised: bool,
    daemon: usize,
    is_settled: bool,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Arrival,
    Attempt(usize),
    ServerArrival {
        server: usize,
        caller: usize,
        life: u32,
        has_slot: bool,
    },
    FirstBytes {
        server: usize,
        daemon: usize,
        life: u32,
    },
    End {
        server: usize,
        life: u32,
    },
    Freed {
        server: usize,
        daemon: usize,
        life: u32,
        held: Option<Duration>,
    },
    Report {
        daemon: usize,
    },
    Expiry {
        daemon: usize,
    },
    Outage,
    Restart,
}

#[derive(Clone, Copy, Debug)]
struct Job {
    caller: usize,
    has_slot: bool,
}

struct Server {
    running: usize,
    waiting: VecDeque<Job>,
}

/// The requests that wait at a daemon, and the returns that it has planned.
struct LiveQueue {
    waiting: WaitingRequests,
    plan: ReturnPlan,
}

pub(crate) struct Replay {
    shape: Shape,
    way: Way,
    load: f64,
    now: Timestamp,
    events: EventQueue<Event>,
    servers: Vec<Server>,
    daemons: Daemons,
    /// One of each daemon.
    queues: Vec<LiveQueue>,
    callers: Vec<Caller>,
    random: StdRng,
    /// Increases with each restart of all machines.
    life: u32,
    is_down: bool,
    begin: Timestamp,
    report: Report,
}

impl Replay {
    pub(crate) fn new(shape: Shape, way: Way, load: f64, seed: u64) -> Self {
        let begin = Timestamp::from_micros(10_000_000);
        let mut replay = Replay {
            shape,
            way,
            load,
            now: begin,
            events: EventQueue::new(),
            servers: Vec::new(),
            daemons: Daemons::new(Vec::new(), &[], begin),
            queues: Vec::new(),
            callers: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            life: 0,
            is_down: false,
            begin,
            report: Report::default(),
        };
        replay.start_machines();
        replay.add(Duration::ZERO, Event::Arrival);
        replay
    }

    /// All machines go down after `at` and are back, at the same moment, after `length`.
    pub(crate) fn with_outage(mut self, at: Duration, length: Duration) -> Self {
        self.add(at, Event::Outage);
        self.add(at + length, Event::Restart);
        self
    }

    pub(crate) fn run(mut self) -> Report {
        while let Some((time, event)) = self.events.pop() {
            if time.since(self.begin) > RUN_DURATION + self.shape.timeout * 2 {
                break;
            }
            self.now = time;
            self.handle(event);
        }
        self.report
    }

    fn add(&mut self, delay: Duration, event: Event) {
        self.events.add(self.now + delay, event);
    }

    fn start_machines(&mut self) {
        let listings: Vec<ServerListing> = (0..self.shape.servers)
            .map(|it| listing(it, self.shape.slots))
            .collect();
        self.daemons = Daemons::new((0..DAEMONS).map(peer).collect(), &listings, self.now);
        let queue = |_| LiveQueue {
            waiting: WaitingRequests::default(),
            plan: ReturnPlan::default(),
        };
        self.queues = (0..DAEMONS).map(queue).collect();
        let server = |_| Server {
            running: 0,
            waiting: VecDeque::new(),
        };
        self.servers = (0..self.shape.servers).map(server).collect();
        if self.life == 0 {
            for daemon in 0..DAEMONS {
                let delay = REPORT_INTERVAL.mul_f64(self.random.random());
                self.add(delay, Event::Report { daemon });
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => self.arrival(),
            Event::Attempt(caller) => self.attempt(caller),
            Event::ServerArrival {
                server,
                caller,
                life,
                has_slot,
            } if life == self.life => {
                self.servers[server]
                    .waiting
                    .push_back(Job { caller, has_slot });
                self.run_server(server);
            }
            Event::FirstBytes {
                server,
                daemon,
                life,
            } if life == self.life => {
                let state = &self.servers[server];
                let report = slot_report(state.running, state.waiting.len(), self.shape.slots);
                self.daemons.tables[daemon].report(ServerId(server as u32), report, self.now);
                self.dispatch(daemon);
            }
            Event::End { server, life } if life == self.life => {
                self.servers[server].running -= 1;
                self.run_server(server);
            }
            Event::Freed {
                server,
                daemon,
                life,
                held,
            } if life == self.life => {
                let table = &mut self.daemons.tables[daemon];
                table.end(ServerId(server as u32), WorkKind::Live);
                if let Some(held) = held {
                    table.record_hold_time(ServerId(server as u32), held);
                }
                self.dispatch(daemon);
            }
            Event::Report { daemon } => {
                self.daemons.report_to_all(daemon, self.now);
                for other in (0..DAEMONS).filter(|it| *it != daemon) {
                    self.dispatch(other);
                }
                self.add(REPORT_INTERVAL, Event::Report { daemon });
            }
            Event::Expiry { daemon } => self.dispatch(daemon),
            Event::Outage => {
                self.is_down = true;
                self.life += 1;
                self.start_machines();
                // Requests that were on their way are sent again.
                for caller in 0..self.callers.len() {
                    if !self.callers[caller].is_settled {
                        self.add(CONNECT_INTERVAL, Event::Attempt(caller));
                    }
                }
            }
            Event::Restart => self.is_down = false,
            _ => {}
        }
    }

    fn arrival(&mut self) {
        let since = self.now.since(self.begin);
        if since >= RUN_DURATION {
            return;
        }
        let rate = self.shape.capacity() * self.load * STEPS.at(since);
        let gap = -(1.0 - self.random.random::<f64>()).ln() / rate;
        self.add(Duration::from_secs_f64(gap), Event::Arrival);
        let mut drawn = self.random.random_range(0.0..CUSTOMER_LOADS.iter().sum());
        let customer = CUSTOMER_LOADS.iter().position(|it| {
            drawn -= it;
            drawn < 0.0
        });
        let caller = Caller {
            first_sent: self.now,
            sent: self.now,
            deadline: self.now + self.shape.timeout,
            customer: customer.unwrap_or(0),
            rank: u32::from(!self.random.random_bool(HIGH_RANK_FRACTION)),
            attempts: 0,
            is_obedient: self.random.random_bool(OBEDIENT_FRACTION),
            was_promised: false,
            daemon: 0,
            is_settled: false,
        };
        self.callers.push(caller);
        self.attempt(self.callers.len() - 1);
    }

    fn attempt(&mut self, number: usize) {
        if self.callers[number].deadline <= self.now {
            return self.settle(number, |it| &mut it.refused);
        }
        if self.is_down {
            return self.add(CONNECT_INTERVAL, Event::Attempt(number));
        }
        let daemon = self.random.random_range(0..DAEMONS);
        let caller = &mut self.callers[number];
        caller.sent = self.now;
        caller.daemon = daemon;
        caller.attempts += 1;
        let max_wait = self.max_wait(number);
        if !self.way.has_queue {
            match self.choose(daemon, max_wait) {
                Ok(placement) => self.send(number, placement),
                Err(retry_after) => self.refuse(number, retry_after),
            }
            return;
        }
        if self.queues[daemon].waiting.is_empty()
            && let Ok(placement) = self.choose(daemon, max_wait)
            && has_live_room(placement.expected_wait)
        {
            return self.send(number, placement);
        }
        let request = self.request(number);
        match self.queues[daemon].waiting.push(request, self.now) {
            Ok(evicted) => {
                if let Some(evicted) = evicted {
                    self.refuse(evicted as usize, Duration::from_millis(500));
                }
                self.add(self.in_time_wait(), Event::Expiry { daemon });
                self.add(max_wait, Event::Expiry { daemon });
                self.dispatch(daemon);
            }
            Err(late) => {
                let excess = late.expected_wait.saturating_sub(max_wait);
                self.refuse(number, twice(excess));
            }
        }
    }

    fn time_left(&self, number: usize) -> TimeLeft {
        TimeLeft {
            left: self.callers[number].deadline.since(self.now),
            timeout: self.shape.timeout,
        }
    }

    fn in_time_wait(&self) -> Duration {
        self.shape.objective.mul_f64(START_FRACTION)
    }

    fn max_wait(&self, number: usize) -> Duration {
        let time_left = self.time_left(number);
        match time_left.is_retry() {
            true => time_left.left.mul_f64(RETRY_WAIT_FRACTION),
            false => self.in_time_wait(),
        }
    }

    fn request(&self, number: usize) -> WaitingRequest {
        let caller = &self.callers[number];
        WaitingRequest {
            number: number as u64,
            customer: caller.customer as u64,
            priority: caller.rank,
            is_promised_return: self.way.has_plan && self.time_left(number).is_promised_return(),
            in_time_until: self.now + self.in_time_wait(),
            latest_start: self.now + self.max_wait(number),
        }
    }

    fn choose(&mut self, daemon: usize, max_wait: Duration) -> Result<Placement, Duration> {
        let zone = zone_name(0);
        let query = query(&zone, max_wait);
        let table = &self.daemons.tables[daemon];
        match table.choose_live(query, self.now, &mut self.random) {
            Ok(placement) => Ok(placement),
            Err(PlacementRefusal::Full { retry_after, .. }) => Err(retry_after),
            Err(PlacementRefusal::NoServer) => Err(Duration::from_millis(500)),
        }
    }

    /// Starts what can start at a daemon, and refuses what can't start in time any more.
    fn dispatch(&mut self, daemon: usize) {
        let mut late = Vec::new();
        while !self.queues[daemon].waiting.is_empty() {
            let Ok(placement) = self.choose(daemon, Duration::MAX) else {
                break;
            };
            let now = self.now;
            if !has_live_room(placement.expected_wait) {
                break;
            }
            let waiting = &mut self.queues[daemon].waiting;
            if let Some(next) = waiting.start_next(placement.expected_wait, now, &mut late) {
                self.send(next as usize, placement);
            }
        }
        late.extend(self.queues[daemon].waiting.take_late(self.now));
        for number in late {
            self.refuse(number as usize, twice(Duration::ZERO));
        }
    }

    fn send(&mut self, number: usize, placement: Placement) {
        let daemon = self.callers[number].daemon;
        self.queues[daemon].plan.record_start(self.now);
        let table = &mut self.daemons.tables[daemon];
        let has_slot = table.begin(placement.server, WorkKind::Live, self.now);
        let event = Event::ServerArrival {
            server: placement.server.index(),
            caller: number,
            life: self.life,
            has_slot,
        };
        self.add(TRAVEL_TIME, event);
    }

    fn run_server(&mut self, server: usize) {
        while self.servers[server].running < self.shape.slots {
            let Some(job) = self.servers[server].waiting.pop_front() else {
                return;
            };
            self.servers[server].running += 1;
            let hold = self.shape.hold.mul_f64(self.random.random_range(0.6..1.4));
            let life = self.life;
            let daemon = self.callers[job.caller].daemon;
            let first_event = hold.min(Duration::from_millis(50)) + TRAVEL_TIME;
            self.add(
                first_event,
                Event::FirstBytes {
                    server,
                    daemon,
                    life,
                },
            );
            self.add(hold, Event::End { server, life });
            let held = job.has_slot.then_some(hold + TRAVEL_TIME * 2);
            let freed = Event::Freed {
                server,
                daemon,
                life,
                held,
            };
            self.add(hold + TRAVEL_TIME, freed);
            let caller = self.callers[job.caller];
            let wait = self.now.since(caller.sent);
            let is_in_time = wait <= self.shape.objective.mul_f64(START_FRACTION) + TRAVEL_TIME;
            self.report.kept += u32::from(caller.was_promised);
            self.settle(job.caller, |it| match (is_in_time, caller.attempts) {
                (false, _) => &mut it.late,
                (true, 1) => &mut it.in_time,
                (true, _) => &mut it.in_time_returned,
            });
        }
    }

    fn refuse(&mut self, number: usize, retry_after: Duration) {
        let caller = self.callers[number];
        if caller.attempts >= 2 {
            return self.settle(number, |it| &mut it.refused);
        }
        let left = caller.deadline.since(self.now);
        let honoured = left.mul_f64(HONOURED_FRACTION);
        let mut delay = retry_after;
        if self.way.has_plan {
            let query = ReturnQuery {
                priority: caller.rank,
                time_left: self.time_left(number),
            };
            let plan = &mut self.queues[caller.daemon].plan;
            let time = plan.plan(query, self.now, &mut self.random);
            delay = time.delay;
            self.callers[number].was_promised = time.is_promised;
            self.report.promised += u32::from(time.is_promised);
        }
        if !caller.is_obedient {
            delay = delay.min(honoured);
        }
        self.add(delay, Event::Attempt(number));
    }

    fn settle(&mut self, number: usize, field: impl Fn(&mut Outcomes) -> &mut u32) {
        let caller = &mut self.callers[number];
        if caller.is_settled {
            return;
        }
        caller.is_settled = true;
        let caller = *caller;
        let second = caller.first_sent.since(self.begin).as_secs() as usize;
        if self.report.seconds.len() <= second {
            self.report.seconds.resize(second + 1, Outcomes::default());
        }
        for outcomes in [
            &mut self.report.all,
            &mut self.report.by_rank[caller.rank as usize],
            &mut self.report.by_customer[caller.customer],
            &mut self.report.seconds[second],
        ] {
            outcomes.callers += 1;
            *field(outcomes) += 1;
        }
    }
}

/// Returns the delay that callers are told today.
fn twice(excess: Duration) -> Duration {
    (excess * 2).clamp(Duration::from_millis(250), Duration::from_millis(1_500))
}
