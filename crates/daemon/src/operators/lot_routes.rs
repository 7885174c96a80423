//! Routes for the lots (batch jobs) of all customers: list, show, cancel.

use comfreyramp_http::{ErrorAnswer, Method, StatusCode};

use super::{Answer, json};
use crate::{callers::lot_answers::lot_error, shared::SharedState};

/// Answers a request for `/lots` or a path below it.
pub(super) async fn route(state: &SharedState, method: &Method, path: &str) -> Answer {
    let rest = path.trim_start_matches("/lots").trim_matches('/');
    match (method, rest.split_once('/')) {
        (&Method::GET, None) if rest.is_empty() => {
            let lots = state.lots.open_lots().await.map_err(lot_error)?;
            Ok(json(&serde_json::json!({ "lots": lots })))
        }
        (&Method::GET, None) => {
            let lot = state.lots.open_lot(rest).await;
            Ok(json(&lot.map_err(lot_error)?))
        }
        (&Method::POST, Some((id, "cancel"))) => {
            let lot = state.lots.open_lot(id).await.map_err(lot_error)?;
            let lot = state.lots.cancel(&lot.customer, id).await;
            let lot = lot.map_err(lot_error)?;
            log::info!("lots: an operator cancelled {id}");
            Ok(json(&lot))
        }
        _ => {
            let text = format!("There is no {method} {path}. See docs/API.md.");
            Err(ErrorAnswer::new(
                StatusCode::NOT_FOUND,
                "unknown_path",
                text,
            ))
        }
    }
}
