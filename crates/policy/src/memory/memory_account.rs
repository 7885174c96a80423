//! The account of the bytes that a daemon holds for callers.

use std::time::Duration;

use super::{
    customer_bytes::{CustomerBytes, CustomerTable},
    return_rate::ReturnRate,
};
use crate::Timestamp;

/// The divisor of the bound that gives the limit of all bodies together.
const BODY_DIVISOR: u64 = 2;
/// A body of at most this many bytes isn't refused because of its customer's other bytes.
const SMALL_BODY_BYTES: u64 = 4 << 10;
/// When a large body is refused, readers that have taken nothing for this long are ended, so
/// that callers that stopped reading don't hold the account for as long as they like. Callers
/// of streams expect an event at least every few hundred milliseconds, and a server cuts off
/// an answer that stays unread for some seconds.
const STALLED_AFTER: Duration = Duration::from_secs(1);

/// Identifies a holder of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct HolderId(u64);

/// What a holder has its bytes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderKind {
    /// A request's body. Its request may be refused until the body has been read.
    Body,
    /// An answer, or the part of it that its caller hasn't taken. The holder can be ended by
    /// closing the caller's connection.
    Answer,
}

/// The reply to a holder that asks for bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryDecision {
    /// The bytes are the holder's.
    Granted,
    /// There is no room at this moment; the holder may ask again when bytes are returned.
    Wait,
    /// The body is refused: its request can't be run now.
    Refused {
        /// The time after which there should be room.
        retry_after: Duration,
    },
    /// The holder itself is ended: its caller's connection has to be closed.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct Holder {
    id: HolderId,
    customer: u64,
    kind: HolderKind,
    bytes: u64,
    /// When its caller last took some of the bytes.
    progress_at: Timestamp,
    /// Whether its caller's connection is being closed.
    is_ending: bool,
}

/// The account of the bytes that a daemon holds for callers.
#[derive(Clone, Debug)]
pub struct MemoryAccount {
    bound: u64,
    held: u64,
    bodies: u64,
    /// The bytes of holders that are being ended.
    ending: u64,
    /// Sorted by id.
    holders: Vec<Holder>,
    customers: CustomerTable,
    next_id: u64,
    return_rate: ReturnRate,
    /// Holders that have been ended and whose connections haven't been told yet.
    to_end: Vec<HolderId>,
}

impl MemoryAccount {
    /// Creates an account of at most `bound` bytes.
    pub fn new(bound: u64) -> Self {
        MemoryAccount {
            bound,
            held: 0,
            bodies: 0,
            ending: 0,
            holders: Vec::new(),
            customers: CustomerTable::default(),
            next_id: 0,
            return_rate: ReturnRate::default(),
            to_end: Vec::new(),
        }
    }

    /// Returns the largest number of bytes that may be held.
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// Returns the number of bytes that are held.
    pub fn held(&self) -> u64 {
        self.held
    }

    /// Returns the bytes of request bodies.
    pub fn body_bytes(&self) -> u64 {
        self.bodies
    }

    /// Returns the bytes that are held for a customer.
    pub fn held_for(&self, customer: u64) -> u64 {
        self.customers.get(customer).held
    }

    /// Returns the bytes of a holder.
    pub fn bytes_of(&self, id: HolderId) -> u64 {
        let index = self.index_of(id);
        index.map_or(0, |it| self.holders[it].bytes)
    }

    /// Returns how long a holder's caller has taken none of its bytes.
    pub fn idle_time(&self, id: HolderId, now: Timestamp) -> Duration {
        let index = self.index_of(id);
        index.map_or(Duration::ZERO, |it| now.since(self.holders[it].progress_at))
    }

    /// Returns each customer's even share: the bound over the customers that have a holder.
    pub fn even_share(&self) -> u64 {
        self.bound / self.customers.len().max(1)
    }

    /// Adds a holder without bytes.
    pub fn open(&mut self, customer: u64, kind: HolderKind, now: Timestamp) -> HolderId {
        let id = HolderId(self.next_id);
        self.next_id += 1;
        // Ids increase, so that the list stays sorted.
        self.holders.push(Holder {
            id,
            customer,
            kind,
            bytes: 0,
            progress_at: now,
            is_ending: false,
        });
        self.customers.change(customer, |it| it.holders += 1);
        id
    }

    /// Asks for `bytes` more. Other holders may have to be ended for them; see
    /// [`Self::take_ended`].
    pub fn take(&mut self, id: HolderId, bytes: u64, now: Timestamp) -> MemoryDecision {
        let Some(index) = self.index_of(id) else {
            return MemoryDecision::Ended;
        };
        let holder = self.holders[index];
        if holder.is_ending {
            return MemoryDecision::Ended;
        }
        match holder.kind {
            HolderKind::Body => self.take_for_body(index, bytes, now),
            HolderKind::Answer => self.take_for_answer(index, bytes, now),
        }
    }

    /// Takes the list of holders that have been ended since the last call. Their callers'
    /// connections have to be closed, which returns their bytes.
    pub fn take_ended(&mut self) -> Vec<HolderId> {
        std::mem::take(&mut self.to_end)
    }

    /// Records that a holder's caller has taken some of its bytes.
    pub fn note_progress(&mut self, id: HolderId, now: Timestamp) {
        if let Some(index) = self.index_of(id) {
            self.holders[index].progress_at = now;
        }
    }

    /// Returns some of a holder's bytes.
    pub fn give_back(&mut self, id: HolderId, bytes: u64, now: Timestamp) {
        if let Some(index) = self.index_of(id) {
            let bytes = bytes.min(self.holders[index].bytes);
            self.remove_bytes(index, bytes, now);
        }
    }

    /// Removes a holder and returns all its bytes.
    pub fn close(&mut self, id: HolderId, now: Timestamp) {
        if let Some(index) = self.index_of(id) {
            self.remove_bytes(index, self.holders[index].bytes, now);
            let holder = self.holders.remove(index);
            self.customers.change(holder.customer, |it| it.holders -= 1);
        }
    }

    fn index_of(&self, id: HolderId) -> Option<usize> {
        self.holders.binary_search_by_key(&id, |it| it.id).ok()
    }

    fn take_for_body(&mut self, index: usize, bytes: u64, now: Timestamp) -> MemoryDecision {
        let holder = self.holders[index];
        let own = self.customers.get(holder.customer);
        let limit = self.bound / BODY_DIVISOR;
        let is_small = holder.bytes + bytes <= SMALL_BODY_BYTES;
        let is_within_body_share = own.bodies + bytes <= limit / self.customers.len().max(1);
        let body_limit = match is_small || is_within_body_share {
            true => limit,
            false => limit - limit / 4,
        };
        if self.bodies + bytes > body_limit {
            return self.refuse(self.bodies + bytes - body_limit, now);
        }
        if self.held + bytes <= self.bound {
            self.add_bytes(index, bytes);
            return MemoryDecision::Granted;
        }
        let is_within_share = own.held + bytes <= self.even_share();
        let min_idle = match is_small || is_within_share {
            true => Duration::ZERO,
            false => STALLED_AFTER,
        };
        let has_room = self.end_readers(own, bytes, min_idle, now);
        if has_room && (is_small || is_within_share) {
            return MemoryDecision::Wait;
        }
        self.refuse(self.held + bytes - self.bound, now)
    }

    fn take_for_answer(&mut self, index: usize, bytes: u64, now: Timestamp) -> MemoryDecision {
        let holder = self.holders[index];
        if self.held + bytes <= self.bound {
            self.add_bytes(index, bytes);
            return MemoryDecision::Granted;
        }
        if holder.bytes + bytes > self.bound {
            self.end(index);
            return MemoryDecision::Ended;
        }
        let own = self.customers.get(holder.customer);
        self.end_readers(own, bytes, Duration::ZERO, now);
        match self.index_of(holder.id) {
            Some(index) if !self.holders[index].is_ending => MemoryDecision::Wait,
            _ => MemoryDecision::Ended,
        }
    }

    fn refuse(&mut self, missing: u64, now: Timestamp) -> MemoryDecision {
        let retry_after = self.return_rate.time_to_return(missing, now);
        MemoryDecision::Refused { retry_after }
    }

    /// Ends readers of customers above their even share until there will be room for
    /// `bytes` more of the customer `own`: first the slowest reader of the customer with the
    /// most bytes. Only readers that have taken nothing for `min_idle` are ended. Returns
    /// whether there will be room.
    fn end_readers(
        &mut self,
        own: CustomerBytes,
        bytes: u64,
        min_idle: Duration,
        now: Timestamp,
    ) -> bool {
        let share = self.even_share();
        while self.held - self.ending + bytes > self.bound {
            let above = self.customers.above_share(share, own.customer, bytes);
            let slowest = above
                .into_iter()
                .find_map(|it| self.slowest_reader(it, min_idle, now));
            let Some(index) = slowest else {
                return false;
            };
            self.end(index);
        }
        true
    }

    fn slowest_reader(&self, customer: u64, min_idle: Duration, now: Timestamp) -> Option<usize> {
        let readers = self.holders.iter().enumerate().filter(|(_, it)| {
            it.customer == customer
                && it.kind == HolderKind::Answer
                && it.bytes > 0
                && !it.is_ending
                && now.since(it.progress_at) >= min_idle
        });
        let slowest = readers.min_by_key(|(_, it)| it.progress_at);
        slowest.map(|it| it.0)
    }

    fn end(&mut self, index: usize) {
        let holder = &mut self.holders[index];
        holder.is_ending = true;
        let Holder {
            id,
            customer,
            bytes,
            ..
        } = *holder;
        self.ending += bytes;
        self.customers.change(customer, |it| it.ending += bytes);
        self.to_end.push(id);
    }

    fn add_bytes(&mut self, index: usize, bytes: u64) {
        let holder = &mut self.holders[index];
        holder.bytes += bytes;
        let body_bytes = if holder.kind == HolderKind::Body {
            bytes
        } else {
            0
        };
        let customer = holder.customer;
        self.held += bytes;
        self.bodies += body_bytes;
        self.customers.change(customer, |it| {
            it.held += bytes;
            it.bodies += body_bytes;
        });
    }

    fn remove_bytes(&mut self, index: usize, bytes: u64, now: Timestamp) {
        let holder = &mut self.holders[index];
        holder.bytes -= bytes;
        let body_bytes = if holder.kind == HolderKind::Body {
            bytes
        } else {
            0
        };
        let ending_bytes = if holder.is_ending { bytes } else { 0 };
        let customer = holder.customer;
        self.held -= bytes;
        self.bodies -= body_bytes;
        self.ending -= ending_bytes;
        self.customers.change(customer, |it| {
            it.held -= bytes;
            it.bodies -= body_bytes;
            it.ending -= ending_bytes;
        });
        self.return_rate.record(bytes, now);
    }
}
