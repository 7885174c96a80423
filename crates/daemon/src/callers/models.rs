//! `/v1/models`: the models that the services offer.

use comfreyramp_http::{ErrorAnswer, MessageBody, Response, StatusCode};
use serde_json::{Value, json};

use super::Answer;
use crate::{operators::json as json_answer, shared::SharedState};

/// Lists the models that are offered.
pub(super) fn list(state: &SharedState) -> Response<MessageBody> {
    let snapshot = state.snapshot();
    let models: Vec<Value> = snapshot.models().map(describe).collect();
    json_answer(&json!({ "object": "list", "data": models }))
}

/// Describes the model that the path names.
pub(super) fn one(state: &SharedState, path: &str) -> Answer {
    let model = path.trim_start_matches("/v1/models/");
    let snapshot = state.snapshot();
    if snapshot.service_of_model(model).is_none() {
        return Err(unknown_model(model));
    }
    Ok(json_answer(&describe(model)))
}

/// Returns the error for a model that no service offers.
pub(super) fn unknown_model(model: &str) -> ErrorAnswer {
    let text = format!("There is no model {model:?}. GET /v1/models lists those on offer.");
    ErrorAnswer::new(StatusCode::NOT_FOUND, "model_not_found", text).param("model")
}

fn describe(model: &str) -> Value {
    json!({ "id": model, "object": "model", "created": 0, "owned_by": "comfreyramp" })
}
