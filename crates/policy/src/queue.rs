//! The queue of requests that wait while the servers are full.
//!
//! Backend servers start requests in order of arrival. So a request that can't start at
//! once waits here, where a more urgent one, or one of a customer that was served less,
//! can still overtake it. See `docs/DESIGN.md`.

mod live_queue;
mod rank;
mod share;

pub use live_queue::{LiveQueue, QueueCause, QueueRefusal, QueuedCall};
pub use rank::QueueRank;
