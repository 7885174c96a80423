//! What the store holds of lots.

use bytes::Bytes;
use comfreyramp_store::KeyValue;
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::model::LotItem;

/// Fast enough for a small VM; bodies hardly compress further anyway.
const COMPRESSION_LEVEL: i32 = 1;
/// The part of the store's longest value that a pack fills before compression,
/// which may make random bytes longer.
const PACK_FILL_FRACTION: f64 = 0.8;

/// The head of a lot. It never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotHead {
    /// Whose it is.
    pub customer: String,
    /// The host that its route belongs to.
    pub host: String,
    /// How many items it has.
    pub total: usize,
    /// How often an item may fail.
    pub attempts: u32,
    /// When it was first handed in, in Unix milliseconds.
    pub submitted: u64,
    /// When it is due.
    pub due: u64,
    /// From when on items may be given up.
    pub given_up: u64,
    /// Its route, by name. Lots of a former version have none.
    #[serde(default)]
    pub route: String,
}

/// Who runs a lot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ClaimRecord {
    /// The daemon.
    pub(super) daemon: String,
    /// Which of its lives.
    pub(super) incarnation: u64,
    /// The lease that the claim hangs on. After it lapsed the same life may claim
    /// again, which must look like another claim.
    pub(super) lease: i64,
}

/// How often servers failed at an item. Whoever takes its lot over counts on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct ItemFaults {
    /// The item.
    pub(super) item: String,
    /// How often.
    pub(super) faults: u32,
}

/// What there is to know of a lot while items of it wait. Lots of a former version tell
/// only when they are due.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct OpenMark {
    /// When the lot is due, in Unix milliseconds.
    pub(super) due: u64,
    /// Whose it is.
    #[serde(default)]
    pub(super) customer: String,
    /// Its route, by name.
    #[serde(default)]
    pub(super) route: String,
    /// The tokens of its items without a result.
    #[serde(default)]
    pub(super) tokens: u64,
}

impl OpenMark {
    /// The mark of a lot of which so many tokens wait.
    pub(super) fn new(head: &LotHead, tokens: u64) -> Self {
        OpenMark {
            due: head.due,
            customer: head.customer.clone(),
            route: head.route.clone(),
            tokens,
        }
    }
}

/// A record that can't be read, which only damage or a newer version explains.
#[derive(Debug, thiserror::Error)]
#[error("{key} can't be read: {problem}")]
pub struct DamagedRecord {
    key: String,
    problem: String,
}

/// Writes a small record.
pub(super) fn to_json(record: &impl Serialize) -> Bytes {
    // Own types with text keys: serializing can't fail.
    serde_json::to_vec(record).unwrap_or_default().into()
}

/// Writes a large record, compressed.
pub(super) fn to_packed(record: &impl Serialize) -> Bytes {
    let json = to_json(record);
    match zstd::encode_all(json.as_ref(), COMPRESSION_LEVEL) {
        Ok(packed) => packed.into(),
        Err(error) => {
            log::error!(error:% = error; "lots: a record is kept uncompressed");
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
        // It was kept uncompressed.
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

/// Packs items into as few values as the store's limit allows.
pub(super) fn pack_items(items: &[LotItem], value_bytes: usize) -> Vec<Bytes> {
    let limit = (value_bytes as f64 * PACK_FILL_FRACTION) as usize;
    let mut packs = Vec::new();
    let mut begin = 0;
    let mut size = 0;
    for (index, item) in items.iter().enumerate() {
        // Bodies are base64 in JSON, and compress to about their own length.
        let headers: usize = item.headers.iter().map(|it| it.0.len() + it.1.len()).sum();
        let length = item.body.len() + item.path.len() + headers + 100;
        if size + length > limit && index > begin {
            packs.push(to_packed(&&items[begin..index]));
            begin = index;
            size = 0;
        }
        size += length;
    }
    packs.push(to_packed(&&items[begin..]));
    packs
}
