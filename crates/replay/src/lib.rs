//! Simulates a trace in one zone on virtual time.
//!
//! [`replay`] runs the routing, the bulk limiters and the lot ranking of the policy
//! library against the timing model of the engine stand-in: one zone, a few
//! daemons and servers, no sockets. A [`ZonePlan`] defines the zone, a
//! [`BulkPolicy`] defines what limits bulk work. Baselines are policies too, so
//! that results can be compared as ratios within one run. See `docs/DESIGN.md`.

mod bulk_state;
mod event_queue;
mod lot_queue;
mod plan;
mod reference;
mod result;
mod zone;

pub use plan::{BulkPolicy, ZonePlan};
pub use reference::{reference_mix, reference_trace};
pub use result::{CustomerResult, ReplayResult};
pub use zone::replay;
