//! At-most-once execution: the record that must exist in the platform before a byte of
//! a request that is not idempotent may be sent.
//!
//! [`ClaimTracker`] decides which claims are written together and when, what an answer or
//! its loss means, and whether a request may be sent. A claim is never taken over: a
//! daemon that was lost right after its claim may have sent the request, and no other
//! daemon can tell. See `docs/DESIGN.md`.

mod claim_tracker;
mod entry;
mod messages;
mod writes;

pub use claim_tracker::ClaimTracker;
pub use messages::{
    AnswerRef, ClaimCause, ClaimChange, ClaimGroup, ClaimKey, ClaimRecord, ClaimRefusal,
    ClaimState, ClaimTicket, ClaimVerdict, GroupAnswer,
};
