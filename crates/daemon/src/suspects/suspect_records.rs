//! The records of suspects and trials in the platform's store.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use comfreyramp_policy::{
    Fingerprint, Incarnation, ServerKey, SuspectFact, Timestamp, TrialAnswer, TrialEnd,
    TrialRecord, TrialRequest, TrialSettlement,
};
use comfreyramp_store::{
    Comparison, KeyRange, KeyValue, LeaseId, PlatformStore, Revision, StoreError,
    TransactionAnswer, Write, WriteBatch,
};
use serde::{Deserialize, Serialize};

use crate::record_lease::{MIN_RETENTION, RecordLease};

/// The key prefix of facts about suspects.
pub(super) const FACTS: &str = "/comfreyramp/suspects/facts/";
/// The key prefix of the records of trials, by fingerprint.
const TRIALS: &str = "/comfreyramp/suspects/trials/";
/// The key prefix of the servers on trial. Each holds the suspect's fingerprint.
const TRIAL_SERVERS: &str = "/comfreyramp/suspects/trial-servers/";
/// How often a request for a trial is sent if its answer is lost.
const MAX_ATTEMPTS: usize = 3;

/// Reads and writes the records of suspects and trials, which are kept for a day.
#[derive(Debug)]
pub struct SuspectRecords<S> {
    store: S,
    lease: RecordLease,
}

/// A fact with the wall-clock time at which it was written, in milliseconds since
/// 1970. The wall clock is the only one that all daemons share. A clock that is off
/// by seconds shifts a lifetime of a day by seconds.
#[derive(Debug, Serialize, Deserialize)]
struct StoredFact {
    written_ms: u64,
    fact: SuspectFact,
}

#[derive(Debug, Serialize, Deserialize)]
struct StoredTrial {
    granted_ms: u64,
    trial: TrialRecord,
}

impl<S: PlatformStore> SuspectRecords<S> {
    /// Creates the records on top of a store.
    pub fn new(store: S) -> Self {
        SuspectRecords {
            store,
            lease: RecordLease::default(),
        }
    }

    pub(super) fn store(&self) -> &S {
        &self.store
    }

    /// Writes this daemon's facts, and replaces those it wrote before.
    pub(super) async fn write_facts(
        &self,
        facts: &[SuspectFact],
        own: Incarnation,
        now: Timestamp,
    ) -> Result<(), StoreError> {
        let lease = self.lease.get(&self.store, now).await?;
        let mut batch = WriteBatch::default();
        for fact in facts {
            let key = format!("{FACTS}{:032x}/{:016x}", fact.fingerprint.0, own.0);
            let stored = StoredFact {
                written_ms: calendar_ms(),
                fact: fact.clone(),
            };
            batch.then.push(put(key, &stored, lease));
        }
        let written = self.store.transact(batch).await;
        self.lease.discard_if_expired(&written);
        written.map(|_| ())
    }

    /// Requests a trial. A repeated request gets the same answer.
    pub(super) async fn request_trial(
        &self,
        request: &TrialRequest,
        now: Timestamp,
    ) -> TrialAnswer {
        for _ in 0..MAX_ATTEMPTS {
            match self.request_trial_once(request, now).await {
                Ok(Some(answer)) => return answer,
                // The answer was lost, or an older record of this process has been
                // removed: repeating the same request finds out.
                Ok(None) | Err(StoreError::AnswerLost(_) | StoreError::LeaseLapsed) => {}
                Err(_) => return TrialAnswer::Unavailable,
            }
        }
        TrialAnswer::Unavailable
    }

    async fn request_trial_once(
        &self,
        request: &TrialRequest,
        now: Timestamp,
    ) -> Result<Option<TrialAnswer>, StoreError> {
        let lease = self.lease.get(&self.store, now).await?;
        let (trial, server) = (trial_key(request.fingerprint), server_key(request.server));
        let stored = StoredTrial {
            granted_ms: calendar_ms(),
            trial: TrialRecord {
                ask: *request,
                died: false,
            },
        };
        let batch = WriteBatch {
            when: vec![
                Comparison::Absent(trial.clone()),
                Comparison::Absent(server.clone()),
            ],
            then: vec![
                put(trial.clone(), &stored, lease),
                put(server.clone(), &request.fingerprint, lease),
            ],
            read_back: vec![trial.clone(), server],
        };
        let answer = self.store.transact(batch).await;
        self.lease.discard_if_expired(&answer);
        let TransactionAnswer::Refused { found, .. } = answer? else {
            return Ok(Some(TrialAnswer::Granted));
        };
        let Some(pair) = found.iter().find(|it| it.key == trial) else {
            return Ok(Some(TrialAnswer::ServerTaken));
        };
        self.resolve_conflict(request, pair).await
    }

    /// Returns the answer that an existing record of the same fingerprint implies, or
    /// none if the record was outdated and has been removed.
    async fn resolve_conflict(
        &self,
        request: &TrialRequest,
        pair: &KeyValue,
    ) -> Result<Option<TrialAnswer>, StoreError> {
        let Ok(held) = serde_json::from_slice::<StoredTrial>(&pair.value) else {
            return Ok(Some(TrialAnswer::Blocked {
                left: MIN_RETENTION,
            }));
        };
        let age = since_ms(held.granted_ms);
        let left = MIN_RETENTION.saturating_sub(age);
        let answer = match held.trial {
            TrialRecord { died: true, .. } => TrialAnswer::Blocked { left },
            TrialRecord { ask: own, .. } if own == *request => TrialAnswer::Granted,
            TrialRecord { ask: older, .. } if request.ticket.supersedes(&older.ticket) => {
                self.release(&older, pair.modified).await?;
                return Ok(None);
            }
            _ => TrialAnswer::Held { age, left },
        };
        Ok(Some(answer))
    }

    /// Writes how a trial ended. Repeating it is harmless.
    pub(super) async fn settle(&self, settlement: &TrialSettlement) -> Result<(), StoreError> {
        let request = &settlement.ask;
        let key = trial_key(request.fingerprint);
        let answer = self.store.range(KeyRange::One(key.clone()), 1).await?;
        let Some(pair) = answer.pairs.first() else {
            return Ok(());
        };
        let Ok(mut held) = serde_json::from_slice::<StoredTrial>(&pair.value) else {
            return Ok(());
        };
        if held.trial.ask != *request {
            return Ok(());
        }
        if settlement.end == TrialEnd::Released {
            return self.release(request, pair.modified).await;
        }
        held.trial.died = true;
        let lease = self.lease.held();
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), pair.modified)],
            then: vec![
                Write::Put {
                    key,
                    value: serde_json::to_vec(&held).unwrap_or_default().into(),
                    lease,
                },
                Write::Delete(server_key(request.server)),
            ],
            read_back: Vec::new(),
        };
        self.store.transact(batch).await.map(|_| ())
    }

    async fn release(&self, trial: &TrialRequest, modified: Revision) -> Result<(), StoreError> {
        let key = trial_key(trial.fingerprint);
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), modified)],
            then: vec![Write::Delete(key), Write::Delete(server_key(trial.server))],
            read_back: Vec::new(),
        };
        self.store.transact(batch).await.map(|_| ())
    }
}

/// Returns a fact that another daemon wrote, with its ages and lifetime as of now.
/// Returns none if it can't be read or if this process wrote it.
pub(super) fn read_fact(pair: &KeyValue, own: Incarnation) -> Option<SuspectFact> {
    if pair.key.ends_with(&format!("/{:016x}", own.0)) {
        return None;
    }
    let stored: StoredFact = serde_json::from_slice(&pair.value).ok()?;
    let elapsed = since_ms(stored.written_ms);
    let mut fact = stored.fact;
    fact.lifetime = fact.lifetime.saturating_sub(elapsed);
    for death in &mut fact.deaths {
        death.age += elapsed;
    }
    Some(fact)
}

fn trial_key(fingerprint: Fingerprint) -> String {
    format!("{TRIALS}{:032x}", fingerprint.0)
}

fn server_key(server: ServerKey) -> String {
    format!("{TRIAL_SERVERS}{:016x}", server.0)
}

fn put(key: String, value: &impl Serialize, lease: LeaseId) -> Write {
    Write::Put {
        key,
        value: serde_json::to_vec(value).unwrap_or_default().into(),
        lease: Some(lease),
    }
}

fn calendar_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.unwrap_or_default().as_millis() as u64
}

fn since_ms(then: u64) -> Duration {
    Duration::from_millis(calendar_ms().saturating_sub(then))
}
