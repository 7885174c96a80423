//! Customers' rates counted by all daemons together, without a coordinator.
//!
//! Each daemon tells the others how many requests of each customer it has let
//! in since it started ([`UsageBook::own_counts`]). Everybody charges everybody's
//! requests to its own copy of the customer's [`UsageBucket`], so all copies run
//! nearly level, and a customer may spend its whole rate at any one daemon.
//!
//! What can go wrong is that a daemon doesn't hear of the others: behind a cut,
//! or in the time that a message takes. [`UsageBook`] then sets aside what the
//! silent daemons may be spending. docs/PLATFORM.md has the figures.

mod late_charges;
mod speak_schedule;
mod usage_book;
mod usage_bucket;

pub use speak_schedule::SpeakSchedule;
pub use usage_book::{CustomerLimit, PeerId, SpendingTimes, UsageBook, UsageCount};
pub use usage_bucket::UsageBucket;
