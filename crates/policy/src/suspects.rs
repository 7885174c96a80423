//! Isolation of requests that crash the servers which run them.
//!
//! Every request in flight on a server that dies becomes a suspect. [`SuspectTable`]
//! ensures that a suspect runs at most once more in the whole fleet (its trial), as the
//! only suspect on its server, and that a second death blocks it on every daemon. Three
//! rules together bound the number of servers lost:
//!
//! 1. The daemon that detected the death reports it to all peers, and each answers
//!    whether a copy of the request runs there. From its answer on, a peer starts no
//!    further copy.
//! 2. No trial starts before every peer has answered and no copy runs anywhere.
//! 3. A trial requires a record that is unique in the platform and outlives the daemon
//!    that wrote it. [`TrialTracker`] keeps the same records in memory.
//!
//! See `docs/DESIGN.md` for the remaining risks.

mod entry;
mod exchange;
mod messages;
mod running;
mod suspect_table;
mod trial_tracker;
mod trials;

pub use messages::{
    DeathFact, DeathId, Fingerprint, NoticeAck, RunId, SuspectFact, SuspectNotice, SuspectStage,
    TrialAnswer, TrialEnd, TrialRecord, TrialRequest, TrialSettlement, TrialTicket,
};
pub use running::RunEnd;
pub use suspect_table::{Suspect, SuspectTable};
pub use trial_tracker::TrialTracker;
pub use trials::TrialStep;
