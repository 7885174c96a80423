//! Messages of reads, unconditional writes and leases.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use super::{Int64, is_default};

/// The header of every response.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseHeader {
    /// The id of the platform's cluster.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub cluster_id: u64,
    /// The id of the cluster member that responded.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub member_id: u64,
    /// The store's revision.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub revision: i64,
    /// The Raft term of the platform's leader.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub raft_term: u64,
}

/// A key with its value.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PairMessage {
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// The revision of the key's creation.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: i64,
    /// The revision of the key's last write.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub mod_revision: i64,
    /// The number of writes since the key's creation.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub version: i64,
    /// The value.
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "is_default")]
    pub value: Bytes,
    /// The lease of the key, or 0.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub lease: i64,
}

/// `POST /v3/kv/range`.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeRequest {
    /// The first key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// The key after the last; empty for one key, a zero byte for no end.
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "is_default")]
    pub range_end: Bytes,
    /// The maximum number of pairs to return, or 0 for all.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub limit: i64,
    /// Whether to omit the values.
    #[serde(skip_serializing_if = "is_default")]
    pub keys_only: bool,
}

/// The response to a [`RangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The head; left out inside a transaction's answer.
    pub header: ResponseHeader,
    /// The pairs found, in key order.
    #[serde(skip_serializing_if = "is_default")]
    pub kvs: Vec<PairMessage>,
    /// Whether the limit truncated the result.
    #[serde(skip_serializing_if = "is_default")]
    pub more: bool,
    /// How many pairs the range holds.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub count: i64,
}

/// `POST /v3/kv/put`.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutRequest {
    /// The key to write.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// Its new value.
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "is_default")]
    pub value: Bytes,
    /// Its lease, or 0.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub lease: i64,
}

/// A response that consists of a header only.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct HeaderResponse {
    /// The head.
    pub header: ResponseHeader,
}

/// `POST /v3/kv/deleterange`.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeRequest {
    /// The first key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// The key after the last; empty for one key, a zero byte for no end.
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "is_default")]
    pub range_end: Bytes,
}

/// The response to a [`DeleteRangeRequest`].
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteRangeResponse {
    /// The head; left out inside a transaction's answer.
    pub header: ResponseHeader,
    /// How many keys were deleted.
    #[serde_as(as = "Int64")]
    #[serde(skip_serializing_if = "is_default")]
    pub deleted: i64,
}

/// `POST /v3/lease/grant`, and the result of a renewal.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct LeaseMessage {
    /// The header, in responses only.
    #[serde(skip_serializing_if = "is_default")]
    pub header: ResponseHeader,
    /// The lease; 0 in a request lets the platform choose.
    #[serde(rename = "ID", skip_serializing_if = "is_default")]
    #[serde_as(as = "Int64")]
    pub id: i64,
    /// The time to live in seconds; omitted for an expired lease.
    #[serde(rename = "TTL", skip_serializing_if = "is_default")]
    #[serde_as(as = "Int64")]
    pub ttl: i64,
}

/// `POST /v3/kv/compaction`.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompactionRequest {
    /// The revision before which the history is discarded.
    #[serde_as(as = "Int64")]
    pub revision: i64,
}
