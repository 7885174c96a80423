//! How records and packed values are written.

use std::fmt::Display;

use bytes::Bytes;
use comfreyramp_store::KeyValue;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

use crate::{LotError, WallTime};

/// The compression level: the library's default, cheap enough for the door.
const ZSTD_LEVEL: i32 = 3;
/// No packed value is larger than this once unpacked, in bytes.
const MAX_UNPACKED: usize = 2 << 20;
/// Ids count down from here, in milliseconds, so that newer ones sort first.
const ID_TIME_END: u64 = 1 << 44;

pub(crate) fn to_json(value: &impl Serialize) -> Bytes {
    // The records have string keys only, so that serializing can't fail.
    serde_json::to_vec(value).unwrap_or_default().into()
}

pub(crate) fn from_json<T: DeserializeOwned>(pair: &KeyValue) -> Result<T, LotError> {
    serde_json::from_slice(&pair.value).map_err(|error| damaged(&pair.key, error))
}

pub(crate) fn pack(raw: &[u8]) -> Bytes {
    // Compressing from memory into memory fails for want of memory only; the
    // raw bytes are then kept, and `unpack` knows them by the missing magic.
    zstd::bulk::compress(raw, ZSTD_LEVEL)
        .unwrap_or_else(|_| raw.to_vec())
        .into()
}

pub(crate) fn unpack(pair: &KeyValue) -> Result<Vec<u8>, LotError> {
    if !pair
        .value
        .starts_with(&zstd::zstd_safe::MAGICNUMBER.to_le_bytes())
    {
        return Ok(pair.value.to_vec());
    }
    zstd::bulk::decompress(&pair.value, MAX_UNPACKED).map_err(|error| damaged(&pair.key, error))
}

pub(crate) fn damaged(key: &str, reason: impl Display) -> LotError {
    LotError::Damaged {
        key: key.to_owned(),
        reason: reason.to_string(),
    }
}

/// A short hash over parts, each preceded by its length so that no two lists
/// of parts run together.
pub(crate) fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hex::encode(&hasher.finalize()[..16])
}

/// A new id's variable part; later ones sort first.
pub(crate) fn new_id(now: WallTime) -> String {
    let time = ID_TIME_END.saturating_sub(now.0);
    let random: u64 = StdRng::from_os_rng().random();
    format!("{time:011x}{random:016x}")
}

/// When an id was made.
pub(crate) fn id_time(id: &str) -> WallTime {
    let time = id.get(..11).and_then(|it| u64::from_str_radix(it, 16).ok());
    WallTime(ID_TIME_END.saturating_sub(time.unwrap_or(ID_TIME_END)))
}
