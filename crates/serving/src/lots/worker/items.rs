//! Starts, preempts and gives up items.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{
    ServerId, Timestamp,
    lots::{RouteObservation, StartRank, may_begin_items},
    placement::{PlacementQuery, PreemptionOrder, PromptPart, WorkKind},
    streams::SoftwareKey,
};
use tokio_util::sync::CancellationToken;

use super::{LotWorker, WorkerEvent};
use crate::{
    clock::unix_millis,
    dialect::Dialect,
    fleet::choose_service,
    lots::{
        held_lot::ItemPhase,
        item_prompt::prompt_of,
        item_run::{ItemRun, run_item},
    },
    model::RouteSettings,
    path::AttemptGuard,
};

/// Maximum number of items that run at once, each with its output in memory.
const MAX_RUNNING_ITEMS: usize = 64;
/// How long an item that was begun waits for a server of its version while others have room.
const MAX_VERSION_WAIT: Duration = Duration::from_secs(1);
/// An item with less time left isn't started, since its server would stop before the end.
const MIN_RUN_TIME: Duration = Duration::from_millis(300);

/// Where an item runs, or why it doesn't.
enum ItemPlacement {
    At(ServerId),
    /// No server of the version that began the item has room.
    WaitsForVersion,
    /// No server of the route has room.
    RouteIsFull,
}

impl<D: Dialect> LotWorker<D> {
    /// Gives up the waiting items of lots whose retention has passed.
    pub(super) fn give_up_expired(&mut self, now: Timestamp) {
        for held in &mut self.held {
            if held.time_left(now).is_zero() {
                held.give_up_waiting("out of time", now);
            }
        }
    }

    /// Stops items on servers where live requests need their slots. It selects those that
    /// started last, which lose the least when they resume on another server.
    pub(super) fn preempt_items(&mut self, now: Timestamp) {
        let orders = self.node.servers.borrow_mut().preemption_orders(now);
        for order in orders {
            self.preempt_newest(order);
        }
    }

    fn preempt_newest(&self, order: PreemptionOrder) {
        let items = self.held.iter().flat_map(|it| &it.items);
        let mut runs: Vec<(Timestamp, &CancellationToken)> = items
            .filter_map(|it| match &it.phase {
                ItemPhase::Running {
                    server,
                    started_at,
                    stop,
                } if *server == order.server => Some((*started_at, stop)),
                _ => None,
            })
            .collect();
        let already_stopping = runs.iter().filter(|it| it.1.is_cancelled()).count();
        runs.retain(|it| !it.1.is_cancelled());
        runs.sort_by_key(|it| std::cmp::Reverse(it.0));
        let wanted = (order.items as usize).saturating_sub(already_stopping);
        for (_, stop) in runs.into_iter().take(wanted) {
            stop.cancel();
            self.node.metrics.lot("stepped_aside", 1);
        }
    }

    /// Starts items while servers have free slots.
    pub(super) fn start_items(&mut self, now: Timestamp) {
        let Some(fleet) = self.node.fleet() else {
            return;
        };
        let silence = self.node.time_since_store_answer();
        // Hundreds of lots may wait, so a route without a free slot is queried only once.
        let mut full: Vec<Arc<RouteSettings>> = Vec::new();
        for index in self.start_order(now) {
            while self.running < MAX_RUNNING_ITEMS {
                let Some(item) = self.held[index].next_waiting(now) else {
                    break;
                };
                let head = &self.held[index].head;
                let path = &self.held[index].items[item].item.path;
                let route = fleet.route(&head.host, path);
                let route = route.or_else(|| fleet.route_named(&head.host, &head.route));
                let observation = RouteObservation {
                    is_known: route.is_some(),
                    version: fleet.settings.version,
                    accepted_version: head.settings,
                    store_silence: silence.unwrap_or(Duration::MAX),
                };
                self.held[index].observe_route(item, observation, now);
                let Some(route) = route else {
                    continue;
                };
                if full.iter().any(|it| Arc::ptr_eq(it, &route)) {
                    break;
                }
                match self.place_item(index, item, &route, now) {
                    ItemPlacement::At(server) => self.start(index, item, server, now),
                    ItemPlacement::WaitsForVersion => {
                        self.held[index].items[item].wait_for_version(now);
                    }
                    ItemPlacement::RouteIsFull => {
                        full.push(route);
                        break;
                    }
                }
            }
        }
    }

    /// Returns the indices of the lots with items that may start, in starting order.
    fn start_order(&self, now: Timestamp) -> Vec<usize> {
        let millis = unix_millis();
        let regained_at = self.node.regained_at().max(self.resumed_at);
        let mut ranked: Vec<(StartRank, usize)> = Vec::new();
        for (index, held) in self.held.iter().enumerate() {
            let is_confirmed = may_begin_items(held.claim_confirmed_at, regained_at);
            if !is_confirmed || held.time_left(now) < MIN_RUN_TIME {
                continue;
            }
            if let Some(item) = held.next_waiting(now) {
                ranked.push((held.start_rank(item, &self.run_times, millis, now), index));
            }
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|it| it.1).collect()
    }

    /// Chooses a server for an item. One that was begun goes on at the software that began
    /// it, and begins anew elsewhere if that has no room for long.
    fn place_item(
        &mut self,
        index: usize,
        item: usize,
        route: &RouteSettings,
        now: Timestamp,
    ) -> ItemPlacement {
        let software = self.held[index].items[item].progress.software;
        let prompt = prompt_of::<D>(&self.held[index].items[item].item);
        let held_item = &self.held[index].items[item];
        let failed_at = held_item.failed_at.get().map(|it| it.0);
        let exclude: Vec<ServerId> = failed_at
            .into_iter()
            .chain(held_item.avoided.get())
            .collect();
        // Another server shows whether the item or the server failed. A server that fails at
        // once has free slots, and would otherwise get all of the item's runs.
        let choose = |software| {
            let other = match exclude.is_empty() {
                true => None,
                false => self.choose_server(route, software, &exclude, &prompt, now),
            };
            other.or_else(|| self.choose_server(route, software, &[], &prompt, now))
        };
        let bound = software.and_then(|it| choose(Some(it)));
        if let Some(server) = bound {
            return ItemPlacement::At(server);
        }
        let other = choose(None);
        let has_software = software.is_some_and(|it| self.has_software(route, it));
        let held = &mut self.held[index];
        let Some(server) = other else {
            held.items[item].version_missed_since = None;
            return ItemPlacement::RouteIsFull;
        };
        if has_software && held.items[item].version_missed_for(now) < MAX_VERSION_WAIT {
            return ItemPlacement::WaitsForVersion;
        }
        if held.items[item].begin_anew() {
            log::info!(
                lot:% = held.id, item = held.items[item].item.id;
                "lots: an item begins anew, as no server of its version has room"
            );
        }
        ItemPlacement::At(server)
    }

    fn has_software(&self, route: &RouteSettings, software: SoftwareKey) -> bool {
        let servers = self.node.servers.borrow();
        let mut services = route.services.iter();
        services.any(|it| servers.has_software(&it.service, software))
    }

    fn choose_server(
        &self,
        route: &RouteSettings,
        software: Option<SoftwareKey>,
        exclude: &[ServerId],
        prompt: &[PromptPart],
        now: Timestamp,
    ) -> Option<ServerId> {
        let servers = self.node.servers.borrow();
        let mut random = rand::rng();
        let has_server = |service: &str| match software {
            Some(software) => servers.has_software(service, software),
            None => servers.has_server(service),
        };
        let service = choose_service(route, has_server, &mut random)?;
        let query = PlacementQuery {
            service,
            zone: &self.node.settings.zone,
            exclude,
            max_wait: Duration::ZERO,
            software,
            parts: prompt,
        };
        servers
            .choose_bulk(query, now, &mut random)
            .map(|it| it.server)
    }

    fn start(&mut self, index: usize, item: usize, server: ServerId, now: Timestamp) {
        let held = &mut self.held[index];
        let stop = CancellationToken::new();
        let run = ItemRun {
            item: held.items[item].item.clone(),
            host: held.head.host.clone(),
            customer: held.head.customer.clone(),
            progress: held.items[item].progress.clone(),
            failed_at: held.items[item].failed_at.clone(),
            avoided: held.items[item].avoided.clone(),
            time_left: held.time_left(now),
            stop: stop.clone(),
        };
        held.items[item].version_missed_since = None;
        held.items[item].phase = ItemPhase::Running {
            server,
            started_at: now,
            stop,
        };
        self.running += 1;
        let servers = self.node.servers.borrow();
        let listing = servers.listing(server);
        log::info!(
            lot:% = held.id, item = held.items[item].item.id,
            server = listing.name, version = listing.version,
            events = held.items[item].progress.events,
            due_ms = held.head.due as i64 - unix_millis() as i64, running = self.running;
            "lots: an item starts"
        );
        drop(servers);
        let mut guard = AttemptGuard::begin(self.node.clone(), server, WorkKind::Bulk);
        guard.begin_prompt(&run.item.id, &prompt_of::<D>(&run.item));
        let node = self.node.clone();
        let sender = self.sender.clone();
        let lot = held.id.clone();
        tokio::task::spawn_local(async move {
            let outcome = run_item(&node, guard, run).await;
            let _ = sender.send(WorkerEvent::Ended(lot, item, outcome));
        });
    }
}
