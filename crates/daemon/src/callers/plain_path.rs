//! Checks the paths that are forwarded to plain services.

use comfreyramp_http::{ErrorAnswer, StatusCode};

/// The number of layers of percent-encoding that are checked. Each server and
/// each proxy before it may decode one layer.
const MAX_DECODED_LAYERS: usize = 4;

/// Rejects a path that a server may resolve to a location outside of its
/// prefix.
///
/// Paths are forwarded unchanged, and the prefix is compared before any server
/// decodes them. With `/proofs/%2e%2e/admin` a caller of one service would
/// reach paths beside that service unnoticed. So no layer of decoding may yield
/// a segment of only dots. `\` counts as `/`, and parameters after `;` are
/// ignored, as some servers do.
pub(super) fn reject_dot_segments(path: &str) -> Result<(), ErrorAnswer> {
    let mut bytes = path.as_bytes().to_vec();
    for _ in 0..MAX_DECODED_LAYERS {
        if has_dot_segment(&bytes) {
            let text = "The path has a segment of dots, plain or encoded. Remove that segment.";
            let answer = ErrorAnswer::new(StatusCode::BAD_REQUEST, "bad_path", text);
            return Err(answer.param("path"));
        }
        let decoded = decode(&bytes);
        if decoded == bytes {
            break;
        }
        bytes = decoded;
    }
    Ok(())
}

fn has_dot_segment(path: &[u8]) -> bool {
    let mut segments = path.split(|it| matches!(it, b'/' | b'\\'));
    segments.any(|segment| {
        let name = segment.split(|it| *it == b';').next();
        matches!(name, Some(b"." | b".."))
    })
}

/// Removes one layer of percent-encoding. Invalid escapes stay unchanged.
fn decode(path: &[u8]) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path;
    while let Some((&first, after)) = rest.split_first() {
        let byte = (first == b'%')
            .then(|| after.get(..2))
            .flatten()
            .and_then(hex_byte);
        decoded.push(byte.unwrap_or(first));
        rest = if byte.is_some() { &after[2..] } else { after };
    }
    decoded
}

fn hex_byte(digits: &[u8]) -> Option<u8> {
    let digit = |it: u8| char::from(it).to_digit(16);
    let value = digit(digits[0])? * 16 + digit(digits[1])?;
    u8::try_from(value).ok()
}
