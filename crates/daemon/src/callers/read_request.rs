//! Reads a caller's body with limits on its size and on the time it takes.

use std::time::Duration;

use comfreyramp_http::{BodyError, Bytes, ErrorAnswer, Incoming, StatusCode, collect_limited};

/// The maximum time in which a complete body must arrive. Without it, a client
/// that sends its body byte by byte would hold memory forever.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a body of at most `limit` bytes into memory.
pub(super) async fn read_request_body(body: Incoming, limit: usize) -> Result<Bytes, ErrorAnswer> {
    match tokio::time::timeout(BODY_TIMEOUT, collect_limited(body, limit)).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(error @ BodyError::TooLong { .. })) => {
            let text = format!("{error}. Send less at a time.");
            Err(ErrorAnswer::new(
                StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_long",
                text,
            ))
        }
        Ok(Err(error)) => {
            let text = format!("The body didn't arrive: {error}");
            Err(ErrorAnswer::new(
                StatusCode::BAD_REQUEST,
                "body_incomplete",
                text,
            ))
        }
        Err(_) => {
            let text = format!(
                "The body didn't arrive within {} s.",
                BODY_TIMEOUT.as_secs()
            );
            let answer = ErrorAnswer::new(StatusCode::REQUEST_TIMEOUT, "body_too_slow", text);
            Err(answer.retry_after(Duration::from_secs(1)))
        }
    }
}
