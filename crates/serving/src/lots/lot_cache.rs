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
const MOST_LOTS: usize = 64;
/// The bytes of results that are kept at most, so that a daemon of a small VM
/// isn't killed for its memory.
const MOST_BYTES: usize = 12 << 20;
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
pub struct KnownLot {
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
    is_closed: bool,
    /// When this was last certainly all there is.
    pub proved_at: Timestamp,
    /// Who said so.
    pub source: CopySource,
    used_at: Timestamp,
}

impl KnownLot {
    fn new(lot: &str, head: LotHead, asked_at: Timestamp) -> Self {
        KnownLot {
            lot: lot.to_owned(),
            head,
            results: Vec::new(),
            is_ended: false,
            is_closed: false,
            groups: 0,
            bytes: 0,
            proved_at: asked_at,
            source: CopySource::Store,
            used_at: asked_at,
        }
    }

    /// Whether all of its items have their results.
    pub fn is_whole(&self) -> bool {
        self.results.len() >= self.head.total
    }

    /// What decides whether it may be shown as it is.
    pub fn state(&self) -> CopyState {
        CopyState {
            results: self.results.len(),
            is_final: self.is_whole() || self.is_closed,
            proved_at: self.proved_at,
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
    fn take(&mut self, pairs: &[KeyValue]) -> Result<bool, DamagedRecord> {
        for pair in pairs {
            if keys::is_group(&pair.key) && pair.key > self.last_key() {
                if pair.key != self.next_key() {
                    return Ok(false);
                }
                self.append(from_packed(pair)?, self.groups + 1);
            }
            self.is_closed |= pair.key == keys::end(&self.lot);
        }
        self.is_ended |= self.is_closed;
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
    fn prove(&mut self, source: CopySource, asked_at: Timestamp) {
        self.proved_at = self.proved_at.max(asked_at);
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
pub struct ShownLot {
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
    lots: Vec<KnownLot>,
}

impl LotCache {
    /// A lot as far as it was read.
    pub fn get(&self, lot: &str) -> Option<&KnownLot> {
        let place = self.place(lot).ok()?;
        Some(&self.lots[place])
    }

    /// Whether a lot is known to belong to a customer.
    pub fn belongs_to(&self, lot: &str, customer: &str) -> bool {
        self.get(lot).is_some_and(|it| it.head.customer == customer)
    }

    /// The last key that was read of a lot, after which there may be more.
    pub fn last_key(&self, lot: &str) -> Option<String> {
        self.get(lot).map(KnownLot::last_key)
    }

    /// Takes in what the store holds after [`LotCache::last_key`], asked at `asked_at`.
    /// Returns whether the lot is known as it is there. It isn't where the store has no
    /// such lot, nor where the copy was dropped since: behind it there is no head, or
    /// there are results that don't follow on a new and shorter copy.
    pub fn take(
        &mut self,
        lot: &str,
        pairs: &[KeyValue],
        asked_at: Timestamp,
        now: Timestamp,
    ) -> Result<bool, DamagedRecord> {
        let place = match self.place(lot) {
            Ok(place) => place,
            Err(place) => {
                let key = keys::head(lot);
                let Some(pair) = pairs.iter().find(|it| it.key == key) else {
                    return Ok(false);
                };
                self.lots
                    .insert(place, KnownLot::new(lot, from_json(pair)?, asked_at));
                place
            }
        };
        let known = &mut self.lots[place];
        known.used_at = now;
        let follows = known.take(pairs)?;
        if follows {
            known.prove(CopySource::Store, asked_at);
        }
        self.shrink();
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
        let Ok(place) = self.place(lot) else {
            return;
        };
        let known = &mut self.lots[place];
        known.used_at = now;
        if known.groups == group {
            known.append(results, group + 1);
        }
        self.shrink();
    }

    /// What is shown to a daemon that knows the results before a position.
    pub fn show(&self, lot: &str, after: usize) -> Option<ShownLot> {
        let known = self.get(lot)?;
        Some(ShownLot {
            head: known.head.clone(),
            after,
            results: known.results.get(after..)?.to_vec(),
            groups: known.groups,
            is_ended: known.is_ended,
        })
    }

    /// Takes in what a daemon showed that knows of all results, asked at `asked_at`.
    /// Returns whether it fits to what is known here.
    pub fn take_shown(
        &mut self,
        lot: &str,
        shown: ShownLot,
        daemon: SocketAddr,
        asked_at: Timestamp,
        now: Timestamp,
    ) -> bool {
        let place = match self.place(lot) {
            Ok(place) => place,
            Err(place) if shown.after == 0 => {
                self.lots
                    .insert(place, KnownLot::new(lot, shown.head, asked_at));
                place
            }
            Err(_) => return false,
        };
        let known = &mut self.lots[place];
        // Another reader's answer may have brought a part of it meanwhile.
        let Some(overlap) = known.results.len().checked_sub(shown.after) else {
            return false;
        };
        if overlap < shown.results.len() {
            known.append(shown.results[overlap..].to_vec(), shown.groups);
        }
        known.is_ended |= shown.is_ended;
        known.prove(CopySource::Daemon(daemon), asked_at);
        known.used_at = now;
        self.shrink();
        true
    }

    /// Notes that a lot was ended.
    pub fn end(&mut self, lot: &str) {
        if let Ok(place) = self.place(lot) {
            self.lots[place].is_ended = true;
        }
    }

    fn place(&self, lot: &str) -> Result<usize, usize> {
        self.lots.binary_search_by(|it| it.lot.as_str().cmp(lot))
    }

    /// Drops the lots that were left alone for longest.
    fn shrink(&mut self) {
        let bytes = |lots: &[KnownLot]| lots.iter().map(|it| it.bytes).sum::<usize>();
        while self.lots.len() > MOST_LOTS || (self.lots.len() > 1 && bytes(&self.lots) > MOST_BYTES)
        {
            let oldest = self.lots.iter().enumerate().min_by_key(|it| it.1.used_at);
            let Some((place, _)) = oldest else {
                return;
            };
            self.lots.remove(place);
        }
    }

    /// Drops lots whose results nobody may ask for any more.
    pub fn forget_before(&mut self, now: Timestamp, kept: Duration) {
        self.lots.retain(|it| now.since(it.used_at) < kept);
    }
}
