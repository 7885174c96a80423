//! Provides bulk slots for the models that lots request.

use std::{sync::Arc, time::Duration};

use comfreyramp_lots::SlotSource;

use super::BulkSlot;
use crate::shared::SharedState;

/// The interval at which a waiting item checks for a slot without a
/// notification. A server may allow bulk work again merely because time has
/// passed.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Provides the slots of the bulk limiters to the lot worker.
#[derive(Debug)]
pub(super) struct DaemonSlots {
    state: Arc<SharedState>,
}

impl DaemonSlots {
    pub(super) fn new(state: Arc<SharedState>) -> Self {
        DaemonSlots { state }
    }

    fn try_open(&self, models: &[Arc<str>]) -> Option<(usize, BulkSlot)> {
        let snapshot = self.state.snapshot();
        let now = self.state.clock.now();
        models.iter().enumerate().find_map(|(index, model)| {
            let service = snapshot.service_of_model(model)?;
            let group = &service.settings.group;
            let choose = |id| self.state.servers.take_for_bulk(id, self.state.clock);
            let clock = self.state.clock;
            let slot = self.state.bulk_limiters.open(group, clock, now, choose)?;
            Some((index, slot))
        })
    }
}

impl SlotSource for DaemonSlots {
    type Slot = BulkSlot;

    async fn acquire(&self, models: &[Arc<str>]) -> (usize, BulkSlot) {
        loop {
            if let Some(found) = self.try_open(models) {
                return found;
            }
            tokio::select! {
                () = self.state.bulk_limiters.changed() => {}
                () = tokio::time::sleep(POLL_INTERVAL) => {}
            }
        }
    }

    fn weight(&self, customer: &str) -> f64 {
        let snapshot = self.state.snapshot();
        let entry = snapshot.customers.iter().find(|it| it.name == customer);
        entry.map_or(1.0, |it| it.weight)
    }
}
