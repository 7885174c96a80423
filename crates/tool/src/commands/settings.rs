//! The `settings` commands: teams, get, set, check, diff, history.

mod history;

use std::path::Path;

use comfreyramp_settings::{DaemonSettings, FindingList, SettingsDifference, TeamSettings};
use serde_json::{Value, json};

use super::{CommandContext, print_json};
use crate::{
    arguments::{CheckSettings, DiffSettings, SettingsAction, WriteSettings},
    failure::ToolFailure,
    output::print_line,
    table::print_table,
};

pub(super) async fn run(
    context: &CommandContext,
    action: SettingsAction,
) -> Result<(), ToolFailure> {
    match action {
        SettingsAction::Check(it) => check_file(&it, context.json),
        SettingsAction::Diff(it) => diff(context, &it).await,
        SettingsAction::Get(it) => {
            let subtree: Value = context
                .client
                .read(&format!("/settings/{}", it.team))
                .await?;
            if context.json {
                print_json(&subtree);
            } else {
                eprintln!("revision {}", subtree["revision"]);
                print_json(&subtree["settings"]);
            }
            Ok(())
        }
        SettingsAction::History(it) => history::run(context, &it.team).await,
        SettingsAction::Set(it) => write(context, &it).await,
        SettingsAction::Teams(_) => teams(context).await,
    }
}

/// Validates a settings file without contacting a daemon.
pub(super) fn check_file(check: &CheckSettings, as_json: bool) -> Result<(), ToolFailure> {
    let text = read_file(&check.file)?;
    let checked = if check.daemon {
        DaemonSettings::check(&text).map(drop)
    } else {
        TeamSettings::check(&text).map(drop)
    };
    if as_json {
        let findings = checked.as_ref().err().cloned().unwrap_or_default();
        print_json(&json!({ "findings": findings }));
    } else if checked.is_ok() {
        print_line(format_args!("{}: nothing found", check.file.display()));
    }
    checked.map_err(ToolFailure::Findings)
}

async fn write(context: &CommandContext, write: &WriteSettings) -> Result<(), ToolFailure> {
    let text = read_file(&write.file)?;
    let settings = TeamSettings::check(&text).map_err(ToolFailure::Findings)?;
    let revision = match write.revision {
        Some(revision) => revision,
        None => match context.client.team(&write.team).await {
            Ok(subtree) => subtree.revision,
            Err(ToolFailure::Missing(_)) => 0,
            Err(other) => return Err(other),
        },
    };
    let value = json!(settings);
    let accepted = context.client.write(&write.team, revision, &value).await?;
    if context.json {
        print_json(&json!({ "team": write.team, "revision": accepted.revision }));
    }
    context.client.confirm(accepted.revision).await
}

async fn teams(context: &CommandContext) -> Result<(), ToolFailure> {
    let teams = context.client.teams().await?;
    if context.json {
        let values: Vec<Value> = teams
            .iter()
            .map(|it| json!({ "team": it.team, "revision": it.revision }))
            .collect();
        print_json(&json!(values));
    } else {
        let rows: Vec<_> = teams
            .iter()
            .map(|it| vec![it.team.clone(), it.revision.to_string()])
            .collect();
        print_table(&["TEAM", "REVISION"], &rows);
    }
    Ok(())
}

async fn diff(context: &CommandContext, diff: &DiffSettings) -> Result<(), ToolFailure> {
    let text = read_file(&diff.file)?;
    let wanted = TeamSettings::check(&text).map_err(ToolFailure::Findings)?;
    let in_force = match context.client.team(&diff.team).await {
        Ok(subtree) => subtree.settings,
        Err(ToolFailure::Missing(_)) => TeamSettings::default(),
        Err(other) => return Err(other),
    };
    let differences = SettingsDifference::between(&json!(in_force), &json!(wanted));
    if context.json {
        let values: Vec<Value> = differences
            .iter()
            .map(|it| {
                json!({
                    "what": it.what,
                    "place": it.place,
                    "in_force": it.before,
                    "file": it.after,
                })
            })
            .collect();
        print_json(&json!(values));
    } else if differences.is_empty() {
        print_line("the file is what is in force");
    } else {
        let rows: Vec<_> = differences
            .into_iter()
            .map(|it| vec![it.what.as_str().to_owned(), it.place, it.before, it.after])
            .collect();
        print_table(&["WHAT", "PLACE", "IN FORCE", "FILE"], &rows);
    }
    Ok(())
}

fn read_file(path: &Path) -> Result<Vec<u8>, ToolFailure> {
    std::fs::read(path).map_err(|error| {
        let mut findings = FindingList::default();
        findings.add(
            path.display().to_string(),
            error.to_string(),
            "name a file that can be read",
        );
        ToolFailure::Findings(findings)
    })
}
