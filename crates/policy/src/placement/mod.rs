//! Which backend server a request goes to, and when it is rejected instead.
//!
//! Engines start requests in order of arrival and have no priorities, so a request that
//! waits in an engine can't be overtaken. The load that shaped these rules is a sudden
//! one: live work doubles within a moment and falls again seconds later, while lot
//! items hold the slots. Hence:
//!
//! - A live request goes to a server with a free slot, in its own zone if possible. Lot
//!   items count little, since they are preempted while the request is on its way.
//! - When all slots hold live work, it goes to the server where it is expected to start
//!   soonest, if that is within its objective. Otherwise it is rejected at once, with
//!   the time after which there should be capacity.
//! - A lot item starts only where slots are left over, and the newest items are
//!   preempted where live requests need their slots.
//! - A server that has just started gets few live requests and no items, from few daemons
//!   ([`ColdStartLimit`]). The servers of an evacuated zone get none.
//! - A server that fails requests of customers whose other requests succeed gets only trials,
//!   from requests that may run again ([`PlacementTable::choose_trial`]).
//!
//! [`PlacementTable`] counts this daemon's requests exactly and learns those of other
//! daemons from the reports that they send several times a second.

mod cold_start;
mod customer_outcomes;
mod failure_table;
mod home_set;
mod part_choice;
mod placement_table;
mod prompt_cache;
mod prompt_part;
mod server_choice;
mod server_entry;
mod server_failures;
mod server_listing;
mod server_load;
mod server_pace;
mod unproven_failures;

pub use cold_start::{ColdStartLimit, ColdTolerance};
pub use home_set::{HomePair, home_pairs};
pub use placement_table::{
    Placement, PlacementQuery, PlacementRefusal, PlacementTable, PreemptionOrder,
};
pub use prompt_cache::{PromptCacheSettings, PromptReading};
pub use prompt_part::PromptPart;
pub use server_failures::{AnswerEvidence, FailureCount, MAX_REPORTED_FAILURES, SuspicionChange};
pub use server_listing::ServerListing;
pub use server_load::{LoadShare, ServerOutcomeKind, SlotReport, WorkKind};
