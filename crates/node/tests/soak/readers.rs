//! Callers that read lots all the while, at every daemon and from several positions.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::{Bytes, Response, StatusCode};
use rand::{Rng, rngs::StdRng};
use serde_json::Value;

use crate::{Stage, fleet::Ask, lot_ledger::LotRead};

/// Callers give a read up after this.
const READ_PATIENCE: Duration = Duration::from_millis(3_000);
/// How often a daemon is asked whether it lists an item whose body it denied, longer
/// than any fault lasts.
const LIST_TRIES: usize = 100;

/// Reads a lot at one daemon until the soak ends. It begins some time after the lot
/// was accepted, and has breaks: others have read it elsewhere by then, and what the
/// daemon knows of it is old or new.
pub(crate) async fn follow_lot(stage: Arc<Stage>, node: usize, lot: String, mut random: StdRng) {
    pause(&stage, &mut random, 0..2_500).await;
    while !stage.stop.is_cancelled() {
        match random.random_bool(0.15) {
            true => read_body(&stage, node, &lot, &mut random).await,
            false => read_results(&stage, node, &lot, &mut random).await,
        }
        match random.random_bool(0.1) {
            true => pause(&stage, &mut random, 1_000..3_000).await,
            false => pause(&stage, &mut random, 100..400).await,
        }
    }
}

async fn pause(stage: &Stage, random: &mut StdRng, millis: std::ops::Range<u64>) {
    let span = Duration::from_millis(random.random_range(millis));
    // The end of the soak ends the pause too.
    let _ = tokio::time::timeout(span, stage.stop.cancelled()).await;
}

async fn read_results(stage: &Stage, node: usize, lot: &str, random: &mut StdRng) {
    let known = stage.ledger().lot(lot).known();
    let after = match random.random_range(0..4) {
        0 => 0,
        // The newest that anybody was shown, and what comes next.
        1 | 2 => known.saturating_sub(random.random_range(0..2)),
        _ => random.random_range(0..=known),
    };
    read_page(stage, node, lot, after).await;
}

/// Reads a lot from a position on, and holds the answer against what was shown.
/// Returns it where there was one.
pub(crate) async fn read_page(
    stage: &Stage,
    node: usize,
    lot: &str,
    after: usize,
) -> Option<Response<Bytes>> {
    let path = format!("/-/lots/{lot}?after={after}");
    let sent = Instant::now();
    let answer = patient(stage.callers.ask(node, Ask::get(&path))).await?;
    let read = LotRead {
        lot,
        node,
        after,
        sent,
        answered: Instant::now(),
    };
    let harms = stage.harms();
    stage.ledger().take(read, &answer, &harms);
    Some(answer)
}

/// Reads the body of an item that isn't listed, as far as anybody knows.
async fn read_body(stage: &Stage, node: usize, lot: &str, random: &mut StdRng) {
    let (item, body) = {
        let mut ledger = stage.ledger();
        let record = ledger.lot(lot);
        let number = random.random_range(0..record.bodies.len());
        (format!("{lot}-{number}"), record.bodies[number].clone())
    };
    if stage.ledger().lot(lot).is_listed(&item) {
        return;
    }
    let path = format!("/-/items/{lot}?id={item}");
    let sent = Instant::now();
    let Some(answer) = patient(stage.callers.ask(node, Ask::get(&path))).await else {
        return;
    };
    let read = LotRead {
        lot,
        node,
        after: 0,
        sent,
        answered: Instant::now(),
    };
    let broken = match answer.status() {
        StatusCode::OK => {
            stage.ledger().counts.bodies += 1;
            answer.body() != body.as_bytes()
        }
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => false,
        StatusCode::NOT_FOUND => is_body_due(stage, read, &item).await,
        _ => true,
    };
    if broken {
        let text = format!("the body of {item}: {answer:?}");
        stage.ledger().break_promise(read, &text);
    }
}

/// Whether the body of an item has to be shown: its lot is settled and wasn't ended,
/// and the item isn't listed right after.
async fn is_body_due(stage: &Stage, read: LotRead<'_>, item: &str) -> bool {
    let is_due = {
        let mut ledger = stage.ledger();
        let record = ledger.lot(read.lot);
        record.is_settled(read.sent) && record.end_asked.is_none()
    };
    if !is_due {
        return false;
    }
    for _ in 0..LIST_TRIES {
        let answer = read_page(stage, read.node, read.lot, 0).await;
        if let Some(answer) = answer.filter(|it| it.status() == StatusCode::OK) {
            let page: Value = serde_json::from_slice(answer.body()).unwrap();
            let results = page["results"].as_array().unwrap();
            return results.iter().all(|it| it["id"] != item);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    true
}

/// What is answered before the caller gives up; nothing where there is no answer.
async fn patient(
    asking: impl Future<Output = Result<Response<Bytes>, String>>,
) -> Option<Response<Bytes>> {
    let answer = tokio::time::timeout(READ_PATIENCE, asking).await;
    answer.ok()?.ok()
}
