//! When the bytes that a server sends are no answer.

use std::time::Duration;

use crate::Timestamp;

/// The longest pause between two arrivals of bytes that counts. A server that is silent isn't
/// one that sends bytes in vain: its network or its load may hold it up.
const MAX_COUNTED_PAUSE: Duration = Duration::from_millis(250);

/// What a server may send that brings its answer no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceLimits {
    /// The number of bytes.
    pub bytes: usize,
    /// How long such bytes may go on arriving.
    pub time: Duration,
}

/// A server has sent more bytes than permitted that brought its answer no further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the server sends bytes that are no answer")]
pub struct NoAnswer;

/// Counts the bytes of an answer since it was last brought further, such as by a complete
/// event. A faulty server may send bytes that are no answer until its connection is closed.
///
/// ```
/// use std::time::Duration;
///
/// use comfreyramp_policy::{AnswerPace, NoAnswer, PaceLimits, Timestamp};
///
/// let limits = PaceLimits {
///     bytes: 100,
///     time: Duration::from_secs(1),
/// };
/// let mut pace = AnswerPace::new(limits);
/// assert_eq!(pace.receive(80, false, Timestamp::ZERO), Ok(()));
/// assert_eq!(pace.receive(80, true, Timestamp::ZERO), Ok(()));
/// assert_eq!(pace.receive(101, false, Timestamp::ZERO), Err(NoAnswer));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct AnswerPace {
    limits: PaceLimits,
    bytes: usize,
    time: Duration,
    received_at: Option<Timestamp>,
}

impl AnswerPace {
    /// Starts with an answer of which nothing has been received.
    pub fn new(limits: PaceLimits) -> Self {
        AnswerPace {
            limits,
            bytes: 0,
            time: Duration::ZERO,
            received_at: None,
        }
    }

    /// Records bytes that were received at `now`, and whether they brought the answer further.
    ///
    /// # Errors
    ///
    /// Fails once the server has sent too many bytes, or for too long, in vain.
    pub fn receive(
        &mut self,
        bytes: usize,
        advances: bool,
        now: Timestamp,
    ) -> Result<(), NoAnswer> {
        let before = self.received_at.replace(now);
        if advances {
            self.bytes = 0;
            self.time = Duration::ZERO;
            return Ok(());
        }
        self.bytes += bytes;
        let pause = before.map_or(Duration::ZERO, |it| now.since(it));
        self.time += pause.min(MAX_COUNTED_PAUSE);
        match self.bytes > self.limits.bytes || self.time > self.limits.time {
            true => Err(NoAnswer),
            false => Ok(()),
        }
    }
}
