//! Cache of the lots that this daemon has read. Heads and results never change, so that
//! cached ones are never read from the store again.

use std::{fmt, net::SocketAddr, time::Duration};

use comfreyramp_policy::{Timestamp, lots::CopyState};
use comfreyramp_store::KeyValue;
use serde::{Deserialize, Serialize};

use super::{
    keys,
    records::{DamagedRecord, LotHead, from_json, from_packed},
};
use crate::model::{ItemResult, LotPage};

/// Maximum number of cached lots. They include those that this daemon accepted and that
/// have no results yet; with 64, a burst of these would evict the results of others.
const MAX_LOTS: usize = 256;
/// Maximum size of the cached results in bytes, so that a daemon on a small VM isn't killed
/// for lack of memory.
const MAX_BYTES: usize = 12 << 20;
/// Maximum size of the results in one answer, in bytes.
const PAGE_BYTES: usize = 900_000;

/// Where the last confirmation of a cached lot came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// The write by which this daemon accepted the lot.
    Acceptance,
    /// The store.
    Store,
    /// Another daemon, at this address.
    Daemon(SocketAddr),
}

impl fmt::Display for CopySource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CopySource::Acceptance => formatter.write_str("acceptance"),
            CopySource::Store => formatter.write_str("store"),
            CopySource::Daemon(address) => address.fmt(formatter),
        }
    }
}

/// Copy of a lot, with the results read so far.
#[derive(Clone, Debug)]
pub struct CachedLot {
    lot: String,
    /// Head of the lot.
    pub head: LotHead,
    /// Results in the order of their positions.
    pub results: Vec<ItemResult>,
    /// Whether the customer ended the lot.
    pub is_ended: bool,
    /// Number of groups that the results were stored in.
    groups: usize,
    bytes: usize,
    /// Whether the end record was read from the store. No results are written after it.
    has_end_record: bool,
    /// Last moment at which the copy was known to hold every stored result.
    pub confirmed_at: Timestamp,
    /// Source of that confirmation.
    pub source: CopySource,
    used_at: Timestamp,
}

impl CachedLot {
    fn new(lot: &str, head: LotHead, requested_at: Timestamp) -> Self {
        CachedLot {
            lot: lot.to_owned(),
            head,
            results: Vec::new(),
            is_ended: false,
            has_end_record: false,
            groups: 0,
            bytes: 0,
            confirmed_at: requested_at,
            source: CopySource::Store,
            used_at: requested_at,
        }
    }

    /// Returns whether all items have their results.
    pub fn is_complete(&self) -> bool {
        self.results.len() >= self.head.total
    }

    /// Returns the state that decides whether the copy may be sent as it is.
    pub fn state(&self) -> CopyState {
        CopyState {
            results: self.results.len(),
            is_final: self.is_complete() || self.has_end_record,
            proved_at: self.confirmed_at,
        }
    }

    /// Returns the results from position `after` on, as many as one answer may hold, but at
    /// least one if there is any.
    pub fn page(&self, after: usize) -> LotPage {
        let (length, _) = self.page_size(after);
        LotPage {
            total: self.head.total,
            next: after + length,
            results: self.results[after.min(self.results.len())..][..length].to_vec(),
        }
    }

    /// Returns the number of results on the page after a position, and of the bytes of their
    /// ids and outputs.
    pub fn page_size(&self, after: usize) -> (usize, usize) {
        let (mut length, mut bytes) = (0, 0);
        for result in self.results.iter().skip(after) {
            let size = result.output.len() + result.id.len();
            if bytes + size > PAGE_BYTES && length > 0 {
                break;
            }
            bytes += size;
            length += 1;
        }
        (length, bytes)
    }

    /// Appends records from the store. Returns false if they don't directly follow the
    /// groups of this copy.
    fn append_groups(&mut self, pairs: &[KeyValue]) -> Result<bool, DamagedRecord> {
        for pair in pairs {
            if keys::is_group(&pair.key) && pair.key > self.last_key() {
                if pair.key != self.next_key() {
                    return Ok(false);
                }
                self.append(from_packed(pair)?, self.groups + 1);
            }
            self.has_end_record |= pair.key == keys::end(&self.lot);
        }
        self.is_ended |= self.has_end_record;
        Ok(true)
    }

    /// Returns the key that sorts directly before the next group of results.
    fn last_key(&self) -> String {
        match self.groups.checked_sub(1) {
            Some(last) => keys::group(&self.lot, last),
            None => keys::before_results(&self.lot),
        }
    }

    /// Returns the key of the next group of results.
    fn next_key(&self) -> String {
        keys::group(&self.lot, self.groups)
    }

    /// Records that the copy was complete at `requested_at`. That is when the request was
    /// sent, since its answer may have taken long.
    fn confirm(&mut self, source: CopySource, requested_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(requested_at);
        self.source = source;
    }

    /// Appends results, after which the copy holds `groups` groups.
    fn append(&mut self, results: Vec<ItemResult>, groups: usize) {
        let size = |it: &ItemResult| it.output.len() + it.id.len() + size_of::<ItemResult>();
        self.bytes += results.iter().map(size).sum::<usize>();
        self.results.extend(results);
        self.groups = groups;
    }
}

/// A lot as one daemon sends it to another.
#[derive(Debug, Serialize, Deserialize)]
pub struct SentLot {
    /// Id of the lot; empty in an answer of an older version, which can't be told from one
    /// about another lot.
    #[serde(default)]
    lot: String,
    head: LotHead,
    /// Position of the first result that is sent.
    after: usize,
    results: Vec<ItemResult>,
    /// Number of groups of all results of the lot, including those before `after`.
    groups: usize,
    is_ended: bool,
}

/// Cache of lots, bounded in number and bytes.
#[derive(Debug, Default)]
pub struct LotCache {
    /// Sorted by id.
    lots: Vec<CachedLot>,
}

impl LotCache {
    /// Returns the cached copy of a lot.
    pub fn get(&self, lot: &str) -> Option<&CachedLot> {
        let index = self.index_of(lot).ok()?;
        Some(&self.lots[index])
    }

    /// Returns whether a lot belongs to a customer and was confirmed by the store or by
    /// another daemon since it was accepted here.
    pub fn is_confirmed_of(&self, lot: &str, customer: &str) -> bool {
        let is_confirmed = |it: &CachedLot| it.source != CopySource::Acceptance;
        let known = self.get(lot);
        known.is_some_and(|it| it.head.customer == customer && is_confirmed(it))
    }

    /// Returns the key after which the store may hold more of a cached lot.
    pub fn last_key(&self, lot: &str) -> Option<String> {
        self.get(lot).map(CachedLot::last_key)
    }

    /// Adds a lot that this daemon has just accepted, without results. The store didn't hold
    /// it at `requested_at`, when its write began, so that it certainly had none.
    pub fn add_accepted(
        &mut self,
        lot: &str,
        head: LotHead,
        requested_at: Timestamp,
        now: Timestamp,
    ) {
        let Err(index) = self.index_of(lot) else {
            return;
        };
        let mut known = CachedLot::new(lot, head, requested_at);
        known.source = CopySource::Acceptance;
        known.used_at = now;
        self.lots.insert(index, known);
        self.evict();
    }

    /// Adds a part of what the store holds after [`LotCache::last_key`]. More follows, so that
    /// the copy isn't confirmed. Returns whether the part continues the copy.
    pub fn add_page(
        &mut self,
        lot: &str,
        pairs: &[KeyValue],
        now: Timestamp,
    ) -> Result<bool, DamagedRecord> {
        // A new copy lacks what follows and has never been complete.
        let follows = match self.copy_to_extend(lot, pairs, Timestamp::ZERO, now)? {
            Some(known) => known.append_groups(pairs)?,
            None => false,
        };
        self.evict();
        Ok(follows)
    }

    /// Adds what the store holds after [`LotCache::last_key`], requested at `requested_at`.
    /// Returns whether the cached lot now matches the store. It doesn't if the store has no
    /// such lot, or if the copy was evicted since the request: the answer then has no head,
    /// or its results don't follow those of a new and shorter copy.
    pub fn add_stored(
        &mut self,
        lot: &str,
        pairs: &[KeyValue],
        requested_at: Timestamp,
        now: Timestamp,
    ) -> Result<bool, DamagedRecord> {
        let Some(known) = self.copy_to_extend(lot, pairs, requested_at, now)? else {
            return Ok(false);
        };
        let follows = known.append_groups(pairs)?;
        if follows {
            known.confirm(CopySource::Store, requested_at);
        }
        self.evict();
        Ok(follows)
    }

    /// Returns the copy of a lot, a new one if the records from the store have its head. A new
    /// one counts as complete at `confirmed_at`.
    fn copy_to_extend(
        &mut self,
        lot: &str,
        pairs: &[KeyValue],
        confirmed_at: Timestamp,
        now: Timestamp,
    ) -> Result<Option<&mut CachedLot>, DamagedRecord> {
        let index = match self.index_of(lot) {
            Ok(index) => index,
            Err(index) => {
                let key = keys::head(lot);
                let Some(pair) = pairs.iter().find(|it| it.key == key) else {
                    return Ok(None);
                };
                self.lots
                    .insert(index, CachedLot::new(lot, from_json(pair)?, confirmed_at));
                index
            }
        };
        let known = &mut self.lots[index];
        known.used_at = now;
        Ok(Some(known))
    }

    /// Adds results that this daemon has just written as group number `group`. They are
    /// ignored if a read of the store has brought them already, or if the copy lacks the
    /// results before them.
    pub fn add_results(
        &mut self,
        lot: &str,
        group: usize,
        results: Vec<ItemResult>,
        now: Timestamp,
    ) {
        let Ok(index) = self.index_of(lot) else {
            return;
        };
        let known = &mut self.lots[index];
        known.used_at = now;
        if known.groups == group {
            known.append(results, group + 1);
        }
        self.evict();
    }

    /// Returns what to send to a daemon that already has the results before position
    /// `after`.
    pub fn for_peer(&self, lot: &str, after: usize) -> Option<SentLot> {
        let known = self.get(lot)?;
        Some(SentLot {
            lot: lot.to_owned(),
            head: known.head.clone(),
            after,
            results: known.results.get(after..)?.to_vec(),
            groups: known.groups,
            is_ended: known.is_ended,
        })
    }

    /// Adds what a daemon sent that knows all results of the lot, requested at
    /// `requested_at`. Returns whether it is of this lot and fits the copy here.
    pub fn add_sent(
        &mut self,
        lot: &str,
        sent: SentLot,
        daemon: SocketAddr,
        requested_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        if sent.lot != lot {
            log::warn!(lot = lot, sent = sent.lot, daemon:% = daemon; "lots: a daemon sends another lot");
            return false;
        }
        let index = match self.index_of(lot) {
            Ok(index) => index,
            Err(index) if sent.after == 0 => {
                self.lots
                    .insert(index, CachedLot::new(lot, sent.head, requested_at));
                index
            }
            Err(_) => return false,
        };
        let known = &mut self.lots[index];
        // The answer to another reader may have brought some of these results meanwhile.
        let Some(overlap) = known.results.len().checked_sub(sent.after) else {
            return false;
        };
        if overlap < sent.results.len() {
            known.append(sent.results[overlap..].to_vec(), sent.groups);
        }
        known.is_ended |= sent.is_ended;
        known.confirm(CopySource::Daemon(daemon), requested_at);
        known.used_at = now;
        self.evict();
        true
    }

    /// Marks a lot as ended by its customer.
    pub fn end(&mut self, lot: &str) {
        if let Ok(index) = self.index_of(lot) {
            self.lots[index].is_ended = true;
        }
    }

    fn index_of(&self, lot: &str) -> Result<usize, usize> {
        self.lots.binary_search_by(|it| it.lot.as_str().cmp(lot))
    }

    /// Evicts the least recently used lots until the cache is within its limits.
    fn evict(&mut self) {
        let bytes = |lots: &[CachedLot]| lots.iter().map(|it| it.bytes).sum::<usize>();
        while self.lots.len() > MAX_LOTS || (self.lots.len() > 1 && bytes(&self.lots) > MAX_BYTES) {
            let oldest = self.lots.iter().enumerate().min_by_key(|it| it.1.used_at);
            let Some((index, _)) = oldest else {
                return;
            };
            self.lots.remove(index);
        }
    }

    /// Drops lots that weren't used within `kept`, the time for which callers may request
    /// results.
    pub fn drop_unused(&mut self, now: Timestamp, kept: Duration) {
        self.lots.retain(|it| now.since(it.used_at) < kept);
    }
}
