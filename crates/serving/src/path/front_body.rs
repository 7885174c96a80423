//! The body of an answer to a caller.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use crate::{
    dialect::Dialect,
    memory::{HeldData, HeldStream},
};

/// The reason why an answer to a caller is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AnswerBodyError {
    /// The server broke off, and no other server can resume the answer.
    #[error("the server broke off its answer")]
    ServerBrokeOff,
    /// The request's deadline has passed.
    #[error("the request's deadline has passed")]
    TimedOut,
}

/// The body of an answer to a caller: buffered, or relayed as it arrives from a server.
#[derive(Debug)]
pub enum AnswerBody<D: Dialect> {
    /// The whole body, until it is sent; `None` if it is empty or has been sent.
    Buffered(Option<HeldData>),
    /// A stream that is relayed as it arrives.
    Streaming(Box<HeldStream<D>>),
}

impl<D: Dialect> AnswerBody<D> {
    /// Returns an empty body.
    pub fn empty() -> Self {
        AnswerBody::Buffered(None)
    }

    /// Returns a body that consists of `bytes`.
    pub fn whole(bytes: Bytes) -> Self {
        AnswerBody::held(bytes.into())
    }

    /// Returns a body that consists of counted bytes.
    pub fn held(data: HeldData) -> Self {
        AnswerBody::Buffered((!data.is_empty()).then_some(data))
    }
}

impl<D: Dialect> Body for AnswerBody<D> {
    type Data = HeldData;
    type Error = AnswerBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldData>, AnswerBodyError>>> {
        match self.get_mut() {
            AnswerBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            AnswerBody::Streaming(relay) => {
                let chunk = relay.poll_chunk(context);
                chunk.map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, AnswerBody::Buffered(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            AnswerBody::Streaming(_) => SizeHint::default(),
        }
    }
}
