//! What a daemon has read of lots. Heads and results never change, so that what
//! is here needs no second look at the store.

use std::{fmt, net::SocketAddr, time::Duration};

use comfreyramp_policy::{Timestamp, lots::CopyState};
use comfreyramp_store::KeyValue;
use serde::{Deserialize, Serialize};

use super::{
    keys,
    records::{DamagedRecord, LotHead, from_json, from_packed},
};
use crate::model::{ItemResult, LotPage};

/// The lots that are kept at most.
const MAX_LOTS: usize = 64;
/// The bytes of results that are kept at most, so that a daemon of a small VM
/// isn't killed for its memory.
const MAX_BYTES: usize = 12 << 20;
/// The bytes of results that one answer holds at most.
const PAGE_BYTES: usize = 900_000;

/// Where a daemon learnt last what there is of a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CopySource {
    /// The store.
    Store,
    /// Another daemon, at this address.
    Daemon(SocketAddr),
}

impl fmt::Display for CopySource {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CopySource::Store => formatter.write_str("store"),
            CopySource::Daemon(address) => address.fmt(formatter),
        }
    }
}

/// A lot as far as it was read.
#[derive(Clone, Debug)]
pub struct CachedLot {
    lot: String,
    /// Its head.
    pub head: LotHead,
    /// Its results by position.
    pub results: Vec<ItemResult>,
    /// Whether its customer ended it.
    pub is_ended: bool,
    /// How many groups of results it has.
    groups: usize,
    bytes: usize,
    /// Whether its end was read from the store. Nothing is written behind that.
    has_end_record: bool,
    /// When this was last certainly all there is.
    pub confirmed_at: Timestamp,
    /// Who said so.
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

    /// Whether all of its items have their results.
    pub fn is_complete(&self) -> bool {
        self.results.len() >= self.head.total
    }

    /// What decides whether it may be shown as it is.
    pub fn state(&self) -> CopyState {
        CopyState {
            results: self.results.len(),
            is_final: self.is_complete() || self.has_end_record,
            proved_at: self.confirmed_at,
        }
    }

    /// Results from a position on; one at least, if there is one.
    pub fn page(&self, after: usize) -> LotPage {
        let mut page = LotPage {
            total: self.head.total,
            next: after,
            results: Vec::new(),
        };
        let mut bytes = 0;
        for result in self.results.iter().skip(after) {
            bytes += result.output.len() + result.id.len();
            if bytes > PAGE_BYTES && !page.results.is_empty() {
                break;
            }
            page.results.push(result.clone());
        }
        page.next = after + page.results.len();
        page
    }

    /// Takes in what the store holds. Returns whether it follows on what is known.
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

    /// The key after which further results come.
    fn last_key(&self) -> String {
        match self.groups.checked_sub(1) {
            Some(last) => keys::group(&self.lot, last),
            None => keys::before_results(&self.lot),
        }
    }

    /// The key under which the next results will be.
    fn next_key(&self) -> String {
        keys::group(&self.lot, self.groups)
    }

    /// Notes that this was all there is at `asked_at`, the moment at which that was
    /// asked. Its answer may have been on its way for long.
    fn confirm(&mut self, source: CopySource, requested_at: Timestamp) {
        self.confirmed_at = self.confirmed_at.max(requested_at);
        self.source = source;
    }

    /// Adds results, up to a number of groups.
    fn append(&mut self, results: Vec<ItemResult>, groups: usize) {
        self.bytes += results.iter().map(|it| it.output.len()).sum::<usize>();
        self.results.extend(results);
        self.groups = groups;
    }
}

/// A lot as daemons show it to each other.
#[derive(Debug, Serialize, Deserialize)]
pub struct SentLot {
    head: LotHead,
    /// The position of the first result that is shown.
    after: usize,
    results: Vec<ItemResult>,
    /// How many groups there are in all.
    groups: usize,
    is_ended: bool,
}

/// What a daemon has read of lots.
#[derive(Debug, Default)]
pub struct LotCache {
    /// Sorted by id.
    lots: Vec<CachedLot>,
}

impl LotCache {
    /// A lot as far as it was read.
    pub fn get(&self, lot: &str) -> Option<&CachedLot> {
        let index = self.index_of(lot).ok()?;
        Some(&self.lots[index])
    }

    /// Whether a lot is known to belong to a customer.
    pub fn belongs_to(&self, lot: &str, customer: &str) -> bool {
        self.get(lot).is_some_and(|it| it.head.customer == customer)
    }

    /// The last key that was read of a lot, after which there may be more.
    pub fn last_key(&self, lot: &str) -> Option<String> {
        self.get(lot).map(CachedLot::last_key)
    }

    /// Takes in what the store holds after [`LotCache::last_key`], asked at `asked_at`.
    /// Returns whether the lot is known as it is there. It isn't where the store has no
    /// such lot, nor where the copy was dropped since: behind it there is no head, or
    /// there are results that don't follow on a new and shorter copy.
    pub fn take(
        &mut self,
        lot: &str,
        pairs: &[KeyValue],
        requested_at: Timestamp,
        now: Timestamp,
    ) -> Result<bool, DamagedRecord> {
        let index = match self.index_of(lot) {
            Ok(index) => index,
            Err(index) => {
                let key = keys::head(lot);
                let Some(pair) = pairs.iter().find(|it| it.key == key) else {
                    return Ok(false);
                };
                self.lots
                    .insert(index, CachedLot::new(lot, from_json(pair)?, requested_at));
                index
            }
        };
        let known = &mut self.lots[index];
        known.used_at = now;
        let follows = known.append_groups(pairs)?;
        if follows {
            known.confirm(CopySource::Store, requested_at);
        }
        self.evict();
        Ok(follows)
    }

    /// Takes in results that this daemon has just written as a group of this number. A
    /// read of the store may have brought them already; a copy that lacks what was
    /// before them stays as it is.
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

    /// What is shown to a daemon that knows the results before a position.
    pub fn for_peer(&self, lot: &str, after: usize) -> Option<SentLot> {
        let known = self.get(lot)?;
        Some(SentLot {
            head: known.head.clone(),
            after,
            results: known.results.get(after..)?.to_vec(),
            groups: known.groups,
            is_ended: known.is_ended,
        })
    }

    /// Takes in what a daemon showed that knows of all results, asked at `asked_at`.
    /// Returns whether it fits to what is known here.
    pub fn add_sent(
        &mut self,
        lot: &str,
        sent: SentLot,
        daemon: SocketAddr,
        requested_at: Timestamp,
        now: Timestamp,
    ) -> bool {
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
        // Another reader's answer may have brought a part of it meanwhile.
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

    /// Notes that a lot was ended.
    pub fn end(&mut self, lot: &str) {
        if let Ok(index) = self.index_of(lot) {
            self.lots[index].is_ended = true;
        }
    }

    fn index_of(&self, lot: &str) -> Result<usize, usize> {
        self.lots.binary_search_by(|it| it.lot.as_str().cmp(lot))
    }

    /// Drops the lots that were left alone for longest.
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

    /// Drops lots whose results nobody may ask for any more.
    pub fn drop_unused(&mut self, now: Timestamp, kept: Duration) {
        self.lots.retain(|it| now.since(it.used_at) < kept);
    }
}
