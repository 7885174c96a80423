//! The engine model with the requests that wait on it.

use std::collections::HashMap;

use comfreyramp_policy::Timestamp;
use tokio::sync::mpsc;

use super::{
    cache_journal::CacheJournal,
    faults::FaultSwitches,
    model::{EngineModel, QueueFull},
    orders::OrderTracker,
    sequence::{EngineEvent, EngineEventKind, EngineRequest, SequenceId},
};

/// A request whose handler waits for events.
#[derive(Debug)]
struct OpenRequest {
    request_id: String,
    events: mpsc::UnboundedSender<EngineEventKind>,
}

/// Everything behind the server's lock.
#[derive(Debug)]
pub(crate) struct EngineState {
    pub(crate) model: EngineModel,
    pub(crate) journal: CacheJournal,
    pub(crate) faults: FaultSwitches,
    pub(crate) orders: OrderTracker,
    open: HashMap<SequenceId, OpenRequest>,
}

impl EngineState {
    pub(crate) fn new(model: EngineModel, journal: CacheJournal, orders: OrderTracker) -> Self {
        EngineState {
            model,
            journal,
            faults: FaultSwitches::default(),
            orders,
            open: HashMap::new(),
        }
    }

    /// Puts a request into the model; its events come through the receiver.
    pub(crate) fn submit(
        &mut self,
        now: Timestamp,
        request: EngineRequest,
        request_id: String,
    ) -> Result<mpsc::UnboundedReceiver<EngineEventKind>, QueueFull> {
        let id = request.id;
        self.model.submit(now, request)?;
        let (events, receiver) = mpsc::unbounded_channel();
        self.open.insert(id, OpenRequest { request_id, events });
        self.deliver(now);
        Ok(receiver)
    }

    /// Hands out the events up to `now`.
    pub(crate) fn deliver(&mut self, now: Timestamp) {
        for EngineEvent { id, kind, .. } in self.model.advance(now) {
            if let Some(open) = self.open.get(&id) {
                // A handler that is gone cancels by itself.
                let _ = open.events.send(kind);
            }
            if kind == EngineEventKind::Finished {
                self.open.remove(&id);
            }
        }
        for (at, change) in self.model.take_cache_changes() {
            self.journal.publish(at, change);
        }
    }

    /// Drops a request; its handler sees its events end.
    pub(crate) fn cancel(&mut self, now: Timestamp, id: SequenceId) -> bool {
        self.deliver(now);
        let was_open = self.open.remove(&id).is_some();
        self.model.cancel(now, id) || was_open
    }

    /// Drops every request with this `x-request-id`, and tells how many.
    pub(crate) fn cancel_named(&mut self, now: Timestamp, request_id: &str) -> usize {
        let named: Vec<SequenceId> = self
            .open
            .iter()
            .filter(|(_, open)| open.request_id == request_id)
            .map(|(id, _)| *id)
            .collect();
        let cancelled = named.into_iter().filter(|id| self.cancel(now, *id));
        cancelled.count()
    }
}
