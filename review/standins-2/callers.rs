//! Clients that send one plain request after the other over kept connections, and what the
//! rule LOST says of what they saw.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread::JoinHandle,
    time::Duration,
};

use crate::{Verdict, http::Connection, record::Record, runner::Runner};

pub const HOST: &str = "ficu95.example";
pub const KEY: &str = "2b9wu3fexd9dnn2ctnfz";
/// More than this many requests that were passed on and got no answer break the rule.
const ALLOWED_LOSSES: usize = 3;

/// What the callers saw.
#[derive(Default)]
pub struct Seen {
    sent: AtomicUsize,
    answered: AtomicUsize,
    /// The ids of requests whose connection was closed without an answer.
    closed: Mutex<Vec<String>>,
}

impl Seen {
    /// Starts so many callers, which go on until `stop` is set.
    pub fn start_callers(
        self: &Arc<Self>,
        callers: usize,
        front: SocketAddr,
        stop: &Arc<AtomicBool>,
        record: &Record,
    ) -> Vec<JoinHandle<()>> {
        let start = |caller: usize| {
            let (seen, stop, record) = (self.clone(), stop.clone(), record.clone());
            std::thread::spawn(move || call_on(caller, front, &seen, &stop, &record))
        };
        (0..callers).map(start).collect()
    }

    /// Judges the rule LOST: a request from a kept connection was passed on to a sound
    /// runner, and its connection closed without an answer, more than three times.
    pub fn judge(&self, runner: &Runner, record: &Record) -> Verdict {
        let ran: Vec<String> = runner.runs().into_iter().map(|it| it.0).collect();
        let closed = self.closed.lock().unwrap();
        let lost = closed.iter().filter(|it| ran.contains(it)).count();
        record.line(format!(
            "requests: {} sent, {} answered, {} closed without an answer, of which {lost} had been passed on",
            self.sent.load(Ordering::SeqCst),
            self.answered.load(Ordering::SeqCst),
            closed.len(),
        ));
        match lost > ALLOWED_LOSSES {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    }
}

/// Returns a configuration with a route of batch jobs, a plain one and one of streams that
/// can't be resumed.
pub fn settings() -> String {
    let route = |name: &str, prefix: &str, kind: &str, service: &str, rest: &str| {
        format!(
            r#"{{"name":"{name}","host":"{HOST}","prefix":"{prefix}","kind":"{kind}","timeout_ms":15000,"target_latency_ms":600,"priority":2,"service":"{service}","attempts":1,"public":false{rest}}}"#
        )
    };
    let lots = route(
        "r-lots",
        "/pule252/",
        "batch",
        "engines",
        r#","completion_target_ms":18000,"retention_s":60"#,
    );
    let plain = route("r-plain", "/puxa403/", "safe", "plain", "");
    let stream = route(
        "r-stream",
        "/lohu930/",
        "stream",
        "engines",
        r#","resumable":false,"gap_aim_ms":300"#,
    );
    format!(
        r#"{{"version":7,"routes":[{lots},{plain},{stream}],"services":[{{"name":"engines","health_path":"/healthz","max_conns":500}},{{"name":"plain","health_path":"/healthz","max_conns":440}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"huka270","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

/// Sends one plain request after the other over a kept connection.
fn call_on(caller: usize, front: SocketAddr, seen: &Seen, stop: &AtomicBool, record: &Record) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut connection) = Connection::open(front, Duration::from_secs(6)) else {
            std::thread::sleep(Duration::from_millis(100));
            continue;
        };
        while !stop.load(Ordering::SeqCst) {
            number += 1;
            let id = format!("c{caller}n{number}");
            let headers = [
                ("Host", HOST),
                ("Api-Key", KEY),
                ("X-Request-Id", id.as_str()),
                ("X-Deadline-Ms", "5000"),
            ];
            let sent = connection.send("POST", "/puxa403/2f", &headers, b"status");
            seen.sent.fetch_add(1, Ordering::SeqCst);
            match sent.and_then(|()| connection.receive()) {
                Ok(answer) => {
                    record.line(format!("client: {id} is answered with {}", answer.status));
                    seen.answered.fetch_add(1, Ordering::SeqCst);
                    if answer.header("connection") == "close" {
                        break;
                    }
                }
                Err(error) => {
                    record.line(format!("client: {id} gets no answer: {error}"));
                    seen.closed.lock().unwrap().push(id);
                    break;
                }
            }
        }
    }
}
