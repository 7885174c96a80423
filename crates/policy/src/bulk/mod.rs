//! How much bulk work a backend server gets beside live work.
//!
//! Engines have no priorities, so bulk work is held back here. Each server has one
//! *home* daemon through which all its bulk work passes; that daemon keeps a
//! [`BulkLimiter`] for it. The limiter keeps capacity free for the live requests that will
//! arrive before it can react, and its [`SlotLimit`] lowers the limit when live callers
//! are slowed down all the same. See `docs/DESIGN.md`.

mod arrival_rate;
mod bulk_gate;
mod slot_limit;

pub use arrival_rate::ArrivalRate;
pub use bulk_gate::{BulkLimiter, BulkLimiterTiming};
pub use slot_limit::{AdditiveLimit, ChokeCreepLimit, FixedLimit, SlotLimit};
