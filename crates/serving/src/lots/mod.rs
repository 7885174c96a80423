//! Lots: accepted once, kept in the store, run item by item, readable from any daemon.
//!
//! A daemon that callers reach accepts a lot by one conditional write and announces it to
//! the daemons that run lots ([`LotNotice`]). One of these claims it under its lease, runs
//! the items in slots that live requests leave free, and appends the results in groups.
//! Each of these writes takes effect only while the claim holds. Readers get results from
//! the store; a daemon caches what it has read, since results never change.
//!
//! docs/PLATFORM.md shows the keys and what each step costs.

mod accept;
mod candidates;
mod held_lot;
mod item_prompt;
mod item_run;
mod keys;
mod lot_cache;
mod notices;
mod peer_read;
mod read;
mod records;
mod retire;
mod sweep;
mod waiting;
mod worker;
mod writer;

pub use accept::{Submission, accept_lot};
pub use candidates::{LotCandidate, LotCandidates};
pub use lot_cache::{CopySource, LotCache};
pub use notices::{AssignedLot, LotNotice, LotNotices, LotProgress, LotStage, ReportBasis};
pub use peer_read::{LOT_PATH, lot_for_peer};
pub use read::{LotReader, answer_lot_request};
pub use retire::follow_retire_orders;
pub use sweep::{keys_to_sweep, sweep_lots};
pub use waiting::LedgerCache;
pub use worker::run_lots;
