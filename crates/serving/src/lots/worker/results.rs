//! Results on their way into the store, and lots that are given back.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

use super::{LotWorker, WRITE_PAUSE, WorkerEvent};
use crate::{
    dialect::Dialect,
    lots::{
        held_lot::HeldLot,
        notices::{LotProgress, LotStage},
        records::ItemFaults,
        writer::{self, WriteAnswer},
    },
    model::ItemResult,
    node::Node,
};

/// Results wait this long for others of their lot, since each write is billed.
const GROUP_SPAN: Duration = Duration::from_millis(1_200);

impl<D: Dialect> LotWorker<D> {
    pub(super) fn on_written(&mut self, lot: &str, answer: WriteAnswer, now: Timestamp) {
        let Some(place) = self.held.iter().position(|it| *it.id == *lot) else {
            return;
        };
        let held = &mut self.held[place];
        held.is_writing = false;
        match answer {
            WriteAnswer::Written => {
                let results: Vec<ItemResult> = held.unwritten.drain(..held.writing).collect();
                self.node
                    .lot_cache
                    .borrow_mut()
                    .add_results(lot, held.groups, results, now);
                held.listed += held.writing;
                held.writing = 0;
                held.writing_since = None;
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
            WriteAnswer::Fenced => self.lose_claim(place, now),
            WriteAnswer::Unknown => self.no_write_before = now + WRITE_PAUSE,
        }
    }

    /// Leaves a lot whose claim is another daemon's, or that was ended.
    fn lose_claim(&mut self, place: usize, now: Timestamp) {
        let held = &mut self.held[place];
        log::info!(lot:% = held.id; "lots: the claim is lost");
        held.is_closing = true;
        held.claim = None;
        held.unwritten.clear();
        held.writing = 0;
        held.writing_since = None;
        held.stop_items();
        let lot = held.id.clone();
        note_basis(&self.node, &self.held[place]);
        self.add_candidate_again(&lot, now);
    }

    pub(super) fn on_noted(
        &mut self,
        lot: &str,
        counts: &[ItemFaults],
        answer: WriteAnswer,
        now: Timestamp,
    ) {
        let Some(place) = self.held.iter().position(|it| *it.id == *lot) else {
            return;
        };
        self.held[place].is_noting = false;
        match answer {
            WriteAnswer::Written => self.held[place].note_recorded(counts),
            // Another write tells what holds, where there is one on its way.
            WriteAnswer::Fenced if self.held[place].awaits_write() => {}
            WriteAnswer::Fenced => self.lose_claim(place, now),
            WriteAnswer::Unknown => self.no_write_before = now + WRITE_PAUSE,
        }
    }

    /// Writes how often servers failed at items, before these are begun again.
    pub(super) fn write_faults(&mut self, now: Timestamp) {
        if now < self.no_write_before {
            return;
        }
        for held in &mut self.held {
            let Some(claim) = held.claim.filter(|_| !held.is_noting && !held.is_closing) else {
                continue;
            };
            let Some(counts) = held.unrecorded_faults() else {
                continue;
            };
            held.is_noting = true;
            let (node, sender) = (self.node.clone(), self.sender.clone());
            let lot = held.id.clone();
            tokio::task::spawn_local(async move {
                let answer = writer::write_faults(&node, &lot, claim, &counts).await;
                let _ = sender.send(WorkerEvent::Noted(lot, counts, answer));
            });
        }
    }

    /// Writes results: those that have waited, and the last of a lot at once.
    pub(super) fn write_groups(&mut self, now: Timestamp) {
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
                held.writing_since = Some(now);
                note_basis(&self.node, held);
            }
            held.is_writing = true;
            let results = held.unwritten[..held.writing].to_vec();
            let is_last = held.listed + results.len() >= held.head.total;
            let mark = (!is_last).then(|| held.open_mark());
            let (node, sender) = (self.node.clone(), self.sender.clone());
            let (lot, number) = (held.id.clone(), held.groups);
            tokio::task::spawn_local(async move {
                let writing =
                    writer::write_results(&node, &lot, claim, number, &results, mark.as_ref());
                let answer = writing.await;
                let _ = sender.send(WorkerEvent::Written(lot, answer));
            });
        }
    }

    /// Gives back the claims of lots that aren't run here any further.
    pub(super) fn release_closed(&mut self) {
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
                    if let Some(successor) = held.successor {
                        node.place_lot_at(&held.id, successor);
                    }
                });
            }
        }
    }

    pub(super) fn tell_progress(&self, held: &HeldLot, now: Timestamp) {
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
        notices.tell_progress(progress, held.basis(), now);
        self.node.load_changed.notify_one();
    }
}

/// Has this daemon speak for a lot only while what it says of it is all there is.
pub(super) fn note_basis<D: Dialect>(node: &Node<D>, held: &HeldLot) {
    let mut notices = node.lot_notices.borrow_mut();
    notices.set_basis(&held.id, held.basis());
}
