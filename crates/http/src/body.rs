//! The body type that the client and the server share, without dynamic dispatch.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use serde::Serialize;
use tokio::sync::mpsc;

/// Frames that a streamed body buffers before its writer has to wait.
const STREAM_FRAMES: usize = 16;

/// The reason why a body ended early.
#[derive(Debug, thiserror::Error)]
pub enum BodyError {
    /// The connection to the sender broke.
    #[error("the connection broke: {0}")]
    Connection(#[from] hyper::Error),
    /// The writer aborted the body; what was received so far is incomplete.
    #[error("the body was cut short: {0}")]
    Aborted(String),
    /// The body is longer than allowed.
    #[error("the body is longer than {limit} bytes")]
    TooLong {
        /// The limit in bytes.
        limit: usize,
    },
}

/// A body to send: complete, streamed by a writer, or forwarded from another
/// connection.
#[derive(Debug)]
pub enum MessageBody {
    /// The complete body, in memory; `None` if it is empty.
    Complete(Option<Bytes>),
    /// A writer sends the body through a [`BodySender`].
    Streamed(mpsc::Receiver<Result<Bytes, BodyError>>),
    /// The body is forwarded from another connection.
    Forwarded(Incoming),
}

impl MessageBody {
    /// Returns an empty body.
    pub fn empty() -> Self {
        MessageBody::Complete(None)
    }

    /// Returns a streamed body and the sender that writes it.
    pub fn stream() -> (BodySender, Self) {
        let (sender, receiver) = mpsc::channel(STREAM_FRAMES);
        (BodySender { sender }, MessageBody::Streamed(receiver))
    }
}

impl From<Bytes> for MessageBody {
    fn from(bytes: Bytes) -> Self {
        MessageBody::Complete((!bytes.is_empty()).then_some(bytes))
    }
}

impl From<Vec<u8>> for MessageBody {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<String> for MessageBody {
    fn from(text: String) -> Self {
        Bytes::from(text).into()
    }
}

impl Body for MessageBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            MessageBody::Complete(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            MessageBody::Streamed(receiver) => {
                let item = ready!(receiver.poll_recv(context));
                Poll::Ready(item.map(|it| it.map(Frame::data)))
            }
            MessageBody::Forwarded(incoming) => {
                let frame = ready!(Pin::new(incoming).poll_frame(context));
                Poll::Ready(frame.map(|it| it.map_err(BodyError::from)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            MessageBody::Complete(bytes) => bytes.is_none(),
            MessageBody::Streamed(_) => false,
            MessageBody::Forwarded(incoming) => incoming.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            MessageBody::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            MessageBody::Streamed(_) => SizeHint::default(),
            MessageBody::Forwarded(incoming) => incoming.size_hint(),
        }
    }
}

/// The writing end of a streamed body.
#[derive(Clone, Debug)]
pub struct BodySender {
    sender: mpsc::Sender<Result<Bytes, BodyError>>,
}

impl BodySender {
    /// Sends a chunk. Returns false if the reader was dropped.
    pub async fn send(&self, bytes: impl Into<Bytes>) -> bool {
        self.sender.send(Ok(bytes.into())).await.is_ok()
    }

    /// Aborts the body, so that the reader sees an error instead of a normal end.
    pub async fn abort(self, reason: impl Into<String>) {
        let error = BodyError::Aborted(reason.into());
        // If the reader was dropped, nobody needs the error.
        let _ = self.sender.send(Err(error)).await;
    }

    /// Waits until the reader is dropped.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns [`BodyError::TooLong`] if the body has more than `limit` bytes.
pub async fn collect_limited<B>(mut body: B, limit: usize) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes> + Unpin,
    BodyError: From<B::Error>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLong { limit });
    }
    let mut whole = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if whole.len() + data.len() > limit {
            return Err(BodyError::TooLong { limit });
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.into())
}

/// Serializes a value as a JSON body.
pub fn json_body(value: &impl Serialize) -> MessageBody {
    // Serializing can't fail, since the types of this project have string keys
    // only.
    serde_json::to_vec(value).unwrap_or_default().into()
}
