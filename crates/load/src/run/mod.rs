//! Plays a trace against a fleet over HTTP.

mod call_sender;
mod engine_logs;
mod event_stream;
mod faults;
mod item_tally;
mod live;
mod lot;
mod lot_client;
mod plain;
mod player;
mod progress;
mod response_reader;
mod targets;

pub use event_stream::EventStream;
pub use item_tally::ItemTally;
pub use player::{RunOptions, play_trace};
pub use targets::RunTargets;
