//! The faults that the platform stand-in injects.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

/// The writes that take effect but whose answers are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum LostAnswers {
    /// All writes if true, none if false.
    All(bool),
    /// The next writes, this many.
    Next(u32),
    /// Some writes, after others that are answered.
    Later {
        /// The number of writes that are answered first.
        answer: u32,
        /// The number of writes after them whose answers are lost.
        lose: u32,
    },
}

impl Default for LostAnswers {
    fn default() -> Self {
        LostAnswers::All(false)
    }
}

impl LostAnswers {
    /// Returns whether the answer of the next write is lost, and counts that write.
    pub fn take(&mut self) -> bool {
        match self {
            LostAnswers::All(all) => *all,
            LostAnswers::Next(0) => false,
            LostAnswers::Next(left) => {
                *left -= 1;
                true
            }
            LostAnswers::Later { answer: 0, lose } => {
                *self = LostAnswers::Next(*lose);
                self.take()
            }
            LostAnswers::Later { answer, .. } => {
                *answer -= 1;
                false
            }
        }
    }
}

/// The active faults.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSwitches {
    /// Every call fails without effect, and all open watches break.
    pub outage: bool,
    /// The delay before a call takes effect, in milliseconds. The call takes effect even
    /// if its caller has given up by then.
    #[serde(rename = "slow_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub slow: Duration,
    /// The writes that take effect but whose answers are lost.
    pub lose_answers: LostAnswers,
    /// Watches stay open but return no updates.
    pub hold_watches: bool,
    /// The age of the VM list when it is read, in milliseconds.
    #[serde(rename = "vm_lag_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub vm_lag: Duration,
}

/// A change to some of the switches; those that are `None` keep their values.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultChange {
    /// See [`FaultSwitches::outage`].
    pub outage: Option<bool>,
    /// See [`FaultSwitches::slow`].
    #[serde(rename = "slow_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub slow: Option<Duration>,
    /// See [`FaultSwitches::lose_answers`].
    pub lose_answers: Option<LostAnswers>,
    /// See [`FaultSwitches::hold_watches`].
    pub hold_watches: Option<bool>,
    /// See [`FaultSwitches::vm_lag`].
    #[serde(rename = "vm_lag_ms")]
    #[serde_as(as = "Option<DurationMilliSeconds<u64>>")]
    pub vm_lag: Option<Duration>,
}

impl FaultSwitches {
    /// Applies a change to the switches.
    pub fn change(&mut self, change: FaultChange) {
        self.outage = change.outage.unwrap_or(self.outage);
        self.slow = change.slow.unwrap_or(self.slow);
        self.lose_answers = change.lose_answers.unwrap_or(self.lose_answers);
        self.hold_watches = change.hold_watches.unwrap_or(self.hold_watches);
        self.vm_lag = change.vm_lag.unwrap_or(self.vm_lag);
    }
}
