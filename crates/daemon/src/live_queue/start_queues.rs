//! The requests that wait for a server, one queue for each server group.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::{CustomerId, LiveQueue, QueuedCall, ServerId, ServerKey};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::{CallRank, call_rank::HABIT_POLL_INTERVAL};
use crate::{
    attempts::{AttemptFailure, BUSY_RETRY},
    server_pool::{ChosenServer, PoolQuery},
    shared::SharedState,
    suspects::RunRequest,
};

/// The interval at which the queues are checked for requests that can start.
/// Most requests start when another one ends; but the estimates of what other
/// daemons sent also decay with time, which frees capacity without any event.
const DISPATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The queues of all groups, behind one briefly held lock.
#[derive(Debug, Default)]
pub struct StartQueues {
    groups: Mutex<Vec<GroupQueue>>,
}

/// The queue of one group.
#[derive(Debug, Default)]
struct GroupQueue {
    group: String,
    queue: LiveQueue,
    last_number: u64,
    /// Sorted by number.
    waiters: Vec<Waiter>,
}

type StartResult = Result<ChosenServer, AttemptFailure>;

/// A waiting request and the constraints on its server.
#[derive(Debug)]
struct Waiter {
    number: u64,
    prefix: u64,
    exclude: Vec<ServerId>,
    /// The server that already runs a copy of the request, which is preferred
    /// if it has capacity.
    copy_server: Option<ServerKey>,
    result: oneshot::Sender<StartResult>,
}

impl SharedState {
    /// Waits until the request is the next to start and a server has capacity
    /// for it. Returns the server, with the request counted on it.
    pub(crate) async fn wait_for_start(
        &self,
        request: RunRequest<'_>,
        query: PoolQuery<'_>,
        copy_server: Option<ServerKey>,
    ) -> Result<ChosenServer, AttemptFailure> {
        if !self.servers.has_server(query, self.clock) {
            return Err(AttemptFailure::NoServer);
        }
        let (sender, result) = oneshot::channel();
        let waiter = Waiter {
            number: 0,
            prefix: query.prefix.unwrap_or_default(),
            exclude: query.exclude.to_vec(),
            copy_server,
            result: sender,
        };
        let number = self.enqueue(request, waiter)?;
        let entry = QueueEntry {
            state: self,
            group: request.group,
            customer: request.rank.customer,
            number,
        };
        let result = result.await;
        drop(entry);
        // The sender is dropped without a result only if the request had to
        // give way to another one.
        result.unwrap_or(Err(AttemptFailure::QueueTooLong(BUSY_RETRY)))
    }

    /// Adds a request to its group's queue and returns its number there.
    fn enqueue(&self, request: RunRequest<'_>, mut waiter: Waiter) -> Result<u64, AttemptFailure> {
        let now = self.clock.now();
        let CallRank {
            customer,
            weight,
            urgency,
            tokens,
            ..
        } = *request.rank;
        let mut groups = self.start_queues.lock();
        let group = group_queue(&mut groups, request.group);
        group.last_number += 1;
        waiter.number = group.last_number;
        let call = QueuedCall {
            number: waiter.number,
            customer,
            urgency,
            tokens,
            deadline: request.deadline,
        };
        group.queue.set_weight(customer, weight);
        let entered = group.queue.push(call, now);
        let evicted = entered.map_err(|it| AttemptFailure::QueueTooLong(it.retry_after))?;
        if let Some(evicted) = evicted {
            group.reject(evicted.number);
        }
        group.waiters.push(waiter);
        self.start_ready(group);
        Ok(call.number)
    }

    /// Starts the requests for which a server has capacity, and rejects those
    /// whose deadline has passed or that can no longer start in time.
    fn start_ready(&self, group: &mut GroupQueue) {
        let now = self.clock.now();
        for late in group.queue.take_expired(now) {
            group.reject(late.number);
        }
        for hopeless in group.queue.take_infeasible(now) {
            group.reject(hopeless.number);
        }
        let any_server = PoolQuery {
            group: &group.group,
            zone: &self.settings.zone,
            prefix: None,
            exclude: &[],
        };
        while !group.queue.is_empty() && self.servers.has_capacity(any_server, self.clock) {
            let Some(call) = group.queue.pop(now) else {
                return;
            };
            let Some(waiter) = remove_waiter(&mut group.waiters, call.number) else {
                continue;
            };
            let query = PoolQuery {
                prefix: Some(waiter.prefix),
                exclude: &waiter.exclude,
                ..any_server
            };
            let copy_server = waiter.copy_server;
            let copy_server = copy_server.and_then(|it| {
                self.servers
                    .take_with_capacity(it, &waiter.exclude, self.clock)
            });
            let server = copy_server.or_else(|| self.servers.choose(query, self.clock));
            // If the caller has disconnected, dropping the server releases it.
            let _ = waiter.result.send(server.ok_or(AttemptFailure::NoServer));
        }
    }

    fn start_all_ready(&self) {
        for group in self.start_queues.lock().iter_mut() {
            if !group.queue.is_empty() {
                self.start_ready(group);
            }
        }
    }

    /// Charges a customer for the difference between the tokens that a call
    /// cost and those that were expected. The difference may be negative.
    pub(crate) fn charge_tokens(&self, group: &str, rank: &CallRank, tokens: f64) {
        let mut groups = self.start_queues.lock();
        let group = group_queue(&mut groups, group);
        group.queue.charge(rank.customer, tokens - rank.tokens);
    }
}

/// Starts waiting requests, and removes the habits of idle keys, until `stop`
/// is cancelled.
pub async fn run_start_queues(
    state: Arc<SharedState>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut dispatch_ticks = tokio::time::interval(DISPATCH_INTERVAL);
    let mut poll_ticks = tokio::time::interval(HABIT_POLL_INTERVAL);
    loop {
        tokio::select! {
            () = state.servers.freed() => state.start_all_ready(),
            _ = dispatch_ticks.tick() => state.start_all_ready(),
            _ = poll_ticks.tick() => state.urgency_ranks.poll(state.clock),
            () = stop.cancelled() => return Ok(()),
        }
    }
}

impl StartQueues {
    fn lock(&self) -> MutexGuard<'_, Vec<GroupQueue>> {
        // A request that a panic left in the queue is rejected at its deadline.
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupQueue {
    /// Rejects a waiting request.
    fn reject(&mut self, number: u64) {
        if let Some(waiter) = remove_waiter(&mut self.waiters, number) {
            let _ = waiter
                .result
                .send(Err(AttemptFailure::QueueTooLong(BUSY_RETRY)));
        }
    }
}

/// A request's entry in its queue, which is removed when this is dropped.
struct QueueEntry<'a> {
    state: &'a SharedState,
    group: &'a str,
    customer: CustomerId,
    number: u64,
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        let mut groups = self.state.start_queues.lock();
        let group = group_queue(&mut groups, self.group);
        if remove_waiter(&mut group.waiters, self.number).is_some() {
            group.queue.remove(self.customer, self.number);
        }
    }
}

fn group_queue<'a>(groups: &'a mut Vec<GroupQueue>, name: &str) -> &'a mut GroupQueue {
    let position = groups.binary_search_by(|it| it.group.as_str().cmp(name));
    let at = position.unwrap_or_else(|at| {
        let group = GroupQueue {
            group: name.to_owned(),
            ..GroupQueue::default()
        };
        groups.insert(at, group);
        at
    });
    &mut groups[at]
}

fn remove_waiter(waiters: &mut Vec<Waiter>, number: u64) -> Option<Waiter> {
    let at = waiters.binary_search_by_key(&number, |it| it.number).ok()?;
    Some(waiters.remove(at))
}
