//! Callers that read lots during the whole soak, at every daemon and from several
//! positions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::{Bytes, Response, StatusCode};
use rand::{Rng, rngs::StdRng};
use serde_json::Value;

use crate::{
    SoakContext,
    fleet::CallerRequest,
    lot_ledger::{LotRead, ReadEvidence},
};

/// The time after which a caller abandons a read.
const READ_TIMEOUT: Duration = Duration::from_millis(3_000);
/// How often a daemon is asked whether it lists an item whose body it reported as unknown.
/// With the delay between them, these attempts take longer than any fault lasts.
const LIST_ATTEMPTS: usize = 100;

/// Reads a lot at one daemon until the soak ends. It starts some time after the lot was
/// accepted, and pauses now and then: others have read the lot elsewhere by then, and the
/// daemon's copy may be old or new.
pub(crate) async fn follow_lot(
    context: Arc<SoakContext>,
    daemon: usize,
    lot: String,
    mut random: StdRng,
) {
    sleep_randomly(&context, &mut random, 0..2_500).await;
    while !context.stop.is_cancelled() {
        match random.random_bool(0.15) {
            true => read_body(&context, daemon, &lot, &mut random).await,
            false => read_results(&context, daemon, &lot, &mut random).await,
        }
        match random.random_bool(0.1) {
            true => sleep_randomly(&context, &mut random, 1_000..3_000).await,
            false => sleep_randomly(&context, &mut random, 100..400).await,
        }
    }
}

async fn sleep_randomly(context: &SoakContext, random: &mut StdRng, millis: std::ops::Range<u64>) {
    let duration = Duration::from_millis(random.random_range(millis));
    // The end of the soak also ends the pause.
    let _ = tokio::time::timeout(duration, context.stop.cancelled()).await;
}

async fn read_results(context: &SoakContext, daemon: usize, lot: &str, random: &mut StdRng) {
    let observed = context.ledger().lot(lot).observed_count();
    let after = match random.random_range(0..4) {
        0 => 0,
        // The last position that any reader has received, or the one after it.
        1 | 2 => observed.saturating_sub(random.random_range(0..2)),
        _ => random.random_range(0..=observed),
    };
    read_page(context, daemon, lot, after).await;
}

/// Reads a lot from a position on, and checks the response against what readers received
/// before. Returns the response if there was one.
pub(crate) async fn read_page(
    context: &SoakContext,
    daemon: usize,
    lot: &str,
    after: usize,
) -> Option<Response<Bytes>> {
    let path = format!("/-/lots/{lot}?after={after}");
    let sent_at = Instant::now();
    let response = with_timeout(context.callers.send(daemon, CallerRequest::get(&path))).await?;
    let read = LotRead {
        lot,
        daemon,
        after,
        sent_at,
        answered_at: Instant::now(),
    };
    let fault_log = context.fault_log();
    let evidence = ReadEvidence {
        fault_log: &fault_log,
        engines: &context.engines,
        retention: context.retention,
    };
    context.ledger().check_response(read, &response, evidence);
    Some(response)
}

/// Reads the body of an item of which no reader has received a result.
async fn read_body(context: &SoakContext, daemon: usize, lot: &str, random: &mut StdRng) {
    let (item, body) = {
        let mut ledger = context.ledger();
        let record = ledger.lot(lot);
        let number = random.random_range(0..record.bodies.len());
        (format!("{lot}-{number}"), record.bodies[number].clone())
    };
    if context.ledger().lot(lot).is_listed(&item) {
        return;
    }
    let path = format!("/-/items/{lot}?id={item}");
    let sent_at = Instant::now();
    let Some(response) =
        with_timeout(context.callers.send(daemon, CallerRequest::get(&path))).await
    else {
        return;
    };
    let read = LotRead {
        lot,
        daemon,
        after: 0,
        sent_at,
        answered_at: Instant::now(),
    };
    let is_violation = match response.status() {
        StatusCode::OK => {
            context.ledger().counts.bodies += 1;
            response.body() != body.as_bytes()
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => false,
        StatusCode::NOT_FOUND => is_body_required(context, read, &item).await,
        _ => true,
    };
    if is_violation {
        let text = format!("the body of {item}: {response:?}");
        context.ledger().report_violation(read, &text);
    }
}

/// Returns whether the daemon must return the body of an item: the lot must be known
/// everywhere and wasn't ended, and the daemon doesn't list a result of the item right
/// after.
async fn is_body_required(context: &SoakContext, read: LotRead<'_>, item: &str) -> bool {
    let is_required = {
        let mut ledger = context.ledger();
        let record = ledger.lot(read.lot);
        record.is_settled(read.sent_at) && record.end_requested_at.is_none()
    };
    if !is_required {
        return false;
    }
    for _ in 0..LIST_ATTEMPTS {
        let response = read_page(context, read.daemon, read.lot, 0).await;
        if let Some(response) = response.filter(|it| it.status() == StatusCode::OK) {
            let page: Value = serde_json::from_slice(response.body()).unwrap();
            let results = page["results"].as_array().unwrap();
            return results.iter().all(|it| it["id"] != item);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    true
}

/// Returns the response that arrives before the caller abandons the read, if any.
async fn with_timeout(
    call: impl Future<Output = Result<Response<Bytes>, String>>,
) -> Option<Response<Bytes>> {
    let response = tokio::time::timeout(READ_TIMEOUT, call).await;
    response.ok()?.ok()
}
