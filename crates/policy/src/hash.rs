//! Hash functions whose results are the same on every daemon.

use sha2::{Digest, Sha256};

/// Returns a 64-bit hash of `name`: the first eight bytes of its SHA-256 digest.
pub fn name_hash(name: &str) -> u64 {
    let digest = Sha256::digest(name.as_bytes());
    let mut head = [0; 8];
    head.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(head)
}

/// Mixes the bits of `value` with the finalizer of SplitMix64.
pub(crate) fn mix(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}
