//! A fake of the platform's store of claim records.

use std::time::Duration;

use comfreyramp_policy::{ClaimChange, ClaimRecord, GroupAnswer, Timestamp};

const RECORD_LIFETIME: Duration = Duration::from_secs(24 * 3600);

pub(crate) fn at(secs: f64) -> Timestamp {
    Timestamp::from_micros((secs * 1e6) as u64)
}

/// Claim records with the time at which they were written. They expire after a day.
#[derive(Default)]
pub(crate) struct Store {
    pub(crate) records: Vec<(ClaimRecord, Timestamp)>,
}

impl Store {
    pub(crate) fn transact(&mut self, records: &[ClaimRecord], now: Timestamp) -> GroupAnswer {
        self.records
            .retain(|(_, written)| now.since(*written) < RECORD_LIFETIME);
        let keys = |key| records.iter().any(|it| it.key == key);
        let found = self.records.iter().filter(|(it, _)| keys(it.key));
        let found: Vec<ClaimRecord> = found.map(|(it, _)| it.clone()).collect();
        if !found.is_empty() {
            return GroupAnswer::Found(found);
        }
        self.records
            .extend(records.iter().map(|it| (it.clone(), now)));
        GroupAnswer::Written
    }

    pub(crate) fn change(&mut self, change: ClaimChange) {
        match change {
            ClaimChange::Settle(record) => {
                let mut found = self.records.iter_mut();
                if let Some(found) = found.find(|(it, _)| it.ticket == record.ticket) {
                    found.0 = record;
                }
            }
            ClaimChange::Release(key, ticket) => {
                self.records
                    .retain(|(it, _)| it.key != key || it.ticket != ticket);
            }
        }
    }
}
