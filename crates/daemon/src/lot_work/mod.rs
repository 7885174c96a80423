//! Runs the items of lots concurrently with live requests. See docs/LOTS.md.

mod answer_builder;
mod bulk_limiter;
mod engine_runner;
mod slot_source;

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{MessageBody, Request};
use comfreyramp_lots::{LotStore, LotSweeper, LotWorker, SystemClock};
use comfreyramp_policy::ServerId;
use comfreyramp_store::GatewayStore;
use tokio_util::sync::CancellationToken;

pub use bulk_limiter::{BulkLimiters, BulkSlot, ServerInfo, SlotView};

use crate::{metrics::DaemonMetrics, server_pool::read_report, shared::SharedState};
use engine_runner::EngineRunner;
use slot_source::DaemonSlots;

/// The store of files and lots, as this daemon accesses it.
pub type DaemonLots = LotStore<GatewayStore<DaemonMetrics>, SystemClock>;

/// The interval at which the bulk limiters are updated with the load that this
/// daemon knows of.
const LIMITER_INTERVAL: Duration = Duration::from_millis(25);
/// The interval at which servers are queried for their load.
const LOAD_QUERY_INTERVAL: Duration = Duration::from_millis(250);
/// The timeout of a query for a server's load.
const LOAD_QUERY_TIMEOUT: Duration = Duration::from_millis(500);

/// Runs the items of open lots until `stop` is cancelled.
pub async fn run_lots(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    let runner = Arc::new(EngineRunner::new(state.clone()));
    let slots = Arc::new(DaemonSlots::new(state.clone()));
    let worker = LotWorker::new(state.lots.clone(), runner, slots, &state.settings.name);
    let sweeper = LotSweeper {
        lots: state.lots.clone(),
    };
    tokio::join!(
        worker.run(stop.clone()),
        sweeper.run(stop.clone()),
        watch_servers(&state, &stop),
    );
    Ok(())
}

/// Keeps the bulk limiters updated with the servers and their load, and
/// preempts bulk work where live work needs the capacity.
async fn watch_servers(state: &Arc<SharedState>, stop: &CancellationToken) {
    let mut limiter_ticks = tokio::time::interval(LIMITER_INTERVAL);
    let mut query_ticks = tokio::time::interval(LOAD_QUERY_INTERVAL);
    query_ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = limiter_ticks.tick() => {
                let now = state.clock.now();
                state.servers.update_limiters(&state.bulk_limiters, &state.settings, now);
            }
            _ = query_ticks.tick() => {
                for (server, address) in state.bulk_limiters.servers_to_query(state.clock.now()) {
                    tokio::spawn(query_load(state.clone(), server, address));
                }
            }
            () = stop.cancelled() => return,
        }
    }
}

/// Queries a server for its load. If it doesn't answer, nothing is recorded,
/// and its limiter allows no bulk work once the last report is outdated.
async fn query_load(state: Arc<SharedState>, server: ServerId, address: String) {
    let request = Request::builder()
        .uri(format!("http://{address}/load"))
        .body(MessageBody::empty());
    let Ok(request) = request else {
        return;
    };
    let Ok(response) = state.client.send_within(LOAD_QUERY_TIMEOUT, request).await else {
        return;
    };
    if let Some(report) = read_report(response.headers()) {
        state
            .bulk_limiters
            .note_report(server, report, state.clock.now());
    }
}
