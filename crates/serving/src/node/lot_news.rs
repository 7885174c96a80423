//! What daemons know of each other's lots.

use std::net::SocketAddr;

use comfreyramp_policy::{Timestamp, lots::RunnerVouch, usage::PeerId};
use comfreyramp_store::KeyValue;

use super::{LotInbox, Node};
use crate::{
    dialect::{Dialect, FleetRecords},
    fleet::RunnerWord,
    lots::{LotNotice, PlacedLot},
    model::RetireOrder,
};

impl<D: Dialect> Node<D> {
    /// Tells other daemons of a lot.
    pub fn tell_lot(&self, notice: LotNotice) {
        let now = self.clock.now();
        if self.settings.runs_lots {
            self.lot_inbox.borrow_mut().take(&notice);
        }
        // Whoever tells of an end has acknowledged it, or is about to: should this
        // daemon be lost a moment later, nobody else tells it.
        if matches!(notice, LotNotice::Ended(_)) {
            self.tell_wanted.notify_one();
        }
        self.lot_notices.borrow_mut().tell(notice, now);
        self.load_changed.notify_one();
    }

    /// Tells other daemons of a lot that was accepted here, and who is asked to run it.
    pub fn place_lot(&self, lot: &str, items: u32) {
        let now = self.clock.now();
        let mut random = rand::rng();
        let runner = self.members.borrow_mut().place_lot(items, &mut random, now);
        match runner {
            Some(runner) => self.place_lot_at(lot, runner),
            None => self.tell_lot(LotNotice::Accepted(lot.to_owned())),
        }
    }

    /// Chooses a daemon to which this one hands over a lot of so many items, if it has
    /// much more to do than others.
    pub fn choose_successor(&self, items: u32) -> Option<PeerId> {
        let now = self.clock.now();
        let own = self.held_items.get();
        self.members.borrow_mut().hand_over(own, items, now)
    }

    /// Tells other daemons of a lot that nobody runs, and which of them is asked to.
    pub fn place_lot_at(&self, lot: &str, runner: PeerId) {
        log::info!(lot = lot, runner = self.members.borrow().name_of(runner); "lots: placed");
        let placed = PlacedLot {
            lot: lot.to_owned(),
            runner,
        };
        if self.settings.runs_lots {
            self.lot_inbox.borrow_mut().placed.push(placed.clone());
        }
        let now = self.clock.now();
        self.lot_notices.borrow_mut().place(placed, now);
        self.tell_lot(LotNotice::Accepted(lot.to_owned()));
    }

    /// Whether a lot that this daemon or another is asked to run falls to this one.
    pub fn is_placed_here(&self, runner: PeerId) -> Option<bool> {
        if runner == PeerId::of_name(&self.settings.name) {
            return Some(true);
        }
        let is_there = self.members.borrow().takes_lots(runner, self.clock.now());
        is_there.then_some(false)
    }

    /// Takes the lots that other daemons told of.
    pub fn take_lot_inbox(&self) -> LotInbox {
        std::mem::take(&mut self.lot_inbox.borrow_mut())
    }

    /// What the daemon says that knows of all results of a lot.
    pub fn runner_vouch(&self, lot: &str) -> Option<RunnerVouch> {
        self.members.borrow().runner_vouch(lot)
    }

    /// How many results a lot has, if this daemon runs it and knows of all.
    pub fn vouched_results(&self, lot: &str) -> Option<usize> {
        let lease = self.lease().map(|it| it.id);
        let notices = self.lot_notices.borrow();
        notices.vouched_results(lot, lease, self.clock.now())
    }

    /// What is said of a lot: by the daemon that knows of all results, if there is one.
    pub fn runner_word(&self, lot: &str) -> Option<RunnerWord> {
        self.members.borrow().runner_word(lot, self.clock.now())
    }

    /// Where the daemon is reached that knows of all results of a lot.
    pub fn lot_runner(&self, lot: &str) -> Option<SocketAddr> {
        self.members.borrow().lot_runner(lot, self.clock.now())
    }

    /// Whether another daemon tells that it ran a lot to its end.
    pub fn told_finished(&self, lot: &str) -> bool {
        self.members.borrow().told_finished(lot)
    }

    /// Whether another daemon that is heard runs a lot.
    pub fn is_held_elsewhere(&self, lot: &str) -> bool {
        self.members.borrow().is_held(lot, self.clock.now())
    }

    /// The lots that other daemons say they run.
    pub fn held_elsewhere(&self) -> Vec<String> {
        self.members.borrow().held_lots(self.clock.now())
    }

    /// Whether a daemon was restarted since it had this number.
    pub fn is_former_life(&self, daemon: &str, incarnation: u64) -> bool {
        if daemon == self.settings.name {
            return incarnation != self.incarnation;
        }
        let now = self.clock.now();
        self.members
            .borrow()
            .is_former_life(daemon, incarnation, now)
    }

    /// When a daemon was last heard that had been out of touch.
    pub fn regained_at(&self) -> Option<Timestamp> {
        self.members.borrow().regained_at()
    }

    /// Whether a lot falls to this daemon.
    pub fn is_own_lot(&self, lot: &str) -> bool {
        let now = self.clock.now();
        self.members
            .borrow()
            .is_own_lot(lot, &self.settings.name, now)
    }

    /// Whether this daemon is the first by name of those that run lots.
    pub fn is_first_lot_runner(&self) -> bool {
        self.members
            .borrow()
            .is_first_lot_runner(&self.settings.name)
    }

    /// Whether an operator wants this VM emptied.
    pub fn is_ordered_to_retire(&self) -> bool {
        let views = self.views.borrow();
        let read = |it: &KeyValue| <D::Records as FleetRecords>::read_retire(&it.key, &it.value);
        let mut orders = views.operators.pairs().iter().filter_map(read);
        orders.any(|it: RetireOrder| it.daemon == self.settings.name)
    }
}
