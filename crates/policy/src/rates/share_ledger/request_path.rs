//! Admits or refuses one caller's request.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

use super::{
    super::{
        CustomerKey, TokenAnswer, TokenRequest, TokenSettlement,
        rate_parts::{roster_slot, zone_order},
        token_grants::ReceivedGrant,
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
    RequestToken {
        /// The daemon to send the token request to.
        to: DaemonId,
        /// The token request.
        request: TokenRequest,
        /// The state of the attempt, which the caller passes back with the answer.
        attempt: TokenAttempt,
    },
    /// The request exceeds its customer's rate.
    Refused {
        /// How long the caller should wait before it retries.
        retry_after: Duration,
    },
}

/// The state of an attempt to get a token for one caller's request by token requests to
/// one daemon after another.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenAttempt {
    customer: CustomerKey,
    started: Timestamp,
    sent_at: Timestamp,
    to: DaemonId,
    zone: u8,
    slot_index: u8,
    first_slot_index: u8,
    step: u8,
    requests_sent: u8,
    /// A bit for each of the customer's slots whose home has no token left and has
    /// borrowed all that other zones can lend.
    exhausted: u8,
}

impl ShareLedger {
    /// Decides whether a caller's request that just arrived is admitted.
    pub fn admit(&mut self, customer: CustomerKey, now: Timestamp) -> Decision {
        let Some(index) = self.find(customer) else {
            let retry_after = DEFAULT_RETRY_AFTER;
            return Decision::Refused { retry_after };
        };
        let share = &mut self.shares[index];
        share.demand.note(1, now);
        if self.spend_local(index, now) {
            return Decision::Admitted;
        }
        let share = &mut self.shares[index];
        share.cursor = share.cursor.wrapping_add(1);
        let attempt = TokenAttempt {
            customer,
            started: now,
            sent_at: now,
            to: self.own_id,
            zone: self.zone as u8,
            slot_index: 0,
            first_slot_index: share.cursor % share.parts.slots.max(1),
            step: 0,
            requests_sent: 0,
            exhausted: 0,
        };
        self.try_holders(index, attempt, now)
    }

    /// Continues the attempt to get a token after an answer.
    ///
    /// Tokens that arrive after their expiry are dropped.
    pub fn on_answer(
        &mut self,
        mut attempt: TokenAttempt,
        answer: TokenAnswer,
        now: Timestamp,
    ) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY_AFTER;
            return Decision::Refused { retry_after };
        };
        let slot = roster_slot(attempt.customer, attempt.slot_index);
        self.reachability
            .note_answer(attempt.to, usize::from(attempt.zone));
        match answer {
            TokenAnswer::Granted {
                grant,
                count,
                settle,
            } => {
                let until = attempt.sent_at + self.timing.grant_lifetime(count);
                if until > now && count > 0 {
                    self.shares[index].granted.add(ReceivedGrant {
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
                    attempt.exhausted |= 1 << attempt.slot_index;
                    let until = now + retry_after;
                    self.shares[index].empty_until[usize::from(attempt.slot_index)] = until;
                }
            }
            // The slot is being handed over to another holder. The daemon's other slots
            // are still usable; counting it as down would exclude all of them.
            TokenAnswer::NotHolder => {}
            TokenAnswer::Stale => return self.skip_daemon(index, attempt, now),
        }
        self.resume(index, attempt, now)
    }

    /// Continues the attempt after a token request that couldn't be sent.
    pub fn on_unreachable(&mut self, attempt: TokenAttempt, now: Timestamp) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY_AFTER;
            return Decision::Refused { retry_after };
        };
        self.skip_daemon(index, attempt, now)
    }

    /// Continues the attempt after a token request that timed out.
    pub fn on_timeout(&mut self, attempt: TokenAttempt, now: Timestamp) -> Decision {
        let Some(index) = self.find(attempt.customer) else {
            let retry_after = DEFAULT_RETRY_AFTER;
            return Decision::Refused { retry_after };
        };
        // One lost answer doesn't mean that a daemon is unreachable, and counting it as
        // down would change the slot's home needlessly; the attempt just continues with
        // the next daemon.
        let until = now + self.timing.down_duration;
        let zone = usize::from(attempt.zone);
        let own = zone == self.zone;
        if !self.reachability.note_timeout(attempt.to, zone, own, until) {
            return self.resume(index, attempt, now);
        }
        self.skip_daemon(index, attempt, now)
    }

    /// Spends a token of this daemon, from a received grant or from a slot that it holds.
    fn spend_local(&mut self, index: usize, now: Timestamp) -> bool {
        self.end_due_handovers(now);
        if let Some(used_up) = self.shares[index].granted.spend(now) {
            if let Some(grant) = used_up {
                self.report_spent(index, &grant);
            }
            return true;
        }
        let share = &mut self.shares[index];
        if share.held.is_empty() || !self.freshness.may_spend(now, self.timing.max_view_age) {
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
    fn skip_daemon(&mut self, index: usize, mut attempt: TokenAttempt, now: Timestamp) -> Decision {
        self.note_down(attempt.to, now);
        // The next daemon now has the position of the one that is down.
        attempt.step = attempt.step.saturating_sub(1);
        self.resume(index, attempt, now)
    }

    fn resume(&mut self, index: usize, attempt: TokenAttempt, now: Timestamp) -> Decision {
        if self.spend_local(index, now) {
            return Decision::Admitted;
        }
        self.try_holders(index, attempt, now)
    }

    /// Selects the next daemon to send a token request to: first the home of each of the
    /// customer's slots, then alternately the holders in another zone, which may have
    /// tokens that no home has borrowed, and the homes again, which may have borrowed them
    /// meanwhile.
    fn try_holders(&mut self, index: usize, mut attempt: TokenAttempt, now: Timestamp) -> Decision {
        let slots = self.shares[index].parts.slots.max(1);
        let steps = slots.saturating_mul(self.zones as u8 * 2);
        let in_time = now.since(attempt.started) < MAX_SEARCH_TIME;
        while attempt.step < steps && attempt.requests_sent < MAX_TOKEN_REQUESTS && in_time {
            let slot_index = (attempt.first_slot_index + attempt.step % slots) % slots;
            let round = usize::from(attempt.step / slots);
            attempt.step += 1;
            let known_empty = self.shares[index].empty_until[usize::from(slot_index)] > now;
            if known_empty || attempt.exhausted & (1 << slot_index) != 0 {
                continue;
            }
            let Some((to, zone, home)) = self.holder_for(attempt.customer, slot_index, round, now)
            else {
                continue;
            };
            if to != self.own_id {
                attempt.slot_index = slot_index;
                attempt.zone = zone;
                return self.request_tokens_from(index, to, home, attempt, now);
            }
            if home && self.borrow_for(index, slot_index, now) {
                attempt.exhausted |= 1 << slot_index;
            }
            if home && self.spend_local(index, now) {
                return Decision::Admitted;
            }
        }
        Decision::Refused {
            retry_after: self.retry_after(index, now),
        }
    }

    fn request_tokens_from(
        &mut self,
        index: usize,
        to: DaemonId,
        home: bool,
        mut attempt: TokenAttempt,
        now: Timestamp,
    ) -> Decision {
        let slot = roster_slot(attempt.customer, attempt.slot_index);
        let share = &mut self.shares[index];
        let demand = share.demand.rate_at(now);
        let prefetch = if demand >= MIN_PREFETCH_DEMAND {
            demand
        } else {
            0.0
        };
        let spent = match share.spent_grant {
            Some((holder, from, grant)) if holder == to && from == slot => Some(grant),
            _ => None,
        };
        if spent.is_some() {
            share.spent_grant = None;
        }
        self.reachability.start_probe(
            to,
            usize::from(attempt.zone),
            now + self.timing.request_timeout,
        );
        attempt.to = to;
        attempt.sent_at = now;
        attempt.requests_sent += 1;
        let request = TokenRequest {
            customer: attempt.customer,
            slot,
            want: 1 + prefetch as u32,
            home,
            spent,
        };
        Decision::RequestToken {
            to,
            request,
            attempt,
        }
    }

    /// Returns the holder to send a token request to in a round, its zone, and whether it
    /// is the slot's home: the first holder in zone order that is known and not down.
    fn holder_for(
        &self,
        customer: CustomerKey,
        slot_index: u8,
        round: usize,
        now: Timestamp,
    ) -> Option<(DaemonId, u8, bool)> {
        let slot = roster_slot(customer, slot_index);
        let order = zone_order(customer, slot, self.zones as u8);
        let order = &order[..self.zones];
        let holder = |zone: &u8| {
            let daemon = self.holders[usize::from(*zone)][usize::from(slot)]?;
            let up = self.reachability.is_up(daemon, usize::from(*zone), now);
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
        let slots = usize::from(share.parts.slots.max(1));
        let waits = share.empty_until[..slots]
            .iter()
            .filter(|until| **until > now);
        let shortest_wait = waits.min().map(|until| until.since(now));
        let local_wait = share.held.iter().map(|held| held.retry_after(now)).min();
        shortest_wait.or(local_wait).unwrap_or(DEFAULT_RETRY_AFTER)
    }

    fn report_spent(&mut self, index: usize, grant: &ReceivedGrant) {
        let share = &mut self.shares[index];
        if !grant.settle {
            share.spent_grant = Some((grant.holder, grant.slot, grant.grant));
            return;
        }
        let settlement = TokenSettlement {
            customer: share.customer,
            slot: grant.slot,
            grant: grant.grant,
            unspent: 0,
        };
        self.outgoing.settle_grant(grant.holder, settlement);
    }

    /// Returns to their holders the granted tokens that are about to expire.
    pub(super) fn return_expiring_grants(&mut self, index: usize, now: Timestamp) {
        let share = &mut self.shares[index];
        if share.granted.is_empty() {
            return;
        }
        while let Some(grant) = share.granted.remove_expiring(now + RETURN_LEAD_TIME) {
            let settlement = TokenSettlement {
                customer: share.customer,
                slot: grant.slot,
                grant: grant.grant,
                unspent: grant.count,
            };
            self.outgoing.settle_grant(grant.holder, settlement);
        }
    }
}
