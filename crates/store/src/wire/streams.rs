//! Streamed responses and errors.

use serde::{Deserialize, Serialize};

/// One line of a streamed response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamLine<T> {
    /// The message.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub result: Option<T>,
    /// The error that ends the stream.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub error: Option<StreamError>,
}

impl<T> StreamLine<T> {
    /// Creates a line with a message.
    pub fn of(message: T) -> Self {
        StreamLine {
            result: Some(message),
            error: None,
        }
    }
}

/// An error in a streamed response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamError {
    /// The gRPC code.
    pub grpc_code: i32,
    /// The HTTP status that corresponds to the gRPC code.
    pub http_code: i32,
    /// What is wrong.
    pub message: String,
}

/// An error response.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ErrorMessage {
    /// What is wrong.
    pub error: String,
    /// The gRPC code.
    pub code: i32,
    /// The same text as in `error`.
    pub message: String,
}
