//! The interface to the daemon: how an item is run and when it may run.

use std::{future::Future, sync::Arc};

use bytes::Bytes;
use serde_json::value::RawValue;
use tokio_util::sync::CancellationToken;

/// A request to run one item.
#[derive(Clone, Debug)]
pub struct ItemRequest<R> {
    /// The lot that the item belongs to.
    pub lot: Arc<str>,
    /// The customer that owns the lot.
    pub customer: Arc<str>,
    /// The API endpoint that the item is sent to.
    pub endpoint: Arc<str>,
    /// The model that the item uses.
    pub model: Arc<str>,
    /// The id of the item, the same for every attempt on any daemon.
    pub id: String,
    /// The body of the request.
    pub body: Bytes,
    /// Where an earlier run on this daemon stopped when it was preempted.
    pub resume: Option<R>,
    /// Whether a backend server crashed during an earlier run. Such an item
    /// must run without other suspects, so that a second crash can be
    /// attributed to it.
    pub is_suspect: bool,
}

/// The outcome of an item's run.
#[derive(Clone, Debug)]
pub enum ItemOutcome<R> {
    /// The service answered. Any status ends the item, except 429 and those
    /// from 500 on.
    Done {
        /// The HTTP status.
        status: u16,
        /// The id of the request that got this answer.
        request_id: String,
        /// The body of the answer.
        body: Box<RawValue>,
        /// The tokens used, charged to the customer's share.
        tokens: u32,
    },
    /// The item is invalid and can never succeed.
    Failed {
        /// A stable identifier of the error, for use by programs.
        code: String,
        /// A description of the error.
        message: String,
    },
    /// Nothing is known of the item: it reached no server, the server had no room
    /// for it, or the answer was one to another request.
    Inconclusive {
        /// A description of what happened.
        message: String,
    },
    /// The item couldn't be run now, since the service was slow or faulty.
    ServerFault {
        /// A description of the fault.
        message: String,
    },
    /// A backend server was lost while the item ran on it.
    ServerCrash {
        /// A description of the crash.
        message: String,
    },
    /// The run was preempted by live requests.
    Preempted {
        /// Where the run stopped, if it can be resumed there.
        resume: Option<R>,
        /// The tokens used in this run so far.
        tokens: u32,
    },
    /// The run was stopped through its cancellation token.
    Cancelled,
}

/// Runs items on backend servers.
pub trait ItemRunner: Send + Sync + 'static {
    /// Permission to run one item, as the [`SlotSource`] grants it.
    type Slot: Send + 'static;
    /// The position at which a preempted run can be resumed.
    type Resume: Clone + Send + Sync + 'static;

    /// Runs an item. Once `stop` is cancelled, this must return within a second
    /// and leave nothing of the item running.
    fn run(
        &self,
        request: ItemRequest<Self::Resume>,
        slot: Self::Slot,
        stop: CancellationToken,
    ) -> impl Future<Output = ItemOutcome<Self::Resume>> + Send;
}

/// Grants slots for bulk work.
pub trait SlotSource: Send + Sync + 'static {
    /// Permission to run one item; dropping it returns the slot.
    type Slot: Send + 'static;

    /// Waits for a slot for one of these models, which are sorted by urgency,
    /// and returns the index of the model with the slot. Dropping the future
    /// must not lose a slot.
    fn acquire(&self, models: &[Arc<str>]) -> impl Future<Output = (usize, Self::Slot)> + Send;

    /// Returns a customer's share of bulk capacity relative to other customers.
    fn weight(&self, customer: &str) -> f64;
}
