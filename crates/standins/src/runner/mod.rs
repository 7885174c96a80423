//! Stand-ins for a customer's backend server: an engine that streams events or a plain
//! service, a server whose answers end with their connections, one that resets them during an
//! upload, and one whose answers a test writes itself.

mod backend_server;
mod closing_server;
mod malformed_lines;
mod raw_request;
mod requested_stream;
mod resetting_server;
mod scripted_server;
mod state_report;

pub use backend_server::{
    BackendArrival, BackendKind, BackendOptions, BackendServer, ServerIdentity,
};
pub use closing_server::{ClosingAnswer, ClosingServer};
pub use malformed_lines::{MALFORMED_LENGTHS, NO_FIELDS, UNKNOWN_CODINGS};
pub use raw_request::RawRequest;
pub use requested_stream::RequestedStream;
pub use resetting_server::{EarlyAnswer, ResettingServer};
pub use scripted_server::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
