//! Selects the headers that are forwarded to backend servers and back to
//! callers.

use comfreyramp_http::{ErrorAnswer, HeaderMap, StatusCode, header};

use super::{Caller, caller::REQUEST_ID_HEADER};

/// Headers that belong to a single connection or carry credentials, and so are
/// never forwarded. Sorted for binary search.
const NOT_FORWARDED: &[&str] = &[
    "authorization",
    "connection",
    "content-length",
    "cookie",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "x-api-key",
];

/// The header with which a caller marks a request that must not run twice.
const ONCE_HEADER: &str = "x-comfreyramp-run-once";

/// Whether the caller marked its request as one that must not run twice.
pub(super) fn is_marked_once(headers: &HeaderMap) -> bool {
    headers.get(ONCE_HEADER).is_some_and(|it| it != "false")
}

/// Returns the caller's headers without those that must not be forwarded.
///
/// A header whose value contains the key is dropped too, whatever its name:
/// clients put keys in headers of their own, and a backend server must never
/// receive one.
pub(super) fn forwarded_headers(caller: &Caller, headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_withheld = NOT_FORWARDED.binary_search(&name.as_str()).is_ok();
        if !is_withheld && !caller.contains_key(value.as_bytes()) {
            forwarded.append(name.clone(), value.clone());
        }
    }
    if let Ok(id) = caller.request_id.parse() {
        forwarded.insert(REQUEST_ID_HEADER, id);
    }
    forwarded
}

/// Returns the backend server's headers without those of its connection, and with the length
/// of its body as one number.
pub(super) fn returned_headers(headers: &HeaderMap) -> HeaderMap {
    let mut returned = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if NOT_FORWARDED.binary_search(&name.as_str()).is_err() {
            returned.append(name.clone(), value.clone());
        }
    }
    if let Some(length) = body_length(headers) {
        returned.insert(header::CONTENT_LENGTH, length.into());
    }
    returned
}

/// Returns the length that a server states for its body. It may be repeated, in a list or in
/// several fields; the HTTP library has made sure that all are equal.
fn body_length(headers: &HeaderMap) -> Option<u64> {
    let stated = headers.get(header::CONTENT_LENGTH)?.to_str().ok()?;
    stated.split(',').next()?.trim().parse().ok()
}

/// Rejects a path, query or body that contains the caller's key.
pub(super) fn reject_contained_key(
    caller: &Caller,
    place: &str,
    bytes: &[u8],
) -> Result<(), ErrorAnswer> {
    if !caller.contains_key(bytes) {
        return Ok(());
    }
    let text = format!("The {place} contains your key. Send it in the Authorization header only.");
    let answer = ErrorAnswer::new(StatusCode::BAD_REQUEST, "key_in_request", text);
    Err(answer.param(place))
}
