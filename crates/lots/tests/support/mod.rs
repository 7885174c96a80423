//! Shared helpers of these tests: a clock, a store with faults, a service, a
//! daemon.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use comfreyramp_lots::{
    BatchObject, BatchStatus, ItemOutcome, ItemRequest, ItemRunner, LotError, LotStore, LotWorker,
    NewLot, SlotSource, WallClock, WallTime,
};
use comfreyramp_standins::platform::{MemoryStore, MemoryWatch};
use comfreyramp_store::{
    KeyRange, LeaseId, PlatformStore, RangeAnswer, Revision, StoreError, TransactionAnswer,
    WatchBatch, WatchStream, Write, WriteBatch,
};
use serde_json::value::RawValue;
use tokio::{
    sync::{OwnedSemaphorePermit, Semaphore},
    task::JoinHandle,
    time::Instant,
};
use tokio_util::sync::CancellationToken;

pub(crate) const CUSTOMER: &str = "registry";
pub(crate) const MODEL: &str = "small";
pub(crate) const CHAT: &str = "/v1/chat/completions";

/// A wall clock that follows tokio's paused clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TestClock(Instant);

impl Default for TestClock {
    fn default() -> Self {
        TestClock(Instant::now())
    }
}

impl WallClock for TestClock {
    fn now(&self) -> WallTime {
        WallTime(1_700_000_000_000) + self.0.elapsed()
    }
}

/// The store as seen by one daemon. The daemon can be cut off from it, crash at
/// a given write, or lose the answer to a given write.
#[derive(Clone, Debug, Default)]
pub(crate) struct DaemonStore {
    pub(crate) inner: MemoryStore,
    pub(crate) writes: Arc<AtomicUsize>,
    /// The total size of all written keys and values in bytes.
    pub(crate) bytes: Arc<AtomicUsize>,
    /// The daemon crashes at this write.
    pub(crate) crashes_at: Option<usize>,
    /// Whether the write at which the daemon crashes still takes effect.
    pub(crate) last_takes_effect: bool,
    /// The write that takes effect but whose answer is lost.
    pub(crate) loses_answer_of: Option<usize>,
    /// Whether the daemon is cut off from the store.
    pub(crate) is_cut: Arc<Mutex<bool>>,
}

impl DaemonStore {
    pub(crate) fn new(inner: &MemoryStore) -> Self {
        DaemonStore {
            inner: inner.clone(),
            ..DaemonStore::default()
        }
    }

    pub(crate) fn crashes_at(mut self, write: usize, last_takes_effect: bool) -> Self {
        self.crashes_at = Some(write);
        self.last_takes_effect = last_takes_effect;
        self
    }

    pub(crate) fn loses_answer_of(mut self, write: usize) -> Self {
        self.loses_answer_of = Some(write);
        self
    }

    pub(crate) fn set_cut_off(&self, is_cut: bool) {
        *self.is_cut.lock().unwrap() = is_cut;
    }

    fn check(&self) -> Result<(), StoreError> {
        match *self.is_cut.lock().unwrap() {
            true => Err(StoreError::Unreachable("cut off".to_owned())),
            false => Ok(()),
        }
    }
}

impl PlatformStore for DaemonStore {
    type Watch = DaemonWatch;

    async fn range(&self, range: KeyRange, limit: usize) -> Result<RangeAnswer, StoreError> {
        self.check()?;
        self.inner.range(range, limit).await
    }

    async fn transact(&self, batch: WriteBatch) -> Result<TransactionAnswer, StoreError> {
        self.check()?;
        let write = self.writes.fetch_add(1, Ordering::SeqCst);
        self.bytes.fetch_add(length(&batch), Ordering::SeqCst);
        if self.crashes_at.is_some_and(|it| write >= it) {
            if self.crashes_at == Some(write) && self.last_takes_effect {
                self.inner.transact(batch.clone()).await?;
            }
            // A crashed daemon never continues.
            std::future::pending::<()>().await;
        }
        let answer = self.inner.transact(batch).await;
        match self.loses_answer_of == Some(write) {
            true => Err(StoreError::AnswerLost("the test lost it".to_owned())),
            false => answer,
        }
    }

    async fn grant(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.check()?;
        self.inner.grant(ttl).await
    }

    async fn renew(&self, lease: LeaseId) -> Result<Duration, StoreError> {
        self.check()?;
        self.inner.renew(lease).await
    }

    async fn revoke(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.check()?;
        self.inner.revoke(lease).await
    }

    async fn watch(&self, range: KeyRange, from: Revision) -> Result<Self::Watch, StoreError> {
        self.check()?;
        Ok(DaemonWatch {
            inner: self.inner.watch(range, from).await?,
            store: self.clone(),
        })
    }
}

fn length(batch: &WriteBatch) -> usize {
    let put = |it: &Write| match it {
        Write::Put { key, value, .. } => key.len() + value.len(),
        Write::Delete(key) => key.len(),
    };
    batch.then.iter().map(put).sum()
}

/// A watch of a daemon. It delivers nothing while the daemon is cut off, and is
/// broken once the daemon is connected again.
#[derive(Debug)]
pub(crate) struct DaemonWatch {
    inner: MemoryWatch,
    store: DaemonStore,
}

impl WatchStream for DaemonWatch {
    async fn next(&mut self) -> Result<WatchBatch, StoreError> {
        let batch = self.inner.next().await;
        if self.store.check().is_ok() {
            return batch;
        }
        while self.store.check().is_err() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        Err(StoreError::AnswerLost("the watch broke".to_owned()))
    }
}

pub(crate) type Lots = LotStore<DaemonStore, TestClock>;

pub(crate) fn lots(store: &DaemonStore) -> Lots {
    LotStore::new(store.clone(), TestClock::default())
}

/// Generates a file with this many items, each with its number in the prompt.
pub(crate) fn input(items: usize) -> String {
    let line = |it| {
        format!(
            "{{\"custom_id\":\"item-{it}\",\"method\":\"POST\",\"url\":\"{CHAT}\",\"body\":\
             {{\"model\":\"{MODEL}\",\"messages\":[{{\"role\":\"user\",\"content\":\"verse {it}\"}}]}}}}\n"
        )
    };
    (0..items).map(line).collect()
}

pub(crate) async fn upload(lots: &Lots, customer: &str, content: &str) -> Result<String, LotError> {
    let mut upload = lots.files().upload(customer, "verses.jsonl");
    for piece in content.as_bytes().chunks(4096) {
        upload.push(piece).await?;
    }
    Ok(upload.finish().await?.id)
}

pub(crate) fn new_lot(file: &str) -> NewLot {
    NewLot {
        input_file_id: file.to_owned(),
        endpoint: CHAT.to_owned(),
        completion_window: "24h".parse().unwrap(),
        metadata: BTreeMap::new(),
        job_key: None,
    }
}

/// Uploads a file with this many items and creates a lot, as a client does.
pub(crate) async fn submit(
    lots: &Lots,
    customer: &str,
    items: usize,
) -> Result<BatchObject, LotError> {
    let file = upload(lots, customer, &input(items)).await?;
    lots.create(customer, &new_lot(&file)).await
}

pub(crate) async fn read(lots: &Lots, customer: &str, file: &str) -> Result<String, LotError> {
    let mut stream = lots.files().content(customer, file).await?;
    let mut content = Vec::new();
    while let Some(piece) = stream.next().await? {
        content.extend_from_slice(&piece);
    }
    assert_eq!(content.len() as u64, stream.bytes);
    Ok(String::from_utf8(content).unwrap())
}

/// A service whose behaviour for an item depends on a word in the item's body.
#[derive(Debug, Default)]
pub(crate) struct TestService {
    /// The number of runs started, by item.
    pub(crate) runs: Mutex<BTreeMap<String, u32>>,
    /// The number of items running now.
    pub(crate) running: AtomicUsize,
    /// How long an item takes.
    pub(crate) duration: Mutex<Duration>,
    /// Whether every run ends with a fault of the servers.
    pub(crate) is_down: Mutex<bool>,
    /// The number of servers that crashed.
    pub(crate) crashes: AtomicUsize,
    /// Whether runs are preempted, as by a burst of live requests.
    pub(crate) preempts: Mutex<bool>,
    /// The number of runs that were resumed.
    pub(crate) resumed: AtomicUsize,
}

impl TestService {
    pub(crate) fn with_duration(duration: Duration) -> Arc<Self> {
        let service = TestService::default();
        *service.duration.lock().unwrap() = duration;
        Arc::new(service)
    }

    pub(crate) fn runs_of(&self, item: &str) -> u32 {
        self.runs.lock().unwrap().get(item).copied().unwrap_or(0)
    }

    pub(crate) fn total_runs(&self) -> u32 {
        self.runs.lock().unwrap().values().sum()
    }
}

/// Counts an item as running as long as this guard lives.
struct RunningGuard<'a>(&'a AtomicUsize);

impl<'a> RunningGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        RunningGuard(count)
    }
}

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

impl ItemRunner for TestService {
    type Slot = OwnedSemaphorePermit;
    type Resume = u32;

    async fn run(
        &self,
        request: ItemRequest<u32>,
        slot: OwnedSemaphorePermit,
        stop: CancellationToken,
    ) -> ItemOutcome<u32> {
        let _running = RunningGuard::new(&self.running);
        let run = {
            let mut runs = self.runs.lock().unwrap();
            let run = runs.entry(request.id.clone()).or_default();
            *run += 1;
            *run
        };
        self.resumed
            .fetch_add(usize::from(request.resume.is_some()), Ordering::SeqCst);
        let duration = *self.duration.lock().unwrap();
        tokio::select! {
            () = tokio::time::sleep(duration) => {}
            () = stop.cancelled() => return ItemOutcome::Cancelled,
        }
        drop(slot);
        let body = String::from_utf8(request.body.to_vec()).unwrap();
        let message = "requested by the test".to_owned();
        if *self.is_down.lock().unwrap() || body.contains("faulty") {
            return ItemOutcome::ServerFault { message };
        }
        if body.contains("crashing") {
            self.crashes.fetch_add(1, Ordering::SeqCst);
            return ItemOutcome::ServerCrash { message };
        }
        if *self.preempts.lock().unwrap() {
            return ItemOutcome::Preempted {
                resume: Some(7),
                tokens: 7,
            };
        }
        if body.contains("impossible") {
            return ItemOutcome::Done {
                status: 400,
                request_id: "request".to_owned(),
                body: RawValue::from_string("{\"error\":{}}".to_owned()).unwrap(),
                tokens: 0,
            };
        }
        let echo = serde_json::json!({ "echo": body, "run": run }).to_string();
        ItemOutcome::Done {
            status: 200,
            request_id: "request".to_owned(),
            body: RawValue::from_string(echo).unwrap(),
            tokens: 50,
        }
    }
}

/// A fixed number of slots for one model.
#[derive(Clone, Debug)]
pub(crate) struct FixedSlots(pub(crate) Arc<Semaphore>);

impl SlotSource for FixedSlots {
    type Slot = OwnedSemaphorePermit;

    async fn acquire(&self, _models: &[Arc<str>]) -> (usize, OwnedSemaphorePermit) {
        (0, self.0.clone().acquire_owned().await.unwrap())
    }

    fn weight(&self, _customer: &str) -> f64 {
        1.0
    }
}

/// A daemon that runs lots.
pub(crate) struct TestDaemon {
    pub(crate) store: DaemonStore,
    pub(crate) lots: Lots,
    pub(crate) slots: FixedSlots,
    pub(crate) stop: CancellationToken,
    task: JoinHandle<()>,
}

impl TestDaemon {
    pub(crate) fn start(
        name: &str,
        store: DaemonStore,
        service: &Arc<TestService>,
        slots: usize,
    ) -> Self {
        let lots = lots(&store);
        let slots = FixedSlots(Arc::new(Semaphore::new(slots)));
        let worker = LotWorker::new(lots.clone(), service.clone(), Arc::new(slots.clone()), name);
        let stop = CancellationToken::new();
        let task = tokio::spawn(worker.run(stop.clone()));
        TestDaemon {
            store,
            lots,
            slots,
            stop,
            task,
        }
    }

    /// Simulates the loss of the daemon's VM: it stops and writes nothing more.
    pub(crate) fn kill(self) {
        self.store.set_cut_off(true);
        self.task.abort();
    }

    pub(crate) async fn drain(self) {
        self.stop.cancel();
        self.task.await.unwrap();
    }
}

/// Waits until a lot has this status.
pub(crate) async fn wait_for(
    lots: &Lots,
    id: &str,
    status: BatchStatus,
    duration: Duration,
) -> BatchObject {
    let until = Instant::now() + duration;
    loop {
        let lot = lots.get(CUSTOMER, id).await;
        if let Ok(lot) = &lot
            && lot.status == status
        {
            return lot.clone();
        }
        assert!(Instant::now() < until, "waited for {status:?}: {lot:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Checks that each item has exactly one line in the two files together, and
/// that each answer belongs to its item. Returns the number of lines in the
/// output and the error file.
pub(crate) async fn check_results(lots: &Lots, lot: &BatchObject) -> (usize, usize) {
    let output = lot.output_file_id.as_ref().unwrap();
    let output = read(lots, CUSTOMER, output).await.unwrap();
    let errors = match &lot.error_file_id {
        Some(file) => read(lots, CUSTOMER, file).await.unwrap(),
        None => String::new(),
    };
    let mut ids = Vec::new();
    for line in output.lines().chain(errors.lines()) {
        let line: serde_json::Value = serde_json::from_str(line).unwrap();
        let id = line["custom_id"].as_str().unwrap().to_owned();
        if let Some(echo) = line["response"]["body"]["echo"].as_str() {
            let number = id.strip_prefix("item-").unwrap();
            assert!(echo.contains(&format!("verse {number}\"")), "{id}: {echo}");
        }
        ids.push(id);
    }
    let lines = (output.lines().count(), errors.lines().count());
    let total = ids.len();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), total, "an item has two results");
    assert_eq!(lines.0 as u32, lot.request_counts.completed);
    assert_eq!(lines.1 as u32, lot.request_counts.failed);
    lines
}
