//! Messages of watches.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use super::{Int64, PairMessage, ResponseHeader, is_default};

/// `POST /v3/watch`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchRequest {
    /// The watch to open.
    #[serde(skip_serializing_if = "is_default")]
    pub create_request: Option<WatchCreateRequest>,
}

/// A watch to open.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreateRequest {
    /// The first key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// The key after the last; empty for one key, a zero byte for no end.
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "is_default")]
    pub range_end: Bytes,
    /// The first revision to report; 0 for changes from now on.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub start_revision: i64,
    /// Whether to report the current revision from time to time while nothing changes.
    #[serde(skip_serializing_if = "is_default")]
    pub progress_notify: bool,
}

/// One message of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The header.
    pub header: ResponseHeader,
    /// Set on the first message.
    #[serde(skip_serializing_if = "is_default")]
    pub created: bool,
    /// Set on the last message, when the platform ends the watch.
    #[serde(skip_serializing_if = "is_default")]
    pub canceled: bool,
    /// The oldest available revision, if the requested start was older.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub compact_revision: i64,
    /// Why the platform ended the watch.
    #[serde(skip_serializing_if = "is_default")]
    pub cancel_reason: String,
    /// What happened.
    #[serde(skip_serializing_if = "is_default")]
    pub events: Vec<EventMessage>,
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum EventKind {
    /// A key was written.
    #[default]
    Put,
    /// A key was deleted.
    Delete,
}

/// One event of a watch.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EventMessage {
    /// What happened.
    #[serde(rename = "type", skip_serializing_if = "is_default")]
    pub kind: EventKind,
    /// The pair that changed; for a deletion only its key and revision are set.
    pub kv: PairMessage,
}
