//! The client of the daemons' operator API.

use std::time::{Duration, Instant};

use comfreyramp_http::{
    Bytes, CallError, HttpClient, MessageBody, Method, Request, StatusCode, collect_limited,
    header, json_body,
};
use comfreyramp_settings::{FindingList, TeamSettings};
use http::request::Builder;
use serde::{Deserialize, de::DeserializeOwned};
use serde_json::Value;

use crate::{arguments::Arguments, failure::ToolFailure};

/// The timeout of one request to a daemon.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);
/// How long to wait until all daemons have a change in force.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which a daemon's revision is polled.
const CONFIRM_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How many times a change is attempted while concurrent changes conflict with it.
const MAX_CHANGE_ATTEMPTS: usize = 5;
/// The maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// A client of the named daemons. Any of them can answer for the whole fleet.
#[derive(Debug)]
pub(crate) struct OperatorClient {
    client: HttpClient,
    daemons: Vec<String>,
    token: String,
    operator: Option<String>,
}

/// A team's settings and the revision that they were read at.
#[derive(Debug, Deserialize)]
pub(crate) struct TeamSubtree {
    pub(crate) revision: i64,
    pub(crate) settings: TeamSettings,
}

/// A team's name and the revision of its settings.
#[derive(Debug, Deserialize)]
pub(crate) struct TeamRevision {
    pub(crate) team: String,
    pub(crate) revision: i64,
}

#[derive(Deserialize)]
struct TeamList {
    teams: Vec<TeamRevision>,
}

/// A daemon's response to a change that it wrote to the store.
#[derive(Debug, Deserialize)]
pub(crate) struct AcceptedChange {
    pub(crate) revision: i64,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Deserialize)]
struct ErrorFields {
    message: String,
    #[serde(default)]
    findings: FindingList,
}

impl OperatorClient {
    /// Creates a client from the addresses and the token in the arguments or,
    /// where those are missing, in the environment.
    pub(crate) fn from_arguments(arguments: &Arguments) -> Result<Self, ToolFailure> {
        let named = arguments.operators.clone();
        let daemons = named.or_else(|| std::env::var("COMFREYRAMP_OPERATORS").ok());
        let daemons: Vec<String> = daemons
            .unwrap_or_default()
            .split_whitespace()
            .map(|it| it.trim_end_matches('/').to_owned())
            .collect();
        if daemons.is_empty() {
            let text = "name the daemons with --operators or COMFREYRAMP_OPERATORS";
            return Err(ToolFailure::Refused(text.to_owned()));
        }
        let token = match &arguments.token_file {
            Some(path) => std::fs::read_to_string(path).map_err(|error| {
                ToolFailure::Refused(format!("can't read {}: {error}", path.display()))
            })?,
            None => std::env::var("COMFREYRAMP_OPERATORS_TOKEN").unwrap_or_default(),
        };
        let token = token.trim().to_owned();
        Ok(OperatorClient {
            client: HttpClient::default(),
            daemons,
            token,
            operator: operator_name(arguments),
        })
    }

    /// Returns the base URLs of the named daemons.
    pub(crate) fn daemons(&self) -> &[String] {
        &self.daemons
    }

    /// Reads `path` from the first daemon that can be reached.
    pub(crate) async fn read<T: DeserializeOwned>(&self, path: &str) -> Result<T, ToolFailure> {
        let mut last_problem = String::new();
        for daemon in &self.daemons {
            match self
                .call(daemon, Method::GET, path, MessageBody::empty())
                .await
            {
                Err(ToolFailure::Unreachable(problem)) => last_problem = problem,
                Ok(body) => return parse_body(&body),
                Err(other) => return Err(other),
            }
        }
        Err(ToolFailure::Unreachable(last_problem))
    }

    /// Sends a request to one daemon and returns the response's body.
    pub(crate) async fn call(
        &self,
        daemon: &str,
        method: Method,
        path: &str,
        body: MessageBody,
    ) -> Result<Bytes, ToolFailure> {
        let request = Request::builder().method(method);
        self.send(daemon, path, request, body).await
    }

    async fn send(
        &self,
        daemon: &str,
        path: &str,
        request: Builder,
        body: MessageBody,
    ) -> Result<Bytes, ToolFailure> {
        let unreachable =
            |problem: String| ToolFailure::Unreachable(format!("{daemon}: {problem}"));
        let request = request
            .uri(format!("{daemon}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.token))
            .body(body)
            .map_err(|it| unreachable(it.to_string()))?;
        let answer = self.client.send_within(REQUEST_TIMEOUT, request).await;
        let answer = answer.map_err(|it: CallError| unreachable(it.to_string()))?;
        let status = answer.status();
        let body = collect_limited(answer.into_body(), MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|it| unreachable(it.to_string()))?;
        if status.is_success() {
            Ok(body)
        } else {
            Err(failure_from_response(status, &body, daemon))
        }
    }

    /// Returns all teams with their revisions.
    pub(crate) async fn teams(&self) -> Result<Vec<TeamRevision>, ToolFailure> {
        let list: TeamList = self.read("/settings").await?;
        Ok(list.teams)
    }

    /// Returns one team's settings.
    pub(crate) async fn team(&self, team: &str) -> Result<TeamSubtree, ToolFailure> {
        self.read(&format!("/settings/{team}")).await
    }

    /// Writes a team's settings if they are still at `revision`.
    pub(crate) async fn write(
        &self,
        team: &str,
        revision: i64,
        settings: &Value,
    ) -> Result<AcceptedChange, ToolFailure> {
        let mut change = serde_json::json!({ "revision": revision, "settings": settings });
        if let Some(operator) = &self.operator {
            change["by"] = operator.as_str().into();
        }
        let path = format!("/settings/{team}");
        let id = format!("{:032x}", rand::random::<u128>());
        let mut last_problem = String::new();
        for daemon in &self.daemons {
            let request = Request::builder()
                .method(Method::PUT)
                .header("idempotency-key", &id);
            match self.send(daemon, &path, request, json_body(&change)).await {
                // A daemon that didn't answer may still have written the change.
                // The next daemon recognizes the change by its id and reports it
                // as written; without the id it would report a conflict with the
                // operator's own write.
                Err(ToolFailure::Unreachable(problem)) => last_problem = problem,
                Ok(body) => return parse_body(&body),
                Err(other) => return Err(other),
            }
        }
        Err(ToolFailure::Unreachable(last_problem))
    }

    /// Edits a team's latest settings and writes them back.
    ///
    /// Two operators may change one team at the same time. An edit such as "add
    /// this customer" is still valid on top of another change, so a conflict
    /// makes it run again on the newer settings.
    pub(crate) async fn change<F>(&self, team: &str, mut edit: F) -> Result<i64, ToolFailure>
    where
        F: FnMut(&mut TeamSettings) -> Result<(), ToolFailure>,
    {
        let mut attempts = 0;
        loop {
            attempts += 1;
            let mut subtree = match self.team(team).await {
                Ok(subtree) => subtree,
                Err(ToolFailure::Missing(_)) => TeamSubtree {
                    revision: 0,
                    settings: TeamSettings::default(),
                },
                Err(other) => return Err(other),
            };
            edit(&mut subtree.settings)?;
            let settings = serde_json::to_value(&subtree.settings)
                .map_err(|it| ToolFailure::Refused(it.to_string()))?;
            match self.write(team, subtree.revision, &settings).await {
                Ok(accepted) => return Ok(accepted.revision),
                Err(ToolFailure::Conflict(_)) if attempts < MAX_CHANGE_ATTEMPTS => {}
                Err(other) => return Err(other),
            }
        }
    }

    /// Waits until every named daemon has a revision in force. Otherwise fails
    /// with the daemons that haven't confirmed it.
    pub(crate) async fn confirm(&self, revision: i64) -> Result<(), ToolFailure> {
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        let mut pending: Vec<&String> = self.daemons.iter().collect();
        loop {
            let mut unconfirmed = Vec::new();
            for daemon in pending {
                if !self.has_revision(daemon, revision).await {
                    unconfirmed.push(daemon);
                }
            }
            pending = unconfirmed;
            if pending.is_empty() {
                let count = self.daemons.len();
                eprintln!("revision {revision} is in force on all {count} named daemons");
                return Ok(());
            }
            if Instant::now() >= deadline {
                let names: Vec<&str> = pending.iter().map(|it| it.as_str()).collect();
                let text = format!(
                    "revision {revision} is accepted, but not yet confirmed by {}",
                    names.join(", ")
                );
                return Err(ToolFailure::Unconfirmed(text));
            }
            tokio::time::sleep(CONFIRM_POLL_INTERVAL).await;
        }
    }

    async fn has_revision(&self, daemon: &str, revision: i64) -> bool {
        let answer = self
            .call(daemon, Method::GET, "/status", MessageBody::empty())
            .await;
        let Ok(body) = answer else { return false };
        let status: Value = serde_json::from_slice(&body).unwrap_or_default();
        status["settings_revision"]
            .as_i64()
            .is_some_and(|it| it >= revision)
    }
}

/// Returns the name to record as the author of changes in the settings history.
fn operator_name(arguments: &Arguments) -> Option<String> {
    let user = || std::env::var("USER").or_else(|_| std::env::var("LOGNAME"));
    let name = arguments.by.clone().or_else(|| user().ok());
    name.filter(|it| !it.is_empty())
}

fn parse_body<T: DeserializeOwned>(body: &Bytes) -> Result<T, ToolFailure> {
    serde_json::from_slice(body)
        .map_err(|it| ToolFailure::Unreachable(format!("invalid response body: {it}")))
}

fn failure_from_response(status: StatusCode, body: &Bytes, daemon: &str) -> ToolFailure {
    let fields = serde_json::from_slice::<ErrorBody>(body).map(|it| it.error);
    let (message, findings) = match fields {
        Ok(fields) => (fields.message, fields.findings),
        Err(_) => (
            String::from_utf8_lossy(body).into_owned(),
            FindingList::default(),
        ),
    };
    match status {
        StatusCode::UNPROCESSABLE_ENTITY => ToolFailure::Findings(findings),
        StatusCode::CONFLICT => ToolFailure::Conflict(message),
        StatusCode::NOT_FOUND => ToolFailure::Missing(message),
        it if it.is_server_error() => ToolFailure::Unreachable(format!("{daemon}: {message}")),
        _ => ToolFailure::Refused(message),
    }
}
