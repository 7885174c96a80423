//! Which idle connections to backend servers are reused.

#![allow(
    clippy::unwrap_used,
    reason = "a test fails where something is missing"
)]

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

const START: Timestamp = Timestamp::from_micros(1_000_000);

/// Starts a server that answers each request on every connection and keeps idle connections
/// for 5 s.
async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::task::spawn_local(async move {
                let mut request = [0; 1_024];
                while stream.read(&mut request).await.is_ok_and(|it| it > 0) {
                    let response = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
                    stream.write_all(response).await.unwrap();
                }
            });
        }
    });
    address
}

/// Sends a request over a connection that hasn't been idle for longer than `max_idle`,
/// and returns whether the connection was reused.
async fn send_request(
    pool: &ConnectionPool,
    address: SocketAddr,
    max_idle: Duration,
    now: Timestamp,
) -> bool {
    let request_id = format!("request-{}", now.as_micros());
    let connecting = pool.connect(address, &request_id, max_idle, now);
    let mut connection = connecting.await.unwrap();
    let request = Request::get("/").header("host", "fleet.example");
    let request = request.body(Full::new(Bytes::new())).unwrap();
    let response = connection.send(request).await.unwrap();
    response.into_body().collect().await.unwrap();
    // The connection becomes reusable a moment after its response was read.
    tokio::time::sleep(Duration::from_millis(20)).await;
    let is_reused = connection.is_reused();
    pool.put_back(connection, Some(Duration::from_secs(5)), now);
    is_reused
}

/// A zone is cut off while connections to its servers are idle. An item sent over one of
/// them stalls until the cut is noticed, and may reach its server when the network
/// recovers, seconds after the customer ended its lot. An item must therefore open a new
/// connection unless an idle one was in use a moment ago.
#[tokio::test]
async fn an_item_is_not_sent_over_a_connection_that_was_idle_for_long() {
    let local = LocalSet::new();
    let test = async {
        let address = start_server().await;
        let pool = ConnectionPool::default();
        let max_idle = Duration::from_secs(1);
        let at = |millis: u64| START + Duration::from_millis(millis);
        assert!(!send_request(&pool, address, max_idle, at(0)).await);
        assert!(send_request(&pool, address, max_idle, at(900)).await);
        assert!(!send_request(&pool, address, max_idle, at(2_500)).await);
        // A live request may reuse any connection that the server still keeps open.
        assert!(send_request(&pool, address, Duration::from_secs(60), at(4_500)).await);
    };
    local.run_until(test).await;
}
