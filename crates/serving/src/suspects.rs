//! Tracks suspects: requests that were in flight on a server that crashed.
//!
//! Now and then a request crashes every server that runs it, and its caller sends it
//! again, to any daemon. Unless daemons share what they see, such a request takes down
//! one server after another. Each daemon therefore reports to its peers how many servers
//! crashed on a request, and no daemon sends it any more once the sum of all reports
//! reaches a threshold.

use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

use comfreyramp_policy::{Timestamp, usage::PeerId};

use crate::fleet::SuspectCount;

/// A request that was in flight at this many crashes isn't sent any more. One or two may
/// be due to servers that crash for other reasons.
const CRASH_THRESHOLD: u32 = 3;
/// How long a crash counts. Servers need some seconds to restart, and callers retry
/// within a minute.
const CRASH_RETENTION: Duration = Duration::from_secs(60);
/// The maximum number of suspects in a daemon's own list and in each peer's report.
const MAX_SUSPECTS: usize = 64;

/// Returns a hash of customer, path and body, which identifies a request that is sent
/// again.
pub fn fingerprint(customer: &str, path: &str, body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (customer, path, body).hash(&mut hasher);
    hasher.finish()
}

#[derive(Clone, Copy, Debug)]
struct SuspectEntry {
    fingerprint: u64,
    crashes: u8,
    last_crash_at: Timestamp,
}

/// Suspects that this daemon saw and those that its peers reported.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    own: Vec<SuspectEntry>,
    received: Vec<(PeerId, SuspectEntry)>,
}

impl SuspectTracker {
    /// Records that a server broke off while it ran a request.
    pub fn record_crash(&mut self, fingerprint: u64, now: Timestamp) {
        self.own
            .retain(|it| now.since(it.last_crash_at) < CRASH_RETENTION);
        if let Some(entry) = self.own.iter_mut().find(|it| it.fingerprint == fingerprint) {
            entry.crashes = entry.crashes.saturating_add(1);
            entry.last_crash_at = now;
            return;
        }
        if self.own.len() >= MAX_SUSPECTS {
            self.own.remove(0);
        }
        self.own.push(SuspectEntry {
            fingerprint,
            crashes: 1,
            last_crash_at: now,
        });
    }

    /// Replaces the suspects of a peer by those of its latest report.
    pub fn receive(&mut self, peer: PeerId, counts: &[SuspectCount], now: Timestamp) {
        self.received
            .retain(|it| it.0 != peer && now.since(it.1.last_crash_at) < CRASH_RETENTION);
        let entries = counts.iter().take(MAX_SUSPECTS).map(|it| {
            let entry = SuspectEntry {
                fingerprint: it.fingerprint,
                crashes: it.crashes,
                last_crash_at: now,
            };
            (peer, entry)
        });
        self.received.extend(entries);
    }

    /// Forgets a request that was answered to its end. Peers that still report it take it
    /// back once it is answered there.
    pub fn clear(&mut self, fingerprint: u64) {
        self.own.retain(|it| it.fingerprint != fingerprint);
    }

    /// Whether a request must not be sent any more.
    pub fn is_suspect(&self, fingerprint: u64, now: Timestamp) -> bool {
        let received = self.received.iter().map(|it| &it.1);
        let same = self.own.iter().chain(received).filter(|it| {
            it.fingerprint == fingerprint && now.since(it.last_crash_at) < CRASH_RETENTION
        });
        same.map(|it| u32::from(it.crashes)).sum::<u32>() >= CRASH_THRESHOLD
    }

    /// Returns the suspects that this daemon saw, for its reports to peers.
    pub fn own_counts(&self, now: Timestamp) -> Vec<SuspectCount> {
        let recent = self
            .own
            .iter()
            .filter(|it| now.since(it.last_crash_at) < CRASH_RETENTION);
        recent
            .map(|it| SuspectCount {
                fingerprint: it.fingerprint,
                crashes: it.crashes,
            })
            .collect()
    }
}
