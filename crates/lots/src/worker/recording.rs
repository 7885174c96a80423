//! Recording results, releasing claims and finishing lots.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::Timestamp;
use comfreyramp_store::PlatformStore;
use rand::Rng;

use super::{WorkerState, events::WorkerEvent};
use crate::{
    ItemRunner, SlotSource, WallClock,
    segment_store::{RecordAnswer, SegmentClaim},
};

/// A segment none of whose items has run for this long is released, so that a
/// daemon with free slots can claim it.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The daemon that recorded a lot's last result finishes the lot at once. The
/// others wait for this delay multiplied by a random factor from 1 to 2, in
/// case that daemon has crashed.
const FINISH_DELAY: Duration = Duration::from_secs(2);

impl<S, C, R, G> WorkerState<S, C, R, G>
where
    S: PlatformStore,
    C: WallClock,
    R: ItemRunner,
    G: SlotSource<Slot = R::Slot>,
{
    pub(super) fn close_idle(&mut self, now: Timestamp) {
        for segment in &mut self.held {
            let is_idle = segment.running == 0 && now.since(segment.last_run) >= IDLE_TIMEOUT;
            segment.is_closing |= is_idle;
        }
    }

    /// Starts the writes that are due.
    pub(super) fn write_groups(&mut self, now: Timestamp) {
        for segment in &mut self.held {
            let due = segment.write_due(&self.config.grouping);
            if due.is_none_or(|it| it > now) {
                continue;
            }
            let key = segment.key;
            let write = segment.begin_write();
            let claim = segment.claim.clone();
            let store = self.segments.clone();
            let sender = self.sender.clone();
            tokio::spawn(async move {
                let answer = store.record(&claim, &write).await;
                let _ = sender.send(WorkerEvent::Recorded { key, answer }).await;
            });
        }
    }

    pub(super) fn on_recorded(&mut self, key: u64, answer: RecordAnswer) {
        let Ok(index) = self.held.binary_search_by_key(&key, |it| it.key) else {
            return;
        };
        let RecordAnswer::Written(revision) = answer else {
            return self.discard_rejected(index);
        };
        let held = &mut self.held[index];
        let is_last = held.end_write(revision);
        let (lot, segment) = (held.claim.lot.clone(), held.claim.segment);
        let recorded = held.recorded();
        if let Some(entry) = self.view.get_mut(&lot) {
            entry.segment(segment).recorded = recorded;
        }
        if is_last {
            // The last write also deleted the claim.
            self.held.remove(index);
            self.mark_released(&lot, segment);
            self.finish_if_ready(&lot);
        }
    }

    /// Handles the rejection of results: the claim is lost or the lot
    /// cancelled.
    fn discard_rejected(&mut self, index: usize) {
        let held = &mut self.held[index];
        log::info!(
            "lots: results of lot {} are rejected, since the claim is lost or the lot cancelled",
            held.claim.lot
        );
        held.stop.cancel();
        held.discard_results();
        held.is_closing = true;
    }

    /// Releases the claims of closing segments once none of their items runs.
    pub(super) fn release_closed(&mut self) {
        let held = std::mem::take(&mut self.held);
        for segment in held {
            let is_free = segment.is_closing && segment.running == 0 && segment.is_written();
            if is_free {
                self.release(segment.claim);
            } else {
                self.held.push(segment);
            }
        }
    }

    pub(super) fn release(&mut self, claim: SegmentClaim) {
        let store = self.segments.clone();
        tokio::spawn(async move { store.release(&claim).await });
    }

    /// Finishes lots that have ended. A random delay for each keeps daemons
    /// from doing it all at the same time.
    pub(super) fn finish_lots(&mut self, now: Timestamp) {
        let mut due = Vec::new();
        for entry in &mut self.view.lots {
            if !entry.is_ready_to_finish() {
                continue;
            }
            let factor = self.random.random_range(1.0..2.0);
            let at = *entry
                .finish_at
                .get_or_insert(now + FINISH_DELAY.mul_f64(factor));
            if at <= now {
                entry.finish_at = None;
                due.push(entry.id.clone());
            }
        }
        for lot in due {
            self.finish(&lot);
        }
    }

    fn finish_if_ready(&mut self, lot: &Arc<str>) {
        let entry = self.view.get(lot);
        if entry.is_some_and(|it| it.is_ready_to_finish()) {
            self.finish(lot);
        }
    }

    fn finish(&self, lot: &Arc<str>) {
        let Some(mark) = self.view.get(lot).and_then(|it| it.mark.clone()) else {
            return;
        };
        let lots = self.config.lots.clone();
        let lot = lot.clone();
        tokio::spawn(async move {
            if let Err(error) = lots.finish(&mark.customer, &lot).await {
                log::warn!("lots: finishing lot {lot} failed and is retried later: {error}");
            }
        });
    }

    /// Marks a segment as claimed in the view before the watch reports it.
    pub(super) fn mark_claimed(&mut self, lot: &str, segment: usize) {
        if let Some(entry) = self.view.get_mut(lot) {
            entry.segment(segment).is_claimed = true;
        }
    }

    /// Marks a segment as free in the view before the watch reports it.
    pub(super) fn mark_released(&mut self, lot: &str, segment: usize) {
        if let Some(entry) = self.view.get_mut(lot) {
            entry.segment(segment).is_claimed = false;
        }
    }
}
