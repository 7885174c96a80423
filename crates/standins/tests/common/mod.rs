//! Helpers that start stand-ins on loopback and send them requests.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::{net::SocketAddr, time::Duration};

use comfreyramp_http::{
    Bytes, CallError, HttpClient, Incoming, MessageBody, Method, Request, Response, bind,
    collect_limited,
};
use comfreyramp_standins::request_log::{RequestLog, RequestRecord};
use http_body_util::BodyExt;
use serde_json::Value;
use tokio_util::sync::{CancellationToken, DropGuard};

/// The longest response body that a test reads, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// A stand-in's address and a client for it.
pub(crate) struct StandIn {
    pub(crate) address: SocketAddr,
    pub(crate) client: HttpClient,
    _stop: Option<DropGuard>,
}

impl StandIn {
    pub(crate) async fn start<F, R>(run: F) -> Self
    where
        F: FnOnce(tokio::net::TcpListener, CancellationToken) -> R,
        R: Future<Output = ()> + Send + 'static,
    {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let address = listener.local_addr().unwrap();
        let stop = CancellationToken::new();
        tokio::spawn(run(listener, stop.clone()));
        StandIn {
            address,
            client: HttpClient::default(),
            _stop: Some(stop.drop_guard()),
        }
    }

    /// Creates a client for a stand-in that runs in another process.
    pub(crate) fn at(address: SocketAddr) -> Self {
        StandIn {
            address,
            client: HttpClient::default(),
            _stop: None,
        }
    }

    /// Sends a request and returns an error if it gets no answer.
    pub(crate) async fn try_send(
        &self,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Response<Incoming>, CallError> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        self.client.send(request.body(body.into()).unwrap()).await
    }

    pub(crate) async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<MessageBody>,
    ) -> Response<Incoming> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let request = request.body(body.into()).unwrap();
        self.client.send(request).await.unwrap()
    }

    /// Sends a JSON request and returns the status and the JSON body of the answer.
    pub(crate) async fn call(&self, method: Method, path: &str, body: Value) -> (u16, Value) {
        let response = self.send(method, path, &[], body.to_string()).await;
        let status = response.status().as_u16();
        let bytes = collect_limited(response.into_body(), MAX_BODY_BYTES)
            .await
            .unwrap();
        (status, serde_json::from_slice(&bytes).unwrap())
    }
}

/// Returns the next frame of a body; panics if there is none.
pub(crate) async fn next_frame(body: &mut Incoming) -> Bytes {
    body.frame().await.unwrap().unwrap().into_data().unwrap()
}

/// Reads a body to its end. The flag is false if it was cut off.
pub(crate) async fn read_to_end(mut body: Incoming) -> (String, bool) {
    let mut text = String::new();
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => text.push_str(std::str::from_utf8(frame.data_ref().unwrap()).unwrap()),
            Err(_) => return (text, false),
        }
    }
    (text, true)
}

/// Waits until the last kept record satisfies a condition, and returns it; panics after
/// ten seconds.
pub(crate) async fn wait_for_record(
    log: &RequestLog,
    condition: impl Fn(&RequestRecord) -> bool,
) -> RequestRecord {
    for _ in 0..1000 {
        let records = log.list();
        if let Some(record) = records.last().filter(|it| condition(it)) {
            return record.clone();
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("no matching record within ten seconds");
}
