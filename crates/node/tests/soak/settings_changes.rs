//! Settings that change all the while, and the question which are in force.

use std::{
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::StatusCode;
use rand::{Rng, rngs::StdRng};

use crate::{
    DAEMONS, ENTRIES, Stage,
    fault_plan::{Fault, PlannedFault, STORE_LINKS},
    fleet::Ask,
    harm_log::Harm,
};

/// How long settings change, and faults come and go.
pub(crate) const CHANGING: Duration = Duration::from_secs(20);
/// A change is in force at every daemon in touch after so long.
const IN_FORCE: Duration = Duration::from_secs(2);
/// A daemon is in touch if nothing was done to it, nor to the store, for so long.
const CONTACT: Duration = Duration::from_secs(3);
/// The pause between two changes.
const CHANGE_MILLIS: Range<u64> = 100..1_400;
/// How long the store is silent. A shorter silence may go unnoticed.
const SILENT_MILLIS: Range<u64> = 1_600..3_500;
/// The pause between two silences: daemons are in touch for some seconds of it.
const CALM_BETWEEN: Duration = Duration::from_secs(7);
/// The pause between two questions to the daemons.
const ASK_PAUSE: Duration = Duration::from_millis(60);
const ASK_PATIENCE: Duration = Duration::from_millis(1_200);

/// The key that only the settings of one change have.
pub(crate) fn key_of(change: usize) -> String {
    format!("soak-key-{change}")
}

/// Draws changes of the settings, and silences of the store that begin right after one.
pub(crate) fn timeline(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    let mut next_silence = drawn(random, 500..4_000);
    while at < CHANGING {
        at += drawn(random, CHANGE_MILLIS);
        faults.push((at, Fault::ChangeSettings));
        if at > next_silence {
            let begin = at + drawn(random, 0..700);
            let end = begin + drawn(random, SILENT_MILLIS);
            faults.push((begin, Fault::SilenceStore));
            faults.push((end, Fault::AnswerAgain));
            // The store takes the operators' changes again first.
            at = end;
            next_silence = end + CALM_BETWEEN;
        }
    }
    faults
}

fn drawn(random: &mut StdRng, millis: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(millis))
}

/// Asks the daemons with keys that were withdrawn until the soak ends. Each that lets one
/// in for too long acts by old settings.
pub(crate) async fn watch_settings(stage: Arc<Stage>) {
    let mut number = 0;
    while !stage.stop.is_cancelled() {
        tokio::time::sleep(ASK_PAUSE).await;
        number += 1;
        let sent = Instant::now();
        let due = stage.changes().partition_point(|it| *it + IN_FORCE < sent);
        // The newest change that has to be in force took the key of the one before.
        let Some(withdrawn) = due.checked_sub(2) else {
            continue;
        };
        let key = key_of(withdrawn);
        let ask = Ask::post("/proofs/1", "settings", b"proof").key(&key);
        let asking = stage.callers.ask(number % ENTRIES, ask);
        let answer = tokio::time::timeout(ASK_PATIENCE, asking).await;
        let is_let_in = matches!(answer, Ok(Ok(it)) if it.status() == StatusCode::OK);
        if is_let_in && is_in_touch(&stage, number % ENTRIES, sent) {
            let late = sent - stage.changes()[withdrawn + 1];
            let text = format!("daemon {} knows {key} {late:?} after", number % ENTRIES);
            stage.ledger().broken.push(text);
        }
    }
}

/// Whether nothing was done to a daemon, nor to the store, for a while.
fn is_in_touch(stage: &Stage, node: usize, now: Instant) -> bool {
    let harms = stage.harms();
    let of_daemon = [
        Harm::Paused(node),
        Harm::Down(node),
        Harm::TurnedAway(node),
        Harm::Cut(STORE_LINKS[node]),
        Harm::Silent,
    ];
    debug_assert!(node < DAEMONS);
    let until = Instant::now();
    let was_harmed = |it: Harm| harms.was_harmed(it, now - CONTACT, until);
    !of_daemon.into_iter().any(was_harmed)
}
