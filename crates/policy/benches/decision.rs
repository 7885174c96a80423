//! Benchmarks the complete decision about one live request at the target size: urgency,
//! suspects, queue and routing with 910 servers and 780 customers. Also prints the
//! memory that the state takes, in bytes.

use std::{hint::black_box, time::Duration};

use comfreyramp_policy::{
    CallTraits, CallerInterface, CallerKey, CustomerId, Fingerprint, GroupId, Incarnation,
    ListedServer, LiveQueue, LoadReport, QueuedCall, RouteQuery, RunEnd, RunId, ServerKey,
    ServerTable, SuspectTable, Timestamp, UrgencyTable, ZoneId,
};
use criterion::{Criterion, criterion_group, criterion_main};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SERVERS: u32 = 910;
const ZONES: u32 = 7;
const GROUPS: u32 = 5;
const CUSTOMERS: u32 = 780;
const KEYS: u64 = 2 * CUSTOMERS as u64;
const TRAITS: CallTraits = CallTraits {
    interface: CallerInterface::Live,
    streaming: true,
};

/// The state that one daemon consults to decide about live requests.
struct Daemon {
    rng: StdRng,
    micros: u64,
    number: u64,
    servers: ServerTable,
    urgencies: UrgencyTable,
    suspects: SuspectTable,
    queue: LiveQueue,
}

impl Daemon {
    fn new(backlog: u32) -> Self {
        let mut daemon = Daemon {
            rng: StdRng::seed_from_u64(1),
            micros: 1,
            number: 0,
            servers: servers(),
            urgencies: UrgencyTable::default(),
            suspects: SuspectTable::new(Incarnation(1)),
            queue: LiveQueue::default(),
        };
        let now = daemon.now();
        for key in 0..KEYS {
            let urgency = daemon.urgencies.begin(CallerKey(key), TRAITS, now);
            daemon.urgencies.end(CallerKey(key), TRAITS, urgency);
        }
        for run in 0..500 {
            let fingerprint = Fingerprint(daemon.rng.random());
            let server = ServerKey(run % 100);
            daemon.suspects.begin(fingerprint, RunId(run), server, now);
        }
        for server in 0..50 {
            daemon.suspects.server_died(ServerKey(server), now);
        }
        for customer in 0..CUSTOMERS {
            daemon.queue.set_weight(CustomerId(customer), 1.0);
        }
        for customer in 0..backlog {
            let call = daemon.call(customer);
            let _ = daemon.queue.push(call, now);
            let call = daemon.call(customer);
            let _ = daemon.queue.push(call, now);
        }
        daemon
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_micros(self.micros)
    }

    fn call(&mut self, customer: u32) -> QueuedCall {
        self.number += 1;
        QueuedCall {
            number: self.number,
            customer: CustomerId(customer),
            tokens: 500.0,
            deadline: self.now() + Duration::from_secs(60),
            ..QueuedCall::default()
        }
    }

    /// Queues one arriving call, sends the next queued call to a server, and ends it.
    fn decide(&mut self) -> Option<QueuedCall> {
        self.micros += 1;
        let now = self.now();
        let customer = self.rng.random_range(0..CUSTOMERS);
        let key = CallerKey(u64::from(customer) * 2);
        let urgency = self.urgencies.begin(key, TRAITS, now);
        let fingerprint = Fingerprint(u128::from(mixed(self.micros)) << 64);
        self.suspects.verdict(fingerprint, now);
        let mut call = self.call(customer);
        call.urgency = urgency;
        self.queue.push(call, now).ok()?;
        let group = GroupId(self.rng.random_range(0..GROUPS));
        let query = RouteQuery::new(group, ZoneId(0)).prefix(self.micros % 1000);
        let server = self
            .servers
            .choose_with_capacity(&query, now, &mut self.rng)?;
        let next = self.queue.pop(now)?;
        let run = RunId(next.number);
        let server_key = ServerKey(u64::from(server.0));
        self.suspects.begin(fingerprint, run, server_key, now);
        self.servers.begin(server);

        self.servers.end(server, Duration::from_millis(200));
        self.suspects.end(fingerprint, run, RunEnd::Finished, now);
        self.urgencies.end(key, TRAITS, urgency);
        Some(next)
    }
}

fn servers() -> ServerTable {
    let listed = (0..SERVERS).map(|it| ListedServer {
        name: format!("server-{it:04}.zone-{}.example", it % ZONES),
        address: format!("10.0.{}.{}:8000", it / 256, it % 256),
        zone: ZoneId(it % ZONES),
        group: GroupId(it / ZONES % GROUPS),
        leaving: false,
    });
    let listed: Vec<ListedServer> = listed.collect();
    let mut table = ServerTable::default();
    let now = Timestamp::from_micros(1);
    table.apply_list(&listed, now);
    let servers: Vec<_> = table.servers().map(|(server, _)| server).collect();
    for server in servers {
        let report = LoadReport {
            running: server.0 % 8,
            waiting: 0,
            batch: 16,
        };
        table.report(server, report, now);
    }
    table
}

fn mixed(value: u64) -> u64 {
    value.wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

fn decision(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decision");
    for backlog in [0, 50, CUSTOMERS] {
        let mut daemon = Daemon::new(backlog);
        assert!(
            daemon.decide().is_some(),
            "the call is queued, routed and started"
        );
        group.bench_function(format!("{backlog}-customers-waiting"), |bencher| {
            bencher.iter(|| black_box(daemon.decide()));
        });
        println!(
            "state: servers {}, urgencies {}, queue {} bytes",
            daemon.servers.memory(),
            daemon.urgencies.memory(),
            daemon.queue.memory()
        );
    }
    group.finish();
}

criterion_group!(benches, decision);
criterion_main!(benches);
