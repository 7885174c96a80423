//! Why the key-value service refuses a call, in the words of etcd.

use comfreyramp_http::StatusCode;
use comfreyramp_store::{StoreError, wire::ErrorMessage};

/// A call that the service answers with an error.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ModelError {
    /// The lease lapsed, was revoked, or never was.
    #[error("etcdserver: requested lease not found")]
    LeaseNotFound,
    /// The id that was asked for is taken.
    #[error("etcdserver: lease already exists")]
    LeaseExists,
    /// A write without a key.
    #[error("etcdserver: key is not provided")]
    EmptyKey,
    /// A value above the limit.
    #[error("etcdserver: request is too large")]
    ValueTooLarge,
    /// A transaction above the limit.
    #[error("etcdserver: too many operations in txn request")]
    TooManySteps,
    /// A transaction that writes a key twice.
    #[error("etcdserver: duplicate key given in txn request")]
    DuplicateKey,
    /// Revisions before this one are gone.
    #[error("etcdserver: mvcc: required revision has been compacted")]
    Compacted(i64),
    /// The revision hasn't happened yet.
    #[error("etcdserver: mvcc: required revision is a future revision")]
    FutureRevision,
    /// The body isn't what the call wants.
    #[error("{0}")]
    BadBody(String),
    /// There is no such call.
    #[error("Not Found")]
    UnknownCall,
    /// The service is down.
    #[error("etcdserver: no leader")]
    Unavailable,
}

impl ModelError {
    /// The gRPC code and the HTTP status that the gateway makes of it.
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

    /// The body of the error answer.
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
