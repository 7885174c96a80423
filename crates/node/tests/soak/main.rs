//! Random faults on the real program, in series and overlapping, and the guarantees that
//! must hold meanwhile, as callers and servers observe them:
//!
//! - a request that may run once runs at most once, and never if it was refused;
//! - each caller gets the answer to its own request, also from engines that answer twice, cut
//!   failures off, name another request or damage their heads;
//! - an item is given up only if its servers' answers, its retention or the end of its lot
//!   permit it;
//! - no part of a stream looks complete, also where the server's answers end with their
//!   connections;
//! - every daemon knows an accepted lot and the bodies of its items;
//! - a result that any reader has received stays at its position, at every daemon;
//! - nothing runs of a lot that was ended or refused;
//! - each lot is finished, with one result of each item;
//! - a stream goes on only at the version of the server that began it, at any daemon;
//! - a change of the settings is in force within two seconds at every daemon in contact.
//!
//! A daemon that can't be sure may tell readers to retry, but must not contradict these
//! guarantees.
//!
//! The long run is started by hand, one test at a time: `SOAK_SEEDS=100,101` runs other seeds
//! than those of the check script, and `FLEET_LOGS` names a folder for the logs of all daemons
//! of a seed that fails:
//!
//! ```text
//! FLEET_LOGS=/tmp/logs SOAK_SEEDS=702,703 cargo test -p comfreyramp-node --test soak \
//!     answers_are_believed -- --nocapture
//! ```
//!
//! A seed that ever failed stays in the list of its test, with a line on its cause. A seed
//! determines the faults and the work; how they coincide differs from run to run.
#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod checks;
mod fault_driver;
mod fault_plan;
mod faulty_engine;
#[path = "../fleet/mod.rs"]
mod fleet;
mod harm_log;
mod lot_ledger;
mod readers;
mod resumed_streams;
mod settings_changes;
mod traffic;

use std::{
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use fault_driver::FaultDriver;
use faulty_engine::{ENGINES_DURATION, EngineState, SHORT_RETENTION};
use fleet::{Callers, Fleet};
use harm_log::FaultLog;
use lot_ledger::LotLedger;
use rand::{Rng, SeedableRng, rngs::StdRng};
use tokio::task::JoinSet;
use tokio_util::sync::{CancellationToken, DropGuard};

/// The seeds of the check script.
const SEEDS: [u64; 4] = [
    1,
    // A daemon that runs lots is lost right after a write, and restarted at once. Results
    // that one daemon had returned were missing at another one, which took its copy for
    // complete as long as reports arrived from all daemons that run lots.
    2, 28, 36,
];
/// The seeds of the check script for the test in which settings change.
const SETTINGS_SEEDS: [u64; 2] = [500, 501];
/// The seeds of the check script for the test in which engines answer wrongly.
const ENGINES_SEEDS: [u64; 3] = [700, 701, 702];
/// The seeds of the check script for the test in which heads are malformed.
const HEADS_SEEDS: [u64; 2] = [950, 951];
/// The seeds of the check script for the test in which engines of two versions serve.
const VERSIONS_SEEDS: [u64; 2] = [900, 901];
/// The engines of the second version, and their zones.
const SECOND_VERSION_ENGINES: [(&str, &str); 2] = [("engine-3", "zone-1"), ("engine-4", "zone-2")];
/// The number of callers that take streams up.
const RESUMERS: u64 = 3;
/// For how long faults are started.
const FAULT_DURATION: Duration = Duration::from_secs(8);
/// The number of entry daemons, which serve callers. They come first in the fleet.
const ENTRY_DAEMONS: usize = 2;
/// The number of all daemons. Those that don't serve callers run lots.
const DAEMONS: usize = 4;
/// The ids and zones of the engines that answer wrongly.
const FAULTY_ENGINES: [(&str, &str); 4] = [
    ("faulty-1", "zone-1"),
    ("faulty-2", "zone-2"),
    ("faulty-3", "zone-1"),
    ("faulty-4", "zone-2"),
];
/// How often servers may fail at an item, according to the routes in the fleet's settings.
const ATTEMPTS: usize = 2;
/// How long an item is kept, according to the same routes.
const RETENTION: Duration = Duration::from_secs(60);
/// The time within which all daemons follow changed settings and servers in a calm fleet.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// What happens besides random faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SoakKind {
    /// Nothing else.
    Faults,
    /// Settings change all the time.
    Changes,
    /// Some engines answer wrongly, and items are kept for a short time.
    FaultyEngines,
    /// As above, and some heads are malformed.
    MalformedHeads,
    /// Engines of two versions serve, and callers take their streams up at other daemons.
    Versions,
}

impl SoakKind {
    fn duration(self) -> Duration {
        match self {
            SoakKind::Faults | SoakKind::Versions => FAULT_DURATION,
            SoakKind::Changes => settings_changes::CHANGES_DURATION,
            SoakKind::FaultyEngines | SoakKind::MalformedHeads => ENGINES_DURATION,
        }
    }

    fn retention(self) -> Duration {
        match self {
            SoakKind::Faults | SoakKind::Changes | SoakKind::Versions => RETENTION,
            SoakKind::FaultyEngines | SoakKind::MalformedHeads => SHORT_RETENTION,
        }
    }

    /// Returns how many callers send live requests at the same time.
    fn senders(self) -> usize {
        match self {
            SoakKind::Faults | SoakKind::Changes | SoakKind::Versions => 1,
            SoakKind::FaultyEngines | SoakKind::MalformedHeads => 6,
        }
    }
}

/// The state that all tasks of a soak share.
struct SoakContext {
    seed: u64,
    callers: Callers,
    ledger: Mutex<LotLedger>,
    fault_log: Mutex<FaultLog>,
    engines: Arc<EngineState>,
    /// How long an item is kept before it may be given up.
    retention: Duration,
    /// The time of each change of the settings.
    change_times: Mutex<Vec<Instant>>,
    stop: CancellationToken,
}

impl SoakContext {
    fn ledger(&self) -> MutexGuard<'_, LotLedger> {
        self.ledger.lock().unwrap()
    }

    fn fault_log(&self) -> MutexGuard<'_, FaultLog> {
        self.fault_log.lock().unwrap()
    }

    fn change_times(&self) -> MutexGuard<'_, Vec<Instant>> {
        self.change_times.lock().unwrap()
    }
}

async fn run_soak(seed: u64, kind: SoakKind) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut faults = fault_plan::draw_faults(&mut random);
    let (live, lots) = (fork_random(&mut random), fork_random(&mut random));
    match kind {
        SoakKind::Faults | SoakKind::Versions => {}
        SoakKind::Changes => faults.extend(settings_changes::draw_changes(&mut random)),
        SoakKind::FaultyEngines | SoakKind::MalformedHeads => {
            faults.extend(faulty_engine::draw_full_period(&mut random));
        }
    }
    faults.sort_by_key(|it| it.0);
    eprintln!("soak: seed {seed}: {faults:?}");
    let mut fleet = Fleet::with_links().await;
    fleet.add_daemon("lots-2", "zone-2", false).await;
    assert_eq!(fleet.links.len(), fault_plan::LINKS);
    fleet.servers[1].set_ends_with_connection(true);
    let stop = CancellationToken::new();
    let engines = Arc::new(EngineState::new(
        seed,
        kind == SoakKind::MalformedHeads,
        stop.clone(),
    ));
    let _engines_guard = match kind {
        SoakKind::FaultyEngines | SoakKind::MalformedHeads => {
            Some(start_faulty_engines(&mut fleet, &engines).await)
        }
        SoakKind::Faults | SoakKind::Changes | SoakKind::Versions => None,
    };
    if kind == SoakKind::Versions {
        for (id, zone) in SECOND_VERSION_ENGINES {
            fleet.add_engine(id, zone, "v2").await;
        }
        tokio::time::sleep(SETTLE_TIME).await;
    }
    let context = Arc::new(SoakContext {
        seed,
        callers: fleet.callers(),
        ledger: Mutex::default(),
        fault_log: Mutex::default(),
        engines,
        retention: kind.retention(),
        change_times: Mutex::default(),
        stop,
    });
    let mut senders = JoinSet::new();
    for sender in 0..kind.senders() {
        // The first one's draws are the same in all kinds of soak.
        let random = match sender {
            0 => live.clone(),
            _ => StdRng::seed_from_u64(seed + sender as u64),
        };
        let name = format!("soak-{seed}-{sender}");
        senders.spawn(traffic::send_requests(context.clone(), name, random));
    }
    let mut resumers = JoinSet::new();
    if kind == SoakKind::Versions {
        for resumer in 0..RESUMERS {
            let random = StdRng::seed_from_u64(seed + resumer);
            let name = format!("resumed-{seed}-{resumer}");
            resumers.spawn(resumed_streams::resume_streams(
                context.clone(),
                name,
                random,
            ));
        }
    }
    let lots = tokio::spawn(traffic::submit_lots(context.clone(), lots));
    let settings = tokio::spawn(settings_changes::check_withdrawn_keys(context.clone()));
    let driver = FaultDriver::new(fleet, &context, faults);
    let fleet = driver.run(kind.duration()).await;
    context.stop.cancel();
    settings.await.unwrap();
    let once_requests = senders.join_all().await.concat();
    lots.await.unwrap();
    let streams = resumers.join_all().await.concat();
    let violations = resumed_streams::check_versions(&fleet, seed, &streams);
    context.ledger().violations.extend(violations);
    checks::check_runs(&fleet, &once_requests, &context);
    checks::check_lots(&context).await;
    checks::check_ends(&fleet, &context);
    checks::check_refused(&fleet, &context);
    eprintln!("soak: seed {seed}: {:?}", context.ledger().counts);
    if matches!(kind, SoakKind::FaultyEngines | SoakKind::MalformedHeads) {
        eprintln!("soak: seed {seed}: {:?}", context.engines.counts());
        let is_tried = context.engines.sent_wrong_answers();
        assert!(
            is_tried,
            "seed {seed}: no late answer, none that is cut off or none with a malformed head"
        );
    }
    let violations = context.ledger().violations.clone();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
}

/// Starts the engines that answer wrongly, and has items kept for a short time. The engines
/// stop when the guard is dropped.
async fn start_faulty_engines(fleet: &mut Fleet, engines: &Arc<EngineState>) -> DropGuard {
    fleet.put_retention(SHORT_RETENTION.as_secs());
    let stop = CancellationToken::new();
    for (id, zone) in FAULTY_ENGINES {
        engines.start(fleet, id, zone, stop.clone()).await;
    }
    tokio::time::sleep(SETTLE_TIME).await;
    stop.drop_guard()
}

/// Returns a random source of its own for a task, so that its draws don't depend on those
/// of other tasks.
fn fork_random(random: &mut StdRng) -> StdRng {
    StdRng::seed_from_u64(random.random())
}

/// Returns the seeds in `SOAK_SEEDS`, or else those of the check script.
fn selected_seeds(seeds: &[u64]) -> Vec<u64> {
    let selected = std::env::var("SOAK_SEEDS").unwrap_or_default();
    let selected: Vec<u64> = selected
        .split(',')
        .filter_map(|it| it.parse().ok())
        .collect();
    if selected.is_empty() {
        return seeds.to_vec();
    }
    selected
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    for seed in selected_seeds(&SEEDS) {
        run_soak(seed, SoakKind::Faults).await;
    }
}

/// As above, while settings change all the time and the store falls silent right after a
/// change. Watches that were requested at that time used to hang, and all daemons used old
/// settings.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_in_force_under_random_faults() {
    for seed in selected_seeds(&SETTINGS_SEEDS) {
        run_soak(seed, SoakKind::Changes).await;
    }
}

/// As above, while some engines send late second answers to the requests before, cut failures
/// off or answer under other ids, and items are kept for a short time. Late refusals used to
/// be believed of the request that they arrived for, which ran twice, and items were given up
/// after answers that said nothing about them.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_believed_only_of_their_requests_under_random_faults() {
    for seed in selected_seeds(&ENGINES_SEEDS) {
        run_soak(seed, SoakKind::FaultyEngines).await;
    }
}

/// As above, while engines also damage the line of a head that tells of the chunks of the body.
/// Sizes of chunks used to be passed on as parts of bodies.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_their_servers_under_random_faults() {
    for seed in selected_seeds(&HEADS_SEEDS) {
        run_soak(seed, SoakKind::MalformedHeads).await;
    }
}

/// As above, while engines of two versions serve and callers take their streams up at other
/// daemons. Streams used to go on at either version.
#[tokio::test(flavor = "multi_thread")]
async fn streams_keep_to_their_versions_under_random_faults() {
    for seed in selected_seeds(&VERSIONS_SEEDS) {
        run_soak(seed, SoakKind::Versions).await;
    }
}
