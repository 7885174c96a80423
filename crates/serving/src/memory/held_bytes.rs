//! A guard that returns its bytes to the account when it is dropped.

use std::{rc::Rc, time::Duration};

use comfreyramp_http::ByteReservation;
use comfreyramp_policy::memory::{HolderId, MemoryDecision};

use super::{HeldMemory, HolderLabel};
use crate::model::{Refusal, RefusalCause};

/// How often a holder that waits for room asks again. A reader that is ended returns its
/// bytes within a turn of the event loop.
pub(super) const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How often a body asks for room before it is refused: half a second passes. Its caller is
/// better told to come back than left waiting.
const MAX_BODY_ASKS: u32 = 50;
/// The same for an answer that isn't built yet.
const MAX_ANSWER_ASKS: u32 = 50;

/// Bytes that are held for a request. They are returned when this is dropped.
#[derive(Debug)]
pub struct HeldBytes {
    memory: Rc<HeldMemory>,
    /// `None` if nothing is counted.
    id: Option<HolderId>,
    label: Rc<HolderLabel>,
}

impl HeldBytes {
    pub(super) fn new(
        memory: Rc<HeldMemory>,
        id: Option<HolderId>,
        label: Rc<HolderLabel>,
    ) -> Self {
        HeldBytes { memory, id, label }
    }

    /// Whether bytes are counted.
    pub fn is_counted(&self) -> bool {
        self.id.is_some()
    }

    /// Asks for `bytes` more.
    pub fn take(&self, bytes: usize) -> MemoryDecision {
        self.id.map_or(MemoryDecision::Granted, |it| {
            self.memory.take(it, bytes as u64)
        })
    }

    /// Returns some of the bytes.
    pub fn give_back(&self, bytes: usize) {
        if let Some(id) = self.id {
            self.memory.give_back(id, bytes as u64);
        }
    }

    /// Records that the caller has taken some of the bytes.
    pub fn note_progress(&self) {
        if let Some(id) = self.id {
            self.memory.note_progress(id);
        }
    }

    /// Reserves the bytes of an answer that this daemon gives itself, before it is built.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is no room within a moment. Nothing of it has run.
    pub async fn reserve(&self, bytes: usize) -> Result<(), Refusal> {
        for _ in 0..MAX_ANSWER_ASKS {
            match self.take(bytes) {
                MemoryDecision::Granted => return Ok(()),
                MemoryDecision::Ended => break,
                MemoryDecision::Wait | MemoryDecision::Refused { .. } => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
        self.memory.log_refusal(&self.label, bytes as u64);
        let waited = RETRY_INTERVAL * MAX_ANSWER_ASKS;
        Err(Refusal::new(RefusalCause::NoMemory).retry_after(waited))
    }

    /// Returns the reservation of a request's body.
    pub fn for_body(&mut self) -> BodyReservation<'_> {
        BodyReservation(self)
    }

    /// Returns the reservation of an answer that is read completely.
    pub fn for_answer(&mut self) -> AnswerReservation<'_> {
        AnswerReservation(self)
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        if let Some(id) = self.id {
            self.memory.close(id);
        }
    }
}

/// Reserves the bytes of a request's body.
#[derive(Debug)]
pub struct BodyReservation<'a>(&'a HeldBytes);

impl ByteReservation for BodyReservation<'_> {
    type Refusal = Refusal;

    async fn reserve(&mut self, bytes: usize) -> Result<(), Refusal> {
        for _ in 0..MAX_BODY_ASKS {
            match self.0.take(bytes) {
                MemoryDecision::Granted => return Ok(()),
                MemoryDecision::Wait => tokio::time::sleep(RETRY_INTERVAL).await,
                MemoryDecision::Refused { retry_after } => {
                    self.0.memory.log_refusal(&self.0.label, bytes as u64);
                    return Err(Refusal::new(RefusalCause::NoMemory).retry_after(retry_after));
                }
                MemoryDecision::Ended => break,
            }
        }
        self.0.memory.log_refusal(&self.0.label, bytes as u64);
        let waited = RETRY_INTERVAL * MAX_BODY_ASKS;
        Err(Refusal::new(RefusalCause::NoMemory).retry_after(waited))
    }
}

/// Reserves the bytes of an answer that is read completely. The request has been sent to a
/// server, so that it can't be refused any more.
#[derive(Debug)]
pub struct AnswerReservation<'a>(&'a HeldBytes);

impl ByteReservation for AnswerReservation<'_> {
    type Refusal = std::convert::Infallible;

    /// Waits until the bytes are reserved. If the holder is ended, this waits until the
    /// caller's connection is closed, which drops the request.
    async fn reserve(&mut self, bytes: usize) -> Result<(), Self::Refusal> {
        loop {
            match self.0.take(bytes) {
                MemoryDecision::Granted => return Ok(()),
                MemoryDecision::Ended => std::future::pending().await,
                MemoryDecision::Wait | MemoryDecision::Refused { .. } => {
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            }
        }
    }
}
