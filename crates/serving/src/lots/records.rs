//! Records of lots in the store, and their encoding.

use std::time::Duration;

use bytes::Bytes;
use comfreyramp_policy::lots::FailureCount;
use comfreyramp_store::{KeyValue, LeaseId};
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::model::{ItemResult, LotItem};

/// A low zstd level, fast enough for a small VM. Higher ones hardly make item bodies
/// smaller.
const COMPRESSION_LEVEL: i32 = 1;
/// Fraction of the store's largest value that a pack may fill before compression, which
/// makes random bytes longer.
const PACK_FILL_FRACTION: f64 = 0.8;

/// Size in bytes of the fields of a result other than its id and output, and of an item other
/// than its body, path and headers, as JSON.
const RESULT_FIELD_BYTES: usize = 50;
const ITEM_FIELD_BYTES: usize = 100;

/// Head of a lot, which never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotHead {
    /// Customer that submitted the lot.
    pub customer: String,
    /// Host that its route belongs to.
    pub host: String,
    /// Number of items.
    pub total: usize,
    /// How often servers may fail at an item before it is given up.
    pub attempts: u32,
    /// When the lot was first submitted, in Unix milliseconds.
    pub submitted: u64,
    /// When its items should be done, in Unix milliseconds.
    pub due: u64,
    /// When items without a result are given up, in Unix milliseconds by the clock of the
    /// daemon that accepted the lot.
    pub given_up: u64,
    /// Name of its route. It is empty for lots written by an earlier version.
    #[serde(default)]
    pub route: String,
    /// Version of the settings of the daemon that accepted it. It is zero for lots written
    /// by an earlier version.
    #[serde(default)]
    pub settings: u64,
}

impl LotHead {
    /// Returns how long items without a result are kept.
    pub fn retention(&self) -> Duration {
        Duration::from_millis(self.given_up.saturating_sub(self.submitted))
    }
}

/// Claim on a lot by the daemon that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// Name of the daemon.
    pub(super) daemon: String,
    /// Incarnation of the daemon's process.
    pub(super) incarnation: u64,
    /// Lease that the claim is bound to. It is part of the record because the same
    /// incarnation may claim the lot again after its lease expired, and that has to be a
    /// different claim.
    pub(super) lease: i64,
}

/// How long a lot has been kept at least, by the clocks of the daemons that ran it. It is
/// written along with other records of the lot.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AgeRecord {
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub(super) age_ms: Duration,
}

/// How often servers failed at an item. A daemon that takes the lot over continues this
/// count. Earlier versions wrote and read only the number of faults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ItemFaults {
    /// Id of the item.
    pub(super) item: String,
    /// Its failures.
    #[serde(flatten)]
    pub(super) failures: FailureCount,
}

/// Names one hold of a lot by a daemon. Its mark is written with the claim and deleted when
/// the claim is released, so that a mark that is left is that of a daemon that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HoldMark {
    /// Incarnation of the daemon's process.
    pub(super) incarnation: u64,
    /// Lease that the claim was first bound to.
    pub(super) lease: LeaseId,
}

/// Open mark: summary of a lot that isn't finished. Marks written by an earlier version
/// hold only the due time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OpenMark {
    /// When the lot is due, in Unix milliseconds.
    pub(super) due: u64,
    /// Customer that submitted the lot.
    #[serde(default)]
    pub(super) customer: String,
    /// Name of its route.
    #[serde(default)]
    pub(super) route: String,
    /// Tokens of all items that have no result yet.
    #[serde(default)]
    pub(super) tokens: u64,
}

impl OpenMark {
    /// Creates the mark of a lot of which `tokens` wait.
    pub(super) fn new(head: &LotHead, tokens: u64) -> Self {
        OpenMark {
            due: head.due,
            customer: head.customer.clone(),
            route: head.route.clone(),
            tokens,
        }
    }
}

/// A record that can't be parsed. It is either damaged or written by a newer version.
#[derive(Debug, thiserror::Error)]
#[error("record {key} can't be parsed: {problem}")]
pub struct DamagedRecord {
    key: String,
    problem: String,
}

/// Encodes a small record as JSON.
pub(super) fn to_json(record: &impl Serialize) -> Bytes {
    // All records are types of this crate with text keys, for which encoding can't fail.
    serde_json::to_vec(record).unwrap_or_default().into()
}

/// Encodes a large record as compressed JSON.
pub(super) fn to_packed(record: &impl Serialize) -> Bytes {
    let json = to_json(record);
    match zstd::encode_all(json.as_ref(), COMPRESSION_LEVEL) {
        Ok(packed) => packed.into(),
        Err(error) => {
            log::error!(error:% = error; "lots: compression failed, a record is stored uncompressed");
            json
        }
    }
}

pub(super) fn from_json<T: DeserializeOwned>(pair: &KeyValue) -> Result<T, DamagedRecord> {
    serde_json::from_slice(&pair.value).map_err(|error| damaged(pair, &error))
}

pub(super) fn from_packed<T: DeserializeOwned>(pair: &KeyValue) -> Result<T, DamagedRecord> {
    let json = match zstd::decode_all(pair.value.as_ref()) {
        Ok(json) => json,
        // The record was stored uncompressed.
        Err(_) => pair.value.to_vec(),
    };
    serde_json::from_slice(&json).map_err(|error| damaged(pair, &error))
}

fn damaged(pair: &KeyValue, problem: &dyn std::fmt::Display) -> DamagedRecord {
    DamagedRecord {
        key: pair.key.clone(),
        problem: problem.to_string(),
    }
}

/// Returns how many of the results, from the first on, fit in one value of the store. It is
/// at least one: whether a single result fits is known once it is compressed.
pub(super) fn group_length(results: &[ItemResult], value_bytes: usize) -> usize {
    let size = |it: &ItemResult| it.id.len() + it.output.len() + RESULT_FIELD_BYTES;
    fitting_length(results, size, value_bytes)
}

/// Groups items into as few values as the store's size limit allows.
pub(super) fn pack_items(items: &[LotItem], value_bytes: usize) -> Vec<Bytes> {
    // Bodies are base64 in JSON, and compress to about their original length.
    let size = |it: &LotItem| {
        let headers: usize = it.headers.iter().map(|it| it.0.len() + it.1.len()).sum();
        it.body.len() + it.path.len() + headers + ITEM_FIELD_BYTES
    };
    let mut packs = Vec::new();
    let mut rest = items;
    while !rest.is_empty() {
        let (pack, others) = rest.split_at(fitting_length(rest, size, value_bytes));
        packs.push(to_packed(&pack));
        rest = others;
    }
    packs
}

/// Returns how many of the records, from the first on, fit in one value of the store, but at
/// least one.
fn fitting_length<T>(records: &[T], size: impl Fn(&T) -> usize, value_bytes: usize) -> usize {
    let limit = (value_bytes as f64 * PACK_FILL_FRACTION) as usize;
    let mut sum = 0;
    let excess = records.iter().position(|it| {
        sum += size(it);
        sum > limit
    });
    excess.map_or(records.len(), |it| it.max(1))
}
