//! The claims of this daemon, as calls see them.

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

/// When the caller of a call that is under way may come back.
const TWIN_RETRY: Duration = Duration::from_secs(5);

/// What a claim came to.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The call may be sent, once.
    Granted(ClaimGrant),
    /// The call ran, and this names its answer.
    Answered(AnswerRef),
    /// The call isn't sent.
    Refused(ClaimRefusal),
}

impl ClaimOutcome {
    /// What a call is told that wasn't entered in the book.
    fn of_claimed(verdict: ClaimVerdict) -> Self {
        match verdict {
            ClaimVerdict::Answered(answer) => ClaimOutcome::Answered(answer),
            ClaimVerdict::Refused(refusal) => ClaimOutcome::Refused(refusal),
            // The same call waits for its claim or has it.
            ClaimVerdict::Wait | ClaimVerdict::Send => ClaimOutcome::Refused(ClaimRefusal {
                run: RunState::Unknown,
                cause: ClaimCause::Claimed,
                retry_after: TWIN_RETRY,
            }),
        }
    }
}

/// The claims of this daemon behind one short lock.
#[derive(Debug)]
pub struct ClaimKeeper {
    clock: ProcessClock,
    book: Mutex<ClaimTracker>,
    /// Answers on their way to the platform, sorted by key.
    answers: Mutex<Vec<(ClaimKey, StoredAnswer)>>,
    /// Counts up when the verdict on a claim may have changed.
    progress: watch::Sender<u64>,
    pub(super) claim_added: Notify,
    pub(super) change_added: Notify,
}

impl ClaimKeeper {
    /// A keeper without claims.
    pub fn new(incarnation: Incarnation, clock: ProcessClock) -> Self {
        ClaimKeeper {
            clock,
            book: Mutex::new(ClaimTracker::new(incarnation)),
            answers: Mutex::default(),
            progress: watch::Sender::new(0),
            claim_added: Notify::new(),
            change_added: Notify::new(),
        }
    }

    /// Claims a call and waits until its claim is written or refused.
    pub async fn acquire(
        self: &Arc<Self>,
        key: ClaimKey,
        body: Fingerprint,
        deadline: Timestamp,
    ) -> ClaimOutcome {
        let mut progress = self.progress.subscribe();
        let claimed = self.book().claim(key, body, deadline, self.clock.now());
        let ticket = match claimed {
            Ok(ticket) => ticket,
            Err(verdict) => return ClaimOutcome::of_claimed(verdict),
        };
        let grant = ClaimGrant::new(self.clone(), key, ticket);
        self.claim_added.notify_one();
        loop {
            progress.mark_unchanged();
            let verdict = self.book().verdict(key, ticket);
            match verdict {
                ClaimVerdict::Send => return ClaimOutcome::Granted(grant),
                ClaimVerdict::Answered(answer) => return ClaimOutcome::Answered(answer),
                ClaimVerdict::Refused(refusal) => return ClaimOutcome::Refused(refusal),
                ClaimVerdict::Wait => {}
            }
            if progress.changed().await.is_err() {
                // The sender is a part of this keeper, which the grant holds.
                return std::future::pending().await;
            }
        }
    }

    /// The answer of a call that ran, if it is still on its way to the platform.
    pub fn pending_answer(&self, key: ClaimKey) -> Option<StoredAnswer> {
        let answers = self.lock_answers();
        let at = answers.binary_search_by_key(&key, |it| it.0).ok()?;
        Some(answers[at].1.clone())
    }

    pub(super) fn finish(&self, key: ClaimKey, ticket: ClaimTicket, answer: Option<StoredAnswer>) {
        let place = match answer {
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
        self.book().finish(key, ticket, place);
    }

    /// Forgets a call whose end is in the platform.
    pub(super) fn settled(&self, key: ClaimKey, ticket: ClaimTicket) {
        self.book().forget(key, ticket);
        let mut answers = self.lock_answers();
        if let Ok(at) = answers.binary_search_by_key(&key, |it| it.0) {
            answers.remove(at);
        }
    }

    pub(super) fn note_progress(&self) {
        self.progress.send_modify(|it| *it += 1);
    }

    pub(super) fn note_change(&self) {
        self.change_added.notify_one();
    }

    pub(super) fn clock(&self) -> ProcessClock {
        self.clock
    }

    pub(super) fn book(&self) -> MutexGuard<'_, ClaimTracker> {
        // The book's methods leave it whole at each step; what a panic left
        // unsaid of one claim must not refuse all others.
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_answers(&self) -> MutexGuard<'_, Vec<(ClaimKey, StoredAnswer)>> {
        self.answers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
