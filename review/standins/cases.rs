//! The scenarios.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    End,
    fleet::{Fleet, Route},
    record::Record,
    runner::{RunnerOptions, whole_output},
};

const COMPLETION: f64 = 18.0;

pub fn run(case: &str, record: Record, has_trouble: bool) -> End {
    match case {
        "unframed-failures" => unframed_failures(record, has_trouble),
        "host-gone" => host_gone(record, has_trouble),
        "large-results" => large_results(record, has_trouble),
        "shared-part" => shared_part(record, has_trouble),
        "late-crash" => late_crash(record, has_trouble),
        _ => End::NotRun(format!("no case {case}")),
    }
}

fn batch_route(host: &'static str) -> Route {
    Route {
        name: "r-booklets",
        host,
        prefix: "/pule252/",
        kind: "batch",
        service: "drafts",
        timeout_ms: 15_000,
        attempts: 3,
    }
}

fn stream_route(host: &'static str, timeout_ms: u32) -> Route {
    Route {
        name: "r-wording",
        host,
        prefix: "/lohu930/",
        kind: "stream",
        service: "drafts",
        timeout_ms,
        attempts: 1,
    }
}

fn small_fleet(record: Record, ends_with_connection: bool) -> Fleet {
    let runners = [
        ("i-1", "perth-a"),
        ("i-2", "perth-a"),
        ("i-3", "perth-b"),
        ("i-4", "perth-b"),
    ];
    fleet_of(record, &runners, ends_with_connection)
}

fn fleet_of(
    record: Record,
    runners: &[(&'static str, &'static str)],
    ends_with_connection: bool,
) -> Fleet {
    let runners = runners.iter().copied().map(|(id, zone)| RunnerOptions {
        id,
        service: "drafts",
        zone,
        ends_with_connection,
    });
    Fleet::start(record, runners.collect())
}

fn add_daemons(fleet: &mut Fleet) {
    fleet.add_daemon("front-perth-a-1", "perth-a", true);
    fleet.add_daemon("front-perth-b-1", "perth-b", true);
    fleet.add_daemon("store-perth-a-1", "perth-a", false);
    fleet.add_daemon("store-perth-b-1", "perth-b", false);
}

fn sleep(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Batch jobs with items that fail at each run, at runners whose failures have no length.
fn unframed_failures(record: Record, has_trouble: bool) -> End {
    let mut fleet = small_fleet(record, has_trouble);
    let route = batch_route("ficu95.example");
    fleet.configure(
        7,
        &[
            batch_route("ficu95.example"),
            stream_route("ficu95.example", 5_000),
        ],
    );
    add_daemons(&mut fleet);
    if !fleet.wait_ready() {
        return End::NotRun("the daemons don't become ready".to_owned());
    }
    let items = [
        ("e5b2907c14da6f01", "sound"),
        ("e5b2907c14da6f02", "never"),
        ("e5b2907c14da6f03", "fails"),
        ("e5b2907c14da6f04", "sound"),
    ];
    if fleet.submit(0, &route, "7c41e09b52d6a3f8", &items) != 202 {
        return End::NotRun("the batch job isn't accepted".to_owned());
    }
    // Other batch jobs come for a while.
    for number in 0..10 {
        sleep(2.0);
        let (job, item) = (
            format!("7c41e09b52d6b{number:03}"),
            format!("f5b2907c14da{number:04}"),
        );
        if fleet.submit(number % 2, &route, &job, &[(&item, "sound")]) != 202 {
            return End::NotRun("a batch job isn't accepted".to_owned());
        }
    }
    let ids: Vec<&str> = items.iter().map(|it| it.0).collect();
    judge_completion(&fleet, &route, "7c41e09b52d6a3f8", &ids, None)
}

/// The operator removes the only route of a host; its batch job is finished by then.
fn host_gone(record: Record, has_trouble: bool) -> End {
    let mut fleet = small_fleet(record, false);
    let route = batch_route("booklets.example");
    fleet.configure(
        7,
        &[
            stream_route("counter.example", 5_000),
            batch_route(route.host),
        ],
    );
    add_daemons(&mut fleet);
    if !fleet.wait_ready() {
        return End::NotRun("the daemons don't become ready".to_owned());
    }
    let items = [("e5b2907c14da6f01", "sound"), ("e5b2907c14da6f02", "sound")];
    let job = "7c41e09b52d6a3f8";
    if fleet.submit(0, &route, job, &items) != 202 {
        return End::NotRun("the batch job isn't accepted".to_owned());
    }
    let until = Instant::now() + Duration::from_secs(20);
    let listed = || fleet.results(route.host, job).map_or(0, |it| it.len());
    while listed() < items.len() {
        if Instant::now() > until {
            return End::NotRun("the batch job isn't finished".to_owned());
        }
        sleep(0.5);
    }
    match has_trouble {
        true => fleet.configure(12, &[stream_route("counter.example", 5_000)]),
        false => fleet.configure(
            12,
            &[
                stream_route("counter.example", 6_000),
                batch_route(route.host),
            ],
        ),
    }
    sleep(6.0);
    let mut gone = Vec::new();
    for _ in 0..5 {
        for (front, (name, _)) in fleet.fronts().iter().enumerate() {
            let answer = fleet.read(front, route.host, job, 0);
            let status = answer.as_ref().map_or(0, |it| it.status());
            if status == 404 || status == 410 {
                gone.push(format!("{name}: {status}"));
            }
        }
        sleep(1.0);
    }
    match gone.is_empty() {
        true => End::Held("the batch job is read".to_owned()),
        false => End::Broken(format!("{} reads: {}", gone.len(), gone.join(", "))),
    }
}

const CONTACT: f64 = 3.0;
/// The crashes after which a request counts as one that crashes its runners.
const CRASHES: usize = 3;
const MAX_RETRIES: usize = 3;

/// A request that crashes each runner that begins to run it, 30 ms after its first event. It
/// comes again with the same path, key and body.
fn late_crash(record: Record, has_trouble: bool) -> End {
    let mut fleet = small_fleet(record, false);
    fleet.configure(
        7,
        &[
            stream_route("ficu95.example", 5_000),
            batch_route("ficu95.example"),
        ],
    );
    add_daemons(&mut fleet);
    if !fleet.wait_ready() {
        return End::NotRun("the daemons don't become ready".to_owned());
    }
    let fleet = &fleet;
    let is_over = &AtomicBool::new(false);
    let cut_streams: &Arc<Mutex<Vec<f64>>> = &Arc::default();
    let word = if has_trouble { "crash" } else { "sound" };
    let body = format!("{word} 40");
    let mut sent = Vec::new();
    thread::scope(|scope| {
        // Sound requests of other clients, with a part of the prompt that all have.
        for client in 0..8 {
            scope.spawn(move || {
                for number in 0.. {
                    if is_over.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("50a4{client}{number:011}");
                    let body = format!("sound 30 {id}");
                    let answer = stream_request(fleet, client % 2, &id, &body, number * 8 + client);
                    if answer == Some(false) {
                        cut_streams
                            .lock()
                            .expect("streams")
                            .push(fleet.record.now());
                    }
                    sleep(0.05);
                }
            });
        }
        sleep(3.0);
        for number in 0..10 {
            let id = format!("9c41d07be2a3{number:04}");
            sent.push(id.clone());
            stream_request(fleet, number % 2, &id, &body, 7);
            // Its runner is back by then.
            sleep(4.0);
        }
        is_over.store(true, Ordering::SeqCst);
    });
    let runs = sent.iter().flat_map(|id| {
        let of_runners = fleet.runners.iter().flat_map(move |it| it.runs_of(id));
        of_runners.collect::<Vec<f64>>()
    });
    let mut runs: Vec<f64> = runs.collect();
    runs.sort_by(f64::total_cmp);
    if !has_trouble {
        return End::Held("no runner crashes".to_owned());
    }
    let Some(third) = runs.get(CRASHES - 1) else {
        return End::NotRun("the request crashed fewer than three runners".to_owned());
    };
    let late: Vec<f64> = runs
        .iter()
        .copied()
        .filter(|it| *it > third + CONTACT)
        .collect();
    let cut = cut_streams.lock().expect("streams");
    let cut = cut.iter().filter(|it| **it > third + CONTACT).count();
    let text = format!(
        "{} runs later than contact_ms after the third crash, {cut} sound streams were cut by them",
        late.len()
    );
    match late.len() > MAX_RETRIES {
        true => End::Broken(text),
        false => End::Held(text),
    }
}

/// Sends a request for a stream. Returns whether its answer was whole, if there was one.
fn stream_request(fleet: &Fleet, front: usize, id: &str, body: &str, own: usize) -> Option<bool> {
    let headers = format!(
        "host: ficu95.example\r\napi-key: {}\r\nx-request-id: {id}\r\nx-deadline-ms: 5000\r\nx-model: m\r\nx-token-usage: 550,80\r\nx-prompt-prefix: 9c2e41:300,{own:x}:250\r\n",
        crate::fleet::KEY
    );
    let answer = fleet.send(front, "POST /lohu930/2f", &headers, body.as_bytes())?;
    (answer.status() == 200).then_some(answer.is_whole)
}

/// Two requests of one application crash each runner that begins to run them, and come again
/// until no runner gets them. Then a batch job comes whose sound items share a part of the
/// prompt with them.
fn shared_part(record: Record, has_trouble: bool) -> End {
    let mut fleet = small_fleet(record, false);
    let route = batch_route("ficu95.example");
    fleet.configure(
        7,
        &[
            stream_route("ficu95.example", 5_000),
            batch_route("ficu95.example"),
        ],
    );
    add_daemons(&mut fleet);
    if !fleet.wait_ready() {
        return End::NotRun("the daemons don't become ready".to_owned());
    }
    let bodies = match has_trouble {
        true => ["crash-at-once first", "crash-at-once second"],
        false => ["sound", "sound"],
    };
    for number in 0..8 {
        let id = format!("9c41d07be2a3{number:04}");
        stream_request(
            &fleet,
            number / 2 % 2,
            &id,
            bodies[number % 2],
            7 + number % 2,
        );
        sleep(4.0);
    }
    let items = [
        ("e5b2907c14da6f01", "sound"),
        ("e5b2907c14da6f02", "sound"),
        ("e5b2907c14da6f03", "sound"),
        ("e5b2907c14da6f04", "sound"),
    ];
    if fleet.submit(0, &route, "7c41e09b52d6a3f8", &items) != 202 {
        return End::NotRun("the batch job isn't accepted".to_owned());
    }
    let ids: Vec<&str> = items.iter().map(|it| it.0).collect();
    judge_completion(&fleet, &route, "7c41e09b52d6a3f8", &ids, None)
}

/// How long the store is down.
const OUTAGE: f64 = 2.2;
/// When it begins, after the first item.
const OUTAGE_BEGIN: f64 = 2.2;
const MAX_ITEMS: usize = 200;
const EVENT_INTERVAL_MS: u64 = 32;
/// The events of each item and their size in bytes.
const LONG_ITEM: (u64, usize) = (50, 280);

/// A batch job of 200 items, whose results come while the store is down.
fn large_results(record: Record, has_trouble: bool) -> End {
    let runners = [
        ("i-1", "perth-a"),
        ("i-2", "perth-a"),
        ("i-3", "perth-a"),
        ("i-4", "perth-a"),
        ("i-5", "perth-a"),
        ("i-6", "perth-b"),
        ("i-7", "perth-b"),
        ("i-8", "perth-b"),
        ("i-9", "perth-b"),
        ("i-10", "perth-b"),
    ];
    let mut fleet = fleet_of(record, &runners, false);
    let route = batch_route("ficu95.example");
    fleet.configure(
        7,
        &[
            stream_route("ficu95.example", 5_000),
            batch_route("ficu95.example"),
        ],
    );
    add_daemons(&mut fleet);
    if !fleet.wait_ready() {
        return End::NotRun("the daemons don't become ready".to_owned());
    }
    let ids: Vec<String> = (0..MAX_ITEMS)
        .map(|it| format!("e5b2907c14da{it:04}"))
        .collect();
    let body = format!("sound {} {} {EVENT_INTERVAL_MS}", LONG_ITEM.0, LONG_ITEM.1);
    let items: Vec<(&str, &str)> = ids.iter().map(|it| (it.as_str(), body.as_str())).collect();
    let job = "7c41e09b52d6a3f8";
    if fleet.submit(0, &route, job, &items) != 202 {
        return End::NotRun("the batch job isn't accepted".to_owned());
    }
    let has_begun = || {
        fleet
            .runners
            .iter()
            .any(|it| !it.runs.lock().expect("runs").is_empty())
    };
    let until = Instant::now() + Duration::from_secs(10);
    while !has_begun() && Instant::now() < until {
        sleep(0.05);
    }
    sleep(OUTAGE_BEGIN);
    if has_trouble {
        fleet.record.note("the store is down");
        fleet.store.set_down(true);
        sleep(OUTAGE);
        fleet.store.set_down(false);
        fleet.record.note("the store is up");
    }
    sleep(10.0);
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    judge_completion(&fleet, &route, job, &ids, Some(LONG_ITEM))
}

/// Waits for `completion_s` after the end of traffic, and looks for items that are listed
/// neither as done nor as dead letters. Items that were at a runner in the last 20 s don't
/// count. `shape` is the number of events of an item and the size of each.
fn judge_completion(
    fleet: &Fleet,
    route: &Route,
    job: &str,
    items: &[&str],
    shape: Option<(u64, usize)>,
) -> End {
    let traffic_ended_at = fleet.record.now();
    fleet.record.note("traffic has ended");
    sleep(COMPLETION + 0.5);
    let judged_at = fleet.record.now();
    let over_for = judged_at - COMPLETION - traffic_ended_at;
    fleet
        .record
        .note(&format!("completion_s is over since {over_for:.1} s"));
    let mut missing = Vec::new();
    let Some(listed) = fleet.results(route.host, job) else {
        return End::NotRun("the batch job can't be read".to_owned());
    };
    for id in items {
        let is_listed = listed.iter().any(|it| it.0 == *id);
        let runs = fleet.runners.iter().flat_map(|it| it.runs_of(id));
        let last = runs.fold(f64::NEG_INFINITY, f64::max);
        if is_listed || judged_at - last <= 20.0 {
            continue;
        }
        missing.push(match last.is_finite() {
            true => format!("{id}, last run {:.1} s ago", judged_at - last),
            false => format!("{id}, never run"),
        });
    }
    let wrong = listed.iter().find(|it| {
        it.1 == "done" && it.2 != whole_output(&it.0, shape.map(|it| it.0), shape.map(|it| it.1))
    });
    if let Some(wrong) = wrong {
        return End::Broken(format!("a wrong output: {wrong:?}"));
    }
    match missing.is_empty() {
        true => End::Held(format!(
            "{} of {} items are listed",
            listed.len(),
            items.len()
        )),
        false => End::Broken(format!(
            "{} of {} items are neither done nor dead_letter: {}",
            missing.len(),
            items.len(),
            missing
                .iter()
                .take(5)
                .cloned()
                .collect::<Vec<String>>()
                .join("; ")
        )),
    }
}
