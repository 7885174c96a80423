//! Playing traces against stand-ins.

// The lints exempt test functions only, not their helpers.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    process::Command,
    sync::{Arc, Mutex},
    time::Duration,
};

use comfreyramp_http::{
    Incoming, MessageBody, Method, Request, Response, ServeLimits, bind, collect_limited,
    json_body, serve,
};
use comfreyramp_load::{
    outcome::RunResult,
    run::{RunOptions, RunTargets, play_trace},
    trace::{
        EventKind, FaultAction, FaultEvent, FaultTarget, LiveEvent, LotEvent, PlainEvent,
        TraceCustomer, TraceEvent, TraceFile,
    },
};
use comfreyramp_standins::{
    engine::{EngineOptions, EngineServer, EngineSettings, answer_token},
    runner::{ClosingAnswer, ClosingServer},
    service::{ServiceOptions, ServiceServer},
};
use serde_json::{Map, Value, json};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

async fn listen() -> (TcpListener, String) {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    (listener, url)
}

async fn start_engine() -> (Arc<EngineServer>, String) {
    let engine = EngineServer::new(EngineOptions {
        settings: EngineSettings::default().time_scale(0.05),
        models: vec!["m".to_owned()],
        ..EngineOptions::default()
    });
    let (listener, url) = listen().await;
    tokio::spawn(engine.clone().run(listener, CancellationToken::new()));
    (engine, url)
}

fn event(at_millis: u64, kind: EventKind) -> TraceEvent {
    let at = Duration::from_millis(at_millis);
    TraceEvent { at, kind }
}

fn live(text: u64, stream: bool) -> EventKind {
    EventKind::Live(LiveEvent {
        text,
        prompt_tokens: 20,
        max_tokens: 6,
        stream,
        ..LiveEvent::default()
    })
}

async fn play(events: Vec<TraceEvent>, targets: RunTargets) -> RunResult {
    play_until(events, targets, CancellationToken::new()).await
}

async fn play_until(
    events: Vec<TraceEvent>,
    targets: RunTargets,
    stop: CancellationToken,
) -> RunResult {
    let trace = TraceFile {
        customers: vec![TraceCustomer {
            name: "a".to_owned(),
            rate: 100.0,
            burst: 100,
        }],
        events,
    };
    let options = RunOptions {
        timeout: Duration::from_secs(20),
        poll_interval: Duration::from_millis(10),
        quiet: true,
        ..RunOptions::default()
    };
    play_trace(trace, targets, options, stop).await
}

#[tokio::test]
async fn live_calls_are_read_to_their_end() {
    let (engine, url) = start_engine().await;
    let targets = RunTargets {
        // Nothing listens on the first address; a load balancer would skip it.
        callers: vec!["http://127.0.0.1:1".to_owned(), url.clone()],
        engines: vec![url],
        keys: vec!["secret".to_owned()],
        model: "m".to_owned(),
        ..RunTargets::default()
    };
    let events = (0..10).map(|it| event(it * 5, live(it, it % 2 == 0)));
    let result = play(events.collect(), targets.clone()).await;
    let live_calls = &result.customers[0].live;
    assert_eq!((live_calls.sent, live_calls.done), (10, 10));
    assert_eq!(live_calls.tokens, 60);
    assert_eq!(
        (live_calls.ttft.count, live_calls.inter_token.count),
        (5, 25)
    );
    assert_eq!(live_calls.duration.count, 10);
    let records = engine.log().list();
    let key = |it: &str| it == "Bearer secret";
    assert!(records.iter().all(|it| key(&it.headers["authorization"])));
    // The calls bypass the daemons, so the engine receives the keys. Behind daemons
    // it must not.
    let seen = &result.engines[0];
    assert_eq!((seen.requests, seen.done, seen.tokens), (10, 10, 60));
    assert_eq!((seen.keys_seen, result.prompts_answered_twice), (10, 0));
    let events = vec![event(0, live(1, true)), event(1, live(1, false))];
    let result = play(events, targets.clone()).await;
    assert_eq!(result.engines[0].requests, 2);
    assert_eq!(result.prompts_answered_twice, 1);
    let unknown = RunTargets {
        model: "other".to_owned(),
        ..targets
    };
    let result = play(vec![event(0, live(1, true))], unknown).await;
    let refusals = &result.customers[0].live.refusals;
    assert_eq!((refusals[0].status, refusals[0].count), (404, 1));
}

/// A response that is cut off looks complete to a caller that doesn't check for the
/// end marker. Counting it as done would hide lost tokens.
#[tokio::test]
async fn faults_are_injected_on_time_and_their_effect_is_reported() {
    let (_, url) = start_engine().await;
    let mut victim = Command::new("sleep").arg("1000").spawn().unwrap();
    let targets = RunTargets {
        callers: vec![url.clone()],
        model: "m".to_owned(),
        engines: vec![url],
        daemon_pids: vec![i32::try_from(victim.id()).unwrap(), 0],
        ..RunTargets::default()
    };
    let fault = |at, target, action| event(at, EventKind::Fault(FaultEvent { target, action }));
    let mut switches = Map::new();
    switches.insert("break_stream_after".to_owned(), Value::from(2));
    let events = vec![
        event(0, live(1, true)),
        fault(500, FaultTarget::Engine(0), FaultAction::Switches(switches)),
        fault(600, FaultTarget::Daemon(0), FaultAction::Kill),
        fault(600, FaultTarget::Daemon(1), FaultAction::Kill),
        fault(600, FaultTarget::Daemon(7), FaultAction::Freeze),
        event(1000, live(2, true)),
        event(1000, live(3, false)),
    ];
    let result = play(events, targets).await;
    let live_calls = &result.customers[0].live;
    assert_eq!((live_calls.done, live_calls.cut), (1, 2));
    let errors = result.faults.iter().filter(|it| it.error.is_some());
    assert_eq!((result.faults.len(), errors.count()), (4, 2));
    assert!(!victim.wait().unwrap().success());
}

/// Responses that are cut off by an ordinary close of their connection must not count as
/// done, whether streamed or not.
#[tokio::test]
async fn a_response_cut_by_an_ordinary_close_is_not_done() {
    let stop = CancellationToken::new();
    let completion = br#"{"choices":[{"message":{"content":"a"}}]}"#;
    let whole = ClosingAnswer::whole(completion);
    let server = ClosingServer::start("closing-1", whole, stop.clone());
    let server = server.await.unwrap();
    server.queue(ClosingAnswer::whole(&completion[..20]));
    server.queue(ClosingAnswer::whole(b"data: {}\n\n"));
    let targets = RunTargets {
        callers: vec![format!("http://{}", server.address)],
        model: "m".to_owned(),
        ..RunTargets::default()
    };
    let events = vec![event(0, live(1, false)), event(300, live(2, true))];
    let result = play(events, targets).await;
    let live_calls = &result.customers[0].live;
    assert_eq!((live_calls.done, live_calls.cut), (0, 2));
}

#[tokio::test]
async fn plain_calls_must_come_back_as_they_were_sent() {
    let service = ServiceServer::new(ServiceOptions::default());
    let (listener, url) = listen().await;
    tokio::spawn(service.clone().run(listener, CancellationToken::new()));
    let targets = RunTargets {
        callers: vec![url],
        model: "m".to_owned(),
        service: "/proofs".to_owned(),
        ..RunTargets::default()
    };
    let call = |text, once| {
        EventKind::Plain(PlainEvent {
            customer: 0,
            text,
            body_bytes: 5000,
            once,
        })
    };
    let events = vec![event(0, call(1, false)), event(1, call(2, true))];
    let result = play(events, targets).await;
    assert_eq!(result.customers[0].plain.done, 2);
    let records = service.log().list();
    let marked = records
        .iter()
        .filter(|it| it.headers.contains_key("x-comfreyramp-run-once"));
    assert_eq!(marked.count(), 1);
    assert!(
        records
            .iter()
            .all(|it| it.path == "/proofs/echo" && it.tokens == 5000)
    );
}

#[tokio::test]
async fn a_run_that_is_stopped_keeps_what_it_has() {
    let (_, url) = start_engine().await;
    let targets = RunTargets {
        callers: vec![url],
        model: "m".to_owned(),
        ..RunTargets::default()
    };
    let stop = CancellationToken::new();
    let hour = 3_600_000;
    let events = vec![event(0, live(1, true)), event(hour, live(2, true))];
    let stopper = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        stop.cancel();
    };
    let run = play_until(events, targets, stop.clone());
    let (result, ()) = tokio::join!(run, stopper);
    assert!(result.interrupted);
    assert_eq!(result.customers[0].live.done, 1);
}

/// A fleet that mixes up two callers, or that loses a token when it resumes a stream
/// on another server, returns responses that end properly. Only a comparison with
/// the expected response detects this.
#[tokio::test]
async fn a_well_formed_answer_is_not_taken_for_the_right_one() {
    let (listener, url) = listen().await;
    tokio::spawn(serve(
        listener,
        ServeLimits::default(),
        CancellationToken::new(),
        answer_wrongly,
    ));
    let targets = RunTargets {
        callers: vec![url],
        model: "m".to_owned(),
        ..RunTargets::default()
    };
    let events = (0..4).map(|it| event(it * 5, live(it, it < 2)));
    let result = play(events.collect(), targets).await;
    let live_calls = &result.customers[0].live;
    assert_eq!((live_calls.done, live_calls.wrong_answers), (0, 2));
    assert_eq!(live_calls.wrong_lengths, 2);
}

/// Streams the complete response to another prompt. Responses that aren't streamed
/// belong to the right prompt, but lack the last token.
async fn answer_wrongly(request: Request<Incoming>) -> Response<MessageBody> {
    let body = collect_limited(request.into_body(), 1 << 20).await.unwrap();
    let request: Value = serde_json::from_slice(&body).unwrap();
    let question = request["messages"][1]["content"].as_str().unwrap();
    if request["stream"] == false {
        let text: String = (0..5).map(|it| answer_token(question, it)).collect();
        let message = json!({ "choices": [{ "message": { "content": text } }] });
        return Response::new(json_body(&message));
    }
    let mut events = String::new();
    for index in 0..6 {
        let delta = json!({ "content": answer_token("another", index) });
        let chunk = json!({ "choices": [{ "delta": delta }] });
        events += &format!("data: {chunk}\n\n");
    }
    Response::new((events + "data: [DONE]\n\n").into())
}

/// An in-memory files and batches API that answers each item as the engine would.
#[derive(Debug, Default)]
struct LotApi {
    files: BTreeMap<String, String>,
    lots: BTreeMap<String, Value>,
    refusals: u32,
}

impl LotApi {
    fn answer(&mut self, method: &Method, path: &str, job: &str, body: &str) -> (u16, String) {
        let parts: Vec<&str> = path.split('/').skip(2).collect();
        match (method.as_str(), parts.as_slice()) {
            ("POST", ["files"]) if self.refusals > 0 => {
                self.refusals -= 1;
                (503, String::new())
            }
            ("POST", ["files"]) => {
                let items = body.split("\r\n\r\n").nth(2).unwrap();
                let items = items.split("\r\n--").next().unwrap();
                self.files.insert(job.to_owned(), items.to_owned());
                (200, json!({ "id": job }).to_string())
            }
            ("POST", ["batches"]) => {
                let request: Value = serde_json::from_str(body).unwrap();
                let file = request["input_file_id"].as_str().unwrap();
                let output = format!("{job}-output");
                let results = self.files[file].lines().map(result_line).collect();
                self.files.insert(output.clone(), results);
                let lot = json!({
                    "id": job,
                    "status": "completed",
                    "output_file_id": output,
                    "request_counts": { "completed": 4, "failed": 0 },
                });
                self.lots.insert(job.to_owned(), lot.clone());
                (200, lot.to_string())
            }
            ("GET", ["batches", id]) => (200, self.lots[*id].to_string()),
            ("GET", ["files", id, "content"]) => (200, self.files[*id].clone()),
            _ => (404, String::new()),
        }
    }
}

fn result_line(line: &str) -> String {
    let item: Value = serde_json::from_str(line).unwrap();
    let question = item["body"]["messages"][1]["content"].as_str().unwrap();
    let tokens = item["body"]["max_tokens"].as_u64().unwrap() as u32;
    let text: String = (0..tokens).map(|it| answer_token(question, it)).collect();
    let body = json!({ "choices": [{ "message": { "content": text } }] });
    let response = json!({ "status_code": 200, "body": body });
    json!({ "custom_id": item["custom_id"], "response": response }).to_string() + "\n"
}

async fn answer_lots(api: Arc<Mutex<LotApi>>, request: Request<Incoming>) -> Response<MessageBody> {
    let (head, body) = request.into_parts();
    let body = collect_limited(body, 1 << 20).await.unwrap();
    let body = std::str::from_utf8(&body).unwrap();
    let job = head.headers.get("idempotency-key");
    let job = job.map_or("", |it| it.to_str().unwrap());
    let path = head.uri.path().to_owned();
    let (status, text) = api.lock().unwrap().answer(&head.method, &path, job, body);
    let mut response = Response::new(MessageBody::from(text));
    if status != 200 {
        response = Response::new(json_body(&json!({ "error": { "code": "busy" } })));
    }
    *response.status_mut() = status.try_into().unwrap();
    response
}

#[tokio::test]
async fn a_lot_is_submitted_polled_and_read() {
    let api = Arc::new(Mutex::new(LotApi {
        refusals: 1,
        ..LotApi::default()
    }));
    let (listener, url) = listen().await;
    let shared = api.clone();
    tokio::spawn(serve(
        listener,
        ServeLimits::default(),
        CancellationToken::new(),
        move |request| answer_lots(shared.clone(), request),
    ));
    let lot = LotEvent {
        job: "job-1".to_owned(),
        items: 4,
        prompt_tokens: 20,
        max_tokens: 3,
        due: Duration::from_secs(30),
        ..LotEvent::default()
    };
    let resent = LotEvent {
        resent: true,
        ..lot.clone()
    };
    let events = vec![
        event(0, EventKind::Lot(lot)),
        event(100, EventKind::Lot(resent)),
    ];
    let targets = RunTargets {
        callers: vec![url],
        model: "m".to_owned(),
        ..RunTargets::default()
    };
    let result = play(events, targets).await;
    let lots = &result.customers[0].lots;
    assert_eq!((lots.sent, lots.acknowledged, lots.doubled), (2, 1, 0));
    assert_eq!((lots.ended, lots.on_time), (1, 1));
    assert_eq!((lots.items_done, lots.items_missing), (4, 0));
    let reported: u32 = result.timeline.iter().map(|it| it.lot_items).sum();
    assert_eq!(reported, 4);
}
