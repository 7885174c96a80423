//! Customers' rates, enforced by all daemons together without a coordinator.
//!
//! Each daemon reports to the others how many requests of each customer it has admitted
//! since it started ([`UsageTracker::own_counts`]). Every daemon charges these requests to
//! its own copy of the customer's [`UsageBucket`], so all copies stay nearly level, and
//! a customer may spend its whole rate at any one daemon.
//!
//! The copies drift apart when a daemon receives no reports, because of a network
//! partition, or while a report is in transit. [`UsageTracker`] then reserves what the
//! silent daemons may be spending. docs/PLATFORM.md has the figures.

mod customer_usage;
mod earlier_charges;
mod late_charges;
mod peer_shares;
mod peer_usage;
mod rate_tolerance;
mod speak_schedule;
mod usage_book;
mod usage_bucket;
mod usage_count;

pub use peer_usage::PeerIncarnation;
pub use rate_tolerance::RateTolerance;
pub use speak_schedule::ReportSchedule;
pub use usage_book::UsageTracker;
pub use usage_bucket::UsageBucket;
pub use usage_count::{CustomerLimit, PeerId, SpendingTimes, UsageCount};
