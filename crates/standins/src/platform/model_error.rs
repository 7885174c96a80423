//! The errors of the key-value service, with etcd's messages.

use comfreyramp_http::StatusCode;
use comfreyramp_store::{StoreError, wire::ErrorMessage};

/// An error that the service answers a call with.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ModelError {
    /// The lease expired, was revoked, or never existed.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    /// The requested lease id is taken.
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    /// A write has an empty key.
    #[error("etcdserver: key is not provided")]
    EmptyKey,
    /// A value is larger than the limit.
    #[error("etcdserver: request is too large")]
    ValueTooLarge,
    /// A transaction has more comparisons or operations than the limit.
    #[error("etcdserver: too many operations in txn request")]
    TooManySteps,
    /// A transaction writes the same key twice.
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    /// The requested revision is older than this one, the oldest that is kept.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted(i64),
    /// The requested revision lies in the future.
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    /// The body is not valid for the call.
    #[error("{0}")]
    BadBody(String),
    /// The call is unknown.
    #[error("Not Found")]
    UnknownCall,
    /// The service is unavailable.
    #[error("etcdserver: no leader")]
    Unavailable,
}

impl ModelError {
    /// Returns the gRPC code and the HTTP status that the gateway answers with.
    pub fn codes(&self) -> (i32, StatusCode) {
        match self {
            ModelError::EmptyKey
            | ModelError::ValueTooLarge
            | ModelError::TooManySteps
            | ModelError::DuplicateKey
            | ModelError::BadBody(_) => (3, StatusCode::BAD_REQUEST),
            ModelError::LeaseNotFound | ModelError::UnknownCall => (5, StatusCode::NOT_FOUND),
            ModelError::LeaseExists => (9, StatusCode::BAD_REQUEST),
            ModelError::Compacted(_) | ModelError::FutureRevision => (11, StatusCode::BAD_REQUEST),
            ModelError::Unavailable => (14, StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Returns the body of the error response.
    pub fn to_message(&self) -> ErrorMessage {
        ErrorMessage {
            error: self.to_string(),
            code: self.codes().0,
            message: self.to_string(),
        }
    }
}

impl From<ModelError> for StoreError {
    fn from(error: ModelError) -> Self {
        match error {
            ModelError::LeaseNotFound => StoreError::LeaseLapsed,
            ModelError::Compacted(oldest) => StoreError::Compacted(oldest),
            error => StoreError::Rejected(error.to_string()),
        }
    }
}
