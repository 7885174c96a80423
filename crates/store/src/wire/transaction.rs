//! Transactions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use super::{
    DeleteRangeRequest, DeleteRangeResponse, HeaderResponse, Int64, PutRequest, RangeRequest,
    RangeResponse, ResponseHeader, is_default,
};

/// What a comparison looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum CompareTarget {
    /// The number of writes since creation; 0 for an absent key.
    #[default]
    Version,
    /// The revision of creation; 0 for an absent key.
    Create,
    /// The revision of the last write; 0 for an absent key.
    Mod,
}

/// How a comparison's two sides must relate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    #[default]
    Equal,
    /// The key's number is greater.
    Greater,
    /// The key's number is less.
    Less,
    /// Not equal.
    NotEqual,
}

/// A condition of a transaction.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareMessage {
    /// How the two sides must relate.
    pub result: CompareResult,
    /// What to look at.
    pub target: CompareTarget,
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// The other side, for [`CompareTarget::Version`].
    #[serde_as(as = "Option<Int64>")]
    #[serde(skip_serializing_if = "is_default")]
    pub version: Option<i64>,
    /// The other side, for [`CompareTarget::Create`].
    #[serde_as(as = "Option<Int64>")]
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Option<i64>,
    /// The other side, for [`CompareTarget::Mod`].
    #[serde_as(as = "Option<Int64>")]
    #[serde(skip_serializing_if = "is_default")]
    pub mod_revision: Option<i64>,
}

/// One step of a transaction: exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestStep {
    /// Reads.
    #[serde(skip_serializing_if = "is_default")]
    pub request_range: Option<RangeRequest>,
    /// Writes.
    #[serde(skip_serializing_if = "is_default")]
    pub request_put: Option<PutRequest>,
    /// Deletes.
    #[serde(skip_serializing_if = "is_default")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// What one step of a transaction did: exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseStep {
    /// Read.
    #[serde(skip_serializing_if = "is_default")]
    pub response_range: Option<RangeResponse>,
    /// Written.
    #[serde(skip_serializing_if = "is_default")]
    pub response_put: Option<HeaderResponse>,
    /// Deleted.
    #[serde(skip_serializing_if = "is_default")]
    pub response_delete_range: Option<DeleteRangeResponse>,
}

/// `POST /v3/kv/txn`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionRequest {
    /// The conditions.
    #[serde(skip_serializing_if = "is_default")]
    pub compare: Vec<CompareMessage>,
    /// The steps if all conditions hold.
    #[serde(skip_serializing_if = "is_default")]
    pub success: Vec<RequestStep>,
    /// The steps otherwise.
    #[serde(skip_serializing_if = "is_default")]
    pub failure: Vec<RequestStep>,
}

/// The answer to a [`TransactionRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionResponse {
    /// The head.
    pub header: ResponseHeader,
    /// Whether all conditions held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// What the steps did, in order.
    #[serde(skip_serializing_if = "is_default")]
    pub responses: Vec<ResponseStep>,
}
