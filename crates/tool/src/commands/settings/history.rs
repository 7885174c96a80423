//! The `settings history` command.

use comfreyramp_settings::{DifferenceKind, SettingsDifference};
use serde::Deserialize;
use serde_json::Value;

use super::{CommandContext, print_json};
use crate::{failure::ToolFailure, table::print_table, wall_time::format_time};

#[derive(Deserialize)]
struct TeamHistory {
    changes: Vec<HistoryChange>,
}

#[derive(Deserialize)]
struct HistoryChange {
    revision: i64,
    by: String,
    at_ms: u64,
    differences: Vec<SettingsDifference>,
    more: usize,
}

/// Prints the changes to a team's settings.
pub(super) async fn run(context: &CommandContext, team: &str) -> Result<(), ToolFailure> {
    let path = format!("/settings/{team}/history");
    if context.json {
        let history: Value = context.client.read(&path).await?;
        print_json(&history);
        return Ok(());
    }
    let history: TeamHistory = context.client.read(&path).await?;
    let rows: Vec<_> = history.changes.iter().flat_map(change_rows).collect();
    print_table(&["REVISION", "WHEN", "BY", "WHAT"], &rows);
    Ok(())
}

/// Returns one row per difference. Only the first row shows revision, time and
/// author of the change.
fn change_rows(change: &HistoryChange) -> Vec<Vec<String>> {
    let mut lines: Vec<String> = change.differences.iter().map(line).collect();
    if change.more > 0 {
        lines.push(format!("and {} more", change.more));
    }
    if lines.is_empty() {
        lines.push("nothing".to_owned());
    }
    let name = [
        change.revision.to_string(),
        format_time(change.at_ms),
        change.by.clone(),
    ];
    let rows = lines.into_iter().enumerate().map(|(index, line)| {
        let mut row = if index == 0 {
            name.to_vec()
        } else {
            vec![String::new(); name.len()]
        };
        row.push(line);
        row
    });
    rows.collect()
}

fn line(difference: &SettingsDifference) -> String {
    let SettingsDifference {
        place,
        before,
        after,
        ..
    } = difference;
    match difference.what {
        DifferenceKind::Added => format!("added {place} = {after}"),
        DifferenceKind::Changed => format!("changed {place} from {before} to {after}"),
        DifferenceKind::Removed => format!("removed {place}, was {before}"),
    }
}
