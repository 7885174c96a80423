//! What the worker's tasks report, and what follows from it.

use std::sync::Arc;

use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{GiveUpReason, ItemRetryVerdict},
};
use comfreyramp_store::PlatformStore;

use super::{RescuedResults, WorkerState};
use crate::{
    ItemOutcome, ItemRunner, LotError, RecordedResult, ResultAnswer, SlotSource, WallClock,
    held_segment::{HeldSegment, ItemState},
    lot_record::{OpenMark, ResultError},
    lot_watch::IndexNews,
    segment_store::{LoadedSegment, RecordAnswer},
};

/// The pause of claims after the platform failed.
const CLAIM_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);
/// For so many segments, results are kept whose claim lapsed.
const MAX_RESCUED: usize = 32;
/// From this status on an answer is the server's fault.
const FIRST_FAULT_STATUS: u16 = 500;
/// Too many requests: the server has no room now.
const BUSY_STATUS: u16 = 429;

/// An item's run.
#[derive(Clone, Copy, Debug)]
pub(super) struct ItemRun {
    /// The held segment.
    pub(super) key: u64,
    /// The item's place in it.
    pub(super) item: usize,
    /// Whose it is.
    pub(super) customer: CustomerId,
    /// How many items of its model had gone through when it began.
    pub(super) done_before: u64,
    /// Whether it ran as a suspect.
    pub(super) is_suspect: bool,
    /// Whether a probe ran in its place.
    pub(super) is_probe: bool,
    /// The tokens charged in advance.
    pub(super) charged: f64,
}

/// What a task of the worker reports.
pub(super) enum WorkerEvent<R: ItemRunner> {
    /// A claim was tried.
    Claimed {
        lot: Arc<str>,
        segment: usize,
        mark: Arc<OpenMark>,
        slot: R::Slot,
        answer: Result<Option<LoadedSegment>, LotError>,
    },
    /// An item's run ended.
    Ended {
        run: ItemRun,
        outcome: ItemOutcome<R::Resume>,
    },
    /// A group was written, or refused.
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
                    Ok(Some(loaded)) => self.hold(loaded, mark, slot),
                    Ok(None) => self.note_taken(&lot, segment),
                    Err(error) => {
                        log::warn!("lots: segment {segment} of {lot} wasn't claimed: {error}");
                        self.no_claim_before = self.now() + CLAIM_PAUSE;
                    }
                }
            }
            WorkerEvent::Ended { run, outcome } => self.on_ended(run, outcome),
            WorkerEvent::Recorded { key, answer } => self.on_recorded(key, answer),
        }
    }

    pub(super) fn on_news(&mut self, news: IndexNews) {
        match news {
            IndexNews::Whole(pairs) => self.view.reset(&pairs),
            IndexNews::Change(batch) => self.view.apply(&batch),
        }
        self.order_until = Timestamp::ZERO;
        for segment in &mut self.held {
            let entry = self.view.get(&segment.claim.lot);
            if entry.is_none_or(|it| it.cancelled_at.is_some()) {
                segment.is_closing = true;
                segment.stop.cancel();
            }
        }
    }

    /// The lease lapsed or a new one holds. Claims don't outlive their lease.
    pub(super) fn on_lease(&mut self) {
        let held = std::mem::take(&mut self.held);
        for segment in held {
            if segment.claim.lease.lapsed.is_cancelled() {
                self.rescue(segment);
            } else {
                self.held.push(segment);
            }
        }
    }

    /// Keeps finished results whose claim lapsed, should the segment be claimed
    /// again here: after an outage that is likely, and saves running them twice.
    fn rescue(&mut self, segment: HeldSegment<R::Resume>) {
        let lot = segment.claim.lot.clone();
        log::warn!("lots: lost segment {} of {lot}", segment.claim.segment);
        self.view_released(&lot, segment.claim.segment);
        let rescued = RescuedResults {
            lot,
            segment: segment.claim.segment,
            results: segment.into_results(),
        };
        if rescued.results.is_empty() {
            return;
        }
        if self.rescued.len() == MAX_RESCUED {
            self.rescued.remove(0);
        }
        self.rescued.push(rescued);
    }

    fn hold(&mut self, loaded: LoadedSegment, mark: Arc<OpenMark>, slot: R::Slot) {
        let now = self.now();
        let claim = loaded.claim.clone();
        let (lot, segment) = (claim.lot.clone(), claim.segment);
        self.note_taken(&lot, segment);
        let customer = self.customer_key(&mark.customer);
        let key = self.next_key;
        self.next_key += 1;
        let model: Arc<str> = mark.model.as_str().into();
        let mut held = match HeldSegment::new(key, loaded, mark, customer, now) {
            Ok(held) => held,
            Err(error) => {
                log::error!("lots: segment {segment} of {lot}: {error}");
                self.no_claim_before = now + CLAIM_PAUSE;
                return self.release(claim);
            }
        };
        let own = |it: &RescuedResults| it.lot == lot && it.segment == segment;
        if let Some(place) = self.rescued.iter().position(own) {
            for result in self.rescued.remove(place).results {
                held.take(result, now);
            }
        }
        log::info!("lots: claimed segment {segment} of {lot}");
        held.is_closing = held.is_done();
        self.held.push(held);
        self.use_slot(&model, slot);
    }

    fn on_ended(&mut self, run: ItemRun, outcome: ItemOutcome<R::Resume>) {
        let now = self.now();
        self.suspects_running -= usize::from(run.is_suspect);
        let tokens = match &outcome {
            ItemOutcome::Done { tokens, .. } | ItemOutcome::SteppedAside { tokens, .. } => {
                f64::from(*tokens)
            }
            _ => 0.0,
        };
        self.settle(&run, tokens);
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
            ItemOutcome::ServerFault { message } => self.on_fault(run, &message, now),
            ItemOutcome::ServerCrash { message } => self.on_crash(run, &message, now),
            ItemOutcome::SteppedAside { resume, .. } => {
                let item = &mut held.items[run.item];
                item.state = ItemState::Waiting(now);
                item.resume = resume;
            }
            ItemOutcome::Cancelled => held.items[run.item].state = ItemState::Waiting(now),
        }
    }

    fn on_fault(&mut self, run: ItemRun, message: &str, now: Timestamp) {
        let Ok(place) = self.held.binary_search_by_key(&run.key, |it| it.key) else {
            return;
        };
        let model = self.held[place].mark.model.clone();
        let others = self.model_count(&model).done - run.done_before;
        let held = &mut self.held[place];
        let tries = &mut held.items[run.item].tries;
        let verdict = self
            .config
            .tries
            .fault(tries, others, now, &mut self.random);
        match verdict {
            ItemRetryVerdict::Retry(at) => held.items[run.item].state = ItemState::Waiting(at),
            ItemRetryVerdict::GiveUp(reason) => {
                held.fail_item(run.item, give_up_error(reason, message), now);
            }
        }
    }

    /// A probe ran in the item's place; whether it went through tells whose
    /// fault the item's last one was.
    fn on_probe(&mut self, run: ItemRun, outcome: &ItemOutcome<R::Resume>, now: Timestamp) {
        let Ok(place) = self.held.binary_search_by_key(&run.key, |it| it.key) else {
            return;
        };
        let held = &mut self.held[place];
        let was_stopped = matches!(
            outcome,
            ItemOutcome::Cancelled | ItemOutcome::SteppedAside { .. }
        );
        if was_stopped {
            held.items[run.item].state = ItemState::Waiting(now);
            return;
        }
        let went_through =
            matches!(outcome, ItemOutcome::Done { status, .. } if !is_fault(*status));
        let tries = &mut held.items[run.item].tries;
        let verdict = self
            .config
            .tries
            .probe(tries, went_through, now, &mut self.random);
        match verdict {
            ItemRetryVerdict::Retry(at) => held.items[run.item].state = ItemState::Waiting(at),
            ItemRetryVerdict::GiveUp(reason) => {
                let error = give_up_error(reason, "a probe went through meanwhile");
                held.fail_item(run.item, error, now);
            }
        }
    }

    fn on_crash(&mut self, run: ItemRun, message: &str, now: Timestamp) {
        let Ok(place) = self.held.binary_search_by_key(&run.key, |it| it.key) else {
            return;
        };
        let held = &mut self.held[place];
        let tries = &mut held.items[run.item].tries;
        match self.config.tries.crash(tries, now, &mut self.random) {
            ItemRetryVerdict::Retry(at) => held.crash_item(run.item, at),
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
            "it failed each time while other items went through",
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
