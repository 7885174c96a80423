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

/// How many events are kept for watches that start in the past.
const HISTORY_EVENTS: usize = 100_000;
/// How many bytes of values are kept for watches that start in the past.
const HISTORY_BYTES: usize = 64_000_000;
/// The shortest lease, in seconds.
const SHORTEST_LEASE: i64 = 1;

/// Revisions, pairs, leases and the history that watches read.
#[derive(Clone, Debug)]
pub struct KeyValueModel {
    revision: i64,
    /// The oldest revision whose events are all still in the history.
    oldest: i64,
    pairs: BTreeMap<Bytes, PairMessage>,
    leases: LeaseTable,
    history: VecDeque<EventMessage>,
    history_bytes: usize,
}

impl Default for KeyValueModel {
    fn default() -> Self {
        KeyValueModel {
            revision: 1,
            oldest: 1,
            pairs: BTreeMap::default(),
            leases: LeaseTable::default(),
            history: VecDeque::default(),
            history_bytes: 0,
        }
    }
}

impl KeyValueModel {
    /// The revision of the last write.
    pub fn revision(&self) -> i64 {
        self.revision
    }

    /// The head of an answer given now.
    pub fn header(&self) -> ResponseHeader {
        ResponseHeader {
            cluster_id: 1,
            member_id: 1,
            revision: self.revision,
            raft_term: 1,
        }
    }

    /// Reads a range.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let limit = match usize::try_from(request.limit) {
            Ok(0) | Err(_) => usize::MAX,
            Ok(limit) => limit,
        };
        let span = key_span(&request.key, &request.range_end);
        let count = self.pairs.range(span.clone()).count();
        let found = self.pairs.range(span).take(limit);
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

    /// Runs a transaction: as a whole, or not at all on an error.
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

    /// Grants a lease.
    pub fn grant(
        &mut self,
        request: &LeaseMessage,
        now: Timestamp,
    ) -> Result<LeaseMessage, ModelError> {
        let ttl = request.ttl.max(SHORTEST_LEASE);
        let span = Duration::from_secs(ttl.unsigned_abs());
        let id = self.leases.grant(request.id, span, now)?;
        Ok(LeaseMessage {
            header: self.header(),
            id,
            ttl,
        })
    }

    /// Renews a lease. The answer's time to live is 0 when it has lapsed.
    pub fn keep_alive(&mut self, id: i64, now: Timestamp) -> LeaseMessage {
        let span = self.leases.renew(id, now).unwrap_or_default();
        LeaseMessage {
            header: self.header(),
            id,
            ttl: span.as_secs() as i64,
        }
    }

    /// Revokes a lease; its keys vanish.
    pub fn revoke(&mut self, id: i64) -> Result<HeaderResponse, ModelError> {
        self.leases.revoke(id)?;
        self.drop_keys_of(id);
        Ok(HeaderResponse {
            header: self.header(),
        })
    }

    /// Lets each lease lapse whose time is over; their keys vanish.
    pub fn expire(&mut self, now: Timestamp) {
        for id in self.leases.take_lapsed(now) {
            self.drop_keys_of(id);
        }
    }

    /// When the next lease lapses unless it is renewed.
    pub fn next_expiry(&self) -> Option<Timestamp> {
        self.leases.next_expiry()
    }

    /// The events of a range from revision `from` on, oldest first.
    pub fn events(
        &self,
        key: &Bytes,
        range_end: &Bytes,
        from: i64,
    ) -> Result<Vec<EventMessage>, ModelError> {
        if from < self.oldest {
            return Err(ModelError::Compacted(self.oldest));
        }
        let start = self.history.partition_point(|it| it.kv.mod_revision < from);
        let (first, end) = key_span(key, range_end);
        let in_span = |it: &&EventMessage| {
            let reached = match &first {
                Bound::Included(first) => it.kv.key >= *first,
                _ => true,
            };
            let passed = match &end {
                Bound::Included(end) => it.kv.key > *end,
                Bound::Excluded(end) => it.kv.key >= *end,
                Bound::Unbounded => false,
            };
            reached && !passed
        };
        let events = self.history.range(start..).filter(in_span);
        Ok(events.cloned().collect())
    }

    /// Drops the history before `revision`.
    pub fn compact(&mut self, revision: i64) -> Result<HeaderResponse, ModelError> {
        if revision > self.revision {
            return Err(ModelError::FutureRevision);
        }
        if revision < self.oldest {
            return Err(ModelError::Compacted(self.oldest));
        }
        while let Some(event) = self.history.front()
            && event.kv.mod_revision < revision
        {
            self.drop_oldest_event();
        }
        self.oldest = revision;
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
        let known = puts.all(|it| it.lease == 0 || self.leases.holds(it.lease));
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
        let span = key_span(key, range_end);
        let keys = self.pairs.range(span).map(|(key, _)| key.clone());
        self.delete_keys(keys.collect(), revision)
    }

    fn drop_keys_of(&mut self, lease: i64) {
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
        while self.history.len() > HISTORY_EVENTS || self.history_bytes > HISTORY_BYTES {
            self.drop_oldest_event();
        }
    }

    fn drop_oldest_event(&mut self) {
        let Some(event) = self.history.pop_front() else {
            return;
        };
        self.history_bytes -= event.kv.value.len();
        // Its revision may have had more events; none of it is whole any more.
        self.oldest = event.kv.mod_revision + 1;
    }
}

/// An empty end means the one key, a single zero byte means no end.
fn key_span(key: &Bytes, range_end: &Bytes) -> (Bound<Bytes>, Bound<Bytes>) {
    let first = Bound::Included(key.clone());
    let end = match range_end.as_ref() {
        [] => Bound::Included(key.clone()),
        [0] => Bound::Unbounded,
        // A range that ends before it begins is empty; the map would panic.
        end if end <= key.as_ref() => Bound::Excluded(key.clone()),
        _ => Bound::Excluded(range_end.clone()),
    };
    (first, end)
}
