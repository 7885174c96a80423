//! The state of the platform stand-in, shared by its HTTP server and the in-process store.

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

/// The injected fault that left a call without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// The outage switch is on, and the call had no effect.
    Outage,
    /// The call took effect, but its answer is lost.
    AnswerLost,
}

/// The result of a call: an injected fault, or what the model returned.
pub type CallOutcome<T> = Result<Result<T, ModelError>, CallFault>;

/// The state behind the lock.
#[derive(Debug, Default)]
pub(super) struct PlatformState {
    pub(super) model: KeyValueModel,
    vms: VmHistory,
    pub(super) faults: FaultSwitches,
    pub(super) calls: CallCounters,
    /// The offset added to the stand-in's clock by [`SharedPlatform::advance`].
    clock_offset: Duration,
    /// Incremented to break all open watches; a watch ends when it differs from the epoch
    /// at which it was opened.
    pub(super) watch_epoch: u64,
}

/// A handle to the stand-in's state; clones share the state.
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
    /// Runs one call on the model, with the active faults applied.
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
        // The call runs in its own task, so that a slow write takes effect even after
        // its caller has given up, which is the case that tests need.
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

    /// Opens a watch on a range, from the cursor's revision on.
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

    /// Returns the VM list with the lag that the fault switches set.
    pub async fn listed_vms(&self) -> Result<Vec<ListedVm>, CallFault> {
        // The list is not part of the model, but the call is counted and delayed like others.
        let waited = self.call(CallKind::Vms, |_, _| Ok(()));
        if waited.await?.is_err() {
            return Err(CallFault::AnswerLost);
        }
        let state = self.lock();
        let now = self.now(&state);
        Ok(state.vms.read(state.faults.vm_lag, now))
    }

    /// Replaces the whole VM list.
    pub fn set_vms(&self, vms: Vec<ListedVm>) {
        let mut state = self.lock();
        let now = self.now(&state);
        state.vms.set(vms, now);
    }

    /// Adds a VM to the list, or replaces the VM with the same name.
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

    /// Returns the active faults.
    pub fn faults(&self) -> FaultSwitches {
        self.lock().faults
    }

    /// Changes some of the active faults; an outage also breaks all open watches.
    pub fn change_faults(&self, change: FaultChange) {
        let mut state = self.lock();
        state.faults.change(change);
        if state.faults.outage {
            state.watch_epoch += 1;
        }
        drop(state);
        self.changed.send_replace(());
    }

    /// Breaks all watches that are open now.
    pub fn break_watches(&self) {
        self.lock().watch_epoch += 1;
        self.changed.send_replace(());
    }

    /// Moves the stand-in's clock forward, so that leases expire without a wait.
    pub fn advance(&self, duration: Duration) {
        let mut state = self.lock();
        state.clock_offset += duration;
        let now = self.now(&state);
        state.model.expire(now);
        drop(state);
        self.changed.send_replace(());
    }

    /// Drops the history before the last write, as the platform does by itself from time
    /// to time.
    pub fn compact(&self) {
        let revision = self.lock().model.revision();
        // This can't fail: the present revision is neither compacted nor in the future.
        let _ = self.compact_before(revision);
    }

    /// Drops the history before a revision. Fails if the revision is compacted already or
    /// lies in the future.
    pub fn compact_before(&self, revision: i64) -> Result<HeaderResponse, ModelError> {
        self.lock().model.compact(revision)
    }

    /// Drops all pairs, leases and revisions, as a restore from an empty backup does, and
    /// breaks all open watches.
    pub fn clear_store(&self) {
        let mut state = self.lock();
        state.model = KeyValueModel::default();
        state.watch_epoch += 1;
        drop(state);
        self.changed.send_replace(());
    }

    /// Returns the header of a response sent now.
    pub fn header(&self) -> ResponseHeader {
        self.lock().model.header()
    }

    /// Returns the call counters.
    pub fn calls(&self) -> CallCounters {
        self.lock().calls
    }

    /// Adds the body bytes of a call over HTTP to the counters.
    pub fn count_bytes(&self, bytes_in: usize, bytes_out: usize) {
        let mut state = self.lock();
        state.calls.bytes_in += bytes_in as u64;
        state.calls.bytes_out += bytes_out as u64;
    }

    pub(super) fn now(&self, state: &PlatformState) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed() + state.clock_offset
    }

    /// Locks the state, also when the lock is poisoned: a test in which code panicked
    /// under the lock has failed anyway, so an inconsistent state doesn't matter.
    pub(super) fn lock(&self) -> MutexGuard<'_, PlatformState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
