//! A request crashes each runner that runs it, after its first event, and comes again and
//! again.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    callers::{HOST, KEY, settings},
    fleet::{Daemon, DaemonOptions, Folder},
    http,
    record::Record,
    runner::{POISON, Runner, RunnerOptions, Work},
    store::Store,
};

const FRONTS: usize = 2;
const RUNNERS: usize = 6;
/// How often the request comes again.
const COME_AGAIN: Duration = Duration::from_millis(1_500);
/// How long a crashed runner is away.
const AWAY_TIME: Duration = Duration::from_secs(2);
/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(30);
/// More retries than these, later than `CONTACT` after the third crash, break the rule.
const ALLOWED_RETRIES: usize = 3;

pub fn run(record: &Record, has_trouble: bool) -> Result<Verdict, String> {
    let text = |error: std::io::Error| error.to_string();
    let folder = Folder::new().map_err(text)?;
    let (store, store_address) = Store::start().map_err(text)?;
    store.put("op/config", &settings());
    let mut runners = Vec::new();
    for number in 1..=RUNNERS {
        let options = RunnerOptions {
            id: format!("i-engine-{number}"),
            service: "engines".to_owned(),
            zone: "zone-a".to_owned(),
            slots: 8,
            work: Work::Stream {
                events: 20,
                event_bytes: 70,
                pause: Duration::from_millis(15),
            },
        };
        runners.push(Runner::start(options, &store, record.clone()).map_err(text)?);
    }
    let mut fronts = Vec::new();
    for number in 1..=FRONTS {
        let options = DaemonOptions {
            name: format!("front-{number}"),
            zone: "zone-a".to_owned(),
            is_front: true,
            memory_mb: 260,
        };
        let daemon = Daemon::start(options, number as u8, store_address, &folder);
        fronts.push(daemon.map_err(text)?);
    }
    if !fronts.iter().all(|it| it.wait_ready()) {
        return Err("a front daemon isn't ready".to_owned());
    }
    // From now on all machines are in touch, and nothing happens to them.
    std::thread::sleep(CONTACT);

    let body = if has_trouble { POISON } else { b"sound!" };
    let begun_at = Instant::now();
    let mut third_crash_at = None;
    let mut crashes = 0;
    let mut retries = 0;
    let mut away: VecDeque<(Instant, usize)> = VecDeque::new();
    let mut number = 0;
    while begun_at.elapsed() < LENGTH {
        while let Some((back_at, runner)) = away.front().copied()
            && back_at <= Instant::now()
        {
            away.pop_front();
            runners[runner].start_again(&store);
        }
        number += 1;
        let now = Instant::now();
        let front = &fronts[number % FRONTS];
        let id = format!("again{number}");
        let headers = [
            ("Host", HOST),
            ("Api-Key", KEY),
            ("X-Request-Id", id.as_str()),
            ("X-Deadline-Ms", "5000"),
        ];
        let wait = Duration::from_secs(5);
        let answer = http::call(front.callers, "POST", "/lohu930/2f", &headers, body, wait);
        let outcome = answer.map_or_else(|it| it.to_string(), |it| it.status.to_string());
        record.line(format!("client: {id} at {}: {outcome}", front.options.name));
        let has_run = |it: &usize| runners[*it].runs().iter().any(|run| run.0 == id);
        let ran_at: Vec<usize> = (0..RUNNERS).filter(has_run).collect();
        let is_late = third_crash_at.is_some_and(|it| now.duration_since(it) > CONTACT);
        if has_trouble {
            crashes += ran_at.len();
            retries += usize::from(is_late && !ran_at.is_empty());
            away.extend(ran_at.iter().map(|it| (Instant::now() + AWAY_TIME, *it)));
        }
        if crashes >= 3 {
            third_crash_at.get_or_insert(Instant::now());
        }
        std::thread::sleep(COME_AGAIN.saturating_sub(now.elapsed()));
    }
    record.line(format!(
        "the request crashed {crashes} runners; {retries} retries reached one later than {} s after the third crash",
        CONTACT.as_secs()
    ));
    match retries > ALLOWED_RETRIES {
        true => Ok(Verdict::Broken),
        false => Ok(Verdict::Held),
    }
}
