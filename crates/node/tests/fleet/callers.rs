//! Requests of callers to a fleet's daemons.

use std::{
    net::SocketAddr,
    pin::Pin,
    time::{Duration, Instant},
};

use comfreyramp_http::{
    Body as _, Bytes, HttpClient, Incoming, MessageBody, Method, Request, Response, StatusCode,
};
use serde_json::{Value, json};

use super::{Fleet, HOST, KEY, MAX_RESPONSE_BYTES, REQUEST_TIMEOUT, WAIT_TIMEOUT};

/// Sends requests to a fleet's daemons, also while the fleet itself is borrowed mutably.
#[derive(Clone)]
pub(crate) struct Callers {
    /// The address of each daemon that serves callers.
    addresses: Vec<Option<SocketAddr>>,
    client: HttpClient,
}

/// A request of a caller.
pub(crate) struct CallerRequest<'a> {
    pub(crate) method: Method,
    pub(crate) path: &'a str,
    pub(crate) id: &'a str,
    pub(crate) key: &'a str,
    /// How long the daemon may hold a read of a lot open until results arrive.
    pub(crate) wait_ms: u64,
    pub(crate) body: &'a [u8],
    /// More headers, as pairs of name and value.
    pub(crate) headers: Vec<(&'static str, String)>,
}

impl<'a> CallerRequest<'a> {
    pub(crate) fn post(path: &'a str, id: &'a str, body: &'a [u8]) -> Self {
        CallerRequest {
            method: Method::POST,
            path,
            id,
            key: KEY,
            wait_ms: 300,
            body,
            headers: Vec::new(),
        }
    }

    pub(crate) fn get(path: &'a str) -> Self {
        CallerRequest {
            method: Method::GET,
            path,
            id: "read",
            key: KEY,
            wait_ms: 300,
            body: b"",
            headers: Vec::new(),
        }
    }

    pub(crate) fn key(mut self, key: &'a str) -> Self {
        self.key = key;
        self
    }

    /// Adds a header.
    pub(crate) fn header(mut self, name: &'static str, value: &str) -> Self {
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Takes up the stream that the request `first` began, after an event.
    pub(crate) fn takes_up(self, first: &str, last_event: u64) -> Self {
        self.header("resumes", first)
            .header("last-event-id", &last_event.to_string())
    }
}

impl Fleet {
    /// Returns a sender of requests to the daemons that have been added so far.
    pub(crate) fn callers(&self) -> Callers {
        Callers {
            addresses: self.daemons.iter().map(|it| it.caller_address).collect(),
            client: self.client.clone(),
        }
    }

    /// Sends a request to a daemon and reads the complete response. Returns an error if the
    /// connection breaks before its end.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        call: CallerRequest<'_>,
    ) -> Result<Response<Bytes>, String> {
        self.callers().send(daemon, call).await
    }

    /// Submits a lot, and returns the status of the response.
    pub(crate) async fn submit_lot(
        &self,
        daemon: usize,
        lot: &str,
        bodies: &[&str],
    ) -> Result<StatusCode, String> {
        self.callers().submit_lot(daemon, lot, bodies).await
    }

    /// Reads a lot's results from a position on; nothing unless the status is 200.
    pub(crate) async fn read_lot(&self, daemon: usize, lot: &str, after: usize) -> Option<Value> {
        let path = format!("/-/lots/{lot}?after={after}");
        let response = self.send(daemon, CallerRequest::get(&path)).await.ok()?;
        (response.status() == StatusCode::OK)
            .then(|| serde_json::from_slice(response.body()).unwrap())
    }

    /// Reads a lot until it has all its results.
    pub(crate) async fn read_finished_lot(&self, daemon: usize, lot: &str) -> Value {
        let until = Instant::now() + WAIT_TIMEOUT;
        loop {
            let page = self.read_lot(daemon, lot, 0).await;
            if let Some(page) = page.filter(|it| it["next"] == it["total"]) {
                return page;
            }
            assert!(Instant::now() < until, "the lot isn't finished");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
}

impl Callers {
    /// Returns a sender that opens new connections.
    pub(crate) fn with_new_connections(mut self) -> Callers {
        self.client = HttpClient::default();
        self
    }

    /// Sends a request to a daemon and reads the complete response. Returns an error if the
    /// connection breaks before its end.
    pub(crate) async fn send(
        &self,
        daemon: usize,
        call: CallerRequest<'_>,
    ) -> Result<Response<Bytes>, String> {
        let request = self.request(daemon, call);
        let response = self
            .client
            .exchange(request, REQUEST_TIMEOUT, MAX_RESPONSE_BYTES)
            .await;
        response.map_err(|error| error.to_string())
    }

    /// Sends a request to a daemon and returns the response with its body unread.
    pub(crate) async fn open(
        &self,
        daemon: usize,
        call: CallerRequest<'_>,
    ) -> Result<Response<Incoming>, String> {
        let request = self.request(daemon, call);
        let response = self.client.send_within(REQUEST_TIMEOUT, request).await;
        response.map_err(|error| error.to_string())
    }

    fn request(&self, daemon: usize, call: CallerRequest<'_>) -> Request<MessageBody> {
        let address = self.addresses[daemon].unwrap();
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path))
            .header("host", HOST)
            .header("x-request-id", call.id.as_bytes())
            .header("x-deadline-ms", "5000")
            .header("x-wait-ms", call.wait_ms)
            .header("api-key", call.key);
        for (name, value) in call.headers {
            if let Some(headers) = request.headers_mut() {
                headers.insert(name, value.parse().unwrap());
            }
        }
        request.body(MessageBody::from(call.body.to_vec())).unwrap()
    }

    /// Submits a lot, and returns the status of the response.
    pub(crate) async fn submit_lot(
        &self,
        daemon: usize,
        lot: &str,
        bodies: &[&str],
    ) -> Result<StatusCode, String> {
        let items: Vec<Value> = bodies
            .iter()
            .enumerate()
            .map(|(number, body)| item(lot, number, body))
            .collect();
        let body = json!({"items": items}).to_string();
        let path = format!("/lots/{lot}");
        let response = self
            .send(daemon, CallerRequest::post(&path, lot, body.as_bytes()))
            .await?;
        Ok(response.status())
    }
}

/// Returns the next bytes of a response's body; nothing once it has ended or broken off.
pub(crate) async fn next_bytes(body: &mut Incoming) -> Option<Bytes> {
    loop {
        let frame = std::future::poll_fn(|it| Pin::new(&mut *body).poll_frame(it)).await;
        if let Ok(data) = frame?.ok()?.into_data() {
            return Some(data);
        }
    }
}

/// Returns an item of a lot as it is submitted.
pub(crate) fn item(lot: &str, number: usize, body: &str) -> Value {
    use base64::Engine as _;
    let body = base64::engine::general_purpose::STANDARD.encode(body);
    json!({
        "id": format!("{lot}-{number}"), "path": format!("/lots/{lot}/{number}"),
        "headers": {"X-Model": "m"}, "body": body, "tokens": 10,
    })
}
