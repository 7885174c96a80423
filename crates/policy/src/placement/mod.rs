//! Which backend server a request goes to, and when it is refused instead.
//!
//! Engines start requests in order of arrival and know no priorities, so what
//! waits there can't be overtaken. The load that decides is a step: live work
//! doubles within a moment and falls again seconds later, while lot items are in
//! the slots. Hence:
//!
//! - A live request goes to a server with a free slot, its own zone first. Lot
//!   items count little: they step aside while the request is on its way.
//! - When all slots hold live work, it goes to the server where it is expected to
//!   start soonest, if that is within its objective; else it is refused at once
//!   with the time after which there should be room.
//! - A lot item starts only where slots are left over, and the newest of them
//!   step aside where live requests need their slots.
//!
//! [`PlacementTable`] knows this daemon's requests exactly and those of other
//! daemons from what they tell several times a second.

mod home_set;
mod placement_table;
mod server_load;

pub use home_set::{HomePair, home_pairs};
pub use placement_table::{
    Placement, PlacementQuery, PlacementRefusal, PlacementTable, ServerListing, YieldOrder,
};
pub use server_load::{LoadShare, ServerOutcomeKind, SlotReport, WorkKind};
