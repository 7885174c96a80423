//! Which lots this daemon runs: notices, lists and claims.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, lots::HeldSize};
use comfreyramp_store::{KeyRange, PlatformStore, StoreError};

use super::{ListedLots, LotWorker, WRITE_BACKOFF, WorkerEvent, results::update_basis};
use crate::{
    dialect::Dialect,
    lots::{
        held_lot::HeldLot,
        keys,
        notices::LotNotice,
        writer::{self, ClaimAnswer, ClaimOutcome},
    },
};

/// A lot that the daemon it falls to hasn't claimed for so long goes to any.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(2_500);
/// How often all open lots are listed. Notices come by datagrams; this finds what
/// they missed, such as lots that were accepted or ended by daemons that were lost
/// right after. Customers expect an ended lot to stop within three seconds.
const LIST_INTERVAL: Duration = Duration::from_millis(2_000);
/// How often a lot is handed over at most. Meanwhile the others tell what they have.
const HAND_OVER_INTERVAL: Duration = Duration::from_millis(250);
/// The pause after a claim that failed.
const CLAIM_BACKOFF: Duration = Duration::from_millis(1_000);
/// A lot that was found to have nothing left isn't looked at again for so long. That it
/// was accepted is repeated for less, several times a second, and each look is billed.
const EXHAUSTED_RETENTION: Duration = Duration::from_secs(10);

impl<D: Dialect> LotWorker<D> {
    pub(super) fn process_notices(&mut self, now: Timestamp) {
        self.exhausted
            .retain(|it| now.since(it.1) < EXHAUSTED_RETENTION);
        let inbox = self.node.take_lot_inbox();
        for lot in inbox.accepted {
            self.add_candidate(&lot, now);
        }
        for placed in inbox.placed {
            self.candidates.place(&placed.lot, placed.runner);
        }
        for lot in inbox.ended {
            self.candidates.remove(&lot);
            if let Some(held) = self.find(&lot) {
                held.end();
            }
        }
    }

    fn add_candidate(&mut self, lot: &str, now: Timestamp) {
        let is_known = self.candidates.holds(lot)
            || self.held.iter().any(|it| *it.id == *lot)
            || self.exhausted.iter().any(|it| it.0 == lot)
            || self.node.told_finished(lot);
        if !is_known {
            self.candidates.add(lot, now, now);
        }
    }

    /// Takes in a lot that a listing shows. Where nobody tells that it runs, the
    /// daemon to which it falls may not have heard of it.
    fn add_listed(&mut self, lot: &str, now: Timestamp) {
        let is_held = self.held.iter().any(|it| *it.id == *lot);
        if !is_held && !self.node.is_held_elsewhere(lot) && !self.node.is_own_lot(lot) {
            self.node.tell_lot(LotNotice::Accepted(lot.to_owned()));
        }
        self.add_candidate(lot, now);
    }

    /// Lists all open lots now and then.
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
                    let lots = lots.map(str::to_owned);
                    // The worker outlives its tasks but for the end of the process.
                    let listed = ListedLots {
                        open: lots.collect(),
                        held_elsewhere,
                        requested_at: now,
                    };
                    let _ = sender.send(WorkerEvent::Listed(listed));
                }
                Err(error) => {
                    node.note_store_trouble();
                    log::warn!(error:% = error; "lots: open lots can't be listed");
                }
            }
        });
    }

    /// Claims what falls to this daemon, and what another left lying.
    pub(super) fn claim_candidates(&mut self, now: Timestamp) {
        if self.node.lease().is_none() || self.node.is_retiring.get() {
            return;
        }
        // What another daemon has finished would be claimed by each one in turn, just
        // to find that nothing is left: 26 writes a lot with 14 daemons.
        let node = &self.node;
        self.candidates
            .retain(|it| it.is_claiming || !node.told_finished(&it.lot));
        let mut size = HeldSize {
            lots: self.held.len(),
            bytes: self.held.iter().map(HeldLot::body_bytes).sum(),
        };
        for candidate in self.candidates.iter_mut() {
            if candidate.is_claiming || candidate.not_before > now || !size.has_room() {
                continue;
            }
            // Held still, since a write or an item has no answer yet: claimed now, it
            // would be held twice, and what comes back taken for the other's.
            if self.held.iter().any(|it| *it.id == *candidate.lot) {
                continue;
            }
            if self.node.is_held_elsewhere(&candidate.lot) {
                candidate.known_at = now;
                continue;
            }
            let placed = candidate.runner.and_then(|it| self.node.is_placed_here(it));
            let is_own = placed.unwrap_or_else(|| self.node.is_own_lot(&candidate.lot));
            if !is_own && now.since(candidate.known_at) < CLAIM_TIMEOUT {
                continue;
            }
            candidate.is_claiming = true;
            size.lots += 1;
            let node = self.node.clone();
            let sender = self.sender.clone();
            let lot = candidate.lot.clone();
            tokio::task::spawn_local(async move {
                let answer = writer::claim_lot(&node, &lot).await;
                let _ = sender.send(WorkerEvent::Claimed(lot, answer));
            });
        }
    }

    /// Claims anew what hung on a lease that lapsed.
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
                let claim = writer::write_claim(&node, &lot, lease, Some(next_group)).await;
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
                log::info!(lot = lot, end:? = outcome; "lots: not this daemon's any more");
                held.is_closing = true;
                held.stop_items();
                if outcome == ClaimOutcome::Taken {
                    self.retry_candidate(lot, now);
                }
            }
            Err(error) => {
                log::warn!(lot = lot, error:% = error; "lots: a claim isn't renewed yet");
                self.no_write_before = now + WRITE_BACKOFF;
            }
        }
    }

    /// Takes in all open lots.
    pub(super) fn on_listed(&mut self, listed: &ListedLots, now: Timestamp) {
        let lots = &listed.open;
        for lot in lots {
            self.add_listed(lot, now);
        }
        self.close_ended(lots, listed.requested_at);
        // Who runs a lot doesn't look whether it is open still. One that was finished
        // meanwhile isn't run any more, and the word does no harm.
        for lot in listed.no_longer_open() {
            log::info!(lot = lot; "lots: run elsewhere, and not open any more");
            self.node.tell_lot(LotNotice::Ended(lot.to_owned()));
        }
        self.candidates.retain(|it| {
            let is_recent = now.since(it.known_at) < CLAIM_TIMEOUT;
            is_recent || it.is_claiming || lots.contains(&it.lot)
        });
    }

    /// Stops lots that aren't open any more, though nobody told that they ended.
    fn close_ended(&mut self, open: &[String], requested_at: Timestamp) {
        for held in &mut self.held {
            let was_held = held.held_since < requested_at;
            if was_held && !held.is_done() && !open.iter().any(|it| **it == *held.id) {
                log::info!(lot:% = held.id; "lots: not open any more");
                held.end();
            }
        }
    }

    pub(super) fn on_claimed(&mut self, lot: &str, answer: ClaimAnswer, now: Timestamp) {
        match answer {
            ClaimAnswer::Claimed(mut held) => {
                self.candidates.remove(lot);
                if self.find(lot).is_some() {
                    log::error!(lot = lot; "lots: claimed twice");
                    return;
                }
                log::info!(
                    lot = lot, items = held.head.total, listed = held.stored_results, due = held.head.due;
                    "lots: claimed"
                );
                self.node.metrics.lot("claimed", 1);
                held.give_up_failed(now);
                self.report_progress(&held, now);
                let index = self.held.partition_point(|it| it.head.due <= held.head.due);
                self.held.insert(index, *held);
            }
            ClaimAnswer::NothingLeft => {
                self.candidates.remove(lot);
                self.exhausted.push((lot.to_owned(), now));
            }
            ClaimAnswer::Taken | ClaimAnswer::Unknown => {
                self.candidates.put_back(lot, now + CLAIM_BACKOFF);
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
        let Some(successor) = self.node.choose_successor(held.open_items()) else {
            return;
        };
        log::info!(
            lot:% = held.id, items = held.open_items(), own = self.node.held_items.get();
            "lots: handed over"
        );
        held.successor = Some(successor);
        held.is_closing = true;
        self.handed_over_at = now;
        self.node.metrics.lot("handed_over", 1);
    }

    /// A lot whose claim was lost may be left to nobody: it is looked at again.
    pub(super) fn retry_candidate(&mut self, lot: &str, now: Timestamp) {
        self.candidates.add(lot, now, now + CLAIM_BACKOFF);
    }
}
