//! Admits or refuses one caller's request.

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

/// The maximum number of token requests sent for one caller's request before it is refused.
const MAX_TOKEN_REQUESTS: u8 = 20;

/// How long token requests are sent for one caller's request before it is refused.
const MAX_SEARCH_TIME: Duration = Duration::from_secs(1);

/// The minimum demand, in requests per second, at which tokens are requested in advance.
const MIN_PREFETCH_DEMAND: f64 = 1.0;

/// The `retry_after` of a refused request if no holder provided one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How long before their expiry grants are returned.
const RETURN_LEAD_TIME: Duration = Duration::from_millis(300);

/// The decision on a caller's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The request may run.
    Admitted,
    /// A token has to be requested from another daemon first.
    Borrow {
        /// The daemon to send the token request to.
        to: DaemonId,
        /// The token request.
        ask: TokenAsk,
        /// The state of the search, which the caller passes back with the answer.
        attempt: Attempt,
    },
    /// The request exceeds its customer's rate.
    Refused {
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// The state of a search for a token, in which one daemon after another gets a token
/// request for the same caller's request.
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
    /// A bit for each of the customer's slots whose home has no token left and has
    /// borrowed all that other zones can lend.
    done: u8,
}

impl ShareLedger {
    /// Decides whether a caller's request that just arrived is admitted.
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

    /// Continues the search for a token after an answer.
    ///
    /// Tokens that arrive after their expiry are dropped.
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
            // The slot is being handed over to another holder. The daemon's other slots
            // are still usable; counting it as down would exclude all of them.
            TokenAnswer::NotHolder => {}
            TokenAnswer::Stale => return self.skip(index, attempt, now),
        }
        self.resume(index, attempt, now)
    }

    /// Continues the search after a token request that couldn't be sent.
    pub fn unreachable(&mut self, attempt: Attempt, now: Timestamp) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY;
            return Decision::Refused { retry_after };
        };
        self.skip(index, attempt, now)
    }

    /// Continues the search after a token request that timed out.
    pub fn fail(&mut self, attempt: Attempt, now: Timestamp) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY;
            return Decision::Refused { retry_after };
        };
        // One lost answer doesn't mean that a daemon is unreachable, and counting it as
        // down would change the slot's home needlessly; the search just continues with
        // the next daemon.
        let until = now + self.timing.down;
        let zone = usize::from(attempt.zone);
        let own = zone == self.zone;
        if !self.reach.note_silence(attempt.to, zone, own, until) {
            return self.resume(index, attempt, now);
        }
        self.skip(index, attempt, now)
    }

    /// Spends a token of this daemon, from a received grant or from a slot that it holds.
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

    /// Marks the daemon of the last token request as down and continues without it.
    fn skip(&mut self, index: usize, mut attempt: Attempt, now: Timestamp) -> Decision {
        self.note_down(attempt.to, now);
        // The next daemon now has the position of the one that is down.
        attempt.step = attempt.step.saturating_sub(1);
        self.resume(index, attempt, now)
    }

    fn resume(&mut self, index: usize, attempt: Attempt, now: Timestamp) -> Decision {
        if self.spend_here(index, now) {
            return Decision::Admitted;
        }
        self.proceed(index, attempt, now)
    }

    /// Selects the next daemon to send a token request to: first the home of each of the
    /// customer's slots, then alternately the holders in another zone, which may have
    /// tokens that no home has borrowed, and the homes again, which may have borrowed them
    /// meanwhile.
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

    /// Returns the holder to send a token request to in a round, its zone, and whether it
    /// is the slot's home: the first holder in zone order that is known and not down.
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

    /// Returns granted tokens that are about to expire to their holders.
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
