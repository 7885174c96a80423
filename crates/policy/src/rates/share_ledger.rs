//! One daemon's share of the rates of all customers.

mod division;
mod handover;
mod lending;
mod request_path;

use crate::{DaemonId, Timestamp};

use super::{
    CustomerKey, DemandMeter, LedgerTiming, MAX_CUSTOMER_SLOTS, MAX_ZONES, Outgoing, RateParts,
    SLOTS, freshness::Freshness, message_outbox::MessageOutbox, rate_parts::roster_slot,
    reachability::ReachabilityTable, slot_handover::SlotHandovers, slot_share::SlotShare,
    token_grants::GrantedTokens,
};

pub use request_path::{Decision, TokenAttempt};

/// One daemon's share of the rates of all customers.
///
/// The request path calls [`ShareLedger::admit`]. On [`Decision::RequestToken`] it sends
/// the token request and passes the answer to [`ShareLedger::on_answer`], or a timeout to
/// [`ShareLedger::on_timeout`], until the caller's request is admitted or refused. A
/// background task calls [`ShareLedger::tick`] several times a second and sends the
/// messages returned by [`ShareLedger::take_outgoing`]; the answers go to
/// [`ShareLedger::accept_offers`].
///
/// The owner keeps the ledger's view current by [`ShareLedger::set_rates`],
/// [`ShareLedger::set_holders`] and [`ShareLedger::confirm_view`].
#[derive(Clone, Debug)]
pub struct ShareLedger {
    own_id: DaemonId,
    zone: usize,
    zones: usize,
    timing: LedgerTiming,
    next_id: u64,
    holders: Vec<[Option<DaemonId>; SLOTS]>,
    /// The holders in this daemon's zone as its roster names them. In contrast, `holders`
    /// still names this daemon for slots whose handover is open.
    roster_holders: [Option<DaemonId>; SLOTS],
    handovers: SlotHandovers,
    /// From when this daemon may use the slots that it holds.
    usable_from: [Timestamp; SLOTS],
    reachability: ReachabilityTable,
    freshness: Freshness,
    shares: Vec<CustomerShare>,
    outgoing: MessageOutbox,
}

/// One daemon's share of a customer's rate, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ShareLevel {
    /// The number of the customer's slots that the daemon holds.
    pub slots: u32,
    /// The tokens in its buckets: the number of requests that it could admit at once.
    pub tokens: f64,
    /// The capacity of its buckets, in tokens.
    pub capacity: f64,
}

/// This daemon's share of one customer's rate.
#[derive(Clone, Debug)]
struct CustomerShare {
    customer: CustomerKey,
    parts: RateParts,
    /// Until when a removed customer is remembered; `None` while the settings name it.
    removed: Option<Timestamp>,
    demand: DemandMeter,
    granted: GrantedTokens,
    /// For each of the customer's slots, until when its home is known to have no token.
    empty_until: [Timestamp; MAX_CUSTOMER_SLOTS],
    held: Vec<SlotShare>,
    /// Rotates the slot at which attempts to get a token start.
    cursor: u8,
    /// A fully spent grant (holder, slot and number), which the next token request to its
    /// holder reports.
    spent_grant: Option<(DaemonId, u8, u64)>,
}

impl ShareLedger {
    /// Creates a ledger without customers and holders, which admits nothing yet.
    ///
    /// `first_id` should be random: after a restart, messages to the previous process must
    /// not match grant and loan numbers of the new one.
    pub fn new(
        own_id: DaemonId,
        zone: usize,
        zones: usize,
        timing: LedgerTiming,
        first_id: u64,
        now: Timestamp,
    ) -> Self {
        let zones = zones.clamp(1, MAX_ZONES);
        ShareLedger {
            own_id,
            zone: zone.min(zones - 1),
            zones,
            timing,
            next_id: first_id >> 1,
            holders: vec![[None; SLOTS]; zones],
            roster_holders: [None; SLOTS],
            handovers: SlotHandovers::default(),
            usable_from: [now; SLOTS],
            reachability: ReachabilityTable::new(zones),
            freshness: Freshness::new(now),
            shares: Vec::new(),
            outgoing: MessageOutbox::default(),
        }
    }

    /// Sets the other members of this daemon's zone.
    pub fn set_members(&mut self, members: &[DaemonId]) {
        self.freshness.set_members(members);
    }

    /// Records that this daemon's view of roster and settings was current at `at`: the time
    /// just before the query to the store, or to a peer that confirmed the view.
    pub fn confirm_view(&mut self, at: Timestamp) {
        self.freshness.confirm(at);
    }

    /// Whether this daemon may spend from the slots that it holds.
    pub fn may_spend(&self, now: Timestamp) -> bool {
        self.freshness.may_spend(now, self.timing.max_view_age)
    }

    /// Whether the current settings name this customer.
    pub fn has_rate(&self, customer: CustomerKey) -> bool {
        let index = self.find(customer);
        index.is_some_and(|index| self.shares[index].removed.is_none())
    }

    /// Returns this daemon's current share of a customer's rate, borrowed slices included.
    pub fn share_level(&self, customer: CustomerKey) -> ShareLevel {
        let mut level = ShareLevel::default();
        let Some(index) = self.find(customer) else {
            return level;
        };
        for slot in &self.shares[index].held {
            let (tokens, capacity) = slot.level();
            level.slots += 1;
            level.tokens += tokens.as_f64();
            level.capacity += capacity.as_f64();
        }
        level
    }

    /// Records that a peer of this zone answered at `received_at`, and that the peer's own
    /// view was last confirmed at `confirmed_at`.
    pub fn note_peer(&mut self, peer: DaemonId, received_at: Timestamp, confirmed_at: Timestamp) {
        self.freshness.note_peer(peer, received_at, confirmed_at);
    }

    /// Records that a daemon is unreachable. No request is sent to it for
    /// [`LedgerTiming::down_duration`].
    pub fn note_down(&mut self, daemon: DaemonId, now: Timestamp) {
        self.reachability
            .note_down(daemon, now + self.timing.down_duration);
    }

    /// Ends expired grants, loans and handovers, returns granted tokens that are about to
    /// expire, and renews or returns borrowed slices.
    pub fn tick(&mut self, now: Timestamp) {
        self.end_due_handovers(now);
        self.freshness.tick(now, self.timing.max_view_age);
        let spending = self.freshness.may_spend(now, self.timing.max_view_age);
        for index in 0..self.shares.len() {
            self.return_expiring_grants(index, now);
            for position in 0..self.shares[index].held.len() {
                self.shares[index].held[position].advance(now);
                if spending {
                    self.renew(index, position, now);
                }
            }
        }
    }

    /// Removes and returns the messages that are queued for sending.
    pub fn take_outgoing(&mut self) -> Vec<Outgoing> {
        self.outgoing.take()
    }

    /// Returns the approximate size of this ledger in bytes, heap included, for planning
    /// memory.
    pub fn memory_size(&self) -> usize {
        let held = |share: &CustomerShare| share.held.capacity() * size_of::<SlotShare>();
        let held: usize = self.shares.iter().map(held).sum();
        size_of::<Self>()
            + self.shares.capacity() * size_of::<CustomerShare>()
            + self.holders.capacity() * size_of::<[Option<DaemonId>; SLOTS]>()
            + self.reachability.heap_size()
            + held
    }

    fn find(&self, customer: CustomerKey) -> Option<usize> {
        let found = self
            .shares
            .binary_search_by_key(&customer, |share| share.customer);
        found.ok()
    }

    fn held_slot(&mut self, customer: CustomerKey, slot: u8) -> Option<&mut SlotShare> {
        let index = self.find(customer)?;
        let position = self.shares[index].position(slot)?;
        Some(&mut self.shares[index].held[position])
    }
}

impl CustomerShare {
    /// Returns the roster slots that this customer uses.
    fn slots(&self) -> [Option<u8>; MAX_CUSTOMER_SLOTS] {
        let mut slots = [None; MAX_CUSTOMER_SLOTS];
        for slot_index in 0..self.parts.slots {
            slots[usize::from(slot_index)] = Some(roster_slot(self.customer, slot_index));
        }
        slots
    }

    fn position(&self, slot: u8) -> Option<usize> {
        self.held.iter().position(|held| held.slot == slot)
    }

    fn add_missing_slots(
        &mut self,
        is_own_slot: impl Fn(u8) -> bool,
        zone: usize,
        from: &[Timestamp; SLOTS],
        now: Timestamp,
    ) {
        for slot_index in 0..self.parts.slots {
            let slot = roster_slot(self.customer, slot_index);
            if is_own_slot(slot) && self.position(slot).is_none() {
                let slice = self.parts.slice(zone, slot_index);
                let held = SlotShare::new(slot, slice, from[usize::from(slot)], now);
                self.held.push(held);
            }
        }
    }
}
