//! At-most-once execution: claims stored in the platform for calls that must
//! not run twice.
//!
//! The decisions are made by [`comfreyramp_policy::ClaimTracker`]; this module
//! carries them out. [`ClaimManager`] hands out claims, and [`run_claims`]
//! writes them and the ends of their calls. See docs/LIVE.md.

mod claim_grant;
mod claim_manager;
mod claim_records;
mod claim_writer;
mod stored_answer;

pub use claim_grant::ClaimGrant;
pub use claim_manager::{ClaimManager, ClaimOutcome};
pub use claim_records::ClaimRecords;
pub use claim_writer::run_claims;
pub use stored_answer::{AnswerCopy, MAX_STORED_ANSWER, StoredAnswer};
