//! Which connections to servers are used again.

#![allow(clippy::unwrap_used, reason = "a test ends where something is missing")]

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use comfreyramp_policy::Timestamp;
use comfreyramp_serving::path::ConnectionPool;
use http::Request;
use http_body_util::{BodyExt, Full};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    task::LocalSet,
};

const BEGIN: Timestamp = Timestamp::from_micros(1_000_000);

/// A server that answers each request on any connection, and keeps them for 5 s.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::task::spawn_local(async move {
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|it| it > 0) {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(answer).await.unwrap();
                }
            });
        }
    });
    address
}

/// Makes a call over a connection that hasn't been idle for longer than
/// `longest_idle`, and returns whether it had carried another one.
async fn call(
    pool: &ConnectionPool,
    address: SocketAddr,
    longest_idle: Duration,
    now: Timestamp,
) -> bool {
    let mut connection = pool.connect(address, longest_idle, now).await.unwrap();
    let request = Request::get("/").header("host", "fleet.example");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let answer = connection.send(request).await.unwrap();
    answer.into_body().collect().await.unwrap();
    // The connection is ready again a moment after its answer was read.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let is_reused = connection.is_reused();
    pool.put_back(connection, Some(Duration::from_secs(5)), now);
    is_reused
}

/// A zone is cut off while connections to its servers are idle. An item that is sent
/// over one of them is held up for as long as nobody notices, and may reach its server
/// when the cut heals, seconds after the customer ended its lot. So an item opens a
/// new connection where the idle ones weren't in use a moment ago.
#[tokio::test]
async fn an_item_is_not_sent_over_a_connection_that_was_idle_for_long() {
    let local = LocalSet::new();
    let test = async {
        let address = start_server().await;
        let pool = ConnectionPool::default();
        let longest_idle = Duration::from_secs(1);
        let at = |millis: u64| BEGIN + Duration::from_millis(millis);
        assert!(!call(&pool, address, longest_idle, at(0)).await);
        assert!(call(&pool, address, longest_idle, at(900)).await);
        assert!(!call(&pool, address, longest_idle, at(2_500)).await);
        // A live request may use what the server still keeps.
        assert!(call(&pool, address, Duration::from_secs(60), at(4_500)).await);
    };
    local.run_until(test).await;
}
