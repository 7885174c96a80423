//! The requests in flight on this daemon, by fingerprint.

use super::{Fingerprint, RunId};
use crate::{ServerKey, Timestamp};

/// How a run ended while its server stayed alive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEnd {
    /// The answer is complete.
    Finished,
    /// The run was cancelled, timed out or refused, so it proves nothing about the
    /// request.
    Stopped,
    /// No byte of the request was sent, so it can't crash the server.
    NotSent,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Running {
    pub(super) fingerprint: Fingerprint,
    pub(super) run: RunId,
    pub(super) server: ServerKey,
    pub(super) started_at: Timestamp,
}

/// The runs of this daemon, sorted by fingerprint and run.
#[derive(Clone, Debug, Default)]
pub(super) struct RunList {
    runs: Vec<Running>,
}

impl RunList {
    pub(super) fn insert(&mut self, running: Running) {
        let key = (running.fingerprint, running.run);
        let at = self
            .runs
            .partition_point(|it| (it.fingerprint, it.run) < key);
        self.runs.insert(at, running);
    }

    pub(super) fn remove(&mut self, fingerprint: Fingerprint, run: RunId) -> Option<Running> {
        let key = (fingerprint, run);
        let found = self
            .runs
            .binary_search_by_key(&key, |it| (it.fingerprint, it.run));
        found.ok().map(|at| self.runs.remove(at))
    }

    pub(super) fn of(&self, fingerprint: Fingerprint) -> &[Running] {
        let from = self.runs.partition_point(|it| it.fingerprint < fingerprint);
        let len = self.runs[from..].partition_point(|it| it.fingerprint == fingerprint);
        &self.runs[from..from + len]
    }

    pub(super) fn count_at(&self, server: ServerKey) -> usize {
        self.runs.iter().filter(|it| it.server == server).count()
    }

    /// Removes and returns all runs on `server`.
    pub(super) fn remove_server(&mut self, server: ServerKey) -> Vec<Running> {
        let on_server = |it: &Running| it.server == server;
        let gone = self.runs.iter().copied().filter(on_server).collect();
        self.runs.retain(|it| it.server != server);
        gone
    }
}
