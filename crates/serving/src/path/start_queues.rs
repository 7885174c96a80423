//! Live requests that wait at this daemon while all servers are full. The decisions are made
//! by [`comfreyramp_policy::overload`].

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::Duration,
};

use comfreyramp_policy::{
    Timestamp,
    overload::{
        LateStart, ReturnPlan, ReturnQuery, ReturnTime, TimeLeft, WaitingRequest, WaitingRequests,
        has_live_room,
    },
    placement::{Placement, PlacementQuery, PromptPart, WorkKind},
};
use tokio::sync::{Notify, oneshot};
use tokio_util::sync::CancellationToken;

use super::{
    AttemptGuard,
    live_request::{LiveRequest, START_FRACTION},
};
use crate::{
    dialect::Dialect,
    fleet::choose_service,
    model::{Refusal, RefusalCause},
    node::Node,
};

/// The interval at which waiting requests are looked at without any event: what is known of
/// servers also changes with time, since old reports count less.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A server for a request. A request that waited already counts as in flight there.
pub(super) type FoundSlot<D> = (Placement, Option<AttemptGuard<D>>);

/// The live requests that wait at this daemon, by service.
#[derive(Debug)]
pub struct StartQueues<D: Dialect> {
    services: RefCell<Vec<ServiceQueue<D>>>,
    last_number: Cell<u64>,
    /// Notified when a slot may have become free.
    pub slots_changed: Notify,
}

#[derive(Debug)]
struct ServiceQueue<D: Dialect> {
    service: String,
    waiting: WaitingRequests,
    plan: ReturnPlan,
    /// Sorted by number.
    waiters: Vec<Waiter<D>>,
}

#[derive(Debug)]
struct Waiter<D: Dialect> {
    number: u64,
    /// The parts of the request's prompt, by which its server is chosen.
    parts: Vec<PromptPart>,
    in_time_until: Timestamp,
    latest_start: Timestamp,
    verdict: oneshot::Sender<Verdict<D>>,
}

#[derive(Debug)]
enum Verdict<D: Dialect> {
    Starts(Placement, AttemptGuard<D>),
    Late,
}

impl<D: Dialect> Default for StartQueues<D> {
    fn default() -> Self {
        StartQueues {
            services: RefCell::default(),
            last_number: Cell::new(0),
            slots_changed: Notify::new(),
        }
    }
}

impl<D: Dialect> ServiceQueue<D> {
    fn take_waiter(&mut self, number: u64) -> Option<Waiter<D>> {
        let index = self
            .waiters
            .binary_search_by_key(&number, |it| it.number)
            .ok()?;
        Some(self.waiters.remove(index))
    }

    fn refuse(&mut self, numbers: Vec<u64>) {
        for number in numbers {
            if let Some(waiter) = self.take_waiter(number) {
                // A request whose caller has disconnected needs no verdict.
                let _ = waiter.verdict.send(Verdict::Late);
            }
        }
    }
}

impl<D: Dialect> StartQueues<D> {
    /// Calls `act` with the queue of a service.
    fn with<T>(&self, service: &str, act: impl FnOnce(&mut ServiceQueue<D>) -> T) -> T {
        let mut services = self.services.borrow_mut();
        let index = services
            .binary_search_by(|it| it.service.as_str().cmp(service))
            .unwrap_or_else(|index| {
                let queue = ServiceQueue {
                    service: service.to_owned(),
                    waiting: WaitingRequests::default(),
                    plan: ReturnPlan::default(),
                    waiters: Vec::new(),
                };
                services.insert(index, queue);
                index
            });
        act(&mut services[index])
    }

    fn len(&self) -> usize {
        let services = self.services.borrow();
        services.iter().map(|it| it.waiting.len()).sum()
    }

    /// Adds a request to a service's queue.
    fn push(
        &self,
        service: &str,
        request: WaitingRequest,
        parts: &[PromptPart],
        now: Timestamp,
    ) -> Result<oneshot::Receiver<Verdict<D>>, LateStart> {
        self.with(service, |queue| {
            let evicted = queue.waiting.push(request, now)?;
            queue.refuse(evicted.into_iter().collect());
            let (verdict, receiver) = oneshot::channel();
            queue.waiters.push(Waiter {
                number: request.number,
                parts: parts.to_vec(),
                in_time_until: request.in_time_until,
                latest_start: request.latest_start,
                verdict,
            });
            Ok(receiver)
        })
    }

    /// Returns the delay until waiting requests have to be looked at; `None` if none waits.
    fn next_check(&self, now: Timestamp) -> Option<Duration> {
        let services = self.services.borrow();
        let waiters = services.iter().flat_map(|it| &it.waiters);
        let ends = waiters.flat_map(|it| [it.in_time_until, it.latest_start]);
        let delays = ends.filter(|it| *it > now).map(|it| it.since(now));
        let delay = delays.min().map(|it| it.min(CHECK_INTERVAL));
        delay.or((self.len() > 0).then_some(CHECK_INTERVAL))
    }
}

/// Removes a waiting request when its caller disconnects or its wait ends.
struct WaitGuard<'a, D: Dialect> {
    node: &'a Rc<Node<D>>,
    service: &'a str,
    request: WaitingRequest,
    began_at: Timestamp,
    end: &'static str,
}

impl<D: Dialect> Drop for WaitGuard<'_, D> {
    fn drop(&mut self) {
        let number = self.request.number;
        self.node.start_queues.with(self.service, |queue| {
            if queue.take_waiter(number).is_some() {
                queue.waiting.remove(self.request.customer, number);
            }
        });
        let waiting = self.node.start_queues.len();
        self.node.metrics.waiting.set(waiting as i64);
        let waited = self.node.clock.now().since(self.began_at);
        self.node.metrics.wait_end(self.end, waited);
    }
}

/// Starts waiting requests when slots become free, until `stop` is cancelled.
pub async fn run_start_queues<D: Dialect>(node: Rc<Node<D>>, stop: CancellationToken) {
    loop {
        let check = node.start_queues.next_check(node.clock.now());
        tokio::select! {
            () = node.start_queues.slots_changed.notified() => {}
            () = tokio::time::sleep(check.unwrap_or(Duration::MAX)), if check.is_some() => {}
            () = stop.cancelled() => return,
        }
        dispatch(&node);
    }
}

/// Starts the waiting requests that can start, and refuses those that can't start in time.
fn dispatch<D: Dialect>(node: &Rc<Node<D>>) {
    let now = node.clock.now();
    let mut services = node.start_queues.services.borrow_mut();
    for queue in services.iter_mut() {
        while !queue.waiting.is_empty() {
            let Some(placement) = choose_free(node, &queue.service, &[], now) else {
                break;
            };
            let mut late = Vec::new();
            let next = queue
                .waiting
                .start_next(placement.expected_wait, now, &mut late);
            queue.refuse(late);
            if let Some(waiter) = next.and_then(|it| queue.take_waiter(it)) {
                queue.plan.record_start(now);
                // The server was chosen without regard to a prompt.
                let own = match waiter.parts.is_empty() {
                    true => None,
                    false => choose_free(node, &queue.service, &waiter.parts, now),
                };
                let placement = own.unwrap_or(placement);
                let guard = AttemptGuard::begin(node.clone(), placement.server, WorkKind::Live);
                // If the caller has disconnected, the slot is released with the guard.
                let _ = waiter.verdict.send(Verdict::Starts(placement, guard));
            }
        }
        let late = queue.waiting.take_late(now);
        queue.refuse(late);
    }
}

/// Returns a server that is expected to start a request of a service, with these parts in its
/// prompt, at once.
fn choose_free<D: Dialect>(
    node: &Node<D>,
    service: &str,
    parts: &[PromptPart],
    now: Timestamp,
) -> Option<Placement> {
    let query = PlacementQuery {
        service,
        zone: &node.settings.zone,
        exclude: &[],
        max_wait: Duration::MAX,
        software: None,
        parts,
    };
    let servers = node.servers.borrow();
    let placement = servers.choose_live(query, now, &mut rand::rng()).ok()?;
    has_live_room(placement.expected_wait).then_some(placement)
}

impl<D: Dialect> LiveRequest<D> {
    /// Finds a server for the request, and waits for one if all are full and this daemon has
    /// a queue. A request that was sent to a server before, or that only some software may
    /// answer, doesn't wait here: the queue's order holds for requests that any server of the
    /// service may run.
    ///
    /// # Errors
    ///
    /// Returns the final refusal.
    pub(super) async fn find_slot(&self) -> Result<FoundSlot<D>, Refusal> {
        let now = self.node.clock.now();
        let Some(service) = self.queued_service() else {
            return self.choose_server(now).map(|it| (it, None));
        };
        let query = PlacementQuery {
            service: &service,
            zone: &self.node.settings.zone,
            exclude: &[],
            max_wait: self.max_slot_wait(now),
            software: None,
            parts: &self.prompt,
        };
        if let Some(placement) = self.choose_trial(query, now) {
            return Ok((placement, None));
        }
        let queues = &self.node.start_queues;
        if queues.with(&service, |it| it.waiting.is_empty())
            && let Some(placement) = choose_free(&self.node, &service, &self.prompt, now)
            && placement.expected_wait <= self.max_slot_wait(now)
        {
            queues.with(&service, |it| it.plan.record_start(now));
            return Ok((placement, None));
        }
        let request = self.waiting_request(now);
        let receiver = match queues.push(&service, request, &self.prompt, now) {
            Ok(receiver) => receiver,
            Err(late) => return Err(self.refuse_waiting(&service, request, Some(late), now)),
        };
        self.node.metrics.waiting.set(queues.len() as i64);
        queues.slots_changed.notify_one();
        let mut guard = WaitGuard {
            node: &self.node,
            service: &service,
            request,
            began_at: now,
            end: "left",
        };
        let verdict = receiver.await;
        guard.end = match &verdict {
            Ok(Verdict::Starts(..)) => "started",
            _ => "late",
        };
        drop(guard);
        let Ok(Verdict::Starts(placement, attempt)) = verdict else {
            return Err(self.refuse_waiting(&service, request, None, now));
        };
        let waited = self.node.clock.now().since(now);
        log::info!(
            request = self.request_id, route = self.route.name, priority = request.priority,
            is_promised_return = request.is_promised_return,
            server = self.node.servers.borrow().listing(placement.server).name,
            live = placement.load.live,
            expected_ms = placement.expected_wait.as_millis() as u64,
            waited_ms = waited.as_millis() as u64, waiting = queues.len();
            "overload: a waiting request starts"
        );
        Ok((placement, Some(attempt)))
    }

    /// Returns the service in whose queue the request may wait.
    fn queued_service(&self) -> Option<String> {
        if !self.node.settings.live_queue
            || !self.tried_servers.is_empty()
            || self.software.is_some()
        {
            return None;
        }
        let servers = self.node.servers.borrow();
        let has_server = |service: &str| servers.has_server(service);
        choose_service(&self.route, has_server, &mut rand::rng()).map(str::to_owned)
    }

    fn waiting_request(&self, now: Timestamp) -> WaitingRequest {
        let queues = &self.node.start_queues;
        let number = queues.last_number.get() + 1;
        queues.last_number.set(number);
        let customer = self.customer.as_ref();
        let time_left = TimeLeft {
            left: self.deadline.since(self.received_at),
            timeout: self.route.timeout,
        };
        let in_time_wait = self.route.objective.mul_f64(START_FRACTION);
        WaitingRequest {
            number,
            customer: customer.map_or(0, |it| it.name_hash),
            priority: self.priority(),
            is_promised_return: time_left.is_promised_return(),
            in_time_until: self.received_at + in_time_wait,
            latest_start: now + self.max_slot_wait(now),
        }
    }

    fn priority(&self) -> u32 {
        let customer = self.customer.as_ref();
        let own = customer.and_then(|it| it.settings.priority);
        own.unwrap_or(self.route.priority)
    }

    /// Refuses a request that arrived in the queue at `began_at` and can't start in time, and
    /// plans the return of its caller.
    fn refuse_waiting(
        &self,
        service: &str,
        request: WaitingRequest,
        late: Option<LateStart>,
        began_at: Timestamp,
    ) -> Refusal {
        let now = self.node.clock.now();
        let query = ReturnQuery {
            priority: request.priority,
            time_left: TimeLeft {
                left: self.deadline.since(now),
                timeout: self.route.timeout,
            },
        };
        let queues = &self.node.start_queues;
        let (ReturnTime { delay, is_promised }, start_rate, waiting) =
            queues.with(service, |queue| {
                let time = queue.plan.plan(query, now, &mut rand::rng());
                (time, queue.plan.start_rate(now), queue.waiting.len())
            });
        if late.is_some() {
            self.node
                .metrics
                .wait_end("refused_on_arrival", Duration::ZERO);
        }
        log::info!(
            request = self.request_id, route = self.route.name, priority = request.priority,
            is_promised_return = request.is_promised_return,
            expected_ms = late.map(|it| it.expected_wait.as_millis() as u64),
            max_ms = request.latest_start.since(began_at).as_millis() as u64,
            waited_ms = now.since(began_at).as_millis() as u64, waiting = waiting,
            starts_per_s = start_rate, retry_ms = delay.as_millis() as u64,
            is_promised = is_promised;
            "overload: a request can't start in time"
        );
        self.final_refusal(RefusalCause::Full, delay)
    }
}
