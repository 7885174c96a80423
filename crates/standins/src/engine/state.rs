//! The engine model and the open requests that wait for its events.

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

/// The state behind the server's lock.
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

    /// Submits a request to the model and returns the receiver of its events.
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

    /// Sends the events up to `now` to their receivers and publishes the cache changes.
    pub(crate) fn deliver(&mut self, now: Timestamp) {
        for EngineEvent { id, kind, .. } in self.model.advance(now) {
            if let Some(open) = self.open.get(&id) {
                // If the handler is gone, its `Drop` cancels the request.
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

    /// Removes a request, which closes the receiver of its events. Returns whether it was
    /// open.
    pub(crate) fn cancel(&mut self, now: Timestamp, id: SequenceId) -> bool {
        self.deliver(now);
        let was_open = self.open.remove(&id).is_some();
        self.model.cancel(now, id) || was_open
    }

    /// Cancels all requests with this `x-request-id` and returns how many there were.
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
