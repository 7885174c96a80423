//! `/v1/batches`: lots in the shape of the OpenAI batch API.

use std::{collections::BTreeMap, sync::Arc};

use comfreyramp_http::{ErrorAnswer, Incoming, Method, Request, StatusCode};
use comfreyramp_lots::{BatchList, NewLot};
use serde::Deserialize;

use super::{
    Answer, Caller,
    lot_answers::{PageQuery, bad_request, job_key, lot_error},
    models::unknown_model,
    read_request::read_request_body,
};
use crate::{operators::json, shared::SharedState};

/// The maximum size in bytes of the body that creates a lot. The items are
/// uploaded as a file beforehand.
const REQUEST_LIMIT: usize = 64 * 1024;

/// The body with which a caller creates a lot.
#[derive(Debug, Deserialize)]
struct BatchRequest {
    input_file_id: String,
    endpoint: String,
    completion_window: String,
    #[serde(default)]
    metadata: Option<BTreeMap<String, String>>,
}

/// Handles a request to `/v1/batches` or a path below it.
pub(super) async fn answer(
    state: &Arc<SharedState>,
    caller: Caller,
    request: Request<Incoming>,
) -> Answer {
    let path = request.uri().path().to_owned();
    let rest = path.trim_start_matches("/v1/batches").trim_matches('/');
    match (request.method(), rest.split_once('/')) {
        (&Method::POST, None) if rest.is_empty() => create(state, &caller, request).await,
        (&Method::GET, None) if rest.is_empty() => list(state, &caller, &request).await,
        (&Method::GET, None) => {
            let lot = state.lots.get(&caller.customer.name, rest).await;
            Ok(json(&lot.map_err(lot_error)?))
        }
        (&Method::POST, Some((id, "cancel"))) => cancel(state, &caller, id).await,
        _ => Err(unknown_path(&path)),
    }
}

async fn create(state: &SharedState, caller: &Caller, request: Request<Incoming>) -> Answer {
    state.admit(caller).await?;
    let (head, body) = request.into_parts();
    let key = job_key(&head.headers)?;
    let body = read_request_body(body, REQUEST_LIMIT).await?;
    let wanted: BatchRequest = serde_json::from_slice(&body)
        .map_err(|error| bad_request("broken_json", format!("Invalid batch body: {error}")))?;
    let customer = &caller.customer.name;
    let new = NewLot {
        completion_window: wanted.completion_window.parse().map_err(lot_error)?,
        input_file_id: wanted.input_file_id,
        endpoint: wanted.endpoint,
        metadata: wanted.metadata.unwrap_or_default(),
        job_key: key.map(str::to_owned),
    };
    let files = state.lots.files();
    let file = files.get(customer, &new.input_file_id).await;
    let file = file.map_err(|it| lot_error(it).param("input_file_id"))?;
    if state.snapshot().service_of_model(&file.model).is_none() {
        return Err(unknown_model(&file.model).param("input_file_id"));
    }
    let lot = state.lots.create(customer, &new).await.map_err(lot_error)?;
    log::info!("lots: {} of {customer} is accepted", lot.id);
    Ok(json(&lot))
}

async fn list(state: &SharedState, caller: &Caller, request: &Request<Incoming>) -> Answer {
    let page = PageQuery::parse(request.uri().query())?;
    let after = page.after.as_deref();
    let customer = &caller.customer.name;
    let found = state.lots.list(customer, after, page.limit).await;
    Ok(json(&BatchList::from(found.map_err(lot_error)?)))
}

async fn cancel(state: &SharedState, caller: &Caller, id: &str) -> Answer {
    let customer = &caller.customer.name;
    let lot = state.lots.cancel(customer, id).await.map_err(lot_error)?;
    log::info!("lots: {id} of {customer} is {:?}", lot.status);
    Ok(json(&lot))
}

/// Returns the error for a path that doesn't exist.
pub(super) fn unknown_path(path: &str) -> ErrorAnswer {
    let text = format!("There is no {path}. See docs/API.md.");
    ErrorAnswer::new(StatusCode::NOT_FOUND, "unknown_path", text)
}
