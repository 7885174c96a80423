//! Decides which lots this daemon runs, from notices, listings and claims.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, lots::HeldSize};
use comfreyramp_store::{KeyRange, PlatformStore, StoreError};

use super::{ListedLots, LotWorker, WRITE_BACKOFF, WorkerEvent, results::update_basis};
use crate::{
    clock::unix_millis,
    dialect::Dialect,
    lots::{
        held_lot::HeldLot,
        keys,
        notices::LotNotice,
        writer::{self, ClaimAnswer, ClaimOutcome},
    },
};

/// A lot that the daemon it is assigned to hasn't claimed within this time may be claimed
/// by any daemon.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Interval at which all open lots are listed. Notices are sent as datagrams; a listing
/// finds what they missed, such as lots accepted or ended by a daemon that was lost right
/// afterwards. Customers expect an ended lot to stop within three seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(2_000);
/// Minimum interval between two hand-overs. Meanwhile the other daemons report their new
/// load.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(250);
/// Delay before a failed claim is repeated.
const CLAIM_BACKOFF: Duration = Duration::from_millis(1_000);
/// How long a lot without items left is ignored. Its acceptance is repeated for a shorter
/// time, several times a second, and each read of the store is billed.
const EXHAUSTED_RETENTION: Duration = Duration::from_secs(10);

impl<D: Dialect> LotWorker<D> {
    pub(super) fn process_notices(&mut self, now: Timestamp) {
        self.exhausted
            .retain(|it| now.since(it.1) < EXHAUSTED_RETENTION);
        let inbox = self.node.take_lot_reports();
        for lot in inbox.accepted {
            self.add_candidate(&lot, now);
        }
        for placed in inbox.placed {
            self.candidates.assign(&placed.lot, placed.runner);
        }
        for lot in inbox.ended {
            self.candidates.remove(&lot);
            if let Some(held) = self.find(&lot) {
                held.end();
            }
        }
    }

    fn add_candidate(&mut self, lot: &str, now: Timestamp) {
        let is_known = self.candidates.contains(lot)
            || self.held.iter().any(|it| *it.id == *lot)
            || self.exhausted.iter().any(|it| it.0 == lot)
            || self.node.is_reported_finished(lot);
        if !is_known {
            self.candidates.add(lot, now, now);
        }
    }

    /// Adds a lot found by a listing. If no daemon reports that it runs the lot, the daemon
    /// that it is assigned to may have missed the notice, so that the notice is repeated.
    fn add_listed(&mut self, lot: &str, now: Timestamp) {
        let is_held = self.held.iter().any(|it| *it.id == *lot);
        if !is_held && !self.node.is_held_elsewhere(lot) && !self.node.is_own_lot(lot) {
            self.node.report_lot(LotNotice::Accepted(lot.to_owned()));
        }
        self.add_candidate(lot, now);
    }

    /// Lists all open lots once per interval, if this daemon is the one that lists them.
    pub(super) fn list_open(&mut self, now: Timestamp) {
        let is_due = self
            .listed_at
            .is_none_or(|it| now.since(it) >= LIST_INTERVAL);
        if !is_due || self.node.lease().is_none() || !self.node.is_lister() {
            return;
        }
        self.listed_at = Some(now);
        let node = self.node.clone();
        let sender = self.sender.clone();
        let held_elsewhere = node.held_elsewhere();
        tokio::task::spawn_local(async move {
            match node
                .store
                .range(KeyRange::Prefix(keys::OPEN.to_owned()), 0)
                .await
            {
                Ok(answer) => {
                    let marks = answer.pairs.iter().map(|it| it.key.as_str());
                    let lots = marks.filter_map(|it| it.strip_prefix(keys::OPEN));
                    // No lot is accepted under another id: such a mark is of another writer.
                    let lots = lots.filter(|it| keys::is_usable_id(it));
                    let lots = lots.map(str::to_owned);
                    // Sending fails only at the end of the process, since the worker
                    // outlives its tasks otherwise.
                    let listed = ListedLots {
                        open: lots.collect(),
                        held_elsewhere,
                        requested_at: now,
                    };
                    let _ = sender.send(WorkerEvent::Listed(listed));
                }
                Err(error) => {
                    node.record_store_error(&error);
                    log::warn!(error:% = error; "lots: open lots can't be listed");
                }
            }
        });
    }

    /// Claims lots that are assigned to this daemon, and those that others left unclaimed.
    pub(super) fn claim_candidates(&mut self, now: Timestamp) {
        if self.node.lease().is_none() || self.node.is_retiring.get() {
            return;
        }
        // Removes lots that another daemon has finished. Otherwise each daemon in turn
        // would claim them just to find that nothing is left, which cost 26 writes per lot
        // with 14 daemons.
        let node = &self.node;
        self.candidates
            .retain(|it| it.is_claiming || !node.is_reported_finished(&it.lot));
        let mut size = HeldSize {
            lots: self.held.len(),
            bytes: self.held.iter().map(HeldLot::body_bytes).sum(),
        };
        for candidate in self.candidates.iter_mut() {
            if candidate.is_claiming || candidate.not_before > now || !size.has_capacity() {
                continue;
            }
            // The lot is still held here, since a write or a run of an item is unanswered.
            // Claimed now it would be held twice, and that answer would be applied to the
            // wrong one.
            if self.held.iter().any(|it| *it.id == *candidate.lot) {
                continue;
            }
            if self.node.is_held_elsewhere(&candidate.lot) {
                candidate.unclaimed_since = now;
                continue;
            }
            let placed = candidate
                .runner
                .and_then(|it| self.node.is_assigned_here(it));
            let is_own = placed.unwrap_or_else(|| self.node.is_own_lot(&candidate.lot));
            if !is_own && now.since(candidate.unclaimed_since) < CLAIM_TIMEOUT {
                continue;
            }
            candidate.is_claiming = true;
            size.lots += 1;
            let node = self.node.clone();
            let sender = self.sender.clone();
            let lot = candidate.lot.clone();
            let known_since = candidate.known_since;
            tokio::task::spawn_local(async move {
                let answer = writer::claim_lot(&node, &lot, known_since).await;
                let _ = sender.send(WorkerEvent::Claimed(lot, answer));
            });
        }
    }

    /// Reclaims the lots whose claims were bound to an expired lease.
    pub(super) fn check_leases(&mut self, now: Timestamp) {
        let Some(lease) = self.node.lease().filter(|_| now >= self.no_write_before) else {
            return;
        };
        for held in &mut self.held {
            if held.claim.is_some() && held.lease == Some(lease.id) {
                held.claim_confirmed_at = now;
                continue;
            }
            if held.is_reclaiming || held.is_closing {
                continue;
            }
            held.is_reclaiming = true;
            held.claim = None;
            held.lease = Some(lease.id);
            update_basis(&self.node, held);
            let node = self.node.clone();
            let sender = self.sender.clone();
            let (lot, next_group) = (held.id.clone(), held.groups);
            let lease = lease.id;
            tokio::task::spawn_local(async move {
                let hold = writer::HoldStage::Held { next_group };
                let claim = writer::write_claim(&node, &lot, lease, hold).await;
                let _ = sender.send(WorkerEvent::Reclaimed(lot, claim));
            });
        }
    }

    pub(super) fn on_reclaimed(
        &mut self,
        lot: &str,
        claim: Result<ClaimOutcome, StoreError>,
        now: Timestamp,
    ) {
        let Some(held) = self.find(lot) else {
            return;
        };
        held.is_reclaiming = false;
        match claim {
            Ok(ClaimOutcome::Claimed(revision)) => {
                held.claim = Some(revision);
                held.claim_confirmed_at = now;
                let basis = held.basis();
                self.node.lot_notices.borrow_mut().set_basis(lot, basis);
            }
            Ok(outcome) => {
                log::info!(lot = lot, end:? = outcome; "lots: not claimed again after the lease expired");
                held.is_closing = true;
                held.stop_items();
                if outcome == ClaimOutcome::Taken {
                    self.retry_candidate(lot, now);
                }
            }
            Err(error) => {
                log::warn!(lot = lot, error:% = error; "lots: the store failed to answer a new claim, which is repeated");
                self.no_write_before = now + WRITE_BACKOFF;
            }
        }
    }

    /// Processes a listing of all open lots.
    pub(super) fn on_listed(&mut self, listed: &ListedLots, now: Timestamp) {
        let lots = &listed.open;
        for lot in lots {
            self.add_listed(lot, now);
        }
        self.close_ended(lots, listed.requested_at);
        // The daemon that runs a lot doesn't check whether the lot is still open. If the
        // lot was finished meanwhile, it isn't run any more and the notice does no harm.
        for lot in listed.no_longer_open() {
            log::info!(lot = lot; "lots: run by another daemon, but no longer open");
            self.node.report_lot(LotNotice::Ended(lot.to_owned()));
        }
        self.candidates.retain(|it| {
            let is_recent = now.since(it.unclaimed_since) < CLAIM_TIMEOUT;
            is_recent || it.is_claiming || lots.contains(&it.lot)
        });
    }

    /// Stops lots that are no longer open although no notice of their end arrived.
    fn close_ended(&mut self, open: &[String], requested_at: Timestamp) {
        for held in &mut self.held {
            let was_held = held.held_since < requested_at;
            if was_held && !held.is_done() && !open.iter().any(|it| **it == *held.id) {
                log::info!(lot:% = held.id; "lots: no longer open");
                held.end();
            }
        }
    }

    pub(super) fn on_claimed(&mut self, lot: &str, answer: ClaimAnswer, now: Timestamp) {
        match answer {
            ClaimAnswer::Claimed(mut held) => {
                self.candidates.remove(lot);
                if self.find(lot).is_some() {
                    log::error!(lot = lot; "lots: claimed although it is held already");
                    return;
                }
                log::info!(
                    lot = lot, items = held.head.total, listed = held.stored_results, due = held.head.due,
                    age_ms = held.age.at(now).as_millis() as u64,
                    submitted = held.head.submitted, clock = unix_millis();
                    "lots: claimed"
                );
                self.node.metrics.lot("claimed", 1);
                held.give_up_all_failed(now);
                self.report_progress(&held, now);
                let index = self.held.partition_point(|it| it.head.due <= held.head.due);
                self.held.insert(index, *held);
            }
            ClaimAnswer::NothingLeft => {
                self.candidates.remove(lot);
                self.exhausted.push((lot.to_owned(), now));
            }
            ClaimAnswer::Taken | ClaimAnswer::Unknown => {
                self.candidates.postpone(lot, now + CLAIM_BACKOFF);
            }
        }
    }

    /// Hands the lot that is due last over to a daemon that has much less to do.
    pub(super) fn hand_over(&mut self, now: Timestamp) {
        if now.since(self.handed_over_at) < HAND_OVER_INTERVAL || now < self.no_write_before {
            return;
        }
        let Some(held) = self.held.iter_mut().rev().find(|it| it.is_untouched()) else {
            return;
        };
        let Some(successor) = self.node.choose_handover_target(held.open_items()) else {
            return;
        };
        log::info!(
            lot:% = held.id, items = held.open_items(), own = self.node.pending_items.get();
            "lots: handed over"
        );
        held.successor = Some(successor);
        held.is_closing = true;
        self.handed_over_at = now;
        self.node.metrics.lot("handed_over", 1);
    }

    /// Makes a lot whose claim was lost a candidate again, since it may have been left
    /// without a daemon to run it.
    pub(super) fn retry_candidate(&mut self, lot: &str, now: Timestamp) {
        self.candidates.add(lot, now, now + CLAIM_BACKOFF);
    }
}
