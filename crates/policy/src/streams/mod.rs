//! At which software version a stream may go on, and which daemons know it.
//!
//! Servers of several software versions serve side by side, and what two versions write
//! doesn't fit together. A stream that broke off goes on only at the [`SoftwareKey`] that
//! began it. The caller that takes it up, at any daemon, names only its own request, so the
//! daemon that begins a stream tells a few others, the stream's keepers
//! ([`choose_keepers`]), before the caller has the first event. Each keeps what it was told
//! in an [`OriginTable`]. `docs/DESIGN.md` compares this with other ways.

mod keepers;
mod origin_table;
mod stream_keys;

pub use keepers::{KeeperCandidate, KeeperCounts, choose_keepers};
pub use origin_table::{OriginTable, StreamOrigin};
pub use stream_keys::{SoftwareKey, StreamKey};
