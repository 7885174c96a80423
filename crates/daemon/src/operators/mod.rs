//! The HTTP API for operators: settings, status, metrics, traces, lots, planned stop.

mod lot_routes;
mod settings_routes;
mod status;
mod team_history;
mod team_writer;

use std::sync::{Arc, atomic::Ordering};

use comfreyramp_http::{
    ErrorAnswer, HeaderMap, HeaderValue, Incoming, MessageBody, Method, Request, Response,
    StatusCode, header, json_body,
};
use subtle::ConstantTimeEq;

use crate::{callers::methods::reject_unless_allowed, shared::SharedState, traces::MAX_TRACES};

/// Answers a request to the operators' API.
pub async fn answer(state: Arc<SharedState>, request: Request<Incoming>) -> Response<MessageBody> {
    match route(&state, request).await {
        Ok(response) => response,
        Err(answer) => answer.into_response(),
    }
}

type Answer = Result<Response<MessageBody>, ErrorAnswer>;

async fn route(state: &Arc<SharedState>, mut request: Request<Incoming>) -> Answer {
    let path = request.uri().path().to_owned();
    if let Some(allowed) = allowed_methods(&path) {
        reject_unless_allowed(allowed, request.method(), &path)?;
    }
    if request.method() == Method::HEAD {
        *request.method_mut() = Method::GET;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => return Ok(text("alive\n")),
        (&Method::GET, "/readyz") => return readiness(state),
        (&Method::GET, "/metrics") => return Ok(metrics(state)),
        _ => {}
    }
    check_token(state, request.headers())?;
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/status") => Ok(json(&status::fleet_status(state))),
        (Method::GET, path) if path.starts_with("/explain/") => explain(state, path),
        (Method::POST, "/drain") => {
            log::info!("operators: a planned stop was requested");
            state.drain_requested.cancel();
            Ok(json(&serde_json::json!({ "draining": true })))
        }
        (method, path) if path == "/lots" || path.starts_with("/lots/") => {
            lot_routes::route(state, &method, path).await
        }
        (method, path) if path == "/settings" || path.starts_with("/settings/") => {
            settings_routes::route(state, method, path, request).await
        }
        _ => Err(ErrorAnswer::new(
            StatusCode::NOT_FOUND,
            "unknown_path",
            format!("The operators' API has no {path}. See docs/API.md."),
        )),
    }
}

/// Returns the trace of the request whose id the path names.
fn explain(state: &SharedState, path: &str) -> Answer {
    let id = path.trim_start_matches("/explain/");
    let Some(trace) = state.traces.find(id) else {
        let text = format!(
            "Daemon {} has no trace of this request. It keeps those of its last {MAX_TRACES} \
             requests since it was started.",
            state.settings.name
        );
        return Err(ErrorAnswer::new(
            StatusCode::NOT_FOUND,
            "unknown_request",
            text,
        ));
    };
    let mut view = trace.to_json();
    view["daemon"] = state.settings.name.as_str().into();
    Ok(json(&view))
}

/// Returns the methods that a path allows, or none for paths that aren't known or
/// that their route checks itself.
fn allowed_methods(path: &str) -> Option<&'static str> {
    let segments: Vec<&str> = path.strip_prefix('/')?.split('/').collect();
    match segments.as_slice() {
        ["healthz" | "readyz" | "metrics" | "status" | "settings"] => Some("GET, HEAD"),
        ["explain", _] | ["settings", _, "history"] => Some("GET, HEAD"),
        ["settings", _] => Some("GET, HEAD, PUT"),
        ["drain"] | ["settings", _, "check"] => Some("POST"),
        _ => None,
    }
}

fn check_token(state: &SharedState, headers: &HeaderMap) -> Result<(), ErrorAnswer> {
    let presented = headers
        .get(header::AUTHORIZATION)
        .and_then(|it| it.to_str().ok())
        .and_then(|it| it.strip_prefix("Bearer "))
        .unwrap_or_default();
    let expected = state.settings.operators_token.as_bytes();
    if bool::from(presented.as_bytes().ct_eq(expected)) {
        return Ok(());
    }
    let text = "Show the operators' token as `Authorization: Bearer <token>`.";
    Err(ErrorAnswer::new(
        StatusCode::UNAUTHORIZED,
        "wrong_token",
        text,
    ))
}

fn readiness(state: &SharedState) -> Answer {
    if state.is_ready() {
        return Ok(text("ready\n"));
    }
    let reason = if state.not_ready.load(Ordering::Relaxed) {
        "draining"
    } else {
        "no settings yet"
    };
    Err(
        ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "not_ready", reason)
            .retry_after(std::time::Duration::from_secs(1)),
    )
}

fn metrics(state: &SharedState) -> Response<MessageBody> {
    update_gauges(state);
    let mut response = Response::new(state.metrics.render().into());
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}

/// Updates the gauges whose values are computed only when metrics are requested.
fn update_gauges(state: &SharedState) {
    let now = state.clock.now();
    let slots = state.bulk_limiters.slots(now);
    let open: u32 = slots.iter().map(|it| it.1.open).sum();
    let allowed: u32 = slots.iter().filter_map(|it| it.1.allowed).sum();
    let age = state.settings_age(now).as_millis();
    let values = [
        ("settings_age_ms", i64::try_from(age).unwrap_or(i64::MAX)),
        ("settings_revision", state.snapshot().revision),
        ("bulk_slots_open", i64::from(open)),
        ("bulk_slots_allowed", i64::from(allowed)),
        ("ready", i64::from(state.is_ready())),
    ];
    for (name, value) in values {
        state.metrics.set(name, value);
    }
    state.metrics.clear_shares();
    for customer in &state.snapshot().customers {
        let level = state.rates.level(&customer.name);
        state.metrics.set_share(&customer.name, level);
    }
}

fn text(line: &'static str) -> Response<MessageBody> {
    Response::new(line.to_owned().into())
}

/// Returns an answer with `value` as its JSON body.
pub(crate) fn json(value: &impl serde::Serialize) -> Response<MessageBody> {
    let mut response = Response::new(json_body(value));
    let kind = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
