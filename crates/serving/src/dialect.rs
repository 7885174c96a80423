//! What a platform's manner of speaking has to bring.
//!
//! A dialect holds names, formats and calls. It has no state, clock or choice:
//! everything that decides is on this side of the traits. It is chosen once,
//! when the program starts.

use bytes::Bytes;
use comfreyramp_policy::placement::ServerListing;
use comfreyramp_store::PlatformStore;
use http::{HeaderMap, Request, Response, request, response};

use crate::model::{
    CallerHead, FleetSettings, HeadFault, LotItem, LotPage, NewLot, Refusal, RetireOrder,
    SendTicket, ServerAnswer,
};

/// Everything that a platform's manner of speaking brings.
pub trait Dialect: std::fmt::Debug + 'static {
    /// How callers speak.
    type Callers: CallerDialect;
    /// How backend servers speak.
    type Servers: ServerDialect;
    /// How operators and servers write to the store.
    type Records: FleetRecords;
    /// The client of the store.
    type Store: PlatformStore + std::fmt::Debug;
}

/// How callers speak.
pub trait CallerDialect {
    /// The path at which the balancer asks whether a daemon is ready.
    const READY_PATH: &'static str;

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Tells what is wrong with it.
    fn read_head(head: &request::Parts) -> Result<CallerHead, HeadFault>;

    /// Reads a lot that is handed in.
    ///
    /// # Errors
    ///
    /// Tells what is wrong with it.
    fn read_lot(body: &[u8]) -> Result<NewLot, HeadFault>;

    /// The answer to a request that no server answers.
    fn refuse(refusal: &Refusal) -> Response<Bytes>;

    /// The answer to a lot that was accepted.
    fn lot_accepted() -> Response<Bytes>;

    /// Results of a lot.
    fn lot_page(page: &LotPage) -> Response<Bytes>;

    /// The body of an item.
    fn item_body(body: Bytes) -> Response<Bytes>;

    /// The answer to a lot's end.
    fn lot_ended() -> Response<Bytes>;
}

/// How backend servers speak.
pub trait ServerDialect {
    /// The head with which a caller's request is passed on. Of the caller's
    /// headers it holds all but those that concern one connection, or that only
    /// the fleet may set.
    fn forwarded(headers: &HeaderMap, ticket: &SendTicket<'_>) -> HeaderMap;

    /// The request for an item of a lot.
    ///
    /// # Errors
    ///
    /// Tells why an item can't be written as a request.
    fn item_request(
        item: &LotItem,
        host: &str,
        ticket: &SendTicket<'_>,
    ) -> Result<Request<Bytes>, http::Error>;

    /// Reads the head of an answer.
    fn read_answer(head: &response::Parts) -> ServerAnswer;

    /// The headers with which an answer is passed back.
    fn returned(headers: HeaderMap) -> HeaderMap;
}

/// How operators and servers write to the store.
pub trait FleetRecords {
    /// Why a record can't be used.
    type Error: std::error::Error;

    /// What all keys of the operators begin with.
    const OPERATORS: &'static str;
    /// The key of the settings.
    const SETTINGS: &'static str;
    /// What all keys of servers begin with.
    const SERVERS: &'static str;

    /// Reads the settings.
    ///
    /// # Errors
    ///
    /// Tells what in the record can't be used.
    fn read_settings(value: &[u8]) -> Result<FleetSettings, Self::Error>;

    /// Reads a server's entry.
    ///
    /// # Errors
    ///
    /// Tells what in the record can't be used. Such an entry names no server.
    fn read_server(key: &str, value: &[u8]) -> Result<ServerListing, Self::Error>;

    /// Reads an order to empty a VM; nothing if the key holds no such order.
    fn read_retire(key: &str, value: &[u8]) -> Option<RetireOrder>;

    /// The key and value that tell how far a VM is emptied.
    fn retire_status(daemon: &str, is_done: bool) -> (String, Bytes);
}
