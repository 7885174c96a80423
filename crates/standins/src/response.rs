//! JSON responses.

use comfreyramp_http::{HeaderValue, MessageBody, Response, StatusCode, json_body};
use serde_json::Value;

pub(crate) fn json_response(status: StatusCode, value: &Value) -> Response<MessageBody> {
    let mut response = Response::new(json_body(value));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert("content-type", json);
    response
}
