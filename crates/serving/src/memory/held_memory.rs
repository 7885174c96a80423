//! The daemon's account of held bytes and the connections of its holders.

use std::{cell::RefCell, rc::Rc};

use comfreyramp_policy::{
    memory::{HolderId, HolderKind, MemoryAccount, MemoryDecision},
    name_hash,
};
use tokio_util::sync::CancellationToken;

use super::HeldBytes;
use crate::{clock::BootClock, metrics::NodeMetrics};

/// The connection of a caller, which can be closed in the middle of an answer.
#[derive(Clone, Debug, Default)]
pub struct CallerConnection(CancellationToken);

impl CallerConnection {
    /// Closes the connection.
    pub fn close(&self) {
        self.0.cancel();
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.0.cancelled().await;
    }
}

/// The request and the caller for which bytes are held.
#[derive(Clone, Debug, Default)]
pub struct HolderLabel {
    /// The request's id.
    pub request_id: String,
    /// The customer's name; empty if the route is public.
    pub customer: String,
    /// The caller's connection.
    pub connection: CallerConnection,
}

#[derive(Debug)]
struct HolderEntry {
    id: HolderId,
    label: Rc<HolderLabel>,
}

/// The daemon's account of the bytes that it holds for callers.
#[derive(Debug)]
pub struct HeldMemory {
    /// `None` if the settings state no bound. Nothing is counted then.
    account: Option<RefCell<MemoryAccount>>,
    /// The holders of answers, sorted by id.
    readers: RefCell<Vec<HolderEntry>>,
    clock: BootClock,
    metrics: NodeMetrics,
}

impl HeldMemory {
    /// Creates an account with at most `bound` bytes, or without a bound.
    pub fn new(bound: Option<u64>, clock: BootClock, metrics: NodeMetrics) -> Self {
        HeldMemory {
            account: bound.map(|it| RefCell::new(MemoryAccount::new(it))),
            readers: RefCell::default(),
            clock,
            metrics,
        }
    }

    /// Whether the settings state a bound.
    pub fn is_bounded(&self) -> bool {
        self.account.is_some()
    }

    /// Returns a holder without bytes.
    pub fn open(self: &Rc<Self>, label: &Rc<HolderLabel>, kind: HolderKind) -> HeldBytes {
        let id = self.account.as_ref().map(|account| {
            let customer = name_hash(&label.customer);
            let id = account.borrow_mut().open(customer, kind, self.clock.now());
            if kind == HolderKind::Answer {
                let label = label.clone();
                self.readers.borrow_mut().push(HolderEntry { id, label });
            }
            id
        });
        HeldBytes::new(self.clone(), id, label.clone())
    }

    /// Asks for bytes for a holder, and closes the connections of the readers that are ended
    /// for them.
    pub(super) fn take(&self, id: HolderId, bytes: u64) -> MemoryDecision {
        let Some(account) = &self.account else {
            return MemoryDecision::Granted;
        };
        let mut account = account.borrow_mut();
        let now = self.clock.now();
        let decision = account.take(id, bytes, now);
        for ended in account.take_ended() {
            self.close_reader(ended, &account);
        }
        self.show(&account);
        decision
    }

    fn close_reader(&self, id: HolderId, account: &MemoryAccount) {
        let readers = self.readers.borrow();
        let Ok(index) = readers.binary_search_by_key(&id, |it| it.id) else {
            return;
        };
        let label = &readers[index].label;
        log::info!(
            request = label.request_id, customer = label.customer,
            held = account.held(), bodies = account.body_bytes(), bound = account.bound(),
            customer_held = account.held_for(name_hash(&label.customer)),
            even_share = account.even_share(), reader_held = account.bytes_of(id),
            idle_ms = account.idle_time(id, self.clock.now()).as_millis() as u64;
            "memory: a slow reader is ended"
        );
        self.metrics.ended_reader(&label.customer);
        label.connection.close();
    }

    pub(super) fn log_refusal(&self, label: &HolderLabel, bytes: u64) {
        if let Some(account) = &self.account {
            let account = account.borrow();
            log::info!(
                request = label.request_id, customer = label.customer, asked = bytes,
                held = account.held(), bodies = account.body_bytes(), bound = account.bound(),
                customer_held = account.held_for(name_hash(&label.customer)),
                even_share = account.even_share();
                "memory: no room for a body"
            );
        }
    }

    pub(super) fn give_back(&self, id: HolderId, bytes: u64) {
        self.change(|account| account.give_back(id, bytes, self.clock.now()));
    }

    pub(super) fn note_progress(&self, id: HolderId) {
        self.change(|account| account.note_progress(id, self.clock.now()));
    }

    pub(super) fn close(&self, id: HolderId) {
        self.change(|account| account.close(id, self.clock.now()));
        let mut readers = self.readers.borrow_mut();
        if let Ok(index) = readers.binary_search_by_key(&id, |it| it.id) {
            readers.remove(index);
        }
    }

    fn change(&self, change: impl FnOnce(&mut MemoryAccount)) {
        if let Some(account) = &self.account {
            let mut account = account.borrow_mut();
            change(&mut account);
            self.show(&account);
        }
    }

    fn show(&self, account: &MemoryAccount) {
        let bodies = account.body_bytes();
        self.metrics.held_bytes(bodies, account.held() - bodies);
    }
}
