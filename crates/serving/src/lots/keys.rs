//! Keys of lots in the store.

use sha2::{Digest, Sha256};

use super::records::HoldMark;

/// Prefix of the open marks, one per lot that isn't finished: written with the lot, deleted
/// with its last result or when the lot is ended.
pub(super) const OPEN: &str = "lots/open/";
/// Prefix of the claims. A claim names the daemon that runs a lot and is bound to that
/// daemon's lease.
const CLAIM: &str = "lots/claim/";
/// Prefix of the ledgers, which count a customer's waiting tokens.
const LEDGER: &str = "lots/waiting/";
/// Prefix of a lot's head, items, groups of results, fault counts and end record.
const DATA: &str = "lots/data/";

/// Longest id of a lot. The store accepts keys of up to 200 bytes.
const MAX_ID_LENGTH: usize = 100;

/// Returns whether a caller's id can be part of a key and of a query.
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

/// Returns the prefix of all data of a lot. In key order the age and the fault counts come
/// first, then the head, the marks of daemons that have or had it, the packs of items, the
/// groups of results by number, and the end record.
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

/// Returns the key of the fault counts: how often servers failed at each item. Earlier
/// versions wrote `faults`, where other statuses and cut answers count too.
pub(super) fn faults(lot: &str) -> String {
    format!("{DATA}{lot}/failures")
}

/// Returns the key of the mark that a daemon has the lot.
pub(super) fn hold_mark(lot: &str, mark: HoldMark) -> String {
    let (incarnation, lease) = (mark.incarnation, mark.lease.0);
    format!("{DATA}{lot}/held/{incarnation:016x}-{lease}")
}

pub(super) fn is_hold_mark(key: &str) -> bool {
    key.contains("/held/")
}

/// Returns the key of the age that a daemon which ran the lot has proved.
pub(super) fn age(lot: &str) -> String {
    format!("{DATA}{lot}/age")
}

/// Returns the prefix of all packs of a lot's items.
pub(super) fn items(lot: &str) -> String {
    format!("{DATA}{lot}/items/")
}

pub(super) fn pack(lot: &str, number: usize) -> String {
    format!("{DATA}{lot}/items/{number:03}")
}

/// Returns a key that sorts directly before the first group of results of a lot.
pub(super) fn before_results(lot: &str) -> String {
    format!("{DATA}{lot}/results/")
}

pub(super) fn is_pack(key: &str) -> bool {
    key.contains("/items/")
}

/// Returns the prefix of the data of all lots.
pub(super) fn all_data() -> &'static str {
    DATA
}

/// Number of bytes of the hash that are part of a ledger's key.
const HASH_BYTES: usize = 16;

/// Returns the key of the ledger for a customer's lots on a route. The names are hashed,
/// since operators may use characters in them that keys can't hold.
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
