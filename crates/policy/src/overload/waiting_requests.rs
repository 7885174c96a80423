//! The live requests of one service that wait at a daemon for a slot.

use std::time::Duration;

use crate::{CustomerId, LiveQueue, QueueRank, QueuedCall, Timestamp};

/// The longest wait at a server with which a request is sent to it. A free slot means no
/// wait; a server with calls of some 10 ms needs a request or two in reserve, or its slots
/// are idle while answers travel to the daemons.
const MAX_SERVER_WAIT: Duration = Duration::from_millis(20);
/// A caller waits for less than this fraction of its route's timeout if it was refused
/// before. [`TimeLeft`] tells from it who returns.
const RETRY_FRACTION: f64 = 0.95;
/// A caller that returns at a promised time has at least this fraction of the timeout left;
/// one that was told to return without a promise has less.
const PROMISED_RETURN_FRACTION: f64 = 0.71;

/// How long a caller still waits, compared with its route's timeout. A retry is a request of
/// its own, often at another daemon: this is all that shows what it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeLeft {
    /// How long the caller still waits.
    pub left: Duration,
    /// The route's timeout.
    pub timeout: Duration,
}

impl TimeLeft {
    /// Returns whether the caller was refused before.
    pub fn is_retry(self) -> bool {
        self.left < self.timeout.mul_f64(RETRY_FRACTION)
    }

    /// Returns whether the caller returns at a time that it was promised. A caller that was
    /// refused twice has too little time left, so that it goes ahead of others only once.
    pub fn is_promised_return(self) -> bool {
        self.is_retry() && self.left >= self.timeout.mul_f64(PROMISED_RETURN_FRACTION)
    }

    /// Returns the shortest delay after which the caller is recognised as a retry, and the
    /// longest after which it is recognised as a promised return. Both are well within these
    /// bounds, since a request travels for some milliseconds.
    pub fn promised_delays(self) -> (Duration, Duration) {
        let until = |fraction: f64| self.left.saturating_sub(self.timeout.mul_f64(fraction));
        let margin = 0.015;
        (
            until(RETRY_FRACTION - margin),
            until(PROMISED_RETURN_FRACTION + margin),
        )
    }

    /// Returns the shortest delay after which the caller isn't taken for a promised return.
    pub fn unpromised_delay(self) -> Duration {
        self.left
            .saturating_sub(self.timeout.mul_f64(PROMISED_RETURN_FRACTION))
    }
}

/// Whose turn it is among requests of a priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitingTurn {
    /// Its caller returns at the time that it was promised.
    Returning,
    /// Any other request that can still start in time.
    InTime,
    /// It can't start in time any more. Its caller was refused before and is rather served
    /// late than refused again, but not in place of one that is served in time.
    Late,
}

/// The rank of a waiting request. Lower values go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct WaitingRank {
    /// The priority of its customer or else of its route; 0 is the highest.
    pub priority: u32,
    /// Whose turn it is among requests of this priority.
    pub turn: WaitingTurn,
}

impl QueueRank for WaitingRank {
    const LOWER_RANK_INTERVAL: Option<u32> = None;
    /// A request that is removed was waiting for nothing, and one that stays too long loses
    /// the rest of its wait: it is removed only if it is likely to be late.
    const FORECAST_DEVIATIONS: f64 = 2.0;

    /// A request has a latest start of its own.
    fn max_wait(self) -> Duration {
        Duration::MAX
    }
}

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The daemon's number for the request.
    pub number: u64,
    /// The hash of its customer's name; 0 if the route needs no customer.
    pub customer: u64,
    /// The priority of its customer or else of its route; 0 is the highest.
    pub priority: u32,
    /// Whether its caller returns at the time that it was promised.
    pub is_promised_return: bool,
    /// The last moment at which a server may start it in time.
    pub in_time_until: Timestamp,
    /// The last moment at which a server may start it at all.
    pub latest_start: Timestamp,
}

/// A request that isn't expected to start in time. It hasn't run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LateStart {
    /// How long it would wait for a slot.
    pub expected_wait: Duration,
}

/// Returns whether a request may be sent to a server where it is expected to wait so long.
/// If not, it waits at the daemon.
pub fn has_live_room(expected_wait: Duration) -> bool {
    expected_wait <= MAX_SERVER_WAIT
}

/// The live requests of one service that wait at a daemon for a slot.
#[derive(Clone, Debug, Default)]
pub struct WaitingRequests {
    queue: LiveQueue<WaitingRank>,
    /// The requests that go on waiting once they can't start in time, sorted by number.
    enduring: Vec<WaitingRequest>,
    /// The customers that have waited, with their ids in the queue, sorted by hash.
    customers: Vec<(u64, CustomerId)>,
}

impl WaitingRequests {
    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Adds a request. Returns the number of the request that has to be refused in its
    /// place, if the queue was full.
    ///
    /// # Errors
    ///
    /// A request that isn't expected to start by its latest start isn't added.
    pub fn push(
        &mut self,
        request: WaitingRequest,
        now: Timestamp,
    ) -> Result<Option<u64>, LateStart> {
        let turn = match request.is_promised_return {
            true => WaitingTurn::Returning,
            false => WaitingTurn::InTime,
        };
        let in_time_until = request.in_time_until.min(request.latest_start);
        match self.push_as(request, turn, in_time_until, now) {
            Ok(evicted) => {
                if request.in_time_until < request.latest_start {
                    self.add_enduring(request);
                }
                Ok(evicted)
            }
            Err(_) if request.in_time_until < request.latest_start => self.push_late(request, now),
            Err(late) => Err(late),
        }
    }

    /// Takes out the request that starts next at a server where it would wait for
    /// `server_wait`. The numbers of requests that would start too late there are added to
    /// `refused`: they have to be refused.
    pub fn start_next(
        &mut self,
        server_wait: Duration,
        now: Timestamp,
        refused: &mut Vec<u64>,
    ) -> Option<u64> {
        let expired = self.queue.take_expired(now + server_wait);
        self.demote(expired, now, refused);
        let number = self.queue.pop(now)?.number;
        self.remove_enduring(number);
        Some(number)
    }

    /// Takes out the requests that can't start by their latest start any more: it has
    /// passed, or so many others go first. They have to be refused.
    pub fn take_late(&mut self, now: Timestamp) -> Vec<u64> {
        let mut refused = Vec::new();
        let mut late = self.queue.take_expired(now);
        late.extend(self.queue.take_infeasible(now));
        self.demote(late, now, &mut refused);
        refused
    }

    /// Takes out a request whose caller has disconnected.
    pub fn remove(&mut self, customer: u64, number: u64) {
        let id = self.customer_id(customer);
        self.queue.remove(id, number);
        self.remove_enduring(number);
    }

    /// Lets those requests go on waiting that may start late, behind those that can start in
    /// time, and adds the numbers of the others to `refused`.
    fn demote(
        &mut self,
        late: Vec<QueuedCall<WaitingRank>>,
        now: Timestamp,
        refused: &mut Vec<u64>,
    ) {
        for call in late {
            let enduring = self.remove_enduring(call.number);
            let demoted = enduring.map(|it| self.push_late(it, now));
            match demoted {
                Some(Ok(evicted)) => refused.extend(evicted),
                Some(Err(_)) | None => refused.push(call.number),
            }
        }
    }

    fn push_late(
        &mut self,
        request: WaitingRequest,
        now: Timestamp,
    ) -> Result<Option<u64>, LateStart> {
        self.push_as(request, WaitingTurn::Late, request.latest_start, now)
    }

    fn push_as(
        &mut self,
        request: WaitingRequest,
        turn: WaitingTurn,
        latest_start: Timestamp,
        now: Timestamp,
    ) -> Result<Option<u64>, LateStart> {
        let call = QueuedCall {
            number: request.number,
            customer: self.customer_id(request.customer),
            urgency: WaitingRank {
                priority: request.priority,
                turn,
            },
            tokens: 1.0,
            deadline: latest_start,
        };
        let pushed = self.queue.push(call, now);
        let evicted = pushed.map_err(|_| LateStart {
            expected_wait: self.queue.expected_wait(&call, now),
        })?;
        let evicted = evicted.map(|it| it.number);
        if let Some(number) = evicted {
            self.remove_enduring(number);
        }
        Ok(evicted)
    }

    fn add_enduring(&mut self, request: WaitingRequest) {
        let number = request.number;
        if let Err(index) = self.enduring.binary_search_by_key(&number, |it| it.number) {
            self.enduring.insert(index, request);
        }
    }

    fn remove_enduring(&mut self, number: u64) -> Option<WaitingRequest> {
        let index = self.enduring.binary_search_by_key(&number, |it| it.number);
        index.ok().map(|it| self.enduring.remove(it))
    }

    fn customer_id(&mut self, customer: u64) -> CustomerId {
        match self.customers.binary_search_by_key(&customer, |it| it.0) {
            Ok(index) => self.customers[index].1,
            Err(index) => {
                let id = CustomerId(self.customers.len() as u32);
                self.customers.insert(index, (customer, id));
                id
            }
        }
    }
}
