//! The claims of one daemon.

use std::time::Duration;

use super::entry::{Entry, Stage};
use super::{
    AnswerRef, ClaimCause, ClaimChange, ClaimKey, ClaimRecord, ClaimRefusal, ClaimState,
    ClaimTicket, ClaimVerdict,
};
use crate::{Fingerprint, Incarnation, Timestamp};

/// How long after the start of its write a claim allows its call to be sent.
///
/// A daemon that is paused in between must not send the call when it resumes: the
/// caller was told long ago that the result is unknown, and once the record has expired
/// another daemon may have made the call. Records are kept for a day, so by the own
/// clock the claim ends long before its record does.
pub(super) const CLAIM_VALIDITY: Duration = Duration::from_secs(2);

/// How long a call waits for its claim.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum number of claims that wait to be written.
const MAX_WAITING: usize = 1024;

/// The claims of one daemon.
#[derive(Clone, Debug)]
pub struct ClaimTracker {
    /// The minimum interval between two groups.
    ///
    /// It bounds the rate of a daemon's transactions on the platform, and makes groups
    /// grow with the load.
    pub min_group_interval: Duration,
    pub(super) incarnation: Incarnation,
    /// Sorted by key.
    pub(super) entries: Vec<Entry>,
    pub(super) changes: Vec<ClaimChange>,
    pub(super) claims: u64,
    pub(super) groups: u64,
    pub(super) group_sent_at: Option<Timestamp>,
    pub(super) outage_until: Timestamp,
    /// The number of consecutive groups whose answers were lost.
    pub(super) losses: u32,
}

impl ClaimTracker {
    /// Creates an empty set of claims for a process that has just started.
    pub fn new(incarnation: Incarnation) -> Self {
        ClaimTracker {
            min_group_interval: Duration::from_millis(20),
            incarnation,
            entries: Vec::new(),
            changes: Vec::new(),
            claims: 0,
            groups: 0,
            group_sent_at: None,
            outage_until: Timestamp::ZERO,
            losses: 0,
        }
    }

    /// Registers a call. Its claim is written with the next group.
    ///
    /// # Errors
    ///
    /// Rejects the call at once if the platform is known to be unavailable, too many
    /// claims are waiting, or the same call is in progress on this daemon.
    pub fn claim(
        &mut self,
        key: ClaimKey,
        body: Fingerprint,
        deadline: Timestamp,
        now: Timestamp,
    ) -> Result<ClaimTicket, ClaimVerdict> {
        let position = self.position(key);
        if let Ok(at) = position {
            let mut duplicate = Entry {
                record: ClaimRecord {
                    body,
                    ..ClaimRecord::default()
                },
                stage: Stage::Waiting,
                expires_at: now,
                may_exist: false,
                answer_lost: false,
            };
            duplicate.resolve(&self.entries[at].record);
            return match duplicate.stage {
                Stage::Done(verdict) => Err(verdict),
                _ => Err(refused(ClaimCause::Claimed)),
            };
        }
        if now < self.outage_until {
            return Err(refused(ClaimCause::NoPlatform));
        }
        let waiting = self.entries.iter().filter(|it| it.stage == Stage::Waiting);
        if waiting.count() >= MAX_WAITING {
            return Err(refused(ClaimCause::Busy));
        }
        self.claims += 1;
        let ticket = ClaimTicket {
            holder: self.incarnation,
            number: self.claims,
        };
        let entry = Entry {
            record: ClaimRecord {
                key,
                body,
                ticket,
                state: ClaimState::Claimed,
            },
            stage: Stage::Waiting,
            expires_at: deadline.min(now + CLAIM_TIMEOUT),
            may_exist: false,
            answer_lost: false,
        };
        let at = position.unwrap_or_else(|at| at);
        self.entries.insert(at, entry);
        Ok(ticket)
    }

    /// Returns what a call may do now.
    pub fn verdict(&self, key: ClaimKey, ticket: ClaimTicket) -> ClaimVerdict {
        let Some(entry) = self.entry(key, ticket) else {
            return refused(ClaimCause::Late);
        };
        match &entry.stage {
            Stage::Waiting | Stage::Writing { .. } => ClaimVerdict::Wait,
            Stage::Granted { .. } => ClaimVerdict::Send,
            Stage::Sent { .. } => refused(ClaimCause::Claimed),
            Stage::Done(verdict) => verdict.clone(),
        }
    }

    /// Returns true once if the call may be sent. This is the last check before the
    /// first byte; afterwards there is no second attempt.
    pub fn start(&mut self, key: ClaimKey, ticket: ClaimTicket, now: Timestamp) -> bool {
        let Some(entry) = self.entry_mut(key, ticket) else {
            return false;
        };
        let Stage::Granted { until } = entry.stage else {
            return false;
        };
        if now >= until {
            return false;
        }
        entry.stage = Stage::Sent { until };
        true
    }

    /// Reverts a start after which no byte was sent because no connection could be
    /// opened. Another server may be tried while the claim is valid.
    pub fn not_sent(&mut self, key: ClaimKey, ticket: ClaimTicket) {
        if let Some(entry) = self.entry_mut(key, ticket)
            && let Stage::Sent { until } = entry.stage
        {
            entry.stage = Stage::Granted { until };
        }
    }

    /// Records the answer to a call that was sent.
    pub fn finish(&mut self, key: ClaimKey, ticket: ClaimTicket, answer: AnswerRef) {
        self.settle(key, ticket, ClaimState::Finished { answer });
    }

    /// Records that the answer to a call that was sent has been lost.
    pub fn record_lost_answer(&mut self, key: ClaimKey, ticket: ClaimTicket) {
        self.settle(key, ticket, ClaimState::Unknown);
    }

    /// Removes a call whose verdict has been delivered, or whose caller is gone. A
    /// claim whose call was certainly not sent is released.
    pub fn forget(&mut self, key: ClaimKey, ticket: ClaimTicket) {
        let Ok(at) = self.position(key) else {
            return;
        };
        let entry = &self.entries[at];
        if entry.record.ticket != ticket {
            return;
        }
        match &entry.stage {
            // A call that has been sent is forgotten only after its answer, or the loss of it,
            // is known.
            Stage::Sent { .. } => return,
            Stage::Waiting | Stage::Writing { .. } | Stage::Granted { .. } if entry.may_exist => {
                self.changes.push(ClaimChange::Release(key, ticket));
            }
            _ => {}
        }
        self.entries.remove(at);
    }

    /// Rejects calls whose claims took too long. Has to be called several times a
    /// second.
    pub fn poll(&mut self, now: Timestamp) {
        for entry in &mut self.entries {
            let late = match entry.stage {
                Stage::Waiting | Stage::Writing { .. } => now >= entry.expires_at,
                Stage::Granted { until } => now >= until,
                Stage::Sent { .. } | Stage::Done(_) => false,
            };
            if !late {
                continue;
            }
            entry.refuse(ClaimCause::Late);
            if entry.may_exist {
                let record = &entry.record;
                let release = ClaimChange::Release(record.key, record.ticket);
                self.changes.push(release);
            }
        }
    }

    fn settle(&mut self, key: ClaimKey, ticket: ClaimTicket, state: ClaimState) {
        let Some(entry) = self.entry_mut(key, ticket) else {
            return;
        };
        let Stage::Sent { .. } = entry.stage else {
            return;
        };
        entry.record.state = state;
        let record = entry.record.clone();
        entry.resolve(&record);
        self.changes.push(ClaimChange::Settle(record));
    }

    pub(super) fn position(&self, key: ClaimKey) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&key, |it| it.record.key)
    }

    fn entry(&self, key: ClaimKey, ticket: ClaimTicket) -> Option<&Entry> {
        let at = self.position(key).ok()?;
        Some(&self.entries[at]).filter(|it| it.record.ticket == ticket)
    }

    fn entry_mut(&mut self, key: ClaimKey, ticket: ClaimTicket) -> Option<&mut Entry> {
        let at = self.position(key).ok()?;
        Some(&mut self.entries[at]).filter(|it| it.record.ticket == ticket)
    }
}

fn refused(cause: ClaimCause) -> ClaimVerdict {
    ClaimVerdict::Refused(ClaimRefusal::new(cause))
}
