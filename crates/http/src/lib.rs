//! What every process shares of HTTP: server loop, client, bodies, error shape.
//!
//! - [`serve`] accepts connections until its token is cancelled, then lets the
//!   open ones finish.
//! - [`HttpClient`] calls other servers and tells whether a byte was sent.
//! - [`MessageBody`] is the one body type of both sides.
//! - [`ErrorAnswer`] is the error shape of the callers' door.

mod body;
mod client;
mod error_answer;
mod event_splitter;
mod serve;

pub use body::{BodyError, BodySender, MessageBody, collect_limited, json_body};
pub use client::{CallError, HttpClient};
pub use error_answer::{ErrorAnswer, ErrorDetail, RunState};
pub use event_splitter::{EventSplitter, EventTooLong, event_data, event_id, event_text};
pub use serve::{ServeLimits, bind, serve};

pub use bytes::Bytes;
pub use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
pub use hyper::body::Incoming;
