//! Running the items of lots.

use std::{rc::Rc, time::Duration};

use comfreyramp_policy::{
    ServerId, Timestamp,
    lots::{RunPace, StartRank},
    placement::{PlacementQuery, WorkKind, YieldOrder},
};
use comfreyramp_store::{KeyRange, PlatformStore, StoreError};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;

use super::{
    held_lot::{HeldLot, ItemPhase},
    item_run::{ItemEnd, ItemRun, run_item},
    keys,
    notices::{LotNotice, LotProgress, LotStage},
    writer::{self, ClaimAnswer, ClaimEnd, WriteAnswer},
};
use crate::{
    clock::unix_millis, dialect::Dialect, fleet::draw_service, model::ItemResult, node::Node,
    path::AttemptGuard,
};

/// How often the worker looks round where nothing else wakes it.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How often all open lots are listed. Notices come by datagrams; this finds
/// what they missed, such as lots of daemons that were lost right after.
const LIST_INTERVAL: Duration = Duration::from_secs(4);
/// A lot that the daemon it falls to hasn't claimed for so long goes to any.
const CLAIM_PATIENCE: Duration = Duration::from_millis(2_500);
/// The pause after a claim that failed.
const CLAIM_PAUSE: Duration = Duration::from_millis(1_000);
/// Results wait this long for others of their lot, since each write is billed.
const GROUP_SPAN: Duration = Duration::from_millis(1_200);
/// The pause after a write that the store didn't answer.
const WRITE_PAUSE: Duration = Duration::from_millis(500);
/// The items that run here at once, each with its output in memory.
const MOST_RUNNING: usize = 64;
/// The lots that are held at once.
const MOST_HELD: usize = 48;
/// How long a stop waits for results to be written and claims to be given back.
const DRAIN_SPAN: Duration = Duration::from_secs(3);
/// An item whose time is up soon isn't started: its server would stop half-way.
const LEAST_TIME: Duration = Duration::from_millis(300);

/// A lot that waits for a claim.
#[derive(Debug)]
struct Candidate {
    lot: String,
    known_at: Timestamp,
    not_before: Timestamp,
    is_claiming: bool,
}

enum WorkerEvent {
    Claimed(String, ClaimAnswer),
    Reclaimed(Rc<str>, Result<ClaimEnd, StoreError>),
    Ended(Rc<str>, usize, ItemEnd),
    Written(Rc<str>, WriteAnswer),
    /// The open lots, and when they were asked for.
    Listed(Vec<String>, Timestamp),
}

struct LotWorker<D: Dialect> {
    node: Rc<Node<D>>,
    /// Those due first come first.
    held: Vec<HeldLot>,
    candidates: Vec<Candidate>,
    running: usize,
    pace: RunPace,
    sender: UnboundedSender<WorkerEvent>,
    events: UnboundedReceiver<WorkerEvent>,
    listed_at: Option<Timestamp>,
    no_write_before: Timestamp,
}

/// Runs the items of lots until `stop` is cancelled, then gives all claims back.
pub async fn run_lots<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let (sender, events) = unbounded_channel();
    let mut worker = LotWorker {
        node,
        held: Vec::new(),
        candidates: Vec::new(),
        running: 0,
        pace: RunPace::default(),
        sender,
        events,
        listed_at: None,
        no_write_before: Timestamp::ZERO,
    };
    while !stop.is_cancelled() {
        let node = worker.node.clone();
        tokio::select! {
            Some(event) = worker.events.recv() => worker.on_event(event),
            () = node.bulk_wake.notified() => {}
            () = tokio::time::sleep(LOOK_INTERVAL) => {}
            () = stop.cancelled() => {}
        }
        worker.look_round();
    }
    worker.drain().await;
}

impl<D: Dialect> LotWorker<D> {
    fn look_round(&mut self) {
        let now = self.node.clock.now();
        self.take_notices(now);
        self.list_open(now);
        self.claim_candidates(now);
        self.check_leases(now);
        self.give_up_late(now);
        self.step_aside(now);
        match self.node.is_retiring.get() {
            true => self.close_all(),
            false => self.start_items(now),
        }
        self.write_groups(now);
        self.release_closed();
    }

    fn take_notices(&mut self, now: Timestamp) {
        let inbox = self.node.take_lot_inbox();
        for lot in inbox.accepted {
            self.add_candidate(lot, now);
        }
        for lot in inbox.ended {
            self.candidates.retain(|it| it.lot != lot);
            if let Some(held) = self.find(&lot) {
                held.end();
            }
        }
    }

    fn add_candidate(&mut self, lot: String, now: Timestamp) {
        let is_known = self.candidates.iter().any(|it| it.lot == lot)
            || self.held.iter().any(|it| *it.id == *lot)
            || self.node.told_finished(&lot);
        if !is_known {
            self.candidates.push(Candidate {
                lot,
                known_at: now,
                not_before: now,
                is_claiming: false,
            });
        }
    }

    /// Takes in a lot that a listing shows. Where nobody tells that it runs, the
    /// daemon to which it falls may not have heard of it.
    fn add_listed(&mut self, lot: &str, now: Timestamp) {
        let is_held = self.held.iter().any(|it| *it.id == *lot);
        if !is_held && !self.node.is_held_elsewhere(lot) && !self.node.is_own_lot(lot) {
            self.node.tell_lot(LotNotice::Accepted(lot.to_owned()));
        }
        self.add_candidate(lot.to_owned(), now);
    }

    /// Lists all open lots now and then.
    fn list_open(&mut self, now: Timestamp) {
        let is_due = self
            .listed_at
            .is_none_or(|it| now.since(it) >= LIST_INTERVAL);
        if !is_due || self.node.lease().is_none() || !self.node.is_lister() {
            return;
        }
        self.listed_at = Some(now);
        let node = self.node.clone();
        let sender = self.sender.clone();
        tokio::task::spawn_local(async move {
            match node
                .store
                .range(KeyRange::Prefix(keys::OPEN.to_owned()), 0)
                .await
            {
                Ok(answer) => {
                    let marks = answer.pairs.iter().map(|it| it.key.as_str());
                    let lots = marks.filter_map(|it| it.strip_prefix(keys::OPEN));
                    let lots = lots.map(str::to_owned);
                    // The worker outlives its tasks but for the end of the process.
                    let _ = sender.send(WorkerEvent::Listed(lots.collect(), now));
                }
                Err(error) => {
                    node.note_store_trouble();
                    log::warn!(error:% = error; "lots: open lots can't be listed");
                }
            }
        });
    }

    /// Claims what falls to this daemon, and what another left lying.
    fn claim_candidates(&mut self, now: Timestamp) {
        if self.node.lease().is_none() || self.node.is_retiring.get() {
            return;
        }
        // What another daemon has finished would be claimed by each one in turn, just
        // to find that nothing is left: 26 writes a lot with 14 daemons.
        let node = &self.node;
        self.candidates
            .retain(|it| it.is_claiming || !node.told_finished(&it.lot));
        let mut held = self.held.len();
        for candidate in &mut self.candidates {
            if candidate.is_claiming || candidate.not_before > now || held >= MOST_HELD {
                continue;
            }
            if self.node.is_held_elsewhere(&candidate.lot) {
                candidate.known_at = now;
                continue;
            }
            let is_own = self.node.is_own_lot(&candidate.lot);
            if !is_own && now.since(candidate.known_at) < CLAIM_PATIENCE {
                continue;
            }
            candidate.is_claiming = true;
            held += 1;
            let node = self.node.clone();
            let sender = self.sender.clone();
            let lot = candidate.lot.clone();
            tokio::task::spawn_local(async move {
                let answer = writer::claim_lot(&node, &lot).await;
                let _ = sender.send(WorkerEvent::Claimed(lot, answer));
            });
        }
    }

    /// Claims anew what hung on a lease that lapsed.
    fn check_leases(&mut self, now: Timestamp) {
        let Some(lease) = self.node.lease().filter(|_| now >= self.no_write_before) else {
            return;
        };
        for held in &mut self.held {
            if held.claim.is_some() && held.lease == Some(lease.id) {
                continue;
            }
            if held.is_reclaiming || held.is_closing {
                continue;
            }
            held.is_reclaiming = true;
            held.claim = None;
            held.lease = Some(lease.id);
            let node = self.node.clone();
            let sender = self.sender.clone();
            let (lot, next_group) = (held.id.clone(), held.groups);
            let lease = lease.id;
            tokio::task::spawn_local(async move {
                let claim = writer::write_claim(&node, &lot, lease, Some(next_group)).await;
                let _ = sender.send(WorkerEvent::Reclaimed(lot, claim));
            });
        }
    }

    fn on_event(&mut self, event: WorkerEvent) {
        let now = self.node.clock.now();
        match event {
            WorkerEvent::Claimed(lot, answer) => self.on_claimed(&lot, answer, now),
            WorkerEvent::Reclaimed(lot, claim) => self.on_reclaimed(&lot, claim, now),
            WorkerEvent::Ended(lot, item, end) => {
                self.running -= 1;
                self.node.metrics.lot(end.as_str(), 1);
                if let Some(held) = self.held.iter_mut().find(|it| *it.id == *lot) {
                    held.end_run(item, end, &mut self.pace, now);
                }
            }
            WorkerEvent::Written(lot, answer) => self.on_written(&lot, answer, now),
            WorkerEvent::Listed(lots, asked_at) => {
                for lot in &lots {
                    self.add_listed(lot, now);
                }
                self.close_ended(&lots, asked_at);
                self.candidates.retain(|it| {
                    let is_young = now.since(it.known_at) < CLAIM_PATIENCE;
                    is_young || it.is_claiming || lots.contains(&it.lot)
                });
            }
        }
    }

    fn on_reclaimed(&mut self, lot: &str, claim: Result<ClaimEnd, StoreError>, now: Timestamp) {
        let Some(held) = self.find(lot) else {
            return;
        };
        held.is_reclaiming = false;
        match claim {
            Ok(ClaimEnd::Claimed(revision)) => held.claim = Some(revision),
            Ok(end) => {
                log::info!(lot = lot, end:? = end; "lots: not this daemon's any more");
                held.is_closing = true;
                held.stop_items();
                if end == ClaimEnd::Taken {
                    self.add_candidate_again(lot, now);
                }
            }
            Err(error) => {
                log::warn!(lot = lot, error:% = error; "lots: a claim isn't renewed yet");
                self.no_write_before = now + WRITE_PAUSE;
            }
        }
    }

    /// Stops lots that aren't open any more, though nobody told that they ended.
    fn close_ended(&mut self, open: &[String], asked_at: Timestamp) {
        for held in &mut self.held {
            let was_held = held.held_since < asked_at;
            if was_held && !held.is_done() && !open.iter().any(|it| **it == *held.id) {
                log::info!(lot:% = held.id; "lots: not open any more");
                held.end();
            }
        }
    }

    fn on_claimed(&mut self, lot: &str, answer: ClaimAnswer, now: Timestamp) {
        match answer {
            ClaimAnswer::Claimed(held) => {
                self.candidates.retain(|it| it.lot != lot);
                log::info!(
                    lot = lot, items = held.head.total, listed = held.listed, due = held.head.due;
                    "lots: claimed"
                );
                self.node.metrics.lot("claimed", 1);
                self.tell_progress(&held, now);
                let place = self.held.partition_point(|it| it.head.due <= held.head.due);
                self.held.insert(place, *held);
            }
            ClaimAnswer::Gone => self.candidates.retain(|it| it.lot != lot),
            ClaimAnswer::Taken | ClaimAnswer::Unknown => {
                let candidate = self.candidates.iter_mut().find(|it| it.lot == lot);
                if let Some(candidate) = candidate {
                    candidate.is_claiming = false;
                    candidate.not_before = now + CLAIM_PAUSE;
                }
            }
        }
    }

    fn on_written(&mut self, lot: &str, answer: WriteAnswer, now: Timestamp) {
        let Some(place) = self.held.iter().position(|it| *it.id == *lot) else {
            return;
        };
        let held = &mut self.held[place];
        held.is_writing = false;
        match answer {
            WriteAnswer::Written => {
                let results: Vec<ItemResult> = held.unwritten.drain(..held.writing).collect();
                let key = keys::group(lot, held.groups);
                self.node
                    .lot_cache
                    .borrow_mut()
                    .add_results(lot, results, key, now);
                held.listed += held.writing;
                held.writing = 0;
                held.groups += 1;
                held.unwritten_since = now;
                self.node.metrics.lot("group_written", 1);
                let held = &self.held[place];
                self.tell_progress(held, now);
                if held.listed >= held.head.total {
                    log::info!(lot = lot, results = held.listed; "lots: finished");
                    self.held.remove(place);
                }
            }
            WriteAnswer::Fenced => {
                log::info!(lot = lot; "lots: the claim is lost");
                held.is_closing = true;
                held.claim = None;
                held.unwritten.clear();
                held.writing = 0;
                held.stop_items();
                self.add_candidate_again(lot, now);
            }
            WriteAnswer::Unknown => self.no_write_before = now + WRITE_PAUSE,
        }
    }

    /// A lot whose claim was lost may be left to nobody: it is looked at again.
    fn add_candidate_again(&mut self, lot: &str, now: Timestamp) {
        self.candidates.push(Candidate {
            lot: lot.to_owned(),
            known_at: now,
            not_before: now + CLAIM_PAUSE,
            is_claiming: false,
        });
    }

    /// Gives up items whose time is over.
    fn give_up_late(&mut self, now: Timestamp) {
        let millis = unix_millis();
        for held in &mut self.held {
            if millis + LEAST_TIME.as_millis() as u64 >= held.head.given_up {
                held.give_up_waiting("out of time", now);
            }
        }
    }

    /// Stops items where live requests need their slots: those that have run for
    /// the shortest, which hold back the least when they go on elsewhere.
    fn step_aside(&mut self, now: Timestamp) {
        let orders = self.node.servers.borrow_mut().yield_orders(now);
        for order in orders {
            self.stop_youngest(order);
        }
    }

    fn stop_youngest(&self, order: YieldOrder) {
        let items = self.held.iter().flat_map(|it| &it.items);
        let mut runs: Vec<(Timestamp, &CancellationToken)> = items
            .filter_map(|it| match &it.phase {
                ItemPhase::Running {
                    server,
                    begun,
                    stop,
                } if *server == order.server => Some((*begun, stop)),
                _ => None,
            })
            .collect();
        let already = runs.iter().filter(|it| it.1.is_cancelled()).count();
        runs.retain(|it| !it.1.is_cancelled());
        runs.sort_by_key(|it| std::cmp::Reverse(it.0));
        let wanted = (order.items as usize).saturating_sub(already);
        for (_, stop) in runs.into_iter().take(wanted) {
            stop.cancel();
            self.node.metrics.lot("stepped_aside", 1);
        }
    }

    /// Starts items as long as servers have slots left over.
    fn start_items(&mut self, now: Timestamp) {
        let Some(fleet) = self.node.fleet() else {
            return;
        };
        for place in self.start_order(now) {
            while self.running < MOST_RUNNING {
                let Some(item) = self.held[place].next_waiting(now) else {
                    break;
                };
                let held = &self.held[place];
                let path = &held.items[item].item.path;
                let Some(route) = fleet.route(&held.head.host, path) else {
                    log::info!(lot:% = held.id; "lots: its route is gone");
                    self.held[place].give_up_waiting("no route", now);
                    break;
                };
                let Some(server) = self.choose_server(&route, now) else {
                    break;
                };
                self.start(place, item, server, now);
            }
        }
    }

    /// The lots with items that may start, in the order in which they do.
    fn start_order(&self, now: Timestamp) -> Vec<usize> {
        let millis = unix_millis();
        let mut ranked: Vec<(StartRank, usize)> = Vec::new();
        for (place, held) in self.held.iter().enumerate() {
            if let Some(item) = held.next_waiting(now) {
                ranked.push((held.start_rank(item, &self.pace, millis), place));
            }
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|it| it.1).collect()
    }

    fn choose_server(
        &self,
        route: &crate::model::RouteSettings,
        now: Timestamp,
    ) -> Option<ServerId> {
        let servers = self.node.servers.borrow();
        let mut random = rand::rng();
        let service = draw_service(route, |it| servers.has_server(it), &mut random)?;
        let query = PlacementQuery {
            service,
            zone: &self.node.settings.zone,
            exclude: &[],
            longest_wait: Duration::ZERO,
        };
        servers
            .choose_bulk(query, now, &mut random)
            .map(|it| it.server)
    }

    fn start(&mut self, place: usize, item: usize, server: ServerId, now: Timestamp) {
        let held = &mut self.held[place];
        let stop = CancellationToken::new();
        let left = held.head.given_up.saturating_sub(unix_millis());
        let run = ItemRun {
            item: held.items[item].item.clone(),
            host: held.head.host.clone(),
            customer: held.head.customer.clone(),
            progress: held.items[item].progress.clone(),
            time_left: Duration::from_millis(left),
            stop: stop.clone(),
        };
        held.items[item].phase = ItemPhase::Running {
            server,
            begun: now,
            stop,
        };
        self.running += 1;
        let guard = AttemptGuard::begin(self.node.clone(), server, WorkKind::Bulk);
        let node = self.node.clone();
        let sender = self.sender.clone();
        let lot = held.id.clone();
        tokio::task::spawn_local(async move {
            let end = run_item(&node, guard, run).await;
            let _ = sender.send(WorkerEvent::Ended(lot, item, end));
        });
    }

    /// Writes results: those that have waited, and the last of a lot at once.
    fn write_groups(&mut self, now: Timestamp) {
        if now < self.no_write_before {
            return;
        }
        for held in &mut self.held {
            let Some(claim) = held.claim else {
                continue;
            };
            if held.is_writing || held.unwritten.is_empty() {
                continue;
            }
            let waited = now.since(held.unwritten_since) >= GROUP_SPAN;
            if !waited && !held.is_done() && !held.is_closing && held.writing == 0 {
                continue;
            }
            // A write without an answer is repeated as it was: it may yet take effect.
            if held.writing == 0 {
                held.writing = held.unwritten.len();
            }
            held.is_writing = true;
            let results = held.unwritten[..held.writing].to_vec();
            let is_last = held.listed + results.len() >= held.head.total;
            let (node, sender) = (self.node.clone(), self.sender.clone());
            let (lot, number) = (held.id.clone(), held.groups);
            tokio::task::spawn_local(async move {
                let writing = writer::write_results(&node, &lot, claim, number, &results, is_last);
                let answer = writing.await;
                let _ = sender.send(WorkerEvent::Written(lot, answer));
            });
        }
    }

    /// Gives back the claims of lots that aren't run here any further.
    fn release_closed(&mut self) {
        let mut place = 0;
        while place < self.held.len() {
            let held = &self.held[place];
            let is_free = held.is_closing
                && !held.has_running()
                && !held.is_writing
                && !held.is_reclaiming
                && (held.unwritten.is_empty() || held.claim.is_none());
            if !is_free {
                place += 1;
                continue;
            }
            let held = self.held.remove(place);
            self.tell_stage(&held, LotStage::Left, self.node.clock.now());
            if let Some(claim) = held.claim {
                let node = self.node.clone();
                tokio::task::spawn_local(async move {
                    writer::release(&node, &held.id, claim).await;
                });
            }
        }
    }

    fn tell_progress(&self, held: &HeldLot, now: Timestamp) {
        let stage = match held.listed >= held.head.total {
            true => LotStage::Finished,
            false => LotStage::Held,
        };
        self.tell_stage(held, stage, now);
    }

    fn tell_stage(&self, held: &HeldLot, stage: LotStage, now: Timestamp) {
        let progress = LotProgress {
            lot: held.id.to_string(),
            results: held.listed as u16,
            stage,
        };
        let mut notices = self.node.lot_notices.borrow_mut();
        notices.tell_progress(progress, now);
        self.node.load_changed.notify_one();
    }

    fn find(&mut self, lot: &str) -> Option<&mut HeldLot> {
        self.held.iter_mut().find(|it| *it.id == *lot)
    }

    /// Runs nothing any further here.
    fn close_all(&mut self) {
        for held in &mut self.held {
            held.is_closing = true;
            held.stop_items();
        }
    }

    /// Stops all items, writes what there is and gives the claims back.
    async fn drain(&mut self) {
        let until = self.node.clock.now() + DRAIN_SPAN;
        self.close_all();
        while !self.held.is_empty() && self.node.clock.now() < until {
            let now = self.node.clock.now();
            self.write_groups(now);
            self.release_closed();
            tokio::select! {
                Some(event) = self.events.recv() => self.on_event(event),
                () = tokio::time::sleep(LOOK_INTERVAL) => {}
            }
        }
        // Claims that are being given back need a moment more.
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
}
