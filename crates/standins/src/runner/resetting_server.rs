//! A backend server that answers before it has read a request, and then resets the connection.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::set_reset_on_close;
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
};
use tokio_util::sync::CancellationToken;

use super::state_report::{REPORT_PATH, report_answer};
use crate::kv::KvState;

/// When the server started, in Unix milliseconds.
const BORN: u64 = 1;
/// The size of its receive buffer in bytes. What a request has beyond it can't be sent before
/// the server reads.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 64;

/// How many bytes of a request a server reads before it answers.
const READ_BYTES: [usize; 6] = [0, 6_000, 20_000, 200_000, 1_000_000, 4_000_000];
/// How long it waits before it resets the connection.
const PAUSES_MS: [u64; 4] = [0, 1, 10, 100];
const VERSIONS: [&str; 2] = ["HTTP/1.1", "HTTP/1.0"];
const CONTENT_TYPES: [Option<&str>; 3] = [
    None,
    Some("text/event-stream"),
    Some("application/octet-stream"),
];
/// A part of an answer that looks whole: it ends with an event.
const PART: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// How far a server gets with a request.
#[derive(Clone, Debug)]
pub struct EarlyAnswer {
    /// How many bytes of the request it reads, its head included, before it answers.
    pub read_bytes: usize,
    /// The version of HTTP in its head.
    pub version: &'static str,
    /// The type of its body, if the head states it.
    pub content_type: Option<&'static str>,
    /// The part of its body that it sends.
    pub body: &'static [u8],
    /// How long it waits then before it resets the connection.
    pub pause: Duration,
}

impl EarlyAnswer {
    /// Returns one answer of each kind after the other.
    pub fn numbered(number: usize) -> Self {
        EarlyAnswer {
            read_bytes: READ_BYTES[number % READ_BYTES.len()],
            pause: Duration::from_millis(PAUSES_MS[number / 2 % PAUSES_MS.len()]),
            version: VERSIONS[number / 3 % VERSIONS.len()],
            content_type: CONTENT_TYPES[number / 5 % CONTENT_TYPES.len()],
            body: PART,
        }
    }
}

/// A running server.
#[derive(Debug)]
pub struct ResettingServer {
    id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    answers: AtomicUsize,
}

impl ResettingServer {
    /// Starts a server that answers the request of each number as `answer` returns for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn start(
        id: &str,
        answer: impl Fn(usize) -> EarlyAnswer + Send + Sync + 'static,
        stop: CancellationToken,
    ) -> anyhow::Result<Arc<ResettingServer>> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        let listener: TcpListener = socket.listen(BACKLOG)?;
        let server = Arc::new(ResettingServer {
            id: id.to_owned(),
            address: listener.local_addr()?,
            answers: AtomicUsize::new(0),
        });
        let (shared, answer) = (server.clone(), Arc::new(answer));
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, answer) = (shared.clone(), answer.clone());
                tokio::spawn(async move { server.answer_all(stream, answer.as_ref()).await });
            }
        }));
        Ok(server)
    }

    /// Registers the server in the store as ready.
    pub fn register(&self, service: &str, zone: &str, store: &KvState) {
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 32, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": BORN,
        });
        let key = format!("servers/{}", self.id);
        store.put(&key, entry.to_string().as_bytes());
    }

    /// Returns the number of answers that were begun and reset.
    pub fn answers(&self) -> usize {
        self.answers.load(Ordering::SeqCst)
    }

    async fn answer_all(
        &self,
        mut stream: TcpStream,
        answer: &(impl Fn(usize) -> EarlyAnswer + Sync),
    ) {
        let mut request = Vec::new();
        // A connection that breaks off by itself shows nothing.
        while let Some(head) = read_head(&mut stream, &mut request).await {
            if !head.starts_with(&format!("GET {REPORT_PATH} ")) {
                let number = self.answers.fetch_add(1, Ordering::SeqCst);
                let answer = answer(number);
                let _ = self
                    .answer(&mut stream, request.len(), &head, &answer)
                    .await;
                return set_reset_on_close(&stream, true);
            }
            request.clear();
            let report = report_answer(BORN);
            if stream.write_all(report.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(
        &self,
        stream: &mut TcpStream,
        mut read: usize,
        head: &str,
        answer: &EarlyAnswer,
    ) -> std::io::Result<()> {
        let mut buffer = [0; 4096];
        while read < answer.read_bytes {
            let wanted = buffer.len().min(answer.read_bytes - read);
            read += match stream.read(&mut buffer[..wanted]).await? {
                0 => break,
                bytes => bytes,
            };
        }
        let id = head
            .lines()
            .find_map(|it| it.strip_prefix("x-request-id: "));
        let content_type = answer.content_type;
        let content_type = content_type.map(|it| format!("content-type: {it}\r\n"));
        let head = format!(
            "{} 200 OK\r\nx-request-id: {}\r\nx-response-signature: {}\r\n{}\r\n",
            answer.version,
            id.unwrap_or_default(),
            self.id,
            content_type.unwrap_or_default()
        );
        stream
            .write_all(&[head.as_bytes(), answer.body].concat())
            .await?;
        tokio::time::sleep(answer.pause).await;
        Ok(())
    }
}

/// Reads until the end of a head, and returns the head.
async fn read_head(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            return Some(String::from_utf8_lossy(&bytes[..end]).into_owned());
        }
        let mut buffer = [0; 1024];
        let length = stream.read(&mut buffer).await.ok()?;
        if length == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..length]);
    }
}
