//! Which items are retried, and which are given up.

use std::time::Duration;

use rand::Rng;

use crate::Timestamp;

/// The failed attempts of an item.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ItemAttempts {
    /// Runs that ended in a server's fault.
    pub faults: u32,
    /// Those of them that count against the item, since other items succeeded
    /// meanwhile.
    pub own_faults: u32,
    /// Runs that showed nothing of the item.
    pub inconclusive: u32,
    /// Whether a probe must find out if the server or the item caused the last fault.
    pub needs_probe: bool,
    /// Backend servers that crashed while it ran.
    pub crashes: u8,
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// It failed repeatedly while other items succeeded.
    FailsAlone,
    /// A second backend server crashed while it ran.
    CrashesServers,
}

/// What to do with an item after a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ItemRetryVerdict {
    /// Run it again, at this time at the earliest.
    Retry(Timestamp),
    /// Record an error as the item's result.
    GiveUp(GiveUpReason),
}

/// Distinguishes an item that can never succeed from a server's fault.
///
/// A fault counts against the item only if other items succeeded in the meantime. Where
/// there were none, as at the end of a lot, a probe is sent in place of the item's next
/// run: without it, a lot whose last item can never succeed would not end. While
/// nothing succeeds, the servers are at fault: the item waits, however long that takes,
/// and isn't failed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemRetryPolicy {
    /// The number of faults of its own at which an item is given up.
    pub max_own_faults: u32,
    /// How many other items must have succeeded since the item's last fault for the
    /// next one to count as its own.
    pub min_other_successes: u64,
    /// The number of crashes at which an item is given up.
    pub max_crashes: u8,
    /// The backoff after the first fault; it doubles with each.
    pub backoff: Duration,
    /// The longest backoff.
    pub max_backoff: Duration,
}

impl Default for ItemRetryPolicy {
    fn default() -> Self {
        ItemRetryPolicy {
            max_own_faults: 3,
            min_other_successes: 2,
            max_crashes: 2,
            backoff: Duration::from_millis(500),
            max_backoff: Duration::from_secs(30),
        }
    }
}

impl ItemRetryPolicy {
    /// Records a server's fault. `others_done` is the number of other items of the same
    /// model that succeeded since the item's run began.
    pub fn fault(
        &self,
        attempts: &mut ItemAttempts,
        others_done: u64,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> ItemRetryVerdict {
        attempts.faults += 1;
        attempts.needs_probe = others_done < self.min_other_successes;
        if !attempts.needs_probe {
            attempts.own_faults += 1;
        }
        self.verdict(attempts, now + self.backoff_after(attempts.faults, random))
    }

    /// Records a run that shows nothing of the item, and returns when it may run again.
    ///
    /// An item that comes at busy moments isn't at fault, whatever succeeds meanwhile.
    pub fn inconclusive(
        &self,
        attempts: &mut ItemAttempts,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> Timestamp {
        attempts.inconclusive += 1;
        now + self.backoff_after(attempts.inconclusive, random)
    }

    /// Decides on the last fault by whether a probe succeeded.
    pub fn probe(
        &self,
        attempts: &mut ItemAttempts,
        went_through: bool,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> ItemRetryVerdict {
        attempts.needs_probe = false;
        if went_through {
            attempts.own_faults += 1;
            return self.verdict(attempts, now);
        }
        ItemRetryVerdict::Retry(now + self.backoff_after(attempts.faults, random))
    }

    fn verdict(&self, attempts: &ItemAttempts, retry_at: Timestamp) -> ItemRetryVerdict {
        match attempts.own_faults >= self.max_own_faults {
            true => ItemRetryVerdict::GiveUp(GiveUpReason::FailsAlone),
            false => ItemRetryVerdict::Retry(retry_at),
        }
    }

    /// Records that a backend server crashed while the item ran on it.
    pub fn crash(
        &self,
        attempts: &mut ItemAttempts,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> ItemRetryVerdict {
        attempts.crashes = attempts.crashes.saturating_add(1);
        if attempts.crashes >= self.max_crashes {
            return ItemRetryVerdict::GiveUp(GiveUpReason::CrashesServers);
        }
        ItemRetryVerdict::Retry(now + self.backoff_after(1, random))
    }

    /// Returns a doubling backoff, randomized over its upper half so that the items of
    /// one outage don't all return at once.
    fn backoff_after(&self, faults: u32, random: &mut impl Rng) -> Duration {
        let doubled = self
            .backoff
            .saturating_mul(1 << faults.saturating_sub(1).min(16));
        doubled
            .min(self.max_backoff)
            .mul_f64(random.random_range(0.5..=1.0))
    }
}
