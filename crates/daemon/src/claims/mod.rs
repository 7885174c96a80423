//! At most once: claims kept in the platform for calls that must not run twice.
//!
//! The decisions are those of [`comfreyramp_policy::ClaimTracker`]. Here is what
//! carries them out: [`ClaimKeeper`] hands out claims, [`run_claims`] writes
//! them and their ends. See docs/LIVE.md.

mod claim_grant;
mod claim_keeper;
mod claim_records;
mod claim_writer;
mod stored_answer;

pub use claim_grant::ClaimGrant;
pub use claim_keeper::{ClaimKeeper, ClaimOutcome};
pub use claim_records::ClaimRecords;
pub use claim_writer::run_claims;
pub use stored_answer::{ANSWER_KEPT, AnswerCopy, StoredAnswer};
