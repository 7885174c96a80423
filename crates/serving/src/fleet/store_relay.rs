//! Access to the store, relayed through other daemons where it can't be reached directly.
//!
//! The store may reject single VMs for many seconds while it serves all others. A daemon
//! that runs lots could then write no results, and an entry daemon could accept no lots,
//! though other daemons can do both. So a failed call is relayed through a daemon that
//! reports that it reaches the store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use comfreyramp_http::{HttpClient, MessageBody};
use comfreyramp_store::{
    KeyRange, LeaseId, PlatformStore, RangeAnswer, Revision, StoreError, TransactionAnswer,
    WriteBatch,
};
use http::{Request, Response, StatusCode};
use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use super::StoreMonitor;

/// The path at which daemons relay store calls for each other.
pub(crate) const RELAY_PATH: &str = "/store";
/// How long after a failed call no direct call is made, and calls are relayed at once: a
/// call to a silent store takes its whole timeout.
const DIRECT_BACKOFF: Duration = Duration::from_millis(1_000);
/// Timeout of a relayed call. The other daemon has a timeout of its own for the store.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Maximum size in bytes of another daemon's answer.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// A store call that one daemon makes for another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RelayCall {
    /// Reads a range of keys; the number limits the pairs, 0 stands for all.
    Range(KeyRange, usize),
    /// Runs a transaction.
    Transact(WriteBatch),
    /// Grants a lease.
    Grant(Duration),
    /// Renews a lease.
    Renew(LeaseId),
    /// Ends a lease.
    Revoke(LeaseId),
}

/// Why a relayed call failed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RelayFailure {
    /// The store was not reached, and nothing was done.
    Unreachable(String),
    /// The answer was lost, and the call may have taken effect.
    AnswerLost(String),
    /// The store rejected the call.
    Rejected(String),
    /// The lease has expired.
    LeaseLapsed,
}

impl From<StoreError> for RelayFailure {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::Unreachable(text) => RelayFailure::Unreachable(text),
            StoreError::AnswerLost(text) => RelayFailure::AnswerLost(text),
            StoreError::LeaseLapsed => RelayFailure::LeaseLapsed,
            StoreError::Rejected(_) | StoreError::Compacted(_) => {
                RelayFailure::Rejected(error.to_string())
            }
        }
    }
}

impl From<RelayFailure> for StoreError {
    fn from(failure: RelayFailure) -> Self {
        match failure {
            RelayFailure::Unreachable(text) => StoreError::Unreachable(text),
            RelayFailure::AnswerLost(text) => StoreError::AnswerLost(text),
            RelayFailure::Rejected(text) => StoreError::Rejected(text),
            RelayFailure::LeaseLapsed => StoreError::LeaseLapsed,
        }
    }
}

#[derive(Debug, Default)]
struct RelayState {
    /// Addresses of the daemons that report that they reach the store.
    peers: Vec<SocketAddr>,
    retry_direct_at: Option<Instant>,
}

/// The outcome of a call that was made directly, relayed, or both.
struct CallOutcome<T> {
    answer: Result<T, StoreError>,
    /// The error of the direct call, if it was lost after it may have taken effect.
    lost_direct: Option<StoreError>,
}

impl<T> CallOutcome<T> {
    fn new(answer: Result<T, StoreError>) -> Self {
        CallOutcome {
            answer,
            lost_direct: None,
        }
    }
}

/// The store, with calls relayed through other daemons where it can't be reached directly.
#[derive(Clone, Debug)]
pub struct RelayedStore<S> {
    direct: S,
    contact: StoreMonitor,
    client: HttpClient,
    state: Arc<Mutex<RelayState>>,
}

impl<S: PlatformStore> RelayedStore<S> {
    /// Wraps the store `direct`. All calls are made directly until other daemons are known.
    pub fn new(direct: S, contact: StoreMonitor) -> Self {
        RelayedStore {
            direct,
            contact,
            client: HttpClient::new(RELAY_TIMEOUT / 4),
            state: Arc::default(),
        }
    }

    /// Returns the store for direct calls, which are never relayed.
    pub fn direct(&self) -> &S {
        &self.direct
    }

    /// Returns the monitor of whether the store answers this daemon directly.
    pub fn contact(&self) -> &StoreMonitor {
        &self.contact
    }

    /// Sets the addresses of the daemons that report that they reach the store.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.lock().peers = peers;
    }

    /// Records that a direct call failed, so that calls are relayed for a while.
    pub fn note_failed(&self) {
        self.lock().retry_direct_at = Some(Instant::now() + DIRECT_BACKOFF);
    }

    /// Records that the store answered a direct call.
    pub(super) fn note_reached(&self) {
        self.lock().retry_direct_at = None;
    }

    /// Returns whether the next call is made directly: the last direct call was answered, or
    /// its failure is long enough ago.
    pub fn is_directly_reachable(&self) -> bool {
        self.lock()
            .retry_direct_at
            .is_none_or(|it| it <= Instant::now())
    }

    /// Makes an encoded call for another daemon and returns its encoded result. A call that
    /// can't be decoded gets a 400 response.
    pub async fn serve_call(&self, call: &[u8]) -> Response<Bytes> {
        let Ok(call) = postcard::from_bytes::<RelayCall>(call) else {
            let mut answer = Response::new(Bytes::new());
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            return answer;
        };
        let encoded = match call {
            RelayCall::Range(range, limit) => {
                self.exec(|it| async move { it.range(range, limit).await })
                    .await
            }
            RelayCall::Transact(batch) => {
                self.exec(|it| async move { it.transact(batch).await })
                    .await
            }
            RelayCall::Grant(ttl) => self.exec(|it| async move { it.grant(ttl).await }).await,
            RelayCall::Renew(lease) => self.exec(|it| async move { it.renew(lease).await }).await,
            RelayCall::Revoke(lease) => self.exec(|it| async move { it.revoke(lease).await }).await,
        };
        Response::new(encoded.into())
    }

    /// Makes a call directly if the store is reachable, and returns the encoded result.
    async fn exec<T, F>(&self, call: impl FnOnce(S) -> F) -> Vec<u8>
    where
        T: Serialize,
        F: Future<Output = Result<T, StoreError>>,
    {
        let result = match self.is_directly_reachable() {
            true => self.call_direct(call).await,
            false => Err(StoreError::Unreachable(
                "this daemon does not reach the store either".to_owned(),
            )),
        };
        let result = result.map_err(RelayFailure::from);
        // Encoding can't fail: these are own types without maps.
        postcard::to_stdvec(&result).unwrap_or_default()
    }

    /// Makes a call directly, and records whether the store answers.
    async fn call_direct<T, F>(&self, call: impl FnOnce(S) -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let sent_at = self.contact.now();
        let answer = call(self.direct.clone()).await;
        self.contact.note_end(sent_at, &answer);
        answer
    }

    /// Makes a call directly, and relays it through another daemon if that fails or was
    /// found to fail a moment ago.
    async fn call_or_relay<T, F>(
        &self,
        relayed: RelayCall,
        call: impl FnOnce(S) -> F,
    ) -> CallOutcome<T>
    where
        T: DeserializeOwned,
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut failure =
            StoreError::Unreachable("the store did not answer a moment ago".to_owned());
        if self.is_directly_reachable() {
            match self.call_direct(call).await {
                Err(error @ (StoreError::Unreachable(_) | StoreError::AnswerLost(_))) => {
                    failure = error;
                    self.note_failed();
                }
                answered => return CallOutcome::new(answered),
            }
        }
        let peer = self.lock().peers.choose(&mut rand::rng()).copied();
        let Some(peer) = peer else {
            return CallOutcome::new(Err(failure));
        };
        match self.request_relay(peer, &relayed).await {
            // A direct call whose answer was lost may have taken effect, so its own error is
            // returned and not that of the relay.
            Err(StoreError::Unreachable(_)) => CallOutcome::new(Err(failure)),
            answer => CallOutcome {
                answer,
                lost_direct: matches!(failure, StoreError::AnswerLost(_)).then_some(failure),
            },
        }
    }

    async fn request_relay<T: DeserializeOwned>(
        &self,
        peer: SocketAddr,
        call: &RelayCall,
    ) -> Result<T, StoreError> {
        let body = postcard::to_stdvec(call).unwrap_or_default();
        let request = Request::post(format!("http://{peer}{RELAY_PATH}"))
            .body(MessageBody::from(body))
            .map_err(|error| StoreError::Unreachable(error.to_string()))?;
        let answer = self
            .client
            .exchange(request, RELAY_TIMEOUT, MAX_ANSWER_BYTES)
            .await;
        let answer = answer.map_err(StoreError::from)?;
        if answer.status() != StatusCode::OK {
            let text = format!(
                "a daemon doesn't relay the call: status {}",
                answer.status()
            );
            return Err(StoreError::Unreachable(text));
        }
        let result: Result<T, RelayFailure> = postcard::from_bytes(answer.body())
            .map_err(|error| StoreError::AnswerLost(error.to_string()))?;
        result.map_err(StoreError::from)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RelayState> {
        // No update under this lock can be interrupted halfway, so that a poisoned state
        // is still consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: PlatformStore> PlatformStore for RelayedStore<S> {
    type Watch = S::Watch;

    async fn range(&self, range: KeyRange, limit: usize) -> Result<RangeAnswer, StoreError> {
        let relayed = RelayCall::Range(range.clone(), limit);
        self.call_or_relay(relayed, |it| async move { it.range(range, limit).await })
            .await
            .answer
    }

    async fn transact(&self, batch: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        let relayed = RelayCall::Transact(batch.clone());
        let outcome = self
            .call_or_relay(relayed, |it| async move { it.transact(batch).await })
            .await;
        match (outcome.answer, outcome.lost_direct) {
            // The relayed call may be refused because the direct one has taken effect.
            // A writer that took this as final would give up a write that is in force.
            (Ok(TransactionAnswer::Refused { .. }) | Err(StoreError::Rejected(_)), Some(lost)) => {
                Err(lost)
            }
            (answer, _) => answer,
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.call_or_relay(
            RelayCall::Grant(ttl),
            |it| async move { it.grant(ttl).await },
        )
        .await
        .answer
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.call_or_relay(RelayCall::Renew(lease), |it| async move {
            it.renew(lease).await
        })
        .await
        .answer
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.call_or_relay(RelayCall::Revoke(lease), |it| async move {
            it.revoke(lease).await
        })
        .await
        .answer
    }

    /// Watches aren't relayed: other daemons' views have what they would deliver.
    async fn watch(&self, range: KeyRange, from: Revision) -> Result<Self::Watch, StoreError> {
        self.direct.watch(range, from).await
    }
}
