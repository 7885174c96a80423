//! A summary of the fleet's state as this daemon knows it.

use comfreyramp_policy::{ServerId, Timestamp};
use serde::Serialize;

use crate::{lot_work::SlotView, server_pool::ServerView, shared::SharedState};

/// The age in milliseconds from which the view of the settings is reported as
/// degraded. Without failures it is up to 3 s. See docs/FRESHNESS.md.
const STALE_VIEW_MS: u64 = 5000;

/// The state of the fleet as seen by one daemon.
#[derive(Debug, Serialize)]
pub(super) struct FleetStatus {
    daemon: String,
    region: String,
    zone: String,
    ready: bool,
    draining: bool,
    settings_revision: i64,
    settings_age_ms: u64,
    customers: usize,
    services: usize,
    servers: Vec<ServerStatus>,
    /// The problems found, a sentence each.
    degraded: Vec<String>,
}

/// A server, with its bulk slots if this daemon is its home.
#[derive(Debug, Serialize)]
struct ServerStatus {
    #[serde(flatten)]
    view: ServerView,
    /// The slots for bulk work; none if this daemon isn't the server's home.
    bulk: Option<SlotView>,
}

/// Returns the current status.
pub(super) fn fleet_status(state: &SharedState) -> FleetStatus {
    let now = state.clock.now();
    let snapshot = state.snapshot();
    let mut status = FleetStatus {
        daemon: state.settings.name.clone(),
        region: state.settings.region.clone(),
        zone: state.settings.zone.clone(),
        ready: state.is_ready(),
        draining: state.drain_requested.is_cancelled(),
        settings_revision: snapshot.revision,
        settings_age_ms: state.settings_age(now).as_millis() as u64,
        customers: snapshot.customers.len(),
        services: snapshot.services.len(),
        servers: servers(state, now),
        degraded: Vec::new(),
    };
    status.degraded = status.find_degraded();
    for service in &snapshot.services {
        let group = service.settings.group.as_str();
        let usable = status.servers.iter().filter(|it| it.view.is_usable());
        if usable.filter(|it| it.view.group == group).count() == 0 {
            let name = &service.settings.name;
            let text = format!("no server of group {group} can take a request for {name}");
            status.degraded.push(text);
        }
    }
    status
}

fn servers(state: &SharedState, now: Timestamp) -> Vec<ServerStatus> {
    let slots: Vec<(ServerId, SlotView)> = state.bulk_limiters.slots(now);
    let views = state.servers.view(now).into_iter();
    views
        .map(|view| {
            let bulk = slots
                .binary_search_by_key(&view.id, |it| it.0)
                .ok()
                .map(|index| slots[index].1);
            ServerStatus { view, bulk }
        })
        .collect()
}

impl FleetStatus {
    fn find_degraded(&self) -> Vec<String> {
        let mut found = Vec::new();
        if self.draining {
            found.push("the daemon finishes its requests and stops".to_owned());
        } else if self.settings_revision == 0 {
            found.push("the daemon has no settings yet and refuses all callers".to_owned());
        } else if self.settings_age_ms > STALE_VIEW_MS {
            let seconds = self.settings_age_ms / 1000;
            found.push(format!(
                "the settings are {seconds} s old: nobody in reach has the platform"
            ));
        }
        for server in &self.servers {
            let ServerView { name, state, .. } = &server.view;
            if *state != "live" {
                found.push(format!("server {name} is {state} and gets no new work"));
            } else if !server.view.is_usable() {
                found.push(format!(
                    "server {name} failed too often and gets no requests for now"
                ));
            }
        }
        found
    }
}
