//! Selection of the next item to run and the segment to claim for it.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{LotForecast, LotKey, RankedLot, SegmentChoice},
};
use comfreyramp_store::PlatformStore;

use super::{
    MAX_HELD_SEGMENTS, WorkerState,
    events::{ItemRun, WorkerEvent},
};
use crate::{
    HeldLease, ItemRequest, ItemRunner, LotError, SlotSource, WallClock,
    held_segment::ItemState,
    lot_record::OpenMark,
    lot_view::LotEntry,
    segment_store::{LoadedSegment, SegmentStore},
};

/// How long a ranking of the lots is used. Sorting for each item would be too
/// expensive with thousands of open lots.
const RANKING_MAX_AGE: Duration = Duration::from_millis(100);
/// The tokens an item is assumed to use before any item has ended.
pub(super) const INITIAL_MEAN_TOKENS: f64 = 200.0;
/// The weight of one item in the moving average of tokens per item.
const MEAN_WEIGHT: f64 = 0.05;

/// What a slot can be used for in a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotUse {
    /// Run this item of a held segment.
    Run { key: u64, item: usize },
    /// Claim a segment.
    Claim,
}

impl<S, C, R, G> WorkerState<S, C, R, G>
where
    S: PlatformStore,
    C: WallClock,
    R: ItemRunner,
    G: SlotSource<Slot = R::Slot>,
{
    /// Returns the models for which a slot could be used now, most urgent
    /// first.
    pub(super) fn wanted_models(&mut self) -> Vec<Arc<str>> {
        let now = self.now();
        self.refresh_ranking(now);
        let mut wanted: Vec<Arc<str>> = Vec::new();
        for id in &self.ranked_lots {
            let Some(mark) = self.view.get(id).and_then(|it| it.mark.as_ref()) else {
                continue;
            };
            if wanted.iter().any(|it| **it == *mark.model) {
                continue;
            }
            if self.slot_use(id, now).is_some() {
                wanted.push(mark.model.as_str().into());
            }
        }
        wanted
    }

    /// Uses a slot for the highest ranked lot of this model that has a use for
    /// it. Otherwise returns the slot.
    pub(super) fn use_slot(&mut self, model: &str, slot: R::Slot) {
        let now = self.now();
        self.refresh_ranking(now);
        let uses_model = |it: &&Arc<str>| {
            let mark = self.view.get(it).and_then(|it| it.mark.as_ref());
            mark.is_some_and(|it| it.model == model)
        };
        let mut lots = self.ranked_lots.iter().filter(uses_model);
        let found = lots.find_map(|id| Some((id.clone(), self.slot_use(id, now)?)));
        match found {
            Some((_, SlotUse::Run { key, item })) => self.start(key, item, slot, now),
            Some((lot, SlotUse::Claim)) => self.start_claim(&lot, slot),
            None => drop(slot),
        }
    }

    fn slot_use(&self, lot: &str, now: Timestamp) -> Option<SlotUse> {
        let allow_suspect = self.suspects_running == 0;
        let mut held = self.held.iter().filter(|it| *it.claim.lot == *lot);
        let ready = held.find_map(|it| Some((it.key, it.ready_item(allow_suspect, now)?)));
        if let Some((key, item)) = ready {
            return Some(SlotUse::Run { key, item });
        }
        let may_claim = self.held.len() + self.claiming.len() < MAX_HELD_SEGMENTS
            && now >= self.no_claim_before
            && self.lease.borrow().is_some()
            && !self.claiming.iter().any(|it| **it == *lot);
        let entry = self.view.get(lot).filter(|_| may_claim)?;
        entry.free_segments().next().map(|_| SlotUse::Claim)
    }

    fn start(&mut self, key: u64, item: usize, slot: R::Slot, now: Timestamp) {
        let charged = self.mean_tokens;
        let Ok(index) = self.held.binary_search_by_key(&key, |it| it.key) else {
            return;
        };
        let model = self.held[index].mark.model.clone();
        let done_before = self.model_count(&model).done;
        let held = &mut self.held[index];
        held.running += 1;
        held.last_run = now;
        let run = ItemRun {
            key,
            item,
            customer: held.customer,
            done_before,
            is_suspect: held.items[item].attempts.crashes > 0,
            is_probe: held.items[item].attempts.needs_probe,
            charged,
        };
        let request = ItemRequest {
            lot: held.claim.lot.clone(),
            customer: held.mark.customer.as_str().into(),
            endpoint: held.mark.endpoint.as_str().into(),
            model: model.into(),
            id: held.item_id(item),
            body: match run.is_probe {
                true => probe_body(&held.mark),
                false => held.items[item].body.clone(),
            },
            resume: held.items[item].resume.take(),
            is_suspect: run.is_suspect,
        };
        held.items[item].state = ItemState::Running;
        let stop = held.stop.child_token();
        self.suspects_running += usize::from(run.is_suspect);
        self.config.ranking.charge(run.customer, charged);
        self.ranking_valid_until = self.ranking_valid_until.min(now + RANKING_MAX_AGE);
        let runner = self.config.runner.clone();
        let sender = self.sender.clone();
        tokio::spawn(async move {
            let outcome = runner.run(request, slot, stop).await;
            // The receiver is gone only when the whole daemon shuts down.
            let _ = sender.send(WorkerEvent::Ended { run, outcome }).await;
        });
    }

    /// Replaces the tokens charged in advance by those actually used.
    pub(super) fn correct_charge(&mut self, run: &ItemRun, tokens: f64) {
        self.config
            .ranking
            .charge(run.customer, tokens - run.charged);
        if tokens > 0.0 {
            self.mean_tokens += (tokens - self.mean_tokens) * MEAN_WEIGHT;
        }
    }

    fn start_claim(&mut self, lot: &Arc<str>, slot: R::Slot) {
        let Some(lease) = self.lease.borrow().clone() else {
            return;
        };
        let Some(segment) = self.choose_segment(lot) else {
            return;
        };
        let Some(mark) = self.view.get(lot).and_then(|it| it.mark.clone()) else {
            return;
        };
        self.claiming.push(lot.clone());
        let store = self.segments.clone();
        let owner = self.config.owner.clone();
        let sender = self.sender.clone();
        let lot = lot.clone();
        tokio::spawn(async move {
            let answer = claim_and_load(&store, &lot, segment, &owner, lease, &mark.content).await;
            let event = WorkerEvent::Claimed {
                lot,
                segment,
                mark,
                slot,
                answer,
            };
            let _ = sender.send(event).await;
        });
    }

    fn choose_segment(&mut self, lot: &str) -> Option<usize> {
        // Segments for which this daemon has unrecorded results go first, since
        // any other daemon would have to run those items again.
        let entry = self.view.get(lot)?;
        let unrecorded = self.unrecorded.iter().find(|unrecorded| {
            *unrecorded.lot == *lot && entry.free_segments().any(|it| it.0 == unrecorded.segment)
        });
        if let Some(unrecorded) = unrecorded {
            return Some(unrecorded.segment);
        }
        let mut choice = SegmentChoice::default();
        for (segment, is_begun) in entry.free_segments() {
            choice.add(segment, is_begun);
        }
        choice.pick(&mut self.random)
    }

    fn refresh_ranking(&mut self, now: Timestamp) {
        if now < self.ranking_valid_until {
            return;
        }
        self.ranking_valid_until = now + RANKING_MAX_AGE;
        let wall = self.config.lots.clock.now();
        let mut ranked = Vec::new();
        let mut active = Vec::new();
        for index in 0..self.view.lots.len() {
            let Some(mark) = self.view.lots[index].mark.clone() else {
                continue;
            };
            if self.view.lots[index].cancelled_at.is_some() {
                continue;
            }
            let customer = self.customer_key(&mark.customer);
            let entry = &mut self.view.lots[index];
            entry.meter.observe(entry.recorded(), now);
            let needs = entry.meter.needs(entry.remaining(), now);
            let due = now + mark.due_at.since(wall);
            // A lot without any result has no pace to base a forecast on.
            let pace = needs.filter(|_| entry.recorded() > 0);
            entry.report_lateness(LotForecast::judge(due, pace, now));
            ranked.push(RankedLot {
                lot: LotKey(index as u32),
                customer,
                due,
                needs: needs.unwrap_or_default(),
            });
            active.push(customer);
        }
        self.rank(ranked, active, now);
    }

    fn rank(&mut self, mut ranked: Vec<RankedLot>, mut active: Vec<CustomerId>, now: Timestamp) {
        active.sort_unstable();
        active.dedup();
        for &customer in &active {
            let weight = self.config.slots.weight(&self.customers[customer.index()]);
            self.config.ranking.set_weight(customer, weight);
        }
        self.config.ranking.set_active(&active);
        self.config.ranking.sort(&mut ranked, now);
        let id = |it: &RankedLot| -> Arc<str> {
            let entry: &LotEntry = &self.view.lots[it.lot.0 as usize];
            entry.id.clone()
        };
        self.ranked_lots = ranked.iter().map(id).collect();
    }
}

/// Returns the smallest request that a model answers.
fn probe_body(mark: &OpenMark) -> Bytes {
    let body = match mark.endpoint.ends_with("/chat/completions") {
        true => serde_json::json!({
            "model": mark.model,
            "messages": [{ "role": "user", "content": "ping" }],
            "max_tokens": 1,
        }),
        false => serde_json::json!({
            "model": mark.model,
            "prompt": "ping",
            "max_tokens": 1,
        }),
    };
    body.to_string().into()
}

async fn claim_and_load<S: PlatformStore>(
    store: &SegmentStore<S>,
    lot: &Arc<str>,
    segment: usize,
    owner: &str,
    lease: HeldLease,
    content: &str,
) -> Result<Option<LoadedSegment>, LotError> {
    let claim = store.claim(lot.clone(), segment, owner, lease).await?;
    let Some(claim) = claim else {
        return Ok(None);
    };
    match store.load(claim.clone(), content).await {
        Ok(loaded) => Ok(Some(loaded)),
        Err(error) => {
            store.release(&claim).await;
            Err(error)
        }
    }
}
