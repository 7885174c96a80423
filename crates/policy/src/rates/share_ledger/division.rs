//! Computes from rates and rosters the parts that this daemon may spend from.

use crate::{DaemonId, Timestamp};

use super::{
    super::{
        CustomerKey, CustomerRate, DemandMeter, MAX_CUSTOMER_SLOTS, MAX_ZONES, RateParts, SLOTS,
        token_grants::GrantedTokens,
    },
    CustomerShare, ShareLedger,
};

impl ShareLedger {
    /// Sets the rates of all customers from the current settings.
    ///
    /// A changed rate applies immediately if the numbers of slots and zones stay the
    /// same: all parts scale by the same factor, so a mix of old and new parts adds up to
    /// between the old and the new rate. Otherwise parts shrink immediately and grow only
    /// after
    /// [`LedgerTiming::takeover_delay`](super::super::LedgerTiming::takeover_delay), when
    /// every daemon has received the change or stopped spending.
    pub fn set_rates(&mut self, rates: &[CustomerRate], now: Timestamp) {
        let mut rates = rates.to_vec();
        rates.sort_unstable_by_key(|rate| rate.customer);
        rates.dedup_by_key(|rate| rate.customer);
        let old = std::mem::take(&mut self.shares);
        let mut old = old.into_iter().peekable();
        let mut shares = Vec::with_capacity(rates.len());
        for rate in &rates {
            while let Some(removed) = old.next_if(|share| share.customer < rate.customer) {
                shares.extend(self.removed_share(removed, now));
            }
            let parts = RateParts::of_rate(rate, self.zones);
            let share = match old.next_if(|share| share.customer == rate.customer) {
                Some(share) if share.removed.is_some_and(|until| until <= now) => {
                    self.new_share(rate.customer, parts, now)
                }
                Some(share) => self.changed_share(share, parts, now),
                None => self.new_share(rate.customer, parts, now),
            };
            shares.push(share);
        }
        for removed in old {
            shares.extend(self.removed_share(removed, now));
        }
        self.shares = shares;
    }

    /// Sets the number of zones of the fleet; zones are only ever added at the end.
    ///
    /// The caller must call [`ShareLedger::set_rates`] afterwards, which recomputes all
    /// parts.
    pub fn set_zones(&mut self, zones: usize) {
        self.zones = zones.clamp(self.zones, MAX_ZONES);
        self.holders.resize(self.zones, [None; SLOTS]);
        self.reachability.set_zones(self.zones);
    }

    /// Sets which daemon holds each slot of a zone.
    ///
    /// In this daemon's own zone this decides which slots it may spend from. The slots in
    /// `never_held`, one bit each, never had a holder and may be used immediately. Other
    /// slots that this daemon gains start empty, and only after
    /// [`LedgerTiming::takeover_delay`](super::super::LedgerTiming::takeover_delay), when
    /// everything that their previous holder granted or lent has certainly ended.
    pub fn set_holders(
        &mut self,
        zone: usize,
        holders: &[Option<DaemonId>; SLOTS],
        never_held: u64,
        now: Timestamp,
    ) {
        if zone >= self.zones {
            return;
        }
        if zone != self.zone {
            self.holders[zone] = *holders;
            return;
        }
        self.roster_holders = *holders;
        self.update_own_slots(never_held, now);
    }

    fn new_share(&self, customer: CustomerKey, parts: RateParts, now: Timestamp) -> CustomerShare {
        let mut share = CustomerShare {
            customer,
            parts,
            removed: None,
            demand: DemandMeter::default(),
            granted: GrantedTokens::default(),
            empty_until: [Timestamp::ZERO; MAX_CUSTOMER_SLOTS],
            held: Vec::new(),
            cursor: customer.0 as u8,
            spent_grant: None,
        };
        let holders = self.holders[self.zone];
        let is_own_slot = |slot: u8| holders[usize::from(slot)] == Some(self.own_id);
        // For a new customer no daemon can hold grants or loans yet. But the customer may
        // be new only to this daemon, so the wait for newly gained slots applies here too.
        share.add_missing_slots(is_own_slot, self.zone, &self.usable_from, now);
        share
    }

    fn changed_share(
        &self,
        mut share: CustomerShare,
        parts: RateParts,
        now: Timestamp,
    ) -> CustomerShare {
        share.removed = None;
        if share.parts == parts {
            return share;
        }
        let raise_at = now + self.timing.takeover_delay();
        let raise_at = (!share.parts.same_division(&parts)).then_some(raise_at);
        share.parts = parts;
        share.granted.clear();
        share.empty_until = [Timestamp::ZERO; MAX_CUSTOMER_SLOTS];
        let slots = share.slots();
        share.held.retain(|held| slots.contains(&Some(held.slot)));
        for held in &mut share.held {
            let slot_index = slots.iter().position(|slot| *slot == Some(held.slot));
            let slice = parts.slice(self.zone, slot_index.unwrap_or(0) as u8);
            held.set_base(slice, raise_at, now);
        }
        let holders = self.holders[self.zone];
        let is_own_slot = |slot: u8| holders[usize::from(slot)] == Some(self.own_id);
        let raise_at = raise_at.unwrap_or(now);
        let usable_from = self.usable_from.map(|from| from.max(raise_at));
        share.add_missing_slots(is_own_slot, self.zone, &usable_from, now);
        share
    }

    /// Keeps a removed customer with a zero rate until everything that daemons still issue
    /// by the old settings has ended and its burst would have refilled. If the customer is
    /// created again after that, it may start with its whole burst.
    fn removed_share(&self, share: CustomerShare, now: Timestamp) -> Option<CustomerShare> {
        match share.removed {
            Some(until) if until <= now => None,
            Some(_) => Some(share),
            None => {
                let filled = share.parts.fill_time().max(self.timing.takeover_delay());
                let mut share = self.changed_share(share, RateParts::default(), now);
                share.removed = Some(now + filled);
                Some(share)
            }
        }
    }
}
