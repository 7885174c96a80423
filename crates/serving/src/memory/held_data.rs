//! Bytes of an answer that its caller hasn't taken.

use std::rc::Rc;

use bytes::{Buf, Bytes};

use super::HeldBytes;

/// Bytes of an answer, counted until the last of them has been written to the caller's
/// socket. hyper keeps them in its write queue until then.
#[derive(Debug)]
pub struct HeldData {
    bytes: Bytes,
    /// The holder and the number of its bytes that this returns when it is dropped.
    held: Option<(Rc<HeldBytes>, usize)>,
}

impl HeldData {
    /// Returns bytes whose holder is dropped with them.
    pub fn whole(bytes: Bytes, held: HeldBytes) -> Self {
        HeldData {
            bytes,
            held: Some((Rc::new(held), 0)),
        }
    }

    /// Returns a part of an answer, all bytes of which are the holder's.
    pub(super) fn part(bytes: Bytes, held: &Rc<HeldBytes>) -> Self {
        let counted = bytes.len();
        HeldData {
            bytes,
            held: Some((held.clone(), counted)),
        }
    }

    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether there are no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for HeldData {
    /// Returns bytes that aren't counted.
    fn from(bytes: Bytes) -> Self {
        HeldData { bytes, held: None }
    }
}

impl Buf for HeldData {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
        if let Some((held, _)) = &self.held {
            held.note_progress();
        }
    }
}

impl Drop for HeldData {
    fn drop(&mut self) {
        if let Some((held, counted)) = &self.held
            && *counted > 0
        {
            held.give_back(*counted);
        }
    }
}
