//! The trace format and generators of traces.

mod arrivals;
mod event;
mod file;
mod generator;
mod mix;
mod preset;
mod prompt;

pub use event::{
    EventKind, FaultAction, FaultEvent, FaultTarget, LiveEvent, LotEvent, PlainEvent, TraceEvent,
};
pub use file::{TraceCustomer, TraceError, TraceFile};
pub use generator::generate_trace;
pub use mix::{
    BurstMix, CustomerMix, FaultMix, LiveMix, LotMix, MarkerMix, OverdriveMix, PlainMix, SizeRange,
    TraceMix,
};
pub use preset::{PRESET_NAMES, preset_mix};
pub use prompt::{EventPrompt, item_prompt, live_prompt};
