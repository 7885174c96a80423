//! A model engine with continuous batching.
//!
//! [`EngineModel`] decides when each token is ready. It does no I/O and takes the present
//! time as an argument, so that a replay on virtual time drives the same code as the
//! process. [`EngineServer`] serves it over HTTP.

mod answer;
mod api;
mod cache_journal;
mod faults;
mod generate;
mod model;
mod orders;
mod prefix_cache;
mod prompt;
mod sequence;
mod server;
mod state;

pub use answer::answer_token;
pub use cache_journal::{CacheJournal, JournalOptions};
pub use faults::FaultSwitches;
pub use model::{EngineModel, EngineSettings, LoadReport, QueueFull};
pub use orders::{EngineOrder, OrderTracker, StaleFence};
pub use prefix_cache::{CacheChange, PrefixCache};
pub use prompt::{BLOCK_TOKENS, PromptBlocks, TOKEN_BYTES};
pub use sequence::{EngineEvent, EngineEventKind, EngineRequest, SequenceId};
pub use server::{EngineOptions, EngineServer};
