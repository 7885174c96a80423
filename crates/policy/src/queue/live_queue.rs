//! The queue of live requests that wait for a server.

use std::{mem::size_of, time::Duration};

use super::{
    rank::{QueueRank, RankCounts},
    share::{CallList, Share},
};
use crate::{CustomerId, Timestamp, Urgency};

/// The most calls that wait.
const MAX_CALLS: usize = 4096;

/// The weight of one sample in the mean time between starts.
const SAMPLE_WEIGHT: f64 = 0.05;
/// The number of samples that a plain mean of the same variance has.
const MEAN_SAMPLES: f64 = 2.0 / SAMPLE_WEIGHT - 1.0;

/// The shortest delay after which a rejected caller is asked to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// A call that waits for a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QueuedCall<R = Urgency> {
    /// The daemon's number for the call.
    pub number: u64,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// Its rank: how urgent it is.
    pub urgency: R,
    /// The tokens that it is expected to cost, prompt and answer together.
    pub tokens: f64,
    /// The time by which it has to have started.
    pub deadline: Timestamp,
}

/// Why a call isn't queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueCause {
    /// The queue is full, and no other customer holds more of it, relative to its
    /// weight.
    Full,
    /// It would wait past its deadline.
    TooLong,
}

/// The final answer to a call that isn't queued. The call hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Why it isn't queued.
    pub cause: QueueCause,
    /// The delay after which its caller may retry.
    pub retry_after: Duration,
}

/// Live calls that wait for a server of one group.
///
/// Each call goes through the queue, also when a server is free: [`push`](Self::push)
/// it, then [`pop`](Self::pop) as long as there is capacity. Among equally urgent
/// calls, the customer that was served the fewest tokens, relative to its weight, goes
/// first. In order of arrival, one customer's burst would delay all other customers.
///
/// The ids of customers must keep their meaning for as long as the queue lives.
#[derive(Clone, Debug)]
pub struct LiveQueue<R = Urgency> {
    /// By customer id.
    shares: Vec<Share<R>>,
    /// By customer id.
    calls: Vec<CallList<R>>,
    /// The customers with waiting calls.
    waiting: Vec<CustomerId>,
    /// The number of waiting calls by rank.
    counts: RankCounts<R>,
    /// The weighted served tokens of the customer that was served last.
    last_served: f64,
    starts_since_lower: u32,
    start_interval_secs: f64,
    /// How many starts the mean interval is based on.
    starts: u32,
    last_start_at: Option<Timestamp>,
}

impl<R> Default for LiveQueue<R> {
    fn default() -> Self {
        LiveQueue {
            shares: Vec::new(),
            calls: Vec::new(),
            waiting: Vec::new(),
            counts: RankCounts::default(),
            last_served: 0.0,
            starts_since_lower: 0,
            start_interval_secs: 0.0,
            starts: 0,
            last_start_at: None,
        }
    }
}

impl<R: QueueRank> LiveQueue<R> {
    /// Returns the number of waiting calls.
    pub fn len(&self) -> usize {
        self.counts.total() as usize
    }

    /// Returns whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Sets a customer's weight, its share of scarce capacity against other customers.
    pub fn set_weight(&mut self, customer: CustomerId, weight: f64) {
        self.share_mut(customer).weight = weight.max(0.01);
    }

    /// Queues a call. If the queue was full, the call that was evicted for it is
    /// returned and must be rejected.
    ///
    /// # Errors
    ///
    /// A call that can't start in time is rejected at once.
    pub fn push(
        &mut self,
        mut call: QueuedCall<R>,
        now: Timestamp,
    ) -> Result<Option<QueuedCall<R>>, QueueRefusal> {
        let max_wait = call.urgency.max_wait();
        call.deadline = call.deadline.min(now + max_wait);
        if now + self.max_wait(now) > call.deadline {
            let wait = self.expected_wait(&call, now);
            if now + wait > call.deadline {
                return Err(refusal(QueueCause::TooLong, wait));
            }
        }
        let mut evicted = None;
        if self.len() >= MAX_CALLS {
            evicted = self.evict_for(call.customer);
            if evicted.is_none() {
                let wait = self.expected_wait(&call, now);
                return Err(refusal(QueueCause::Full, wait));
            }
        }
        self.insert(call);
        Ok(evicted)
    }

    /// Takes out the call that goes next. The caller must be able to start it.
    pub fn pop(&mut self, now: Timestamp) -> Option<QueuedCall<R>> {
        let urgency = self.next_urgency()?;
        let customer = self.least_served(urgency)?;
        let call = self.calls[customer.index()].pop(urgency)?;
        let share = &mut self.shares[customer.index()];
        self.last_served = self.last_served.max(share.served);
        share.charge(call.tokens);
        self.record_start(now);
        self.record_removal(&call);
        Some(call)
    }

    /// Charges a customer for the tokens that a call cost beyond what was expected; a
    /// negative number is a refund.
    pub fn charge(&mut self, customer: CustomerId, tokens: f64) {
        self.share_mut(customer).charge(tokens);
    }

    /// Takes out a call whose caller disconnected.
    pub fn remove(&mut self, customer: CustomerId, number: u64) -> Option<QueuedCall<R>> {
        let calls = self.calls.get_mut(customer.index())?;
        let call = calls.remove(number)?;
        self.record_removal(&call);
        Some(call)
    }

    /// Takes out the calls whose deadline has passed; they must be rejected.
    pub fn take_expired(&mut self, now: Timestamp) -> Vec<QueuedCall<R>> {
        let calls = self.waiting.iter().map(|it| &self.calls[it.index()]);
        let calls = calls.flat_map(CallList::iter);
        let expired = calls.filter(|it| it.deadline <= now);
        let expired: Vec<QueuedCall<R>> = expired.copied().collect();
        for call in &expired {
            self.remove(call.customer, call.number);
        }
        expired
    }

    /// Takes out the calls that were overtaken so often that they can't start before
    /// their deadline any more; they must be rejected.
    ///
    /// A call is queued if its turn would come in time, but more urgent calls and
    /// customers that were served less may come after it. If it stayed, it would wait
    /// until its deadline only to be rejected then. The last call of each customer has
    /// the longest wait, so the search ends at the first one that can still start.
    pub fn take_infeasible(&mut self, now: Timestamp) -> Vec<QueuedCall<R>> {
        let mut infeasible = Vec::new();
        for customer in self.waiting.clone() {
            let ranks: Vec<R> = self.shares[customer.index()].counts.ranks().collect();
            for urgency in ranks {
                while let Some(call) = self.infeasible_last(customer, urgency, now) {
                    self.remove(customer, call.number);
                    infeasible.push(call);
                }
            }
        }
        infeasible
    }

    fn infeasible_last(
        &self,
        customer: CustomerId,
        urgency: R,
        now: Timestamp,
    ) -> Option<QueuedCall<R>> {
        let call = *self.calls[customer.index()].last_with(urgency)?;
        let ahead_of_it = self.shares[customer.index()]
            .count(urgency)
            .saturating_sub(1);
        let ahead = self.calls_ahead(f64::from(ahead_of_it), &call);
        let early = self.start_deviation(ahead).mul_f64(R::FORECAST_DEVIATIONS);
        let wait = self.wait_for_starts(ahead, now).saturating_sub(early);
        (now + wait > call.deadline).then_some(call)
    }

    /// Returns how long the call would wait if it came now.
    ///
    /// Ahead of it are its customer's earlier calls and, of each other customer, as
    /// many calls as that customer may start before it was served more than this one.
    pub fn expected_wait(&self, call: &QueuedCall<R>, now: Timestamp) -> Duration {
        if self.is_empty() {
            return Duration::ZERO;
        }
        let own = self.shares.get(call.customer.index());
        let queued = own.map_or(0, |it| it.count(call.urgency));
        self.wait_for_starts(self.calls_ahead(f64::from(queued), call), now)
    }

    /// Returns how many calls start before a call that has `queued` calls of its own customer
    /// ahead of it.
    fn calls_ahead(&self, queued: f64, call: &QueuedCall<R>) -> f64 {
        let own = self.shares.get(call.customer.index());
        let (own_served, own_weight) = own.map_or((0.0, 1.0), |it| (it.served, it.weight));
        let served = own_served.max(self.last_served);
        let tokens = call.tokens.max(1.0);
        let served_at_start = served + queued * tokens / own_weight;
        let mut ahead = queued;
        for &customer in &self.waiting {
            let share = &self.shares[customer.index()];
            if customer != call.customer {
                let starts =
                    ((served_at_start - share.served) * share.weight / tokens + 1.0).max(0.0);
                ahead += starts.min(f64::from(share.count(call.urgency)));
            }
        }
        let more_urgent = f64::from(self.counts.above(call.urgency));
        let max_ahead = R::LOWER_RANK_INTERVAL.map_or(f64::INFINITY, f64::from) * (ahead + 1.0);
        (ahead + more_urgent).min(max_ahead)
    }

    fn wait_for_starts(&self, starts: f64, now: Timestamp) -> Duration {
        self.since_last_start(now) + Duration::from_secs_f64(starts * self.start_interval_secs)
    }

    /// Returns the standard deviation of the time that so many starts take, for starts that
    /// don't depend on each other and a mean interval that is known from a few of them.
    fn start_deviation(&self, starts: f64) -> Duration {
        let samples = f64::from(self.starts).clamp(1.0, MEAN_SAMPLES);
        let intervals = (starts + starts * starts / samples).sqrt();
        Duration::from_secs_f64(intervals * self.start_interval_secs)
    }

    /// Returns the bytes of memory that the queue occupies.
    pub fn memory(&self) -> usize {
        let shares = self.shares.capacity() * size_of::<Share<R>>();
        let counts: usize = self.shares.iter().map(|it| it.counts.memory()).sum();
        let calls: usize = self.calls.iter().map(CallList::memory).sum();
        size_of::<Self>()
            + shares
            + counts
            + calls
            + self.waiting.capacity() * size_of::<CustomerId>()
    }

    fn insert(&mut self, call: QueuedCall<R>) {
        let last_served = self.last_served;
        let share = self.share_mut(call.customer);
        let was_idle = share.len() == 0;
        if was_idle {
            // A customer that was idle gets no credit for the time in which it had no
            // calls.
            share.served = share.served.max(last_served);
        }
        share.counts.add(call.urgency);
        if was_idle {
            self.waiting.push(call.customer);
        }
        self.counts.add(call.urgency);
        self.calls[call.customer.index()].push(call);
    }

    /// Returns an upper bound for the wait of any call, without looking at the
    /// customers.
    fn max_wait(&self, now: Timestamp) -> Duration {
        let secs = self.len() as f64 * self.start_interval_secs;
        self.since_last_start(now) + Duration::from_secs_f64(secs)
    }

    fn since_last_start(&self, now: Timestamp) -> Duration {
        self.last_start_at
            .map_or(Duration::ZERO, |at| now.since(at))
    }

    fn next_urgency(&mut self) -> Option<R> {
        let mut waiting = self.counts.ranks();
        let first = waiting.next()?;
        let (Some(lower), Some(interval)) = (waiting.next(), R::LOWER_RANK_INTERVAL) else {
            self.starts_since_lower = 0;
            return Some(first);
        };
        self.starts_since_lower += 1;
        if self.starts_since_lower < interval {
            return Some(first);
        }
        self.starts_since_lower = 0;
        Some(lower)
    }

    fn least_served(&self, urgency: R) -> Option<CustomerId> {
        let mut least = None;
        let mut least_served = f64::INFINITY;
        for &customer in &self.waiting {
            let share = &self.shares[customer.index()];
            if share.served < least_served && share.count(urgency) > 0 {
                least_served = share.served;
                least = Some(customer);
            }
        }
        least
    }

    /// Evicts the newest call of the customer with the largest share of the queue,
    /// relative to its weight, unless that is `customer` itself.
    fn evict_for(&mut self, customer: CustomerId) -> Option<QueuedCall<R>> {
        let own = self.share_mut(customer).queue_share(1);
        let held = |it: &CustomerId| self.shares[it.index()].queue_share(0);
        let customers = self.waiting.iter().copied();
        let largest_holder = customers.max_by(|left, right| held(left).total_cmp(&held(right)))?;
        if held(&largest_holder) <= own {
            return None;
        }
        let last = *self.calls[largest_holder.index()].last()?;
        self.remove(last.customer, last.number)
    }

    /// Updates the mean time between starts, from starts with other calls waiting.
    fn record_start(&mut self, now: Timestamp) {
        if let Some(at) = self.last_start_at {
            let secs = now.since(at).as_secs_f64();
            // The first samples form a plain average: a mean that grows slowly from
            // zero would admit calls that can't start in time.
            self.starts = self.starts.saturating_add(1);
            let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.starts));
            self.start_interval_secs += (secs - self.start_interval_secs) * weight;
        }
        self.last_start_at = Some(now);
    }

    fn record_removal(&mut self, call: &QueuedCall<R>) {
        self.counts.subtract(call.urgency);
        let share = &mut self.shares[call.customer.index()];
        share.counts.subtract(call.urgency);
        if share.len() == 0 {
            let mut waiting = self.waiting.iter();
            if let Some(at) = waiting.position(|&it| it == call.customer) {
                self.waiting.swap_remove(at);
            }
        }
        if self.is_empty() {
            // The next start waits for a caller, not for a server.
            self.last_start_at = None;
        }
    }

    fn share_mut(&mut self, customer: CustomerId) -> &mut Share<R> {
        let len = customer.index() + 1;
        if self.shares.len() < len {
            self.shares.resize_with(len, Share::default);
            self.calls.resize_with(len, CallList::default);
        }
        &mut self.shares[customer.index()]
    }
}

fn refusal(cause: QueueCause, wait: Duration) -> QueueRefusal {
    QueueRefusal {
        cause,
        retry_after: wait.max(MIN_RETRY_AFTER),
    }
}
