//! The beginning of a line that is being read.

/// The length in bytes up to which a line is kept. An id and the size of a chunk are shorter.
const MAX_SHORT_LINE_BYTES: usize = 32;

/// A line that is being read, of which a short one is kept.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ShortLine {
    bytes: [u8; MAX_SHORT_LINE_BYTES],
    /// The length so far, also of a line that is longer than `bytes`.
    length: usize,
}

impl ShortLine {
    /// Appends a byte.
    pub(crate) fn push(&mut self, byte: u8) {
        if let Some(place) = self.bytes.get_mut(self.length) {
            *place = byte;
        }
        self.length += 1;
    }

    /// Returns the line, unless it is too long.
    pub(crate) fn text(&self) -> Option<&[u8]> {
        self.bytes.get(..self.length)
    }
}
