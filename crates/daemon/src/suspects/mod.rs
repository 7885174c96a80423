//! Protection against requests that crash servers.
//!
//! A request that was in flight on a server that died is a suspect. It may run once
//! more, on a server without another suspect; that run is its trial. The decisions
//! are those of [`comfreyramp_policy::SuspectTable`], and this module carries them
//! out: [`SuspectManager`] tracks runs and records which servers died,
//! [`run_suspects`] exchanges facts about suspects with the other daemons, and
//! [`SuspectRecords`] keeps trials and facts in the platform's store. See
//! docs/LIVE.md.

mod death_check;
mod run_start;
mod suspect_manager;
mod suspect_records;
mod suspect_run;
mod suspect_sync;

pub use run_start::RunRequest;
pub use suspect_manager::SuspectManager;
pub use suspect_records::SuspectRecords;
pub use suspect_run::SuspectRun;
pub use suspect_sync::{NoSuspectPeers, SuspectPeers, run_suspects};
