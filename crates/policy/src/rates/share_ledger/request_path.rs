//! What becomes of one request.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::{
    super::{
        CustomerKey, TokenAnswer, TokenAsk, TokenSettlement,
        rate_part::{roster_slot, zone_order},
        token_pocket::PocketGrant,
    },
    ShareLedger,
};

/// How many daemons one request may ask before it is refused.
const MAX_ASKS: u8 = 20;

/// How long one request may spend asking before it is refused.
const MAX_ASKING: Duration = Duration::from_secs(1);

/// Tokens are asked for ahead only above this demand, in requests a second.
const AHEAD_DEMAND: f64 = 1.0;

/// When a refused caller should come back if no holder could say.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Grants are returned this long before they lapse.
const RETURN_AHEAD: Duration = Duration::from_millis(300);

/// What is to be done with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It may run.
    Admitted,
    /// Another daemon has to be asked first.
    Borrow {
        /// The daemon to ask.
        to: DaemonId,
        /// What to ask it.
        ask: TokenAsk,
        /// Goes back into the ledger with the answer.
        attempt: Attempt,
    },
    /// It is over its customer's rate.
    Refused {
        /// When to come back.
        retry_after: Duration,
    },
}

/// A request on its way from daemon to daemon in search of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    customer: CustomerKey,
    started: Timestamp,
    asked: Timestamp,
    to: DaemonId,
    zone: u8,
    place: u8,
    first: u8,
    step: u8,
    asks: u8,
    /// A bit for each place whose home has gathered everything and is empty.
    done: u8,
}

impl ShareLedger {
    /// Decides about a request that just arrived.
    pub fn admit(&mut self, customer: CustomerKey, now: Timestamp) -> Decision {
        let Some(index) = self.find(customer) else {
            let retry_after = DEFAULT_RETRY;
            return Decision::Refused { retry_after };
        };
        let share = &mut self.shares[index];
        share.demand.note(1, now);
        if self.spend_here(index, now) {
            return Decision::Admitted;
        }
        let share = &mut self.shares[index];
        share.cursor = share.cursor.wrapping_add(1);
        let attempt = Attempt {
            customer,
            started: now,
            asked: now,
            to: self.me,
            zone: self.zone as u8,
            place: 0,
            first: share.cursor % share.part.slots.max(1),
            step: 0,
            asks: 0,
            done: 0,
        };
        self.proceed(index, attempt, now)
    }

    /// Goes on with a request after an answer.
    ///
    /// Tokens that come later than their holder allows are dropped.
    pub fn take(&mut self, mut attempt: Attempt, answer: TokenAnswer, now: Timestamp) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY;
            return Decision::Refused { retry_after };
        };
        let slot = roster_slot(attempt.customer, attempt.place);
        self.reach
            .note_answer(attempt.to, usize::from(attempt.zone));
        match answer {
            TokenAnswer::Granted {
                grant,
                count,
                settle,
            } => {
                let until = attempt.asked + self.timing.grant_life(count);
                if until > now && count > 0 {
                    self.shares[index].pocket.add(PocketGrant {
                        holder: attempt.to,
                        slot,
                        grant,
                        count,
                        until,
                        settle,
                    });
                }
            }
            TokenAnswer::Empty {
                retry_after,
                complete,
            } => {
                if complete {
                    attempt.done |= 1 << attempt.place;
                    let until = now + retry_after;
                    self.shares[index].empty_until[usize::from(attempt.place)] = until;
                }
            }
            // A slot is on its way to another holder. The daemon's other slots
            // can still be asked for; to count it as down would leave the
            // customer without any of them.
            TokenAnswer::NotHolder => {}
            TokenAnswer::Stale => return self.skip(index, attempt, now),
        }
        self.resume(index, attempt, now)
    }

    /// Goes on with a request whose ask can't even be sent.
    pub fn unreachable(&mut self, attempt: Attempt, now: Timestamp) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY;
            return Decision::Refused { retry_after };
        };
        self.skip(index, attempt, now)
    }

    /// Goes on with a request whose ask got no answer in time.
    pub fn fail(&mut self, attempt: Attempt, now: Timestamp) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY;
            return Decision::Refused { retry_after };
        };
        // One lost answer doesn't make a daemon unreachable, and the slot's home
        // would change for nothing; the request just asks the next.
        let until = now + self.timing.down;
        let zone = usize::from(attempt.zone);
        let own = zone == self.zone;
        if !self.reach.note_silence(attempt.to, zone, own, until) {
            return self.resume(index, attempt, now);
        }
        self.skip(index, attempt, now)
    }

    /// Spends a token that is here: a granted one, or one of a slot held.
    fn spend_here(&mut self, index: usize, now: Timestamp) -> bool {
        self.end_handovers(now);
        if let Some(used_up) = self.shares[index].pocket.spend(now) {
            if let Some(grant) = used_up {
                self.settle_spent(index, &grant);
            }
            return true;
        }
        let share = &mut self.shares[index];
        if share.held.is_empty() || !self.freshness.may_spend(now, self.timing.fresh) {
            return false;
        }
        for held in &mut share.held {
            held.advance(now);
            if held.spend(now) {
                return true;
            }
        }
        false
    }

    /// Goes on without the daemon that was asked.
    fn skip(&mut self, index: usize, mut attempt: Attempt, now: Timestamp) -> Decision {
        self.note_down(attempt.to, now);
        // The next daemon has moved up into the place of the one that is down.
        attempt.step = attempt.step.saturating_sub(1);
        self.resume(index, attempt, now)
    }

    fn resume(&mut self, index: usize, attempt: Attempt, now: Timestamp) -> Decision {
        if self.spend_here(index, now) {
            return Decision::Admitted;
        }
        self.proceed(index, attempt, now)
    }

    /// Picks the next daemon to ask: first the home of each of the customer's
    /// slots, then by turns the holders in another zone, who may have tokens on
    /// their way to nobody, and the homes again, which may have gathered them.
    fn proceed(&mut self, index: usize, mut attempt: Attempt, now: Timestamp) -> Decision {
        let slots = self.shares[index].part.slots.max(1);
        let steps = slots.saturating_mul(self.zones as u8 * 2);
        let in_time = now.since(attempt.started) < MAX_ASKING;
        while attempt.step < steps && attempt.asks < MAX_ASKS && in_time {
            let place = (attempt.first + attempt.step % slots) % slots;
            let round = usize::from(attempt.step / slots);
            attempt.step += 1;
            let known_empty = self.shares[index].empty_until[usize::from(place)] > now;
            if known_empty || attempt.done & (1 << place) != 0 {
                continue;
            }
            let Some((to, zone, home)) = self.holder_for(attempt.customer, place, round, now)
            else {
                continue;
            };
            if to != self.me {
                attempt.place = place;
                attempt.zone = zone;
                return self.borrow_from(index, to, home, attempt, now);
            }
            if home && self.gather_for(index, place, now) {
                attempt.done |= 1 << place;
            }
            if home && self.spend_here(index, now) {
                return Decision::Admitted;
            }
        }
        Decision::Refused {
            retry_after: self.retry_after(index, now),
        }
    }

    fn borrow_from(
        &mut self,
        index: usize,
        to: DaemonId,
        home: bool,
        mut attempt: Attempt,
        now: Timestamp,
    ) -> Decision {
        let slot = roster_slot(attempt.customer, attempt.place);
        let share = &mut self.shares[index];
        let demand = share.demand.rate_at(now);
        let ahead = if demand >= AHEAD_DEMAND { demand } else { 0.0 };
        let spent = match share.spent {
            Some((holder, from, grant)) if holder == to && from == slot => Some(grant),
            _ => None,
        };
        if spent.is_some() {
            share.spent = None;
        }
        self.reach
            .probe(to, usize::from(attempt.zone), now + self.timing.answer);
        attempt.to = to;
        attempt.asked = now;
        attempt.asks += 1;
        let ask = TokenAsk {
            customer: attempt.customer,
            slot,
            want: 1 + ahead as u32,
            home,
            spent,
        };
        Decision::Borrow { to, ask, attempt }
    }

    /// The holder to turn to in a round, and whether it is the slot's home: the
    /// first one that is known and not down.
    fn holder_for(
        &self,
        customer: CustomerKey,
        place: u8,
        round: usize,
        now: Timestamp,
    ) -> Option<(DaemonId, u8, bool)> {
        let slot = roster_slot(customer, place);
        let order = zone_order(customer, slot, self.zones as u8);
        let order = &order[..self.zones];
        let holder = |zone: &u8| {
            let daemon = self.holders[usize::from(*zone)][usize::from(slot)]?;
            let up = self.reach.is_up(daemon, usize::from(*zone), now);
            up.then_some((daemon, *zone))
        };
        let mut reachable = order.iter().filter_map(holder);
        let rank = if round.is_multiple_of(2) {
            0
        } else {
            round.div_ceil(2)
        };
        let (daemon, zone) = reachable.nth(rank)?;
        Some((daemon, zone, rank == 0))
    }

    fn retry_after(&self, index: usize, now: Timestamp) -> Duration {
        let share = &self.shares[index];
        let slots = usize::from(share.part.slots.max(1));
        let waits = share.empty_until[..slots]
            .iter()
            .filter(|until| **until > now);
        let first = waits.min().map(|until| until.since(now));
        let here = share.held.iter().map(|held| held.retry_after(now)).min();
        first.or(here).unwrap_or(DEFAULT_RETRY)
    }

    fn settle_spent(&mut self, index: usize, grant: &PocketGrant) {
        let share = &mut self.shares[index];
        if !grant.settle {
            share.spent = Some((grant.holder, grant.slot, grant.grant));
            return;
        }
        let settlement = TokenSettlement {
            customer: share.customer,
            slot: grant.slot,
            grant: grant.grant,
            unspent: 0,
        };
        self.outgoing.settle(grant.holder, settlement);
    }

    /// Returns granted tokens that this daemon won't need before they lapse.
    pub(super) fn return_grants(&mut self, index: usize, now: Timestamp) {
        let share = &mut self.shares[index];
        if share.pocket.is_empty() {
            return;
        }
        while let Some(grant) = share.pocket.remove_lapsing(now + RETURN_AHEAD) {
            let settlement = TokenSettlement {
                customer: share.customer,
                slot: grant.slot,
                grant: grant.grant,
                unspent: grant.count,
            };
            self.outgoing.settle(grant.holder, settlement);
        }
    }
}
