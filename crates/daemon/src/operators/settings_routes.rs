//! Reading and changing the teams' subtrees.

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
    settings_keeper::{SETTINGS_PREFIX, team_key},
    shared::SharedState,
};

/// The platform holds values up to a megabyte.
const SUBTREE_LIMIT: usize = 1_000_000;

/// The longest name of an operator and the longest id of a change.
const LONGEST_NAME: usize = 64;
/// The name of an operator who gave none.
const NAMELESS: &str = "unknown";
/// The header that makes a change that is sent again the same one.
const CHANGE_ID_HEADER: &str = "idempotency-key";

/// A change of a team's subtree.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct SubtreeChange<'a> {
    /// The revision that the operator saw, 0 for a new subtree.
    revision: Revision,
    /// Who makes the change.
    #[serde(default)]
    by: Option<String>,
    /// The whole subtree as it shall be.
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

/// Answers `/settings` and what is below it.
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
        .map_err(|it| unread(&it))?;
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
    let answer = answer.map_err(|it| unread(&it))?;
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
        let text = format!("The stored subtree of team {team} is no JSON: {error}");
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
    refuse_findings(state, team, &body)?;
    Ok(json(&serde_json::json!({ "findings": [] })))
}

async fn change_team(state: &SharedState, team: &str, request: Request<Incoming>) -> Answer {
    check_team_name(team)?;
    let id = change_id(state, request.headers())?;
    let body = read_body(request).await?;
    let change = read_change(&body)?;
    let value = Bytes::copy_from_slice(change.settings.get().as_bytes());
    let settings = refuse_findings(state, team, &value)?;
    let change = TeamChange {
        id: change_digest(&id, change.revision, &value),
        by: operator_name(change.by)?,
        seen: change.revision,
        value,
        settings,
    };
    let revision = TeamWriter::new(state, team).write(change).await?;
    log::info!("operators: team {team} is now at revision {revision}");
    Ok(json(
        &serde_json::json!({ "team": team, "revision": revision }),
    ))
}

/// Reads a change. A list is refused: it would be read as the fields in order.
fn read_change(body: &Bytes) -> Result<SubtreeChange<'_>, ErrorAnswer> {
    const FORM: &str = "Send {\"revision\": n, \"by\": \"name\", \"settings\": {…}}";
    let refusal = |text: String| ErrorAnswer::new(StatusCode::BAD_REQUEST, "broken_json", text);
    if body.trim_ascii_start().first() != Some(&b'{') {
        return Err(refusal(format!("{FORM}: this is no object.")));
    }
    serde_json::from_slice(body).map_err(|error| {
        // What the parser says may repeat a text of the body, and with it a
        // key that stands in the wrong place. The place is enough.
        let (line, column) = (error.line(), error.column());
        refusal(format!("{FORM}: wrong at line {line}, column {column}."))
    })
}

fn operator_name(by: Option<String>) -> Result<String, ErrorAnswer> {
    let by = by.unwrap_or_else(|| NAMELESS.to_owned());
    let count = by.chars().count();
    if (1..=LONGEST_NAME).contains(&count) && !by.chars().any(char::is_control) {
        return Ok(by);
    }
    let text = format!("Give 1 to {LONGEST_NAME} printable characters as `by`.");
    Err(ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_operator_name", text).param("by"))
}

/// What a change is recognised by. Its content is part of it: an operator who
/// uses an id twice must not be told that the second change took effect when
/// only the first one did.
fn change_digest(id: &str, seen: Revision, value: &Bytes) -> String {
    let mut digest = Sha256::new();
    digest.update(id.as_bytes());
    digest.update([0]);
    digest.update(seen.to_be_bytes());
    digest.update(value);
    hex::encode(&digest.finalize()[..16])
}

/// The id of a change: the operator's own, or one that nobody else has.
fn change_id(state: &SharedState, headers: &HeaderMap) -> Result<String, ErrorAnswer> {
    let Some(value) = headers.get(CHANGE_ID_HEADER) else {
        let number: u128 = rand::random();
        return Ok(format!("{}-{number:032x}", state.settings.name));
    };
    let id = value.to_str().unwrap_or_default();
    if (1..=LONGEST_NAME).contains(&id.len()) {
        return Ok(id.to_owned());
    }
    let text = format!("Give 1 to {LONGEST_NAME} printable characters as `Idempotency-Key`.");
    Err(ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_change_id", text).param("idempotency-key"))
}

async fn read_body(request: Request<Incoming>) -> Result<Bytes, ErrorAnswer> {
    collect_limited(request.into_body(), SUBTREE_LIMIT)
        .await
        .map_err(|error| {
            ErrorAnswer::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_unreadable",
                error.to_string(),
            )
        })
}

/// Checks a subtree as a whole, and against what other teams have.
fn refuse_findings(
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
    let text = format!("{team:?} is no team name: use 1 to 64 of a-z, 0-9 and -.");
    Err(ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_team_name", text).param("team"))
}

pub(super) fn unread(error: &StoreError) -> ErrorAnswer {
    unwritten(error, RunState::No)
}

pub(super) fn unwritten(error: &StoreError, ran: RunState) -> ErrorAnswer {
    let text = format!("The platform didn't answer: {error}");
    ErrorAnswer::new(
        StatusCode::SERVICE_UNAVAILABLE,
        "platform_unavailable",
        text,
    )
    .ran(ran)
    .retry_after(Duration::from_secs(2))
}
