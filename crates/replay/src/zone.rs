//! The zone on virtual time.

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
    bulk_side::{BulkSide, RunningItem},
    event_queue::EventQueue,
    lot_board::LotBoard,
};

/// What happens in the zone.
#[derive(Debug)]
enum ZoneEvent {
    /// An event of the trace.
    Trace(usize),
    /// A request reaches a server.
    Submit(usize, EngineRequest),
    /// A cancel reaches a server.
    Cancel(usize, SequenceId),
    /// A server has something to tell.
    Engine(usize),
    /// A home daemon hears of a live request on its way to a server.
    Announce(usize),
    /// The home daemon asks a server for its load.
    Poll(usize),
    /// The home daemon looks at a server's gate.
    Tick(usize),
}

/// A live request on its way.
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
    woken_at: Vec<Option<Timestamp>>,
    tables: Vec<ServerTable>,
    sides: Vec<BulkSide>,
    board: LotBoard,
    live: BTreeMap<SequenceId, LiveRequest>,
    next_sequence: u64,
    result: ReplayResult,
}

/// Replays a trace through a zone until its last arrival.
pub fn replay(plan: &ZonePlan, policy: BulkPolicy, trace: &TraceFile) -> ReplayResult {
    let mut zone = ReplayZone::new(plan, policy, trace);
    let end = trace
        .events
        .last()
        .map_or(Timestamp::ZERO, |it| Timestamp::ZERO + it.at);
    while let Some((now, event)) = zone.queue.take() {
        if now > end {
            break;
        }
        zone.handle(event, now);
    }
    zone.result.span = end.since(Timestamp::ZERO);
    zone.result.ended_lots = zone.board.ended();
    zone.result.late_lots = zone.board.late(end);
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
            woken_at: vec![None; plan.servers],
            tables: (0..plan.daemons)
                .map(|_| list_servers(plan.servers))
                .collect(),
            sides: (0..plan.servers)
                .map(|_| BulkSide::new(policy, plan.gate, batch))
                .collect(),
            board: LotBoard::default(),
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
                // A full queue can only be met where everything is sent at once.
                let id = request.id;
                if self.engines[server].submit(now, request).is_err() {
                    self.turn_away(server, id, now);
                }
                self.wake(server);
            }
            ZoneEvent::Cancel(server, id) => {
                self.engines[server].cancel(now, id);
                self.wake(server);
            }
            ZoneEvent::Engine(server) => self.listen(server, now),
            ZoneEvent::Announce(server) => {
                self.sides[server].announce(now);
                self.step_aside(server, now);
            }
            ZoneEvent::Poll(server) => {
                let report = self.read_load(server, now);
                self.sides[server].report(report, now);
                self.tell_bulk(server);
                self.queue
                    .add(now + self.plan.poll, ZoneEvent::Poll(server));
            }
            ZoneEvent::Tick(server) => {
                self.sides[server].tick(now);
                self.step_aside(server, now);
                self.fill(server, now);
                self.queue
                    .add(now + self.plan.tick, ZoneEvent::Tick(server));
            }
        }
    }

    /// The home daemon tells the others of its bulk work, as heartbeats do.
    fn tell_bulk(&mut self, server: usize) {
        let others = self.sides[server].running.len() as u32;
        let yielding = PreemptibleLoad { own: 0, others };
        let home = server % self.plan.daemons;
        for (daemon, table) in self.tables.iter_mut().enumerate() {
            if self.plan.announced || daemon == home {
                table.set_preemptible(ServerId(server as u32), yielding);
            }
        }
    }

    fn arrive(&mut self, index: usize, now: Timestamp) {
        let trace = self.trace;
        match &trace.events[index].kind {
            EventKind::Live(live) => self.route_live(live, now),
            EventKind::Lot(lot) => self.board.add(lot.clone(), now),
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
        let reached = now + self.plan.hop;
        self.queue.add(reached, ZoneEvent::Submit(server, request));
        if self.is_home(daemon, server) {
            self.sides[server].live_begins(now);
            self.step_aside(server, now);
        } else if self.plan.announced {
            self.queue.add(reached, ZoneEvent::Announce(server));
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

    /// Each server has one home daemon.
    fn is_home(&self, daemon: usize, server: usize) -> bool {
        server % self.plan.daemons == daemon
    }

    /// Cancels the bulk items that a gate has no room for any more.
    fn step_aside(&mut self, server: usize, now: Timestamp) {
        for running in self.sides[server].take_excess(now) {
            self.board.give_back(running.item);
            self.result.cancelled += 1;
            let cancel = ZoneEvent::Cancel(server, running.sequence);
            self.queue.add(now + self.plan.hop, cancel);
        }
    }

    /// Starts bulk items as far as a gate allows.
    fn fill(&mut self, server: usize, now: Timestamp) {
        while self.sides[server].may_start(now) {
            let Some(item) = self.board.take(now) else {
                return;
            };
            let sequence = self.new_sequence();
            let request = EngineRequest {
                id: sequence,
                prompt: self.board.prompt(item),
                first_token: item.tokens,
                max_tokens: self.board.max_tokens(item),
            };
            self.sides[server].start(RunningItem { sequence, item }, now);
            self.queue
                .add(now + self.plan.hop, ZoneEvent::Submit(server, request));
        }
    }

    fn turn_away(&mut self, server: usize, id: SequenceId, now: Timestamp) {
        if let Some(item) = self.sides[server].end(id, now) {
            self.board.give_back(item);
        }
    }

    /// Takes in what a server has produced.
    fn listen(&mut self, server: usize, now: Timestamp) {
        if self.woken_at[server] == Some(now) {
            self.woken_at[server] = None;
        }
        for event in self.engines[server].advance(now) {
            if self.live.contains_key(&event.id) {
                self.note_live(server, &event);
            } else {
                self.note_bulk(server, &event);
            }
        }
        self.fill(server, now);
        self.wake(server);
    }

    fn note_live(&mut self, server: usize, event: &EngineEvent) {
        let report = self.read_load(server, event.at);
        let Some(live) = self.live.get_mut(&event.id) else {
            return;
        };
        let seen = event.at + self.plan.hop;
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
                    if wait > self.plan.late_first_token {
                        self.sides[server].harm(seen);
                    }
                }
                Some(last) => {
                    let gap = seen.since(last);
                    self.result.record_gap(gap);
                    self.sides[server].token_gap(gap, seen);
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
                    self.sides[server].live_ends(seen);
                }
            }
        }
    }

    fn note_bulk(&mut self, server: usize, event: &EngineEvent) {
        match event.kind {
            EngineEventKind::Started { .. } => {}
            EngineEventKind::Token { index } => {
                let side = &mut self.sides[server];
                let found = side.running.iter().find(|it| it.sequence == event.id);
                let Some(item) = found.map(|it| it.item) else {
                    return;
                };
                side.note_token(event.id, index);
                let customer = self.board.customer(item) as usize;
                self.result.bulk_tokens += 1;
                self.result.customers[customer].bulk_tokens += 1;
            }
            EngineEventKind::Finished => {
                if let Some(item) = self.sides[server].end(event.id, event.at) {
                    self.board.finish(item, event.at);
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

    /// Makes sure that the server is listened to when it has something to tell.
    fn wake(&mut self, server: usize) {
        let Some(at) = self.engines[server].next_event() else {
            return;
        };
        if self.woken_at[server].is_none_or(|woken| at < woken) {
            self.woken_at[server] = Some(at);
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
