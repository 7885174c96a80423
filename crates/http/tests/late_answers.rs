//! Late answers to earlier calls on connections that the client could use again.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

use std::{net::SocketAddr, time::Duration};

use comfreyramp_http::{CallError, HttpClient, MessageBody, Request, bind};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// How long a call waits that is answered late.
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
/// How much later than its call's timeout a late answer is sent.
const LATENESS: Duration = Duration::from_millis(100);
/// How long a call waits that is answered.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_ANSWER_BYTES: usize = 1_000;
const ROUNDS: usize = 50;

/// What a server sends for a request, in parts that each follow a pause.
type AnswerParts = Vec<(Duration, String)>;

/// Starts a server that answers each request for a path with the parts that `script`
/// returns for it. A part may be sent while the next request is being received.
async fn start_server(script: impl Fn(&str) -> AnswerParts + Clone + Send + 'static) -> SocketAddr {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer_all(stream, script.clone()));
        }
    });
    address
}

async fn answer_all(mut stream: TcpStream, script: impl Fn(&str) -> AnswerParts) {
    let mut received = Vec::new();
    loop {
        let mut buffer = [0; 4096];
        let Ok(length @ 1..) = stream.read(&mut buffer).await else {
            return;
        };
        received.extend_from_slice(&buffer[..length]);
        while let Some(end) = received.windows(4).position(|it| it == b"\r\n\r\n") {
            let head: Vec<u8> = received.drain(..end + 4).collect();
            let head = String::from_utf8_lossy(&head).into_owned();
            let path = head.split(' ').nth(1).unwrap_or_default();
            for (pause, part) in script(path) {
                tokio::time::sleep(pause).await;
                if stream.write_all(part.as_bytes()).await.is_err() {
                    return;
                }
            }
        }
    }
}

/// Returns a whole answer whose body is the path.
fn echo(path: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{path}",
        path.len()
    )
}

async fn call(
    client: &HttpClient,
    server: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Result<String, CallError> {
    let request = Request::get(format!("http://{server}{path}"));
    let request = request.body(MessageBody::empty()).unwrap();
    let answer = client.exchange(request, timeout, MAX_ANSWER_BYTES).await?;
    Ok(String::from_utf8_lossy(answer.body()).into_owned())
}

/// Makes calls that time out or have a second answer, each followed by one that must get the
/// answer to its own path.
async fn assert_own_answers(late_timeout: Duration, script: fn(&str) -> AnswerParts) {
    let server = start_server(script).await;
    let client = HttpClient::default();
    let mut answered = 0;
    for round in 0..ROUNDS {
        let _ = call(&client, server, &format!("/late/{round}"), late_timeout).await;
        let path = format!("/next/{round}");
        let answer = call(&client, server, &path, CALL_TIMEOUT).await;
        // The connection may break under the second call, which then has no answer.
        if let Ok(answer) = answer {
            assert_eq!(answer, path);
            answered += 1;
        }
    }
    assert!(answered > 0, "no call was answered");
}

/// The late answer to a call that timed out must not be taken for the answer to the next.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_to_a_call_that_timed_out_is_not_taken() {
    assert_own_answers(SHORT_TIMEOUT, |path| match path.starts_with("/late") {
        true => vec![(SHORT_TIMEOUT + LATENESS, echo(path))],
        false => vec![(LATENESS * 2, echo(path))],
    })
    .await;
}

/// The late rest of an answer whose call timed out inside its body must not be taken for the
/// answer to the next call.
#[tokio::test(flavor = "multi_thread")]
async fn the_late_rest_of_an_answer_is_not_taken() {
    assert_own_answers(SHORT_TIMEOUT, |path| match path.starts_with("/late") {
        true => vec![
            (
                Duration::ZERO,
                "HTTP/1.1 200 OK\r\ncontent-length: 60\r\n\r\n".to_owned(),
            ),
            (SHORT_TIMEOUT + LATENESS, echo(&format!("{path:0>60}"))),
        ],
        false => vec![(LATENESS * 2, echo(path))],
    })
    .await;
}

/// A second answer that directly follows the first must not be taken for the answer to the
/// next call.
#[tokio::test(flavor = "multi_thread")]
async fn a_second_answer_at_once_is_not_taken() {
    assert_own_answers(CALL_TIMEOUT, |path| match path.starts_with("/late") {
        true => vec![(Duration::ZERO, echo(path) + &echo(path))],
        false => vec![(Duration::ZERO, echo(path))],
    })
    .await;
}
