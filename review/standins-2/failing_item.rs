//! An item that can never be done, and the loss of the daemon that runs its batch job.

use std::time::{Duration, Instant};

use crate::{
    Verdict,
    callers::{HOST, KEY, settings},
    fleet::{Daemon, DaemonOptions, Folder},
    http, json,
    record::Record,
    runner::{Runner, RunnerOptions, Work},
    store::Store,
};

/// After so many answers of 422 the item may reach no runner any more.
const ALLOWED_RUNS: usize = 3;
/// The longest time until the item has to be given up.
const WAIT: Duration = Duration::from_secs(40);

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = Folder::new().map_err(text)?;
    let (store, store_address) = Store::start().map_err(text)?;
    store.put("op/config", &settings());
    let mut engines = Vec::new();
    for number in 1..=2 {
        let options = RunnerOptions {
            id: format!("i-engine-{number}"),
            service: "engines".to_owned(),
            zone: "zone-a".to_owned(),
            slots: 8,
            work: Work::Impossible,
        };
        engines.push(Runner::start(options, &store, record.clone()).map_err(text)?);
    }
    let start = |name: &str, is_front: bool, number: u8| {
        let options = DaemonOptions {
            name: name.to_owned(),
            zone: "zone-a".to_owned(),
            is_front,
            memory_mb: 260,
        };
        Daemon::start(options, number, store_address, &folder).map_err(text)
    };
    let front = start("front-1", true, 1)?;
    let runners = [start("lots-1", false, 2)?, start("lots-2", false, 3)?];
    if !front.wait_ready() {
        return Err("the front daemon isn't ready".to_owned());
    }
    std::thread::sleep(Duration::from_secs(2));

    let headers = [
        ("Host", HOST),
        ("Api-Key", KEY),
        ("X-Request-Id", "lot1"),
        ("X-Deadline-Ms", "5000"),
    ];
    let body = br#"{"items":[{"id":"item1","path":"/pule252/3/1","headers":{"X-Model":"m"},"body":"q83v","tokens":540}]}"#;
    let wait = Duration::from_secs(5);
    let answer = http::call(front.callers, "POST", "/pule252/lot1", &headers, body, wait);
    let status = answer.map_err(text)?.status;
    record.line(format!("client: the batch job is answered with {status}"));
    if status != 202 {
        return Err("the batch job isn't accepted".to_owned());
    }
    let runs = || engines.iter().map(|it| it.runs().len()).sum::<usize>();
    let until = Instant::now() + WAIT;
    let mut is_killed = !has_trouble;
    while Instant::now() < until {
        if !is_killed && runs() >= 2 {
            // The answer has arrived, and the next run is some seconds away.
            std::thread::sleep(Duration::from_secs(1));
            let claim = json::parse(&store.value("lots/claim/lot1")).unwrap_or(json::Json::Null);
            let holder = claim.get("daemon").text().to_owned();
            let daemon = runners.iter().find(|it| it.options.name == holder);
            let daemon = daemon.ok_or("no daemon runs the batch job")?;
            daemon.stop();
            record.line(format!("platform: {holder}, which wrote last, is killed"));
            is_killed = true;
        }
        let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Request-Id", "read1")];
        let target = "/-/lots/lot1?after=0";
        if let Ok(answer) = http::call(front.callers, "GET", target, &headers, b"", wait) {
            let page = json::parse(&answer.body).unwrap_or(json::Json::Null);
            if let Some(result) = page.get("results").list().first() {
                let state = result.get("state").text();
                record.line(format!("client: the item is listed as {state}"));
                break;
            }
        }
        std::thread::sleep(Duration::from_millis(500));
    }
    let runs = runs();
    record.line(format!(
        "the item ran {runs} times, and each run was answered with 422"
    ));
    match runs > ALLOWED_RUNS {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}
