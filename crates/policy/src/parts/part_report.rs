//! What a daemon reports of a part that is suspected.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{PartKey, ServerRun};
use crate::Timestamp;

/// The unit of reported ages.
const AGE_UNIT: Duration = Duration::from_millis(10);

/// A crash in a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The server that was lost.
    pub server: ServerRun,
    /// The time since then, in units of 10 ms.
    pub age: u16,
    /// Whether crashes at about the same time count as this one.
    pub is_group: bool,
}

/// What a daemon knows of a part that is suspected. Ages are in units of 10 ms; the longest
/// one stands for all beyond it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PartKey,
    /// The crashes since an answer was last written to its end.
    pub crashes: Vec<ReportedCrash>,
    /// The age of the last answer that was written to its end, if there was any.
    pub finished: Option<u16>,
    /// The age of the last request with the part.
    pub seen: u16,
    /// How often the part was tried since it was blocked, and crashed a server.
    pub trials: u8,
    /// The age of the last trial.
    pub tried: Option<u16>,
}

pub(super) fn age_of(at: Timestamp, now: Timestamp) -> u16 {
    let units = now.since(at).as_millis() / AGE_UNIT.as_millis();
    u16::try_from(units).unwrap_or(u16::MAX)
}

pub(super) fn moment_of(age: u16, now: Timestamp) -> Timestamp {
    now - AGE_UNIT * u32::from(age)
}
