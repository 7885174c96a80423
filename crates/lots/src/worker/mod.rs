//! Running the items of open lots.

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
    HeldLease, ItemRunner, LeaseKeeper, LotStore, SlotSource, WallClock,
    held_segment::{HeldSegment, ItemResult},
    lot_view::LotView,
    lot_watch::follow_index,
    segment_store::SegmentStore,
};
use events::WorkerEvent;

/// How many messages wait for the worker.
const QUEUE: usize = 256;
/// How long the worker rests at most before it looks round.
const LOOK_EVERY: Duration = Duration::from_secs(1);
/// How many segments a daemon owns at once; each holds up to 1 MB of inputs
/// and as much of results.
const MAX_HELD: usize = 16;
/// How long a daemon that stops waits for its items to end.
const DRAIN_SPAN: Duration = Duration::from_secs(5);

/// Claims segments of open lots and runs their items.
///
/// One task owns all state and never waits for the platform or a backend
/// server: claims, writes and runs are tasks of their own that report back.
/// So a slow platform delays no cancel, and a slow item no write.
#[derive(Debug)]
pub struct LotWorker<S, C, R, G> {
    /// The lots to work on.
    pub lots: LotStore<S, C>,
    /// Runs items.
    pub runner: Arc<R>,
    /// Gives out bulk slots.
    pub slots: Arc<G>,
    /// This daemon's name, for those who look at claims.
    pub owner: String,
    /// When results are written.
    pub grouping: ResultGrouping,
    /// What is tried again.
    pub tries: ItemRetryPolicy,
    /// Which lot goes first.
    pub ranking: LotRanking,
}

impl<S, C, R, G> LotWorker<S, C, R, G>
where
    S: PlatformStore,
    C: WallClock,
    R: ItemRunner,
    G: SlotSource<Slot = R::Slot>,
{
    /// A worker with the usual settings.
    pub fn new(lots: LotStore<S, C>, runner: Arc<R>, slots: Arc<G>, owner: &str) -> Self {
        LotWorker {
            lots,
            runner,
            slots,
            owner: owner.to_owned(),
            grouping: ResultGrouping::default(),
            tries: ItemRetryPolicy::default(),
            ranking: LotRanking::default(),
        }
    }

    /// Works until `stop` is cancelled, then ends what runs, records what it
    /// has and gives its claims back.
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
        // The keeper ends by itself; a panic in it has been reported already.
        let _ = keeper.await;
    }
}

/// Results whose claim lapsed before they could be recorded.
#[derive(Debug)]
struct RescuedResults {
    lot: Arc<str>,
    segment: usize,
    results: Vec<ItemResult>,
}

/// How many items of a model went through.
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
    /// The lots with a claim under way.
    claiming: Vec<Arc<str>>,
    no_claim_before: Timestamp,
    rescued: Vec<RescuedResults>,
    /// Customers by the place that is their key.
    customers: Vec<Arc<str>>,
    models: Vec<ModelCount>,
    /// The open lots in rank, and until when that order is used.
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

    /// Ends what runs, records what there is, gives the claims back.
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

    /// What is due by time: writes, releases, ends of lots.
    fn look_round(&mut self) {
        let now = self.now();
        self.close_idle(now);
        self.write_groups(now);
        self.release_closed();
        self.finish_lots(now);
    }

    /// When to look round again.
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
