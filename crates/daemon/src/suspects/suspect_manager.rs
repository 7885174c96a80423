//! The runs on this daemon's servers and the suspects among them.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use comfreyramp_policy::{
    Fingerprint, Incarnation, RunEnd, RunId, ServerKey, SuspectFact, SuspectStage, SuspectTable,
    SuspectVerdict, Timestamp,
};
use tokio::sync::{Notify, watch};

use super::SuspectRun;
use crate::clock::ProcessClock;

/// How long a written fact may take from the platform to the other daemons. Its
/// arrival is not confirmed, so the caller is answered, and a trial begins, only
/// after this time.
const FACT_DELIVERY_DELAY: Duration = Duration::from_millis(150);
/// How long a caller waits at most until the facts about its request are written.
/// An outage of the platform must not delay callers for longer.
const MAX_DELIVERY_WAIT: Duration = Duration::from_secs(2);
/// How often a waiting request checks again whether it may proceed.
pub(super) const RECHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The state of sending a fact to the other daemons.
#[derive(Clone, Copy, Debug)]
pub(super) struct FactDelivery {
    fingerprint: Fingerprint,
    started_at: Timestamp,
    /// When the other daemons have it at the latest; none until it is written.
    known_at: Option<Timestamp>,
    is_written: bool,
}

/// Tracks this daemon's runs and suspects, behind short locks.
#[derive(Debug)]
pub struct SuspectManager {
    clock: ProcessClock,
    incarnation: Incarnation,
    table: Mutex<SuspectTable>,
    /// The facts being sent, sorted by fingerprint.
    deliveries: Mutex<Vec<FactDelivery>>,
    /// The number of runs that have just broken off, by server.
    pub(super) breaking: Mutex<Vec<(ServerKey, usize)>>,
    next_run: AtomicU64,
    progress: watch::Sender<u64>,
    pub(super) work: Notify,
}

impl SuspectManager {
    /// Creates a manager without runs and suspects.
    pub fn new(incarnation: Incarnation, clock: ProcessClock) -> Self {
        SuspectManager {
            clock,
            incarnation,
            table: Mutex::new(SuspectTable::new(incarnation)),
            deliveries: Mutex::default(),
            breaking: Mutex::default(),
            next_run: AtomicU64::new(1),
            progress: watch::Sender::new(0),
            work: Notify::new(),
        }
    }

    /// Returns whether a request is suspected or blocked.
    pub fn verdict(&self, fingerprint: Fingerprint) -> SuspectVerdict {
        self.table().verdict(fingerprint, self.clock.now())
    }

    /// Returns whether a request is blocked, rather than suspected or on trial.
    pub fn is_blocked(&self, fingerprint: Fingerprint) -> bool {
        let fact = self.table().fact(fingerprint, self.clock.now());
        fact.is_some_and(|it| it.stage == SuspectStage::Blocked)
    }

    /// Records the start of a run unless its request is a suspect.
    pub(super) fn begin_run(
        self: &Arc<Self>,
        fingerprint: Fingerprint,
        server: ServerKey,
    ) -> Option<SuspectRun> {
        let run = self.new_run();
        let now = self.clock.now();
        let verdict = self.table().begin(fingerprint, run, server, now);
        (verdict == SuspectVerdict::Clear)
            .then(|| SuspectRun::new(self.clone(), fingerprint, run, server))
    }

    /// Records the start of a trial that was granted. Returns none if the grant has
    /// expired.
    pub(super) fn begin_trial(self: &Arc<Self>, fingerprint: Fingerprint) -> Option<SuspectRun> {
        let run = self.new_run();
        let now = self.clock.now();
        let server = self.table().start_trial(fingerprint, run, now)?;
        Some(SuspectRun::new(self.clone(), fingerprint, run, server))
    }

    pub(super) fn end_run(&self, fingerprint: Fingerprint, run: RunId, end: RunEnd) {
        let now = self.clock.now();
        let fact = {
            let mut table = self.table();
            table.end(fingerprint, run, end, now);
            table.fact(fingerprint, now)
        };
        // Nearly all requests are no suspects, and their end wakes no task.
        let Some(fact) = fact else {
            return;
        };
        if fact.stage == SuspectStage::Cleared {
            self.send_fact(fingerprint);
        }
        self.notify_progress();
    }

    /// Records the death of a server: all requests that ran on it become suspects.
    pub(super) fn server_died(&self, server: ServerKey) {
        let suspects = self.table().server_died(server, self.clock.now());
        if suspects.is_empty() {
            return;
        }
        log::warn!(
            "suspects: a server died while it ran {} requests of this daemon",
            suspects.len()
        );
        for suspect in &suspects {
            self.send_fact(suspect.fingerprint);
        }
        self.notify_progress();
    }

    /// Records facts from other daemons.
    pub(super) fn import(&self, facts: &[SuspectFact]) {
        self.table().import(facts, self.clock.now());
        self.notify_progress();
    }

    /// Returns whether the other daemons have the latest fact about a request by
    /// now, or the longest wait for that is over. Arrival itself isn't confirmed.
    pub(super) fn is_known_to_others(&self, fingerprint: Fingerprint) -> bool {
        let now = self.clock.now();
        let deliveries = self.deliveries();
        let Ok(at) = deliveries.binary_search_by_key(&fingerprint, |it| it.fingerprint) else {
            return true;
        };
        let delivery = &deliveries[at];
        let late = now.since(delivery.started_at) >= MAX_DELIVERY_WAIT;
        late || delivery.known_at.is_some_and(|it| now >= it)
    }

    /// Waits until the other daemons know of a request that broke off, so that its
    /// caller may be answered.
    pub(super) async fn wait_until_known(&self, fingerprint: Fingerprint) {
        while !self.is_known_to_others(fingerprint) {
            tokio::time::sleep(RECHECK_INTERVAL).await;
        }
    }

    fn send_fact(&self, fingerprint: Fingerprint) {
        let delivery = FactDelivery {
            fingerprint,
            started_at: self.clock.now(),
            known_at: None,
            is_written: false,
        };
        let mut deliveries = self.deliveries();
        match deliveries.binary_search_by_key(&fingerprint, |it| it.fingerprint) {
            Ok(at) => deliveries[at] = delivery,
            Err(at) => deliveries.insert(at, delivery),
        }
        drop(deliveries);
        self.work.notify_one();
    }

    /// Returns the facts that are yet to be written, at most `limit`.
    pub(super) fn unwritten_facts(&self, limit: usize) -> Vec<SuspectFact> {
        let now = self.clock.now();
        let waiting: Vec<Fingerprint> = {
            let deliveries = self.deliveries();
            let waiting = deliveries.iter().filter(|it| !it.is_written);
            waiting.map(|it| it.fingerprint).take(limit).collect()
        };
        let table = self.table();
        let facts = waiting.iter().filter_map(|it| table.fact(*it, now));
        facts.collect()
    }

    /// Records that facts were written by a request sent at `sent_at`. A fact that
    /// changed after that is written again.
    pub(super) fn facts_written(&self, written: &[SuspectFact], sent_at: Timestamp) {
        let known_at = self.clock.now() + FACT_DELIVERY_DELAY;
        let mut deliveries = self.deliveries();
        for fact in written {
            let found = deliveries.binary_search_by_key(&fact.fingerprint, |it| it.fingerprint);
            if let Ok(at) = found
                && deliveries[at].started_at <= sent_at
            {
                deliveries[at].is_written = true;
                deliveries[at].known_at = Some(known_at);
            }
        }
    }

    /// Removes expired suspects and finished deliveries.
    pub(super) fn poll(&self) {
        let now = self.clock.now();
        self.table().poll(now);
        let mut deliveries = self.deliveries();
        deliveries.retain(|it| !it.is_written || it.known_at.is_none_or(|at| now < at));
    }

    /// Waits for progress of any suspect, at most `timeout`.
    pub(super) async fn wait_for_progress(&self, timeout: Duration) {
        let mut progress = self.progress.subscribe();
        let _ = tokio::time::timeout(timeout, progress.changed()).await;
    }

    /// Wakes the requests that wait for progress, and the task that writes facts.
    pub(super) fn notify_progress(&self) {
        self.progress.send_modify(|it| *it += 1);
        self.work.notify_one();
    }

    pub(super) fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    pub(super) fn clock(&self) -> ProcessClock {
        self.clock
    }

    pub(super) fn table(&self) -> MutexGuard<'_, SuspectTable> {
        // A poisoned lock is used anyway: refusing all requests after a panic would
        // be worse than a record that may be missing for one of them.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn deliveries(&self) -> MutexGuard<'_, Vec<FactDelivery>> {
        self.deliveries
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn new_run(&self) -> RunId {
        RunId(self.next_run.fetch_add(1, Ordering::Relaxed))
    }
}
