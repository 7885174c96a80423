//! The HTTP code that all processes share: server loop, client, bodies and
//! error format.
//!
//! - [`serve`] accepts connections until its token is cancelled, then lets the
//!   open ones finish.
//! - [`HttpClient`] calls other servers and reports whether a failed request may
//!   have been sent. [`ServerClient`] also makes sure that an answer is the request's.
//! - [`MessageBody`] is the body type that the client and the server share.
//! - [`collect_reserved`] reads a body whose bytes are reserved before they are stored.
//! - [`BodyFraming`] says how the end of a body is determined, [`EventScanner`] where its
//!   events end, and [`AnswerProgress`] from both whether an answer has been broken off.
//!   [`ChunkScanner`] recognizes chunks that the head doesn't declare.
//! - [`GuardedSocket`] closes a socket as its [`CloseGuard`] decides; [`AnswerGuard`]
//!   resets callers' sockets under broken answers that have no other mark of their end.
//! - [`ErrorAnswer`] is the error format of the API for callers.

mod answer_guard;
mod answer_progress;
mod body;
mod body_framing;
mod chunk_scanner;
mod client;
mod error_answer;
mod event_scanner;
mod event_splitter;
mod guarded_socket;
mod reserved_body;
mod serve;
mod server_client;
mod short_line;

pub use answer_guard::{AnswerGuard, AnswerNotes};
pub use answer_progress::{AnswerEnd, AnswerProgress};
pub use body::{BodyError, BodySender, MessageBody, collect_limited, json_body};
pub use body_framing::{BodyFraming, HeadError};
pub use chunk_scanner::ChunkScanner;
pub use client::{CallError, HttpClient};
pub use error_answer::{ErrorAnswer, ErrorDetail, RunState};
pub use event_scanner::EventScanner;
pub use event_splitter::{
    EventSplitter, EventTooLong, MAX_EVENT_BYTES, event_data, event_id, event_text,
};
pub use guarded_socket::{CloseGuard, GuardedSocket, set_reset_on_close};
pub use reserved_body::{ByteReservation, ReservedBodyError, collect_reserved};
pub use serve::{ServeLimits, bind, serve};
pub use server_client::ServerClient;

pub use bytes::Bytes;
pub use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
pub use hyper::body::{Body, Incoming};
