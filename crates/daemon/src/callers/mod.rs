//! The HTTP interface for callers: the OpenAI-compatible API, and plain
//! services under their path prefixes. See docs/API.md.

mod batches;
mod body_check;
mod caller;
mod engine_call;
mod engine_stream;
mod files;
mod forwarded;
mod key_filter;
pub(crate) mod lot_answers;
pub(crate) mod methods;
mod models;
mod plain_call;
mod plain_path;
mod read_request;
mod run_once;
mod upload;
mod upload_progress;

use std::sync::Arc;

use comfreyramp_http::{ErrorAnswer, Incoming, MessageBody, Method, Request, Response, StatusCode};
use comfreyramp_lots::{SystemClock, WallClock};

pub use caller::Caller;
pub use key_filter::{KeyFilter, KeyFound};

use crate::{
    shared::SharedState,
    traces::{RequestTrace, TraceStep},
};
use caller::REQUEST_ID_HEADER;

type Answer = Result<Response<MessageBody>, ErrorAnswer>;

/// Handles one caller's request. Every outcome, errors included, becomes a
/// response that carries the request's id.
pub async fn answer(
    state: Arc<SharedState>,
    start: u64,
    request: Request<Incoming>,
) -> Response<MessageBody> {
    let request_id = state.new_request_id(start);
    let trace = RequestTrace::new(&request_id, SystemClock.now().0, state.clock.now());
    state.traces.push(trace.clone());
    let mut response = match route(&state, trace.clone(), request).await {
        Ok(response) => {
            let status = response.status().as_u16();
            trace.add_step(TraceStep::Answered { status }, state.clock.now());
            response
        }
        Err(answer) => {
            trace.add_refused(&answer, state.clock.now());
            log::debug!("callers: {request_id} was refused: {}", answer.code);
            answer.into_response()
        }
    };
    if let Ok(value) = request_id.parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    response
}

async fn route(
    state: &Arc<SharedState>,
    trace: RequestTrace,
    request: Request<Incoming>,
) -> Answer {
    let now = state.clock.now();
    let caller = Caller::authenticate(state, request.headers(), trace, now);
    let caller = caller.inspect_err(|it| state.metrics.count_refusal("", it.code))?;
    let customer = caller.customer.name.clone();
    let answer = dispatch(state, caller, request).await;
    answer.inspect_err(|it| state.metrics.count_refusal(&customer, it.code))
}

async fn dispatch(
    state: &Arc<SharedState>,
    caller: Caller,
    mut request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    methods::reject_wrong_method(request.method(), &path)?;
    if request.method() == Method::HEAD && path.starts_with("/v1/") {
        // HEAD gets the head of the same GET; the server loop omits the body.
        *request.method_mut() = Method::GET;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/v1/models") => Ok(models::list(state)),
        (&Method::GET, path) if path.starts_with("/v1/models/") => models::one(state, path),
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            engine_call::answer(state, caller, request).await
        }
        (_, path) if is_at(path, "/v1/files") => files::answer(state, caller, request).await,
        (_, path) if is_at(path, "/v1/batches") => batches::answer(state, caller, request).await,
        (method, path) if path.starts_with("/v1/") => {
            let text = format!("There is no {method} {path}. See docs/API.md.");
            Err(ErrorAnswer::new(
                StatusCode::NOT_FOUND,
                "unknown_path",
                text,
            ))
        }
        _ => plain_call::answer(state, caller, request).await,
    }
}

/// Whether `path` is `folder` or a path below it.
fn is_at(path: &str, folder: &str) -> bool {
    let rest = path.strip_prefix(folder);
    rest.is_some_and(|it| it.is_empty() || it.starts_with('/'))
}
