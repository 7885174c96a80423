//! A relayed stream whose bytes are counted until the caller has taken them.

use std::{
    pin::Pin,
    rc::Rc,
    task::{Context, Poll},
};

use bytes::Bytes;
use comfreyramp_policy::{Timestamp, memory::MemoryDecision};
use tokio::time::Sleep;

use super::{HeldBytes, HeldData, held_bytes::RETRY_INTERVAL};
use crate::{
    clock::BootClock,
    dialect::Dialect,
    path::{AnswerBodyError, StreamRelay},
};

type Chunk = Option<Result<HeldData, AnswerBodyError>>;

/// A relayed stream. While there is no room for its next bytes, nothing more is read from
/// its server.
#[derive(Debug)]
pub struct HeldStream<D: Dialect> {
    relay: StreamRelay<D>,
    held: Rc<HeldBytes>,
    /// Bytes for which there was no room yet, and when to ask again.
    waiting: Option<(Bytes, Pin<Box<Sleep>>)>,
    deadline: Timestamp,
    clock: BootClock,
}

impl<D: Dialect> HeldStream<D> {
    /// Counts the bytes of a stream that ends by `deadline`.
    pub fn new(
        relay: StreamRelay<D>,
        held: HeldBytes,
        deadline: Timestamp,
        clock: BootClock,
    ) -> Self {
        HeldStream {
            relay,
            held: Rc::new(held),
            waiting: None,
            deadline,
            clock,
        }
    }

    /// Returns the next bytes of the stream.
    pub fn poll_chunk(&mut self, context: &mut Context<'_>) -> Poll<Chunk> {
        loop {
            let bytes = match self.waiting.take() {
                Some((bytes, mut timer)) => {
                    if timer.as_mut().poll(context).is_pending() {
                        self.waiting = Some((bytes, timer));
                        return Poll::Pending;
                    }
                    bytes
                }
                None => match std::task::ready!(self.relay.poll_chunk(context)) {
                    Some(Ok(bytes)) => bytes,
                    Some(Err(error)) => return Poll::Ready(Some(Err(error))),
                    None => return Poll::Ready(None),
                },
            };
            if !self.held.is_counted() {
                return Poll::Ready(Some(Ok(bytes.into())));
            }
            match self.held.take(bytes.len()) {
                MemoryDecision::Granted => {
                    // A part of the buffer that is read into would keep all of it.
                    let bytes = Bytes::copy_from_slice(&bytes);
                    return Poll::Ready(Some(Ok(HeldData::part(bytes, &self.held))));
                }
                // The caller's connection is being closed, which drops this stream.
                MemoryDecision::Ended => return Poll::Pending,
                MemoryDecision::Wait | MemoryDecision::Refused { .. } => {
                    if self.clock.now() >= self.deadline {
                        return Poll::Ready(Some(Err(AnswerBodyError::TimedOut)));
                    }
                    let timer = Box::pin(tokio::time::sleep(RETRY_INTERVAL));
                    self.waiting = Some((bytes, timer));
                }
            }
        }
    }
}
