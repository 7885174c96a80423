//! The `status` command: an overview of the fleet.

use std::collections::BTreeMap;

use comfreyramp_http::{MessageBody, Method};
use serde_json::{Value, json};

use super::{CommandContext, print_json};
use crate::{failure::ToolFailure, output::print_line, table::print_table};

pub(super) async fn run(context: &CommandContext) -> Result<(), ToolFailure> {
    let mut views = Vec::new();
    for daemon in context.client.daemons() {
        let answer = context
            .client
            .call(daemon, Method::GET, "/status", MessageBody::empty())
            .await;
        let view = match answer {
            Ok(body) => serde_json::from_slice(&body).unwrap_or_default(),
            Err(failure @ ToolFailure::Refused(_)) => return Err(failure),
            Err(failure) => json!({ "unreachable": failure.to_string() }),
        };
        views.push((daemon.clone(), view));
    }
    if context.json {
        let values: Vec<Value> = views
            .iter()
            .map(|it| json!({ "door": it.0, "status": it.1 }))
            .collect();
        print_json(&json!(values));
        return Ok(());
    }
    print_daemons(&views);
    print_servers(&views);
    print_degraded(&views);
    Ok(())
}

/// Prints the degraded conditions, each with the daemons that report it.
fn print_degraded(views: &[(String, Value)]) {
    let mut conditions: BTreeMap<String, Vec<String>> = BTreeMap::new();
    for (address, view) in views {
        if view["unreachable"].is_string() {
            let daemons = conditions
                .entry("no answer at this address".to_owned())
                .or_default();
            daemons.push(address.clone());
        }
        for condition in array_items(&view["degraded"]) {
            let daemons = conditions.entry(cell_text(condition)).or_default();
            daemons.push(cell_text(&view["daemon"]));
        }
    }
    print_line("");
    if conditions.is_empty() {
        print_line("nothing is degraded");
        return;
    }
    let rows: Vec<_> = conditions
        .into_iter()
        .map(|(condition, daemons)| vec![condition, daemons.join(", ")])
        .collect();
    print_table(&["DEGRADED", "SEEN BY"], &rows);
}

fn array_items(value: &Value) -> &[Value] {
    value.as_array().map(Vec::as_slice).unwrap_or_default()
}

fn print_daemons(views: &[(String, Value)]) {
    let rows: Vec<_> = views
        .iter()
        .map(|(address, view)| {
            let state = match (&view["unreachable"], view["ready"].as_bool()) {
                (Value::String(_), _) => "unreachable",
                (_, Some(true)) => "ready",
                _ => "not ready",
            };
            vec![
                cell_text(&view["daemon"]),
                cell_text(&view["zone"]),
                state.to_owned(),
                cell_text(&view["settings_revision"]),
                cell_text(&view["settings_age_ms"]),
                address.clone(),
            ]
        })
        .collect();
    print_table(
        &["DAEMON", "ZONE", "STATE", "REVISION", "AGE/MS", "DOOR"],
        &rows,
    );
}

/// One table row per server. Requests in flight are summed over all daemons, the
/// weight is the lowest that any daemon assigns, and bulk slots come from the
/// server's home daemon.
#[derive(Debug, Default)]
struct ServerRow {
    view: Value,
    in_flight: u64,
    weight: Option<f64>,
    bulk: Option<String>,
}

fn print_servers(views: &[(String, Value)]) {
    let mut servers: BTreeMap<(String, String), ServerRow> = BTreeMap::new();
    for server in views.iter().flat_map(|it| array_items(&it.1["servers"])) {
        let name = (cell_text(&server["zone"]), cell_text(&server["name"]));
        let row = servers.entry(name).or_default();
        row.merge(server);
    }
    let rows: Vec<_> = servers.values().map(ServerRow::cells).collect();
    let headings = [
        "SERVER",
        "ZONE",
        "GROUP",
        "STATE",
        "IN FLIGHT",
        "BULK",
        "WEIGHT",
        "ADDRESS",
    ];
    print_line("");
    print_table(&headings, &rows);
}

impl ServerRow {
    fn merge(&mut self, server: &Value) {
        if self.view.is_null() || server["state"] != "live" {
            self.view = server.clone();
        }
        self.in_flight += server["in_flight"].as_u64().unwrap_or(0);
        if let Some(weight) = server["weight"].as_f64() {
            let lowest = self.weight.unwrap_or(weight).min(weight);
            self.weight = Some(lowest);
        }
        if let Some(open) = server["bulk"]["open"].as_u64() {
            let allowed = cell_text(&server["bulk"]["allowed"]);
            self.bulk = Some(format!("{open}/{allowed}"));
        }
    }

    fn cells(&self) -> Vec<String> {
        let weight = self.weight.map(|it| format!("{it:.2}"));
        let unknown = || "-".to_owned();
        vec![
            cell_text(&self.view["name"]),
            cell_text(&self.view["zone"]),
            cell_text(&self.view["group"]),
            cell_text(&self.view["state"]),
            self.in_flight.to_string(),
            self.bulk.clone().unwrap_or_else(unknown),
            weight.unwrap_or_else(unknown),
            cell_text(&self.view["address"]),
        ]
    }
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_owned(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}
