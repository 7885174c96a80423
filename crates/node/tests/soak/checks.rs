//! Guarantees that must hold once all faults are over.

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use serde_json::Value;

use crate::{
    DAEMONS, ENTRY_DAEMONS, SoakContext,
    fault_plan::STORE_LINKS,
    fleet::Fleet,
    harm_log::{ActiveFault, FaultLog},
    readers::read_page,
    traffic::OnceRequest,
};

/// Every accepted lot must be finished within this time after the last fault.
const FINISH_TIMEOUT: Duration = Duration::from_secs(15);
/// No item of an ended lot may start later than this after the acknowledgement of the end.
const MAX_END_DELAY: Duration = Duration::from_millis(3_000);

/// A request that reached a server.
struct ServerArrival {
    at: Instant,
    request_id: String,
    ran: bool,
    /// The index of the link to the server; none to a faulty engine.
    link: Option<usize>,
}

/// Returns the requests that reached any server.
fn all_arrivals(fleet: &Fleet, context: &SoakContext) -> Vec<ServerArrival> {
    let mut arrivals = Vec::new();
    for (index, server) in fleet.servers.iter().enumerate() {
        let of_server = server.arrivals().into_iter().map(|it| ServerArrival {
            at: it.at,
            request_id: it.request_id,
            ran: it.ran,
            link: Some(index),
        });
        arrivals.extend(of_server);
    }
    let engines = context.engines.arrivals();
    arrivals.extend(engines.iter().map(|it| ServerArrival {
        at: it.at,
        request_id: it.request_id.clone(),
        ran: it.ran(),
        link: None,
    }));
    arrivals
}

/// Checks that each request which may run once ran at most once, and not at all if its
/// caller was told that it hadn't run.
pub(crate) fn check_runs(fleet: &Fleet, requests: &[OnceRequest], context: &SoakContext) {
    let seed = context.seed;
    let arrivals = all_arrivals(fleet, context);
    for request in requests {
        let runs = arrivals
            .iter()
            .filter(|it| it.ran && it.request_id == request.id);
        let max_runs = if request.was_refused { 0 } else { 1 };
        let runs = runs.count();
        assert!(
            runs <= max_runs,
            "seed {seed}: {} ran {runs} times, refused: {}",
            request.id,
            request.was_refused
        );
    }
}

/// Checks that every accepted lot is finished unless it was ended, and that each daemon
/// returns all results that readers have ever received of it.
pub(crate) async fn check_lots(context: &SoakContext) {
    let deadline = Instant::now() + FINISH_TIMEOUT;
    let lots: Vec<(String, bool)> = {
        let ledger = context.ledger();
        let lots = ledger.lots.iter();
        lots.map(|it| (it.id.clone(), it.end_requested_at.is_some()))
            .collect()
    };
    for (lot, is_ended) in lots {
        for daemon in 0..ENTRY_DAEMONS {
            while !has_all_results(context, daemon, &lot, is_ended).await {
                assert!(
                    Instant::now() < deadline,
                    "seed {}: {lot} isn't finished at daemon {daemon}",
                    context.seed
                );
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Returns whether a daemon returns all results of a lot, or, of an ended lot, all that
/// readers have received. The ledger compares them with those that others received.
async fn has_all_results(context: &SoakContext, daemon: usize, lot: &str, is_ended: bool) -> bool {
    let Some(response) = read_page(context, daemon, lot, 0).await else {
        return false;
    };
    if response.status() != StatusCode::OK {
        return false;
    }
    let page: Value = serde_json::from_slice(response.body()).unwrap();
    let observed = context.ledger().lot(lot).observed_count();
    page["next"] == page["total"] || is_ended && page["next"] == observed
}

/// Checks that no item of a lot reaches a server long after the lot's end was acknowledged.
pub(crate) fn check_ends(fleet: &Fleet, context: &SoakContext) {
    let arrivals = all_arrivals(fleet, context);
    let fault_log = context.fault_log();
    for arrival in arrivals {
        let late = late_arrival(context, &arrival);
        if let Some(late) = late.filter(|_| !is_excused(&fault_log, arrival.link, arrival.at)) {
            let text = format!(
                "{} arrives {late:?} after the end of its lot",
                arrival.request_id
            );
            context.ledger().violations.push(text);
        }
    }
}

/// Checks that nothing runs of a lot that was refused at each submission.
pub(crate) fn check_refused(fleet: &Fleet, context: &SoakContext) {
    let arrivals = all_arrivals(fleet, context);
    let mut ledger = context.ledger();
    let refused = std::mem::take(&mut ledger.refused);
    for arrival in arrivals {
        let lot = arrival.request_id.rsplit_once('-').map(|it| it.0);
        if arrival.ran && refused.iter().any(|it| Some(it.as_str()) == lot) {
            let text = format!("{} ran although its lot was refused", arrival.request_id);
            ledger.violations.push(text);
        }
    }
}

/// Returns how long after the acknowledged end of its lot an item started, if that is too
/// late.
fn late_arrival(context: &SoakContext, arrival: &ServerArrival) -> Option<Duration> {
    let (lot, _) = arrival.request_id.rsplit_once('-')?;
    let ledger = context.ledger();
    let record = ledger.lots.iter().find(|it| it.id == lot)?;
    let late = arrival
        .at
        .checked_duration_since(record.end_acknowledged_at?)?;
    (arrival.ran && late > MAX_END_DELAY).then_some(late)
}

/// Returns whether the item may have been sent by a daemon that didn't know of the end,
/// because it was paused or couldn't reach the store, or whether the item was delayed on
/// its way. Which daemon sent it isn't known, so a fault of any daemon that runs lots
/// counts.
fn is_excused(fault_log: &FaultLog, link: Option<usize>, at: Instant) -> bool {
    let of_daemon = |it: usize| {
        [
            ActiveFault::Paused(it),
            ActiveFault::StoreRejects(it),
            ActiveFault::LinkCut(STORE_LINKS[it]),
        ]
    };
    let mut faults = (ENTRY_DAEMONS..DAEMONS).flat_map(of_daemon);
    let was_active = |it: ActiveFault| fault_log.was_active(it, at - MAX_END_DELAY, at);
    faults.any(was_active) || link.is_some_and(|it| was_active(ActiveFault::LinkCut(it)))
}
