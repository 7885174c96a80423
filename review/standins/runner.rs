//! Model runners: each is a process of its own, which a request may crash.

use std::{
    io::{BufRead, BufReader, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{Message, answer, serve},
    record::Record,
    store::Store,
};

const HEARTBEAT: Duration = Duration::from_millis(1_200);
const DEFAULT_INTERVAL_MS: u64 = 15;
/// How long after its first event a request crashes the runner.
const CRASH_DELAY: Duration = Duration::from_millis(30);
/// How long after a crash a runner is back.
const RESTART_DELAY: Duration = Duration::from_millis(2_000);
const DEFAULT_EVENTS: u64 = 10;

/// A request that a runner began to work on.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: f64,
    pub request: String,
}

/// A runner's process, as the scenario sees it. It is started again after a crash.
#[derive(Clone)]
pub struct Runner {
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// When it crashed.
    pub crashes: Arc<Mutex<Vec<f64>>>,
    child: Arc<Mutex<Option<Child>>>,
}

/// What a runner is.
#[derive(Clone)]
pub struct RunnerOptions {
    pub id: &'static str,
    pub service: &'static str,
    pub zone: &'static str,
    /// Whether failures have no length and end with their connection.
    pub ends_with_connection: bool,
}

impl Runner {
    /// Starts a runner and keeps its entry in the store.
    pub fn start(store: &Store, options: RunnerOptions, ip: IpAddr, record: &Record) -> Runner {
        let runner = Runner {
            runs: Arc::default(),
            crashes: Arc::default(),
            child: Arc::default(),
        };
        let free = TcpListener::bind((ip, 0)).expect("a free port");
        let address = free.local_addr().expect("an address");
        drop(free);
        let (own, store, record) = (runner.clone(), store.clone(), record.clone());
        thread::spawn(move || {
            for start in 1.. {
                // Each start is a new incarnation with a new id.
                let id = format!("{}-{start}", options.id);
                own.run_process(&store, &options, &id, address, &record);
                record.note(&format!("runner {id} crashes"));
                own.crashes.lock().expect("crashes").push(record.now());
                thread::sleep(RESTART_DELAY);
                store.remove(&format!("servers/{id}"));
            }
        });
        runner
    }

    /// Runs the process until it ends.
    fn run_process(
        &self,
        store: &Store,
        options: &RunnerOptions,
        id: &str,
        address: SocketAddr,
        record: &Record,
    ) {
        let program = std::env::current_exe().expect("the own program");
        let mut command = Command::new(program);
        let framing = if options.ends_with_connection {
            "close"
        } else {
            "length"
        };
        let born = SystemTime::now().duration_since(UNIX_EPOCH);
        let born = born.map_or(0, |it| it.as_millis()).to_string();
        command.args(["runner", id, &address.to_string(), framing, &born]);
        command
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null());
        let mut child = command.spawn().expect("a runner's process");
        let lines = BufReader::new(child.stdout.take().expect("its output"));
        *self.child.lock().expect("child") = Some(child);
        let is_alive = Arc::new(Mutex::new(true));
        let beating = is_alive.clone();
        let (store, options, key) = (store.clone(), options.clone(), format!("servers/{id}"));
        thread::spawn(move || {
            for seq in 1.. {
                let is_alive = beating.lock().expect("state");
                if !*is_alive {
                    return;
                }
                let RunnerOptions { service, zone, .. } = options;
                let entry = format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":8,"state":"ready","cold_left_ms":0,"seq":{seq},"born":{born}}}"#
                );
                store.put(&key, &entry);
                drop(is_alive);
                thread::sleep(HEARTBEAT);
            }
        });
        for line in lines.lines().map_while(Result::ok) {
            record.note(&format!("runner {id} runs {line}"));
            let request = line.split(' ').next().unwrap_or_default().to_owned();
            let at = record.now();
            self.runs.lock().expect("runs").push(Run { at, request });
        }
        *is_alive.lock().expect("state") = false;
        if let Some(mut child) = self.child.lock().expect("child").take() {
            let _ = child.wait();
        }
    }

    pub fn stop(&self) {
        if let Some(child) = self.child.lock().expect("child").as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn runs_of(&self, request: &str) -> Vec<f64> {
        let runs = self.runs.lock().expect("runs");
        let same = runs.iter().filter(|it| it.request == request);
        same.map(|it| it.at).collect()
    }
}

/// The process of a runner: `runner ID ADDRESS FRAMING BORN`. It ends with its standard input.
pub fn serve_runner(arguments: &[String]) -> Option<()> {
    let [id, address, framing, born] = arguments else {
        return None;
    };
    let listener = TcpListener::bind(address.parse::<SocketAddr>().ok()?).ok()?;
    let (id, ends_with_connection, born) = (id.clone(), framing == "close", born.clone());
    serve(listener, move |request, writer| {
        if request.path() == "/-/report" {
            let report =
                format!(r#"{{"busy":false,"seq":1,"waiting":0,"running":0,"born":{born}}}"#);
            return writer
                .write_all(&answer(200, "", report.as_bytes()))
                .is_ok();
        }
        answer_request(&id, ends_with_connection, request, writer)
    });
    let mut end = String::new();
    while std::io::stdin().read_line(&mut end).is_ok_and(|it| it > 0) {}
    Some(())
}

/// Answers a request. Returns whether the connection goes on.
fn answer_request(
    id: &str,
    ends_with_connection: bool,
    request: &Message,
    writer: &mut TcpStream,
) -> bool {
    let expected = request.header("x-expect-instance");
    if !expected.is_empty() && expected != id {
        return writer
            .write_all(&answer(421, "x-not-run: 1\r\n", b""))
            .is_ok();
    }
    let request_id = request.header("x-request-id");
    let body = String::from_utf8_lossy(&request.body);
    let mut words = body.split(' ');
    let word = words.next().unwrap_or_default();
    let status = match word {
        "fails" => 500,
        "never" => 422,
        _ => 200,
    };
    let after = request.header("last-event-id");
    let path = request.path();
    println!("{request_id} {path} body={body} after={after}: {status}");
    if word == "crash-at-once" {
        std::process::abort();
    }
    let headers =
        format!("x-request-id: {request_id}\r\nx-response-signature: {id}.{request_id}\r\n");
    if status != 200 {
        let body = format!("the request fails with {status}");
        if !ends_with_connection {
            return writer
                .write_all(&answer(status, &headers, body.as_bytes()))
                .is_ok();
        }
        let head = format!("HTTP/1.1 {status} Status\r\n{headers}connection: close\r\n\r\n");
        let _ = writer.write_all(&[head.as_bytes(), body.as_bytes()].concat());
        let _ = writer.shutdown(Shutdown::Write);
        return false;
    }
    let events = words
        .next()
        .and_then(|it| it.parse().ok())
        .unwrap_or(DEFAULT_EVENTS);
    let size = words.next().and_then(|it| it.parse().ok());
    let interval = words.next().and_then(|it| it.parse().ok());
    let interval = Duration::from_millis(interval.unwrap_or(DEFAULT_INTERVAL_MS));
    let crashes = word == "crash";
    let data = |event| event_data(request_id, event, size);
    stream(
        writer,
        &headers,
        after.parse().unwrap_or(0)..events,
        data,
        interval,
        crashes,
    )
    .is_ok()
}

fn stream(
    writer: &mut TcpStream,
    headers: &str,
    events: std::ops::Range<u64>,
    data: impl Fn(u64) -> String,
    interval: Duration,
    crashes: bool,
) -> std::io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{headers}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes())?;
    for event in events.start + 1..=events.end {
        thread::sleep(interval);
        let text = format!("id: {event}\ndata: {}\n\n", data(event));
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        writer.write_all(chunk.as_bytes())?;
        if crashes {
            thread::sleep(CRASH_DELAY);
            std::process::abort();
        }
    }
    writer.write_all(b"0\r\n\r\n")
}

/// Returns the data of an event: a word, or as many letters as `size` says.
fn event_data(request: &str, event: u64, size: Option<usize>) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let Some(size) = size else {
        return format!("word-{event}");
    };
    let seed = request
        .bytes()
        .fold(event, |seed, it| seed.wrapping_mul(31) + u64::from(it));
    let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
    let letters = (0..size).map(|_| {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        LETTERS[(state >> 33) as usize % LETTERS.len()] as char
    });
    letters.collect()
}

/// Returns the output of an item that ran to its end.
pub fn whole_output(item: &str, events: Option<u64>, size: Option<usize>) -> String {
    let events = 1..=events.unwrap_or(DEFAULT_EVENTS);
    let data: Vec<String> = events.map(|it| event_data(item, it, size)).collect();
    data.join("\n")
}
