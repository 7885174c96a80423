//! Counts the bytes that the daemon holds for callers, and closes the connections of the
//! readers that `policy::memory` ends.

mod held_bytes;
mod held_data;
mod held_memory;
mod held_stream;
mod request_body;

pub use held_bytes::HeldBytes;
pub use held_data::HeldData;
pub use held_memory::{CallerConnection, HeldMemory, HolderLabel};
pub use held_stream::HeldStream;
pub use request_body::{HeldBody, read_lot_body, read_request_body};
