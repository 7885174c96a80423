//! The JSON messages of the etcd v3 gateway, as its documentation defines them.
//!
//! Keys and values are base64, 64-bit numbers are strings, and fields with their
//! default value are omitted. The client and the simulated platform of the tests share
//! these types; a test of the simulated platform compares them with literal JSON.

mod pairs;
mod streams;
mod transaction;
mod watch;

pub use pairs::{
    CompactionRequest, DeleteRangeRequest, DeleteRangeResponse, HeaderResponse, LeaseMessage,
    PairMessage, PutRequest, RangeRequest, RangeResponse, ResponseHeader,
};
pub use streams::{ErrorMessage, StreamError, StreamLine};
pub use transaction::{
    CompareMessage, CompareResult, CompareTarget, RequestStep, ResponseStep, TransactionRequest,
    TransactionResponse,
};
pub use watch::{EventKind, EventMessage, WatchCreateRequest, WatchRequest, WatchResponse};

use serde_with::{DisplayFromStr, PickFirst, Same};

/// A 64-bit number: written as a string, read from a string or a number.
type Int64 = PickFirst<(DisplayFromStr, Same)>;

fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}
