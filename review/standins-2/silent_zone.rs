//! The machines of a zone are removed, and batch jobs are submitted whose runners are there.

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

const ITEMS: usize = 4;
const RUNNERS: usize = 3;
const SLOTS: usize = 8;
/// `contact_ms` and `grace_s` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);
const GRACE: Duration = Duration::from_secs(8);
/// `completion_s` of the deployment.
const COMPLETION: Duration = Duration::from_secs(18);
const SIGTERM: i32 = 15;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = Folder::new().map_err(text)?;
    let (store, store_address) = Store::start().map_err(text)?;
    store.put("op/config", &settings());
    let mut engines = Vec::new();
    for number in 1..=RUNNERS {
        let options = RunnerOptions {
            id: format!("i-engine-{number}"),
            service: "engines".to_owned(),
            zone: "zone-b".to_owned(),
            slots: SLOTS,
            work: Work::Stream {
                events: 20,
                event_bytes: 70,
                pause: Duration::from_millis(12),
            },
        };
        engines.push(Runner::start(options, &store, record.clone()).map_err(text)?);
    }
    let start = |name: &str, zone: &str, number: u8| {
        let options = DaemonOptions {
            name: name.to_owned(),
            zone: zone.to_owned(),
            is_front: name.starts_with("front"),
            memory_mb: 260,
        };
        Daemon::start(options, number, store_address, &folder).map_err(text)
    };
    let front = start("front-a", "zone-a", 1)?;
    let _kept = [
        start("front-a-2", "zone-a", 2)?,
        start("store-a", "zone-a", 3)?,
    ];
    let removed = [
        start("front-b", "zone-b", 4)?,
        start("store-b", "zone-b", 5)?,
    ];
    if !front.wait_ready() || !removed[0].wait_ready() {
        return Err("a front daemon isn't ready".to_owned());
    }
    std::thread::sleep(CONTACT);

    if has_trouble {
        for daemon in &removed {
            record.line(format!("platform: {} gets SIGTERM", daemon.options.name));
            daemon.signal(SIGTERM);
        }
        std::thread::sleep(GRACE);
        for daemon in &removed {
            daemon.stop();
            record.line(format!("platform: {} is removed", daemon.options.name));
        }
        std::thread::sleep(CONTACT);
    }
    let items: Vec<String> = (0..ITEMS)
        .map(|it| {
            format!(
                r#"{{"id":"item{it}","path":"/pule252/3/{it}","headers":{{"X-Model":"m"}},"body":"q83v","tokens":540}}"#
            )
        })
        .collect();
    let body = format!(r#"{{"items":[{}]}}"#, items.join(","));
    let headers = [
        ("Host", HOST),
        ("Api-Key", KEY),
        ("X-Request-Id", "lot1"),
        ("X-Deadline-Ms", "5000"),
    ];
    let wait = Duration::from_secs(5);
    let body = body.as_bytes();
    let answer = http::call(front.callers, "POST", "/pule252/lot1", &headers, body, wait);
    let status = answer.map_err(text)?.status;
    record.line(format!("client: the batch job is answered with {status}"));
    if status != 202 {
        return Err("the batch job isn't accepted".to_owned());
    }
    let submitted_at = Instant::now();
    let mut listed = 0;
    while listed < ITEMS && submitted_at.elapsed() < COMPLETION {
        std::thread::sleep(Duration::from_millis(500));
        let headers = [("Host", HOST), ("Api-Key", KEY), ("X-Request-Id", "read1")];
        let target = "/-/lots/lot1?after=0";
        if let Ok(answer) = http::call(front.callers, "GET", target, &headers, b"", wait) {
            let page = json::parse(&answer.body).unwrap_or(json::Json::Null);
            listed = page.get("results").list().len();
        }
    }
    let runs: usize = engines.iter().map(|it| it.runs().len()).sum();
    record.line(format!(
        "{listed} of {ITEMS} items are listed {:.1} s after the 202; the runners, which are idle, were sent {runs}",
        submitted_at.elapsed().as_secs_f64()
    ));
    match listed < ITEMS && runs == 0 {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}
