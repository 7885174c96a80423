//! The store, by way of other daemons where it can't be reached directly.
//!
//! The store may turn single VMs away for many seconds while it serves all
//! others. A daemon that runs lots could then write no results, and one that
//! callers reach could accept no lots, though the next daemon can do both. So a
//! call that failed is handed to a daemon that says it reaches the store.

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

use super::ContactDesk;

/// The path at which daemons make calls for each other.
pub(crate) const RELAY_PATH: &str = "/store";
/// After a failed call the store is left alone for so long, and other daemons
/// are asked at once: a call to a silent store takes its whole timeout.
const DIRECT_PAUSE: Duration = Duration::from_millis(1_000);
/// How long another daemon may take. It has a timeout of its own for the store.
const RELAY_TIMEOUT: Duration = Duration::from_millis(1_800);
/// The longest answer of another daemon.
const ANSWER_LIMIT: usize = 16 << 20;

/// A call that one daemon makes for another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RelayCall {
    /// Reads a range.
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

/// Why a call that was made for another daemon brought no answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) enum RelayFailure {
    /// Nothing was done.
    Unreachable(String),
    /// It may have been done.
    AnswerLost(String),
    /// The store refused it.
    Rejected(String),
    /// The lease has lapsed.
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
    /// Daemons that say they reach the store.
    peers: Vec<SocketAddr>,
    direct_after: Option<Instant>,
}

/// What came of a call that was made directly, by way of another daemon, or both.
struct ReachedCall<T> {
    answer: Result<T, StoreError>,
    /// Why the direct way brought no answer, where the call may have been made on it.
    lost: Option<StoreError>,
}

impl<T> ReachedCall<T> {
    fn new(answer: Result<T, StoreError>) -> Self {
        ReachedCall { answer, lost: None }
    }
}

/// The store, by way of other daemons where it can't be reached directly.
#[derive(Clone, Debug)]
pub struct RelayedStore<S> {
    direct: S,
    contact: ContactDesk,
    client: HttpClient,
    state: Arc<Mutex<RelayState>>,
}

impl<S: PlatformStore> RelayedStore<S> {
    /// A store that is asked directly until other daemons are known.
    pub fn new(direct: S, contact: ContactDesk) -> Self {
        RelayedStore {
            direct,
            contact,
            client: HttpClient::new(RELAY_TIMEOUT / 4),
            state: Arc::default(),
        }
    }

    /// The store without a way round.
    pub fn direct(&self) -> &S {
        &self.direct
    }

    /// Whether the store answers this daemon itself.
    pub fn contact(&self) -> &ContactDesk {
        &self.contact
    }

    /// Sets the daemons that say they reach the store.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) {
        self.lock().peers = peers;
    }

    /// Notes that a call failed that was made without a way round.
    pub fn note_failed(&self) {
        self.lock().direct_after = Some(Instant::now() + DIRECT_PAUSE);
    }

    /// Notes that the store answered a call that was made without a way round.
    pub(super) fn note_reached(&self) {
        self.lock().direct_after = None;
    }

    /// Whether the store was reached, as far as the last call tells.
    pub fn is_direct(&self) -> bool {
        self.lock()
            .direct_after
            .is_none_or(|it| it <= Instant::now())
    }

    /// Makes a call for another daemon.
    pub async fn answer(&self, call: &[u8]) -> Response<Bytes> {
        let Ok(call) = postcard::from_bytes::<RelayCall>(call) else {
            let mut answer = Response::new(Bytes::new());
            *answer.status_mut() = StatusCode::BAD_REQUEST;
            return answer;
        };
        let written = match call {
            RelayCall::Range(range, limit) => {
                self.made(|it| async move { it.range(range, limit).await })
                    .await
            }
            RelayCall::Transact(batch) => {
                self.made(|it| async move { it.transact(batch).await })
                    .await
            }
            RelayCall::Grant(ttl) => self.made(|it| async move { it.grant(ttl).await }).await,
            RelayCall::Renew(lease) => self.made(|it| async move { it.renew(lease).await }).await,
            RelayCall::Revoke(lease) => self.made(|it| async move { it.revoke(lease).await }).await,
        };
        Response::new(written.into())
    }

    /// Makes a call, and writes down what came of it.
    async fn made<T, F>(&self, call: impl FnOnce(S) -> F) -> Vec<u8>
    where
        T: Serialize,
        F: Future<Output = Result<T, StoreError>>,
    {
        let result = match self.is_direct() {
            true => self.call_direct(call).await,
            false => Err(StoreError::Unreachable(
                "this daemon doesn't reach it".to_owned(),
            )),
        };
        let result = result.map_err(RelayFailure::from);
        // Own types without maps: they can always be written.
        postcard::to_stdvec(&result).unwrap_or_default()
    }

    /// Makes a call directly, and notes whether the store answers.
    async fn call_direct<T, F>(&self, call: impl FnOnce(S) -> F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let asked = self.contact.now();
        let answer = call(self.direct.clone()).await;
        self.contact.note_end(asked, &answer);
        answer
    }

    /// Makes a call directly, or by way of another daemon.
    async fn reach<T, F>(&self, relayed: RelayCall, call: impl FnOnce(S) -> F) -> ReachedCall<T>
    where
        T: DeserializeOwned,
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut failure = StoreError::Unreachable("the store was away a moment ago".to_owned());
        if self.is_direct() {
            match self.call_direct(call).await {
                Err(error @ (StoreError::Unreachable(_) | StoreError::AnswerLost(_))) => {
                    failure = error;
                    self.note_failed();
                }
                decided => return ReachedCall::new(decided),
            }
        }
        let peer = self.lock().peers.choose(&mut rand::rng()).copied();
        let Some(peer) = peer else {
            return ReachedCall::new(Err(failure));
        };
        match self.ask(peer, &relayed).await {
            // What was lost on the first way may have been done, whatever the
            // second way says.
            Err(StoreError::Unreachable(_)) => ReachedCall::new(Err(failure)),
            answer => ReachedCall {
                answer,
                lost: matches!(failure, StoreError::AnswerLost(_)).then_some(failure),
            },
        }
    }

    async fn ask<T: DeserializeOwned>(
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
            .exchange(request, RELAY_TIMEOUT, ANSWER_LIMIT)
            .await;
        let answer = answer.map_err(StoreError::from)?;
        let result: Result<T, RelayFailure> = postcard::from_bytes(answer.body())
            .map_err(|error| StoreError::AnswerLost(error.to_string()))?;
        result.map_err(StoreError::from)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, RelayState> {
        // Nothing under this lock can be left half done.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: PlatformStore> PlatformStore for RelayedStore<S> {
    type Watch = S::Watch;

    async fn range(&self, range: KeyRange, limit: usize) -> Result<RangeAnswer, StoreError> {
        let relayed = RelayCall::Range(range.clone(), limit);
        self.reach(relayed, |it| async move { it.range(range, limit).await })
            .await
            .answer
    }

    async fn transact(&self, batch: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        let relayed = RelayCall::Transact(batch.clone());
        let reached = self
            .reach(relayed, |it| async move { it.transact(batch).await })
            .await;
        match (reached.answer, reached.lost) {
            // It may be refused for what it has done itself on the first way. A writer
            // that took this for the last word would give up a write that is in force.
            (Ok(TransactionAnswer::Refused { .. }) | Err(StoreError::Rejected(_)), Some(lost)) => {
                Err(lost)
            }
            (answer, _) => answer,
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.reach(
            RelayCall::Grant(ttl),
            |it| async move { it.grant(ttl).await },
        )
        .await
        .answer
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.reach(RelayCall::Renew(lease), |it| async move {
            it.renew(lease).await
        })
        .await
        .answer
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.reach(RelayCall::Revoke(lease), |it| async move {
            it.revoke(lease).await
        })
        .await
        .answer
    }

    /// Watches aren't relayed: what they would bring comes from other daemons'
    /// views.
    async fn watch(&self, range: KeyRange, from: Revision) -> Result<Self::Watch, StoreError> {
        self.direct.watch(range, from).await
    }
}
