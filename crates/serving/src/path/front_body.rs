//! The body of an answer.

use std::{
    pin::Pin,
    task::{Context, Poll},
};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::stream_relay::StreamRelay;
use crate::dialect::Dialect;

/// Why an answer is broken off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrontBodyError {
    /// The server broke off, and no other can go on.
    #[error("the server broke off")]
    ServerBroke,
    /// The time for the answer is up.
    #[error("the time is up")]
    TimedOut,
}

/// The body of an answer: here as a whole, or passed on as it arrives.
#[derive(Debug)]
pub enum FrontBody<D: Dialect> {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It is passed on as it arrives.
    Relayed(Box<StreamRelay<D>>),
}

impl<D: Dialect> FrontBody<D> {
    /// A body without a byte.
    pub fn empty() -> Self {
        FrontBody::Whole(None)
    }

    /// A body of these bytes.
    pub fn whole(bytes: Bytes) -> Self {
        FrontBody::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl<D: Dialect> Body for FrontBody<D> {
    type Data = Bytes;
    type Error = FrontBodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, FrontBodyError>>> {
        match self.get_mut() {
            FrontBody::Whole(bytes) => Poll::Ready(bytes.take().map(|it| Ok(Frame::data(it)))),
            FrontBody::Relayed(relay) => {
                let piece = relay.poll_piece(context);
                piece.map(|it| it.map(|it| it.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, FrontBody::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            FrontBody::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |it| it.len() as u64))
            }
            FrontBody::Relayed(_) => SizeHint::default(),
        }
    }
}
