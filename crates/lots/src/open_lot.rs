//! Open lots as operators see them.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, lots::LotForecast};
use comfreyramp_store::{KeyRange, KeyValue, PlatformStore};
use serde::{Deserialize, Serialize};

use crate::{
    LotError, LotKeys, LotStore, WallClock, WallTime,
    codec::from_json,
    file_store::check_id,
    lot_record::OpenMark,
    lot_store::IndexState,
    lot_watch::{lot_of, read_index},
};

/// No pace is judged before a lot is this old.
const SETTLE_SPAN: Duration = Duration::from_secs(60);

/// Whether a lot will make its due time, as a word.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DueOutlook {
    /// It will, or nothing is known yet.
    OnTime,
    /// At its pace so far it will miss it.
    WillBeLate,
    /// It has missed it.
    IsLate,
}

/// An open lot as operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenLot {
    /// Its id.
    pub id: String,
    /// Whose it is.
    pub customer: String,
    /// The model of its items.
    pub model: String,
    /// Whether its cancel was recorded; it is open until nothing of it runs.
    pub is_cancelling: bool,
    /// When it was created. All times are seconds since 1970.
    pub created_at: u64,
    /// When it is due.
    pub due_at: u64,
    /// All of its items.
    pub items: u32,
    /// Those with a recorded answer.
    pub completed: u32,
    /// Those with a recorded error.
    pub failed: u32,
    /// Segments that some daemon works on.
    pub claimed_segments: usize,
    /// Whether it will be done in time.
    pub outlook: DueOutlook,
    /// By how many seconds it is, or will be, late.
    pub late_by: u64,
}

impl OpenLot {
    /// Reads a lot from its index keys, or nothing if it isn't open.
    fn read(id: &str, pairs: &[KeyValue], now: WallTime) -> Result<Option<Self>, LotError> {
        let open = LotKeys.open(id);
        let Some(pair) = pairs.iter().find(|it| it.key == open) else {
            return Ok(None);
        };
        let mark: OpenMark = from_json(pair)?;
        let state = IndexState::read(pairs)?;
        let counts = state.counts();
        let items: u32 = mark.segments.iter().map(|&it| u32::from(it)).sum();
        let done = counts.completed + counts.failed;
        let needs = time_needed(&mark, items, done, now);
        let forecast = LotForecast::judge(on_clock(mark.due_at), needs, on_clock(now));
        let (outlook, late) = match forecast {
            LotForecast::OnTime => (DueOutlook::OnTime, Duration::ZERO),
            LotForecast::WillBeLate(late) => (DueOutlook::WillBeLate, late),
            LotForecast::IsLate(late) => (DueOutlook::IsLate, late),
        };
        Ok(Some(OpenLot {
            id: id.to_owned(),
            customer: mark.customer,
            model: mark.model,
            is_cancelling: state.cancelled_at.is_some(),
            created_at: mark.created_at.as_secs(),
            due_at: mark.due_at.as_secs(),
            items,
            completed: counts.completed,
            failed: counts.failed,
            claimed_segments: state.claims,
            outlook,
            late_by: late.as_secs(),
        }))
    }
}

/// How long the rest takes at the mean pace since the lot was created. Of a lot
/// that still waits for its turn nothing is known.
fn time_needed(mark: &OpenMark, items: u32, done: u32, now: WallTime) -> Option<Duration> {
    let age = now.left(mark.created_at);
    if age < SETTLE_SPAN || done == 0 {
        return None;
    }
    let left = items.saturating_sub(done);
    let seconds = age.as_secs_f64() * f64::from(left) / f64::from(done);
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn on_clock(at: WallTime) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(at.0)
}

impl<S: PlatformStore, C: WallClock> LotStore<S, C> {
    /// All customers' open lots, in the order of their ids. Reads the whole
    /// index: meant for an operator's look, not for a loop.
    pub async fn open_lots(&self) -> Result<Vec<OpenLot>, LotError> {
        let (pairs, _) = read_index(&self.store).await?;
        let now = self.clock.now();
        let mut lots = Vec::new();
        for pairs in pairs.chunk_by(|a, b| lot_of(&a.key) == lot_of(&b.key)) {
            let id = lot_of(&pairs[0].key).unwrap_or_default();
            lots.extend(OpenLot::read(id, pairs, now)?);
        }
        Ok(lots)
    }

    /// An open lot of any customer.
    pub async fn open_lot(&self, id: &str) -> Result<OpenLot, LotError> {
        check_id(id)?;
        let range = KeyRange::Prefix(LotKeys.index_of(id));
        let answer = self.retry.range(&self.store, range, 0).await?;
        let lot = OpenLot::read(id, &answer.pairs, self.clock.now())?;
        lot.ok_or(LotError::NotFound("open lot"))
    }
}
