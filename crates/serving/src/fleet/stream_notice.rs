//! What daemons tell each other of the streams that they begin.

use std::{net::SocketAddr, time::Duration};

use anyhow::Context as _;
use bytes::Bytes;
use comfreyramp_http::{HttpClient, MessageBody};
use comfreyramp_policy::streams::{SoftwareKey, StreamKey, StreamOrigin};
use http::{Request, StatusCode};

/// The path at which a daemon tells others the software that began a stream; the key of the
/// stream follows.
pub(super) const STREAMS_PATH: &str = "/streams/";
/// The maximum size in bytes of an answer that is read.
const MAX_ANSWER_BYTES: usize = 64;
/// The first bytes of a datagram with the origins of streams. A daemon of an earlier version
/// reads them as the length of a name, longer than any datagram, and drops the datagram.
const NOTICE_TAG: [u8; 5] = [0xff, 0xff, 0xff, 0xff, 0x0f];

/// Encodes a datagram with the origins of streams.
pub(super) fn encode_notice(origins: &[StreamOrigin]) -> Result<Vec<u8>, postcard::Error> {
    let bytes = NOTICE_TAG.to_vec();
    postcard::to_extend(origins, bytes)
}

/// Decodes a datagram; `None` if it isn't one with the origins of streams.
pub(super) fn decode_notice(bytes: &[u8]) -> Option<Result<Vec<StreamOrigin>, postcard::Error>> {
    let origins = bytes.strip_prefix(&NOTICE_TAG)?;
    Some(postcard::from_bytes(origins))
}

/// Asks another daemon which software began a stream; `None` if it doesn't know.
///
/// # Errors
///
/// Fails if there is no valid answer within `timeout`.
pub async fn request_origin(
    client: &HttpClient,
    peer: SocketAddr,
    stream: StreamKey,
    timeout: Duration,
) -> anyhow::Result<Option<SoftwareKey>> {
    let uri = format!("http://{peer}{STREAMS_PATH}{:016x}", stream.0);
    let request = Request::get(uri).body(MessageBody::empty())?;
    let answer = client.exchange(request, timeout, MAX_ANSWER_BYTES).await?;
    match answer.status() {
        StatusCode::OK => {
            let software = decode_software(answer.body()).context("an invalid answer")?;
            Ok(Some(software))
        }
        StatusCode::NOT_FOUND => Ok(None),
        status => anyhow::bail!("status {status}"),
    }
}

/// Returns the stream that the rest of a path names.
pub(super) fn stream_of_path(rest: &str) -> Option<StreamKey> {
    u64::from_str_radix(rest, 16).ok().map(StreamKey)
}

/// Encodes the answer that names the software that began a stream.
pub(super) fn encode_software(software: SoftwareKey) -> Bytes {
    Bytes::copy_from_slice(&software.0.to_be_bytes())
}

fn decode_software(body: &[u8]) -> Option<SoftwareKey> {
    let bytes = body.try_into().ok()?;
    Some(SoftwareKey(u64::from_be_bytes(bytes)))
}
