//! Grants and loans between daemons.

use crate::{DaemonId, Timestamp};

use super::{
    super::{
        RateAnswer, RateRequest, SLOTS, Slice, SliceOffer, SliceRequest, SliceReturn, TokenAnswer,
        TokenRequest, Tokens,
        rate_parts::{roster_slot, zone_order},
        reachability::ReachabilityTable,
        slot_share::{LoanAction, ZoneHolders},
    },
    ShareLedger,
};

impl ShareLedger {
    /// Answers a request of another daemon.
    pub fn handle_request(
        &mut self,
        from: DaemonId,
        request: &RateRequest,
        now: Timestamp,
    ) -> RateAnswer {
        self.end_due_handovers(now);
        match request {
            RateRequest::Tokens(request) => RateAnswer::Tokens(self.handle_tokens(request, now)),
            RateRequest::Slices(wants) => {
                let offers = wants.iter().map(|want| self.offer(from, want, now));
                RateAnswer::Slices(offers.collect())
            }
            RateRequest::Return(returns) => {
                for returned in returns {
                    if let Some(held) = self.held_slot(returned.customer, returned.slot) {
                        held.advance(now);
                        held.end_loan(from, returned.loan, returned.tokens);
                    }
                }
                RateAnswer::Done
            }
            RateRequest::Settle(settlements) => {
                for settlement in settlements {
                    if let Some(held) = self.held_slot(settlement.customer, settlement.slot) {
                        held.advance(now);
                        held.settle_grant(settlement.grant, settlement.unspent);
                    }
                }
                RateAnswer::Done
            }
        }
    }

    /// Answers a token request, the most frequent kind, without allocating.
    pub fn handle_tokens(&mut self, request: &TokenRequest, now: Timestamp) -> TokenAnswer {
        self.end_due_handovers(now);
        if !self.may_spend(now) {
            return TokenAnswer::Stale;
        }
        let Some(index) = self.find(request.customer) else {
            return TokenAnswer::NotHolder;
        };
        let Some(position) = self.shares[index].position(request.slot) else {
            return TokenAnswer::NotHolder;
        };
        let timing = self.timing;
        let held = &mut self.shares[index].held[position];
        held.advance(now);
        if let Some(spent) = request.spent {
            held.settle_grant(spent, 0);
        }
        let mut complete = false;
        if request.home {
            held.mark_home(now, &timing);
            complete = self.borrow_slices(index, position, now);
        }
        self.next_id += 1;
        let grant = self.next_id;
        let held = &mut self.shares[index].held[position];
        match held.grant(request.want, grant, now, &timing) {
            Some(count) => TokenAnswer::Granted {
                grant,
                count,
                settle: held.needs_settlement(),
            },
            None => TokenAnswer::Empty {
                retry_after: held.retry_after(now),
                complete,
            },
        }
    }

    /// Adds the slices that `from` offers to this daemon's slots.
    pub fn accept_offers(&mut self, from: DaemonId, offers: &[SliceOffer], now: Timestamp) {
        let timing = self.timing;
        for offer in offers {
            let slot = usize::from(offer.slot) % SLOTS;
            let lends = |holders: &[Option<DaemonId>; SLOTS]| holders[slot] == Some(from);
            let Some(zone) = self.holders.iter().position(lends) else {
                continue;
            };
            if let Some(held) = self.held_slot(offer.customer, offer.slot) {
                held.advance(now);
                held.accept_offer(zone, offer, now, &timing);
            }
        }
    }

    fn offer(&mut self, from: DaemonId, want: &SliceRequest, now: Timestamp) -> SliceOffer {
        let mut offer = SliceOffer {
            customer: want.customer,
            slot: want.slot,
            loan: want.loan,
            sent: want.sent,
            slice: Slice::default(),
            tokens: Tokens::ZERO,
        };
        let timing = self.timing;
        if !self.freshness.may_spend(now, timing.max_view_age) {
            return offer;
        }
        let borrower_precedes = self.is_preceded_by(from, want);
        if let Some(held) = self.held_slot(want.customer, want.slot) {
            held.advance(now);
            (offer.slice, offer.tokens) = held.lend(from, want, borrower_precedes, now, &timing);
        }
        offer
    }

    /// Whether the zone of `from` comes before this daemon's zone in the slot's order of
    /// homes.
    fn is_preceded_by(&self, from: DaemonId, want: &SliceRequest) -> bool {
        let slot = usize::from(want.slot) % SLOTS;
        let order = zone_order(want.customer, want.slot, self.zones as u8);
        let first = order[..self.zones].iter().map(|zone| usize::from(*zone));
        let mut first =
            first.filter(|zone| *zone == self.zone || self.holders[*zone][slot] == Some(from));
        first.next() != Some(self.zone)
    }

    pub(super) fn borrow_for(&mut self, index: usize, slot_index: u8, now: Timestamp) -> bool {
        let slot = roster_slot(self.shares[index].customer, slot_index);
        let Some(position) = self.shares[index].position(slot) else {
            return false;
        };
        self.shares[index].held[position].mark_home(now, &self.timing);
        self.borrow_slices(index, position, now)
    }

    fn borrow_slices(&mut self, index: usize, position: usize, now: Timestamp) -> bool {
        let share = &mut self.shares[index];
        let customer = share.customer;
        let slot = share.held[position].slot;
        let holders = other_holders(&self.holders, &self.reachability, self.zone, slot, now);
        let (outgoing, next_id) = (&mut self.outgoing, &mut self.next_id);
        let sent = now.as_micros();
        share.held[position].borrow_slices(&holders, now, &self.timing, |to| {
            *next_id += 1;
            let loan = *next_id;
            let want = SliceRequest {
                customer,
                slot,
                loan,
                sent,
            };
            outgoing.request_slice(to, want);
            loan
        })
    }

    pub(super) fn renew(&mut self, index: usize, position: usize, now: Timestamp) {
        let share = &mut self.shares[index];
        let customer = share.customer;
        let slot = share.held[position].slot;
        let (outgoing, holders) = (&mut self.outgoing, &self.holders);
        let sent = now.as_micros();
        share.held[position].renew(now, &self.timing, |zone, step| {
            let Some(to) = holders[zone][usize::from(slot)] else {
                return;
            };
            match step {
                LoanAction::Renew { loan } => {
                    let want = SliceRequest {
                        customer,
                        slot,
                        loan,
                        sent,
                    };
                    outgoing.request_slice(to, want);
                }
                LoanAction::Return { loan, tokens } => {
                    let returned = SliceReturn {
                        customer,
                        slot,
                        loan,
                        tokens,
                    };
                    outgoing.return_slice(to, returned);
                }
            }
        });
    }
}

/// Returns the holders of a slot in the zones other than `own`, without those that are
/// down.
fn other_holders(
    holders: &[[Option<DaemonId>; SLOTS]],
    reachability: &ReachabilityTable,
    own: usize,
    slot: u8,
    now: Timestamp,
) -> ZoneHolders {
    let mut others = ZoneHolders::default();
    for (zone, holders) in holders.iter().enumerate() {
        let holder = holders[usize::from(slot)];
        let up = |daemon: &DaemonId| reachability.is_up(*daemon, zone, now);
        others[zone] = holder.filter(up).filter(|_| zone != own);
    }
    others
}
