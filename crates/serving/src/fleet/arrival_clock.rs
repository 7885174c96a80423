//! When a datagram came in that is read only now.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

/// How often a daemon looks at least whether a datagram waits to be read. It hears others
/// more often than that as a rule, and is woken up for nothing else.
pub const QUIET_LOOK: Duration = Duration::from_millis(150);

/// Tells when a datagram came in that is read only now.
///
/// A VM that stood still, or has no processor time, reads datagrams long after they
/// came in, and its queue keeps the oldest. Taken for news they have daemons heard that
/// are lost, and results denied that others have shown by now. A datagram came in after
/// the moment at which none waited, and while the daemon runs such moments are frequent.
#[derive(Clone, Copy, Debug)]
pub struct ArrivalClock {
    quiet_at: Timestamp,
}

impl ArrivalClock {
    /// A clock of a daemon that begins to listen.
    pub fn new(now: Timestamp) -> Self {
        ArrivalClock { quiet_at: now }
    }

    /// Notes that no datagram waits to be read.
    pub fn note_quiet(&mut self, now: Timestamp) {
        self.quiet_at = now;
    }

    /// The moment that counts for a datagram which is read now. It may have come in
    /// earlier by [`QUIET_LOOK`] at most.
    pub fn arrival(&self, now: Timestamp) -> Timestamp {
        now.min(self.quiet_at + QUIET_LOOK)
    }
}
