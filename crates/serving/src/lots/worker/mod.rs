//! Runs the items of lots.

mod claims;
mod items;
mod results;

use std::{rc::Rc, time::Duration};

use comfreyramp_policy::{
    Timestamp,
    lots::{RunTimeEstimate, was_out_of_contact},
};
use comfreyramp_store::StoreError;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio_util::sync::CancellationToken;

use super::{
    candidates::LotCandidates,
    held_lot::HeldLot,
    item_run::ItemOutcome,
    records::ItemFaults,
    writer::{ClaimAnswer, ClaimOutcome, WriteAnswer},
};
use crate::{dialect::Dialect, node::Node};

/// Longest time between two cycles of the worker when no event wakes it.
const CYCLE_INTERVAL: Duration = Duration::from_millis(100);
/// Delay after a write that the store didn't answer.
const WRITE_BACKOFF: Duration = Duration::from_millis(500);
/// Time limit at shutdown for writing results and releasing claims.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

enum WorkerEvent {
    Claimed(String, ClaimAnswer),
    Reclaimed(Rc<str>, Result<ClaimOutcome, StoreError>),
    Ended(Rc<str>, usize, ItemOutcome),
    Written(Rc<str>, WriteAnswer),
    Faults(Rc<str>, Vec<ItemFaults>, WriteAnswer),
    Listed(ListedLots),
}

/// Open lots at the time of a listing.
struct ListedLots {
    open: Vec<String>,
    /// Lots that other daemons reported to run, before the listing was requested.
    held_elsewhere: Vec<String>,
    requested_at: Timestamp,
}

impl ListedLots {
    /// Returns the lots that other daemons run although they aren't open. The open mark of
    /// a lot is written before any daemon can run it, so a lot without a mark has been
    /// ended or finished.
    fn no_longer_open(&self) -> impl Iterator<Item = &str> {
        let held = self.held_elsewhere.iter();
        held.filter(|it| !self.open.contains(it))
            .map(String::as_str)
    }
}

struct LotWorker<D: Dialect> {
    node: Rc<Node<D>>,
    /// Sorted by due time, the earliest first.
    held: Vec<HeldLot>,
    candidates: LotCandidates,
    /// Lots that this daemon finished or that had no items left when it claimed them, and
    /// when that was found.
    exhausted: Vec<(String, Timestamp)>,
    running: usize,
    run_times: RunTimeEstimate,
    sender: UnboundedSender<WorkerEvent>,
    events: UnboundedReceiver<WorkerEvent>,
    listed_at: Option<Timestamp>,
    no_write_before: Timestamp,
    handed_over_at: Timestamp,
    last_cycle_at: Timestamp,
    /// When the process last resumed after a suspension, for instance of its VM. Reports
    /// that peers sent meanwhile arrive shortly after that moment; items started before
    /// would run for a lot that may have been ended long ago.
    resumed_at: Option<Timestamp>,
}

/// Runs the items of lots until `stop` is cancelled, then releases all claims.
pub async fn run_lots<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    let (sender, events) = unbounded_channel();
    let last_cycle_at = node.clock.now();
    let mut worker = LotWorker {
        node,
        held: Vec::new(),
        candidates: LotCandidates::default(),
        exhausted: Vec::new(),
        running: 0,
        run_times: RunTimeEstimate::default(),
        sender,
        events,
        listed_at: None,
        no_write_before: Timestamp::ZERO,
        handed_over_at: last_cycle_at,
        last_cycle_at,
        resumed_at: None,
    };
    while !stop.is_cancelled() {
        let node = worker.node.clone();
        tokio::select! {
            Some(event) = worker.events.recv() => worker.on_event(event),
            () = node.bulk_work_changed.notified() => {}
            () = tokio::time::sleep(CYCLE_INTERVAL) => {}
            () = stop.cancelled() => {}
        }
        worker.run_cycle();
    }
    worker.drain().await;
}

impl<D: Dialect> LotWorker<D> {
    fn run_cycle(&mut self) {
        let now = self.node.clock.now();
        if was_out_of_contact(Some(self.last_cycle_at), now) {
            self.resumed_at = Some(now);
        }
        self.last_cycle_at = now;
        self.process_notices(now);
        self.list_open(now);
        self.claim_candidates(now);
        self.check_leases(now);
        self.give_up_expired(now);
        self.preempt_items(now);
        match self.node.is_retiring.get() {
            true => self.close_all(),
            false => self.start_items(now),
        }
        self.write_faults(now);
        self.write_groups(now);
        self.note_held_items();
        self.hand_over(now);
        self.release_closed();
    }

    /// Publishes the number of items to run here, if it has changed.
    fn note_held_items(&self) {
        let items = self.held.iter().map(HeldLot::open_items).sum();
        if self.node.pending_items.replace(items) != items {
            self.node.load_changed.notify_one();
        }
    }

    fn on_event(&mut self, event: WorkerEvent) {
        let now = self.node.clock.now();
        match event {
            WorkerEvent::Claimed(lot, answer) => self.on_claimed(&lot, answer, now),
            WorkerEvent::Reclaimed(lot, claim) => self.on_reclaimed(&lot, claim, now),
            WorkerEvent::Ended(lot, item, outcome) => {
                self.running -= 1;
                self.node.metrics.lot(outcome.as_str(), 1);
                if let Some(held) = self.held.iter_mut().find(|it| *it.id == *lot) {
                    held.end_run(item, outcome, &mut self.run_times, now);
                }
            }
            WorkerEvent::Written(lot, answer) => self.on_written(&lot, answer, now),
            WorkerEvent::Faults(lot, counts, answer) => self.on_faults(&lot, &counts, answer, now),
            WorkerEvent::Listed(listed) => self.on_listed(&listed, now),
        }
    }

    fn find(&mut self, lot: &str) -> Option<&mut HeldLot> {
        self.held.iter_mut().find(|it| *it.id == *lot)
    }

    /// Stops running all lots on this daemon.
    fn close_all(&mut self) {
        for held in &mut self.held {
            held.is_closing = true;
            held.stop_items();
        }
    }

    /// Stops all items, writes the results there are and releases the claims.
    async fn drain(&mut self) {
        let until = self.node.clock.now() + DRAIN_TIMEOUT;
        self.close_all();
        while !self.held.is_empty() && self.node.clock.now() < until {
            let now = self.node.clock.now();
            self.write_groups(now);
            self.release_closed();
            tokio::select! {
                Some(event) = self.events.recv() => self.on_event(event),
                () = tokio::time::sleep(CYCLE_INTERVAL) => {}
            }
        }
        // Leaves time for releases that are still in flight.
        tokio::time::sleep(CYCLE_INTERVAL).await;
    }
}
