//! The requests that wait for a server, by group.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::{CustomerId, LiveQueue, QueuedCall, ServerId, ServerKey};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;

use super::{CallRank, call_rank::HABITS_POLLED};
use crate::{
    attempts::{AttemptFailure, BUSY_RETRY},
    server_pool::{ChosenServer, PoolQuery},
    shared::SharedState,
    suspects::RunRequest,
};

/// How often it is looked whether a server has room. Most turns come when a
/// request ends; what other daemons sent fades from the estimates by itself.
const TURN_INTERVAL: Duration = Duration::from_millis(20);

/// The requests that wait for a server.
#[derive(Debug, Default)]
pub struct StartQueues {
    groups: Mutex<Vec<GroupQueue>>,
}

/// The requests that wait for a server of one group.
#[derive(Debug, Default)]
struct GroupQueue {
    group: String,
    queue: LiveQueue,
    last_number: u64,
    /// In order of their numbers.
    waiters: Vec<Waiter>,
}

type Turn = Result<ChosenServer, AttemptFailure>;

/// A request that waits, and where it may go.
#[derive(Debug)]
struct Waiter {
    number: u64,
    prefix: u64,
    exclude: Vec<ServerId>,
    /// The server that runs a copy of it.
    beside: Option<ServerKey>,
    turn: oneshot::Sender<Turn>,
}

impl SharedState {
    /// Waits until a server has room for a request and its turn has come.
    pub(crate) async fn wait_for_turn(
        &self,
        request: RunRequest<'_>,
        query: PoolQuery<'_>,
        beside: Option<ServerKey>,
    ) -> Result<ChosenServer, AttemptFailure> {
        if !self.servers.has_server(query, self.clock) {
            return Err(AttemptFailure::NoServer);
        }
        let (sender, turn) = oneshot::channel();
        let waiter = Waiter {
            number: 0,
            prefix: query.prefix.unwrap_or_default(),
            exclude: query.exclude.to_vec(),
            beside,
            turn: sender,
        };
        let number = self.enter(request, waiter)?;
        let place = QueuePlace {
            state: self,
            group: request.group,
            customer: request.rank.customer,
            number,
        };
        let turn = turn.await;
        drop(place);
        // A waiter that is gone without a word had to make way.
        turn.unwrap_or(Err(AttemptFailure::HeldBack(BUSY_RETRY)))
    }

    /// Takes a request into its queue, and returns its number there.
    fn enter(&self, request: RunRequest<'_>, mut waiter: Waiter) -> Result<u64, AttemptFailure> {
        let now = self.clock.now();
        let CallRank {
            customer,
            weight,
            urgency,
            tokens,
            ..
        } = *request.rank;
        let mut groups = self.queues.lock();
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
        let evicted = entered.map_err(|it| AttemptFailure::HeldBack(it.retry_after))?;
        if let Some(evicted) = evicted {
            group.refuse(evicted.number);
        }
        group.waiters.push(waiter);
        self.give_turns(group);
        Ok(call.number)
    }

    /// Lets the requests go that a server has room for, and refuses those whose
    /// time has passed or that can't start in time any more.
    fn give_turns(&self, group: &mut GroupQueue) {
        let now = self.clock.now();
        for late in group.queue.take_expired(now) {
            group.refuse(late.number);
        }
        for hopeless in group.queue.take_infeasible(now) {
            group.refuse(hopeless.number);
        }
        let room = PoolQuery {
            group: &group.group,
            zone: &self.settings.zone,
            prefix: None,
            exclude: &[],
        };
        while !group.queue.is_empty() && self.servers.has_room(room, self.clock) {
            let Some(call) = group.queue.pop(now) else {
                return;
            };
            let Some(waiter) = take_waiter(&mut group.waiters, call.number) else {
                continue;
            };
            let query = PoolQuery {
                prefix: Some(waiter.prefix),
                exclude: &waiter.exclude,
                ..room
            };
            let beside = waiter.beside;
            let beside =
                beside.and_then(|it| self.servers.take_with_room(it, &waiter.exclude, self.clock));
            let server = beside.or_else(|| self.servers.choose(query, self.clock));
            // A caller that is gone gives the server back.
            let _ = waiter.turn.send(server.ok_or(AttemptFailure::NoServer));
        }
    }

    fn give_all_turns(&self) {
        for group in self.queues.lock().iter_mut() {
            if !group.queue.is_empty() {
                self.give_turns(group);
            }
        }
    }

    /// Charges a customer for what a call cost beyond, or short of, what was
    /// expected of it.
    pub(crate) fn charge_tokens(&self, group: &str, rank: &CallRank, tokens: f64) {
        let mut groups = self.queues.lock();
        let group = group_queue(&mut groups, group);
        group.queue.charge(rank.customer, tokens - rank.tokens);
    }
}

/// Gives turns until `stop` is cancelled.
pub async fn run_start_queues(
    state: Arc<SharedState>,
    stop: CancellationToken,
) -> anyhow::Result<()> {
    let mut turns = tokio::time::interval(TURN_INTERVAL);
    let mut polls = tokio::time::interval(HABITS_POLLED);
    loop {
        tokio::select! {
            () = state.servers.freed() => state.give_all_turns(),
            _ = turns.tick() => state.give_all_turns(),
            _ = polls.tick() => state.ranks.poll(state.clock),
            () = stop.cancelled() => return Ok(()),
        }
    }
}

impl StartQueues {
    fn lock(&self) -> MutexGuard<'_, Vec<GroupQueue>> {
        // What a panic left of one request is refused when its time is up.
        self.groups.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GroupQueue {
    /// Tells a request that it isn't served.
    fn refuse(&mut self, number: u64) {
        if let Some(waiter) = take_waiter(&mut self.waiters, number) {
            let _ = waiter.turn.send(Err(AttemptFailure::HeldBack(BUSY_RETRY)));
        }
    }
}

/// A request's place in its queue, left when the request is dropped.
struct QueuePlace<'a> {
    state: &'a SharedState,
    group: &'a str,
    customer: CustomerId,
    number: u64,
}

impl Drop for QueuePlace<'_> {
    fn drop(&mut self) {
        let mut groups = self.state.queues.lock();
        let group = group_queue(&mut groups, self.group);
        if take_waiter(&mut group.waiters, self.number).is_some() {
            group.queue.remove(self.customer, self.number);
        }
    }
}

fn group_queue<'a>(groups: &'a mut Vec<GroupQueue>, name: &str) -> &'a mut GroupQueue {
    let place = groups.binary_search_by(|it| it.group.as_str().cmp(name));
    let at = place.unwrap_or_else(|at| {
        let group = GroupQueue {
            group: name.to_owned(),
            ..GroupQueue::default()
        };
        groups.insert(at, group);
        at
    });
    &mut groups[at]
}

fn take_waiter(waiters: &mut Vec<Waiter>, number: u64) -> Option<Waiter> {
    let at = waiters.binary_search_by_key(&number, |it| it.number).ok()?;
    Some(waiters.remove(at))
}
