//! The worker, which runs the items of open lots.

mod events;
mod picking;
mod recording;

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{ItemRetryPolicy, LotRanking, ResultGrouping},
};
use comfreyramp_store::PlatformStore;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    HeldLease, ItemRunner, LeaseManager, LotStore, SlotSource, WallClock,
    held_segment::{HeldSegment, ItemResult},
    lot_view::LotView,
    lot_watch::watch_index,
    segment_store::SegmentStore,
};
use events::WorkerEvent;

/// The capacity of the worker's message queues.
const QUEUE_CAPACITY: usize = 256;
/// The maximum time between two checks for due work.
const MAX_WAKEUP_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of segments a daemon holds at once. Each takes up to 1 MB
/// for the inputs and as much for the results.
const MAX_HELD_SEGMENTS: usize = 16;
/// How long a daemon that shuts down waits for its items to stop.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);

/// Claims segments of open lots and runs their items.
///
/// One task owns all state and never waits for the store or a backend server.
/// Claims, writes and runs are separate tasks that report back through events.
/// A slow store therefore doesn't delay a cancellation, and a slow item doesn't
/// delay a write.
#[derive(Debug)]
pub struct LotWorker<S, C, R, G> {
    /// The store of the lots to run.
    pub lots: LotStore<S, C>,
    /// Runs the items.
    pub runner: Arc<R>,
    /// Grants slots for bulk work.
    pub slots: Arc<G>,
    /// The name of this daemon, stored in its claims for operators to read.
    pub owner: String,
    /// When groups of results are written.
    pub grouping: ResultGrouping,
    /// When items are retried or given up.
    pub attempts: ItemRetryPolicy,
    /// The order in which lots are run.
    pub ranking: LotRanking,
}

impl<S, C, R, G> LotWorker<S, C, R, G>
where
    S: PlatformStore,
    C: WallClock,
    R: ItemRunner,
    G: SlotSource<Slot = R::Slot>,
{
    /// Creates a worker with the default settings.
    pub fn new(lots: LotStore<S, C>, runner: Arc<R>, slots: Arc<G>, owner: &str) -> Self {
        LotWorker {
            lots,
            runner,
            slots,
            owner: owner.to_owned(),
            grouping: ResultGrouping::default(),
            attempts: ItemRetryPolicy::default(),
            ranking: LotRanking::default(),
        }
    }

    /// Runs items until `stop` is cancelled. Then stops running items, records
    /// the available results and releases all claims.
    pub async fn run(self, stop: CancellationToken) {
        let manager = LeaseManager::new(self.lots.store.clone());
        let lease = manager.subscribe();
        let manager_stop = CancellationToken::new();
        let manager = tokio::spawn(manager.run(manager_stop.clone()));
        let (update_sender, updates) = mpsc::channel(QUEUE_CAPACITY);
        tokio::spawn(watch_index(self.lots.store.clone(), update_sender));
        let mut state = WorkerState::new(self, lease);
        state.work(updates, stop).await;
        manager_stop.cancel();
        // The manager's task ends by itself. A panic in it has already been
        // reported.
        let _ = manager.await;
    }
}

/// Results whose claim expired before they could be recorded.
#[derive(Debug)]
struct UnrecordedResults {
    lot: Arc<str>,
    segment: usize,
    results: Vec<ItemResult>,
}

/// The number of items of a model that succeeded.
#[derive(Debug)]
struct ModelCount {
    model: Arc<str>,
    done: u64,
}

struct WorkerState<S, C, R: ItemRunner, G> {
    config: LotWorker<S, C, R, G>,
    segments: SegmentStore<S>,
    view: LotView,
    held: Vec<HeldSegment<R::Resume>>,
    next_key: u64,
    lease: watch::Receiver<Option<HeldLease>>,
    sender: mpsc::Sender<WorkerEvent<R>>,
    events: mpsc::Receiver<WorkerEvent<R>>,
    /// The lots with a claim in progress.
    claiming: Vec<Arc<str>>,
    no_claim_before: Timestamp,
    unrecorded: Vec<UnrecordedResults>,
    /// The customers; a customer's index in this list is its key.
    customers: Vec<Arc<str>>,
    models: Vec<ModelCount>,
    /// The open lots by rank, and how long that order is valid.
    ranked_lots: Vec<Arc<str>>,
    ranking_valid_until: Timestamp,
    suspects_running: usize,
    mean_tokens: f64,
    random: StdRng,
    origin: Instant,
}

impl<S, C, R, G> WorkerState<S, C, R, G>
where
    S: PlatformStore,
    C: WallClock,
    R: ItemRunner,
    G: SlotSource<Slot = R::Slot>,
{
    fn new(config: LotWorker<S, C, R, G>, lease: watch::Receiver<Option<HeldLease>>) -> Self {
        let (sender, events) = mpsc::channel(QUEUE_CAPACITY);
        WorkerState {
            segments: SegmentStore {
                store: config.lots.store.clone(),
                retry: config.lots.retry,
            },
            config,
            view: LotView::default(),
            held: Vec::new(),
            next_key: 0,
            lease,
            sender,
            events,
            claiming: Vec::new(),
            no_claim_before: Timestamp::ZERO,
            unrecorded: Vec::new(),
            customers: Vec::new(),
            models: Vec::new(),
            ranked_lots: Vec::new(),
            ranking_valid_until: Timestamp::ZERO,
            suspects_running: 0,
            mean_tokens: picking::INITIAL_MEAN_TOKENS,
            random: StdRng::from_os_rng(),
            origin: Instant::now(),
        }
    }

    async fn work(
        &mut self,
        mut updates: mpsc::Receiver<crate::lot_watch::IndexUpdate>,
        stop: CancellationToken,
    ) {
        let slots = self.config.slots.clone();
        while !stop.is_cancelled() {
            let wanted = self.wanted_models();
            let next_wakeup = self.next_wakeup();
            tokio::select! {
                biased;
                () = stop.cancelled() => {}
                Ok(()) = self.lease.changed() => self.on_lease(),
                Some(update) = updates.recv() => self.on_index_update(update),
                Some(event) = self.events.recv() => self.on_event(event),
                () = tokio::time::sleep_until(next_wakeup) => {}
                (index, slot) = slots.acquire(&wanted), if !wanted.is_empty() => {
                    self.use_slot(&wanted[index], slot);
                }
            }
            self.run_due_work();
        }
        self.drain().await;
    }

    /// Stops running items, records the available results and releases the
    /// claims.
    async fn drain(&mut self) {
        let until = Instant::now() + DRAIN_TIMEOUT;
        for segment in &mut self.held {
            segment.is_closing = true;
            segment.stop.cancel();
        }
        self.run_due_work();
        while !self.held.is_empty() {
            tokio::select! {
                Ok(()) = self.lease.changed() => self.on_lease(),
                Some(event) = self.events.recv() => self.on_event(event),
                () = tokio::time::sleep_until(until) => return,
            }
            self.run_due_work();
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Performs the work that is due: writing results, releasing claims and
    /// finishing lots.
    fn run_due_work(&mut self) {
        let now = self.now();
        self.close_idle(now);
        self.write_groups(now);
        self.release_closed();
        self.finish_lots(now);
    }

    /// Returns when the next work may be due.
    fn next_wakeup(&self) -> Instant {
        let now = self.now();
        let mut next = now + MAX_WAKEUP_INTERVAL;
        for segment in &self.held {
            let due = segment.write_due(&self.config.grouping);
            let wait = segment.next_ready_at().filter(|&it| it > now);
            next = due.into_iter().chain(wait).fold(next, Timestamp::min);
        }
        self.origin + next.since(Timestamp::ZERO)
    }

    fn held_mut(&mut self, key: u64) -> Option<&mut HeldSegment<R::Resume>> {
        let index = self.held.binary_search_by_key(&key, |it| it.key).ok()?;
        Some(&mut self.held[index])
    }

    fn customer_key(&mut self, name: &str) -> CustomerId {
        if let Some(index) = self.customers.iter().position(|it| **it == *name) {
            return CustomerId(index as u32);
        }
        let customer = CustomerId(self.customers.len() as u32);
        self.customers.push(name.into());
        customer
    }

    fn model_count(&mut self, model: &str) -> &mut ModelCount {
        let index = match self.models.binary_search_by(|it| (*it.model).cmp(model)) {
            Ok(index) => index,
            Err(index) => {
                let count = ModelCount {
                    model: model.into(),
                    done: 0,
                };
                self.models.insert(index, count);
                index
            }
        };
        &mut self.models[index]
    }
}
