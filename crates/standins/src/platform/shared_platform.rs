//! The stand-in's one state, shared by its server and the in-process store.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{
    ListedVm,
    wire::{HeaderResponse, ResponseHeader},
};
use tokio::{sync::watch, time::Instant};

use super::{
    CallCounters, CallKind, FaultChange, FaultSwitches, KeyValueModel, ModelError, OpenWatch,
    VmHistory, WatchCursor,
};

/// Why a call got no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The outage switch is on; the call had no effect.
    Outage,
    /// The call took effect and its answer is lost.
    AnswerLost,
}

/// What a call came to.
pub type CallOutcome<T> = Result<Result<T, ModelError>, CallFault>;

/// Everything behind the lock.
#[derive(Debug, Default)]
pub(super) struct PlatformState {
    pub(super) model: KeyValueModel,
    vms: VmHistory,
    pub(super) faults: FaultSwitches,
    pub(super) calls: CallCounters,
    /// How far the clock was put forward.
    clock_offset: Duration,
    /// Counts up whenever all watches are to break.
    pub(super) watch_epoch: u64,
}

/// A handle on the stand-in's state; clones share it.
#[derive(Clone, Debug)]
pub struct SharedPlatform {
    state: Arc<Mutex<PlatformState>>,
    changed: Arc<watch::Sender<()>>,
    origin: Instant,
}

impl Default for SharedPlatform {
    fn default() -> Self {
        SharedPlatform {
            state: Arc::default(),
            changed: Arc::new(watch::Sender::new(())),
            origin: Instant::now(),
        }
    }
}

impl SharedPlatform {
    /// Runs one call on the model, with the faults in force.
    pub async fn call<T, F>(&self, kind: CallKind, operation: F) -> CallOutcome<T>
    where
        T: Send + 'static,
        F: FnOnce(&mut KeyValueModel, Timestamp) -> Result<T, ModelError> + Send + 'static,
    {
        let slow = {
            let mut state = self.lock();
            state.calls.add(kind);
            if state.faults.outage {
                return Err(CallFault::Outage);
            }
            state.faults.slow
        };
        if slow.is_zero() {
            return self.run(kind, operation);
        }
        // On a task of its own, since a slow write takes effect even though
        // its caller has given up, and that is the case worth testing.
        let platform = self.clone();
        let task = tokio::spawn(async move {
            tokio::time::sleep(slow).await;
            platform.run(kind, operation)
        });
        task.await.unwrap_or(Err(CallFault::AnswerLost))
    }

    fn run<T, F>(&self, kind: CallKind, operation: F) -> CallOutcome<T>
    where
        F: FnOnce(&mut KeyValueModel, Timestamp) -> Result<T, ModelError>,
    {
        let mut state = self.lock();
        let now = self.now(&state);
        state.model.expire(now);
        let outcome = operation(&mut state.model, now);
        let lost = kind.is_write() && state.faults.lose_answers.take();
        drop(state);
        if kind.is_write() {
            self.changed.send_replace(());
        }
        if lost {
            return Err(CallFault::AnswerLost);
        }
        Ok(outcome)
    }

    /// Opens a watch.
    pub async fn open_watch(&self, cursor: WatchCursor) -> Result<OpenWatch, CallFault> {
        let opened = self.call(CallKind::Watch, move |model, _| {
            Ok(cursor.starting(model.revision() + 1))
        });
        let Ok(cursor) = opened.await? else {
            return Err(CallFault::AnswerLost);
        };
        let changed = self.changed.subscribe();
        let epoch = {
            let mut state = self.lock();
            state.calls.waiting_watches += 1;
            state.watch_epoch
        };
        Ok(OpenWatch::new(self.clone(), changed, epoch, cursor))
    }

    /// Reads the VM list as it was a while ago.
    pub async fn listed_vms(&self) -> Result<Vec<ListedVm>, CallFault> {
        // The list is no part of the model; the call counts and waits alike.
        let waited = self.call(CallKind::Vms, |_, _| Ok(()));
        if waited.await?.is_err() {
            return Err(CallFault::AnswerLost);
        }
        let state = self.lock();
        let now = self.now(&state);
        Ok(state.vms.read(state.faults.vm_lag, now))
    }

    /// Sets the whole VM list.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        let mut state = self.lock();
        let now = self.now(&state);
        state.vms.set(vms, now);
    }

    /// Adds or replaces a VM of the list.
    pub fn put_vm(&self, vm: ListedVm) {
        let mut state = self.lock();
        let now = self.now(&state);
        state.vms.put(vm, now);
    }

    /// Removes a VM from the list. Returns whether it was listed.
    pub fn remove_vm(&self, name: &str) -> bool {
        let mut state = self.lock();
        let now = self.now(&state);
        state.vms.remove(name, now)
    }

    /// The faults in force.
    pub fn faults(&self) -> FaultSwitches {
        self.lock().faults
    }

    /// Changes the faults in force.
    pub fn change_faults(&self, change: FaultChange) {
        let mut state = self.lock();
        state.faults.change(change);
        if state.faults.outage {
            state.watch_epoch += 1;
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Breaks each open watch once.
    pub fn break_watches(&self) {
        self.lock().watch_epoch += 1;
        self.changed.send_replace(());
    }

    /// Puts the stand-in's clock forward, so that leases lapse without a wait.
    pub fn advance(&self, duration: Duration) {
        let mut state = self.lock();
        state.clock_offset += duration;
        let now = self.now(&state);
        state.model.expire(now);
        drop(state);
        self.changed.send_replace(());
    }

    /// Drops the history before the last write, as the platform does now and
    /// then by itself.
    pub fn compact(&self) {
        let revision = self.lock().model.revision();
        // Its own revision is neither gone nor yet to come.
        let _ = self.compact_before(revision);
    }

    /// Drops the history before a revision.
    pub fn compact_before(&self, revision: i64) -> Result<HeaderResponse, ModelError> {
        self.lock().model.compact(revision)
    }

    /// Loses all pairs, leases and revisions, as after a restore from a backup
    /// that holds nothing. Watches break.
    pub fn lose_everything(&self) {
        let mut state = self.lock();
        state.model = KeyValueModel::default();
        state.watch_epoch += 1;
        drop(state);
        self.changed.send_replace(());
    }

    /// The head of an answer given now.
    pub fn header(&self) -> ResponseHeader {
        self.lock().model.header()
    }

    /// The calls counted so far.
    pub fn calls(&self) -> CallCounters {
        self.lock().calls
    }

    /// Counts the bytes of a call over HTTP.
    pub fn count_bytes(&self, bytes_in: usize, bytes_out: usize) {
        let mut state = self.lock();
        state.calls.bytes_in += bytes_in as u64;
        state.calls.bytes_out += bytes_out as u64;
    }

    pub(super) fn now(&self, state: &PlatformState) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed() + state.clock_offset
    }

    /// A panic while the lock was held can't leave the state half-changed in
    /// a way that matters to a test, which has failed by then.
    pub(super) fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
