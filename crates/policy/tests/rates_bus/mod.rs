//! A seeded message bus on virtual time between ledgers, with delays, message losses,
//! network cuts, and paused and lost daemons. Each daemon has its own clock.
#![allow(dead_code, reason = "each test file uses a part")]

pub(crate) mod checks;

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap},
    time::Duration,
};

use comfreyramp_policy::{
    DaemonId, Timestamp,
    rates::{
        CustomerKey, CustomerRate, Decision, ExpulsionTracker, LedgerTiming, MemberState, Outgoing,
        RateAnswer, RateRequest, RosterMember, ShareLedger, TokenAttempt, ZoneRoster,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

pub(crate) const SECOND: u64 = 1_000_000;

/// A fault or change that is injected into the fleet.
#[derive(Clone, Debug)]
pub(crate) enum Fault {
    /// The daemon is paused for the given microseconds; its clock continues.
    Pause(usize, u64),
    /// The daemon is lost and removed from the VM list.
    Kill(usize),
    /// The VM list no longer has the daemon, although it is running.
    Unlist(usize),
    /// A new process of the same name starts on the VM.
    Restart(usize),
    /// The zone can't reach other zones or the platform for the given microseconds.
    Cut(usize, u64),
    /// No daemon can reach the platform for the given microseconds.
    Outage(u64),
    /// Operators change the rates.
    Rates(Vec<CustomerRate>),
    /// The fraction of messages that are lost from now on (0 for none).
    Loss(f64),
}

#[derive(Clone, Debug)]
enum Event {
    Arrive(usize, CustomerKey),
    Tick(usize, u64),
    Heartbeat(usize, u64),
    Ask {
        from: usize,
        to: usize,
        rate_request: RateRequest,
        request: Option<(usize, u32)>,
    },
    Answer {
        to: usize,
        from: usize,
        answer: RateAnswer,
        request: Option<(usize, u32)>,
    },
    Timeout {
        daemon: usize,
        request: usize,
        number: u32,
    },
    Fault(Fault),
}

struct Member {
    ledger: ShareLedger,
    expulsion_tracker: ExpulsionTracker,
    incarnation: u64,
    offset: u64,
    drift_ppm: i64,
    alive: bool,
    listed: bool,
    paused_until: u64,
    last_read: u64,
    version: u64,
    last_received: BTreeMap<usize, u64>,
}

/// A request and its outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Request {
    pub(crate) customer: CustomerKey,
    pub(crate) daemon: usize,
    pub(crate) arrived: u64,
    pub(crate) decided: u64,
    pub(crate) admitted: bool,
    process: u64,
    number: u32,
    attempt: Option<TokenAttempt>,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct BusOptions {
    pub(crate) zones: usize,
    pub(crate) per_zone: usize,
    pub(crate) seed: u64,
    pub(crate) timing: LedgerTiming,
    /// The maximum delay of a message within a zone and between zones, in microseconds.
    pub(crate) delays: (u64, u64),
    /// The time between two ticks, in microseconds.
    pub(crate) tick: u64,
    /// Whether the last daemon of each zone isn't running yet; [`Fault::Restart`]
    /// starts it.
    pub(crate) is_last_late: bool,
}

impl Default for BusOptions {
    fn default() -> Self {
        BusOptions {
            zones: 3,
            per_zone: 3,
            seed: 1,
            timing: LedgerTiming::default(),
            delays: (500, 2_000),
            tick: 250_000,
            is_last_late: false,
        }
    }
}

pub(crate) struct RateBus {
    pub(crate) options: BusOptions,
    pub(crate) requests: Vec<Request>,
    /// Messages by kind: tokens, slices, returns, settlements.
    pub(crate) messages: [u64; 4],
    /// The slices that were requested in all messages.
    pub(crate) slices: u64,
    pub(crate) rosters: Vec<ZoneRoster>,
    pub(crate) now: u64,
    version: u64,
    /// The version at which each roster was last written.
    modified: Vec<u64>,
    rates: Vec<CustomerRate>,
    members: Vec<Member>,
    cut_until: Vec<u64>,
    outage_until: u64,
    loss: f64,
    random: StdRng,
    events: BinaryHeap<Reverse<(u64, u64, usize)>>,
    pending: Vec<Option<Event>>,
}

impl RateBus {
    pub(crate) fn new(options: BusOptions, rates: &[CustomerRate]) -> Self {
        let count = options.zones * options.per_zone;
        let mut bus = RateBus {
            options,
            requests: Vec::new(),
            messages: [0; 4],
            slices: 0,
            rosters: vec![ZoneRoster::default(); options.zones],
            now: 0,
            version: 1,
            modified: vec![1; options.zones],
            rates: rates.to_vec(),
            members: Vec::new(),
            cut_until: vec![0; options.zones],
            outage_until: 0,
            loss: 0.0,
            random: StdRng::seed_from_u64(options.seed),
            events: BinaryHeap::new(),
            pending: Vec::new(),
        };
        for daemon in 0..count {
            let member = bus.new_member(daemon);
            bus.members.push(member);
        }
        let is_late = |daemon: &usize| (daemon + 1).is_multiple_of(options.per_zone);
        let early = (0..count).filter(|it| !options.is_last_late || !is_late(it));
        let early: Vec<usize> = early.collect();
        for daemon in (0..count).filter(|it| !early.contains(it)) {
            bus.members[daemon].alive = false;
        }
        for daemon in &early {
            bus.join(*daemon);
        }
        for daemon in &early {
            bus.take_slots(*daemon);
        }
        for daemon in &early {
            bus.heartbeat(*daemon);
        }
        bus
    }

    /// Schedules requests: time, daemon, customer.
    pub(crate) fn arrivals(
        &mut self,
        arrivals: impl IntoIterator<Item = (u64, usize, CustomerKey)>,
    ) {
        for (at, daemon, customer) in arrivals {
            self.schedule(at, Event::Arrive(daemon, customer));
        }
    }

    pub(crate) fn fault(&mut self, at: u64, fault: Fault) {
        self.schedule(at, Event::Fault(fault));
    }

    pub(crate) fn run_until(&mut self, end: u64) {
        while let Some(Reverse((at, _, index))) = self.events.peek().copied() {
            if at > end {
                break;
            }
            self.events.pop();
            self.now = at;
            if let Some(event) = self.pending[index].take() {
                self.handle_event(event);
            }
        }
        self.now = end;
    }

    pub(crate) fn footprint(&self, daemon: usize) -> usize {
        self.members[daemon].ledger.memory_size()
    }

    /// Returns the admission times of one customer, in true time.
    pub(crate) fn admitted(&self, customer: CustomerKey) -> Vec<u64> {
        let requests = self.requests.iter();
        let admitted = requests.filter(|request| request.customer == customer && request.admitted);
        let mut times: Vec<u64> = admitted.map(|request| request.decided).collect();
        times.sort_unstable();
        times
    }

    fn new_member(&mut self, daemon: usize) -> Member {
        let offset = self.random.random_range(0..1_000 * SECOND);
        let drift_ppm = self.random.random_range(-400..=400);
        let first_id = self.random.random();
        let mut member = Member {
            ledger: self.new_ledger(daemon, first_id, Timestamp::ZERO),
            expulsion_tracker: ExpulsionTracker::default(),
            incarnation: self.random.random(),
            offset,
            drift_ppm,
            alive: true,
            listed: true,
            paused_until: 0,
            last_read: 0,
            version: 0,
            last_received: BTreeMap::new(),
        };
        let now = local_time(&member, self.now);
        member.ledger = self.new_ledger(daemon, first_id, now);
        let start = self.now + self.random.random_range(0..self.options.tick);
        self.schedule(start, Event::Tick(daemon, member.incarnation));
        self.schedule(start, Event::Heartbeat(daemon, member.incarnation));
        member
    }

    fn new_ledger(&self, daemon: usize, first_id: u64, now: Timestamp) -> ShareLedger {
        let BusOptions {
            zones,
            per_zone,
            timing,
            ..
        } = self.options;
        let me = DaemonId(daemon as u32);
        ShareLedger::new(me, daemon / per_zone, zones, timing, first_id, now)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        let index = self.pending.len();
        self.pending.push(Some(event));
        self.events.push(Reverse((at, index as u64, index)));
    }

    fn handle_event(&mut self, event: Event) {
        let daemon = match &event {
            Event::Arrive(daemon, _) | Event::Tick(daemon, _) | Event::Heartbeat(daemon, _) => {
                *daemon
            }
            Event::Ask { to, .. } | Event::Answer { to, .. } => *to,
            Event::Timeout { daemon, .. } => *daemon,
            Event::Fault(fault) => {
                let fault = fault.clone();
                return self.apply(fault);
            }
        };
        let member = &self.members[daemon];
        if member.paused_until > self.now {
            // A resumed process reads its sockets before it runs its timers.
            let timer = matches!(event, Event::Tick(..) | Event::Heartbeat(..));
            let until = member.paused_until + if timer { 100_000 } else { 0 };
            return self.schedule(until, event);
        }
        if !member.alive {
            return;
        }
        let now = local_time(member, self.now);
        match event {
            Event::Arrive(daemon, customer) => {
                // Load balancers send no requests to a daemon without settings.
                if member.last_read == 0 {
                    return;
                }
                let request = self.requests.len();
                self.requests.push(Request {
                    customer,
                    daemon,
                    arrived: self.now,
                    decided: self.now,
                    admitted: false,
                    process: member.incarnation,
                    number: 0,
                    attempt: None,
                });
                let decision = self.members[daemon].ledger.admit(customer, now);
                self.apply_decision(request, &decision);
            }
            Event::Tick(_, process) | Event::Heartbeat(_, process)
                if process != member.incarnation => {}
            Event::Tick(daemon, process) => {
                self.members[daemon].ledger.tick(now);
                self.schedule(self.now + self.options.tick, Event::Tick(daemon, process));
            }
            Event::Heartbeat(daemon, process) => {
                self.heartbeat(daemon);
                self.schedule(self.now + SECOND, Event::Heartbeat(daemon, process));
            }
            Event::Ask {
                from,
                to,
                rate_request,
                request,
            } => {
                let ledger = &mut self.members[to].ledger;
                let answer = ledger.handle_request(DaemonId(from as u32), &rate_request, now);
                self.send(
                    to,
                    from,
                    Event::Answer {
                        to: from,
                        from: to,
                        answer,
                        request,
                    },
                );
            }
            Event::Answer {
                to,
                from,
                answer,
                request,
            } => {
                self.receive(to, from, answer, request, now);
            }
            Event::Timeout {
                request, number, ..
            } => {
                if let Some(attempt) = self.take_attempt(request, number) {
                    let decision = self.members[daemon].ledger.on_timeout(attempt, now);
                    self.apply_decision(request, &decision);
                }
            }
            Event::Fault(_) => {}
        }
        for Outgoing {
            to,
            request: rate_request,
        } in self.members[daemon].ledger.take_outgoing()
        {
            let kind = match &rate_request {
                RateRequest::Tokens(_) => 0,
                RateRequest::Slices(wants) => {
                    self.slices += wants.len() as u64;
                    1
                }
                RateRequest::Return(_) => 2,
                RateRequest::Settle(_) => 3,
            };
            self.messages[kind] += 1;
            let to = to.index();
            let event = Event::Ask {
                from: daemon,
                to,
                rate_request,
                request: None,
            };
            self.send(daemon, to, event);
        }
    }

    fn receive(
        &mut self,
        to: usize,
        from: usize,
        answer: RateAnswer,
        request: Option<(usize, u32)>,
        now: Timestamp,
    ) {
        match answer {
            RateAnswer::Tokens(answer) => {
                let Some((request, number)) = request else {
                    return;
                };
                if let Some(attempt) = self.take_attempt(request, number) {
                    let decision = self.members[to].ledger.on_answer(attempt, answer, now);
                    self.apply_decision(request, &decision);
                }
            }
            RateAnswer::Slices(offers) => {
                let from = DaemonId(from as u32);
                self.members[to].ledger.accept_offers(from, &offers, now);
            }
            RateAnswer::Done => {}
        }
    }

    fn take_attempt(&mut self, request: usize, number: u32) -> Option<TokenAttempt> {
        let request = &mut self.requests[request];
        let process = self.members[request.daemon].incarnation;
        if request.number != number || request.process != process {
            return None;
        }
        request.attempt.take()
    }

    fn apply_decision(&mut self, index: usize, decision: &Decision) {
        let daemon = self.requests[index].daemon;
        let request = &mut self.requests[index];
        request.decided = self.now;
        match decision {
            Decision::Admitted => request.admitted = true,
            Decision::Refused { .. } => {}
            Decision::RequestToken {
                to,
                request: token_request,
                attempt,
            } => {
                let (to, token_request, attempt) = (*to, *token_request, *attempt);
                request.number += 1;
                request.attempt = Some(attempt);
                let number = request.number;
                self.messages[0] += 1;
                let rate_request = RateRequest::Tokens(token_request);
                let request = Some((index, number));
                let to = to.index();
                self.send(
                    daemon,
                    to,
                    Event::Ask {
                        from: daemon,
                        to,
                        rate_request,
                        request,
                    },
                );
                let answer = self.options.timing.request_timeout.as_micros() as u64;
                let event = Event::Timeout {
                    daemon,
                    request: index,
                    number,
                };
                self.schedule(self.now + answer, event);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, event: Event) {
        let zones = (from / self.options.per_zone, to / self.options.per_zone);
        let cut = |zone: usize| self.cut_until[zone] > self.now;
        if zones.0 != zones.1 && (cut(zones.0) || cut(zones.1)) {
            return;
        }
        if self.loss > 0.0 && self.random.random_bool(self.loss) {
            return;
        }
        let (near, far) = self.options.delays;
        let max_delay = if zones.0 == zones.1 { near } else { far };
        let delay = self.random.random_range(max_delay / 4..=max_delay);
        self.schedule(self.now + delay, event);
    }

    fn reaches_platform(&self, daemon: usize) -> bool {
        let zone = daemon / self.options.per_zone;
        self.outage_until <= self.now && self.cut_until[zone] <= self.now
    }

    /// Reads settings and rosters, receives the views of the zone's peers, expels lost
    /// ones.
    fn heartbeat(&mut self, daemon: usize) {
        let per_zone = self.options.per_zone;
        let zone = daemon / per_zone;
        let now = local_time(&self.members[daemon], self.now);
        let mut peers = Vec::new();
        for peer in (zone * per_zone..(zone + 1) * per_zone).filter(|peer| *peer != daemon) {
            if self.rosters[zone].member(&name(peer)).is_some() {
                peers.push(DaemonId(peer as u32));
            }
            let there = &self.members[peer];
            if there.alive && there.paused_until <= self.now {
                let age = Duration::from_micros(self.now - there.last_read);
                let (last_read, version) = (there.last_read, there.version);
                let here = &mut self.members[daemon];
                here.ledger.note_peer(DaemonId(peer as u32), now, now - age);
                here.ledger
                    .note_peer_revision(DaemonId(peer as u32), version as i64, now);
                here.last_received.insert(peer, self.now);
                if last_read > here.last_read && version == here.version {
                    here.last_read = last_read;
                    here.ledger.confirm_view(now - age);
                }
            }
        }
        if !self.reaches_platform(daemon) {
            return;
        }
        self.update_roster(daemon);
        let rosters = &self.rosters;
        let member = &mut self.members[daemon];
        member.last_read = self.now;
        member.version = self.version;
        member.ledger.set_members(&peers);
        member.ledger.set_rates(&self.rates, now);
        for (other, roster) in rosters.iter().enumerate() {
            let holders = roster.holders(|name| name.parse().ok().map(DaemonId));
            member.ledger.set_holders(other, &holders, 0, now);
        }
        member.ledger.note_roster(self.modified[zone] as i64, now);
        member.ledger.confirm_view(now);
    }

    /// Writes the changes that `daemon` has to make to its zone's roster, as it last
    /// read it.
    fn update_roster(&mut self, daemon: usize) {
        let zone = daemon / self.options.per_zone;
        let now = local_time(&self.members[daemon], self.now);
        let roster = self.rosters[zone].clone();
        self.members[daemon].expulsion_tracker.note(&roster, now);
        let member = &self.members[daemon];
        let number = |name: &str| name.parse::<usize>().unwrap_or_default();
        let gone = |name: &str| !self.members[number(name)].listed;
        let silent = |name: &str| {
            let last_received = member.last_received.get(&number(name)).copied();
            self.now - last_received.unwrap_or(0) > 5 * SECOND
        };
        let me = RosterMember {
            name: name(daemon),
            address: String::new(),
            incarnation: member.incarnation,
            state: MemberState::Active,
        };
        let wait = self.options.timing.expulsion_delay;
        let change = roster.next_change(&me, &member.expulsion_tracker, wait, gone, silent, now);
        let Some(change) = change else {
            return;
        };
        let revision = self.version;
        for (slot, taker) in change.handed_over {
            let taker = DaemonId(number(&taker) as u32);
            let ledger = &mut self.members[daemon].ledger;
            ledger.hand_over(slot, taker, revision as i64, now);
        }
        self.rosters[zone] = change.roster;
        self.version += 1;
        self.modified[zone] = self.version;
    }

    fn join(&mut self, daemon: usize) {
        let zone = daemon / self.options.per_zone;
        let incarnation = self.members[daemon].incarnation;
        if let Some(roster) = self.rosters[zone].with_member(&name(daemon), "", incarnation) {
            self.rosters[zone] = roster;
            self.version += 1;
            self.modified[zone] = self.version;
        }
    }

    fn take_slots(&mut self, daemon: usize) {
        let zone = daemon / self.options.per_zone;
        if let Some(roster) = self.rosters[zone].with_slots(&name(daemon)) {
            self.rosters[zone] = roster;
            self.version += 1;
            self.modified[zone] = self.version;
        }
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::Pause(daemon, micros) => self.members[daemon].paused_until = self.now + micros,
            Fault::Kill(daemon) => {
                self.members[daemon].alive = false;
                self.members[daemon].listed = false;
            }
            Fault::Unlist(daemon) => self.members[daemon].listed = false,
            Fault::Restart(daemon) => {
                // Events of the former process are dropped by their incarnation.
                self.members[daemon] = self.new_member(daemon);
            }
            Fault::Cut(zone, micros) => self.cut_until[zone] = self.now + micros,
            Fault::Outage(micros) => self.outage_until = self.now + micros,
            Fault::Rates(rates) => {
                self.rates = rates;
                self.version += 1;
            }
            Fault::Loss(fraction) => self.loss = fraction,
        }
    }
}

fn name(daemon: usize) -> String {
    daemon.to_string()
}

fn local_time(member: &Member, now: u64) -> Timestamp {
    let drift = now as i64 / 1_000 * member.drift_ppm / 1_000;
    Timestamp::from_micros(member.offset + (now as i64 + drift) as u64)
}
