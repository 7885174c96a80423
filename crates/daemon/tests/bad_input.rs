//! Tests of both APIs with malformed and hostile input.

mod support;

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicU32, Ordering},
    time::{Duration, Instant},
};

use comfreyramp_http::{Method, StatusCode};
use rand::{Rng, SeedableRng, rngs::StdRng};
use support::{FleetPlan, KEY, TOKEN, TestFleet, chat, default_settings};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// The seed of all random input.
const SEED: u64 = 0xbad_1234;
/// The time limit for the daemon to answer or to close a connection, except for
/// slow clients.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How long the client waits for the answer to a complete request before it shuts
/// down its side of the connection.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// The same time for a request that may be truncated.
const TRUNCATED_TIMEOUT: Duration = Duration::from_millis(20);

/// Sends bytes and reads until the daemon closes the connection. After `timeout`,
/// the client shuts down its side, since the request may be incomplete.
async fn send(address: SocketAddr, bytes: &[u8], timeout: Duration) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the listener accepts connections");
    // The daemon may answer and close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    if tokio::time::timeout(timeout, read).await.is_err() {
        let _ = stream.shutdown().await;
        let read = stream.read_to_end(&mut answer);
        let ended = tokio::time::timeout(CLOSE_TIMEOUT, read).await;
        assert!(
            ended.is_ok(),
            "the connection stays open: {}",
            String::from_utf8_lossy(bytes)
        );
    }
    String::from_utf8_lossy(&answer).into_owned()
}

async fn send_raw(address: SocketAddr, bytes: &[u8]) -> String {
    send(address, bytes, ANSWER_TIMEOUT).await
}

fn status_of(answer: &str) -> u16 {
    let word = answer.split(' ').nth(1).unwrap_or_default();
    word.parse().unwrap_or(0)
}

fn request(method: &str, target: &str, headers: &str) -> Vec<u8> {
    let lines = [
        format!("{method} {target} HTTP/1.1"),
        "host: door".to_owned(),
        format!("authorization: Bearer {KEY}"),
        "connection: close".to_owned(),
    ];
    format!("{}\r\n{headers}\r\n", lines.join("\r\n")).into_bytes()
}

async fn assert_serves(fleet: &TestFleet) {
    let answer = fleet.chat(0, KEY, &chat("a verse", 1, false)).await;
    assert_eq!(answer.status, StatusCode::OK, "{}", answer.text());
}

/// A caller of a service sends a path that the backend server may resolve to one
/// outside of the service's prefix, to which the caller has no access.
#[tokio::test]
async fn no_path_leaves_a_services_prefix() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.callers;
    let before = fleet.service.log().list().len();
    let targets = [
        "/proofs/../admin",
        "/proofs/..",
        "/proofs/./x",
        "/proofs/%2e%2e/admin",
        "/proofs/%2E./admin",
        "/proofs/..%2fadmin",
        "/proofs/%2e%2e%2Fadmin",
        "/proofs/..%5cadmin",
        "/proofs/..\\admin",
        "/proofs/x/..;a=b/../admin",
        "/proofs/..;/admin",
        "/proofs/%252e%252e/admin",
        "/proofs/%25252e%25252e%25252fadmin",
        "http://elsewhere/proofs/../admin",
    ];
    for target in targets {
        let answer = send_raw(address, &request("GET", target, "")).await;
        assert_eq!(status_of(&answer), 400, "{target}: {answer}");
        assert!(
            answer.contains("x-comfreyramp-ran: no"),
            "{target}: {answer}"
        );
    }
    assert_eq!(fleet.service.log().list().len(), before);
    for target in [
        "/proofs/a%2fb",
        "/proofs/a..b/...",
        "/proofs/.hidden",
        "/proofs/%zz",
    ] {
        let answer = send_raw(address, &request("GET", target, "")).await;
        assert_eq!(status_of(&answer), 200, "{target}: {answer}");
    }
}

/// A request target names another host. The daemon must neither connect to it nor
/// select the service by it.
#[tokio::test]
async fn the_targets_form_doesnt_choose_the_server() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.callers;
    let cases = [
        ("GET", "http://127.0.0.1:1/proofs/x", 200),
        ("GET", "http://127.0.0.1:1/other", 404),
        ("CONNECT", "127.0.0.1:1", 404),
        ("OPTIONS", "*", 404),
        ("GET", "/", 404),
        ("GET", "//proofs/x", 404),
        ("GET", "/proofsheets", 404),
    ];
    for (method, target, status) in cases {
        let answer = send_raw(address, &request(method, target, "")).await;
        assert_eq!(status_of(&answer), status, "{method} {target}: {answer}");
    }
    assert_serves(&fleet).await;
}

/// A client uses a method that a path doesn't support, or sends a HEAD request.
#[tokio::test]
async fn a_wrong_method_gets_the_allowed_methods() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.callers;
    let cases = [
        ("GET", "/v1/chat/completions", "POST"),
        ("PUT", "/v1/completions", "POST"),
        ("POST", "/v1/models", "GET, HEAD"),
        ("DELETE", "/v1/models/demo-model", "GET, HEAD"),
        ("PATCH", "/v1/files", "GET, HEAD, POST"),
        ("POST", "/v1/files/file-1", "DELETE, GET, HEAD"),
        ("POST", "/v1/files/file-1/content", "GET, HEAD"),
        ("DELETE", "/v1/batches", "GET, HEAD, POST"),
        ("POST", "/v1/batches/batch-1", "GET, HEAD"),
        ("GET", "/v1/batches/batch-1/cancel", "POST"),
    ];
    for (method, path, allowed) in cases {
        let answer = send_raw(address, &request(method, path, "")).await;
        assert_eq!(status_of(&answer), 405, "{method} {path}: {answer}");
        assert!(
            answer.contains(&format!("allow: {allowed}\r\n")),
            "{path}: {answer}"
        );
        assert!(answer.contains("x-comfreyramp-ran: no"), "{answer}");
    }
    for path in ["/v1/unknown", "/v1/files/a/b/c", "/v1/chat", "/v1/"] {
        let answer = send_raw(address, &request("GET", path, "")).await;
        assert_eq!(status_of(&answer), 404, "{path}: {answer}");
    }
    let answer = send_raw(address, &request("HEAD", "/v1/models", "")).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    assert!(answer.ends_with("\r\n\r\n"), "unexpected body: {answer}");
    let operators = fleet.daemons[0].addresses.operators;
    let token = format!("authorization: Bearer {TOKEN}\r\nconnection: close\r\n");
    for (method, path, allowed) in [
        ("POST", "/status", "GET, HEAD"),
        ("GET", "/drain", "POST"),
        ("DELETE", "/settings/studio", "GET, HEAD, PUT"),
        ("POST", "/metrics", "GET, HEAD"),
    ] {
        let text = format!("{method} {path} HTTP/1.1\r\nhost: door\r\n{token}\r\n");
        let answer = send_raw(operators, text.as_bytes()).await;
        assert_eq!(status_of(&answer), 405, "{method} {path}: {answer}");
        assert!(
            answer.contains(&format!("allow: {allowed}\r\n")),
            "{path}: {answer}"
        );
    }
}

/// A request head is too long, has too many lines or isn't text. Without a limit,
/// one client could use up the daemon's memory.
#[tokio::test]
async fn heads_are_bounded_and_may_hold_any_bytes() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.callers;
    let long = format!("x-long: {}\r\n", "a".repeat(200_000));
    let answer = send_raw(address, &request("GET", "/v1/models", &long)).await;
    assert_eq!(status_of(&answer), 431, "{answer}");
    let many: String = (0..5000).map(|it| format!("x-{it}: 1\r\n")).collect();
    let answer = send_raw(address, &request("GET", "/v1/models", &many)).await;
    assert_eq!(status_of(&answer), 431, "{answer}");
    let target = format!("/proofs/{}", "a".repeat(200_000));
    let answer = send_raw(address, &request("GET", &target, "")).await;
    assert!([414, 431].contains(&status_of(&answer)), "{answer}");

    let mut bytes = b"GET /v1/models HTTP/1.1\r\nhost: door\r\nconnection: close\r\n".to_vec();
    bytes.extend_from_slice(b"authorization: Bearer \xff\xfe\r\n\r\n");
    let answer = send_raw(address, &bytes).await;
    assert_eq!(status_of(&answer), 401, "{answer}");
    let mut bytes = request("GET", "/proofs/x", "");
    bytes.truncate(bytes.len() - 2);
    bytes.extend_from_slice(b"x-name: \xc3\x28\xff\r\n\r\n");
    let answer = send_raw(address, &bytes).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
    let answer = send_raw(
        address,
        b"GET /proofs/\xff\xc3\x28 HTTP/1.1\r\nhost: door\r\n\r\n",
    )
    .await;
    assert!([400, 401].contains(&status_of(&answer)), "{answer}");
    let both = "content-length: 5\r\ntransfer-encoding: chunked\r\n";
    let mut bytes = request("POST", "/proofs/x", both);
    bytes.extend_from_slice(b"0\r\n\r\nGET /admin HTTP/1.1\r\n\r\n");
    let answer = send_raw(address, &bytes).await;
    let refused = status_of(&answer) == 400;
    assert!(refused || answer.contains("\"body_bytes\":0,"), "{answer}");
    let paths = fleet.service.log().list().into_iter().map(|it| it.path);
    assert!(
        paths.clone().all(|it| it.starts_with("/proofs/")),
        "{:?}",
        paths.collect::<Vec<_>>()
    );
    assert_serves(&fleet).await;
}

/// Clients send a head only partly, or open connections and send nothing. Without
/// a time limit, each would hold a connection forever.
#[tokio::test]
async fn a_slow_head_ends_its_connection() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.callers;
    let began = Instant::now();
    let mut silent = Vec::new();
    for start in ["", "GET /v1/models HT", "GET /v1/models HTTP/1.1\r\nhost:"] {
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the listener accepts connections");
        stream
            .write_all(start.as_bytes())
            .await
            .expect("the bytes are written");
        silent.push(stream);
    }
    assert_serves(&fleet).await;
    for mut stream in silent {
        let mut answer = Vec::new();
        let read = stream.read_to_end(&mut answer);
        let ended = tokio::time::timeout(Duration::from_secs(20), read).await;
        assert!(ended.is_ok(), "still open after {:?}", began.elapsed());
    }
}

/// A client disconnects in the middle of its body. The request must not run.
#[tokio::test]
async fn a_client_that_disconnects_runs_nothing() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.callers;
    let before = fleet.engines[0].server.log().list().len();
    for _ in 0..50 {
        let head = request("POST", "/v1/chat/completions", "content-length: 5000\r\n");
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the listener accepts connections");
        stream
            .write_all(&head)
            .await
            .expect("the bytes are written");
        stream
            .write_all(b"{\"model\": \"demo")
            .await
            .expect("the bytes are written");
        drop(stream);
    }
    assert_serves(&fleet).await;
    assert_eq!(fleet.engines[0].server.log().list().len(), before + 1);
}

/// Callers of a plain service repeatedly disconnect in the middle of their uploads.
/// If these counted as failures of the backend server, one faulty client could take
/// the server out of service for all callers.
#[tokio::test]
async fn uploads_that_break_off_dont_count_as_server_failures() {
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let address = fleet.daemons[0].addresses.callers;
    for _ in 0..30 {
        let head = request("POST", "/proofs/x", "transfer-encoding: chunked\r\n");
        let mut stream = TcpStream::connect(address)
            .await
            .expect("the listener accepts connections");
        stream
            .write_all(&head)
            .await
            .expect("the bytes are written");
        stream
            .write_all(b"64\r\nhalf of it")
            .await
            .expect("the bytes are written");
        tokio::time::sleep(Duration::from_millis(5)).await;
        drop(stream);
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(weight_of_service(&fleet).await, 1.0);
    let answer = send_raw(address, &request("GET", "/proofs/x", "")).await;
    assert_eq!(status_of(&answer), 200, "{answer}");
}

/// A caller's upload stalls while its connection stays open. The call must end at
/// its time limit, and must not count as a failure of the server.
#[tokio::test]
async fn an_upload_that_stalls_doesnt_count_as_a_server_failure() {
    let mut settings = default_settings();
    settings.services[1].timeout_ms = 1000;
    let plan = FleetPlan {
        settings: Some(settings),
        ..FleetPlan::default()
    };
    let fleet = TestFleet::start(plan).await;
    let address = fleet.daemons[0].addresses.callers;
    let mut bytes = request("POST", "/proofs/x", "transfer-encoding: chunked\r\n");
    bytes.extend_from_slice(b"64\r\nhalf of it");
    let answer = send(address, &bytes, CLOSE_TIMEOUT).await;
    assert_eq!(status_of(&answer), 408, "{answer}");
    assert!(answer.contains("x-comfreyramp-ran: unknown"), "{answer}");
    assert_eq!(weight_of_service(&fleet).await, 1.0);
}

async fn weight_of_service(fleet: &TestFleet) -> f64 {
    let status = fleet
        .operators(0, Method::GET, "/status", String::new())
        .await;
    let status = status.json();
    let servers = status["servers"].as_array().expect("servers");
    let service = servers.iter().find(|it| it["name"] == "service-1");
    let weight = service.and_then(|it| it["weight"].as_f64());
    weight.expect("the service's weight")
}

static PANICS: AtomicU32 = AtomicU32::new(0);

fn valid_requests() -> Vec<Vec<u8>> {
    let body = chat("a verse", 1, true).to_string();
    let length = format!("content-length: {}\r\n", body.len());
    let mut post = request("POST", "/v1/chat/completions", &length);
    post.extend_from_slice(body.as_bytes());
    let mut chunked = request("PUT", "/proofs/x?y=z", "transfer-encoding: chunked\r\n");
    chunked.extend_from_slice(b"5\r\nhello\r\n0\r\n\r\n");
    vec![
        post,
        chunked,
        request("GET", "/v1/models", ""),
        request("GET", "/v1/files?limit=3&after=file-1", ""),
        request("GET", "/v1/batches/batch-1", "idempotency-key: a\r\n"),
        b"GET /settings/studio/history HTTP/1.1\r\nhost: a\r\n\r\n".to_vec(),
    ]
}

/// Bytes that are special to an HTTP parser.
const ODD_BYTES: &[u8] = b"\r\n\0%/.;:, \xff";

/// Makes one to four small changes: replaces, removes, inserts or repeats bytes, or
/// truncates the rest.
fn damage(bytes: &mut Vec<u8>, rng: &mut StdRng) {
    for _ in 0..rng.random_range(1..5) {
        if bytes.is_empty() {
            return;
        }
        let at = rng.random_range(0..bytes.len());
        match rng.random_range(0..5) {
            0 => bytes[at] = rng.random(),
            1 => drop(bytes.remove(at)),
            2 => bytes.insert(at, ODD_BYTES[rng.random_range(0..ODD_BYTES.len())]),
            3 => {
                let end = (at + rng.random_range(0..40)).min(bytes.len());
                let piece = bytes[at..end].to_vec();
                bytes.splice(at..at, piece);
            }
            _ => bytes.truncate(at),
        }
    }
}

/// Both APIs receive randomly damaged requests. Each connection must end, the daemon
/// must not panic, and valid requests must be served meanwhile.
#[tokio::test]
async fn damaged_requests_end_and_affect_no_other_request() {
    std::panic::set_hook(Box::new(|panic| {
        PANICS.fetch_add(1, Ordering::SeqCst);
        eprintln!("{panic}");
    }));
    let fleet = TestFleet::start(FleetPlan::default()).await;
    let addresses = fleet.daemons[0].addresses;
    let mut rng = StdRng::seed_from_u64(SEED);
    let valid = valid_requests();
    for round in 0..600 {
        let mut bytes = valid[rng.random_range(0..valid.len())].clone();
        damage(&mut bytes, &mut rng);
        let address = if round % 2 == 0 {
            addresses.callers
        } else {
            addresses.operators
        };
        let answer = send(address, &bytes, TRUNCATED_TIMEOUT).await;
        assert!(!answer.contains(KEY) && !answer.contains(TOKEN), "{answer}");
        if round % 100 == 0 {
            assert_serves(&fleet).await;
        }
    }
    assert_serves(&fleet).await;
    assert_eq!(PANICS.load(Ordering::SeqCst), 0);
}
