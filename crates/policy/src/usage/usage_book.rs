//! The usage of all customers, as one daemon knows it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::UsageBucket;
use crate::{Timestamp, hash::name_key};

/// How often daemons speak at least, unless [`UsageBook::set_interval`] says
/// otherwise.
const USUAL_INTERVAL: Duration = Duration::from_millis(250);
/// After so many intervals without a word a daemon counts as silent: that is one
/// lost datagram and some delay.
const SILENT_INTERVALS: f64 = 2.4;
/// From the first of these many intervals without a word on, tokens are left to a
/// daemon, and from the second on all that it may spend. Both sides of a cut would
/// otherwise spend the whole bucket before they notice: 690 requests in a window
/// for 614 in `tests/usage.rs`.
const DOUBTED_INTERVALS: (f64, f64) = (0.35, 1.2);
/// How much of its burst a customer has at a daemon that knows nothing of what
/// was spent before it started. Should all daemons restart at once, this is all
/// that can be spent twice; more of it would be more of an overshoot, less would
/// refuse requests that are owed.
const FRESH_PART: f64 = 0.3;

/// Of a customer's burst, the part that a daemon lets in before it tells the others
/// at once. Within the time in which changes usually gather a customer could have
/// its whole burst at each daemon.
const UNTOLD_PART: f64 = 0.1;
/// The same for customers with hardly any burst, in requests.
const LEAST_UNTOLD: f64 = 2.0;

/// The longest time after which a refused caller is told to come back.
const LONGEST_PROMISE: Duration = Duration::from_secs(3);
/// A daemon's part of a customer's tokens counts as no less than this when callers
/// are told to come back.
const LEAST_PART: f64 = 0.05;
/// Over so long a daemon's part in a customer's requests is measured.
const PART_SPAN: Duration = Duration::from_secs(5);

/// In so long steps daemons say when they let requests in.
const TIME_TICK: Duration = Duration::from_millis(10);

/// The number by which daemons name each other: the hash of their name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct PeerId(pub u64);

impl PeerId {
    /// The id of the daemon with this name.
    pub fn of_name(name: &str) -> Self {
        PeerId(name_key(name))
    }
}

/// A customer's limit as the settings in force say.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CustomerLimit {
    /// The hash of the customer's name.
    pub customer: u64,
    /// Requests a second.
    pub rate: f64,
    /// Requests at once beyond that.
    pub burst: f64,
}

/// What one daemon says of one customer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageCount {
    /// The hash of the customer's name.
    pub customer: u64,
    /// Requests let in since the daemon started.
    pub admitted: u32,
    /// The tokens in its copy of the bucket.
    pub level: f32,
    /// When these requests were let in; nothing where a daemon doesn't say.
    #[serde(skip)]
    pub times: Option<SpendingTimes>,
}

/// When a daemon let requests in, in steps of 10 ms of a clock of its own, modulo 2^16.
///
/// As totals they outlive lost messages: from two of them follows how long before the
/// later one the requests in between were let in, on average.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendingTimes {
    /// The sum of the times of all requests that were let in.
    pub sum: u16,
    /// The time at which the daemon says so.
    pub told: u16,
}

impl SpendingTimes {
    /// How long ago `requests` were let in on average, if these are all since the earlier
    /// word.
    fn mean_age(self, earlier: SpendingTimes, requests: u32) -> Duration {
        let times = self.sum.wrapping_sub(earlier.sum);
        let ages = self.told.wrapping_mul(requests as u16).wrapping_sub(times);
        TIME_TICK * u32::from(ages) / requests.max(1)
    }
}

fn clock_ticks(now: Timestamp) -> u16 {
    (u128::from(now.as_micros()) / TIME_TICK.as_micros()) as u16
}

/// The usage of all customers, as one daemon knows it.
#[derive(Clone, Debug, Default)]
pub struct UsageBook {
    /// Sorted by the customer's hash.
    customers: Vec<CustomerUsage>,
    /// Sorted by id.
    peers: Vec<PeerUsage>,
    started_at: Timestamp,
    silent_after: Duration,
    doubted: (Duration, Duration),
}

#[derive(Clone, Debug)]
struct CustomerUsage {
    customer: u64,
    bucket: UsageBucket,
    own: u32,
    /// The sum of the times at which these were let in.
    own_times: u16,
    /// Of these the others were told.
    told: u32,
    own_lately: RecentCount,
    /// What all daemons let in of it lately. It is kept as one count, since adding
    /// up those of all daemons for each message takes a large fleet all of its time.
    all_lately: RecentCount,
    last_used: Timestamp,
    /// Until when refused callers were told to come back.
    promised_until: Timestamp,
}

#[derive(Clone, Debug)]
struct PeerUsage {
    id: PeerId,
    incarnation: u64,
    heard_at: Timestamp,
    is_silent: bool,
    /// Whether it was heard since this daemon started.
    was_heard: bool,
    /// Whether it said that it stops: it spends nothing once it is gone.
    is_leaving: bool,
    /// Sorted by the customer's hash.
    counts: Vec<PeerCount>,
}

#[derive(Clone, Copy, Debug)]
struct PeerCount {
    customer: u64,
    admitted: u32,
    times: Option<SpendingTimes>,
    lately: RecentCount,
}

/// What a word tells of a customer's requests.
#[derive(Clone, Copy, Debug)]
struct HeardSpending {
    /// Those let in since the word before.
    requests: u32,
    /// When they were let in, on average; now, where that isn't known.
    since: Timestamp,
}

impl PeerCount {
    fn note(&mut self, count: &UsageCount, now: Timestamp) -> HeardSpending {
        // Datagrams may overtake each other; an older one says nothing new.
        let requests = count.admitted.saturating_sub(self.admitted);
        let mut since = now;
        if requests > 0 {
            if let Some((later, earlier)) = count.times.zip(self.times) {
                since = now - later.mean_age(earlier, requests);
            }
            self.admitted = count.admitted;
            self.times = count.times;
        }
        self.lately.add(f64::from(requests), now);
        HeardSpending { requests, since }
    }
}

/// Requests of the last seconds, older ones fading.
#[derive(Clone, Copy, Debug, Default)]
struct RecentCount {
    count: f64,
    at: Timestamp,
}

impl RecentCount {
    fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64() / PART_SPAN.as_secs_f64();
        self.count * (-age).exp()
    }

    fn add(&mut self, requests: f64, now: Timestamp) {
        self.count = self.at(now) + requests;
        self.at = now;
    }
}

impl UsageBook {
    /// A book of a daemon that starts now.
    pub fn new(now: Timestamp) -> Self {
        UsageBook {
            started_at: now,
            silent_after: USUAL_INTERVAL.mul_f64(SILENT_INTERVALS),
            doubted: doubted_spans(USUAL_INTERVAL),
            ..UsageBook::default()
        }
    }

    /// Sets how often daemons speak at least. In a large fleet they speak less.
    pub fn set_interval(&mut self, interval: Duration) {
        self.silent_after = interval.mul_f64(SILENT_INTERVALS);
        self.doubted = doubted_spans(interval);
    }

    /// Takes over the limits of the settings in force.
    ///
    /// A customer that is new to a daemon which has run for a while has its
    /// whole burst; one that a daemon finds when it starts may have spent it.
    pub fn set_limits(&mut self, limits: &[CustomerLimit], now: Timestamp) {
        let is_fresh = self.customers.is_empty();
        let mut customers = Vec::with_capacity(limits.len());
        for limit in limits.iter().filter(|it| it.rate > 0.0) {
            let usage = match self.find(limit.customer) {
                Some(place) => {
                    let mut usage = self.customers[place].clone();
                    usage.bucket.set_limit(limit.rate, limit.burst);
                    usage
                }
                None => {
                    let part = if is_fresh { FRESH_PART } else { 1.0 };
                    let level = (limit.burst * part).max(1.0);
                    CustomerUsage {
                        customer: limit.customer,
                        bucket: UsageBucket::new(limit.rate, limit.burst.max(1.0), level, now),
                        own: 0,
                        own_times: 0,
                        told: 0,
                        own_lately: RecentCount::default(),
                        all_lately: RecentCount::default(),
                        last_used: now,
                        promised_until: now,
                    }
                }
            };
            customers.push(usage);
        }
        customers.sort_by_key(|it| it.customer);
        self.customers = customers;
    }

    /// Lets a request in, or tells when its customer may come back. Customers
    /// without a limit are always let in.
    pub fn admit(&mut self, customer: u64, now: Timestamp) -> Result<(), Duration> {
        let Some(place) = self.find(customer) else {
            return Ok(());
        };
        let reserved = self.reserved_part(customer, now);
        let doubted = self.doubted_part(customer, now);
        let usage = &mut self.customers[place];
        usage.bucket.fill_doubted(reserved, doubted, now);
        if let Err(wait) = usage.bucket.take(doubted) {
            return Err(self.promise(place, wait, now));
        }
        let usage = &mut self.customers[place];
        usage.own = usage.own.wrapping_add(1);
        usage.own_times = usage.own_times.wrapping_add(clock_ticks(now));
        usage.own_lately.add(1.0, now);
        usage.all_lately.add(1.0, now);
        usage.last_used = now;
        Ok(())
    }

    /// Whether the others have to hear at once of what was let in of a customer's
    /// requests.
    pub fn is_tell_urgent(&self, customer: u64) -> bool {
        let Some(place) = self.find(customer) else {
            return false;
        };
        let usage = &self.customers[place];
        let most = (usage.bucket.burst() * UNTOLD_PART).max(LEAST_UNTOLD);
        f64::from(usage.own.wrapping_sub(usage.told)) >= most
    }

    /// Tells when a customer may come back, if a request of it wouldn't be let in.
    pub fn check(&mut self, customer: u64, now: Timestamp) -> Result<(), Duration> {
        let Some(place) = self.find(customer) else {
            return Ok(());
        };
        let reserved = self.reserved_part(customer, now);
        let doubted = self.doubted_part(customer, now);
        let bucket = &mut self.customers[place].bucket;
        bucket.fill_doubted(reserved, doubted, now);
        let mut copy = *bucket;
        match copy.take(doubted) {
            Ok(()) => Ok(()),
            Err(wait) => Err(self.promise(place, wait, now)),
        }
    }

    /// Whether this daemon started a moment ago, and takes the others' word for what was
    /// spent before. Each word it hears lowers its tokens.
    fn is_young(&self, now: Timestamp) -> bool {
        now.since(self.started_at) < self.silent_after * 2
    }

    /// Whether a request of a customer would be refused just for what daemons may have
    /// let in since their last word. A word of theirs decides it
    /// ([`UsageBook::doubted_peers`]).
    pub fn is_refused_by_doubt(&self, customer: u64, now: Timestamp) -> bool {
        let Some(place) = self.find(customer).filter(|_| !self.is_young(now)) else {
            return false;
        };
        let reserved = self.reserved_part(customer, now);
        let doubted = self.doubted_part(customer, now);
        let is_let_in = |doubted: f64| {
            let mut bucket = self.customers[place].bucket;
            bucket.fill_doubted(reserved, doubted, now);
            bucket.take(doubted).is_ok()
        };
        !is_let_in(doubted) && is_let_in(0.0)
    }

    /// The daemons whose last word is so old that tokens are left to them.
    pub fn doubted_peers(&self, now: Timestamp) -> Vec<PeerId> {
        let doubted = self.peers.iter().filter(|it| self.is_doubted(it, now));
        doubted.map(|it| it.id).collect()
    }

    fn is_doubted(&self, peer: &PeerUsage, now: Timestamp) -> bool {
        !peer.is_spoken_for() && now.since(peer.heard_at) > self.doubted.0
    }

    /// When a refused caller may come back.
    ///
    /// The next token comes soon, but of the many callers that were refused within
    /// the same second only one can have it. Told the same moment, they would all
    /// be refused again. So each is told a moment of its own, as far apart as this
    /// daemon's part of the customer's tokens comes in.
    fn promise(&mut self, place: usize, wait: Duration, now: Timestamp) -> Duration {
        let own_part = self.own_part(place, now).max(LEAST_PART);
        let usage = &mut self.customers[place];
        let apart = Duration::from_secs_f64(1.0 / (usage.bucket.rate() * own_part).max(0.2));
        let first = now + wait;
        usage.promised_until = (usage.promised_until + apart).max(first);
        if usage.promised_until.since(now) > LONGEST_PROMISE {
            usage.promised_until = now + LONGEST_PROMISE;
        }
        usage.promised_until.since(now)
    }

    /// The tokens in this daemon's copy of a customer's bucket.
    pub fn level(&self, customer: u64) -> f64 {
        let place = self.find(customer);
        place.map_or(0.0, |it| self.customers[it].bucket.level())
    }

    /// Takes in what another daemon said. What it let in since it was last heard
    /// is charged here.
    pub fn hear(&mut self, id: PeerId, incarnation: u64, counts: &[UsageCount], now: Timestamp) {
        let place = match self.peers.binary_search_by_key(&id, |it| it.id) {
            Ok(place) => place,
            Err(place) => {
                let peer = PeerUsage {
                    id,
                    incarnation,
                    heard_at: now,
                    is_silent: false,
                    was_heard: false,
                    is_leaving: false,
                    counts: Vec::new(),
                };
                self.peers.insert(place, peer);
                place
            }
        };
        if self.peers[place].incarnation != incarnation {
            self.peers[place].incarnation = incarnation;
            self.peers[place].is_leaving = false;
            for count in &mut self.peers[place].counts {
                count.admitted = 0;
                count.times = None;
            }
        }
        self.peers[place].heard_at = now;
        self.peers[place].is_silent = false;
        self.peers[place].was_heard = true;
        let is_young = self.is_young(now);
        for count in counts {
            let spent = self.peers[place].note(count, now);
            let Some(at) = self.find(count.customer) else {
                continue;
            };
            let reserved = self.reserved_part(count.customer, now);
            let usage = &mut self.customers[at];
            usage.all_lately.add(f64::from(spent.requests), now);
            let bucket = &mut usage.bucket;
            bucket.fill(reserved, now);
            bucket.charge(f64::from(spent.requests), spent.since, now);
            // What was spent before this daemon started is in the others' levels.
            if is_young {
                bucket.lower_to(f64::from(count.level));
            }
        }
    }

    /// Notes that a daemon stops. What it lets in until then it still tells; after
    /// that nothing has to be set aside for it.
    pub fn leave(&mut self, id: PeerId) {
        if let Ok(place) = self.peers.binary_search_by_key(&id, |it| it.id) {
            self.peers[place].is_leaving = true;
        }
    }

    /// Notes the daemons that are expected to speak, and forgets all others:
    /// those that were lost for good must not hold back a part for ever.
    pub fn set_members(&mut self, members: &[PeerId], now: Timestamp) {
        self.peers.retain(|it| members.contains(&it.id));
        for &id in members {
            if let Err(place) = self.peers.binary_search_by_key(&id, |it| it.id) {
                let peer = PeerUsage {
                    id,
                    incarnation: 0,
                    heard_at: now,
                    is_silent: false,
                    was_heard: false,
                    is_leaving: false,
                    counts: Vec::new(),
                };
                self.peers.insert(place, peer);
            }
        }
    }

    /// Sets aside what daemons that fell silent may spend.
    pub fn tick(&mut self, now: Timestamp) {
        self.settle_charges();
        for place in 0..self.peers.len() {
            let peer = &self.peers[place];
            if peer.is_silent || peer.is_leaving || now.since(peer.heard_at) < self.silent_after {
                continue;
            }
            self.peers[place].is_silent = true;
            // A daemon that starts has little of the burst anyway; were it to set
            // aside for all that start after it, a fleet that restarts would refuse
            // customers who are well within their rates.
            if !self.peers[place].was_heard {
                continue;
            }
            for at in 0..self.customers.len() {
                let customer = self.customers[at].customer;
                let part = self.part_of(place, customer, now);
                self.customers[at].bucket.drop_withheld();
                self.customers[at].bucket.set_aside(part);
            }
        }
    }

    /// Settles late charges of the time of which all daemons have spoken.
    fn settle_charges(&mut self) {
        let heard = self.peers.iter().filter(|it| !it.is_spoken_for());
        let Some(heard) = heard.map(|it| it.heard_at).min() else {
            return;
        };
        for usage in &mut self.customers {
            usage.bucket.settle_charges(heard);
        }
    }

    /// What this daemon says of its customers: those used in the last seconds.
    pub fn own_counts(&mut self, now: Timestamp) -> Vec<UsageCount> {
        let mut counts = Vec::new();
        for at in 0..self.customers.len() {
            let usage = &self.customers[at];
            if now.since(usage.last_used) > PART_SPAN * 2 {
                continue;
            }
            let reserved = self.reserved_part(usage.customer, now);
            let usage = &mut self.customers[at];
            usage.bucket.fill(reserved, now);
            usage.told = usage.own;
            counts.push(UsageCount {
                customer: usage.customer,
                admitted: usage.own,
                level: usage.bucket.level() as f32,
                times: Some(SpendingTimes {
                    sum: usage.own_times,
                    told: clock_ticks(now),
                }),
            });
        }
        counts
    }

    fn find(&self, customer: u64) -> Option<usize> {
        self.customers
            .binary_search_by_key(&customer, |it| it.customer)
            .ok()
    }

    /// The part of a customer's rate that silent daemons may be spending.
    fn reserved_part(&self, customer: u64, now: Timestamp) -> f64 {
        let mut reserved = 0.0;
        for place in 0..self.peers.len() {
            if self.peers[place].is_silent {
                reserved += self.part_of(place, customer, now);
            }
        }
        // Some rate is always left: a daemon that is alone must serve on.
        let least = 1.0 / (self.peers.len() as f64 + 1.0);
        reserved.min(1.0 - least)
    }

    /// The part of a customer's tokens that daemons may have spent since their
    /// last word. Those that count as silent had theirs set aside already.
    fn doubted_part(&self, customer: u64, now: Timestamp) -> f64 {
        let (begin, full) = self.doubted;
        let mut doubted = 0.0;
        for (place, peer) in self.peers.iter().enumerate() {
            if !self.is_doubted(peer, now) {
                continue;
            }
            let age = now.since(peer.heard_at);
            let doubt = (age - begin).as_secs_f64() / (full - begin).as_secs_f64();
            doubted += self.part_of(place, customer, now) * doubt.min(1.0);
        }
        doubted.min(1.0)
    }

    /// A daemon's part of a customer's rate: its part in the requests of the last
    /// seconds, or an even part if that is more. What it was seen to use fades while
    /// it isn't heard, but not what it may use.
    fn part_of(&self, place: usize, customer: u64, now: Timestamp) -> f64 {
        let even = self.even_part();
        let all = self
            .find(customer)
            .map_or(0.0, |at| self.customers[at].all_lately.at(now));
        if all < 1.0 {
            return even;
        }
        even.max(self.peers[place].lately(customer, now) / all)
    }

    /// What is left of a customer's rate to this daemon once all others have had
    /// their parts of it.
    fn own_part(&self, at: usize, now: Timestamp) -> f64 {
        let usage = &self.customers[at];
        let all = usage.all_lately.at(now);
        match all < 1.0 {
            true => self.even_part(),
            false => (usage.own_lately.at(now) / all).min(1.0),
        }
    }

    fn even_part(&self) -> f64 {
        1.0 / (self.peers.len() as f64 + 1.0)
    }
}

impl PeerUsage {
    /// Whether nothing is expected of it: it is gone, or its part was set aside.
    fn is_spoken_for(&self) -> bool {
        self.is_silent || self.is_leaving || !self.was_heard
    }

    /// Takes in a count. Returns what was let in since the last one.
    ///
    /// Of a first count nobody knows how old it is: all of a daemon's life may be in
    /// it. Charged, a daemon that has just started would refuse customers for
    /// seconds for what they did minutes ago; so it counts from there on. What this
    /// misses is the time between two words.
    fn note(&mut self, count: &UsageCount, now: Timestamp) -> HeardSpending {
        let place = self
            .counts
            .binary_search_by_key(&count.customer, |it| it.customer);
        match place {
            Ok(place) => self.counts[place].note(count, now),
            Err(place) => {
                let known = PeerCount {
                    customer: count.customer,
                    admitted: count.admitted,
                    times: count.times,
                    lately: RecentCount::default(),
                };
                self.counts.insert(place, known);
                HeardSpending {
                    requests: 0,
                    since: now,
                }
            }
        }
    }

    fn lately(&self, customer: u64, now: Timestamp) -> f64 {
        match self
            .counts
            .binary_search_by_key(&customer, |it| it.customer)
        {
            Ok(place) => self.counts[place].lately.at(now),
            Err(_) => 0.0,
        }
    }
}

fn doubted_spans(interval: Duration) -> (Duration, Duration) {
    let (begin, full) = DOUBTED_INTERVALS;
    (interval.mul_f64(begin), interval.mul_f64(full))
}
