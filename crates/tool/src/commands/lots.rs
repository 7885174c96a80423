//! The `lots` commands: list, show, cancel.

use comfreyramp_http::{MessageBody, Method};
use serde_json::{Value, json};

use super::{CommandContext, print_json};
use crate::{arguments::LotsAction, failure::ToolFailure, table::print_table};

pub(super) async fn run(context: &CommandContext, action: LotsAction) -> Result<(), ToolFailure> {
    match action {
        LotsAction::Cancel(it) => cancel(context, &it.id).await,
        LotsAction::List(it) => list(context, it.customer.as_deref()).await,
        LotsAction::Show(it) => {
            let lot: Value = context.client.read(&format!("/lots/{}", it.id)).await?;
            print_lots(context, &lot, std::slice::from_ref(&lot));
            Ok(())
        }
    }
}

async fn list(context: &CommandContext, customer: Option<&str>) -> Result<(), ToolFailure> {
    let answer: Value = context.client.read("/lots").await?;
    let mut lots = answer["lots"].as_array().cloned().unwrap_or_default();
    lots.retain(|it| customer.is_none_or(|customer| it["customer"] == customer));
    print_lots(context, &json!(lots), &lots);
    Ok(())
}

/// Cancels a lot through the first daemon that can be reached. Repeating the
/// request on another daemon is safe, since cancelling is idempotent.
async fn cancel(context: &CommandContext, id: &str) -> Result<(), ToolFailure> {
    let path = format!("/lots/{id}/cancel");
    let mut last = String::new();
    for daemon in context.client.daemons() {
        let body = MessageBody::empty();
        match context.client.call(daemon, Method::POST, &path, body).await {
            Err(ToolFailure::Unreachable(problem)) => last = problem,
            Ok(_) => {
                eprintln!("{id} is cancelled; its running items stop within seconds");
                return Ok(());
            }
            Err(other) => return Err(other),
        }
    }
    Err(ToolFailure::Unreachable(last))
}

fn print_lots(context: &CommandContext, value: &Value, lots: &[Value]) {
    if context.json {
        return print_json(value);
    }
    let rows: Vec<_> = lots.iter().map(lot_row).collect();
    print_table(
        &[
            "LOT", "CUSTOMER", "MODEL", "DONE", "FAILED", "ITEMS", "DUE IN", "OUTLOOK",
        ],
        &rows,
    );
}

fn lot_row(lot: &Value) -> Vec<String> {
    let text = |field: &str| match &lot[field] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let late = format!("{} s late", lot["late_by"]);
    let outlook = match (&lot["is_cancelling"], lot["outlook"].as_str()) {
        (Value::Bool(true), _) => "cancelling".to_owned(),
        (_, Some("on_time")) => "on time".to_owned(),
        (_, Some("will_be_late")) => format!("will be {late}"),
        _ => late,
    };
    vec![
        text("id"),
        text("customer"),
        text("model"),
        text("completed"),
        text("failed"),
        text("items"),
        due_in(lot["due_at"].as_u64().unwrap_or_default()),
        outlook,
    ]
}

/// Formats the time that is left until `at`, in seconds since the Unix epoch.
fn due_in(at: u64) -> String {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    let left = at.saturating_sub(now.unwrap_or_default().as_secs());
    format!("{}:{:02} h", left / 3600, left / 60 % 60)
}
