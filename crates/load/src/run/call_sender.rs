//! Sending calls to the daemons of a fleet.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use comfreyramp_http::{
    Bytes, CallError, HttpClient, Incoming, MessageBody, Method, Request, Response, header,
};

use super::targets::RunTargets;

/// The timeout of a request to an engine stand-in itself.
const ENGINE_TIMEOUT: Duration = Duration::from_secs(10);

/// A call before it is sent.
#[derive(Clone, Debug)]
pub(crate) struct OutgoingCall {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Bytes,
}

impl OutgoingCall {
    pub(crate) fn new(method: Method, path: impl Into<String>) -> Self {
        OutgoingCall {
            method,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    pub(crate) fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    pub(crate) fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

/// Sends calls to the daemons in round-robin order, as a load balancer does.
#[derive(Debug)]
pub(crate) struct CallSender {
    client: HttpClient,
    targets: RunTargets,
    next: AtomicUsize,
}

impl CallSender {
    pub(crate) fn new(targets: RunTargets) -> Self {
        CallSender {
            client: HttpClient::new(Duration::from_millis(500)),
            targets,
            next: AtomicUsize::new(0),
        }
    }

    pub(crate) fn targets(&self) -> &RunTargets {
        &self.targets
    }

    /// Sends a call with the customer's key. A call that was certainly not sent is
    /// retried on the next daemon, since a load balancer skips dead daemons.
    pub(crate) async fn send(
        &self,
        customer: u32,
        call: &OutgoingCall,
    ) -> Result<Response<Incoming>, CallError> {
        let daemons = &self.targets.callers;
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let mut last_error = CallError::NotSent("no daemon is configured".to_owned());
        for offset in 0..daemons.len() {
            let daemon = &daemons[(first + offset) % daemons.len()];
            match self.send_to(daemon, customer, call).await {
                Err(error) if error.is_not_sent() => last_error = error,
                answer => return answer,
            }
        }
        Err(last_error)
    }

    async fn send_to(
        &self,
        daemon: &str,
        customer: u32,
        call: &OutgoingCall,
    ) -> Result<Response<Incoming>, CallError> {
        let uri = format!("{}{}", daemon.trim_end_matches('/'), call.path);
        let mut request = Request::builder().method(call.method.clone()).uri(uri);
        if let Some(key) = self.targets.key(customer) {
            request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        let request = request.body(MessageBody::from(call.body.clone()));
        let request = request.map_err(|it| CallError::NotSent(it.to_string()))?;
        self.client.send(request).await
    }

    /// Sends a request to an engine stand-in directly, bypassing the daemons.
    pub(crate) async fn call_engine(
        &self,
        engine: &str,
        method: Method,
        path: &str,
        body: String,
    ) -> Result<Response<Incoming>, String> {
        let uri = format!("{}{path}", engine.trim_end_matches('/'));
        let request = Request::builder().method(method).uri(uri);
        let request = request.body(MessageBody::from(body));
        let request = request.map_err(|it| it.to_string())?;
        let answer = self.client.send_within(ENGINE_TIMEOUT, request).await;
        let answer = answer.map_err(|it| it.to_string())?;
        match answer.status().is_success() {
            true => Ok(answer),
            false => Err(format!("the engine answered {}", answer.status())),
        }
    }
}
