//! The state of one fingerprint in a daemon's table of suspects.

use std::time::Duration;

use super::running::Running;
use super::{DeathFact, DeathId, Fingerprint, SuspectFact, SuspectStage, TrialRequest};
use crate::{DaemonId, ServerKey, Timestamp};

/// Detections of a server's death within this time count as one death, since daemons
/// detect it at different times, unless the server was restarted in between.
const SAME_DEATH_WINDOW: Duration = Duration::from_secs(10);

/// The minimum time that a server takes to restart. A run that began later than this
/// after a death ran on the restarted server. It must exceed the delivery time of
/// messages, which makes deaths appear later than they were.
const MIN_RESTART_TIME: Duration = Duration::from_secs(1);

/// The number of deaths that block a fingerprint.
const DEATHS_TO_BLOCK: usize = 2;

/// Is added to the times of deaths: others report of deaths before this daemon's start, where
/// its clock begins. It exceeds the age of any report and the duration of the run before.
const HISTORY: Duration = Duration::from_secs(2 * 24 * 3600);

/// The death of a server. Its times are later by [`HISTORY`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Death {
    pub(super) id: DeathId,
    pub(super) server: ServerKey,
    seen_at: Timestamp,
    run_started_at: Timestamp,
}

/// The state of a suspect's trial on this daemon. The trial is the one further run that
/// a suspect may have.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Trial {
    #[default]
    Idle,
    /// The trial has been requested.
    Asked {
        ask: TrialRequest,
        sent_at: Timestamp,
    },
    /// The trial has been granted and may start until `until`.
    Granted { ask: TrialRequest, until: Timestamp },
    /// The trial is running.
    Running { ask: TrialRequest },
    /// The trial was stopped; its server may still die of it.
    Stopped { ask: TrialRequest, since: Timestamp },
    /// Another daemon holds the trial, or the records are unavailable; a new request is
    /// useless before `until`.
    HeldElsewhere { until: Timestamp },
}

impl Trial {
    /// Returns the trial if the suspect has started to run in it.
    pub(super) fn started(&self) -> Option<TrialRequest> {
        match *self {
            Trial::Running { ask } | Trial::Stopped { ask, .. } => Some(ask),
            _ => None,
        }
    }
}

/// A peer that has to acknowledge a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct PendingPeer {
    pub(super) peer: DaemonId,
    pub(super) sent_at: Option<Timestamp>,
    /// Whether the peer reported that a copy runs there, so that it is notified again.
    pub(super) running: bool,
}

#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub(super) fingerprint: Fingerprint,
    pub(super) deaths: Vec<Death>,
    pub(super) blocked: bool,
    /// Whether a run of the fingerprint finished after the deaths.
    pub(super) cleared: bool,
    pub(super) until: Timestamp,
    pub(super) trial: Trial,
    /// The peers that haven't answered yet or run a copy.
    pub(super) pending_peers: Vec<PendingPeer>,
    pub(super) notified_at: Timestamp,
    /// Whether the block has yet to be written to the platform.
    pub(super) unstored: bool,
    /// Whether this daemon detected a death or a finished run, so that it notifies peers
    /// that join.
    pub(super) originated_here: bool,
}

impl Entry {
    pub(super) fn new(fingerprint: Fingerprint, until: Timestamp) -> Self {
        Entry {
            fingerprint,
            deaths: Vec::new(),
            blocked: false,
            cleared: false,
            until,
            trial: Trial::Idle,
            pending_peers: Vec::new(),
            notified_at: Timestamp::ZERO,
            unstored: false,
            originated_here: false,
        }
    }

    pub(super) fn stage(&self) -> SuspectStage {
        if self.blocked {
            SuspectStage::Blocked
        } else if self.cleared {
            SuspectStage::Cleared
        } else {
            SuspectStage::Suspected
        }
    }

    /// Adds a death unless it is known, and returns whether it is new.
    pub(super) fn add_death(&mut self, death: Death) -> bool {
        if self.knows_death(&death) {
            return false;
        }
        if self.cleared {
            // The suspect has been cleared of the earlier deaths.
            self.cleared = false;
            self.deaths.clear();
        }
        self.deaths.push(death);
        self.blocked |= self.deaths.len() >= DEATHS_TO_BLOCK;
        true
    }

    pub(super) fn knows_death(&self, death: &Death) -> bool {
        self.deaths.iter().any(|it| {
            let apart = it.seen_at.since(death.seen_at) + death.seen_at.since(it.seen_at);
            let overlap = it.run_started_at <= death.seen_at + MIN_RESTART_TIME
                && death.run_started_at <= it.seen_at + MIN_RESTART_TIME;
            let same = it.server == death.server && apart < SAME_DEATH_WINDOW && overlap;
            same || it.id == death.id
        })
    }

    /// Returns whether a run was ended by one of the known deaths.
    pub(super) fn was_ended(&self, running: &Running) -> bool {
        let ended =
            |it: &Death| it.server == running.server && running.started_at + HISTORY <= it.seen_at;
        self.deaths.iter().any(ended)
    }

    /// Returns whether the fingerprint is cleared and needs no further action.
    pub(super) fn is_done(&self) -> bool {
        let idle = matches!(self.trial, Trial::Idle | Trial::HeldElsewhere { .. });
        self.cleared && self.pending_peers.is_empty() && idle
    }

    /// Returns whether a peer hasn't answered yet.
    pub(super) fn awaits_answer(&self) -> bool {
        self.pending_peers.iter().any(|it| !it.running)
    }

    /// Ends a trial that this daemon requested or started, and returns it so that it
    /// can be settled.
    pub(super) fn take_trial(&mut self) -> Option<TrialRequest> {
        match std::mem::take(&mut self.trial) {
            Trial::Asked { ask, .. }
            | Trial::Granted { ask, .. }
            | Trial::Running { ask }
            | Trial::Stopped { ask, .. } => Some(ask),
            Trial::Idle | Trial::HeldElsewhere { .. } => None,
        }
    }

    pub(super) fn notify_peers(&mut self, peers: &[DaemonId], now: Timestamp) {
        self.notified_at = now;
        self.pending_peers = peers
            .iter()
            .map(|&peer| PendingPeer {
                peer,
                sent_at: None,
                running: false,
            })
            .collect();
    }

    pub(super) fn fact(&self, now: Timestamp) -> SuspectFact {
        SuspectFact {
            fingerprint: self.fingerprint,
            stage: self.stage(),
            deaths: self
                .deaths
                .iter()
                .map(|it| DeathFact {
                    id: it.id,
                    server: it.server,
                    age: (now + HISTORY).since(it.seen_at),
                    ran: it.seen_at.since(it.run_started_at),
                })
                .collect(),
            lifetime: self.until.since(now),
        }
    }
}

impl Death {
    /// Records that a server died now while it ran a request.
    pub(super) fn of_run(running: &Running, id: DeathId, now: Timestamp) -> Self {
        Death {
            id,
            server: running.server,
            seen_at: now + HISTORY,
            run_started_at: running.started_at + HISTORY,
        }
    }

    pub(super) fn from_fact(fact: &DeathFact, now: Timestamp) -> Self {
        let seen_at = now + HISTORY - fact.age;
        Death {
            id: fact.id,
            server: fact.server,
            seen_at,
            run_started_at: seen_at - fact.ran,
        }
    }
}
