//! Changes settings all the time, and checks which of them are in force.

use std::{
    ops::Range,
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_http::StatusCode;
use rand::{Rng, rngs::StdRng};

use crate::{
    DAEMONS, ENTRY_DAEMONS, SoakContext,
    fault_plan::{Fault, PlannedFault, STORE_LINKS},
    fleet::CallerRequest,
    harm_log::ActiveFault,
};

/// For how long settings change, and faults are started.
pub(crate) const CHANGES_DURATION: Duration = Duration::from_secs(20);
/// A change is in force within this time at every daemon in contact.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);
/// A daemon is in contact if neither it nor the store had a fault for this long.
const CONTACT_WINDOW: Duration = Duration::from_secs(3);
/// The time between two changes.
const CHANGE_INTERVAL_MS: Range<u64> = 100..1_400;
/// The duration of a silence of the store. A shorter one may go unnoticed.
const SILENCE_MS: Range<u64> = 1_600..3_500;
/// The time between two silences, so that daemons are in contact for some seconds of it.
const SILENCE_INTERVAL: Duration = Duration::from_secs(7);
/// The time between two requests to the daemons.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);
const REQUEST_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Returns the key that only the settings of one change have.
pub(crate) fn key_of_change(change: usize) -> String {
    format!("soak-key-{change}")
}

/// Draws changes of the settings, and silences of the store that begin right after a
/// change.
pub(crate) fn draw_changes(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = Duration::ZERO;
    let mut next_silence = random_duration(random, 500..4_000);
    while at < CHANGES_DURATION {
        at += random_duration(random, CHANGE_INTERVAL_MS);
        faults.push((at, Fault::ChangeSettings));
        if at > next_silence {
            let start = at + random_duration(random, 0..700);
            let end = start + random_duration(random, SILENCE_MS);
            faults.push((start, Fault::SilenceStore));
            faults.push((end, Fault::RestoreStore));
            // No change is written before the store answers again.
            at = end;
            next_silence = end + SILENCE_INTERVAL;
        }
    }
    faults
}

fn random_duration(random: &mut StdRng, millis: Range<u64>) -> Duration {
    Duration::from_millis(random.random_range(millis))
}

/// Sends requests with withdrawn keys to the daemons until the soak ends. A daemon that
/// admits one for too long uses old settings.
pub(crate) async fn check_withdrawn_keys(context: Arc<SoakContext>) {
    let mut number = 0;
    while !context.stop.is_cancelled() {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        number += 1;
        let sent_at = Instant::now();
        let due_changes = context
            .change_times()
            .partition_point(|it| *it + MAX_CHANGE_DELAY < sent_at);
        // The newest change that has to be in force withdrew the key of the change before
        // it.
        let Some(withdrawn) = due_changes.checked_sub(2) else {
            continue;
        };
        let key = key_of_change(withdrawn);
        let request = CallerRequest::post("/proofs/1", "settings", b"proof").key(&key);
        let call = context.callers.send(number % ENTRY_DAEMONS, request);
        let response = tokio::time::timeout(REQUEST_TIMEOUT, call).await;
        let is_admitted = matches!(response, Ok(Ok(it)) if it.status() == StatusCode::OK);
        if is_admitted && is_in_contact(&context, number % ENTRY_DAEMONS, sent_at) {
            let late = sent_at - context.change_times()[withdrawn + 1];
            let text = format!(
                "daemon {} still admits {key} {late:?} after its withdrawal",
                number % ENTRY_DAEMONS
            );
            context.ledger().violations.push(text);
        }
    }
}

/// Returns whether neither the daemon nor the store has had a fault since [`CONTACT_WINDOW`]
/// before `now`.
fn is_in_contact(context: &SoakContext, daemon: usize, now: Instant) -> bool {
    let fault_log = context.fault_log();
    let faults = [
        ActiveFault::Paused(daemon),
        ActiveFault::Down(daemon),
        ActiveFault::StoreRejects(daemon),
        ActiveFault::LinkCut(STORE_LINKS[daemon]),
        ActiveFault::StoreSilent,
    ];
    debug_assert!(daemon < DAEMONS);
    let until = Instant::now();
    let was_active = |it: ActiveFault| fault_log.was_active(it, now - CONTACT_WINDOW, until);
    !faults.into_iter().any(was_active)
}
