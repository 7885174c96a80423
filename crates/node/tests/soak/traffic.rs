//! Live requests, and lots that are handed in and ended.

use std::{
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::{Method, StatusCode};
use rand::{Rng, rngs::StdRng};
use tokio::{task::JoinSet, time::error::Elapsed};

use crate::{
    ENTRIES, Stage, branch,
    fleet::{Ask, whole_stream},
    readers::follow_lot,
};

/// Callers give a call up after this.
const CALL_PATIENCE: Duration = Duration::from_millis(1_200);
/// The pause between lots. Several are open at any time, and whichever daemon is lost
/// was running one.
const LOT_PAUSE: Duration = Duration::from_millis(450);
/// The callers that read a lot.
const READERS: usize = 4;
/// How often a caller hands a lot in.
const HAND_IN_TRIES: usize = 3;
/// The items of a lot that is ended: more than run at once for some seconds, so that
/// whoever hasn't heard of the end starts further ones.
const LONG_LOT: Range<usize> = 50..80;
/// How often a caller asks for the end of a lot.
const END_TRIES: usize = 6;

/// What a caller was told of a request that may run once.
pub(crate) struct Told {
    pub(crate) id: String,
    pub(crate) was_refused: bool,
}

/// Sends live requests one after the other until the soak ends, and returns what
/// callers were told of those that may run once.
pub(crate) async fn send_requests(stage: Arc<Stage>, mut random: StdRng) -> Vec<Told> {
    let seed = stage.seed;
    let mut told = Vec::new();
    let mut number = 0;
    while !stage.stop.is_cancelled() {
        number += 1;
        let is_once = random.random_bool(0.5);
        let id = format!("soak-{seed}-{number}");
        let path = if is_once { "/once/1" } else { "/drafts/1" };
        let asking = stage
            .callers
            .ask(number % ENTRIES, Ask::post(path, &id, b"verse"));
        let mut was_refused = false;
        if let Ok(Ok(answer)) = within(asking).await {
            was_refused = answer.status() == StatusCode::SERVICE_UNAVAILABLE;
            let is_whole = answer.status() != StatusCode::OK || answer.body() == &whole_stream();
            assert!(is_whole, "seed {seed}: {id} looks whole");
        }
        told.extend(is_once.then_some(Told { id, was_refused }));
    }
    told
}

async fn within<T>(asking: impl Future<Output = T>) -> Result<T, Elapsed> {
    tokio::time::timeout(CALL_PATIENCE, asking).await
}

/// Hands lots in, at any daemon, until the soak ends. Each that is accepted has its
/// readers, and a few are ended.
pub(crate) async fn hand_in_lots(stage: Arc<Stage>, mut random: StdRng) {
    let mut tasks = JoinSet::new();
    let mut number = 0;
    while !stage.stop.is_cancelled() {
        number += 1;
        let lot = format!("lot-{}-{number}", stage.seed);
        let is_ended = random.random_bool(0.15);
        let bodies = match is_ended {
            true => draw_bodies(&mut random, LONG_LOT, 300..900),
            false => draw_bodies(&mut random, 1..8, 200..2_600),
        };
        if hand_in(&stage, &lot, &bodies, &mut random).await {
            stage.ledger().accept(&lot, &bodies, Instant::now());
            for node in (0..ENTRIES).cycle().take(READERS) {
                let reader = follow_lot(stage.clone(), node, lot.clone(), branch(&mut random));
                tasks.spawn(reader);
            }
            if is_ended {
                tasks.spawn(end_lot(stage.clone(), lot, branch(&mut random)));
            }
        }
        tokio::time::sleep(LOT_PAUSE).await;
    }
    while let Some(ended) = tasks.join_next().await {
        ended.unwrap();
    }
}

/// Hands a lot in until a daemon accepts it, as callers do: what had no answer may have
/// been accepted. Returns whether one did.
async fn hand_in(stage: &Stage, lot: &str, bodies: &[String], random: &mut StdRng) -> bool {
    let bodies: Vec<&str> = bodies.iter().map(String::as_str).collect();
    let mut was_refused = true;
    for _ in 0..HAND_IN_TRIES {
        let node = random.random_range(0..ENTRIES);
        let asking = stage.callers.hand_in(node, lot, &bodies);
        match within(asking).await {
            Ok(Ok(StatusCode::ACCEPTED)) => return true,
            Ok(Ok(StatusCode::SERVICE_UNAVAILABLE)) => {}
            _ => was_refused = false,
        }
    }
    if was_refused {
        stage.ledger().refused.push(lot.to_owned());
    }
    false
}

/// Items that take different times, so that the results come in several groups.
fn draw_bodies(random: &mut StdRng, count: Range<usize>, millis: Range<u64>) -> Vec<String> {
    let items = 0..random.random_range(count);
    let takes = items.map(|_| format!("takes {}", random.random_range(millis.clone())));
    takes.collect()
}

/// Ends a lot while it runs, asking at any daemon until one acknowledges it.
async fn end_lot(stage: Arc<Stage>, lot: String, mut random: StdRng) {
    tokio::time::sleep(Duration::from_millis(random.random_range(200..2_000))).await;
    stage.ledger().lot(&lot).end_asked = Some(Instant::now());
    let path = format!("/-/lots/{lot}");
    for _ in 0..END_TRIES {
        let mut ask = Ask::get(&path);
        ask.method = Method::DELETE;
        let asking = stage.callers.ask(random.random_range(0..ENTRIES), ask);
        if let Ok(Ok(answer)) = within(asking).await
            && answer.status() == StatusCode::OK
        {
            stage.ledger().lot(&lot).end_told = Some(Instant::now());
            return;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
}
