//! The state of one customer's slot at the daemon that holds it.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::{
    DemandMeter, LedgerTiming, Slice, SliceOffer, SliceWant, TokenBucket, Tokens,
    grant_book::GrantBook,
    zone_link::{ZoneLink, renewal},
};

/// The rate of failed token requests per second up to which a holder doesn't raise
/// `retry_after`.
const MAX_UNTHROTTLED_FAILURES: f64 = 20.0;

/// Scale of the backoff, in failed token requests per second above
/// [`MAX_UNTHROTTLED_FAILURES`]: `retry_after` is multiplied by the square of one plus
/// excess / scale, so that hundreds of daemons that all request more don't overload the
/// holder.
const BACKOFF_SCALE: f64 = 10.0;

/// The maximum `retry_after` that a holder sends.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A grant contains at most one part in this many of the remaining tokens, beyond the one
/// token that the requester needs immediately. The fraction is small so that few tokens
/// are idle at one daemon while another has none.
const SPARE_DIVISOR: u32 = 16;

/// A slice that this holder lent.
#[derive(Clone, Copy, Debug)]
struct LentSlice {
    borrower: DaemonId,
    loan: u64,
    slice: Slice,
    until: Timestamp,
}

/// The holder of the slot in each zone, `None` where it is unknown or down.
pub(super) type ZoneHolders = [Option<DaemonId>; super::MAX_ZONES];

/// A slot's bucket with the grants and loans issued from it and the slices borrowed for it.
#[derive(Clone, Debug)]
pub(super) struct SlotShare {
    pub(super) slot: u8,
    base: Slice,
    next_base: Option<(Timestamp, Slice)>,
    bucket: TokenBucket,
    grants: GrantBook,
    lent: Vec<LentSlice>,
    links: Vec<ZoneLink>,
    served: DemandMeter,
    failed: DemandMeter,
    gathers_until: Timestamp,
}

impl SlotShare {
    /// Returns the tokens in the bucket as of the last refill, and its capacity.
    pub(super) fn level(&self) -> (Tokens, Tokens) {
        (self.bucket.level(), self.bucket.slice().capacity)
    }

    /// Creates a slot whose part is zero until `from` and whose bucket starts empty then.
    ///
    /// If `from` has passed, no other daemon has held the slot since the customer became
    /// known, so no tokens were spent from it and its bucket starts full.
    pub(super) fn new(slot: u8, slice: Slice, from: Timestamp, now: Timestamp) -> Self {
        let at_once = from <= now;
        SlotShare {
            slot,
            base: if at_once { slice } else { Slice::default() },
            next_base: (!at_once).then_some((from, slice)),
            bucket: if at_once {
                TokenBucket::full(slice, now)
            } else {
                TokenBucket::empty(Slice::default(), now)
            },
            grants: GrantBook::default(),
            lent: Vec::new(),
            links: Vec::new(),
            served: DemandMeter::default(),
            failed: DemandMeter::default(),
            gathers_until: Timestamp::ZERO,
        }
    }

    /// Sets a new base slice. Decreases apply immediately; with `raise`, increases apply
    /// only from then on.
    ///
    /// Borrowed slices are dropped, since their lenders computed them from the old
    /// settings.
    pub(super) fn set_base(&mut self, slice: Slice, raise: Option<Timestamp>, now: Timestamp) {
        self.advance(now);
        self.links.clear();
        match (raise, &mut self.next_base) {
            (Some(raise), next) => {
                self.base = self.base.min(slice);
                *next = Some((raise, slice));
            }
            (None, Some((_, next))) => {
                self.base = self.base.min(slice);
                *next = slice;
            }
            (None, None) => self.base = slice,
        }
        self.reshape();
    }

    /// Refills the bucket up to `now` and ends expired loans and grants.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while let Some(end) = self.first_lapse(now) {
            // The refill includes the borrowed rate only up to the end of the loan,
            // however late this runs; after that the lender refills at that rate again.
            self.bucket.settle(end);
            for link in &mut self.links {
                if link.lapse(end).is_some() {
                    *link = ZoneLink::Idle;
                }
            }
            self.reshape();
        }
        if let Some((from, slice)) = self.next_base
            && from <= now
        {
            self.bucket.settle(from);
            self.base = slice;
            self.next_base = None;
            self.reshape();
        }
        self.bucket.settle(now);
        if self.end_given(now) {
            self.reshape();
        }
    }

    /// Takes one token for a request that arrived at this daemon. The caller must have
    /// called [`SlotShare::advance`] first.
    pub(super) fn spend(&mut self, now: Timestamp) -> bool {
        let spent = self.bucket.take(Tokens::ONE);
        if spent {
            self.served.note(1, now);
        }
        spent
    }

    /// Grants up to `want` whole tokens to a requesting daemon and returns their number,
    /// or `None` if the bucket holds no whole token.
    pub(super) fn grant(
        &mut self,
        want: u32,
        id: u64,
        now: Timestamp,
        timing: &LedgerTiming,
    ) -> Option<u32> {
        let level = self.bucket.level();
        if level < Tokens::ONE {
            self.failed.note(1, now);
            return None;
        }
        let spare = level.divided(SPARE_PARTS).count();
        let count = 1 + want.saturating_sub(1).min(spare).min(level.count() - 1);
        self.bucket.take(Tokens::whole(count));
        self.grants.add(id, count, now + timing.grant_hold(count));
        self.served.note(count, now);
        self.reshape();
        Some(count)
    }

    /// Whether open grants reserve so much capacity that they should be settled early.
    pub(super) fn wants_settlement(&self) -> bool {
        self.grants.room() > self.bucket.slice().capacity.divided(4)
    }

    /// Frees the capacity reserved for a grant and puts its unspent tokens back. Unknown
    /// grants are ignored: they expired, or an earlier message settled them.
    pub(super) fn settle_grant(&mut self, id: u64, unspent: u32) {
        let Some(room) = self.grants.settle(id) else {
            return;
        };
        self.reshape();
        self.bucket.put(Tokens::whole(unspent).min(room));
    }

    /// Lends the whole available slice to `borrower`, or renews its loan. Returns the total
    /// slice lent and the tokens that move with it.
    ///
    /// Two daemons may both act as the slot's home after a network partition has ended for
    /// only one of them. The one whose zone is later in the slot's order sets `yields` and
    /// stops borrowing; the other lends nothing, or slices would move back and forth.
    pub(super) fn lend(
        &mut self,
        borrower: DaemonId,
        want: &SliceWant,
        yields: bool,
        now: Timestamp,
        timing: &LedgerTiming,
    ) -> (Slice, Tokens) {
        let nothing = (Slice::default(), Tokens::ZERO);
        if self.gathers_until > now && !yields {
            return nothing;
        }
        self.retire(now);
        let lent = self.lent.iter();
        let own = lent.fold(self.base, |left, lent| left.minus(lent.slice));
        let there = self.bucket.slice();
        let more = there.min(own);
        let tokens = self.bucket.level().scaled(more.capacity, there.capacity);
        let until = now + timing.slice_hold();
        let position = self.lent.iter().position(|lent| lent.borrower == borrower);
        let others = self.lent.iter().filter(|lent| lent.borrower != borrower);
        let most = others.fold(self.base, |left, lent| left.minus(lent.slice));
        let slice = match position {
            // A request that arrives after a newer one must not end the newer loan,
            // which the borrower holds.
            Some(position) if self.lent[position].loan > want.loan => return nothing,
            Some(position) => {
                let lent = &mut self.lent[position];
                let grown = lent.slice.plus(more);
                // This holder's part was reduced since the loan. A renewal would keep
                // the old amount in use; under a new loan number the borrower holds
                // nothing yet, so it gets the reduced slice.
                if grown != grown.min(most) && lent.loan == want.loan {
                    return nothing;
                }
                lent.loan = want.loan;
                lent.slice = grown.min(most);
                lent.until = until;
                lent.slice
            }
            None if more == Slice::default() => return nothing,
            None => {
                let loan = want.loan;
                let slice = more;
                self.lent.push(LentSlice {
                    borrower,
                    loan,
                    slice,
                    until,
                });
                more
            }
        };
        self.bucket.take(tokens);
        self.reshape();
        (slice, tokens)
    }

    /// Ends a loan whose borrower has returned it, and puts its tokens back.
    pub(super) fn take_back(&mut self, borrower: DaemonId, loan: u64, tokens: Tokens) {
        let matches = |lent: &LentSlice| lent.borrower == borrower && lent.loan == loan;
        let Some(position) = self.lent.iter().position(matches) else {
            return;
        };
        self.lent.swap_remove(position);
        self.reshape();
        self.bucket.put(tokens);
    }

    /// Adds the slice that `zone` offers, if it was requested and the loan hasn't already
    /// expired.
    pub(super) fn take_offer(
        &mut self,
        zone: usize,
        offer: &SliceOffer,
        now: Timestamp,
        timing: &LedgerTiming,
    ) {
        let Some(link) = self.links.get(zone).copied() else {
            return;
        };
        let end = SliceWant::sent_at(offer.sent) + timing.slice;
        let empty = offer.slice == Slice::default();
        let (slice, until) = match link {
            ZoneLink::Asked { loan, .. } if loan == offer.loan => {
                if empty || end <= now {
                    self.links[zone] = ZoneLink::refused(now);
                    return;
                }
                (offer.slice, end)
            }
            ZoneLink::Borrowed {
                loan, slice, until, ..
            } if loan == offer.loan && until > now => (slice.max(offer.slice), until.max(end)),
            _ => return,
        };
        if empty || end <= now {
            return;
        }
        self.links[zone] = ZoneLink::Borrowed {
            loan: offer.loan,
            slice,
            until,
            renew: renewal(until, timing),
        };
        self.reshape();
        self.bucket.put(offer.tokens);
    }

    /// Records that a daemon uses this holder as the slot's home.
    pub(super) fn be_home(&mut self, now: Timestamp, timing: &LedgerTiming) {
        self.gathers_until = self.gathers_until.max(now + 2 * timing.slice);
    }

    /// Requests slices from the other zones if this slot needs more, and returns whether
    /// every zone has either lent its slice or refused. `ask` queues one request and
    /// returns its loan number.
    pub(super) fn gather(
        &mut self,
        holders: &ZoneHolders,
        now: Timestamp,
        timing: &LedgerTiming,
        mut ask: impl FnMut(DaemonId) -> u64,
    ) -> bool {
        let needed = self.needs_more(now);
        if self.links.is_empty() {
            if !needed {
                return false;
            }
            self.links.resize(holders.len(), ZoneLink::Idle);
        }
        let mut complete = true;
        for (link, holder) in self.links.iter_mut().zip(holders) {
            link.end_wait(now);
            let Some(holder) = *holder else {
                continue;
            };
            match link {
                ZoneLink::Idle if needed => {
                    let loan = ask(holder);
                    let until = now + timing.answer;
                    *link = ZoneLink::Asked { loan, until };
                    complete = false;
                }
                ZoneLink::Idle | ZoneLink::Asked { .. } => complete = false,
                ZoneLink::Refused { .. } | ZoneLink::Borrowed { .. } => {}
            }
        }
        complete
    }

    /// Renews the loans that are due, or returns those that are no longer needed, provided
    /// that the bucket's remaining slice covers them.
    pub(super) fn renew(
        &mut self,
        now: Timestamp,
        timing: &LedgerTiming,
        mut send: impl FnMut(usize, LoanStep),
    ) {
        // Loans at a holder that other daemons no longer use as the slot's home would
        // keep the new home from borrowing.
        let retired = self.gathers_until <= now;
        let done = retired || self.is_idle(now);
        for zone in 0..self.links.len() {
            let ZoneLink::Borrowed {
                loan, slice, renew, ..
            } = &mut self.links[zone]
            else {
                continue;
            };
            if *renew > now {
                continue;
            }
            let (loan, slice) = (*loan, *slice);
            let left = self.bucket.slice();
            if done && left.capacity >= slice.capacity && left.rate >= slice.rate {
                let tokens = self.bucket.level().scaled(slice.capacity, left.capacity);
                self.bucket.take(tokens);
                self.links[zone] = ZoneLink::Idle;
                self.reshape();
                send(zone, LoanStep::Return { loan, tokens });
                continue;
            }
            *renew = now + timing.answer;
            if retired {
                // The grants issued from the loan still reserve its capacity, so it is
                // left to expire.
                continue;
            }
            send(zone, LoanStep::Renew { loan });
        }
    }

    /// Returns how long a daemon that got no token should wait before its next request.
    pub(super) fn retry_after(&self, now: Timestamp) -> Duration {
        let excess = (self.failed.rate_at(now) - CALM_FAILURES).max(0.0);
        let patience = (1.0 + excess / PATIENCE_STEP).powi(2);
        let token = self.bucket.next_token().unwrap_or(MAX_PATIENCE);
        let micros = Duration::from_micros(1);
        (token.min(MAX_PATIENCE).mul_f64(patience) + micros).min(MAX_PATIENCE)
    }

    fn first_lapse(&self, now: Timestamp) -> Option<Timestamp> {
        let lapses = self.links.iter().filter_map(|link| link.lapse(now));
        lapses.min()
    }

    /// Ends expired grants and expired loans to other daemons, and returns whether there
    /// were any. Ending them late is safe: until then this holder spends less.
    fn end_given(&mut self, now: Timestamp) -> bool {
        let mut changed = self.grants.end(now);
        let lent = self.lent.len();
        self.lent.retain(|lent| lent.until > now);
        changed |= lent != self.lent.len();
        changed
    }

    /// Sets the bucket's slice: the base and borrowed slices, less the lent slices and the
    /// capacity reserved for grants.
    fn reshape(&mut self) {
        let mut held = self.base;
        for link in &self.links {
            held = held.plus(link.slice());
        }
        for lent in &self.lent {
            held = held.minus(lent.slice);
        }
        held.capacity -= self.grants.room();
        self.bucket.reshape(held);
    }

    /// Stops borrowing, and makes all loans due, so that the next tick returns them.
    fn retire(&mut self, now: Timestamp) {
        self.gathers_until = self.gathers_until.min(now);
        for link in &mut self.links {
            if let ZoneLink::Borrowed { renew, .. } = link {
                *renew = now;
            }
        }
    }

    fn needs_more(&self, now: Timestamp) -> bool {
        let half = self.bucket.slice().capacity.divided(2);
        self.bucket.level() <= half || self.served.rate_at(now) > self.base.rate.as_f64() / 2.0
    }

    fn is_idle(&self, now: Timestamp) -> bool {
        let capacity = self.bucket.slice().capacity;
        self.bucket.level() >= capacity - capacity.divided(10)
            && self.served.rate_at(now) < self.base.rate.as_f64() / 4.0
    }
}

/// The action for a loan whose renewal is due.
#[derive(Clone, Copy, Debug)]
pub(super) enum LoanStep {
    /// Request an extension from the lender.
    Renew {
        /// The borrower's number for the loan.
        loan: u64,
    },
    /// Return the slice to the lender.
    Return {
        /// The borrower's number for the loan.
        loan: u64,
        /// The tokens to transfer back.
        tokens: Tokens,
    },
}
