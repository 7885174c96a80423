//! Routes for reading and changing the teams' settings subtrees.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{
    Bytes, ErrorAnswer, HeaderMap, Incoming, Method, Request, RunState, StatusCode, collect_limited,
};
use comfreyramp_settings::TeamSettings;
use comfreyramp_store::{KeyRange, KeyValue, PlatformStore, Revision, StoreError};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use sha2::{Digest, Sha256};

use super::{
    Answer, json,
    team_history::read_history,
    team_writer::{TeamChange, TeamWriter},
};
use crate::{
    settings_manager::{SETTINGS_PREFIX, team_key},
    shared::SharedState,
};

/// The largest subtree in bytes. The platform holds values of up to a megabyte.
const MAX_SUBTREE_BYTES: usize = 1_000_000;

/// The greatest length of an operator's name, in characters, and of a change's id,
/// in bytes.
const MAX_NAME_LENGTH: usize = 64;
/// The name recorded for an operator who gave none.
const DEFAULT_OPERATOR_NAME: &str = "unknown";
/// The header with the id of a change, by which a change that is sent again is
/// recognised.
const CHANGE_ID_HEADER: &str = "idempotency-key";

/// A change of a team's subtree.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubtreeChange<'a> {
    /// The revision on which the change is based; 0 for a new subtree.
    revision: Revision,
    /// The name of the operator who makes the change.
    #[serde(default)]
    by: Option<String>,
    /// The complete new subtree.
    #[serde(borrow)]
    settings: &'a RawValue,
}

/// A team's subtree with its revision.
#[derive(Serialize)]
struct SubtreeView<'a> {
    team: &'a str,
    revision: Revision,
    settings: &'a RawValue,
}

/// Answers a request for `/settings` or a path below it.
pub(super) async fn route(
    state: &Arc<SharedState>,
    method: Method,
    path: &str,
    request: Request<Incoming>,
) -> Answer {
    let rest = path.trim_start_matches("/settings").trim_matches('/');
    match (method, rest.split('/').collect::<Vec<_>>().as_slice()) {
        (Method::GET, [""]) => list_teams(state).await,
        (Method::GET, [team]) => read_team(state, team).await,
        (Method::PUT, [team]) => change_team(state, team, request).await,
        (Method::GET, [team, "history"]) => {
            check_team_name(team)?;
            Ok(json(&read_history(state, team).await?))
        }
        (Method::POST, [team, "check"]) => check_team(state, team, request).await,
        _ => Err(ErrorAnswer::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            "Use GET /settings, GET or PUT /settings/{team}, GET /settings/{team}/history, \
             POST /settings/{team}/check.",
        )),
    }
}

async fn list_teams(state: &SharedState) -> Answer {
    let range = KeyRange::Prefix(SETTINGS_PREFIX.to_owned());
    let answer = state
        .store
        .range(range, 0)
        .await
        .map_err(|it| read_error(&it))?;
    let teams: Vec<_> = answer
        .pairs
        .iter()
        .filter_map(|it| Some((it.key.strip_prefix(SETTINGS_PREFIX)?, it.modified)))
        .map(|(team, revision)| serde_json::json!({ "team": team, "revision": revision }))
        .collect();
    Ok(json(
        &serde_json::json!({ "revision": answer.revision, "teams": teams }),
    ))
}

async fn read_team(state: &SharedState, team: &str) -> Answer {
    let answer = state.store.range(KeyRange::One(team_key(team)), 1).await;
    let answer = answer.map_err(|it| read_error(&it))?;
    let Some(pair) = answer.pairs.first() else {
        let text = format!("Team {team} has no settings yet. Write them with revision 0.");
        return Err(ErrorAnswer::new(
            StatusCode::NOT_FOUND,
            "unknown_team",
            text,
        ));
    };
    view(team, pair)
}

fn view(team: &str, pair: &KeyValue) -> Answer {
    let settings: &RawValue = serde_json::from_slice(&pair.value).map_err(|error| {
        let text = format!("The stored subtree of team {team} isn't valid JSON: {error}");
        ErrorAnswer::new(StatusCode::INTERNAL_SERVER_ERROR, "broken_subtree", text)
    })?;
    Ok(json(&SubtreeView {
        team,
        revision: pair.modified,
        settings,
    }))
}

async fn check_team(state: &SharedState, team: &str, request: Request<Incoming>) -> Answer {
    check_team_name(team)?;
    let body = read_body(request).await?;
    check_settings(state, team, &body)?;
    Ok(json(&serde_json::json!({ "findings": [] })))
}

async fn change_team(state: &SharedState, team: &str, request: Request<Incoming>) -> Answer {
    check_team_name(team)?;
    let id = change_id(state, request.headers())?;
    let body = read_body(request).await?;
    let change = read_change(&body)?;
    let value = Bytes::copy_from_slice(change.settings.get().as_bytes());
    let settings = check_settings(state, team, &value)?;
    let change = TeamChange {
        id: change_digest(&id, change.revision, &value),
        by: operator_name(change.by)?,
        base: change.revision,
        value,
        settings,
    };
    let revision = TeamWriter::new(state, team).write(change).await?;
    log::info!("operators: team {team} is now at revision {revision}");
    Ok(json(
        &serde_json::json!({ "team": team, "revision": revision }),
    ))
}

/// Parses a change. A JSON array is refused, since it would be parsed as the fields
/// in their order.
fn read_change(body: &Bytes) -> Result<SubtreeChange<'_>, ErrorAnswer> {
    const FORM: &str = "Send {\"revision\": n, \"by\": \"name\", \"settings\": {…}}";
    let refusal = |text: String| ErrorAnswer::new(StatusCode::BAD_REQUEST, "broken_json", text);
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(refusal(format!("{FORM}: the body isn't a JSON object.")));
    }
    serde_json::from_slice(body).map_err(|error| {
        // The parser's message may repeat text from the body, and with it a key in
        // the wrong place. The line and column are enough.
        let (line, column) = (error.line(), error.column());
        refusal(format!("{FORM}: wrong at line {line}, column {column}."))
    })
}

fn operator_name(by: Option<String>) -> Result<String, ErrorAnswer> {
    let by = by.unwrap_or_else(|| DEFAULT_OPERATOR_NAME.to_owned());
    let count = by.chars().count();
    if (1..=MAX_NAME_LENGTH).contains(&count) && !by.chars().any(char::is_control) {
        return Ok(by);
    }
    let text = format!("Give 1 to {MAX_NAME_LENGTH} printable characters as `by`.");
    Err(ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_operator_name", text).param("by"))
}

/// Returns the digest by which a change is recognised. It covers the content: an
/// operator who uses an id twice must not get the answer that the second change took
/// effect when only the first one did.
fn change_digest(id: &str, base: Revision, value: &Bytes) -> String {
    let mut digest = Sha256::new();
    digest.update(id.as_bytes());
    digest.update([0]);
    digest.update(base.to_be_bytes());
    digest.update(value);
    hex::encode(&digest.finalize()[..16])
}

/// Returns the id of a change: the operator's, or a new unique one.
fn change_id(state: &SharedState, headers: &HeaderMap) -> Result<String, ErrorAnswer> {
    let Some(value) = headers.get(CHANGE_ID_HEADER) else {
        let number: u128 = rand::random();
        return Ok(format!("{}-{number:032x}", state.settings.name));
    };
    let id = value.to_str().unwrap_or_default();
    if (1..=MAX_NAME_LENGTH).contains(&id.len()) {
        return Ok(id.to_owned());
    }
    let text = format!("Give 1 to {MAX_NAME_LENGTH} printable characters as `Idempotency-Key`.");
    Err(ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_change_id", text).param("idempotency-key"))
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, ErrorAnswer> {
    collect_limited(request.into_body(), MAX_SUBTREE_BYTES)
        .await
        .map_err(|error| {
            ErrorAnswer::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_unreadable",
                error.to_string(),
            )
        })
}

/// Checks a subtree by itself and against those of the other teams. Returns the parsed
/// settings, or an error answer that lists the findings.
fn check_settings(
    state: &SharedState,
    team: &str,
    value: &Bytes,
) -> Result<TeamSettings, ErrorAnswer> {
    let snapshot = state.snapshot();
    let others = snapshot.teams.iter().filter(|it| it.team != team);
    let checked = TeamSettings::check(value).and_then(|settings| {
        let others = others.map(|it| (it.team.as_str(), &it.settings));
        settings.check_against(others).into_result(settings)
    });
    let found = match checked {
        Ok(settings) => return Ok(settings),
        Err(findings) => findings,
    };
    let status = StatusCode::UNPROCESSABLE_ENTITY;
    let findings = serde_json::json!(found.findings);
    Err(ErrorAnswer::new(status, "findings", found.to_string()).detail("findings", findings))
}

fn check_team_name(team: &str) -> Result<(), ErrorAnswer> {
    let fits = |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || it == '-';
    if !team.is_empty() && team.len() <= 64 && team.chars().all(fits) {
        return Ok(());
    }
    let text = format!("{team:?} isn't a valid team name: use 1 to 64 of a-z, 0-9 and -.");
    Err(ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_team_name", text).param("team"))
}

/// Returns the answer for a read that the platform failed.
pub(super) fn read_error(error: &StoreError) -> ErrorAnswer {
    platform_error(error, RunState::No)
}

/// Returns the answer for a platform error. `ran` is whether a write took effect.
pub(super) fn platform_error(error: &StoreError, ran: RunState) -> ErrorAnswer {
    let text = format!("The platform didn't answer: {error}");
    ErrorAnswer::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "platform_unavailable",
        text,
    )
    .ran(ran)
    .retry_after(Duration::from_secs(2))
}
