//! How many bytes a connection holds for a side that doesn't read, beside those that the
//! account counts.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use comfreyramp_policy::Timestamp;
use comfreyramp_serving::path::{CONNECTION_BUFFER_BYTES, ConnectionPool, UNSENT_BYTES};
use http::{Request, Response};
use http_body_util::Full;
use hyper::{
    body::{Body, Frame},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpSocket},
    task::LocalSet,
};

const CHUNK_BYTES: usize = 1_024;

/// A body without an end, which counts what is taken from it and what has been dropped.
struct EndlessBody {
    taken: Arc<AtomicUsize>,
    dropped: Arc<AtomicUsize>,
}

struct CountedChunk {
    bytes: [u8; CHUNK_BYTES],
    dropped: Arc<AtomicUsize>,
}

impl AsRef<[u8]> for CountedChunk {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for CountedChunk {
    fn drop(&mut self) {
        self.dropped.fetch_add(CHUNK_BYTES, Ordering::Relaxed);
    }
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.taken.fetch_add(CHUNK_BYTES, Ordering::Relaxed);
        let chunk = CountedChunk {
            bytes: [b'x'; CHUNK_BYTES],
            dropped: self.dropped.clone(),
        };
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_owner(chunk)))))
    }
}

/// Serves one caller that doesn't read, and returns what hyper holds for it and what the
/// two systems hold, in bytes.
async fn bytes_for_unread_answer(
    max_buf_size: Option<usize>,
    unsent: Option<u32>,
) -> (usize, usize) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let taken = Arc::new(AtomicUsize::new(0));
    let dropped = Arc::new(AtomicUsize::new(0));
    let counts = (taken.clone(), dropped.clone());
    let serving = tokio::task::spawn_local(async move {
        let (stream, _) = listener.accept().await.unwrap();
        if let Some(bytes) = unsent {
            SockRef::from(&stream).set_tcp_notsent_lowat(bytes).unwrap();
        }
        let service = service_fn(|_| {
            let (taken, dropped) = counts.clone();
            async move { Ok::<_, Infallible>(Response::new(EndlessBody { taken, dropped })) }
        });
        let mut builder = http1::Builder::new();
        if let Some(bytes) = max_buf_size {
            builder.max_buf_size(bytes);
        }
        let _ = builder
            .serve_connection(TokioIo::new(stream), service)
            .await;
    });
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4_096).unwrap();
    let mut caller = socket.connect(address).await.unwrap();
    caller
        .write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n")
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    serving.abort();
    let held = taken.load(Ordering::Relaxed) - dropped.load(Ordering::Relaxed);
    (held, dropped.load(Ordering::Relaxed))
}

/// Guards against a change of hyper or of the sockets' options by which a caller that doesn't
/// read holds more memory than the bound allows for its connection.
#[tokio::test]
async fn a_caller_that_does_not_read_holds_little() {
    let check = async {
        let usual = bytes_for_unread_answer(None, None).await;
        let bounded =
            bytes_for_unread_answer(Some(CONNECTION_BUFFER_BYTES), Some(UNSENT_BYTES)).await;
        println!("held by hyper and by the systems: usual {usual:?}, bounded {bounded:?}");
        assert!(
            bounded.0 <= CONNECTION_BUFFER_BYTES + CHUNK_BYTES,
            "{bounded:?}"
        );
        assert!(bounded.1 <= 4 * UNSENT_BYTES as usize, "{bounded:?}");
    };
    LocalSet::new().run_until(check).await;
}

struct DropNotice {
    bytes: Vec<u8>,
    is_dropped: Arc<AtomicBool>,
}

impl AsRef<[u8]> for DropNotice {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for DropNotice {
    fn drop(&mut self) {
        self.is_dropped.store(true, Ordering::Relaxed);
    }
}

/// Guards against a request body that stays in memory, uncounted, after its request to a
/// server that doesn't read has been given up.
#[tokio::test]
async fn a_body_is_dropped_with_its_request() {
    let check = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let pool = ConnectionPool::new(true);
        let connecting = pool.connect(address, "r1", Duration::ZERO, Timestamp::ZERO);
        let mut connection = connecting.await.unwrap();
        let (_server, _) = listener.accept().await.unwrap();
        let is_dropped = Arc::new(AtomicBool::new(false));
        let body = Bytes::from_owner(DropNotice {
            bytes: vec![b'x'; 4 << 20],
            is_dropped: is_dropped.clone(),
        });
        let request = Request::post("/").header("host", "x");
        let request = request.body(Full::new(body)).unwrap();
        let sending = connection.send(request);
        let sent = tokio::time::timeout(Duration::from_millis(300), sending).await;
        assert!(sent.is_err(), "the server doesn't read");
        assert!(!is_dropped.load(Ordering::Relaxed));
        drop(connection);
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert!(is_dropped.load(Ordering::Relaxed), "the body is still held");
    };
    LocalSet::new().run_until(check).await;
}
