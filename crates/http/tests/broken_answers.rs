//! The end of answers to callers that know no chunks.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

use std::{
    io::{ErrorKind, Result},
    net::SocketAddr,
};

use comfreyramp_http::{Incoming, MessageBody, Request, Response, ServeLimits, bind, serve};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};
use tokio_util::sync::{CancellationToken, DropGuard};

/// Starts a server that streams `part` and then breaks off, except under `/whole`.
async fn start_server() -> (SocketAddr, DropGuard) {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let handler = |request: Request<Incoming>| async move {
        let (sender, body) = MessageBody::stream();
        tokio::spawn(async move {
            sender.send("part").await;
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
            if request.uri().path() != "/whole" {
                sender.abort("the source broke off").await;
            }
        });
        Response::new(body)
    };
    let serving = serve(listener, ServeLimits::default(), stop.clone(), handler);
    tokio::spawn(serving);
    (address, stop.drop_guard())
}

/// Returns the bytes of an answer and how its connection ended.
async fn ask(address: SocketAddr, path: &str, version: &str) -> (String, Result<usize>) {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let request = format!("GET {path} {version}\r\nhost: a\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    let end = stream.read_to_end(&mut answer).await;
    (String::from_utf8_lossy(&answer).into_owned(), end)
}

/// Without chunks, an ordinary close would make a broken answer look complete.
#[tokio::test]
async fn a_broken_answer_without_chunks_ends_with_a_reset() {
    let (address, _stop) = start_server().await;
    let (answer, end) = ask(address, "/broken", "HTTP/1.0").await;
    assert!(answer.ends_with("\r\n\r\npart"), "{answer}");
    assert_eq!(end.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn a_whole_answer_without_chunks_ends_with_an_ordinary_close() {
    let (address, _stop) = start_server().await;
    let (answer, end) = ask(address, "/whole", "HTTP/1.0").await;
    assert!(answer.ends_with("\r\n\r\npart"), "{answer}");
    end.unwrap();
}

/// A broken answer in chunks lacks the last one. Its connection isn't reset, so that the
/// caller gets all bytes that were sent before.
#[tokio::test]
async fn a_broken_answer_in_chunks_lacks_its_last_chunk() {
    let (address, _stop) = start_server().await;
    let (broken, end) = ask(address, "/broken", "HTTP/1.1").await;
    assert!(broken.ends_with("4\r\npart\r\n"), "{broken}");
    end.unwrap();
    let (whole, end) = ask(address, "/whole", "HTTP/1.1").await;
    assert!(whole.ends_with("4\r\npart\r\n0\r\n\r\n"), "{whole}");
    end.unwrap();
}
