//! The keys of lots in the store.

use sha2::{Digest, Sha256};

/// Open lots, by id: written with the lot, removed with its last result or end.
pub(super) const OPEN: &str = "lots/open/";
/// The key of the daemon that runs a lot, under that daemon's lease.
const CLAIM: &str = "lots/claim/";
/// The ledgers of tokens that wait.
const LEDGER: &str = "lots/waiting/";
/// The lot's head, its items, groups of results, and the end.
const DATA: &str = "lots/data/";

/// The longest id. Keys have 200 bytes at most.
const MAX_ID_LENGTH: usize = 100;

/// Whether a caller's id can stand in a key and in a query.
pub(super) fn is_usable_id(id: &str) -> bool {
    let is_plain = |it: char| it.is_ascii_alphanumeric() || it == '-' || it == '_';
    !id.is_empty() && id.len() <= MAX_ID_LENGTH && id.chars().all(is_plain)
}

pub(super) fn open(lot: &str) -> String {
    format!("{OPEN}{lot}")
}

pub(super) fn claim(lot: &str) -> String {
    format!("{CLAIM}{lot}")
}

/// All that is kept of a lot. In the order of keys the counts of faults come first, then
/// the head, the packs of items, the groups of results by number, and the end.
pub(super) fn data(lot: &str) -> String {
    format!("{DATA}{lot}/")
}

pub(super) fn head(lot: &str) -> String {
    format!("{DATA}{lot}/head")
}

pub(super) fn group(lot: &str, number: usize) -> String {
    format!("{DATA}{lot}/results/{number:05}")
}

pub(super) fn is_group(key: &str) -> bool {
    key.contains("/results/")
}

pub(super) fn end(lot: &str) -> String {
    format!("{DATA}{lot}/zend")
}

/// How often servers failed at items of a lot.
pub(super) fn faults(lot: &str) -> String {
    format!("{DATA}{lot}/faults")
}

/// All packs of a lot's items.
pub(super) fn items(lot: &str) -> String {
    format!("{DATA}{lot}/items/")
}

pub(super) fn pack(lot: &str, number: usize) -> String {
    format!("{DATA}{lot}/items/{number:03}")
}

/// The key after which the results of a lot begin.
pub(super) fn before_results(lot: &str) -> String {
    format!("{DATA}{lot}/results/")
}

pub(super) fn is_pack(key: &str) -> bool {
    key.contains("/items/")
}

/// What the keys of all lots begin with.
pub(super) fn all_data() -> &'static str {
    DATA
}

/// The bytes of a hash that stand in a ledger's key.
const HASH_BYTES: usize = 16;

/// The ledger of what waits of a customer's lots on a route. Names may hold whatever
/// operators write, keys may not.
pub(super) fn ledger(customer: &str, route: &str) -> String {
    let mut hash = Sha256::new();
    hash.update(customer.as_bytes());
    hash.update([0]);
    hash.update(route.as_bytes());
    let hex: Vec<String> = hash.finalize()[..HASH_BYTES]
        .iter()
        .map(|it| format!("{it:02x}"))
        .collect();
    format!("{LEDGER}{}", hex.concat())
}
