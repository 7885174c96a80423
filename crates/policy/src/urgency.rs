//! Classification of requests by urgency, which callers don't state.
//!
//! A request through the live interface ranks as a person's as long as its key sends no
//! more than persons could. Bulk work sent through that interface loses this rank only
//! for the requests beyond that limit. See `docs/DESIGN.md`.

mod key_traffic;
mod urgency_table;

pub use urgency_table::{CallTraits, CallerInterface, CallerKey, Urgency, UrgencyTable};
