//! Encoding of stored records and compressed values, and generation of ids.

use std::fmt::Display;

use bytes::Bytes;
use comfreyramp_store::KeyValue;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Serialize, de::DeserializeOwned};
use sha2::{Digest, Sha256};

use crate::{LotError, WallTime};

/// The zstd compression level. The library's default costs little enough CPU
/// time for the daemon that accepts the upload.
const ZSTD_LEVEL: i32 = 3;
/// The maximum size of a value after decompression, in bytes.
const MAX_UNPACKED: usize = 2 << 20;
/// Ids contain the milliseconds left until this point in time, so that newer
/// ids sort first.
const ID_TIME_END: u64 = 1 << 44;

pub(crate) fn to_json(value: &impl Serialize) -> Bytes {
    // Serialization can't fail, since all map keys of the records are strings.
    serde_json::to_vec(value).unwrap_or_default().into()
}

pub(crate) fn from_json<T: DeserializeOwned>(pair: &KeyValue) -> Result<T, LotError> {
    serde_json::from_slice(&pair.value).map_err(|error| damaged(&pair.key, error))
}

pub(crate) fn pack(raw: &[u8]) -> Bytes {
    // Compression between memory buffers fails only when out of memory. The
    // value is then stored uncompressed; `unpack` recognizes that by the
    // missing zstd magic number.
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

/// Returns a short hash of the parts. The length of each part is hashed before
/// it, so that different lists of parts with the same concatenation get
/// different hashes.
pub(crate) fn digest(parts: &[&[u8]]) -> String {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hex::encode(&hasher.finalize()[..16])
}

/// Generates the variable part of an id. Ids generated later sort first.
pub(crate) fn new_id(now: WallTime) -> String {
    let time = ID_TIME_END.saturating_sub(now.0);
    let random: u64 = StdRng::from_os_rng().random();
    format!("{time:011x}{random:016x}")
}

/// Returns when an id was generated.
pub(crate) fn id_time(id: &str) -> WallTime {
    let time = id.get(..11).and_then(|it| u64::from_str_radix(it, 16).ok());
    WallTime(ID_TIME_END.saturating_sub(time.unwrap_or(ID_TIME_END)))
}
