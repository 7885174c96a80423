//! The HTTP methods that the paths for callers allow.

use comfreyramp_http::{ErrorAnswer, Method, StatusCode};

const GET: &str = "GET, HEAD";
const POST: &str = "POST";
const GET_POST: &str = "GET, HEAD, POST";
const GET_DELETE: &str = "DELETE, GET, HEAD";

/// Rejects a method that a known path doesn't allow, naming the allowed ones.
/// Passes unknown paths, which get their own error.
pub(super) fn reject_wrong_method(method: &Method, path: &str) -> Result<(), ErrorAnswer> {
    let Some(allowed) = allowed_methods(path) else {
        return Ok(());
    };
    reject_unless_allowed(allowed, method, path)
}

/// Rejects a method that isn't in `allowed`, a comma-separated list.
pub(crate) fn reject_unless_allowed(
    allowed: &'static str,
    method: &Method,
    path: &str,
) -> Result<(), ErrorAnswer> {
    if allowed.split(", ").any(|it| it == method.as_str()) {
        return Ok(());
    }
    let text = format!("{path} doesn't allow {method}. Use one of: {allowed}.");
    let answer = ErrorAnswer::new(StatusCode::METHOD_NOT_ALLOWED, "wrong_method", text);
    Err(answer.allow(allowed))
}

fn allowed_methods(path: &str) -> Option<&'static str> {
    let segments: Vec<&str> = path.strip_prefix("/v1/")?.split('/').collect();
    match segments.as_slice() {
        ["chat", "completions"] | ["completions"] => Some(POST),
        ["models", ..] => Some(GET),
        ["files"] | ["batches"] => Some(GET_POST),
        ["files", _] => Some(GET_DELETE),
        ["files", _, "content"] | ["batches", _] => Some(GET),
        ["batches", _, "cancel"] => Some(POST),
        _ => None,
    }
}
