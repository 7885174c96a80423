//! The traits through which a platform defines its wire formats: its dialect.
//!
//! A dialect consists of names, formats and conversions. It has no state, reads no
//! clock and makes no decisions; those belong to the code that uses the traits. The
//! dialect is a type parameter, fixed when the program starts.

use bytes::Bytes;
use comfreyramp_policy::{
    parts::PartKey,
    placement::{PromptPart, ServerListing},
};
use comfreyramp_store::PlatformStore;
use http::{HeaderMap, Request, Response, StatusCode, request, response};

use crate::model::{
    CallerHead, FleetSettings, InvalidRequest, LotItem, LotPage, NewLot, Refusal, RequestMetadata,
    RetireOrder, ServerAnswer,
};

/// The wire formats of a platform: those of callers, backend servers and the store.
pub trait Dialect: std::fmt::Debug + 'static {
    /// The HTTP format of callers.
    type Callers: CallerDialect;
    /// The HTTP format of backend servers.
    type Servers: ServerDialect;
    /// The format of the records that operators and servers write to the store.
    type Records: FleetRecords;
    /// The client of the key-value store.
    type Store: PlatformStore + std::fmt::Debug;
}

/// Converts requests and answers between callers' HTTP format and the types of
/// [`model`](crate::model).
pub trait CallerDialect {
    /// The path of the load balancer's readiness check.
    const READY_PATH: &'static str;

    /// Parses the head of a request.
    ///
    /// # Errors
    ///
    /// Describes what is invalid in the head.
    fn read_head(head: &request::Parts) -> Result<CallerHead, InvalidRequest>;

    /// Parses the body of a lot's submission.
    ///
    /// # Errors
    ///
    /// Describes what is invalid in the body.
    fn read_lot(body: &[u8]) -> Result<NewLot, InvalidRequest>;

    /// Builds the answer to a request that the daemon refuses.
    fn refuse(refusal: &Refusal) -> Response<Bytes>;

    /// Returns whether an answer with this status promises that the request hasn't run and
    /// never will.
    fn promises_not_run(status: StatusCode) -> bool;

    /// Builds the answer to a submission whose lot was accepted.
    fn lot_accepted() -> Response<Bytes>;

    /// Builds the answer with a page of a lot's results.
    fn lot_page(page: &LotPage) -> Response<Bytes>;

    /// Builds the answer with the body of an item.
    fn item_body(body: Bytes) -> Response<Bytes>;

    /// Builds the answer to a request that ended a lot.
    fn lot_ended() -> Response<Bytes>;
}

/// Converts requests and answers between the fleet and backend servers.
pub trait ServerDialect {
    /// Returns the headers with which a caller's request is forwarded: the caller's
    /// headers without those that belong to one connection and those that only the
    /// fleet may set, and the headers that carry `metadata`.
    fn forwarded(headers: &HeaderMap, metadata: &RequestMetadata<'_>) -> HeaderMap;

    /// Builds the request that runs an item of a lot.
    ///
    /// # Errors
    ///
    /// Fails if the item's path or headers aren't valid in an HTTP request, or no header can
    /// hold its id.
    fn item_request(
        item: &LotItem,
        host: &str,
        metadata: &RequestMetadata<'_>,
    ) -> Result<Request<Bytes>, InvalidRequest>;

    /// Returns the parts of the prompt that a request to a server has in common with others,
    /// from its headers.
    fn shared_parts(headers: &HeaderMap) -> Vec<PartKey>;

    /// Returns the parts of the prompt of a request to a server with their sizes, in order,
    /// from its headers. The last one belongs to the request alone.
    fn prompt_parts(headers: &HeaderMap) -> Vec<PromptPart>;

    /// Builds the request for a server's report of its own state, without a host.
    fn state_query() -> Request<Bytes>;

    /// Returns the number of the server's run, as in [`ServerListing::incarnation`], from its
    /// report of its own state.
    fn read_run(report: &[u8]) -> Option<u64>;

    /// Parses the head of an answer.
    fn read_answer(head: &response::Parts) -> ServerAnswer;

    /// Returns the headers with which an answer is passed back to the caller.
    fn returned(headers: HeaderMap) -> HeaderMap;
}

/// Parses the records that operators and servers write to the store.
pub trait FleetRecords {
    /// The reason why a record is invalid.
    type Error: std::error::Error;

    /// The prefix of all keys that operators write.
    const OPERATORS: &'static str;
    /// The key of the operators' settings.
    const SETTINGS: &'static str;
    /// The prefix of all keys that servers write.
    const SERVERS: &'static str;

    /// Parses the operators' settings.
    ///
    /// # Errors
    ///
    /// Describes what is invalid in the record.
    fn read_settings(value: &[u8]) -> Result<FleetSettings, Self::Error>;

    /// Parses a server's entry, which the store has at `revision`.
    ///
    /// # Errors
    ///
    /// Describes what is invalid in the record. The directory leaves such an entry out.
    fn read_server(key: &str, value: &[u8], revision: i64) -> Result<ServerListing, Self::Error>;

    /// Parses an order to retire a VM; `None` if the key holds no such order.
    fn read_retire(key: &str, value: &[u8]) -> Option<RetireOrder>;

    /// Returns the zone that a key orders to evacuate; `None` if it is no such order.
    fn read_evacuation(key: &str) -> Option<&str>;

    /// Returns the key and value that report whether a daemon's VM has been emptied.
    fn retire_status(daemon: &str, is_done: bool) -> (String, Bytes);
}
