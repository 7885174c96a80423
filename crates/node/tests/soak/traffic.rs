//! Live requests, and lots that are submitted and ended.

use std::{
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::{Bytes, Method, Response, StatusCode};
use comfreyramp_standins::runner::RequestedStream;
use rand::{Rng, rngs::StdRng};
use tokio::{task::JoinSet, time::error::Elapsed};

use crate::{
    ENTRY_DAEMONS, SoakContext,
    faulty_engine::failure_text,
    fleet::{CallerRequest, stream_of},
    fork_random,
    readers::follow_lot,
};

/// The time after which a caller abandons a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How long the stream of a named request takes, in milliseconds.
const LIVE_MS: u64 = 180;
/// How the body of a server's failure begins.
const FAILURE_START: &str = "fail";
/// The time between lots. Several are open at any time, so whichever daemon is lost was
/// running one.
const LOT_INTERVAL: Duration = Duration::from_millis(450);
/// The number of callers that read a lot.
const READERS_PER_LOT: usize = 4;
/// How often a caller tries to submit a lot.
const SUBMIT_ATTEMPTS: usize = 3;
/// The number of items of a lot that is ended: more than run in parallel for some seconds,
/// so that a daemon which doesn't know of the end starts further ones.
const LONG_LOT_ITEMS: Range<usize> = 50..80;
/// How often a caller requests the end of a lot.
const END_ATTEMPTS: usize = 6;

/// A request that may run once, and whether its caller was told that it hadn't run.
#[derive(Clone, Debug)]
pub(crate) struct OnceRequest {
    pub(crate) id: String,
    pub(crate) was_refused: bool,
}

/// Sends live requests one after the other until the soak ends, and returns those that may
/// run once. Their ids begin with `name`.
pub(crate) async fn send_requests(
    context: Arc<SoakContext>,
    name: String,
    mut random: StdRng,
) -> Vec<OnceRequest> {
    let seed = context.seed;
    let mut requests = Vec::new();
    let mut number = 0;
    while !context.stop.is_cancelled() {
        number += 1;
        let is_once = random.random_bool(0.5);
        let id = format!("{name}-{number}");
        // Requests with the same body are refused once several have made servers crash.
        let body = match number % 4 < 2 {
            true => "verse".to_owned(),
            false => format!("takes {LIVE_MS} as {id}"),
        };
        let path = if is_once { "/once/1" } else { "/drafts/1" };
        let call = context.callers.send(
            number % ENTRY_DAEMONS,
            CallerRequest::post(path, &id, body.as_bytes()),
        );
        let mut was_refused = false;
        if let Ok(Ok(response)) = with_timeout(call).await {
            was_refused = is_refusal(response.status());
            if let Err(text) = check_answer(&id, body.as_bytes(), &response) {
                let text = format!("seed {seed}: {id}: {text}");
                eprintln!("soak: violation: {text}");
                context.ledger().violations.push(text);
            }
        }
        requests.extend(is_once.then_some(OnceRequest { id, was_refused }));
    }
    requests
}

/// Returns whether a status promises that the request hasn't run and never will.
fn is_refusal(status: StatusCode) -> bool {
    matches!(status.as_u16(), 408 | 421 | 429 | 503)
}

/// Checks that an answer belongs to its request and is whole.
fn check_answer(id: &str, body: &[u8], response: &Response<Bytes>) -> Result<(), String> {
    if let Some(answered) = response.headers().get("x-request-id")
        && answered.as_bytes() != id.as_bytes()
    {
        return Err(format!("an answer with another id: {response:?}"));
    }
    let text = String::from_utf8_lossy(response.body());
    let expected = match response.status() {
        StatusCode::OK => stream_of(&RequestedStream::parse(body)),
        // Only servers send these.
        StatusCode::INTERNAL_SERVER_ERROR | StatusCode::UNPROCESSABLE_ENTITY => failure_text(id),
        // An answer of the daemon itself.
        _ if !text.starts_with(FAILURE_START) => return Ok(()),
        _ => failure_text(id),
    };
    match text == expected {
        true => Ok(()),
        false => Err(format!(
            "not the whole answer to this request: {response:?}"
        )),
    }
}

async fn with_timeout<T>(call: impl Future<Output = T>) -> Result<T, Elapsed> {
    tokio::time::timeout(CALL_TIMEOUT, call).await
}

/// Submits lots at any daemon until the soak ends. Each accepted lot has its readers, and a
/// few are ended.
pub(crate) async fn submit_lots(context: Arc<SoakContext>, mut random: StdRng) {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while !context.stop.is_cancelled() {
        number += 1;
        let lot = format!("lot-{}-{number}", context.seed);
        let is_ended = random.random_bool(0.15);
        let bodies = match is_ended {
            true => draw_bodies(&mut random, &lot, LONG_LOT_ITEMS, 300..900),
            false => draw_bodies(&mut random, &lot, 1..8, 200..2_600),
        };
        let submitted_at = Instant::now();
        if submit_lot(&context, &lot, &bodies, &mut random).await {
            context
                .ledger()
                .accept(&lot, &bodies, submitted_at, Instant::now());
            for daemon in (0..ENTRY_DAEMONS).cycle().take(READERS_PER_LOT) {
                let reader = follow_lot(
                    context.clone(),
                    daemon,
                    lot.clone(),
                    fork_random(&mut random),
                );
                tasks.spawn(reader);
            }
            if is_ended {
                tasks.spawn(end_lot(context.clone(), lot, fork_random(&mut random)));
            }
        }
        tokio::time::sleep(LOT_INTERVAL).await;
    }
    while let Some(finished) = tasks.join_next().await {
        finished.unwrap();
    }
}

/// Submits a lot until a daemon accepts it, as callers do: a lot without a response may
/// have been accepted. Returns whether a daemon accepted it.
async fn submit_lot(
    context: &SoakContext,
    lot: &str,
    bodies: &[String],
    random: &mut StdRng,
) -> bool {
    let bodies: Vec<&str> = bodies.iter().map(String::as_str).collect();
    let mut was_refused = true;
    for _ in 0..SUBMIT_ATTEMPTS {
        let daemon = random.random_range(0..ENTRY_DAEMONS);
        let call = context.callers.submit_lot(daemon, lot, &bodies);
        match with_timeout(call).await {
            Ok(Ok(StatusCode::ACCEPTED)) => return true,
            Ok(Ok(StatusCode::SERVICE_UNAVAILABLE)) => {}
            _ => was_refused = false,
        }
    }
    if was_refused {
        context.ledger().refused.push(lot.to_owned());
    }
    false
}

/// Draws bodies of items that take different times, so that the results arrive in several
/// groups. Each asks for a stream that names its item.
fn draw_bodies(
    random: &mut StdRng,
    lot: &str,
    count: Range<usize>,
    millis: Range<u64>,
) -> Vec<String> {
    let numbers = 0..random.random_range(count);
    let bodies = numbers.map(|number| {
        let millis = random.random_range(millis.clone());
        format!("takes {millis} as {lot}-{number}")
    });
    bodies.collect()
}

/// Ends a lot while it runs, with requests to any daemon until one acknowledges it.
async fn end_lot(context: Arc<SoakContext>, lot: String, mut random: StdRng) {
    tokio::time::sleep(Duration::from_millis(random.random_range(200..2_000))).await;
    context.ledger().lot(&lot).end_requested_at = Some(Instant::now());
    let path = format!("/-/lots/{lot}");
    for _ in 0..END_ATTEMPTS {
        let mut request = CallerRequest::get(&path);
        request.method = Method::DELETE;
        let call = context
            .callers
            .send(random.random_range(0..ENTRY_DAEMONS), request);
        if let Ok(Ok(response)) = with_timeout(call).await
            && response.status() == StatusCode::OK
        {
            context.ledger().lot(&lot).end_acknowledged_at = Some(Instant::now());
            return;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
