//! Events from the worker's tasks and how they change its state.

use std::sync::Arc;

use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{GiveUpReason, ItemRetryVerdict},
};
use comfreyramp_store::PlatformStore;

use super::{UnrecordedResults, WorkerState};
use crate::{
    ItemOutcome, ItemRunner, LotError, RecordedResult, ResultAnswer, SlotSource, WallClock,
    held_segment::{HeldSegment, ItemState},
    lot_record::{OpenMark, ResultError},
    lot_watch::IndexUpdate,
    segment_store::{LoadedSegment, RecordAnswer},
};

/// How long no segment is claimed after a claim failed or a segment couldn't be
/// read.
const CLAIM_BACKOFF: std::time::Duration = std::time::Duration::from_secs(1);
/// The maximum number of segments whose unrecorded results are kept after their
/// claim expired.
const MAX_UNRECORDED_SEGMENTS: usize = 32;
/// Statuses from this one on are faults of the server.
const FIRST_FAULT_STATUS: u16 = 500;
/// Too Many Requests: the server has no capacity now.
const BUSY_STATUS: u16 = 429;

/// A run of an item.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemRun {
    /// The key of the held segment.
    pub(super) key: u64,
    /// The index of the item in the segment.
    pub(super) item: usize,
    /// The customer that owns the lot.
    pub(super) customer: CustomerId,
    /// How many items of the model had succeeded when the run started.
    pub(super) done_before: u64,
    /// Whether the item ran as a suspect.
    pub(super) is_suspect: bool,
    /// Whether a probe was sent instead of the item.
    pub(super) is_probe: bool,
    /// The tokens charged in advance.
    pub(super) charged: f64,
}

/// An event from one of the worker's tasks.
pub(super) enum WorkerEvent<R: ItemRunner> {
    /// An attempt to claim a segment ended.
    Claimed {
        lot: Arc<str>,
        segment: usize,
        mark: Arc<OpenMark>,
        slot: R::Slot,
        answer: Result<Option<LoadedSegment>, LotError>,
    },
    /// A run of an item ended.
    Ended {
        run: ItemRun,
        outcome: ItemOutcome<R::Resume>,
    },
    /// A group of results was recorded or rejected.
    Recorded { key: u64, answer: RecordAnswer },
}

impl<S, C, R, G> WorkerState<S, C, R, G>
where
    S: PlatformStore,
    C: WallClock,
    R: ItemRunner,
    G: SlotSource<Slot = R::Slot>,
{
    pub(super) fn on_event(&mut self, event: WorkerEvent<R>) {
        match event {
            WorkerEvent::Claimed {
                lot,
                segment,
                mark,
                slot,
                answer,
            } => {
                self.claiming.retain(|it| *it != lot);
                match answer {
                    Ok(Some(loaded)) => self.add_segment(loaded, mark, slot),
                    Ok(None) => self.mark_claimed(&lot, segment),
                    Err(error) => {
                        log::warn!("lots: claiming segment {segment} of lot {lot} failed: {error}");
                        self.no_claim_before = self.now() + CLAIM_BACKOFF;
                    }
                }
            }
            WorkerEvent::Ended { run, outcome } => self.on_item_ended(run, outcome),
            WorkerEvent::Recorded { key, answer } => self.on_recorded(key, answer),
        }
    }

    pub(super) fn on_index_update(&mut self, update: IndexUpdate) {
        match update {
            IndexUpdate::Snapshot(pairs) => self.view.reset(&pairs),
            IndexUpdate::Change(batch) => self.view.apply(&batch),
        }
        self.ranking_valid_until = Timestamp::ZERO;
        for segment in &mut self.held {
            let entry = self.view.get(&segment.claim.lot);
            if entry.is_none_or(|it| it.cancelled_at.is_some()) {
                segment.is_closing = true;
                segment.stop.cancel();
            }
        }
    }

    /// Handles a change of the lease. Claims don't outlive their lease.
    pub(super) fn on_lease(&mut self) {
        let held = std::mem::take(&mut self.held);
        for segment in held {
            if segment.claim.lease.expired.is_cancelled() {
                self.keep_unrecorded(segment);
            } else {
                self.held.push(segment);
            }
        }
    }

    /// Keeps finished results whose claim has expired, in case this daemon
    /// claims the segment again. That is likely after an outage of the store
    /// and avoids running the items twice.
    fn keep_unrecorded(&mut self, segment: HeldSegment<R::Resume>) {
        let lot = segment.claim.lot.clone();
        log::warn!(
            "lots: lost the claim on segment {} of lot {lot}",
            segment.claim.segment
        );
        self.mark_released(&lot, segment.claim.segment);
        let unrecorded = UnrecordedResults {
            lot,
            segment: segment.claim.segment,
            results: segment.into_unrecorded(),
        };
        if unrecorded.results.is_empty() {
            return;
        }
        if self.unrecorded.len() == MAX_UNRECORDED_SEGMENTS {
            self.unrecorded.remove(0);
        }
        self.unrecorded.push(unrecorded);
    }

    fn add_segment(&mut self, loaded: LoadedSegment, mark: Arc<OpenMark>, slot: R::Slot) {
        let now = self.now();
        let claim = loaded.claim.clone();
        let (lot, segment) = (claim.lot.clone(), claim.segment);
        self.mark_claimed(&lot, segment);
        let customer = self.customer_key(&mark.customer);
        let key = self.next_key;
        self.next_key += 1;
        let model: Arc<str> = mark.model.as_str().into();
        let mut held = match HeldSegment::new(key, loaded, mark, customer, now) {
            Ok(held) => held,
            Err(error) => {
                log::error!("lots: segment {segment} of lot {lot} can't be read: {error}");
                self.no_claim_before = now + CLAIM_BACKOFF;
                return self.release(claim);
            }
        };
        let is_same_segment = |it: &UnrecordedResults| it.lot == lot && it.segment == segment;
        if let Some(index) = self.unrecorded.iter().position(is_same_segment) {
            for result in self.unrecorded.remove(index).results {
                held.add_result(result, now);
            }
        }
        log::info!("lots: claimed segment {segment} of lot {lot}");
        held.is_closing = held.is_done();
        self.held.push(held);
        self.use_slot(&model, slot);
    }

    fn on_item_ended(&mut self, run: ItemRun, outcome: ItemOutcome<R::Resume>) {
        let now = self.now();
        self.suspects_running -= usize::from(run.is_suspect);
        let tokens = match &outcome {
            ItemOutcome::Done { tokens, .. } | ItemOutcome::Preempted { tokens, .. } => {
                f64::from(*tokens)
            }
            _ => 0.0,
        };
        self.correct_charge(&run, tokens);
        let Some(held) = self.held_mut(run.key) else {
            return;
        };
        held.running -= 1;
        held.last_run = now;
        if run.is_probe {
            return self.on_probe(run, &outcome, now);
        }
        match outcome {
            ItemOutcome::Done {
                status, request_id, ..
            } if is_fault(status) => {
                let message = format!("status {status} in {request_id}");
                self.on_fault(run, &message, now);
            }
            ItemOutcome::Done {
                status,
                request_id,
                body,
                ..
            } => {
                let result = RecordedResult {
                    id: held.item_id(run.item),
                    custom_id: held.items[run.item].custom_id.clone(),
                    response: Some(ResultAnswer {
                        status_code: status,
                        request_id,
                        body,
                    }),
                    error: None,
                };
                held.end_item(run.item, &result, now);
                let model = held.mark.model.clone();
                self.model_count(&model).done += 1;
            }
            ItemOutcome::Failed { code, message } => {
                held.fail_item(run.item, ResultError { code, message }, now);
            }
            ItemOutcome::Inconclusive { message } => self.on_inconclusive(run, &message, now),
            ItemOutcome::ServerFault { message } => self.on_fault(run, &message, now),
            ItemOutcome::ServerCrash { message } => self.on_crash(run, &message, now),
            ItemOutcome::Preempted { resume, .. } => {
                let item = &mut held.items[run.item];
                item.state = ItemState::Waiting(now);
                item.resume = resume;
            }
            ItemOutcome::Cancelled => held.items[run.item].state = ItemState::Waiting(now),
        }
    }

    fn on_inconclusive(&mut self, run: ItemRun, message: &str, now: Timestamp) {
        let Ok(index) = self.held.binary_search_by_key(&run.key, |it| it.key) else {
            return;
        };
        let held = &mut self.held[index];
        log::debug!("lots: {} is tried again: {message}", held.item_id(run.item));
        let item = &mut held.items[run.item];
        let policy = &self.config.attempts;
        let at = policy.inconclusive(&mut item.attempts, now, &mut self.random);
        item.state = ItemState::Waiting(at);
    }

    fn on_fault(&mut self, run: ItemRun, message: &str, now: Timestamp) {
        let Ok(index) = self.held.binary_search_by_key(&run.key, |it| it.key) else {
            return;
        };
        let model = self.held[index].mark.model.clone();
        let others = self.model_count(&model).done - run.done_before;
        let held = &mut self.held[index];
        let attempts = &mut held.items[run.item].attempts;
        let verdict = self
            .config
            .attempts
            .fault(attempts, others, now, &mut self.random);
        match verdict {
            ItemRetryVerdict::Retry(at) => held.items[run.item].state = ItemState::Waiting(at),
            ItemRetryVerdict::GiveUp(reason) => {
                held.fail_item(run.item, give_up_error(reason, message), now);
            }
        }
    }

    /// Handles the outcome of a probe that ran instead of the item. If the
    /// probe succeeded, the item itself caused its last fault; otherwise the
    /// server did.
    fn on_probe(&mut self, run: ItemRun, outcome: &ItemOutcome<R::Resume>, now: Timestamp) {
        let Ok(index) = self.held.binary_search_by_key(&run.key, |it| it.key) else {
            return;
        };
        let held = &mut self.held[index];
        let was_stopped = matches!(
            outcome,
            ItemOutcome::Cancelled | ItemOutcome::Preempted { .. }
        );
        if was_stopped {
            held.items[run.item].state = ItemState::Waiting(now);
            return;
        }
        let succeeded = matches!(outcome, ItemOutcome::Done { status, .. } if !is_fault(*status));
        let attempts = &mut held.items[run.item].attempts;
        let verdict = self
            .config
            .attempts
            .probe(attempts, succeeded, now, &mut self.random);
        match verdict {
            ItemRetryVerdict::Retry(at) => held.items[run.item].state = ItemState::Waiting(at),
            ItemRetryVerdict::GiveUp(reason) => {
                let error = give_up_error(reason, "a probe succeeded meanwhile");
                held.fail_item(run.item, error, now);
            }
        }
    }

    fn on_crash(&mut self, run: ItemRun, message: &str, now: Timestamp) {
        let Ok(index) = self.held.binary_search_by_key(&run.key, |it| it.key) else {
            return;
        };
        let held = &mut self.held[index];
        let attempts = &mut held.items[run.item].attempts;
        match self.config.attempts.crash(attempts, now, &mut self.random) {
            ItemRetryVerdict::Retry(at) => held.mark_crashed(run.item, at),
            ItemRetryVerdict::GiveUp(reason) => {
                held.fail_item(run.item, give_up_error(reason, message), now);
            }
        }
    }
}

fn is_fault(status: u16) -> bool {
    status >= FIRST_FAULT_STATUS || status == BUSY_STATUS
}

fn give_up_error(reason: GiveUpReason, message: &str) -> ResultError {
    let (code, what) = match reason {
        GiveUpReason::FailsAlone => (
            "item_fails",
            "the item failed in every attempt while other items succeeded",
        ),
        GiveUpReason::CrashesServers => (
            "item_crashes_servers",
            "two backend servers crashed while it ran",
        ),
    };
    ResultError {
        code: code.to_owned(),
        message: format!("{what}; last: {message}"),
    }
}
