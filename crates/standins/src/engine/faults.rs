//! The faults that a test can switch on while the engine runs.

use serde::{Deserialize, Serialize};

/// The body of `PUT /stand-in/faults`; a field that is left out is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitches {
    /// The factor by which steps take longer.
    pub slow: f64,
    /// All requests are rejected with 503.
    pub refuse: bool,
    /// Requests are read but never answered.
    pub hang: bool,
    /// The number of next requests that fail with 500 after they were read.
    pub fail_next: u32,
    /// The number of tokens after which answers are cut off without a proper end.
    pub break_stream_after: Option<u32>,
}

impl Default for FaultSwitches {
    fn default() -> Self {
        FaultSwitches {
            slow: 1.0,
            refuse: false,
            hang: false,
            fail_next: 0,
            break_stream_after: None,
        }
    }
}
