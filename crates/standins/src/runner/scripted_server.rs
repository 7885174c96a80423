//! A backend server whose answers a test writes itself, also those that no sound server
//! would send.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyramp_http::{bind, set_reset_on_close};
use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::sync::CancellationToken;

use super::{
    raw_request::RawRequest,
    state_report::{REPORT_PATH, report_answer},
};
use crate::kv::KvState;

/// When the server started, in Unix milliseconds.
const BORN: u64 = 1;
/// The delay of a reset after the last byte of its answer.
const RESET_DELAY: Duration = Duration::from_millis(5);

/// A request that a scripted server received.
#[derive(Clone, Debug)]
pub struct ScriptedRequest {
    /// The request.
    pub request: RawRequest,
    /// The id of the request before it on the same connection.
    pub previous_id: Option<String>,
}

/// The bytes that answer one request.
#[derive(Clone, Debug, Default)]
pub struct ScriptedAnswer {
    /// What is sent at once.
    bytes: Vec<u8>,
    /// What is sent then, each piece after a delay.
    pieces: Vec<(Duration, Vec<u8>)>,
    /// What is sent after that again and again, each time after a delay.
    endless: Option<(Duration, Vec<u8>)>,
    closes: bool,
    /// Whether its connection is reset rather than closed in the ordinary way.
    resets: bool,
}

impl ScriptedAnswer {
    /// Returns an answer with a body and its length. It bears `id` as the id of the request
    /// that it answers, or none if that is empty.
    pub fn whole(status: u16, id: &str, body: &[u8]) -> Self {
        Self::with_length(status, id, body, body.len())
    }

    /// Returns an answer that is cut off: its head states one byte more than is sent, after
    /// which the connection is closed in the ordinary way.
    pub fn cut(status: u16, id: &str, body: &[u8]) -> Self {
        let mut answer = Self::with_length(status, id, body, body.len() + 1);
        answer.closes = true;
        answer
    }

    /// Returns bytes after which the connection stays open. No part of an answer is added.
    pub fn raw(bytes: &[u8]) -> Self {
        ScriptedAnswer {
            bytes: bytes.to_vec(),
            ..ScriptedAnswer::default()
        }
    }

    /// Returns bytes that may end anywhere, also within a head, after which the connection is
    /// closed or reset.
    pub fn cut_bytes(bytes: &[u8], resets: bool) -> Self {
        ScriptedAnswer {
            closes: true,
            resets,
            ..Self::raw(bytes)
        }
    }

    /// Returns an answer with neither a length nor chunks, whose body ends with its
    /// connection.
    pub fn until_close(status: u16, id: &str, body: &[u8]) -> Self {
        let mut answer = Self::framed(status, id, "x-framing: none", body);
        answer.closes = true;
        answer
    }

    /// Returns a stream of events in one chunk.
    pub fn stream(id: &str, events: &[u8]) -> Self {
        let mut body = format!("{:x}\r\n", events.len()).into_bytes();
        body.extend_from_slice(events);
        body.extend_from_slice(b"\r\n0\r\n\r\n");
        Self::framed(200, id, "transfer-encoding: chunked", &body)
    }

    /// Returns a stream of events in chunks, each sent after a delay of `interval`.
    pub fn paced_stream(
        id: &str,
        events: impl IntoIterator<Item = String>,
        interval: Duration,
    ) -> Self {
        let mut answer = Self::framed(200, id, "transfer-encoding: chunked", b"");
        let chunks = events
            .into_iter()
            .map(|it| format!("{:x}\r\n{it}\r\n", it.len()).into_bytes());
        answer.pieces = chunks.map(|it| (interval, it)).collect();
        answer.pieces.push((Duration::ZERO, b"0\r\n\r\n".to_vec()));
        answer
    }

    /// Returns an answer that begins with `begin` and goes on with `piece` without end, each
    /// time after a delay of `interval`, until the other side closes the connection. No part of
    /// an answer's head is added.
    pub fn endless(begin: &[u8], piece: &[u8], interval: Duration) -> Self {
        ScriptedAnswer {
            endless: Some((interval, piece.to_vec())),
            ..Self::raw(begin)
        }
    }

    /// Returns the head of an answer of this status whose body is sent in chunks.
    pub fn chunked_head(status: u16, id: &str) -> Vec<u8> {
        Self::framed(status, id, "transfer-encoding: chunked", b"").bytes
    }

    /// Returns a statement that the request with this id wasn't run.
    pub fn not_run(status: u16, id: &str) -> Self {
        Self::whole(status, id, b"").header("x-not-run", "1")
    }

    fn with_length(status: u16, id: &str, body: &[u8], length: usize) -> Self {
        Self::framed(status, id, &format!("content-length: {length}"), body)
    }

    fn framed(status: u16, id: &str, framing: &str, body: &[u8]) -> Self {
        let mut bytes = format!("HTTP/1.1 {status} Scripted\r\n").into_bytes();
        if !id.is_empty() {
            bytes.extend_from_slice(format!("x-request-id: {id}\r\n").as_bytes());
        }
        bytes.extend_from_slice(b"x-response-signature: scripted\r\n");
        bytes.extend_from_slice(format!("{framing}\r\n\r\n").as_bytes());
        bytes.extend_from_slice(body);
        Self::raw(&bytes)
    }

    /// Adds a header.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        let line = self.bytes.windows(2).position(|it| it == b"\r\n");
        let begin = line.map_or(0, |it| it + 2);
        let header = format!("{name}: {value}\r\n").into_bytes();
        self.bytes.splice(begin..begin, header);
        self
    }

    /// Sends the answer only after a delay.
    pub fn delayed(mut self, delay: Duration) -> Self {
        let bytes = std::mem::take(&mut self.bytes);
        self.pieces.insert(0, (delay, bytes));
        self
    }

    /// Sends another answer directly after this one.
    pub fn then(mut self, next: &ScriptedAnswer) -> Self {
        match self.pieces.last_mut() {
            Some(last) => last.1.extend_from_slice(&next.bytes),
            None => self.bytes.extend_from_slice(&next.bytes),
        }
        self.pieces.extend_from_slice(&next.pieces);
        self.closes |= next.closes;
        self
    }
}

/// A running server that answers by a script.
#[derive(Debug)]
pub struct ScriptedServer {
    id: String,
    /// The address at which it listens.
    pub address: SocketAddr,
    requests: Mutex<Vec<ScriptedRequest>>,
    /// What answers queries of the server's state.
    report: Mutex<Vec<u8>>,
    state_queries: AtomicUsize,
    endless_answers: AtomicUsize,
}

impl ScriptedServer {
    /// Starts a server that answers each request with what `script` returns for it.
    ///
    /// # Errors
    ///
    /// Fails if there is no free port.
    pub async fn start(
        id: &str,
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
        stop: CancellationToken,
    ) -> anyhow::Result<Arc<ScriptedServer>> {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
        let server = Arc::new(ScriptedServer {
            id: id.to_owned(),
            address: listener.local_addr()?,
            requests: Mutex::default(),
            report: Mutex::new(report_answer(BORN).into_bytes()),
            state_queries: AtomicUsize::new(0),
            endless_answers: AtomicUsize::new(0),
        });
        let shared = server.clone();
        let script = Arc::new(script);
        tokio::spawn(stop.run_until_cancelled_owned(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (server, script) = (shared.clone(), script.clone());
                tokio::spawn(async move { server.answer_all(stream, script.as_ref()).await });
            }
        }));
        Ok(server)
    }

    /// Registers the server in the store as ready.
    pub fn register(&self, service: &str, zone: &str, store: &KvState) {
        let entry = json!({
            "service": service, "address": self.address.to_string(), "zone": zone,
            "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0, "seq": 0, "born": BORN,
        });
        store.put(
            &format!("servers/{}", self.id),
            entry.to_string().as_bytes(),
        );
    }

    /// Answers queries of the server's state with these bytes from now on.
    pub fn set_report(&self, bytes: &[u8]) {
        *self.report.lock().unwrap_or_else(PoisonError::into_inner) = bytes.to_vec();
    }

    /// Returns the number of queries of the server's state so far.
    pub fn state_queries(&self) -> usize {
        self.state_queries.load(Ordering::SeqCst)
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<ScriptedRequest> {
        let requests = self.requests.lock().unwrap_or_else(PoisonError::into_inner);
        requests.clone()
    }

    /// Returns the number of answers without end whose connections are open.
    pub fn endless_answers(&self) -> usize {
        self.endless_answers.load(Ordering::SeqCst)
    }

    async fn repeat(&self, stream: &mut TcpStream, interval: Duration, piece: &[u8]) {
        let (mut reader, mut writer) = stream.split();
        let mut unread = [0; 64];
        let sending = async {
            while writer.write_all(piece).await.is_ok() {
                tokio::time::sleep(interval).await;
            }
        };
        // A closed connection is noticed at once and not only at the next piece.
        let closed = async { while reader.read(&mut unread).await.is_ok_and(|it| it > 0) {} };
        self.endless_answers.fetch_add(1, Ordering::SeqCst);
        tokio::select! {
            () = sending => {}
            () = closed => {}
        }
        self.endless_answers.fetch_sub(1, Ordering::SeqCst);
    }

    async fn answer_all(
        &self,
        mut stream: TcpStream,
        script: &(impl Fn(&ScriptedRequest) -> ScriptedAnswer + Sync),
    ) {
        let mut previous_id = None;
        while let Some(request) = RawRequest::read(&mut stream).await {
            if request.path == REPORT_PATH {
                self.state_queries.fetch_add(1, Ordering::SeqCst);
                let report = self
                    .report
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .clone();
                if stream.write_all(&report).await.is_err() {
                    return;
                }
                continue;
            }
            let id = request.id().to_owned();
            let received = ScriptedRequest {
                request,
                previous_id: previous_id.replace(id),
            };
            let answer = script(&received);
            self.requests
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(received);
            if stream.write_all(&answer.bytes).await.is_err() {
                return;
            }
            for (delay, piece) in &answer.pieces {
                tokio::time::sleep(*delay).await;
                if stream.write_all(piece).await.is_err() {
                    return;
                }
            }
            if let Some((interval, piece)) = &answer.endless {
                return self.repeat(&mut stream, *interval, piece).await;
            }
            if answer.resets {
                // A reset at once would take away what hasn't been read of the answer.
                tokio::time::sleep(RESET_DELAY).await;
                set_reset_on_close(&stream, true);
                return;
            }
            if answer.closes {
                break;
            }
        }
        // A failure means that the other side has already closed the connection.
        let _ = stream.shutdown().await;
    }
}
