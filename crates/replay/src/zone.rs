//! The simulation of a zone on virtual time.

use std::collections::BTreeMap;

use comfreyramp_load::trace::{EventKind, LiveEvent, TraceFile};
use comfreyramp_policy::{
    GroupId, ListedServer, LoadReport, PreemptibleLoad, RouteQuery, ServerId, ServerOutcome,
    ServerTable, Timestamp, ZoneId,
};
use comfreyramp_standins::engine::{
    BLOCK_TOKENS, EngineEvent, EngineEventKind, EngineModel, EngineRequest, PromptBlocks,
    SequenceId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    BulkPolicy, ReplayResult, ZonePlan,
    bulk_state::{BulkState, RunningItem},
    event_queue::EventQueue,
    lot_queue::LotQueue,
};

/// An event of the simulation. Numbers of type `usize` are server indexes, except
/// in [`ZoneEvent::Trace`].
#[derive(Debug)]
enum ZoneEvent {
    /// The event with this index in the trace is due.
    Trace(usize),
    /// A request reaches a server.
    Submit(usize, EngineRequest),
    /// A cancellation reaches a server.
    Cancel(usize, SequenceId),
    /// A server has produced engine events.
    Engine(usize),
    /// The home daemon receives a report of a live request on its way to a server.
    LiveReported(usize),
    /// The home daemon polls the load of a server.
    Poll(usize),
    /// The home daemon updates the bulk limiter of a server.
    Tick(usize),
}

/// A live request in flight.
#[derive(Debug)]
struct LiveRequest {
    customer: u32,
    daemon: usize,
    server: usize,
    arrived: Timestamp,
    sent: Timestamp,
    last_token: Option<Timestamp>,
}

struct ReplayZone<'a> {
    plan: &'a ZonePlan,
    trace: &'a TraceFile,
    queue: EventQueue<ZoneEvent>,
    random: StdRng,
    engines: Vec<EngineModel>,
    scheduled_at: Vec<Option<Timestamp>>,
    tables: Vec<ServerTable>,
    bulk_states: Vec<BulkState>,
    lots: LotQueue,
    live: BTreeMap<SequenceId, LiveRequest>,
    next_sequence: u64,
    result: ReplayResult,
}

/// Simulates a trace in a zone, up to the last event of the trace.
pub fn replay(plan: &ZonePlan, policy: BulkPolicy, trace: &TraceFile) -> ReplayResult {
    let mut zone = ReplayZone::new(plan, policy, trace);
    let end = trace
        .events
        .last()
        .map_or(Timestamp::ZERO, |it| Timestamp::ZERO + it.at);
    while let Some((now, event)) = zone.queue.pop() {
        if now > end {
            break;
        }
        zone.handle(event, now);
    }
    zone.result.span = end.since(Timestamp::ZERO);
    zone.result.ended_lots = zone.lots.count_ended();
    zone.result.late_lots = zone.lots.count_late(end);
    zone.result
}

impl<'a> ReplayZone<'a> {
    fn new(plan: &'a ZonePlan, policy: BulkPolicy, trace: &'a TraceFile) -> Self {
        let batch = plan.engine.batch as u32;
        let mut zone = ReplayZone {
            plan,
            trace,
            queue: EventQueue::default(),
            random: StdRng::seed_from_u64(plan.seed),
            engines: (0..plan.servers)
                .map(|_| EngineModel::new(plan.engine))
                .collect(),
            scheduled_at: vec![None; plan.servers],
            tables: (0..plan.daemons)
                .map(|_| list_servers(plan.servers))
                .collect(),
            bulk_states: (0..plan.servers)
                .map(|_| BulkState::new(policy, plan.limiter_timing, batch))
                .collect(),
            lots: LotQueue::default(),
            live: BTreeMap::new(),
            next_sequence: 0,
            result: ReplayResult::new(trace.customers.len()),
        };
        for (index, event) in trace.events.iter().enumerate() {
            zone.queue
                .add(Timestamp::ZERO + event.at, ZoneEvent::Trace(index));
        }
        for server in 0..plan.servers {
            zone.queue.add(Timestamp::ZERO, ZoneEvent::Poll(server));
            zone.queue.add(Timestamp::ZERO, ZoneEvent::Tick(server));
        }
        zone
    }

    fn handle(&mut self, event: ZoneEvent, now: Timestamp) {
        match event {
            ZoneEvent::Trace(index) => self.arrive(index, now),
            ZoneEvent::Submit(server, request) => {
                // The engine's queue can only be full under
                // `BulkPolicy::AllAtOnce`.
                let id = request.id;
                if self.engines[server].submit(now, request).is_err() {
                    self.reject(server, id, now);
                }
                self.schedule_engine_event(server);
            }
            ZoneEvent::Cancel(server, id) => {
                self.engines[server].cancel(now, id);
                self.schedule_engine_event(server);
            }
            ZoneEvent::Engine(server) => self.handle_engine_events(server, now),
            ZoneEvent::LiveReported(server) => {
                self.bulk_states[server].announce(now);
                self.preempt(server, now);
            }
            ZoneEvent::Poll(server) => {
                let report = self.read_load(server, now);
                self.bulk_states[server].report(report, now);
                self.report_bulk(server);
                self.queue
                    .add(now + self.plan.poll_interval, ZoneEvent::Poll(server));
            }
            ZoneEvent::Tick(server) => {
                self.bulk_states[server].tick(now);
                self.preempt(server, now);
                self.start_bulk_items(server, now);
                self.queue
                    .add(now + self.plan.tick_interval, ZoneEvent::Tick(server));
            }
        }
    }

    /// Reports the bulk work of a server to the other daemons, as the heartbeats of
    /// its home daemon do.
    fn report_bulk(&mut self, server: usize) {
        let others = self.bulk_states[server].running.len() as u32;
        let yielding = PreemptibleLoad { own: 0, others };
        let home = server % self.plan.daemons;
        for (daemon, table) in self.tables.iter_mut().enumerate() {
            if self.plan.reports_exchanged || daemon == home {
                table.set_preemptible(ServerId(server as u32), yielding);
            }
        }
    }

    fn arrive(&mut self, index: usize, now: Timestamp) {
        let trace = self.trace;
        match &trace.events[index].kind {
            EventKind::Live(live) => self.route_live(live, now),
            EventKind::Lot(lot) => self.lots.add(lot.clone(), now),
            EventKind::Plain(_) | EventKind::Fault(_) => {}
        }
    }

    fn route_live(&mut self, live: &LiveEvent, now: Timestamp) {
        let daemon = self.random.random_range(0..self.plan.daemons);
        let prefix = u64::from(live.customer) << 32 | u64::from(live.prefix);
        let query = RouteQuery::new(GroupId(0), ZoneId(0)).prefix(prefix);
        let table = &mut self.tables[daemon];
        let Some(id) = table.choose(&query, now, &mut self.random) else {
            return;
        };
        table.begin(id);
        let server = id.index();
        let sequence = self.new_sequence();
        let request = EngineRequest {
            id: sequence,
            prompt: live_prompt(live),
            first_token: 0,
            max_tokens: live.max_tokens,
        };
        let reached = now + self.plan.network_latency;
        self.queue.add(reached, ZoneEvent::Submit(server, request));
        if self.is_home(daemon, server) {
            self.bulk_states[server].live_begins(now);
            self.preempt(server, now);
        } else if self.plan.reports_exchanged {
            self.queue.add(reached, ZoneEvent::LiveReported(server));
        }
        let request = LiveRequest {
            customer: live.customer,
            daemon,
            server,
            arrived: now,
            sent: now,
            last_token: None,
        };
        self.live.insert(sequence, request);
    }

    /// Returns whether a daemon is the home daemon of a server.
    fn is_home(&self, daemon: usize, server: usize) -> bool {
        server % self.plan.daemons == daemon
    }

    /// Preempts the bulk items that exceed the current limit.
    fn preempt(&mut self, server: usize, now: Timestamp) {
        for running in self.bulk_states[server].remove_excess(now) {
            self.lots.requeue(running.item);
            self.result.cancelled += 1;
            let cancel = ZoneEvent::Cancel(server, running.sequence);
            self.queue.add(now + self.plan.network_latency, cancel);
        }
    }

    /// Starts bulk items as long as the limiter admits them.
    fn start_bulk_items(&mut self, server: usize, now: Timestamp) {
        while self.bulk_states[server].may_start(now) {
            let Some(item) = self.lots.next_item(now) else {
                return;
            };
            let sequence = self.new_sequence();
            let request = EngineRequest {
                id: sequence,
                prompt: self.lots.prompt(item),
                first_token: item.tokens,
                max_tokens: self.lots.max_tokens(item),
            };
            self.bulk_states[server].start(RunningItem { sequence, item }, now);
            self.queue.add(
                now + self.plan.network_latency,
                ZoneEvent::Submit(server, request),
            );
        }
    }

    fn reject(&mut self, server: usize, id: SequenceId, now: Timestamp) {
        if let Some(item) = self.bulk_states[server].end(id, now) {
            self.lots.requeue(item);
        }
    }

    /// Handles the engine events of a server.
    fn handle_engine_events(&mut self, server: usize, now: Timestamp) {
        if self.scheduled_at[server] == Some(now) {
            self.scheduled_at[server] = None;
        }
        for event in self.engines[server].advance(now) {
            if self.live.contains_key(&event.id) {
                self.handle_live_event(server, &event);
            } else {
                self.handle_bulk_event(server, &event);
            }
        }
        self.start_bulk_items(server, now);
        self.schedule_engine_event(server);
    }

    fn handle_live_event(&mut self, server: usize, event: &EngineEvent) {
        let report = self.read_load(server, event.at);
        let Some(live) = self.live.get_mut(&event.id) else {
            return;
        };
        let seen = event.at + self.plan.network_latency;
        let id = ServerId(server as u32);
        let table = &mut self.tables[live.daemon];
        match event.kind {
            EngineEventKind::Started { .. } => {}
            EngineEventKind::Token { .. } => match live.last_token.replace(seen) {
                None => {
                    let wait = seen.since(live.arrived);
                    self.result.record_first_token(wait);
                    table.first_token(id, seen.since(live.sent));
                    table.report(id, report, seen);
                    if wait > self.plan.max_first_token_time {
                        self.bulk_states[server].harm(seen);
                    }
                }
                Some(last) => {
                    let gap = seen.since(last);
                    self.result.record_gap(gap);
                    self.bulk_states[server].token_gap(gap, seen);
                }
            },
            EngineEventKind::Finished => {
                table.end(id, seen.since(live.sent));
                table.outcome(id, ServerOutcome::Ok, seen, &mut self.random);
                self.result.customers[live.customer as usize].live += 1;
                let daemon = live.daemon;
                debug_assert_eq!(live.server, server);
                self.live.remove(&event.id);
                if self.is_home(daemon, server) {
                    self.bulk_states[server].live_ends(seen);
                }
            }
        }
    }

    fn handle_bulk_event(&mut self, server: usize, event: &EngineEvent) {
        match event.kind {
            EngineEventKind::Started { .. } => {}
            EngineEventKind::Token { index } => {
                let state = &mut self.bulk_states[server];
                let found = state.running.iter().find(|it| it.sequence == event.id);
                let Some(item) = found.map(|it| it.item) else {
                    return;
                };
                state.record_token(event.id, index);
                let customer = self.lots.customer(item) as usize;
                self.result.bulk_tokens += 1;
                self.result.customers[customer].bulk_tokens += 1;
            }
            EngineEventKind::Finished => {
                if let Some(item) = self.bulk_states[server].end(event.id, event.at) {
                    self.lots.finish(item, event.at);
                }
            }
        }
    }

    fn read_load(&mut self, server: usize, now: Timestamp) -> LoadReport {
        let load = self.engines[server].reported_load(now);
        LoadReport {
            running: load.running as u32,
            waiting: load.waiting as u32,
            batch: self.plan.engine.batch as u32,
        }
    }

    /// Schedules the handling of the next engine event of a server.
    fn schedule_engine_event(&mut self, server: usize) {
        let Some(at) = self.engines[server].next_event() else {
            return;
        };
        if self.scheduled_at[server].is_none_or(|scheduled| at < scheduled) {
            self.scheduled_at[server] = Some(at);
            self.queue.add(at, ZoneEvent::Engine(server));
        }
    }

    fn new_sequence(&mut self) -> SequenceId {
        self.next_sequence += 1;
        SequenceId(self.next_sequence)
    }
}

fn list_servers(count: usize) -> ServerTable {
    let listed: Vec<ListedServer> = (0..count)
        .map(|number| ListedServer {
            name: format!("server-{number:03}"),
            address: format!("10.0.0.{number}:80"),
            ..ListedServer::default()
        })
        .collect();
    let mut table = ServerTable::default();
    table.apply_list(&listed, Timestamp::ZERO);
    table
}

fn live_prompt(live: &LiveEvent) -> PromptBlocks {
    let tokens = live.prefix_tokens + live.prompt_tokens;
    let shared = u64::from(live.customer) << 40 | u64::from(live.prefix) << 20;
    let own = live.text.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1 << 62;
    let shared_blocks = u64::from(live.prefix_tokens) / BLOCK_TOKENS as u64;
    let blocks = (0..u64::from(tokens) / BLOCK_TOKENS as u64)
        .map(|block| match block < shared_blocks {
            true => shared + block,
            false => own.wrapping_add(block),
        })
        .collect();
    PromptBlocks { tokens, blocks }
}
