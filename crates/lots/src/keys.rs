//! The keys under which files and lots are stored.

use comfreyramp_store::KeyRange;

use crate::WallTime;

const ROOT: &str = "/comfreyramp/lots";
const MILLIS_PER_HOUR: u64 = 3_600_000;

/// Builds all keys of this crate. See `docs/LOTS.md` for the values under them.
#[derive(Clone, Copy, Debug, Default)]
pub struct LotKeys;

impl LotKeys {
    /// The record of a customer's file.
    pub fn file(self, customer: &str, file: &str) -> String {
        format!("{ROOT}/files/{}/{file}", key_part(customer))
    }

    /// The prefix of all file records of a customer.
    pub fn files(self, customer: &str) -> String {
        format!("{ROOT}/files/{}/", key_part(customer))
    }

    /// One compressed segment of an upload.
    pub fn input(self, content: &str, segment: usize) -> String {
        format!("{ROOT}/inputs/{content}/{segment:05}")
    }

    /// The prefix of all compressed segments of an upload.
    pub fn inputs(self, content: &str) -> String {
        format!("{ROOT}/inputs/{content}/")
    }

    /// The entry which says that an open lot reads this upload.
    pub fn reader(self, content: &str, lot: &str) -> String {
        format!("{ROOT}/readers/{content}/{lot}")
    }

    /// The prefix of the entries of all open lots that read this upload.
    pub fn readers(self, content: &str) -> String {
        format!("{ROOT}/readers/{content}/")
    }

    /// The entry that maps a job (an idempotency key or a digest of the
    /// request) to its lot.
    pub fn job(self, customer: &str, job: &str) -> String {
        format!("{ROOT}/jobs/{}/{job}", key_part(customer))
    }

    /// The record of a customer's lot. Newer lots have smaller ids, so these
    /// keys sort newest first.
    pub fn record(self, customer: &str, lot: &str) -> String {
        format!("{ROOT}/records/{}/{lot}", key_part(customer))
    }

    /// The prefix of all lot records of a customer.
    pub fn records(self, customer: &str) -> String {
        format!("{ROOT}/records/{}/", key_part(customer))
    }

    /// The prefix of the index that daemons watch: a few small keys for each
    /// open lot.
    pub fn index(self) -> String {
        format!("{ROOT}/index/")
    }

    /// The prefix of all index keys of one lot.
    pub fn index_of(self, lot: &str) -> String {
        format!("{ROOT}/index/{lot}/")
    }

    /// The entry which says that a lot is open.
    pub fn open(self, lot: &str) -> String {
        format!("{ROOT}/index/{lot}/open")
    }

    /// The entry which says that a lot is cancelled.
    pub fn cancel(self, lot: &str) -> String {
        format!("{ROOT}/index/{lot}/cancel")
    }

    /// The claim on a segment, attached to the lease of its owner.
    pub fn claim(self, lot: &str, segment: usize) -> String {
        format!("{ROOT}/index/{lot}/claim/{segment:05}")
    }

    /// The progress of a segment.
    pub fn progress(self, lot: &str, segment: usize) -> String {
        format!("{ROOT}/index/{lot}/progress/{segment:05}")
    }

    /// One compressed group of results.
    pub fn result(self, lot: &str, segment: usize, group: usize) -> String {
        format!("{ROOT}/results/{lot}/{segment:05}/{group:05}")
    }

    /// An expiry entry: something of this kind is to be deleted from the given
    /// hour on.
    pub fn expiry(self, at: WallTime, kind: &str, rest: &str) -> String {
        format!("{ROOT}/expiry/{:08}/{kind}/{rest}", at.0 / MILLIS_PER_HOUR)
    }

    /// The range of all expiry entries whose hour has passed.
    pub fn expired(self, now: WallTime) -> KeyRange {
        let end = format!("{ROOT}/expiry/{:08}/", now.0 / MILLIS_PER_HOUR);
        KeyRange::Between(format!("{ROOT}/expiry/"), end)
    }

    /// The lock held by the daemon that currently sweeps.
    pub fn sweeper(self) -> String {
        format!("{ROOT}/sweeper")
    }
}

/// Encodes a name as one path element of a key. Names with a slash or other
/// special characters are written in hex, since they could address another
/// customer's keys.
pub(crate) fn key_part(name: &str) -> String {
    let plain = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_' | b'.');
    if !name.is_empty() && name.bytes().all(plain) {
        return name.to_owned();
    }
    format!("~{}", hex::encode(name))
}
