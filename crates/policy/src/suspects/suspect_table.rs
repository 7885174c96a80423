//! The suspects that a daemon knows.

use std::time::Duration;

use super::entry::{Death, Entry, Trial};
use super::running::{RunList, Running};
use super::{
    DeathId, Fingerprint, NoticeAck, RunEnd, RunId, SuspectFact, SuspectNotice, SuspectStage,
    TrialEnd, TrialSettlement,
};
use crate::{DaemonId, Incarnation, ServerKey, SuspectVerdict, Timestamp};

/// How long a fingerprint stays suspected or blocked.
pub(super) const SUSPECT_LIFETIME: Duration = Duration::from_secs(24 * 3600);

/// The delay after which a caller may retry while its request runs in a trial or waits
/// for the peers.
pub(super) const TRIAL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The delay after which a notice is resent to a peer that hasn't answered.
const RESEND_INTERVAL: Duration = Duration::from_millis(200);

/// How long a server must survive a stopped trial for the trial to count as harmless.
const SURVIVAL_WINDOW: Duration = Duration::from_secs(10);

/// The maximum number of entries; beyond it, those that expire first are removed.
const MAX_ENTRIES: usize = 65_536;

/// A request that was in flight on a server that died.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// The run that was interrupted.
    pub run: RunId,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Whether the request may run again.
    pub verdict: SuspectVerdict,
}

/// The suspects that a daemon knows, and its requests in flight.
#[derive(Clone, Debug, Default)]
pub struct SuspectTable {
    pub(super) incarnation: Incarnation,
    pub(super) runs: RunList,
    /// Sorted by fingerprint.
    pub(super) entries: Vec<Entry>,
    pub(super) peers: Vec<DaemonId>,
    pub(super) settlements: Vec<TrialSettlement>,
    pub(super) trial_requests: u64,
    detections: u64,
}

impl SuspectTable {
    /// Creates an empty table for a process that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        SuspectTable {
            incarnation,
            ..SuspectTable::default()
        }
    }

    /// Sets the peers that sent a message recently. They are notified of suspects, and
    /// no trial starts before they have answered, so a peer that has been unreachable
    /// for some seconds has to be left out. Peers that join or return are notified of
    /// the deaths detected here.
    pub fn set_peers(&mut self, peers: &[DaemonId]) {
        let known = std::mem::replace(&mut self.peers, peers.to_vec());
        for entry in &mut self.entries {
            entry.pending_peers.retain(|it| peers.contains(&it.peer));
            if !entry.originated_here {
                continue;
            }
            for &peer in peers.iter().filter(|it| !known.contains(it)) {
                entry.pending_peers.push(super::entry::PendingPeer {
                    peer,
                    sent_at: None,
                    running: false,
                });
            }
        }
    }

    /// Returns whether a request may run.
    pub fn verdict(&self, fingerprint: Fingerprint, now: Timestamp) -> SuspectVerdict {
        let Some(entry) = self.entry(fingerprint) else {
            return SuspectVerdict::Clear;
        };
        match (entry.stage(), entry.trial) {
            _ if entry.until <= now => SuspectVerdict::Clear,
            (SuspectStage::Cleared, _) => SuspectVerdict::Clear,
            (SuspectStage::Blocked, _) => SuspectVerdict::Blocked(entry.until.since(now)),
            (_, Trial::HeldElsewhere { until }) if now < until => {
                SuspectVerdict::Blocked(until.since(now))
            }
            (_, Trial::Idle | Trial::HeldElsewhere { .. }) => SuspectVerdict::NeedsTrial,
            _ => SuspectVerdict::Blocked(TRIAL_RETRY_AFTER),
        }
    }

    /// Records the start of a run if its fingerprint is clear. Otherwise nothing may be
    /// sent, and the verdict says why.
    ///
    /// It has to be called before the first byte is sent, under the same lock as
    /// [`apply_notice`](Self::apply_notice): a copy started after a peer was notified
    /// that none runs here could cost a third server.
    pub fn begin(
        &mut self,
        fingerprint: Fingerprint,
        run: RunId,
        server: ServerKey,
        now: Timestamp,
    ) -> SuspectVerdict {
        let verdict = self.verdict(fingerprint, now);
        if verdict == SuspectVerdict::Clear {
            self.runs.insert(Running {
                fingerprint,
                run,
                server,
                started_at: now,
            });
        }
        verdict
    }

    /// Returns the server on which a copy of the request runs at present. A further
    /// copy should go to the same server, so that copies sent at once crash only one
    /// server.
    pub fn runs_on(&self, fingerprint: Fingerprint) -> Option<ServerKey> {
        self.runs.of(fingerprint).first().map(|it| it.server)
    }

    /// Records the end of a run whose server stayed alive.
    pub fn end(&mut self, fingerprint: Fingerprint, run: RunId, end: RunEnd, now: Timestamp) {
        if self.runs.remove(fingerprint, run).is_none() {
            return;
        }
        let Ok(at) = self.position(fingerprint) else {
            return;
        };
        let entry = &mut self.entries[at];
        match (end, entry.trial) {
            (RunEnd::Finished, _) if !entry.blocked => {
                entry.cleared = true;
                entry.originated_here = true;
                entry.notify_peers(&self.peers, now);
                if let Some(ask) = entry.take_trial() {
                    let end = TrialEnd::Released;
                    self.settlements.push(TrialSettlement { ask, end });
                }
            }
            (RunEnd::Stopped, Trial::Running { ask }) => {
                entry.trial = Trial::Stopped { ask, since: now };
            }
            (RunEnd::NotSent, Trial::Running { ask }) => {
                entry.trial = Trial::Idle;
                let end = TrialEnd::Released;
                self.settlements.push(TrialSettlement { ask, end });
            }
            _ => {}
        }
    }

    /// Records the death of a server. Everything in flight on it becomes a suspect, and
    /// the peers have to be notified: see [`notices`](Self::notices).
    pub fn server_died(&mut self, server: ServerKey, now: Timestamp) -> Vec<Suspect> {
        let gone = self.runs.remove_server(server);
        let mut stopped = Vec::new();
        for entry in &self.entries {
            // A trial that was stopped shortly before the death isn't running any more, but may
            // still have caused it.
            if let Trial::Stopped { ask, since } = entry.trial
                && ask.server == server
            {
                stopped.push(Running {
                    fingerprint: entry.fingerprint,
                    run: RunId::default(),
                    server,
                    started_at: since,
                });
            }
        }
        for running in gone.iter().chain(&stopped) {
            self.add_death(running, now);
        }
        gone.into_iter()
            .map(|it| Suspect {
                run: it.run,
                fingerprint: it.fingerprint,
                verdict: self.verdict(it.fingerprint, now),
            })
            .collect()
    }

    fn add_death(&mut self, running: &Running, now: Timestamp) {
        let at = self.insert(running.fingerprint, now + SUSPECT_LIFETIME);
        let entry = &mut self.entries[at];
        self.detections += 1;
        let id = DeathId {
            seen_by: self.incarnation,
            number: self.detections,
        };
        let death = Death::of_run(running, id, now);
        let mut changed = entry.add_death(death);
        if let Some(ask) = entry.trial.started()
            && ask.server == running.server
        {
            changed = true;
            entry.blocked = true;
            entry.trial = Trial::Idle;
            let end = TrialEnd::Died;
            self.settlements.push(TrialSettlement { ask, end });
        }
        if changed {
            entry.until = now + SUSPECT_LIFETIME;
            entry.originated_here = true;
            entry.unstored = entry.blocked;
            entry.notify_peers(&self.peers, now);
        }
    }

    /// Returns the blocks that originated here since the last call, to be stored in the
    /// platform for their lifetime. When all daemons are replaced one after the other,
    /// peers pass on what they know; when all are lost at once, only the platform still
    /// has it.
    pub fn take_blocks(&mut self, now: Timestamp) -> Vec<SuspectFact> {
        let unstored = self.entries.iter_mut().filter(|it| it.unstored);
        unstored
            .map(|entry| {
                entry.unstored = false;
                entry.fact(now)
            })
            .collect()
    }

    /// Returns the notices to send now, one for each peer to be notified.
    pub fn notices(&mut self, now: Timestamp) -> Vec<(DaemonId, SuspectNotice)> {
        let mut notices: Vec<(DaemonId, SuspectNotice)> = Vec::new();
        for entry in &mut self.entries {
            if entry.pending_peers.is_empty() {
                continue;
            }
            let fact = entry.fact(now);
            for pending in &mut entry.pending_peers {
                let sent_at = pending.sent_at;
                if sent_at.is_some_and(|at| now.since(at) < RESEND_INTERVAL) {
                    continue;
                }
                pending.sent_at = Some(now);
                let peer = pending.peer;
                let at = notices.binary_search_by_key(&peer, |it| it.0);
                let at = at.unwrap_or_else(|at| {
                    notices.insert(at, (peer, SuspectNotice::default()));
                    at
                });
                notices[at].1.facts.push(fact.clone());
            }
        }
        notices
    }

    /// Applies a peer's notice and returns the acknowledgement.
    pub fn apply_notice(&mut self, notice: &SuspectNotice, now: Timestamp) -> NoticeAck {
        let mut ack = NoticeAck::default();
        for fact in &notice.facts {
            self.import_fact(fact, now);
            ack.noted.push(fact.fingerprint);
            let Some(entry) = self.entry(fact.fingerprint) else {
                continue;
            };
            let runs = self.runs.of(fact.fingerprint);
            if runs.iter().any(|it| !entry.was_ended(it)) {
                ack.running.push(fact.fingerprint);
            }
            if entry.deaths.len() > fact.deaths.len() || entry.stage() != fact.stage {
                ack.facts.push(entry.fact(now));
            }
        }
        ack
    }

    /// Applies a peer's acknowledgement.
    pub fn apply_ack(&mut self, peer: DaemonId, ack: &NoticeAck, now: Timestamp) {
        for fact in &ack.facts {
            self.import_fact(fact, now);
        }
        for &fingerprint in &ack.noted {
            let Ok(at) = self.position(fingerprint) else {
                continue;
            };
            let entry = &mut self.entries[at];
            let runs = ack.running.contains(&fingerprint) && !entry.blocked && !entry.cleared;
            if runs {
                let asked = entry.pending_peers.iter_mut().find(|it| it.peer == peer);
                if let Some(pending) = asked {
                    pending.running = true;
                }
            } else {
                entry.pending_peers.retain(|it| it.peer != peer);
            }
        }
    }

    /// Returns the number of runs that this daemon has on a server.
    pub fn runs_at(&self, server: ServerKey) -> usize {
        self.runs.count_at(server)
    }

    /// Removes expired entries and trials. Has to be called about once a second.
    pub fn poll(&mut self, now: Timestamp) {
        self.poll_trials(now);
        for entry in &mut self.entries {
            if let Trial::Stopped { ask, since } = entry.trial
                && now.since(since) >= SURVIVAL_WINDOW
            {
                entry.trial = Trial::Idle;
                let end = TrialEnd::Released;
                self.settlements.push(TrialSettlement { ask, end });
            }
        }
        self.entries.retain(|it| it.until > now && !it.is_done());
        if self.entries.len() > MAX_ENTRIES {
            let mut ends: Vec<Timestamp> = self.entries.iter().map(|it| it.until).collect();
            ends.sort_unstable_by(|left, right| right.cmp(left));
            let oldest = ends[MAX_ENTRIES];
            self.entries.retain(|it| it.until > oldest);
        }
    }

    /// Returns the ends of trials to be reported to the owner of their records.
    pub fn take_settlements(&mut self) -> Vec<TrialSettlement> {
        std::mem::take(&mut self.settlements)
    }

    pub(super) fn entry(&self, fingerprint: Fingerprint) -> Option<&Entry> {
        self.position(fingerprint).ok().map(|at| &self.entries[at])
    }

    pub(super) fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&fingerprint, |it| it.fingerprint)
    }

    pub(super) fn insert(&mut self, fingerprint: Fingerprint, until: Timestamp) -> usize {
        self.position(fingerprint).unwrap_or_else(|at| {
            self.entries.insert(at, Entry::new(fingerprint, until));
            at
        })
    }
}
