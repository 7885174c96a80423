//! Queues for live requests while the servers are full.
//!
//! The decisions are made by [`comfreyramp_policy::LiveQueue`] and
//! [`comfreyramp_policy::UrgencyTable`]; this module carries them out.
//! [`CallRank`] holds how urgent a request is, and [`StartQueues`] holds the
//! request until it may start. See docs/LIVE.md.

mod call_rank;
mod start_queues;

pub use call_rank::{CallRank, UrgencyRanker};
pub use start_queues::{StartQueues, run_start_queues};
