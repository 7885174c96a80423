//! What must hold once faults are over.

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use comfreyramp_standins::runner::RunnerArrival;
use serde_json::Value;

use crate::{
    DAEMONS, ENTRIES, Stage,
    fault_plan::STORE_LINKS,
    fleet::Fleet,
    harm_log::{Harm, HarmLog},
    readers::read_page,
    traffic::Told,
};

/// After so long without faults every accepted lot must be finished.
const CALM: Duration = Duration::from_secs(15);
/// An ended lot is left alone after so long.
const END_SPAN: Duration = Duration::from_millis(3_000);

/// What may run once ran once at most, and never where its caller was told that
/// it hadn't.
pub(crate) fn check_runs(fleet: &Fleet, told: &[Told], seed: u64) {
    let arrivals: Vec<_> = fleet.runners.iter().flat_map(|it| it.arrivals()).collect();
    for told in told {
        let runs = arrivals
            .iter()
            .filter(|it| it.ran && it.request_id == told.id);
        let most = if told.was_refused { 0 } else { 1 };
        let runs = runs.count();
        assert!(
            runs <= most,
            "seed {seed}: {} ran {runs} times, refused: {}",
            told.id,
            told.was_refused
        );
    }
}

/// Every lot that was accepted is finished, unless it was ended, and all that was
/// ever shown of it is there at each daemon.
pub(crate) async fn check_lots(stage: &Stage) {
    let until = Instant::now() + CALM;
    let lots: Vec<(String, bool)> = {
        let ledger = stage.ledger();
        let lots = ledger.lots.iter();
        lots.map(|it| (it.id.clone(), it.end_asked.is_some()))
            .collect()
    };
    for (lot, is_ended) in lots {
        for node in 0..ENTRIES {
            while !is_whole(stage, node, &lot, is_ended).await {
                assert!(
                    Instant::now() < until,
                    "seed {}: {lot} isn't finished at daemon {node}",
                    stage.seed
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Whether a daemon shows all results of a lot, or all that were shown of one that was
/// ended. The ledger holds them against what others showed.
async fn is_whole(stage: &Stage, node: usize, lot: &str, is_ended: bool) -> bool {
    let Some(answer) = read_page(stage, node, lot, 0).await else {
        return false;
    };
    if answer.status() != StatusCode::OK {
        return false;
    }
    let page: Value = serde_json::from_slice(answer.body()).unwrap();
    let known = stage.ledger().lot(lot).known();
    page["next"] == page["total"] || is_ended && page["next"] == known
}

/// No item of a lot reaches a server later than a moment after the lot's end was
/// acknowledged.
pub(crate) fn check_ends(fleet: &Fleet, stage: &Stage) {
    let harms = stage.harms();
    for (place, runner) in fleet.runners.iter().enumerate() {
        for arrival in runner.arrivals() {
            let late = late_arrival(stage, &arrival);
            if let Some(late) = late.filter(|_| !is_excused(&harms, place, arrival.at)) {
                let text = format!(
                    "{} arrives {late:?} after its lot's end",
                    arrival.request_id
                );
                stage.ledger().broken.push(text);
            }
        }
    }
}

/// Nothing runs of a lot that was refused whenever it was handed in.
pub(crate) fn check_refused(fleet: &Fleet, stage: &Stage) {
    let mut ledger = stage.ledger();
    let refused = std::mem::take(&mut ledger.refused);
    for arrival in fleet.runners.iter().flat_map(|it| it.arrivals()) {
        let lot = arrival.request_id.rsplit_once('-').map(|it| it.0);
        if arrival.ran && refused.iter().any(|it| Some(it.as_str()) == lot) {
            let text = format!("{} runs, of a refused lot", arrival.request_id);
            ledger.broken.push(text);
        }
    }
}

/// How long after the acknowledged end of its lot an item began to run, if that is
/// too late.
fn late_arrival(stage: &Stage, arrival: &RunnerArrival) -> Option<Duration> {
    let (lot, _) = arrival.request_id.rsplit_once('-')?;
    let ledger = stage.ledger();
    let record = ledger.lots.iter().find(|it| it.id == lot)?;
    let late = arrival.at.checked_duration_since(record.end_told?)?;
    (arrival.ran && late > END_SPAN).then_some(late)
}

/// Whether the item was sent by a daemon that may not have heard of the end, because
/// it stood still or the store was out of its reach, or was held up on its way. Which
/// daemon sent it isn't known, so that any of those that run lots will do.
fn is_excused(harms: &HarmLog, server: usize, at: Instant) -> bool {
    let of_daemon = |it: usize| {
        [
            Harm::Paused(it),
            Harm::TurnedAway(it),
            Harm::Cut(STORE_LINKS[it]),
        ]
    };
    let mut harmed = (ENTRIES..DAEMONS).flat_map(of_daemon);
    let was_harmed = |it: Harm| harms.was_harmed(it, at - END_SPAN, at);
    harmed.any(was_harmed) || was_harmed(Harm::Cut(server))
}
