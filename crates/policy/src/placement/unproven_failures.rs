//! Failures of requests that weren't sent to another server.

use super::server_failures::UNPROVEN_MEMORY;
use crate::Timestamp;

/// The number of servers with unproven failures, and without any proof among them, from which
/// such failures count no more: servers that fail give proofs soon, since many requests may
/// run again, while those of a faulty customer succeed nowhere.
const MAX_UNPROVEN_SERVERS: usize = 4;

/// The failures of requests that weren't sent to another server, so that the server's fault
/// isn't proved.
#[derive(Clone, Debug, Default)]
pub(super) struct UnprovenFailures {
    /// The servers, with the times of their last unproven failures.
    servers: Vec<(u64, Timestamp)>,
    last_proof: Option<Timestamp>,
}

impl UnprovenFailures {
    /// Records that a request failed at one server and succeeded at another.
    pub(super) fn record_proof(&mut self, now: Timestamp) {
        self.last_proof = Some(now);
    }

    /// Records an unproven failure. Returns whether it counts against the server.
    pub(super) fn record(&mut self, server: u64, now: Timestamp) -> bool {
        self.servers
            .retain(|it| it.0 != server && now.since(it.1) < UNPROVEN_MEMORY);
        let counts = self.servers.len() < MAX_UNPROVEN_SERVERS || self.has_proof(now);
        self.servers.push((server, now));
        counts
    }

    /// Returns whether a server was proved to fail lately.
    pub(super) fn has_proof(&self, now: Timestamp) -> bool {
        let is_recent = |it: Timestamp| now.since(it) < UNPROVEN_MEMORY;
        self.last_proof.is_some_and(is_recent)
    }

    /// Returns whether a server has a recent unproven failure.
    pub(super) fn contains(&self, server: u64) -> bool {
        self.servers.iter().any(|it| it.0 == server)
    }
}
