//! Recognizes chunks that the head of a message doesn't declare.

use crate::{BodyFraming, short_line::ShortLine};

/// Looks for a whole chunk, by section 7.1 of RFC 9112, at the beginning of a body that ends
/// with its connection.
///
/// A field may have any name, so that a head whose `transfer-encoding` is misspelt is valid,
/// and its body seems to hold the sizes of its chunks. A body that isn't sent in chunks
/// practically never has a line end just where its first line, read as a size, says so.
///
/// ```
/// use comfreyramp_http::ChunkScanner;
///
/// let mut scanner = ChunkScanner::default();
/// scanner.push(b"5\r\nab");
/// assert!(!scanner.has_chunk());
/// scanner.push(b"cde\r\n");
/// assert!(scanner.has_chunk());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct ChunkScanner {
    place: ChunkPlace,
}

/// What is read next of the first chunk.
#[derive(Clone, Copy, Debug)]
enum ChunkPlace {
    SizeLine(ShortLine),
    /// The number of bytes before the line end behind the data.
    Data(u64),
    LineFeed,
    /// Whether the body begins with a chunk.
    Known(bool),
}

impl Default for ChunkPlace {
    fn default() -> Self {
        ChunkPlace::SizeLine(ShortLine::default())
    }
}

impl ChunkScanner {
    /// Returns whether a complete body with this framing begins with a whole chunk that its
    /// head doesn't declare. Only a body that ends with its connection can.
    pub fn finds_chunk(framing: BodyFraming, body: &[u8]) -> bool {
        let mut scanner = ChunkScanner::default();
        if framing == BodyFraming::ConnectionClose {
            scanner.push(body);
        }
        scanner.has_chunk()
    }

    /// Appends received bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while let Some((&byte, rest)) = bytes.split_first() {
            self.place = match self.place {
                ChunkPlace::Known(_) => return,
                ChunkPlace::Data(left @ 1..) => {
                    let skipped = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    bytes = &bytes[skipped..];
                    self.place = ChunkPlace::Data(left - skipped as u64);
                    continue;
                }
                ChunkPlace::Data(0) if byte == b'\r' => ChunkPlace::LineFeed,
                ChunkPlace::LineFeed => ChunkPlace::Known(byte == b'\n'),
                ChunkPlace::Data(0) => ChunkPlace::Known(false),
                ChunkPlace::SizeLine(mut line) => {
                    line.push(byte);
                    match line.text().map(|it| it.strip_suffix(b"\r\n")) {
                        Some(Some(text)) => {
                            chunk_size(text).map_or(ChunkPlace::Known(false), ChunkPlace::Data)
                        }
                        Some(None) => ChunkPlace::SizeLine(line),
                        None => ChunkPlace::Known(false),
                    }
                }
            };
            bytes = rest;
        }
    }

    /// Returns whether the body begins with a whole chunk.
    pub fn has_chunk(&self) -> bool {
        matches!(self.place, ChunkPlace::Known(true))
    }
}

/// Returns the size that the first line of a chunk states, without its line end and extensions.
pub(crate) fn chunk_size(line: &[u8]) -> Option<u64> {
    let size = line.split(|it| *it == b';').next()?.trim_ascii_end();
    if !size.iter().all(u8::is_ascii_hexdigit) {
        return None;
    }
    u64::from_str_radix(std::str::from_utf8(size).ok()?, 16).ok()
}
