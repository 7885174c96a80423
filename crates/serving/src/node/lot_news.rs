//! Reports on lots that daemons exchange, and what a daemon derives from them.

use std::net::SocketAddr;

use comfreyramp_policy::{Timestamp, lots::RunnerConfirmation, usage::PeerId};
use comfreyramp_store::KeyValue;

use super::{LotInbox, Node};
use crate::{
    dialect::{Dialect, FleetRecords},
    fleet::RunnerReport,
    lots::{AssignedLot, LotNotice},
    model::RetireOrder,
};

impl<D: Dialect> Node<D> {
    /// Reports to the peers that a lot was accepted or ended.
    pub fn report_lot(&self, notice: LotNotice) {
        let now = self.clock.now();
        if self.settings.runs_lots {
            self.lot_inbox.borrow_mut().push(&notice);
        }
        // The end has been acknowledged to the caller, or is about to be. If this daemon
        // failed a moment later, no other daemon would report the end.
        if matches!(notice, LotNotice::Ended(_)) {
            self.urgent_report_due.notify_one();
        }
        self.lot_notices.borrow_mut().add_notice(notice, now);
        self.load_changed.notify_one();
    }

    /// Chooses a daemon to run a lot that was accepted here, and reports both to the peers.
    pub fn place_lot(&self, lot: &str, items: u32) {
        let now = self.clock.now();
        let mut random = rand::rng();
        let runner = self.members.borrow_mut().place_lot(items, &mut random, now);
        match runner {
            Some(runner) => self.assign_lot(lot, runner),
            None => self.report_lot(LotNotice::Accepted(lot.to_owned())),
        }
    }

    /// Chooses a daemon to which this one hands over a lot of `items` items, if it has much
    /// more items to run than others.
    pub fn choose_handover_target(&self, items: u32) -> Option<PeerId> {
        let now = self.clock.now();
        let own = self.pending_items.get();
        self.members
            .borrow_mut()
            .choose_handover_runner(own, items, now)
    }

    /// Assigns a lot that no daemon runs to `runner`, and reports that to the peers.
    pub fn assign_lot(&self, lot: &str, runner: PeerId) {
        log::info!(lot = lot, runner = self.members.borrow().name_of(runner); "lots: placed");
        let placed = AssignedLot {
            lot: lot.to_owned(),
            runner,
        };
        if self.settings.runs_lots {
            self.lot_inbox.borrow_mut().placed.push(placed.clone());
        }
        let now = self.clock.now();
        let mut members = self.members.borrow_mut();
        members.runner_memory().note_assigned(lot, runner, now);
        drop(members);
        self.lot_notices.borrow_mut().add_assignment(placed, now);
        self.report_lot(LotNotice::Accepted(lot.to_owned()));
    }

    /// Whether this daemon has to run a lot that is assigned to `runner`: `Some(false)` if
    /// another daemon will run it, `None` if that daemon isn't available for lots.
    pub fn is_assigned_here(&self, runner: PeerId) -> Option<bool> {
        if runner == PeerId::of_name(&self.settings.name) {
            return Some(true);
        }
        let is_available = self.members.borrow().can_run_lots(runner, self.clock.now());
        is_available.then_some(false)
    }

    /// Takes the reports on lots that have been received since the last call.
    pub fn take_lot_reports(&self) -> LotInbox {
        std::mem::take(&mut self.lot_inbox.borrow_mut())
    }

    /// Returns the latest report on a lot by the daemon that knows all of its results.
    pub fn runner_confirmation(&self, lot: &str) -> Option<RunnerConfirmation> {
        self.members.borrow().runner_confirmation(lot)
    }

    /// Returns how many results a lot has, if this daemon runs it and knows all of them.
    pub fn confirmed_results(&self, lot: &str) -> Option<usize> {
        let lease = self.lease().map(|it| it.id);
        let notices = self.lot_notices.borrow();
        notices.confirmed_results(lot, lease, self.clock.now())
    }

    /// Returns a peer's report on a lot, preferably that of a daemon that knows all of its
    /// results.
    pub fn runner_report(&self, lot: &str) -> Option<RunnerReport> {
        self.members.borrow().runner_report(lot, self.clock.now())
    }

    /// Returns the address of the daemon that knows all results of a lot.
    pub fn lot_runner(&self, lot: &str) -> Option<SocketAddr> {
        self.members.borrow().lot_runner(lot, self.clock.now())
    }

    /// Returns the address of a daemon that ran a lot and reports it no longer, or that was
    /// asked to run it.
    pub fn remembered_runner(&self, lot: &str) -> Option<SocketAddr> {
        let now = self.clock.now();
        self.members.borrow().remembered_runner(lot, now)
    }

    /// Whether a lot that no daemon has run yet is about to be claimed by the daemon that it
    /// is assigned to, and that daemon can be asked for it. A lot that was handed over may
    /// have results, but then the daemon that left it reports it.
    pub fn is_about_to_be_claimed(&self, lot: &str) -> bool {
        let now = self.clock.now();
        let mut members = self.members.borrow_mut();
        members.runner_report(lot, now).is_none()
            && members.remembered_runner(lot, now).is_some()
            && members.runner_memory().is_about_to_claim(lot, now)
    }

    /// Records that a remembered runner of a lot didn't answer.
    pub fn note_silent_runner(&self, lot: &str) {
        let now = self.clock.now();
        let mut members = self.members.borrow_mut();
        members.runner_memory().note_silent(lot, now);
    }

    /// Records that a remembered runner of a lot has no complete copy of it.
    pub fn note_refusing_runner(&self, lot: &str) {
        self.members.borrow_mut().runner_memory().note_refused(lot);
    }

    /// Whether a peer reports that it ran a lot to its end.
    pub fn is_reported_finished(&self, lot: &str) -> bool {
        self.members.borrow().is_reported_finished(lot)
    }

    /// Whether a peer that isn't silent runs a lot.
    pub fn is_held_elsewhere(&self, lot: &str) -> bool {
        self.members.borrow().is_held(lot, self.clock.now())
    }

    /// Returns the lots that peers report as run by them.
    pub fn held_elsewhere(&self) -> Vec<String> {
        self.members.borrow().held_lots(self.clock.now())
    }

    /// Whether a daemon was restarted since it had this incarnation number.
    pub fn is_former_incarnation(&self, daemon: &str, incarnation: u64) -> bool {
        if daemon == self.settings.name {
            return incarnation != self.incarnation;
        }
        let now = self.clock.now();
        self.members
            .borrow()
            .is_former_incarnation(daemon, incarnation, now)
    }

    /// Returns when a peer last reported again after it had been silent.
    pub fn regained_at(&self) -> Option<Timestamp> {
        self.members.borrow().last_reconnected_at()
    }

    /// Whether this daemon is the home daemon of a lot, which follows from the lot's id and
    /// the names of the daemons that run lots.
    pub fn is_own_lot(&self, lot: &str) -> bool {
        let now = self.clock.now();
        self.members
            .borrow()
            .is_home_of_lot(lot, &self.settings.name, now)
    }

    /// Whether this daemon's name is the first of those of all daemons that run lots.
    pub fn is_first_lot_runner(&self) -> bool {
        self.members
            .borrow()
            .is_first_lot_runner(&self.settings.name)
    }

    /// Whether an operator has ordered this daemon's VM to be emptied.
    pub fn is_ordered_to_retire(&self) -> bool {
        self.retiring_daemons().contains(&self.settings.name)
    }

    /// Returns the names of the daemons that operators have ordered to be retired.
    fn retiring_daemons(&self) -> Vec<String> {
        let views = self.views.borrow();
        let read_order =
            |it: &KeyValue| <D::Records as FleetRecords>::read_retire(&it.key, &it.value);
        let orders = views.operators.pairs().iter().filter_map(read_order);
        orders.map(|it: RetireOrder| it.daemon).collect()
    }

    /// Returns whether another daemon can run this daemon's lots once it has retired. Of
    /// several that are retired at once, the last by name stays until another one is there.
    pub fn has_lot_successor(&self) -> bool {
        let now = self.clock.now();
        let retiring = self.retiring_daemons();
        let own = self.settings.name.as_str();
        let members = self.members.borrow();
        let mut runners = members.reporting_runner_names(now);
        runners.any(|it| it > own || !retiring.iter().any(|retired| retired == it))
    }
}
