//! The key-value service as a state machine, without I/O or a clock.

use std::{
    collections::{BTreeMap, VecDeque},
    ops::Bound,
    time::Duration,
};

use bytes::Bytes;
use comfreyramp_policy::Timestamp;
use comfreyramp_store::{
    MAX_TRANSACTION_STEPS, MAX_VALUE_BYTES,
    wire::{
        CompareMessage, CompareResult, CompareTarget, DeleteRangeResponse, EventKind, EventMessage,
        HeaderResponse, LeaseMessage, PairMessage, PutRequest, RangeRequest, RangeResponse,
        RequestStep, ResponseHeader, ResponseStep, TransactionRequest, TransactionResponse,
    },
};

use super::{LeaseTable, ModelError};

/// The number of events that are kept for watches that start in the past.
const MAX_HISTORY_EVENTS: usize = 100_000;
/// The bytes of values that are kept for watches that start in the past.
const MAX_HISTORY_BYTES: usize = 64_000_000;
/// The shortest lease, in seconds.
const MIN_LEASE_SECONDS: i64 = 1;

/// The state of the key-value service: revision, pairs, leases and the history of
/// changes that watches read.
#[derive(Clone, Debug)]
pub struct KeyValueModel {
    revision: i64,
    /// The oldest revision whose events are all still in the history; watches can't start
    /// before it.
    oldest_revision: i64,
    pairs: BTreeMap<Bytes, PairMessage>,
    leases: LeaseTable,
    history: VecDeque<EventMessage>,
    history_bytes: usize,
}

impl Default for KeyValueModel {
    fn default() -> Self {
        KeyValueModel {
            revision: 1,
            oldest_revision: 1,
            pairs: BTreeMap::default(),
            leases: LeaseTable::default(),
            history: VecDeque::default(),
            history_bytes: 0,
        }
    }
}

impl KeyValueModel {
    /// Returns the revision of the last write.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// Returns the header of a response sent now.
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: 1,
            member_id: 1,
            revision: self.revision,
            raft_term: 1,
        }
    }

    /// Returns the pairs of a range, up to the limit of the request.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let limit = match usize::try_from(request.limit) {
            Ok(0) | Err(_) => usize::MAX,
            Ok(limit) => limit,
        };
        let range = key_range(&request.key, &request.range_end);
        let count = self.pairs.range(range.clone()).count();
        let found = self.pairs.range(range).take(limit);
        let mut kvs: Vec<PairMessage> = found.map(|(_, pair)| pair.clone()).collect();
        if request.keys_only {
            kvs.iter_mut().for_each(|it| it.value = Bytes::new());
        }
        RangeResponse {
            header: self.header(),
            kvs,
            more: count > limit,
            count: count as i64,
        }
    }

    /// Runs a transaction; on an error, nothing of it takes effect.
    pub fn transact(
        &mut self,
        request: TransactionRequest,
    ) -> Result<TransactionResponse, ModelError> {
        let succeeded = request.compare.iter().all(|it| self.holds(it));
        let longest = [&request.success, &request.failure]
            .map(Vec::len)
            .into_iter()
            .fold(request.compare.len(), usize::max);
        if longest > MAX_TRANSACTION_STEPS {
            return Err(ModelError::TooManySteps);
        }
        self.check_puts(&request.success)?;
        self.check_puts(&request.failure)?;
        let steps = if succeeded {
            request.success
        } else {
            request.failure
        };
        self.check_leases(&steps)?;
        let next = self.revision + 1;
        let responses = steps.into_iter().map(|it| self.run_step(it, next));
        let responses = responses.collect();
        Ok(TransactionResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Grants a lease of at least one second.
    pub fn grant(
        &mut self,
        request: &LeaseMessage,
        now: Timestamp,
    ) -> Result<LeaseMessage, ModelError> {
        let ttl = request.ttl.max(MIN_LEASE_SECONDS);
        let duration = Duration::from_secs(ttl.unsigned_abs());
        let id = self.leases.grant(request.id, duration, now)?;
        Ok(LeaseMessage {
            header: self.header(),
            id,
            ttl,
        })
    }

    /// Renews a lease. The time to live in the answer is 0 if the lease has expired.
    pub fn keep_alive(&mut self, id: i64, now: Timestamp) -> LeaseMessage {
        let duration = self.leases.renew(id, now).unwrap_or_default();
        LeaseMessage {
            header: self.header(),
            id,
            ttl: duration.as_secs() as i64,
        }
    }

    /// Revokes a lease and deletes its keys.
    pub fn revoke(&mut self, id: i64) -> Result<HeaderResponse, ModelError> {
        self.leases.revoke(id)?;
        self.delete_keys_of_lease(id);
        Ok(HeaderResponse {
            header: self.header(),
        })
    }

    /// Removes all leases that have expired by `now` and deletes their keys.
    pub fn expire(&mut self, now: Timestamp) {
        for id in self.leases.take_expired(now) {
            self.delete_keys_of_lease(id);
        }
    }

    /// Returns when the next lease expires unless it is renewed.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.leases.next_expiry()
    }

    /// Returns the events of a range from revision `from_revision` on, oldest first.
    pub fn events(
        &self,
        key: &Bytes,
        range_end: &Bytes,
        from_revision: i64,
    ) -> Result<Vec<EventMessage>, ModelError> {
        if from_revision < self.oldest_revision {
            return Err(ModelError::Compacted(self.oldest_revision));
        }
        let first_index = self
            .history
            .partition_point(|it| it.kv.mod_revision < from_revision);
        let (start, end) = key_range(key, range_end);
        let in_range = |it: &&EventMessage| {
            let reached = match &start {
                Bound::Included(start) => it.kv.key >= *start,
                _ => true,
            };
            let passed = match &end {
                Bound::Included(end) => it.kv.key > *end,
                Bound::Excluded(end) => it.kv.key >= *end,
                Bound::Unbounded => false,
            };
            reached && !passed
        };
        let events = self.history.range(first_index..).filter(in_range);
        Ok(events.cloned().collect())
    }

    /// Drops the history before `revision`. Fails if that is compacted already or lies in
    /// the future.
    pub fn compact(&mut self, revision: i64) -> Result<HeaderResponse, ModelError> {
        if revision > self.revision {
            return Err(ModelError::FutureRevision);
        }
        if revision < self.oldest_revision {
            return Err(ModelError::Compacted(self.oldest_revision));
        }
        while let Some(event) = self.history.front()
            && event.kv.mod_revision < revision
        {
            self.drop_oldest_event();
        }
        self.oldest_revision = revision;
        Ok(HeaderResponse {
            header: self.header(),
        })
    }

    fn holds(&self, compare: &CompareMessage) -> bool {
        let pair = self.pairs.get(&compare.key);
        let (actual, wanted) = match compare.target {
            CompareTarget::Version => (pair.map(|it| it.version), compare.version),
            CompareTarget::Create => (pair.map(|it| it.create_revision), compare.create_revision),
            CompareTarget::Mod => (pair.map(|it| it.mod_revision), compare.mod_revision),
        };
        let (actual, wanted) = (actual.unwrap_or(0), wanted.unwrap_or(0));
        match compare.result {
            CompareResult::Equal => actual == wanted,
            CompareResult::Greater => actual > wanted,
            CompareResult::Less => actual < wanted,
            CompareResult::NotEqual => actual != wanted,
        }
    }

    fn check_puts(&self, steps: &[RequestStep]) -> Result<(), ModelError> {
        let mut keys = Vec::new();
        for put in steps.iter().filter_map(|it| it.request_put.as_ref()) {
            if put.key.is_empty() {
                return Err(ModelError::EmptyKey);
            }
            if put.value.len() > MAX_VALUE_BYTES {
                return Err(ModelError::ValueTooLarge);
            }
            keys.push(&put.key);
        }
        keys.sort_unstable();
        if keys.windows(2).any(|it| it[0] == it[1]) {
            return Err(ModelError::DuplicateKey);
        }
        Ok(())
    }

    fn check_leases(&self, steps: &[RequestStep]) -> Result<(), ModelError> {
        let mut puts = steps.iter().filter_map(|it| it.request_put.as_ref());
        let known = puts.all(|it| it.lease == 0 || self.leases.contains(it.lease));
        known.then_some(()).ok_or(ModelError::LeaseNotFound)
    }

    fn run_step(&mut self, step: RequestStep, revision: i64) -> ResponseStep {
        let mut response = ResponseStep::default();
        if let Some(request) = step.request_range {
            response.response_range = Some(self.range(&request));
        }
        if let Some(request) = step.request_put {
            self.put(request, revision);
            response.response_put = Some(HeaderResponse {
                header: self.header(),
            });
        }
        if let Some(request) = step.request_delete_range {
            let deleted = self.delete(&request.key, &request.range_end, revision);
            response.response_delete_range = Some(DeleteRangeResponse {
                header: self.header(),
                deleted,
            });
        }
        response
    }

    fn put(&mut self, request: PutRequest, revision: i64) {
        let before = self.pairs.get(&request.key);
        let pair = PairMessage {
            create_revision: before.map_or(revision, |it| it.create_revision),
            mod_revision: revision,
            version: before.map_or(0, |it| it.version) + 1,
            key: request.key,
            value: request.value,
            lease: request.lease,
        };
        self.pairs.insert(pair.key.clone(), pair.clone());
        self.record(EventKind::Put, pair);
    }

    fn delete(&mut self, key: &Bytes, range_end: &Bytes, revision: i64) -> i64 {
        let range = key_range(key, range_end);
        let keys = self.pairs.range(range).map(|(key, _)| key.clone());
        self.delete_keys(keys.collect(), revision)
    }

    fn delete_keys_of_lease(&mut self, lease: i64) {
        let held = self.pairs.values().filter(|it| it.lease == lease);
        let keys = held.map(|it| it.key.clone()).collect();
        self.delete_keys(keys, self.revision + 1);
    }

    fn delete_keys(&mut self, keys: Vec<Bytes>, revision: i64) -> i64 {
        let count = keys.len();
        for key in keys {
            self.pairs.remove(&key);
            let pair = PairMessage {
                key,
                mod_revision: revision,
                ..PairMessage::default()
            };
            self.record(EventKind::Delete, pair);
        }
        count as i64
    }

    fn record(&mut self, kind: EventKind, kv: PairMessage) {
        self.revision = kv.mod_revision;
        self.history_bytes += kv.value.len();
        self.history.push_back(EventMessage { kind, kv });
        while self.history.len() > MAX_HISTORY_EVENTS || self.history_bytes > MAX_HISTORY_BYTES {
            self.drop_oldest_event();
        }
    }

    fn drop_oldest_event(&mut self) {
        let Some(event) = self.history.pop_front() else {
            return;
        };
        self.history_bytes -= event.kv.value.len();
        // Other events of the same revision may remain, but the revision is incomplete.
        self.oldest_revision = event.kv.mod_revision + 1;
    }
}

/// Returns the bounds of a request's key range. An empty end stands for the single key, an
/// end of one zero byte for no upper bound.
fn key_range(key: &Bytes, range_end: &Bytes) -> (Bound<Bytes>, Bound<Bytes>) {
    let start = Bound::Included(key.clone());
    let end = match range_end.as_ref() {
        [] => Bound::Included(key.clone()),
        [0] => Bound::Unbounded,
        // A range that ends before it begins is empty; `BTreeMap::range` would panic on it.
        end if end <= key.as_ref() => Bound::Excluded(key.clone()),
        _ => Bound::Excluded(range_end.clone()),
    };
    (start, end)
}
