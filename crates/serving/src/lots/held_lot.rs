//! State of a lot while this daemon runs it.

use std::{rc::Rc, time::Duration};

use comfreyramp_policy::{
    ServerId, Timestamp,
    lots::{
        FailureCount, ItemTimes, LotAge, RouteAbsence, RouteObservation, RunTimeEstimate, StartRank,
    },
    usage::PeerId,
};
use comfreyramp_store::{KeyValue, LeaseId, Revision};
use tokio_util::sync::CancellationToken;

use super::{
    item_run::{AvoidedServer, ItemFailure, ItemOutcome, ItemProgress},
    keys,
    notices::ReportBasis,
    records::{
        AgeRecord, DamagedRecord, HoldMark, ItemFaults, LotHead, OpenMark, from_json, from_packed,
    },
};
use crate::{
    clock::unix_millis,
    model::{ItemResult, ItemState, LotItem},
};

/// Number of broken streams in a row without progress after which an item waits longer
/// before it is retried: the item itself may be what breaks its servers.
const MAX_QUICK_RETRIES: u32 = 3;
/// Delay before an item is retried whose stream broke: the usual one, and the one for an
/// item that keeps breaking its streams.
const BREAK_BACKOFF: Duration = Duration::from_millis(100);
const LONG_BREAK_BACKOFF: Duration = Duration::from_secs(5);
/// Delay before an item is retried that its server didn't run.
const NOT_RUN_BACKOFF: Duration = Duration::from_millis(250);
/// Delay before an item is looked at again for which no server of its version had room.
const VERSION_BACKOFF: Duration = Duration::from_millis(100);
/// Delay before an item is looked at again whose turn to try a blocked part hasn't come.
const BLOCKED_BACKOFF: Duration = Duration::from_secs(1);
/// Delay before an item is looked at again whose route is missing.
const ROUTE_BACKOFF: Duration = Duration::from_millis(500);

/// Execution state of an item.
#[derive(Debug)]
pub(super) enum ItemPhase {
    /// The item may start from this moment on.
    Waiting(Timestamp),
    /// The item is running on a server.
    Running {
        server: ServerId,
        started_at: Timestamp,
        stop: CancellationToken,
    },
    /// The item has its result.
    Ended,
}

#[derive(Debug)]
pub(super) struct HeldItem {
    pub(super) item: Rc<LotItem>,
    pub(super) phase: ItemPhase,
    pub(super) progress: ItemProgress,
    pub(super) failed_at: ItemFailure,
    pub(super) avoided: AvoidedServer,
    route_absence: RouteAbsence,
    failures: FailureCount,
    /// The failures that the store has recorded.
    recorded_failures: FailureCount,
    breaks: u32,
    /// Moment since which no server of the version that began the item has had room.
    pub(super) version_missed_since: Option<Timestamp>,
}

/// A lot that this daemon runs, with the state of its items and of its writes.
#[derive(Debug)]
pub(super) struct HeldLot {
    pub(super) id: Rc<str>,
    pub(super) head: LotHead,
    pub(super) items: Vec<HeldItem>,
    /// How long the lot has been kept, as far as this daemon can prove it.
    pub(super) age: LotAge,
    /// Moment at which this daemon took the lot over.
    pub(super) held_since: Timestamp,
    /// Revision of the claim, or `None` while the lease is lost.
    pub(super) claim: Option<Revision>,
    /// Lease that the claim is bound to.
    pub(super) lease: Option<LeaseId>,
    /// Last moment at which the claim was known to hold.
    pub(super) claim_confirmed_at: Timestamp,
    /// Whether a claim under a new lease is being written.
    pub(super) is_reclaiming: bool,
    /// Name of the mark that this daemon has the lot, in the store.
    pub(super) mark: HoldMark,
    /// Number of daemons that were lost while they ran the lot: their marks are left.
    lost_daemons: u32,
    /// Number of groups of results in the store.
    pub(super) groups: usize,
    /// Number of results in the store.
    pub(super) stored_results: usize,
    /// Results that the store hasn't confirmed yet.
    pub(super) unwritten: Vec<ItemResult>,
    /// Moment since which results wait to be written.
    pub(super) unwritten_since: Timestamp,
    /// How many of the unwritten results belong to the current write, counted from the
    /// first.
    pub(super) results_in_write: usize,
    /// Moment at which the current write started, while its outcome is unknown.
    pub(super) write_started_at: Option<Timestamp>,
    /// Whether a write of results is in flight.
    pub(super) is_writing: bool,
    /// Whether a write of the fault counts is in flight.
    pub(super) is_writing_faults: bool,
    /// Whether this daemon has stopped running the lot and is about to release it.
    pub(super) is_closing: bool,
    /// Daemon that is asked to run the lot after its release.
    pub(super) successor: Option<PeerId>,
}

impl HeldLot {
    /// Builds the state of a lot from its records in the store. Returns `None` where there
    /// is nothing to run: the lot doesn't exist or its customer ended it. A lot that has
    /// all its results is returned with [`HeldLot::is_done`] true.
    ///
    /// The records were requested at `requested_at`, after `mark` was written, and this daemon
    /// knows the lot since `known_since`.
    pub(super) fn load(
        id: &str,
        pairs: &[KeyValue],
        mark: HoldMark,
        known_since: Timestamp,
        requested_at: Timestamp,
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
        let mut stored = AgeRecord::default();
        for pair in pairs {
            if pair.key == keys::faults(id) {
                faults = from_json(pair)?;
            } else if pair.key == keys::age(id) {
                stored = from_json(pair)?;
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
            let failures = known.map_or_else(FailureCount::default, |it| it.failures);
            HeldItem::new(item, has_result, failures, now)
        });
        let marks = pairs.iter().filter(|it| keys::is_hold_mark(&it.key));
        let own_mark = keys::hold_mark(id, mark);
        let lost_daemons = marks.filter(|it| it.key != own_mark).count() as u32;
        Ok(Some(HeldLot {
            id: id.into(),
            head: from_json(head)?,
            items: items.collect(),
            age: LotAge::new(stored.age_ms, requested_at, known_since),
            held_since: now,
            claim: None,
            lease: None,
            claim_confirmed_at: now,
            is_reclaiming: false,
            mark,
            lost_daemons,
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

    /// Returns the conditions under which this daemon's report on the lot is complete.
    pub(super) fn basis(&self) -> ReportBasis {
        ReportBasis {
            lease: self.lease.filter(|_| self.claim.is_some()),
            unanswered_since: self.write_started_at,
        }
    }

    /// Returns whether every item has its result, stored or not.
    pub(super) fn is_done(&self) -> bool {
        self.items
            .iter()
            .all(|it| matches!(it.phase, ItemPhase::Ended))
    }

    /// Returns the open mark to store while items of the lot wait.
    pub(super) fn open_mark(&self) -> OpenMark {
        let tokens = self.unfinished().map(|it| it.item.tokens);
        OpenMark::new(&self.head, tokens.fold(0, u64::saturating_add))
    }

    /// Returns the number of items that this daemon still has to run.
    pub(super) fn open_items(&self) -> u32 {
        match self.is_closing {
            true => 0,
            false => self.unfinished().count() as u32,
        }
    }

    /// Returns the size in bytes of the item bodies kept in memory.
    pub(super) fn body_bytes(&self) -> usize {
        self.items.iter().map(|it| it.item.body.len()).sum()
    }

    /// Returns whether another daemon could take the lot over now without any work being
    /// lost.
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

    /// Records whether the settings have the route of a waiting item. One without a route
    /// waits, and is given up once the route was taken away.
    pub(super) fn observe_route(
        &mut self,
        index: usize,
        observation: RouteObservation,
        now: Timestamp,
    ) {
        let item = &mut self.items[index];
        if item.route_absence.observe(observation, now) {
            log::info!(
                lot:% = self.id, item = item.item.id, route = self.head.route,
                path = item.item.path, accepted_with = observation.accepted_version,
                settings = observation.version;
                "lots: its route is gone"
            );
            self.give_up_item(index, "no route", now);
        } else if !observation.is_known {
            item.phase = ItemPhase::Waiting(now + ROUTE_BACKOFF);
        }
    }

    /// Returns the index of the next item that may run.
    pub(super) fn next_waiting(&self, now: Timestamp) -> Option<usize> {
        if self.is_closing {
            return None;
        }
        let may_run = |it: &HeldItem| {
            let is_due = matches!(it.phase, ItemPhase::Waiting(from) if from <= now);
            is_due && it.failures == it.recorded_failures
        };
        // An item that was started before goes first, since its output stays in memory
        // until it is done.
        let was_begun = |it: &HeldItem| may_run(it) && it.progress.events > 0;
        let index = self.items.iter().position(was_begun);
        index.or_else(|| self.items.iter().position(may_run))
    }

    /// Returns for how much longer no item may be given up for its age.
    pub(super) fn time_left(&self, now: Timestamp) -> Duration {
        self.age.time_left(self.head.retention(), now)
    }

    /// Returns the age of the lot as it is stored.
    pub(super) fn age_record(&self, now: Timestamp) -> AgeRecord {
        AgeRecord {
            age_ms: self.age.at(now),
        }
    }

    /// Returns the rank of an item among those that wait to start. `millis` is the time of
    /// day in Unix milliseconds, since due times have to mean the same on all VMs.
    pub(super) fn start_rank(
        &self,
        index: usize,
        run_times: &RunTimeEstimate,
        millis: u64,
        now: Timestamp,
    ) -> StartRank {
        StartRank::of(ItemTimes {
            due_in: Duration::from_millis(self.head.due.saturating_sub(millis)),
            given_up_in: self.time_left(now),
            needs: run_times.remaining(self.items[index].progress.events),
        })
    }

    /// Stops all running items.
    pub(super) fn stop_items(&self) {
        for item in &self.items {
            if let ItemPhase::Running { stop, .. } = &item.phase {
                stop.cancel();
            }
        }
    }

    /// Stops running and writing the lot, because its customer ended it.
    pub(super) fn end(&mut self) {
        self.is_closing = true;
        self.unwritten.truncate(self.results_in_write);
        self.stop_items();
    }

    /// Returns whether any item is running.
    pub(super) fn has_running(&self) -> bool {
        let runs = |it: &HeldItem| matches!(it.phase, ItemPhase::Running { .. });
        self.items.iter().any(runs)
    }

    /// Applies the outcome of a run to its item.
    pub(super) fn end_run(
        &mut self,
        index: usize,
        outcome: ItemOutcome,
        run_times: &mut RunTimeEstimate,
        now: Timestamp,
    ) {
        let item = &mut self.items[index];
        if let ItemPhase::Running { started_at, .. } = &item.phase {
            log::info!(
                lot:% = self.id, item = item.item.id, end = outcome.as_str(),
                events = outcome.events(), ran_ms = now.since(*started_at).as_millis() as u64;
                "lots: a run of an item ends"
            );
        }
        item.note_run_time(&outcome, run_times, now);
        match outcome {
            ItemOutcome::Done(progress) => {
                let output = String::from_utf8_lossy(&progress.output).into_owned();
                self.end_item(index, ItemState::Done, output, now);
            }
            ItemOutcome::Impossible => self.give_up_item(index, "impossible", now),
            ItemOutcome::Failed(progress, failure) => {
                let pause = item.failures.record(failure);
                item.progress = progress;
                item.phase = ItemPhase::Waiting(now + pause);
                self.give_up_failed(index, now);
            }
            ItemOutcome::NotRun(progress) => {
                item.progress = progress;
                item.phase = ItemPhase::Waiting(now + NOT_RUN_BACKOFF);
            }
            ItemOutcome::Broken(progress) | ItemOutcome::NoAnswer(progress) => {
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
            ItemOutcome::Blocked(progress) => {
                item.progress = progress;
                item.phase = ItemPhase::Waiting(now + BLOCKED_BACKOFF);
            }
        }
    }

    /// Handles that the store refused the current group of results for good. Half of the
    /// group is tried next. A single result that no value holds is dropped, and its item runs
    /// again later: until it is given up for its age, it is owed.
    ///
    /// An earlier attempt at the same group whose answer was lost can't have been written
    /// either, since the store refuses the same value each time.
    pub(super) fn shrink_group(&mut self, now: Timestamp) {
        if self.results_in_write > 1 {
            self.results_in_write /= 2;
            return;
        }
        self.results_in_write = 0;
        self.write_started_at = None;
        if self.unwritten.is_empty() {
            return;
        }
        let result = self.unwritten.remove(0);
        log::warn!(
            lot:% = self.id, item = result.id, bytes = result.output.len();
            "lots: a result that the store can't hold is dropped"
        );
        if let Some(item) = self.items.iter_mut().find(|it| it.item.id == result.id) {
            item.breaks = MAX_QUICK_RETRIES + 1;
            item.phase = ItemPhase::Waiting(now + LONG_BREAK_BACKOFF);
        }
    }

    /// Gives up all items that wait for a run, with a cause for the log.
    pub(super) fn give_up_waiting(&mut self, cause: &str, now: Timestamp) {
        for index in 0..self.items.len() {
            if matches!(self.items[index].phase, ItemPhase::Waiting(_)) {
                self.give_up_item(index, cause, now);
            }
        }
    }

    /// Gives up items that failed often enough while other daemons ran the lot.
    pub(super) fn give_up_all_failed(&mut self, now: Timestamp) {
        for index in 0..self.items.len() {
            self.give_up_failed(index, now);
        }
    }

    /// Gives up an item that waits for a run, if it failed often enough.
    fn give_up_failed(&mut self, index: usize, now: Timestamp) {
        let item = &self.items[index];
        let is_waiting = matches!(item.phase, ItemPhase::Waiting(_));
        if is_waiting
            && item
                .failures
                .is_final(self.head.attempts, self.lost_daemons)
        {
            self.give_up_item(index, "failed too often", now);
        }
    }

    /// Returns whether a write is in flight whose answer shows whether the claim still
    /// holds.
    pub(super) fn awaits_write(&self) -> bool {
        self.is_writing || self.is_reclaiming
    }

    /// Returns the counts of failures if the store lacks any of them. An item isn't restarted
    /// before the store holds its count. Otherwise a daemon that is lost would take the
    /// count with it, and every daemon that takes the lot over would start again at zero
    /// with an item that makes its servers fail.
    pub(super) fn unrecorded_faults(&self) -> Option<Vec<ItemFaults>> {
        let mut unfinished = self.unfinished();
        if !unfinished.any(|it| it.failures != it.recorded_failures) {
            return None;
        }
        let failed = self.items.iter().filter(|it| !it.failures.is_empty());
        let counts = failed.map(|it| ItemFaults {
            item: it.item.id.clone(),
            failures: it.failures,
        });
        Some(counts.collect())
    }

    /// Records that the store holds these counts.
    pub(super) fn mark_faults_recorded(&mut self, counts: &[ItemFaults]) {
        for item in &mut self.items {
            if let Some(count) = counts.iter().find(|it| it.item == item.item.id) {
                item.recorded_failures = count.failures;
            }
        }
    }

    fn give_up_item(&mut self, index: usize, cause: &str, now: Timestamp) {
        let item = &self.items[index];
        log::info!(
            lot:% = self.id, item = item.item.id, cause = cause,
            failures:? = item.failures, lost_daemons = self.lost_daemons,
            breaks = item.breaks, events = item.progress.events,
            age_ms = self.age.at(now).as_millis() as u64,
            retention_ms = self.head.retention().as_millis() as u64,
            held_ms = now.since(self.held_since).as_millis() as u64,
            submitted = self.head.submitted, clock = unix_millis();
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
    /// Feeds the speed of a run into the run time estimate, also if the run was stopped early.
    fn note_run_time(
        &self,
        outcome: &ItemOutcome,
        run_times: &mut RunTimeEstimate,
        now: Timestamp,
    ) {
        let (ItemOutcome::Done(progress) | ItemOutcome::Stopped(progress)) = outcome else {
            return;
        };
        if let ItemPhase::Running { started_at, .. } = self.phase {
            let events = progress.events.saturating_sub(self.progress.events);
            run_times.record_run(now.since(started_at), events);
        }
        if matches!(outcome, ItemOutcome::Done(_)) {
            run_times.record_item_events(progress.events);
        }
    }

    fn new(item: LotItem, has_result: bool, failures: FailureCount, now: Timestamp) -> Self {
        HeldItem {
            item: Rc::new(item),
            phase: match has_result {
                true => ItemPhase::Ended,
                false => ItemPhase::Waiting(now + failures.pause_after_takeover()),
            },
            progress: ItemProgress::default(),
            route_absence: RouteAbsence::default(),
            failures,
            recorded_failures: failures,
            breaks: 0,
            failed_at: ItemFailure::default(),
            avoided: AvoidedServer::default(),
            version_missed_since: None,
        }
    }

    /// Returns for how long no server of the item's version has had room while others had.
    pub(super) fn version_missed_for(&self, now: Timestamp) -> Duration {
        let since = self.version_missed_since;
        since.map_or(Duration::ZERO, |it| now.since(it))
    }

    /// Lets the item wait, since no server of its version has room.
    pub(super) fn wait_for_version(&mut self, now: Timestamp) {
        self.version_missed_since.get_or_insert(now);
        self.phase = ItemPhase::Waiting(now + VERSION_BACKOFF);
    }

    /// Drops what earlier runs of the item wrote. Returns whether there was anything.
    pub(super) fn begin_anew(&mut self) -> bool {
        let progress = std::mem::take(&mut self.progress);
        progress.events > 0
    }
}
