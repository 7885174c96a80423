//! Messages of transactions.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

use super::{
    DeleteRangeRequest, DeleteRangeResponse, HeaderResponse, Int64, PutRequest, RangeRequest,
    RangeResponse, ResponseHeader, is_default,
};

/// The property of a key that a comparison tests.
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

/// How a key's property must relate to the given value.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// It must be equal.
    #[default]
    Equal,
    /// It must be greater.
    Greater,
    /// It must be less.
    Less,
    /// It must differ.
    NotEqual,
}

/// A condition of a transaction.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CompareMessage {
    /// How the property must relate to the given value.
    pub result: CompareResult,
    /// The property to test.
    pub target: CompareTarget,
    /// The key.
    #[serde_as(as = "Base64")]
    pub key: Bytes,
    /// The value to compare with, for [`CompareTarget::Version`].
    #[serde_as(as = "Option<Int64>")]
    #[serde(skip_serializing_if = "is_default")]
    pub version: Option<i64>,
    /// The value to compare with, for [`CompareTarget::Create`].
    #[serde_as(as = "Option<Int64>")]
    #[serde(skip_serializing_if = "is_default")]
    pub create_revision: Option<i64>,
    /// The value to compare with, for [`CompareTarget::Mod`].
    #[serde_as(as = "Option<Int64>")]
    #[serde(skip_serializing_if = "is_default")]
    pub mod_revision: Option<i64>,
}

/// One step of a transaction: exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestStep {
    /// A read.
    #[serde(skip_serializing_if = "is_default")]
    pub request_range: Option<RangeRequest>,
    /// A write.
    #[serde(skip_serializing_if = "is_default")]
    pub request_put: Option<PutRequest>,
    /// A deletion.
    #[serde(skip_serializing_if = "is_default")]
    pub request_delete_range: Option<DeleteRangeRequest>,
}

/// The result of one step of a transaction: exactly one field is set.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ResponseStep {
    /// The result of a read.
    #[serde(skip_serializing_if = "is_default")]
    pub response_range: Option<RangeResponse>,
    /// The result of a write.
    #[serde(skip_serializing_if = "is_default")]
    pub response_put: Option<HeaderResponse>,
    /// The result of a deletion.
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

/// The response to a [`TransactionRequest`].
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TransactionResponse {
    /// The header.
    pub header: ResponseHeader,
    /// Whether all conditions held.
    #[serde(skip_serializing_if = "is_default")]
    pub succeeded: bool,
    /// The results of the steps, in order.
    #[serde(skip_serializing_if = "is_default")]
    pub responses: Vec<ResponseStep>,
}
