//! The trial of a suspect: the one further run that it may have.

use std::time::Duration;

use super::entry::Trial;
use super::running::Running;
use super::suspect_table::TRIAL_RETRY_AFTER;
use super::{
    Fingerprint, RunId, SuspectTable, TrialAnswer, TrialEnd, TrialRequest, TrialSettlement,
    TrialTicket,
};
use crate::{ServerKey, SuspectVerdict, Timestamp};

/// How long after its request was sent a trial may start.
///
/// A daemon that is paused in between finds the grant expired by its own clock. The
/// record in the platform lives far longer, so no other daemon can hold the grant while
/// this one is valid.
const TRIAL_VALIDITY: Duration = Duration::from_secs(2);

/// How long a failure is withheld from a caller until the peers have been notified. A
/// peer that is cut off can't be notified at all, and must not delay callers for
/// longer.
const PEER_NOTICE_TIMEOUT: Duration = Duration::from_secs(2);

/// The age at which a trial without a known end is assumed to have crashed its server,
/// with its daemon lost as well.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(600);

/// The next step for a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialStep {
    /// The suspect has been cleared: run it like any other request.
    Run,
    /// Wait, since a peer hasn't confirmed yet that no copy runs there, or a request
    /// for a trial hasn't been answered yet.
    Wait,
    /// Choose a server without a suspect on it and request a trial there.
    Request,
    /// Start the trial; see [`SuspectTable::start_trial`].
    Start,
    /// Give the caller a final answer; it may retry after this long.
    Refuse(Duration),
}

impl SuspectTable {
    /// Returns the next step for a suspect.
    ///
    /// A caller that learns of the failure resends its request, possibly to every
    /// daemon at once. So the peers are notified before the caller is.
    pub fn trial_step(&self, fingerprint: Fingerprint, now: Timestamp) -> TrialStep {
        match (self.verdict(fingerprint, now), self.entry(fingerprint)) {
            (SuspectVerdict::Clear, _) | (_, None) => TrialStep::Run,
            (SuspectVerdict::NeedsTrial, Some(entry)) => {
                let runs_here = !self.runs.of(fingerprint).is_empty();
                let waited = now.since(entry.notified_at) >= PEER_NOTICE_TIMEOUT;
                if entry.pending_peers.is_empty() && !runs_here {
                    TrialStep::Request
                } else if waited && entry.awaits_answer() {
                    TrialStep::Refuse(TRIAL_RETRY_AFTER)
                } else {
                    TrialStep::Wait
                }
            }
            (SuspectVerdict::Blocked(span), Some(entry)) => match entry.trial {
                Trial::Asked { .. } if !entry.blocked => TrialStep::Wait,
                Trial::Granted { .. } if !entry.blocked => TrialStep::Start,
                _ => TrialStep::Refuse(span),
            },
        }
    }

    /// Returns whether the failure of an interrupted run may be reported to its caller.
    pub fn may_notify_caller(&self, fingerprint: Fingerprint, now: Timestamp) -> bool {
        self.entry(fingerprint).is_none_or(|entry| {
            let waited = now.since(entry.notified_at) >= PEER_NOTICE_TIMEOUT;
            waited || entry.blocked || !entry.awaits_answer()
        })
    }

    /// Returns the servers on which this daemon has a suspect on trial.
    pub fn servers_on_trial(&self) -> Vec<ServerKey> {
        let servers = self.entries.iter().filter_map(|entry| match entry.trial {
            Trial::Asked { ask, .. }
            | Trial::Granted { ask, .. }
            | Trial::Running { ask }
            | Trial::Stopped { ask, .. } => Some(ask.server),
            Trial::Idle | Trial::HeldElsewhere { .. } => None,
        });
        servers.collect()
    }

    /// Requests a trial on `server`, if that is the suspect's next step.
    pub fn request_trial(
        &mut self,
        fingerprint: Fingerprint,
        server: ServerKey,
        now: Timestamp,
    ) -> Option<TrialRequest> {
        if self.trial_step(fingerprint, now) != TrialStep::Request
            || self.servers_on_trial().contains(&server)
        {
            return None;
        }
        let at = self.position(fingerprint).ok()?;
        self.trial_requests += 1;
        let ask = TrialRequest {
            fingerprint,
            server,
            ticket: TrialTicket {
                holder: self.incarnation,
                number: self.trial_requests,
            },
        };
        self.entries[at].trial = Trial::Asked { ask, sent_at: now };
        Some(ask)
    }

    /// Applies the answer to a request for a trial.
    pub fn trial_answer(&mut self, ask: &TrialRequest, answer: TrialAnswer, now: Timestamp) {
        let Ok(at) = self.position(ask.fingerprint) else {
            return;
        };
        let entry = &mut self.entries[at];
        let Trial::Asked {
            ask: asked,
            sent_at,
        } = entry.trial
        else {
            return;
        };
        if asked != *ask {
            return;
        }
        entry.trial = match answer {
            TrialAnswer::Granted => Trial::Granted {
                ask: asked,
                until: sent_at + TRIAL_VALIDITY,
            },
            TrialAnswer::Held { age, left } => Trial::HeldElsewhere {
                until: now + held_duration(age, left),
            },
            TrialAnswer::Blocked { left } => {
                entry.blocked = true;
                entry.until = now + left;
                Trial::Idle
            }
            TrialAnswer::ServerTaken => Trial::Idle,
            TrialAnswer::Unavailable => Trial::HeldElsewhere {
                until: now + TRIAL_RETRY_AFTER,
            },
        };
    }

    /// Starts a trial that was granted. Returns its server, or none if the trial may
    /// not start any more. This is the last check before the first byte is sent.
    pub fn start_trial(
        &mut self,
        fingerprint: Fingerprint,
        run: RunId,
        now: Timestamp,
    ) -> Option<ServerKey> {
        let at = self.position(fingerprint).ok()?;
        let entry = &mut self.entries[at];
        let Trial::Granted { ask, until } = entry.trial else {
            return None;
        };
        if now >= until || entry.blocked {
            return None;
        }
        entry.trial = Trial::Running { ask };
        self.runs.insert(Running {
            fingerprint,
            run,
            server: ask.server,
            started_at: now,
        });
        Some(ask.server)
    }

    /// Releases trials that were granted and not used in time, or requested without an
    /// answer.
    pub(super) fn poll_trials(&mut self, now: Timestamp) {
        for entry in &mut self.entries {
            let expired = match entry.trial {
                Trial::Asked { ask, sent_at } if now.since(sent_at) >= TRIAL_VALIDITY => Some(ask),
                Trial::Granted { ask, until } if now >= until => Some(ask),
                _ => None,
            };
            if let Some(ask) = expired {
                entry.trial = Trial::Idle;
                let end = TrialEnd::Released;
                self.settlements.push(TrialSettlement { ask, end });
            }
        }
    }
}

fn held_duration(age: Duration, left: Duration) -> Duration {
    if age < MAX_TRIAL_DURATION {
        left.min(TRIAL_RETRY_AFTER)
    } else {
        left
    }
}
