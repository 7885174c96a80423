//! Which parts of prompts crash the servers that write an answer on them.
//!
//! Requests share parts of their prompts. Now and then one part crashes each server that
//! begins to write an answer on it, whatever else the request holds, so that no two of the
//! requests are alike. [`PartTable`] counts, for each part, the servers that were lost while
//! they began to answer a request with it, and blocks a part at [`CRASHES_TO_BLOCK`] of them.
//! One answer that is written to its end clears all parts of its request: those that sound
//! requests share are cleared all the time. `docs/LIVE.md` compares this with other ways.
//!
//! Daemons report what they know ([`PartReport`]), their own crashes and what others
//! reported, so that a daemon that starts learns it from any, and that what a lost daemon saw
//! is kept. A blocked part is tried again at growing intervals ([`trial_delay`]), by one
//! daemon at a time: servers may have been lost for another reason. Items of lots are owed,
//! whatever their parts: they try a blocked part at short intervals ([`PartTable::check_owed`]).

mod part_entry;
mod part_report;
mod part_table;
mod proven_parts;
mod trials;

pub use part_report::{PartReport, ReportedCrash};
pub use part_table::{CRASHES_TO_BLOCK, PartTable};
pub use trials::{trial_delay, trial_rank};

use serde::{Deserialize, Serialize};

/// Identifies a part of a prompt, for all customers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PartKey(pub u64);

/// Identifies one run of a server.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ServerRun(pub u32);

impl ServerRun {
    /// Returns the key of a run of the server whose name has the hash `server`.
    pub fn of(server: u64, incarnation: u64) -> Self {
        ServerRun(crate::hash::mix(server ^ crate::hash::mix(incarnation)) as u32)
    }
}
