//! Open lots as shown to operators.

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
    lot_watch::{lot_id_of, read_index},
};

/// The minimum age of a lot before its pace is used for a forecast.
const MIN_FORECAST_AGE: Duration = Duration::from_secs(60);

/// Whether a lot is expected to meet its due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DueOutlook {
    /// It is expected to be on time, or nothing is known yet.
    OnTime,
    /// It is expected to miss its due time at its current pace.
    WillBeLate,
    /// Its due time has passed.
    IsLate,
}

/// An open lot as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OpenLot {
    /// The lot's id.
    pub id: String,
    /// The customer that owns the lot.
    pub customer: String,
    /// The model that all items use.
    pub model: String,
    /// Whether the lot is cancelled. It remains open until none of its items
    /// runs.
    pub is_cancelling: bool,
    /// When the lot was created. All times are in seconds since 1970.
    pub created_at: u64,
    /// When the lot is due.
    pub due_at: u64,
    /// The number of items.
    pub items: u32,
    /// Items with a recorded answer.
    pub completed: u32,
    /// Items with a recorded error.
    pub failed: u32,
    /// Segments that a daemon currently works on.
    pub claimed_segments: usize,
    /// Whether the lot is expected to meet its due time.
    pub outlook: DueOutlook,
    /// By how many seconds the lot is late or expected to be late.
    pub late_by: u64,
}

impl OpenLot {
    /// Builds a lot's description from its index keys. Returns `None` if the
    /// lot isn't open.
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
        let forecast = LotForecast::judge(to_timestamp(mark.due_at), needs, to_timestamp(now));
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

/// Returns how long the remaining items take at the mean pace since the lot was
/// created. Returns `None` for a lot that is too young or has no results yet.
fn time_needed(mark: &OpenMark, items: u32, done: u32, now: WallTime) -> Option<Duration> {
    let age = now.since(mark.created_at);
    if age < MIN_FORECAST_AGE || done == 0 {
        return None;
    }
    let left = items.saturating_sub(done);
    let seconds = age.as_secs_f64() * f64::from(left) / f64::from(done);
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

fn to_timestamp(at: WallTime) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(at.0)
}

impl<S: PlatformStore, C: WallClock> LotStore<S, C> {
    /// Returns all customers' open lots in the order of their ids. It reads the
    /// whole index and is meant for occasional use by operators, not for a
    /// loop.
    pub async fn open_lots(&self) -> Result<Vec<OpenLot>, LotError> {
        let (pairs, _) = read_index(&self.store).await?;
        let now = self.clock.now();
        let mut lots = Vec::new();
        for pairs in pairs.chunk_by(|a, b| lot_id_of(&a.key) == lot_id_of(&b.key)) {
            let id = lot_id_of(&pairs[0].key).unwrap_or_default();
            lots.extend(OpenLot::read(id, pairs, now)?);
        }
        Ok(lots)
    }

    /// Returns an open lot of any customer.
    pub async fn open_lot(&self, id: &str) -> Result<OpenLot, LotError> {
        check_id(id)?;
        let range = KeyRange::Prefix(LotKeys.index_of(id));
        let answer = self.retry.range(&self.store, range, 0).await?;
        let lot = OpenLot::read(id, &answer.pairs, self.clock.now())?;
        lot.ok_or(LotError::NotFound("open lot"))
    }
}
