//! The `explain` command: how a request was handled.

use comfreyramp_http::{MessageBody, Method};
use serde_json::Value;

use super::{CommandContext, print_json};
use crate::{arguments::Explain, failure::ToolFailure, output::print_line, wall_time::format_time};

/// Queries the named daemons in turn, since only the daemon that received the
/// request has a record of it.
pub(super) async fn run(context: &CommandContext, explain: &Explain) -> Result<(), ToolFailure> {
    let path = format!("/explain/{}", validate_request_id(&explain.request)?);
    let mut unreachable = Vec::new();
    for daemon in context.client.daemons() {
        let answer = context
            .client
            .call(daemon, Method::GET, &path, MessageBody::empty())
            .await;
        match answer {
            Ok(body) => {
                let view: Value = serde_json::from_slice(&body).unwrap_or_default();
                print_explanation(&view, context.json);
                return Ok(());
            }
            Err(ToolFailure::Missing(_)) => {}
            Err(ToolFailure::Unreachable(problem)) => unreachable.push(problem),
            Err(other) => return Err(other),
        }
    }
    if unreachable.is_empty() {
        let text = "none of the named daemons knows this request; the id starts with the name of \
                    the daemon that had it, which keeps its last requests until it is restarted";
        return Err(ToolFailure::Missing(text.to_owned()));
    }
    Err(ToolFailure::Unreachable(unreachable.join("; ")))
}

/// Validates a request id before it becomes part of a URL path. Other text, such
/// as `../settings`, could address another path.
fn validate_request_id(id: &str) -> Result<&str, ToolFailure> {
    let fits = |it: char| it.is_ascii_alphanumeric() || "-_.".contains(it);
    if !id.is_empty() && id.chars().all(fits) {
        return Ok(id);
    }
    let text = "give the x-request-id of an answer, such as entry-1-18f2c-7";
    Err(ToolFailure::Refused(text.to_owned()))
}

fn print_explanation(view: &Value, as_json: bool) {
    if as_json {
        return print_json(view);
    }
    let arrived = view["at_ms"].as_u64().map(format_time).unwrap_or_default();
    let name = |field: &str| view[field].as_str().unwrap_or_default().to_owned();
    let (request, daemon) = (name("request"), name("daemon"));
    print_line(format_args!("{request} arrived at {daemon} at {arrived}"));
    let lines = view["story"].as_array().map(Vec::as_slice);
    for line in lines.unwrap_or_default() {
        print_line(line.as_str().unwrap_or_default());
    }
}
