//! The worker, which runs the items of open lots.

mod events;
mod picking;
mod recording;

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{LotRanking, ResultGrouping, TryPolicy},
};
use comfreyramp_store::PlatformStore;
use rand::{SeedableRng, rngs::StdRng};
use tokio::{
    sync::{mpsc, watch},
    time::Instant,
};
use tokio_util::sync::CancellationToken;

use crate::{
    HeldLease, ItemRunner, LeaseKeeper, LotStore, SlotSource, WallClock,
    held_segment::{HeldSegment, ItemResult},
    lot_view::LotView,
    lot_watch::follow_index,
    segment_store::SegmentStore,
};
use events::WorkerEvent;

/// The capacity of the worker's message queues.
const QUEUE: usize = 256;
/// The maximum time between two checks for due work.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// The maximum number of segments a daemon holds at once. Each takes up to 1 MB
/// for the inputs and as much for the results.
const MAX_HELD: usize = 16;
/// How long a daemon that shuts down waits for its items to stop.
const DRAIN_SPAN: Duration = Duration::from_secs(5);

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
    pub tries: TryPolicy,
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
            tries: TryPolicy::default(),
            ranking: LotRanking::default(),
        }
    }

    /// Runs items until `stop` is cancelled. Then stops running items, records
    /// the available results and releases all claims.
    pub async fn run(self, stop: CancellationToken) {
        let keeper = LeaseKeeper::new(self.lots.store.clone());
        let lease = keeper.subscribe();
        let keeper_stop = CancellationToken::new();
        let keeper = tokio::spawn(keeper.run(keeper_stop.clone()));
        let (news_sender, news) = mpsc::channel(QUEUE);
        tokio::spawn(follow_index(self.lots.store.clone(), news_sender));
        let mut state = WorkerState::new(self, lease);
        state.work(news, stop).await;
        keeper_stop.cancel();
        // The manager's task ends by itself. A panic in it has already been
        // reported.
        let _ = keeper.await;
    }
}

/// Results whose claim expired before they could be recorded.
#[derive(Debug)]
struct RescuedResults {
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
    rescued: Vec<RescuedResults>,
    /// The customers; a customer's index in this list is its key.
    customers: Vec<Arc<str>>,
    models: Vec<ModelCount>,
    /// The open lots by rank, and how long that order is valid.
    order: Vec<Arc<str>>,
    order_until: Timestamp,
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
        let (sender, events) = mpsc::channel(QUEUE);
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
            rescued: Vec::new(),
            customers: Vec::new(),
            models: Vec::new(),
            order: Vec::new(),
            order_until: Timestamp::ZERO,
            suspects_running: 0,
            mean_tokens: picking::FIRST_MEAN_TOKENS,
            random: StdRng::from_os_rng(),
            origin: Instant::now(),
        }
    }

    async fn work(
        &mut self,
        mut news: mpsc::Receiver<crate::lot_watch::IndexNews>,
        stop: CancellationToken,
    ) {
        let slots = self.config.slots.clone();
        while !stop.is_cancelled() {
            let wanted = self.wanted_models();
            let next_look = self.next_look();
            tokio::select! {
                biased;
                () = stop.cancelled() => {}
                Ok(()) = self.lease.changed() => self.on_lease(),
                Some(news) = news.recv() => self.on_news(news),
                Some(event) = self.events.recv() => self.on_event(event),
                () = tokio::time::sleep_until(next_look) => {}
                (place, slot) = slots.acquire(&wanted), if !wanted.is_empty() => {
                    self.use_slot(&wanted[place], slot);
                }
            }
            self.look_round();
        }
        self.drain().await;
    }

    /// Stops running items, records the available results and releases the
    /// claims.
    async fn drain(&mut self) {
        let until = Instant::now() + DRAIN_SPAN;
        for segment in &mut self.held {
            segment.is_closing = true;
            segment.stop.cancel();
        }
        self.look_round();
        while !self.held.is_empty() {
            tokio::select! {
                Ok(()) = self.lease.changed() => self.on_lease(),
                Some(event) = self.events.recv() => self.on_event(event),
                () = tokio::time::sleep_until(until) => return,
            }
            self.look_round();
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::ZERO + self.origin.elapsed()
    }

    /// Performs the work that is due: writes, releases and closing of lots.
    fn look_round(&mut self) {
        let now = self.now();
        self.close_idle(now);
        self.write_groups(now);
        self.release_closed();
        self.finish_lots(now);
    }

    /// Returns when the next work may be due.
    fn next_look(&self) -> Instant {
        let now = self.now();
        let mut next = now + LOOK_EVERY;
        for segment in &self.held {
            let due = segment.write_due(&self.config.grouping);
            let wait = segment.next_wait().filter(|&it| it > now);
            next = due.into_iter().chain(wait).fold(next, Timestamp::min);
        }
        self.origin + next.since(Timestamp::ZERO)
    }

    fn held_mut(&mut self, key: u64) -> Option<&mut HeldSegment<R::Resume>> {
        let place = self.held.binary_search_by_key(&key, |it| it.key).ok()?;
        Some(&mut self.held[place])
    }

    fn customer_key(&mut self, name: &str) -> CustomerId {
        if let Some(place) = self.customers.iter().position(|it| **it == *name) {
            return CustomerId(place as u32);
        }
        let customer = CustomerId(self.customers.len() as u32);
        self.customers.push(name.into());
        customer
    }

    fn model_count(&mut self, model: &str) -> &mut ModelCount {
        let place = match self.models.binary_search_by(|it| (*it.model).cmp(model)) {
            Ok(place) => place,
            Err(place) => {
                let count = ModelCount {
                    model: model.into(),
                    done: 0,
                };
                self.models.insert(place, count);
                place
            }
        };
        &mut self.models[place]
    }
}
