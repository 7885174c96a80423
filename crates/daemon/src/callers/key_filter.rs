//! Prevents a caller's key from being streamed to a backend server.

/// Forwards a stream as long as it doesn't contain the key.
///
/// The key may span two pieces. The end of a piece that could be the beginning
/// of the key is held back until the next piece decides, so that the backend
/// server never receives even a part of the key.
#[derive(Debug)]
pub struct KeyFilter<'a> {
    key: &'a [u8],
    held: Vec<u8>,
}

/// The error for a stream that contains the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the stream contains the key")]
pub struct KeyFound;

impl<'a> KeyFilter<'a> {
    /// Creates a filter for one stream.
    pub fn new(key: &'a str) -> Self {
        KeyFilter {
            key: key.as_bytes(),
            held: Vec::new(),
        }
    }

    /// Adds the next piece and returns the bytes that may be forwarded.
    pub fn push(&mut self, piece: &[u8]) -> Result<Vec<u8>, KeyFound> {
        self.held.extend_from_slice(piece);
        if self.held.windows(self.key.len()).any(|it| it == self.key) {
            return Err(KeyFound);
        }
        let max_held = self.held.len().min(self.key.len() - 1);
        let held_back = (0..=max_held)
            .rev()
            .find(|&it| self.held.ends_with(&self.key[..it]))
            .unwrap_or_default();
        let held_back = self.held.split_off(self.held.len() - held_back);
        Ok(std::mem::replace(&mut self.held, held_back))
    }

    /// Returns the bytes that are still held back, once the stream has ended.
    pub fn finish(self) -> Vec<u8> {
        self.held
    }
}
