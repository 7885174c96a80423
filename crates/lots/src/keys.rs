//! The keys under which the platform keeps files and lots.

use comfreyramp_store::KeyRange;

use crate::WallTime;

const ROOT: &str = "/comfreyramp/lots";
const MILLIS_AN_HOUR: u64 = 3_600_000;

/// Names every key of this crate. See `docs/LOTS.md` for what each holds.
#[derive(Clone, Copy, Debug, Default)]
pub struct LotKeys;

impl LotKeys {
    /// A customer's file.
    pub fn file(self, customer: &str, file: &str) -> String {
        format!("{ROOT}/files/{}/{file}", part(customer))
    }

    /// All files of a customer.
    pub fn files(self, customer: &str) -> String {
        format!("{ROOT}/files/{}/", part(customer))
    }

    /// One packed segment of an upload.
    pub fn input(self, content: &str, segment: usize) -> String {
        format!("{ROOT}/inputs/{content}/{segment:05}")
    }

    /// All packed segments of an upload.
    pub fn inputs(self, content: &str) -> String {
        format!("{ROOT}/inputs/{content}/")
    }

    /// The mark that an open lot reads this upload.
    pub fn reader(self, content: &str, lot: &str) -> String {
        format!("{ROOT}/readers/{content}/{lot}")
    }

    /// All open lots that read this upload.
    pub fn readers(self, content: &str) -> String {
        format!("{ROOT}/readers/{content}/")
    }

    /// The lot that a job became.
    pub fn job(self, customer: &str, job: &str) -> String {
        format!("{ROOT}/jobs/{}/{job}", part(customer))
    }

    /// A customer's lot. Ids sort newest first, and so do these keys.
    pub fn record(self, customer: &str, lot: &str) -> String {
        format!("{ROOT}/records/{}/{lot}", part(customer))
    }

    /// All lots of a customer.
    pub fn records(self, customer: &str) -> String {
        format!("{ROOT}/records/{}/", part(customer))
    }

    /// What daemons watch: a few small keys for each open lot.
    pub fn index(self) -> String {
        format!("{ROOT}/index/")
    }

    /// All index keys of one lot.
    pub fn index_of(self, lot: &str) -> String {
        format!("{ROOT}/index/{lot}/")
    }

    /// The mark that a lot is open.
    pub fn open(self, lot: &str) -> String {
        format!("{ROOT}/index/{lot}/open")
    }

    /// The mark that a lot is cancelled.
    pub fn cancel(self, lot: &str) -> String {
        format!("{ROOT}/index/{lot}/cancel")
    }

    /// The claim on a segment, under its owner's lease.
    pub fn claim(self, lot: &str, segment: usize) -> String {
        format!("{ROOT}/index/{lot}/claim/{segment:05}")
    }

    /// The progress of a segment.
    pub fn progress(self, lot: &str, segment: usize) -> String {
        format!("{ROOT}/index/{lot}/progress/{segment:05}")
    }

    /// One packed group of results.
    pub fn result(self, lot: &str, segment: usize, group: usize) -> String {
        format!("{ROOT}/results/{lot}/{segment:05}/{group:05}")
    }

    /// What is to be deleted from a given hour on.
    pub fn expiry(self, at: WallTime, kind: &str, rest: &str) -> String {
        format!("{ROOT}/expiry/{:08}/{kind}/{rest}", at.0 / MILLIS_AN_HOUR)
    }

    /// What is to be deleted by now.
    pub fn expired(self, now: WallTime) -> KeyRange {
        let end = format!("{ROOT}/expiry/{:08}/", now.0 / MILLIS_AN_HOUR);
        KeyRange::Between(format!("{ROOT}/expiry/"), end)
    }

    /// The claim of the one daemon that sweeps.
    pub fn sweeper(self) -> String {
        format!("{ROOT}/sweeper")
    }
}

/// A name as one part of a key. A name with a slash would reach into another
/// customer's keys, so that such names are written in hex.
pub(crate) fn part(name: &str) -> String {
    let plain = |it: u8| it.is_ascii_alphanumeric() || matches!(it, b'-' | b'_' | b'.');
    if !name.is_empty() && name.bytes().all(plain) {
        return name.to_owned();
    }
    format!("~{}", hex::encode(name))
}
