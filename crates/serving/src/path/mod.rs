//! The request path: from a caller's connection to a backend server and back.

mod answer_evidence;
mod connection_loop;
mod connection_pool;
mod front_body;
mod live_request;
mod open_request;
mod prompt_reading;
mod request_log;
mod server_attempt;
mod server_probe;
mod start_queues;
mod stream_relay;
mod stream_resumption;

pub use answer_evidence::has_server_succeeded;
pub use connection_loop::{ConnectionLimits, serve_connections};
pub use connection_pool::{
    CONNECTION_BUFFER_BYTES, ConnectionPool, MAX_IDLE, SendFailure, ServerConnection, UNSENT_BYTES,
};
pub use front_body::{AnswerBody, AnswerBodyError};
pub use live_request::answer_caller;
pub use server_attempt::{
    AnswerKind, AttemptFailure, AttemptGuard, AttemptTerms, OpenAnswer, open_answer,
};
pub use server_probe::probe_silent_zones;
pub use start_queues::{StartQueues, run_start_queues};
pub use stream_relay::StreamRelay;
