//! Requests as they are read from a socket by servers that write their answers themselves.

use tokio::{io::AsyncReadExt, net::TcpStream};

/// The maximum size of a request in bytes.
const MAX_REQUEST_BYTES: usize = 64 << 10;

/// A request with its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawRequest {
    /// The path and query.
    pub path: String,
    /// The headers, with names in lower case.
    headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl RawRequest {
    /// Returns a header's value; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        let header = self.headers.iter().find(|it| it.0 == name);
        header.map_or("", |it| &it.1)
    }

    /// Returns the request's id; empty if it has none.
    pub fn id(&self) -> &str {
        self.header("x-request-id")
    }

    /// Reads a request with its body. A socket that is closed with unread bytes is reset,
    /// which would differ from an ordinary close.
    pub(super) async fn read(stream: &mut TcpStream) -> Option<RawRequest> {
        let mut bytes = Vec::new();
        loop {
            let mut buffer = [0; 4096];
            let length = stream.read(&mut buffer).await.ok()?;
            if length == 0 || bytes.len() > MAX_REQUEST_BYTES {
                return None;
            }
            bytes.extend_from_slice(&buffer[..length]);
            let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") else {
                continue;
            };
            let mut request = RawRequest::parse(&String::from_utf8_lossy(&bytes[..end]))?;
            let body_length: usize = request.header("content-length").parse().unwrap_or(0);
            let body = end + 4..end + 4 + body_length;
            if let Some(body) = bytes.get(body) {
                request.body = body.to_vec();
                return Some(request);
            }
        }
    }

    fn parse(head: &str) -> Option<RawRequest> {
        let mut lines = head.lines();
        let path = lines.next()?.split(' ').nth(1)?.to_owned();
        let headers = lines
            .filter_map(|it| it.split_once(':'))
            .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()));
        Some(RawRequest {
            path,
            headers: headers.collect(),
            body: Vec::new(),
        })
    }
}
