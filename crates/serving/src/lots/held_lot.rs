//! A lot while this daemon runs it.

use std::{rc::Rc, time::Duration};

use comfreyramp_policy::{
    ServerId, Timestamp,
    lots::{ItemTimes, RunPace, StartRank},
    usage::PeerId,
};
use comfreyramp_store::{KeyValue, LeaseId, Revision};
use tokio_util::sync::CancellationToken;

use super::{
    item_run::{ItemOutcome, ItemProgress},
    keys,
    notices::ClaimBasis,
    records::{DamagedRecord, ItemFaults, LotHead, OpenMark, from_json, from_packed},
};
use crate::model::{ItemResult, ItemState, LotItem};

/// After this many breaks without progress an item waits longer: it may be the
/// one that breaks its servers.
const MAX_QUICK_RETRIES: u32 = 3;
/// The pause of an item whose server broke off, and of one that keeps breaking.
const BREAK_BACKOFF: Duration = Duration::from_millis(100);
const LONG_BREAK_BACKOFF: Duration = Duration::from_secs(5);
/// The pause of an item that its server failed at, or didn't run.
const FAULT_BACKOFF: Duration = Duration::from_millis(250);

/// Where an item stands.
#[derive(Debug)]
pub(super) enum ItemPhase {
    /// It may run from this moment on.
    Waiting(Timestamp),
    /// It runs.
    Running {
        server: ServerId,
        started_at: Timestamp,
        stop: CancellationToken,
    },
    /// It has its result.
    Ended,
}

#[derive(Debug)]
pub(super) struct HeldItem {
    pub(super) item: Rc<LotItem>,
    pub(super) phase: ItemPhase,
    pub(super) progress: ItemProgress,
    faults: u32,
    /// How many of its faults the store holds.
    recorded_faults: u32,
    breaks: u32,
}

/// A lot while this daemon runs it.
#[derive(Debug)]
pub(super) struct HeldLot {
    pub(super) id: Rc<str>,
    pub(super) head: LotHead,
    pub(super) items: Vec<HeldItem>,
    /// Since when it is held here.
    pub(super) held_since: Timestamp,
    /// The revision of the claim; nothing while the lease is lost.
    pub(super) claim: Option<Revision>,
    /// The lease that the claim hangs on.
    pub(super) lease: Option<LeaseId>,
    /// When the claim certainly held last.
    pub(super) claim_confirmed_at: Timestamp,
    /// Whether a claim under a new lease is on its way.
    pub(super) is_reclaiming: bool,
    /// How many groups of results the store holds.
    pub(super) groups: usize,
    /// How many results the store holds.
    pub(super) stored_results: usize,
    /// Results that aren't written yet.
    pub(super) unwritten: Vec<ItemResult>,
    /// Since when results wait.
    pub(super) unwritten_since: Timestamp,
    /// How many of the unwritten results a write under way holds.
    pub(super) results_in_write: usize,
    /// When the write was begun whose outcome isn't known yet.
    pub(super) write_started_at: Option<Timestamp>,
    /// Whether a write is on its way.
    pub(super) is_writing: bool,
    /// Whether a write of the counts of faults is on its way.
    pub(super) is_writing_faults: bool,
    /// It isn't run any further here.
    pub(super) is_closing: bool,
    /// The daemon that is asked to run it then.
    pub(super) successor: Option<PeerId>,
}

impl HeldLot {
    /// Reads what the store holds of a lot. Returns nothing where there is
    /// nothing to run: it doesn't exist, was ended, or has all its results.
    pub(super) fn load(
        id: &str,
        pairs: &[KeyValue],
        now: Timestamp,
    ) -> Result<Option<HeldLot>, DamagedRecord> {
        let head_key = keys::head(id);
        let Some(head) = pairs.iter().find(|it| it.key == head_key) else {
            return Ok(None);
        };
        if pairs.iter().any(|it| it.key == keys::end(id)) {
            return Ok(None);
        }
        let mut items = Vec::new();
        let mut results = Vec::new();
        let mut groups = 0;
        let mut faults: Vec<ItemFaults> = Vec::new();
        for pair in pairs {
            if pair.key == keys::faults(id) {
                faults = from_json(pair)?;
            } else if keys::is_pack(&pair.key) {
                items.extend(from_packed::<Vec<LotItem>>(pair)?);
            } else if keys::is_group(&pair.key) {
                results.extend(from_packed::<Vec<ItemResult>>(pair)?);
                groups += 1;
            }
        }
        let items = items.into_iter().map(|item| {
            let has_result = results.iter().any(|it| it.id == item.id);
            let known = faults.iter().find(|it| it.item == item.id);
            HeldItem::new(item, has_result, known.map_or(0, |it| it.faults), now)
        });
        Ok(Some(HeldLot {
            id: id.into(),
            head: from_json(head)?,
            items: items.collect(),
            held_since: now,
            claim: None,
            lease: None,
            claim_confirmed_at: now,
            is_reclaiming: false,
            groups,
            stored_results: results.len(),
            unwritten: Vec::new(),
            unwritten_since: now,
            results_in_write: 0,
            write_started_at: None,
            is_writing: false,
            is_writing_faults: false,
            is_closing: false,
            successor: None,
        }))
    }

    /// What entitles this daemon to speak for the lot.
    pub(super) fn basis(&self) -> ClaimBasis {
        ClaimBasis {
            lease: self.lease.filter(|_| self.claim.is_some()),
            undecided_since: self.write_started_at,
        }
    }

    /// Whether every item has its result, written or not.
    pub(super) fn is_done(&self) -> bool {
        self.items
            .iter()
            .all(|it| matches!(it.phase, ItemPhase::Ended))
    }

    /// The mark of the lot while items of it wait.
    pub(super) fn open_mark(&self) -> OpenMark {
        let tokens = self.unfinished().map(|it| it.item.tokens);
        OpenMark::new(&self.head, tokens.fold(0, u64::saturating_add))
    }

    /// How many items have to be run here still.
    pub(super) fn open_items(&self) -> u32 {
        match self.is_closing {
            true => 0,
            false => self.unfinished().count() as u32,
        }
    }

    /// The bytes of the bodies that are kept for its items.
    pub(super) fn body_bytes(&self) -> usize {
        self.items.iter().map(|it| it.item.body.len()).sum()
    }

    /// Whether nothing of it would be lost if another daemon ran it from now on.
    pub(super) fn is_untouched(&self) -> bool {
        let is_begun =
            |it: &HeldItem| matches!(it.phase, ItemPhase::Running { .. }) || it.progress.events > 0;
        self.claim.is_some()
            && !self.is_closing
            && !self.awaits_write()
            && !self.is_writing_faults
            && self.unwritten.is_empty()
            && !self.items.iter().any(is_begun)
    }

    fn unfinished(&self) -> impl Iterator<Item = &HeldItem> {
        let items = self.items.iter();
        items.filter(|it| !matches!(it.phase, ItemPhase::Ended))
    }

    /// The next item that may run.
    pub(super) fn next_waiting(&self, now: Timestamp) -> Option<usize> {
        if self.is_closing {
            return None;
        }
        let may_run = |it: &HeldItem| {
            let is_due = matches!(it.phase, ItemPhase::Waiting(from) if from <= now);
            is_due && it.faults == it.recorded_faults
        };
        // One that was begun holds its output in memory until it is done.
        let was_begun = |it: &HeldItem| may_run(it) && it.progress.events > 0;
        let index = self.items.iter().position(was_begun);
        index.or_else(|| self.items.iter().position(may_run))
    }

    /// When an item starts among those that wait. `millis` is the time of day, by
    /// which lots are due on any VM.
    pub(super) fn start_rank(&self, index: usize, pace: &RunPace, millis: u64) -> StartRank {
        let until = |moment: u64| Duration::from_millis(moment.saturating_sub(millis));
        StartRank::of(ItemTimes {
            due_in: until(self.head.due),
            given_up_in: until(self.head.given_up),
            needs: pace.rest(self.items[index].progress.events),
        })
    }

    /// Stops all items.
    pub(super) fn stop_items(&self) {
        for item in &self.items {
            if let ItemPhase::Running { stop, .. } = &item.phase {
                stop.cancel();
            }
        }
    }

    /// Runs and writes nothing any further: its customer ended it.
    pub(super) fn end(&mut self) {
        self.is_closing = true;
        self.unwritten.truncate(self.results_in_write);
        self.stop_items();
    }

    /// Whether any item runs.
    pub(super) fn has_running(&self) -> bool {
        let runs = |it: &HeldItem| matches!(it.phase, ItemPhase::Running { .. });
        self.items.iter().any(runs)
    }

    /// Takes in how a run of an item ended.
    pub(super) fn end_run(
        &mut self,
        index: usize,
        outcome: ItemOutcome,
        pace: &mut RunPace,
        now: Timestamp,
    ) {
        let attempts = self.head.attempts;
        let item = &mut self.items[index];
        if let ItemPhase::Running { started_at, .. } = &item.phase {
            log::info!(
                lot:% = self.id, item = item.item.id, end = outcome.as_str(),
                events = outcome.events(), ran_ms = now.since(*started_at).as_millis() as u64;
                "lots: a run of an item ends"
            );
        }
        item.note_pace(&outcome, pace, now);
        match outcome {
            ItemOutcome::Done(progress) => {
                let output = String::from_utf8_lossy(&progress.output).into_owned();
                self.end_item(index, ItemState::Done, output, now);
            }
            ItemOutcome::Impossible => self.give_up_item(index, "impossible", now),
            ItemOutcome::Failed => {
                item.faults += 1;
                item.progress = ItemProgress::default();
                item.phase = ItemPhase::Waiting(now + FAULT_BACKOFF);
                if item.faults >= attempts {
                    self.give_up_item(index, "failed too often", now);
                }
            }
            ItemOutcome::NotRun(progress) => {
                item.progress = progress;
                item.phase = ItemPhase::Waiting(now + FAULT_BACKOFF);
            }
            ItemOutcome::Broken(progress) => {
                let has_progress = progress.events > item.progress.events;
                item.breaks = if has_progress { 0 } else { item.breaks + 1 };
                item.progress = progress;
                let pause = match item.breaks <= MAX_QUICK_RETRIES {
                    true => BREAK_BACKOFF,
                    false => LONG_BREAK_BACKOFF,
                };
                item.phase = ItemPhase::Waiting(now + pause);
            }
            ItemOutcome::Stopped(progress) => {
                item.progress = progress;
                item.phase = ItemPhase::Waiting(now);
            }
        }
    }

    /// Gives up what has no result yet, for a cause that the log tells.
    pub(super) fn give_up_waiting(&mut self, cause: &str, now: Timestamp) {
        for index in 0..self.items.len() {
            if matches!(self.items[index].phase, ItemPhase::Waiting(_)) {
                self.give_up_item(index, cause, now);
            }
        }
    }

    /// Gives up what servers failed at too often while other daemons ran it.
    pub(super) fn give_up_failed(&mut self, now: Timestamp) {
        for index in 0..self.items.len() {
            let item = &self.items[index];
            let is_waiting = matches!(item.phase, ItemPhase::Waiting(_));
            if is_waiting && item.faults >= self.head.attempts {
                self.give_up_item(index, "failed too often", now);
            }
        }
    }

    /// Whether a write is on its way that shows whether the claim holds.
    pub(super) fn awaits_write(&self) -> bool {
        self.is_writing || self.is_reclaiming
    }

    /// The counts of faults, if there are any that the store doesn't hold yet. An item
    /// isn't begun again before it does: a daemon that is lost would take its count with
    /// it, and each one that takes the lot over would begin anew with an item that wears
    /// servers out.
    pub(super) fn unrecorded_faults(&self) -> Option<Vec<ItemFaults>> {
        if !self.unfinished().any(|it| it.faults > it.recorded_faults) {
            return None;
        }
        let failed = self.items.iter().filter(|it| it.faults > 0);
        let counts = failed.map(|it| ItemFaults {
            item: it.item.id.clone(),
            faults: it.faults,
        });
        Some(counts.collect())
    }

    /// Notes that the store holds these counts.
    pub(super) fn mark_faults_recorded(&mut self, counts: &[ItemFaults]) {
        for item in &mut self.items {
            if let Some(count) = counts.iter().find(|it| it.item == item.item.id) {
                item.recorded_faults = count.faults;
            }
        }
    }

    fn give_up_item(&mut self, index: usize, cause: &str, now: Timestamp) {
        let item = &self.items[index];
        log::info!(
            lot:% = self.id, item = item.item.id, cause = cause,
            faults = item.faults, breaks = item.breaks, events = item.progress.events;
            "lots: an item is given up"
        );
        self.end_item(index, ItemState::GivenUp, String::new(), now);
    }

    pub(super) fn end_item(
        &mut self,
        index: usize,
        state: ItemState,
        output: String,
        now: Timestamp,
    ) {
        let item = &mut self.items[index];
        item.phase = ItemPhase::Ended;
        item.progress = ItemProgress::default();
        if self.unwritten.is_empty() {
            self.unwritten_since = now;
        }
        self.unwritten.push(ItemResult {
            id: item.item.id.clone(),
            state,
            output,
        });
    }
}

impl HeldItem {
    /// Takes in how fast a run went, whether it came to its end or not.
    fn note_pace(&self, outcome: &ItemOutcome, pace: &mut RunPace, now: Timestamp) {
        let (ItemOutcome::Done(progress) | ItemOutcome::Stopped(progress)) = outcome else {
            return;
        };
        if let ItemPhase::Running { started_at, .. } = self.phase {
            let events = progress.events.saturating_sub(self.progress.events);
            pace.note_run(now.since(started_at), events);
        }
        if matches!(outcome, ItemOutcome::Done(_)) {
            pace.note_whole(progress.events);
        }
    }

    fn new(item: LotItem, has_result: bool, faults: u32, now: Timestamp) -> Self {
        HeldItem {
            item: Rc::new(item),
            phase: match has_result {
                true => ItemPhase::Ended,
                false => ItemPhase::Waiting(now),
            },
            progress: ItemProgress::default(),
            faults,
            recorded_faults: faults,
            breaks: 0,
        }
    }
}
