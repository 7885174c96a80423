//! The state of one customer's slot at the daemon that holds it.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::{
    DemandMeter, LedgerTiming, Slice, SliceOffer, SliceRequest, TokenBucket, Tokens,
    grant_tracker::GrantTracker,
    zone_loan::{ZoneLoan, renewal_time},
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
    /// This holder's own part, without loans and grants.
    base: Slice,
    /// A part that replaces `base` at the given time.
    next_base: Option<(Timestamp, Slice)>,
    bucket: TokenBucket,
    grants: GrantTracker,
    /// Loans to the holders in other zones.
    lent: Vec<LentSlice>,
    /// Loans from the holders in other zones, indexed by zone.
    zone_loans: Vec<ZoneLoan>,
    /// The rate at which tokens are spent or granted.
    served: DemandMeter,
    /// The rate at which token requests find no token.
    failed: DemandMeter,
    /// Until when this holder acts as the slot's home and borrows slices.
    borrows_until: Timestamp,
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
        let immediate = from <= now;
        SlotShare {
            slot,
            base: if immediate { slice } else { Slice::default() },
            next_base: (!immediate).then_some((from, slice)),
            bucket: if immediate {
                TokenBucket::full(slice, now)
            } else {
                TokenBucket::empty(Slice::default(), now)
            },
            grants: GrantTracker::default(),
            lent: Vec::new(),
            zone_loans: Vec::new(),
            served: DemandMeter::default(),
            failed: DemandMeter::default(),
            borrows_until: Timestamp::ZERO,
        }
    }

    /// Sets a new base slice. Decreases apply immediately; with `raise_at`, increases apply
    /// only from then on.
    ///
    /// Borrowed slices are dropped, since their lenders computed them from the old
    /// settings.
    pub(super) fn set_base(&mut self, slice: Slice, raise_at: Option<Timestamp>, now: Timestamp) {
        self.advance(now);
        self.zone_loans.clear();
        match (raise_at, &mut self.next_base) {
            (Some(raise_at), next) => {
                self.base = self.base.min(slice);
                *next = Some((raise_at, slice));
            }
            (None, Some((_, next))) => {
                self.base = self.base.min(slice);
                *next = slice;
            }
            (None, None) => self.base = slice,
        }
        self.update_bucket();
    }

    /// Refills the bucket up to `now` and ends expired loans and grants.
    pub(super) fn advance(&mut self, now: Timestamp) {
        while let Some(end) = self.first_expiry(now) {
            // The refill includes the borrowed rate only up to the end of the loan,
            // however late this runs; after that the lender refills at that rate again.
            self.bucket.refill(end);
            for zone_loan in &mut self.zone_loans {
                if zone_loan.expired_at(end).is_some() {
                    *zone_loan = ZoneLoan::Idle;
                }
            }
            self.update_bucket();
        }
        if let Some((from, slice)) = self.next_base
            && from <= now
        {
            self.bucket.refill(from);
            self.base = slice;
            self.next_base = None;
            self.update_bucket();
        }
        self.bucket.refill(now);
        if self.remove_expired(now) {
            self.update_bucket();
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
        let spare = level.divided(SPARE_DIVISOR).count();
        let count = 1 + want.saturating_sub(1).min(spare).min(level.count() - 1);
        self.bucket.take(Tokens::whole(count));
        self.grants
            .add(id, count, now + timing.grant_hold_duration(count));
        self.served.note(count, now);
        self.update_bucket();
        Some(count)
    }

    /// Whether open grants reserve so much capacity that they should be settled early.
    pub(super) fn needs_settlement(&self) -> bool {
        self.grants.reserved() > self.bucket.slice().capacity.divided(4)
    }

    /// Frees the capacity reserved for a grant and puts its unspent tokens back. Unknown
    /// grants are ignored: they expired, or an earlier message settled them.
    pub(super) fn settle_grant(&mut self, id: u64, unspent: u32) {
        let Some(reserved) = self.grants.settle(id) else {
            return;
        };
        self.update_bucket();
        self.bucket.add(Tokens::whole(unspent).min(reserved));
    }

    /// Lends the whole available slice to `borrower`, or renews its loan. Returns the total
    /// slice lent and the tokens that move with it.
    ///
    /// Two daemons may both act as the slot's home after a network partition has ended for
    /// only one of them. With `borrower_precedes`, the borrower's zone is earlier in the
    /// slot's order, so this holder stops borrowing and lends. Otherwise it lends nothing
    /// while it borrows itself, or slices would move back and forth.
    pub(super) fn lend(
        &mut self,
        borrower: DaemonId,
        want: &SliceRequest,
        borrower_precedes: bool,
        now: Timestamp,
        timing: &LedgerTiming,
    ) -> (Slice, Tokens) {
        let nothing = (Slice::default(), Tokens::ZERO);
        if self.borrows_until > now && !borrower_precedes {
            return nothing;
        }
        self.stop_borrowing(now);
        let lent = self.lent.iter();
        let own = lent.fold(self.base, |left, lent| left.minus(lent.slice));
        let available = self.bucket.slice();
        let additional = available.min(own);
        let tokens = self
            .bucket
            .level()
            .scaled(additional.capacity, available.capacity);
        let until = now + timing.slice_hold_duration();
        let position = self.lent.iter().position(|lent| lent.borrower == borrower);
        let others = self.lent.iter().filter(|lent| lent.borrower != borrower);
        let limit = others.fold(self.base, |left, lent| left.minus(lent.slice));
        let slice = match position {
            // A request that arrives after a newer one must not end the newer loan,
            // which the borrower holds.
            Some(position) if self.lent[position].loan > want.loan => return nothing,
            Some(position) => {
                let lent = &mut self.lent[position];
                let grown = lent.slice.plus(additional);
                // This holder's part was reduced since the loan. A renewal would keep
                // the old amount in use; under a new loan number the borrower holds
                // nothing yet, so it gets the reduced slice.
                if grown != grown.min(limit) && lent.loan == want.loan {
                    return nothing;
                }
                lent.loan = want.loan;
                lent.slice = grown.min(limit);
                lent.until = until;
                lent.slice
            }
            None if additional == Slice::default() => return nothing,
            None => {
                let loan = want.loan;
                let slice = additional;
                self.lent.push(LentSlice {
                    borrower,
                    loan,
                    slice,
                    until,
                });
                additional
            }
        };
        self.bucket.take(tokens);
        self.update_bucket();
        (slice, tokens)
    }

    /// Ends a loan whose borrower has returned it, and puts its tokens back.
    pub(super) fn end_loan(&mut self, borrower: DaemonId, loan: u64, tokens: Tokens) {
        let matches = |lent: &LentSlice| lent.borrower == borrower && lent.loan == loan;
        let Some(position) = self.lent.iter().position(matches) else {
            return;
        };
        self.lent.swap_remove(position);
        self.update_bucket();
        self.bucket.add(tokens);
    }

    /// Adds the slice that `zone` offers, if it was requested and the loan hasn't already
    /// expired.
    pub(super) fn accept_offer(
        &mut self,
        zone: usize,
        offer: &SliceOffer,
        now: Timestamp,
        timing: &LedgerTiming,
    ) {
        let Some(zone_loan) = self.zone_loans.get(zone).copied() else {
            return;
        };
        let end = SliceRequest::sent_at(offer.sent) + timing.slice_duration;
        let empty = offer.slice == Slice::default();
        let (slice, until) = match zone_loan {
            ZoneLoan::Requested { loan, .. } if loan == offer.loan => {
                if empty || end <= now {
                    self.zone_loans[zone] = ZoneLoan::refused(now);
                    return;
                }
                (offer.slice, end)
            }
            ZoneLoan::Borrowed {
                loan, slice, until, ..
            } if loan == offer.loan && until > now => (slice.max(offer.slice), until.max(end)),
            _ => return,
        };
        if empty || end <= now {
            return;
        }
        self.zone_loans[zone] = ZoneLoan::Borrowed {
            loan: offer.loan,
            slice,
            until,
            renew_at: renewal_time(until, timing),
        };
        self.update_bucket();
        self.bucket.add(offer.tokens);
    }

    /// Records that a daemon uses this holder as the slot's home.
    pub(super) fn mark_home(&mut self, now: Timestamp, timing: &LedgerTiming) {
        self.borrows_until = self.borrows_until.max(now + 2 * timing.slice_duration);
    }

    /// Requests slices from the other zones if this slot needs more, and returns whether
    /// every zone has either lent its slice or refused. `request_loan` queues one request and
    /// returns its loan number.
    pub(super) fn borrow_slices(
        &mut self,
        holders: &ZoneHolders,
        now: Timestamp,
        timing: &LedgerTiming,
        mut request_loan: impl FnMut(DaemonId) -> u64,
    ) -> bool {
        let needed = self.needs_more(now);
        if self.zone_loans.is_empty() {
            if !needed {
                return false;
            }
            self.zone_loans.resize(holders.len(), ZoneLoan::Idle);
        }
        let mut complete = true;
        for (zone_loan, holder) in self.zone_loans.iter_mut().zip(holders) {
            zone_loan.end_waits(now);
            let Some(holder) = *holder else {
                continue;
            };
            match zone_loan {
                ZoneLoan::Idle if needed => {
                    let loan = request_loan(holder);
                    let until = now + timing.request_timeout;
                    *zone_loan = ZoneLoan::Requested { loan, until };
                    complete = false;
                }
                ZoneLoan::Idle | ZoneLoan::Requested { .. } => complete = false,
                ZoneLoan::Refused { .. } | ZoneLoan::Borrowed { .. } => {}
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
        mut send: impl FnMut(usize, LoanAction),
    ) {
        // Loans at a holder that other daemons no longer use as the slot's home would
        // keep the new home from borrowing.
        let is_former_home = self.borrows_until <= now;
        let is_unneeded = is_former_home || self.is_idle(now);
        for zone in 0..self.zone_loans.len() {
            let ZoneLoan::Borrowed {
                loan,
                slice,
                renew_at,
                ..
            } = &mut self.zone_loans[zone]
            else {
                continue;
            };
            if *renew_at > now {
                continue;
            }
            let (loan, slice) = (*loan, *slice);
            let remaining = self.bucket.slice();
            if is_unneeded && remaining.capacity >= slice.capacity && remaining.rate >= slice.rate {
                let tokens = self
                    .bucket
                    .level()
                    .scaled(slice.capacity, remaining.capacity);
                self.bucket.take(tokens);
                self.zone_loans[zone] = ZoneLoan::Idle;
                self.update_bucket();
                send(zone, LoanAction::Return { loan, tokens });
                continue;
            }
            *renew_at = now + timing.request_timeout;
            if is_former_home {
                // The grants issued from the loan still reserve its capacity, so it is
                // left to expire.
                continue;
            }
            send(zone, LoanAction::Renew { loan });
        }
    }

    /// Returns how long a daemon that got no token should wait before its next request.
    pub(super) fn retry_after(&self, now: Timestamp) -> Duration {
        let excess = (self.failed.rate_at(now) - MAX_UNTHROTTLED_FAILURES).max(0.0);
        let backoff = (1.0 + excess / BACKOFF_SCALE).powi(2);
        let token = self.bucket.next_token().unwrap_or(MAX_RETRY_AFTER);
        let micros = Duration::from_micros(1);
        (token.min(MAX_RETRY_AFTER).mul_f64(backoff) + micros).min(MAX_RETRY_AFTER)
    }

    fn first_expiry(&self, now: Timestamp) -> Option<Timestamp> {
        let expiries = self
            .zone_loans
            .iter()
            .filter_map(|zone_loan| zone_loan.expired_at(now));
        expiries.min()
    }

    /// Ends expired grants and expired loans to other daemons, and returns whether there
    /// were any. Ending them late is safe: until then this holder spends less.
    fn remove_expired(&mut self, now: Timestamp) -> bool {
        let mut changed = self.grants.remove_ended(now);
        let lent = self.lent.len();
        self.lent.retain(|lent| lent.until > now);
        changed |= lent != self.lent.len();
        changed
    }

    /// Sets the bucket's slice: the base and borrowed slices, less the lent slices and the
    /// capacity reserved for grants.
    fn update_bucket(&mut self) {
        let mut held = self.base;
        for zone_loan in &self.zone_loans {
            held = held.plus(zone_loan.slice());
        }
        for lent in &self.lent {
            held = held.minus(lent.slice);
        }
        held.capacity -= self.grants.reserved();
        self.bucket.set_slice(held);
    }

    /// Stops borrowing, and makes all loans due, so that the next tick returns them.
    fn stop_borrowing(&mut self, now: Timestamp) {
        self.borrows_until = self.borrows_until.min(now);
        for zone_loan in &mut self.zone_loans {
            if let ZoneLoan::Borrowed { renew_at, .. } = zone_loan {
                *renew_at = now;
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
pub(super) enum LoanAction {
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
