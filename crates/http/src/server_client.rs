//! A client that takes no answer for one to another request.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use http::{HeaderMap, HeaderValue, Request, Response, uri::Authority};
use hyper::body::Incoming;

use crate::{CallError, HttpClient, MessageBody, client::within};

/// The header that carries the id of a request, which servers may repeat in their answers.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// A client for servers that may answer a request twice, the second time late.
///
/// On a connection that is used again, a late answer arrives where the answer to the next
/// request is expected. So connections are used again only to servers that name the request in
/// their answers, and there only an answer that names the request is taken. An answer over a
/// connection that carried no other request is taken whatever its id, since many servers give
/// none or make one up.
#[derive(Clone, Debug)]
pub struct ServerClient {
    reusing: HttpClient,
    single_use: HttpClient,
    /// The servers whose last answer named its request, sorted.
    naming: Arc<Mutex<Vec<Authority>>>,
}

impl Default for ServerClient {
    fn default() -> Self {
        ServerClient {
            reusing: HttpClient::default(),
            single_use: HttpClient::without_reuse(),
            naming: Arc::default(),
        }
    }
}

impl ServerClient {
    /// Sends a request and waits for the status and headers of its answer.
    ///
    /// # Errors
    ///
    /// After [`CallError::OtherRequest`] and [`CallError::InvalidHead`], the request may have
    /// run.
    pub async fn send_within(
        &self,
        limit: Duration,
        request: Request<MessageBody>,
    ) -> Result<Response<Incoming>, CallError> {
        let id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let server = request.uri().authority().cloned();
        let (Some(id), Some(server)) = (id, server) else {
            return self.single_use.send_within(limit, request).await;
        };
        if !self.names_requests(&server) {
            let response = self.single_use.send_within(limit, request).await?;
            if is_named(response.headers(), &id) {
                self.set_names_requests(&server, true);
            }
            return Ok(response);
        }
        let check = |headers: &HeaderMap| match is_named(headers, &id) {
            true => Ok(()),
            false => Err(CallError::OtherRequest),
        };
        let answer = within(limit, self.reusing.send_checked(request, check)).await;
        if matches!(answer, Err(CallError::OtherRequest)) {
            self.set_names_requests(&server, false);
        }
        answer
    }

    fn names_requests(&self, server: &Authority) -> bool {
        let naming = self.naming();
        naming.binary_search_by(|it| order(it, server)).is_ok()
    }

    fn set_names_requests(&self, server: &Authority, names_requests: bool) {
        let mut naming = self.naming();
        match naming.binary_search_by(|it| order(it, server)) {
            Ok(at) if !names_requests => drop(naming.remove(at)),
            Err(at) if names_requests => naming.insert(at, server.clone()),
            _ => {}
        }
    }

    fn naming(&self) -> MutexGuard<'_, Vec<Authority>> {
        self.naming.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn order(one: &Authority, other: &Authority) -> std::cmp::Ordering {
    one.as_str().cmp(other.as_str())
}

fn is_named(headers: &HeaderMap, id: &HeaderValue) -> bool {
    headers.get(REQUEST_ID_HEADER) == Some(id)
}
