//! The records of claims and the stored answers in the store.

use comfreyramp_http::Bytes;
use comfreyramp_policy::{
    ClaimGroup, ClaimKey, ClaimRecord, ClaimState, ClaimTicket, GroupAnswer, Timestamp,
};
use comfreyramp_store::{
    Comparison, KeyRange, KeyValue, LeaseId, PlatformStore, Revision, StoreError,
    TransactionAnswer, Write, WriteBatch,
};

use super::StoredAnswer;
use crate::record_lease::RecordLease;

/// The prefix of the store keys of claim records.
const RECORDS: &str = "/comfreyramp/claims/records/";
/// The prefix of the store keys of answers.
const ANSWERS: &str = "/comfreyramp/claims/answers/";

/// Reads and writes the records of claims in the store, which keeps them for a
/// day.
#[derive(Debug)]
pub struct ClaimRecords<S> {
    store: S,
    lease: RecordLease,
}

/// A record as it was read. Changes to it are conditional on its being
/// unchanged.
#[derive(Clone, Debug)]
pub(super) struct FoundRecord {
    record: Option<ClaimRecord>,
    modified: Revision,
}

impl FoundRecord {
    pub(super) fn belongs_to(&self, ticket: ClaimTicket) -> bool {
        self.record.as_ref().is_some_and(|it| it.ticket == ticket)
    }
}

impl<S: PlatformStore> ClaimRecords<S> {
    /// Accesses the records in `store`.
    pub fn new(store: S) -> Self {
        ClaimRecords {
            store,
            lease: RecordLease::default(),
        }
    }

    /// Writes a group of claims in one transaction, if none of their keys
    /// exists.
    pub(super) async fn write_group(&self, group: &ClaimGroup, now: Timestamp) -> GroupAnswer {
        let Ok(lease) = self.lease.get(&self.store, now).await else {
            return GroupAnswer::Unreachable;
        };
        let mut batch = WriteBatch::default();
        for record in &group.records {
            let key = record_key(record.key);
            let Some(value) = encode(record) else {
                return GroupAnswer::Unreachable;
            };
            batch.when.push(Comparison::Absent(key.clone()));
            batch.read_back.push(key.clone());
            batch.then.push(put(key, value, lease));
        }
        let answer = self.store.transact(batch).await;
        self.lease.discard_if_expired(&answer);
        match answer {
            Ok(TransactionAnswer::Written(_)) => GroupAnswer::Written,
            Ok(TransactionAnswer::Refused { found, .. }) => {
                GroupAnswer::Found(read_found(group, &found))
            }
            Err(StoreError::Unreachable(_)) => GroupAnswer::Unreachable,
            Err(_) => GroupAnswer::Lost,
        }
    }

    /// Reads the record of a claim.
    pub(super) async fn read(&self, key: ClaimKey) -> Result<Option<FoundRecord>, StoreError> {
        let answer = self.store.range(KeyRange::One(record_key(key)), 1).await?;
        Ok(answer.pairs.first().map(|it| FoundRecord {
            record: serde_json::from_slice(&it.value).ok(),
            modified: it.modified,
        }))
    }

    /// Replaces a record that was read, and writes its answer if there is one.
    /// Returns whether the record was unchanged and so was replaced.
    pub(super) async fn settle(
        &self,
        found: &FoundRecord,
        record: &ClaimRecord,
        answer: Option<&StoredAnswer>,
        now: Timestamp,
    ) -> Result<bool, StoreError> {
        let lease = self.lease.get(&self.store, now).await?;
        let key = record_key(record.key);
        let mut batch = WriteBatch::default();
        let value = encode(record).unwrap_or_default();
        batch
            .when
            .push(Comparison::ModifiedAt(key.clone(), found.modified));
        batch.then.push(put(key, value, lease));
        if let Some(value) = answer.and_then(|it| it.encode().ok()) {
            batch
                .then
                .push(put(ClaimRecords::answer_key(record.key), value, lease));
        }
        self.change(batch).await
    }

    /// Deletes a record that was read. Returns whether it was unchanged and so
    /// was deleted.
    pub(super) async fn release(
        &self,
        found: &FoundRecord,
        key: ClaimKey,
    ) -> Result<bool, StoreError> {
        let key = record_key(key);
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), found.modified)],
            then: vec![Write::Delete(key)],
            read_back: Vec::new(),
        };
        self.change(batch).await
    }

    /// Reads a stored answer by its store key.
    pub async fn read_answer(&self, location: &str) -> Result<Option<StoredAnswer>, StoreError> {
        let answer = self
            .store
            .range(KeyRange::One(location.to_owned()), 1)
            .await?;
        let value = answer.pairs.first().map(|it| &it.value);
        Ok(value.and_then(StoredAnswer::decode))
    }

    async fn change(&self, batch: WriteBatch) -> Result<bool, StoreError> {
        let answer = self.store.transact(batch).await;
        self.lease.discard_if_expired(&answer);
        Ok(matches!(answer?, TransactionAnswer::Written(_)))
    }
}

impl ClaimRecords<()> {
    /// Returns the store key of a call's answer.
    pub fn answer_key(key: ClaimKey) -> String {
        format!("{ANSWERS}{:032x}", key.0)
    }
}

fn record_key(key: ClaimKey) -> String {
    format!("{RECORDS}{:032x}", key.0)
}

fn encode(record: &ClaimRecord) -> Option<Bytes> {
    serde_json::to_vec(record).ok().map(Bytes::from)
}

fn put(key: String, value: Bytes, lease: LeaseId) -> Write {
    Write::Put {
        key,
        value,
        lease: Some(lease),
    }
}

/// Returns the records that exist for the group's keys. A record that can't be
/// parsed is still another call's claim, and its state is unknown.
fn read_found(group: &ClaimGroup, found: &[KeyValue]) -> Vec<ClaimRecord> {
    let mut records = Vec::new();
    for own in &group.records {
        let key = record_key(own.key);
        let Some(pair) = found.iter().find(|it| it.key == key) else {
            continue;
        };
        let record = serde_json::from_slice(&pair.value).unwrap_or_else(|_| ClaimRecord {
            ticket: ClaimTicket::default(),
            state: ClaimState::Unknown,
            ..own.clone()
        });
        records.push(record);
    }
    records
}
