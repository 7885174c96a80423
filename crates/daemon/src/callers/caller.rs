//! Authenticates callers: the key, its customer, and the request's id.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{ErrorAnswer, HeaderMap, StatusCode, header};
use comfreyramp_policy::{CustomerId, Timestamp};
use comfreyramp_settings::CutOffPolicy;

use crate::{
    shared::SharedState,
    snapshot::{CustomerEntry, KeyEntry, SettingsSnapshot},
    traces::RequestTrace,
};

/// The header that carries the request's id.
pub(super) const REQUEST_ID_HEADER: &str = "x-request-id";

/// `retry_after` for a caller without a valid key. A key that was issued a
/// moment ago is valid at this daemon by then.
const KEY_RETRY: Duration = Duration::from_secs(5);

/// A caller with a valid key, and its request.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The key as the caller sent it. It never leaves the daemon; it is stored
    /// while the request runs to check that nothing forwarded contains it.
    pub key: String,
    /// The key's entry, by which a withdrawal is noticed while the request
    /// runs.
    pub entry: KeyEntry,
    /// The customer to which the key belongs.
    pub customer: CustomerEntry,
    /// The request's id.
    pub request_id: String,
    /// The steps of the request so far, recorded for operators.
    pub trace: RequestTrace,
    /// When the request arrived.
    pub arrived: Timestamp,
}

impl Caller {
    /// Authenticates a caller by the key in its `Authorization` header.
    pub fn authenticate(
        state: &SharedState,
        headers: &HeaderMap,
        trace: RequestTrace,
        now: Timestamp,
    ) -> Result<Caller, ErrorAnswer> {
        let snapshot = state.snapshot();
        if snapshot.revision == 0 {
            return Err(not_ready());
        }
        let key = bearer_key(headers)?;
        let Some(entry) = snapshot.customer_of_key(key) else {
            return Err(unknown_key());
        };
        let Some(customer) = snapshot.customer(entry.customer) else {
            return Err(unknown_key());
        };
        if are_settings_too_old(state, customer.when_cut, now) {
            return Err(settings_too_old());
        }
        let key = key.to_owned();
        let customer = customer.clone();
        trace.add_recognised(&customer.name, now);
        Ok(Caller {
            key,
            entry,
            customer,
            request_id: trace.id().to_owned(),
            trace,
            arrived: now,
        })
    }

    /// The customer's id.
    pub fn customer_id(&self) -> CustomerId {
        self.customer.id
    }

    /// Whether the caller's key has not been withdrawn.
    pub fn is_still_valid(&self, snapshot: &SettingsSnapshot) -> bool {
        snapshot.is_key_valid(self.entry)
    }

    /// Whether these bytes contain the key.
    pub fn contains_key(&self, bytes: &[u8]) -> bool {
        let key = self.key.as_bytes();
        bytes.len() >= key.len() && bytes.windows(key.len()).any(|it| it == key)
    }
}

/// Waits until the caller's key is withdrawn.
///
/// A key can be withdrawn while an answer is streamed. If keys were checked
/// only at the start, such a stream would run on for minutes.
pub(super) async fn key_withdrawn(state: &Arc<SharedState>, caller: &Caller) {
    let mut snapshots = state.snapshots.clone();
    loop {
        if !caller.is_still_valid(&snapshots.borrow_and_update()) {
            return;
        }
        if snapshots.changed().await.is_err() {
            // The sender is dropped only when the daemon stops.
            return std::future::pending().await;
        }
    }
}

/// Returns the error for a request whose key was withdrawn while it ran.
pub(super) fn withdrawn_answer() -> ErrorAnswer {
    let text = "This key has been withdrawn. Ask your operator for a new one.";
    ErrorAnswer::new(StatusCode::UNAUTHORIZED, "key_withdrawn", text).retry_after(KEY_RETRY)
}

fn bearer_key(headers: &HeaderMap) -> Result<&str, ErrorAnswer> {
    let Some(value) = headers.get(header::AUTHORIZATION) else {
        let text = "No key was sent. Send it as `Authorization: Bearer <key>`.";
        return Err(unauthorized("missing_key", text));
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|it| {
            it.strip_prefix("Bearer ")
                .or_else(|| it.strip_prefix("bearer "))
        })
        .map(str::trim)
        .filter(|it| !it.is_empty());
    key.ok_or_else(|| {
        let text = "The `Authorization` header can't be read. Send `Bearer <key>`.";
        unauthorized("malformed_key", text)
    })
}

fn unknown_key() -> ErrorAnswer {
    let text = "This key is unknown. It was mistyped, withdrawn, or issued seconds ago.";
    unauthorized("invalid_api_key", text)
}

fn unauthorized(code: &'static str, text: &str) -> ErrorAnswer {
    ErrorAnswer::new(StatusCode::UNAUTHORIZED, code, text).retry_after(KEY_RETRY)
}

fn not_ready() -> ErrorAnswer {
    let text = "This daemon has no settings yet.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "not_ready", text)
        .retry_after(Duration::from_secs(2))
}

fn settings_too_old() -> ErrorAnswer {
    let text = "This daemon is disconnected from the platform and can't tell whether the key is still valid.";
    ErrorAnswer::new(StatusCode::SERVICE_UNAVAILABLE, "settings_too_old", text)
        .retry_after(Duration::from_secs(10))
}

fn are_settings_too_old(state: &SharedState, policy: CutOffPolicy, now: Timestamp) -> bool {
    match policy {
        CutOffPolicy::Serve => false,
        CutOffPolicy::RefuseAfter { seconds } => {
            state.settings_age(now) > Duration::from_secs(u64::from(seconds))
        }
    }
}
