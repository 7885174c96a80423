//! Claims calls, and passes each call the outcome of its claim.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::{
    AnswerRef, ClaimCause, ClaimKey, ClaimRefusal, ClaimTicket, ClaimTracker, ClaimVerdict,
    Fingerprint, Incarnation, RunState, Timestamp,
};
use tokio::sync::{Notify, watch};

use super::{ClaimGrant, ClaimRecords, StoredAnswer};
use crate::clock::ProcessClock;

/// `retry_after` for a call that is already running or being claimed.
const DUPLICATE_RETRY: Duration = Duration::from_secs(5);

/// The outcome of a request for a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The call may be sent once.
    Granted(ClaimGrant),
    /// The call has run. Names its stored answer.
    Answered(AnswerRef),
    /// The call must not be sent.
    Refused(ClaimRefusal),
}

impl ClaimOutcome {
    /// Converts the verdict on a call for which no new claim was created.
    fn from_verdict(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Answered(answer) => ClaimOutcome::Answered(answer),
            ClaimVerdict::Refused(refusal) => ClaimOutcome::Refused(refusal),
            // The same call is waiting for its claim or has been granted it.
            ClaimVerdict::Wait | ClaimVerdict::Send => ClaimOutcome::Refused(ClaimRefusal {
                run: RunState::Unknown,
                cause: ClaimCause::Claimed,
                retry_after: DUPLICATE_RETRY,
            }),
        }
    }
}

/// The claims of this daemon, behind one briefly held lock.
#[derive(Debug)]
pub struct ClaimManager {
    clock: ProcessClock,
    tracker: Mutex<ClaimTracker>,
    /// Answers that are not yet written to the platform, sorted by key.
    answers: Mutex<Vec<(ClaimKey, StoredAnswer)>>,
    /// Incremented when the verdict on any claim may have changed.
    progress: watch::Sender<u64>,
    pub(super) claim_added: Notify,
    pub(super) change_added: Notify,
}

impl ClaimManager {
    /// Creates an instance without claims.
    pub fn new(incarnation: Incarnation, clock: ProcessClock) -> Self {
        ClaimManager {
            clock,
            tracker: Mutex::new(ClaimTracker::new(incarnation)),
            answers: Mutex::default(),
            progress: watch::Sender::new(0),
            claim_added: Notify::new(),
            change_added: Notify::new(),
        }
    }

    /// Claims a call and waits until the claim is written or refused. `body`
    /// identifies the call's content, by which a reused key is detected.
    pub async fn acquire(
        self: &Arc<Self>,
        key: ClaimKey,
        body: Fingerprint,
        deadline: Timestamp,
    ) -> ClaimOutcome {
        let mut progress = self.progress.subscribe();
        let claimed = self.tracker().claim(key, body, deadline, self.clock.now());
        let ticket = match claimed {
            Ok(ticket) => ticket,
            Err(verdict) => return ClaimOutcome::from_verdict(verdict),
        };
        let grant = ClaimGrant::new(self.clone(), key, ticket);
        self.claim_added.notify_one();
        loop {
            progress.mark_unchanged();
            let verdict = self.tracker().verdict(key, ticket);
            match verdict {
                ClaimVerdict::Send => return ClaimOutcome::Granted(grant),
                ClaimVerdict::Answered(answer) => return ClaimOutcome::Answered(answer),
                ClaimVerdict::Refused(refusal) => return ClaimOutcome::Refused(refusal),
                ClaimVerdict::Wait => {}
            }
            if progress.changed().await.is_err() {
                // Unreachable: the sender is a field of `self`, which the grant
                // keeps alive.
                return std::future::pending().await;
            }
        }
    }

    /// Returns the answer of a call that ran, if it is not yet written to the
    /// platform.
    pub fn pending_answer(&self, key: ClaimKey) -> Option<StoredAnswer> {
        let answers = self.lock_answers();
        let at = answers.binary_search_by_key(&key, |it| it.0).ok()?;
        Some(answers[at].1.clone())
    }

    pub(super) fn finish(&self, key: ClaimKey, ticket: ClaimTicket, answer: Option<StoredAnswer>) {
        let location = match answer {
            Some(answer) => {
                let mut answers = self.lock_answers();
                match answers.binary_search_by_key(&key, |it| it.0) {
                    Ok(at) => answers[at].1 = answer,
                    Err(at) => answers.insert(at, (key, answer)),
                }
                AnswerRef(ClaimRecords::answer_key(key))
            }
            None => AnswerRef::default(),
        };
        self.tracker().finish(key, ticket, location);
    }

    /// Removes a call whose end is written to the platform.
    pub(super) fn remove_settled(&self, key: ClaimKey, ticket: ClaimTicket) {
        self.tracker().forget(key, ticket);
        let mut answers = self.lock_answers();
        if let Ok(at) = answers.binary_search_by_key(&key, |it| it.0) {
            answers.remove(at);
        }
    }

    pub(super) fn notify_progress(&self) {
        self.progress.send_modify(|it| *it += 1);
    }

    pub(super) fn notify_change(&self) {
        self.change_added.notify_one();
    }

    pub(super) fn clock(&self) -> ProcessClock {
        self.clock
    }

    pub(super) fn tracker(&self) -> MutexGuard<'_, ClaimTracker> {
        // The tracker's methods keep it consistent at each step. What a panic
        // left out for one claim must not fail all others.
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_answers(&self) -> MutexGuard<'_, Vec<(ClaimKey, StoredAnswer)>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
