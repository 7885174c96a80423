//! How daemons keep their views (local copies) of the operators' settings up to date.
//!
//! The platform charges each waiting watch as a read and scales more slowly than the
//! fleet, so only two daemons of each zone follow it. [`WatchPlan`] elects them without
//! coordination: every daemon ranks the members of its zone by the same score. The
//! other daemons request the settings from these two, and start to follow the platform,
//! in order of rank, when their view becomes old. See `docs/FRESHNESS.md`.
//!
//! On the users' platform one daemon of each zone watches the store. [`ViewLag`]
//! measures for how long a view has been behind and how many daemons query the store as
//! substitutes, [`SendBudget`] limits how many peers are sent a large view at once, and
//! [`PausedSources`] lists peers that temporarily get no requests. [`StoreContact`]
//! detects which calls that wait for a change may have been lost.

mod fleet_member;
mod freshness_settings;
mod passed_sources;
mod show_budget;
mod store_contact;
mod view_age;
mod view_lag;
mod view_offer;
mod watch_plan;

pub use fleet_member::{FleetMember, member_score};
pub use freshness_settings::FreshnessSettings;
pub use passed_sources::PausedSources;
pub use show_budget::SendBudget;
pub use store_contact::StoreContact;
pub use view_age::ViewAge;
pub use view_lag::ViewLag;
pub use view_offer::{OfferDecision, ViewOffer};
pub use watch_plan::WatchPlan;
