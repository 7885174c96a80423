//! Callers that don't read their answers, at daemons with little memory.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, HOST, KEY, OTHER_KEY};
use futures::{StreamExt as _, stream};
use tokio::{
    io::AsyncWriteExt as _,
    net::{TcpSocket, TcpStream},
};

/// The memory that the daemons are told, in megabytes; half of it is the bound.
const MEMORY_MB: f64 = 8.0;
const BOUND_KB: u64 = 4_000;
/// The number of callers that don't read.
const SLOW_CALLERS: usize = 400;
/// The size of bodies and answers in bytes.
const BODY_BYTES: usize = 100_000;
/// What the process may need beside the bound for each open connection, in kB: hyper's
/// buffers, the task, and one part of a body that has been read and isn't counted yet.
const KB_PER_CONNECTION: u64 = 30;
/// What the process may need beside that, in kB, such as for log lines and fragmentation.
const MARGIN_KB: u64 = 4_000;

/// A caller that sends a request and doesn't read its answer.
struct SlowCaller {
    id: String,
    stream: TcpStream,
}

impl SlowCaller {
    /// Sends a request and waits until the first byte of the answer or the end of the
    /// connection is there to be read. `target` is its method and path.
    async fn send(address: SocketAddr, target: &str, id: String, body: &[u8]) -> SlowCaller {
        let socket = TcpSocket::new_v4().unwrap();
        // Otherwise the caller's system takes all of the answer.
        socket.set_recv_buffer_size(4_096).unwrap();
        let mut stream = socket.connect(address).await.unwrap();
        let length = body.len();
        let head = format!(
            "{target} HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: {id}\r\napi-key: {KEY}\r\n\
             x-deadline-ms: 5000\r\ncontent-length: {length}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        // A connection that is closed meanwhile shows when the answer is read.
        let _ = stream.write_all(body).await;
        let readable = tokio::time::timeout(Duration::from_secs(10), stream.readable());
        readable.await.unwrap().unwrap();
        SlowCaller { id, stream }
    }

    /// Returns the status of the answer, if its beginning was received.
    fn status(&self) -> Option<u16> {
        let mut head = [0; 512];
        let length = self.stream.try_read(&mut head).ok()?;
        let text = String::from_utf8_lossy(&head[..length]).into_owned();
        text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }
}

/// Returns a line of a process's status in kB.
fn process_kb(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let line = status.lines().find(|it| it.starts_with(name)).unwrap();
    line.split_whitespace().nth(1).unwrap().parse().unwrap()
}

fn metric(metrics: &str, name: &str) -> f64 {
    let lines = metrics.lines().filter(|it| it.starts_with(name));
    let values = lines.filter_map(|it| it.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}

async fn bounded_fleet() -> Fleet {
    let mut fleet = Fleet::new().await;
    fleet.put_memory(MEMORY_MB);
    fleet.with_daemons().await
}

/// Sends the requests of slow callers while another customer's callers are served, and
/// checks the bound, the other callers and what the slow callers were told.
async fn check_slow_callers(path: &str, body: &[u8], server: usize) {
    let fleet = bounded_fleet().await;
    let address = fleet.caller_address(0);
    let process = fleet.process_id(0);
    let callers = fleet.callers();
    // The first requests set up what each process needs once.
    for number in 0..20 {
        let id = format!("first-{number}");
        let call = CallerRequest::post("/proofs/1", &id, &[b'x'; 1_000]).key(OTHER_KEY);
        callers.send(0, call).await.unwrap();
    }
    let before_kb = process_kb(process, "VmRSS:");
    let started = Instant::now();
    let (path_of_slow, body) = (format!("POST {path}"), body.to_vec());
    let slow = stream::iter(0..SLOW_CALLERS)
        .map(move |it| {
            let (path, body) = (path_of_slow.clone(), body.clone());
            async move { SlowCaller::send(address, &path, format!("slow-{it}"), &body).await }
        })
        .buffer_unordered(4)
        .collect::<Vec<SlowCaller>>();
    let slow = tokio::spawn(slow);
    let others = async {
        let body = vec![b'y'; BODY_BYTES];
        let mut longest = Duration::ZERO;
        let mut served = 0;
        while !slow.is_finished() || served < 20 {
            let id = format!("other-{served}");
            let sent_at = Instant::now();
            let call = CallerRequest::post("/proofs/2", &id, &body).key(OTHER_KEY);
            let answer = callers.send(0, call).await.unwrap();
            assert_eq!(answer.status(), StatusCode::OK, "request {id}");
            assert_eq!(answer.body().len(), BODY_BYTES);
            longest = longest.max(sent_at.elapsed());
            served += 1;
        }
        (served, longest)
    };
    let (served, longest) = others.await;
    let slow = slow.await.unwrap();
    let took = started.elapsed();
    let peak_kb = process_kb(process, "VmHWM:");
    let metrics = fleet.metrics(0).await;
    let ran: Vec<String> = fleet.servers[server]
        .arrivals()
        .into_iter()
        .filter(|it| it.ran)
        .map(|it| it.request_id)
        .collect();
    let statuses: Vec<(String, Option<u16>)> =
        slow.iter().map(|it| (it.id.clone(), it.status())).collect();
    let count = |status| statuses.iter().filter(|it| it.1 == status).count();
    let ended = metric(&metrics, "comfreyramp_ended_readers_total");
    println!(
        "{path}: VmRSS {before_kb} kB before, VmHWM {peak_kb} kB after {took:?}; 200: {}, 503: {}, \
         none: {}; {ended} ended; {served} others, longest {longest:?}",
        count(Some(200)),
        count(Some(503)),
        count(None),
    );
    let limit_kb = before_kb + BOUND_KB + KB_PER_CONNECTION * SLOW_CALLERS as u64 + MARGIN_KB;
    assert!(
        peak_kb <= limit_kb,
        "VmHWM {peak_kb} kB, limit {limit_kb} kB"
    );
    assert!(metric(&metrics, "comfreyramp_held_bytes") <= (BOUND_KB * 1_000) as f64);
    assert!(ended > 0.0, "the bound wasn't reached");
    let slow_runs = ran.iter().filter(|it| it.starts_with("slow-")).count();
    assert!(
        slow_runs > 60,
        "only {slow_runs} slow callers' requests ran"
    );
    for (id, status) in statuses {
        if status == Some(503) {
            assert!(!ran.contains(&id), "{id} ran and was answered 503");
        }
    }
    drop(slow);
    let all_returned = async || metric(&fleet.metrics(0).await, "comfreyramp_held_bytes") == 0.0;
    fleet
        .eventually("all bytes are returned", all_returned)
        .await;
}

/// Guards against a process that grows with the unread answers of plain servers, with which
/// a VM of 160 MB runs out of memory, and against refusals of requests that ran.
#[tokio::test(flavor = "multi_thread")]
async fn unread_answers_stay_within_the_bound() {
    check_slow_callers("/proofs/1", &[b'x'; BODY_BYTES], 2).await;
}

/// The number of callers that don't read the results of a lot, and the items of the lot, whose
/// results fill a page.
const SLOW_READERS: usize = 80;
const ITEMS: usize = 9;
const EVENT_BYTES: usize = 8_000;

/// Guards against a process that grows with the unread results and items of lots.
#[tokio::test(flavor = "multi_thread")]
async fn unread_pages_of_results_stay_within_the_bound() {
    let fleet = bounded_fleet().await;
    let body = format!("takes 200 as {}", "x".repeat(EVENT_BYTES));
    let bodies: Vec<&str> = (0..ITEMS).map(|_| body.as_str()).collect();
    let submitted = fleet.submit_lot(0, "lot-1", &bodies).await;
    assert_eq!(submitted, Ok(StatusCode::ACCEPTED));
    let page = fleet.read_finished_lot(0, "lot-1").await;
    let page_bytes = page.to_string().len();
    assert!(page_bytes > 800_000, "{page_bytes} bytes");
    let (address, process) = (fleet.caller_address(0), fleet.process_id(0));
    let before_kb = process_kb(process, "VmRSS:");
    let target = "GET /-/lots/lot-1?after=0";
    let slow = stream::iter(0..SLOW_READERS)
        .map(|it| SlowCaller::send(address, target, format!("slow-{it}"), b""))
        .buffer_unordered(8);
    let slow: Vec<SlowCaller> = slow.collect().await;
    let peak_kb = process_kb(process, "VmHWM:");
    let metrics = fleet.metrics(0).await;
    let answered = slow.iter().filter(|it| it.status() == Some(200)).count();
    let ended = metric(&metrics, "comfreyramp_ended_readers_total");
    println!("VmRSS {before_kb} kB before, VmHWM {peak_kb} kB; {answered} answered, {ended} ended");
    // One page is copied, encoded and on its way at a time beside those that are counted.
    let page_kb = 3 * page_bytes as u64 / 1_000;
    let connections_kb = KB_PER_CONNECTION * SLOW_READERS as u64;
    let limit_kb = before_kb + BOUND_KB + page_kb + connections_kb + MARGIN_KB;
    assert!(
        peak_kb <= limit_kb,
        "VmHWM {peak_kb} kB, limit {limit_kb} kB"
    );
    let call = CallerRequest::post("/proofs/1", "other", &[b'y'; BODY_BYTES]).key(OTHER_KEY);
    let answer = fleet.send(0, call).await.unwrap();
    assert_eq!(answer.body().len(), BODY_BYTES);
    drop(slow);
    let all_returned = async || metric(&fleet.metrics(0).await, "comfreyramp_held_bytes") == 0.0;
    fleet
        .eventually("all bytes are returned", all_returned)
        .await;
    let again = fleet.read_finished_lot(0, "lot-1").await;
    assert_eq!(again.to_string().len(), page_bytes);
}
