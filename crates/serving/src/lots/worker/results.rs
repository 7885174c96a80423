//! Writes results and fault counts to the store, and releases lots.

use std::time::Duration;

use comfreyramp_policy::Timestamp;

use super::{LotWorker, WRITE_BACKOFF, WorkerEvent};
use crate::{
    dialect::Dialect,
    lots::{
        held_lot::HeldLot,
        notices::{LotProgress, LotStage},
        records::{ItemFaults, group_length},
        writer::{self, LotRemainder, WriteAnswer},
    },
    model::ItemResult,
    node::Node,
};

/// How long results wait for others of their lot to be written in the same group, since
/// each write is billed.
const GROUP_DELAY: Duration = Duration::from_millis(1_200);

impl<D: Dialect> LotWorker<D> {
    pub(super) fn on_written(&mut self, lot: &str, answer: WriteAnswer, now: Timestamp) {
        let Some(index) = self.held.iter().position(|it| *it.id == *lot) else {
            return;
        };
        let held = &mut self.held[index];
        held.is_writing = false;
        match answer {
            WriteAnswer::Written => {
                let results: Vec<ItemResult> =
                    held.unwritten.drain(..held.results_in_write).collect();
                self.node
                    .lot_cache
                    .borrow_mut()
                    .add_results(lot, held.groups, results, now);
                held.stored_results += held.results_in_write;
                held.results_in_write = 0;
                held.write_started_at = None;
                held.groups += 1;
                held.unwritten_since = now;
                self.node.metrics.lot("group_written", 1);
                let held = &self.held[index];
                self.report_progress(held, now);
                if held.stored_results >= held.head.total {
                    log::info!(lot = lot, results = held.stored_results; "lots: finished");
                    self.held.remove(index);
                    // Otherwise a repeated notice of its acceptance would make this daemon
                    // claim it again, since only peers receive the report of its end.
                    self.exhausted.push((lot.to_owned(), now));
                }
            }
            WriteAnswer::Fenced => self.lose_claim(index, now),
            WriteAnswer::Rejected => {
                held.shrink_group(now);
                update_basis(&self.node, &self.held[index]);
            }
            WriteAnswer::Unknown => self.no_write_before = now + WRITE_BACKOFF,
        }
    }

    /// Stops running a lot that another daemon has claimed or whose customer has ended it.
    fn lose_claim(&mut self, index: usize, now: Timestamp) {
        let held = &mut self.held[index];
        log::info!(lot:% = held.id; "lots: the claim is lost");
        held.is_closing = true;
        held.claim = None;
        held.unwritten.clear();
        held.results_in_write = 0;
        held.write_started_at = None;
        held.stop_items();
        let lot = held.id.clone();
        update_basis(&self.node, &self.held[index]);
        self.retry_candidate(&lot, now);
    }

    pub(super) fn on_faults(
        &mut self,
        lot: &str,
        counts: &[ItemFaults],
        answer: WriteAnswer,
        now: Timestamp,
    ) {
        let Some(index) = self.held.iter().position(|it| *it.id == *lot) else {
            return;
        };
        self.held[index].is_writing_faults = false;
        match answer {
            WriteAnswer::Written => self.held[index].mark_faults_recorded(counts),
            // A write of results or of a claim is in flight, and its answer decides whether
            // the claim holds.
            WriteAnswer::Fenced if self.held[index].awaits_write() => {}
            WriteAnswer::Fenced => self.lose_claim(index, now),
            // Items that waited for a record that the store never takes would never run.
            WriteAnswer::Rejected => self.held[index].mark_faults_recorded(counts),
            WriteAnswer::Unknown => self.no_write_before = now + WRITE_BACKOFF,
        }
    }

    /// Writes the fault counts of items, which aren't restarted before that.
    pub(super) fn write_faults(&mut self, now: Timestamp) {
        if now < self.no_write_before {
            return;
        }
        for held in &mut self.held {
            let Some(claim) = held
                .claim
                .filter(|_| !held.is_writing_faults && !held.is_closing)
            else {
                continue;
            };
            let Some(counts) = held.unrecorded_faults() else {
                continue;
            };
            held.is_writing_faults = true;
            let (node, sender) = (self.node.clone(), self.sender.clone());
            let (lot, age) = (held.id.clone(), held.age_record(now));
            tokio::task::spawn_local(async move {
                let answer = writer::write_faults(&node, &lot, claim, &counts, age).await;
                let _ = sender.send(WorkerEvent::Faults(lot, counts, answer));
            });
        }
    }

    /// Writes groups of results: those that have waited long enough, and at once those that
    /// fill a value of the store and the last results of a lot.
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
            let fitting = group_length(&held.unwritten, self.node.settings.store.value_bytes);
            let is_due =
                fitting < held.unwritten.len() || now.since(held.unwritten_since) >= GROUP_DELAY;
            if !is_due && !held.is_done() && !held.is_closing && held.results_in_write == 0 {
                continue;
            }
            // An unanswered write is repeated with the same results, since the first
            // attempt may still take effect.
            if held.results_in_write == 0 {
                held.results_in_write = fitting;
                held.write_started_at = Some(now);
                update_basis(&self.node, held);
            }
            held.is_writing = true;
            let results = held.unwritten[..held.results_in_write].to_vec();
            let is_last = held.stored_results + results.len() >= held.head.total;
            let remainder = match is_last {
                true => LotRemainder::Nothing(held.mark),
                false => LotRemainder::Items(held.open_mark(), held.age_record(now)),
            };
            let (node, sender) = (self.node.clone(), self.sender.clone());
            let (lot, number) = (held.id.clone(), held.groups);
            tokio::task::spawn_local(async move {
                let writing =
                    writer::write_results(&node, &lot, claim, number, &results, &remainder);
                let answer = writing.await;
                let _ = sender.send(WorkerEvent::Written(lot, answer));
            });
        }
    }

    /// Releases the claims of lots that this daemon has stopped running.
    pub(super) fn release_closed(&mut self) {
        let mut index = 0;
        while index < self.held.len() {
            let held = &self.held[index];
            let is_free = held.is_closing
                && !held.has_running()
                && !held.is_writing
                && !held.is_reclaiming
                && (held.unwritten.is_empty() || held.claim.is_none());
            if !is_free {
                index += 1;
                continue;
            }
            let held = self.held.remove(index);
            let now = self.node.clock.now();
            self.report_stage(&held, LotStage::Left, now);
            if let Some(claim) = held.claim {
                let node = self.node.clone();
                let age = held.age_record(now);
                tokio::task::spawn_local(async move {
                    writer::release(&node, &held, claim, age).await;
                    if let Some(successor) = held.successor {
                        node.assign_lot(&held.id, successor);
                    }
                });
            }
        }
    }

    pub(super) fn report_progress(&self, held: &HeldLot, now: Timestamp) {
        let stage = match held.stored_results >= held.head.total {
            true => LotStage::Finished,
            false => LotStage::Held,
        };
        self.report_stage(held, stage, now);
    }

    fn report_stage(&self, held: &HeldLot, stage: LotStage, now: Timestamp) {
        let progress = LotProgress {
            lot: held.id.to_string(),
            results: held.stored_results as u16,
            stage,
        };
        let mut notices = self.node.lot_notices.borrow_mut();
        notices.report_progress(progress, held.basis(), now);
        self.node.load_changed.notify_one();
    }
}

/// Updates the conditions under which this daemon reports the results of a lot as complete.
pub(super) fn update_basis<D: Dialect>(node: &Node<D>, held: &HeldLot) {
    let mut notices = node.lot_notices.borrow_mut();
    notices.set_basis(&held.id, held.basis());
}
