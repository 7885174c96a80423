//! A daemon's local view of the open lots.

use std::sync::Arc;

use comfreyramp_policy::{
    Timestamp,
    lots::{LotForecast, PaceMeter},
};
use comfreyramp_store::{KeyValue, WatchBatch};

use crate::{
    LotError, LotKeys, SegmentProgress, WallTime,
    codec::from_json,
    lot_record::{CancelMark, OpenMark},
};

/// What the view knows of a segment. It may be out of date; the store verifies
/// claims and writes of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct SegmentEntry {
    pub(crate) is_claimed: bool,
    pub(crate) recorded: u16,
}

/// What the view knows of an open lot.
#[derive(Clone, Debug)]
pub(crate) struct LotEntry {
    pub(crate) id: Arc<str>,
    pub(crate) mark: Option<Arc<OpenMark>>,
    pub(crate) cancelled_at: Option<WallTime>,
    pub(crate) segments: Vec<SegmentEntry>,
    pub(crate) meter: PaceMeter,
    /// Whether the log already says that the lot will be late.
    pub(crate) is_reported_late: bool,
    /// When this daemon finishes the lot, unless another one has done so
    /// before.
    pub(crate) finish_at: Option<Timestamp>,
}

impl LotEntry {
    fn new(id: &str) -> Self {
        LotEntry {
            id: id.into(),
            mark: None,
            cancelled_at: None,
            segments: Vec::new(),
            meter: PaceMeter::default(),
            is_reported_late: false,
            finish_at: None,
        }
    }

    pub(crate) fn items(&self) -> u32 {
        let segments = self.mark.iter().flat_map(|it| &it.segments);
        segments.map(|&it| u32::from(it)).sum()
    }

    pub(crate) fn recorded(&self) -> u32 {
        self.segments.iter().map(|it| u32::from(it.recorded)).sum()
    }

    pub(crate) fn remaining(&self) -> u32 {
        self.items().saturating_sub(self.recorded())
    }

    /// Logs a warning when the lot is expected to miss its due time, while
    /// there is time to act on it, and a message if it is on time again. Each
    /// change is logged once.
    pub(crate) fn report_lateness(&mut self, forecast: LotForecast) {
        let is_late = forecast != LotForecast::OnTime;
        if is_late == self.is_reported_late {
            return;
        }
        self.is_reported_late = is_late;
        let id = &self.id;
        match forecast {
            LotForecast::OnTime => log::info!("lots: lot {id} is expected to be on time again"),
            LotForecast::WillBeLate(late) => {
                log::warn!(
                    "lots: lot {id} is expected to be {} s late at its current pace",
                    late.as_secs()
                );
            }
            LotForecast::IsLate(_) => log::warn!("lots: lot {id} is past its due time"),
        }
    }

    /// Returns whether all that is left is to write the lot's outcome. A
    /// cancelled lot isn't finished before its last claim is gone, since until
    /// then some of its items may be running.
    pub(crate) fn is_ready_to_finish(&self) -> bool {
        if self.mark.is_none() {
            return false;
        }
        match self.cancelled_at {
            Some(_) => !self.segments.iter().any(|it| it.is_claimed),
            None => self.remaining() == 0,
        }
    }

    pub(crate) fn segment(&mut self, segment: usize) -> &mut SegmentEntry {
        if self.segments.len() <= segment {
            self.segments.resize(segment + 1, SegmentEntry::default());
        }
        &mut self.segments[segment]
    }

    /// Returns the segments that can be claimed, each with whether it has
    /// recorded results.
    pub(crate) fn free_segments(&self) -> impl Iterator<Item = (usize, bool)> {
        let mark = self.mark.as_ref().filter(|_| self.cancelled_at.is_none());
        let items = mark.into_iter().flat_map(|it| it.segments.iter());
        items.enumerate().filter_map(|(segment, &items)| {
            let entry = self.segments.get(segment).copied().unwrap_or_default();
            let is_free = !entry.is_claimed && entry.recorded < items;
            is_free.then_some((segment, entry.recorded > 0))
        })
    }
}

/// The open lots, sorted by id.
#[derive(Clone, Debug, Default)]
pub(crate) struct LotView {
    pub(crate) lots: Vec<LotEntry>,
}

impl LotView {
    pub(crate) fn get(&self, id: &str) -> Option<&LotEntry> {
        let index = self.lots.binary_search_by(|it| (*it.id).cmp(id)).ok()?;
        Some(&self.lots[index])
    }

    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut LotEntry> {
        let index = self.lots.binary_search_by(|it| (*it.id).cmp(id)).ok()?;
        Some(&mut self.lots[index])
    }

    /// Replaces the view by a full read of the index, but keeps measured paces,
    /// reported delays and finishing times.
    pub(crate) fn reset(&mut self, pairs: &[KeyValue]) {
        let old = std::mem::take(&mut self.lots);
        for pair in pairs {
            self.put(pair);
        }
        for entry in old {
            if let Some(fresh) = self.get_mut(&entry.id) {
                fresh.meter = entry.meter;
                fresh.is_reported_late = entry.is_reported_late;
                fresh.finish_at = entry.finish_at;
            }
        }
    }

    pub(crate) fn apply(&mut self, batch: &WatchBatch) {
        // A key that was deleted and written again within one message is in
        // both lists. The write is the later one, so it is applied last.
        for key in &batch.deleted {
            self.delete(key);
        }
        for pair in &batch.written {
            self.put(pair);
        }
    }

    fn put(&mut self, pair: &KeyValue) {
        if let Err(error) = self.try_put(pair) {
            log::error!("lots: {error}");
        }
    }

    fn try_put(&mut self, pair: &KeyValue) -> Result<(), LotError> {
        let Some((lot, key)) = IndexKey::parse(&pair.key) else {
            return Ok(());
        };
        match key {
            IndexKey::Open => {
                let mark: OpenMark = from_json(pair)?;
                self.entry(lot).mark = Some(Arc::new(mark));
            }
            IndexKey::Cancel => {
                let mark: CancelMark = from_json(pair)?;
                self.entry(lot).cancelled_at = Some(mark.at);
            }
            IndexKey::Claim(segment) => self.entry(lot).segment(segment).is_claimed = true,
            IndexKey::Progress(segment) => {
                let progress: SegmentProgress = from_json(pair)?;
                self.entry(lot).segment(segment).recorded = progress.count();
            }
        }
        Ok(())
    }

    fn delete(&mut self, key: &str) {
        let Some((lot, key)) = IndexKey::parse(key) else {
            return;
        };
        match key {
            IndexKey::Open => self.lots.retain(|it| *it.id != *lot),
            IndexKey::Claim(segment) => {
                if let Some(entry) = self.get_mut(lot) {
                    entry.segment(segment).is_claimed = false;
                }
            }
            IndexKey::Cancel | IndexKey::Progress(_) => {}
        }
    }

    fn entry(&mut self, id: &str) -> &mut LotEntry {
        let index = match self.lots.binary_search_by(|it| (*it.id).cmp(id)) {
            Ok(index) => index,
            Err(index) => {
                self.lots.insert(index, LotEntry::new(id));
                index
            }
        };
        &mut self.lots[index]
    }
}

/// The kind of an index key, with its segment number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IndexKey {
    Open,
    Cancel,
    Claim(usize),
    Progress(usize),
}

impl IndexKey {
    fn parse(key: &str) -> Option<(&str, Self)> {
        let rest = key.strip_prefix(LotKeys.index().as_str())?;
        let (lot, rest) = rest.split_once('/')?;
        let key = match rest.split_once('/') {
            None if rest == "open" => IndexKey::Open,
            None if rest == "cancel" => IndexKey::Cancel,
            Some(("claim", segment)) => IndexKey::Claim(segment.parse().ok()?),
            Some(("progress", segment)) => IndexKey::Progress(segment.parse().ok()?),
            _ => return None,
        };
        Some((lot, key))
    }
}
