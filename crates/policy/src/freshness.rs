//! Who follows the operators' settings, whose word counts, and how old a view is.
//!
//! The platform counts a waiting watch as a read and grows more slowly than the
//! fleet, so in each zone only two daemons follow it. [`WatchPlan`] finds them
//! without talking: every daemon ranks the members of its zone by the same
//! score. The others ask these two, and step in by rank when the view they get
//! grows old. See `docs/FRESHNESS.md`.
//!
//! On the users' platform one daemon of each zone watches. [`ViewLag`] tells how long
//! a view has been behind and who stands in, [`ShowBudget`] how many are shown a large
//! view at once, and [`PassedSources`] whom not to ask for a while. [`StoreContact`] tells
//! which calls that wait for a change may have been lost.

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
pub use passed_sources::PassedSources;
pub use show_budget::ShowBudget;
pub use store_contact::StoreContact;
pub use view_age::ViewAge;
pub use view_lag::ViewLag;
pub use view_offer::{OfferVerdict, ViewOffer};
pub use watch_plan::WatchPlan;
