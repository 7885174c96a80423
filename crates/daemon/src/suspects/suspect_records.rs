//! Suspects and trials as the platform keeps them.

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

use crate::record_lease::{KEPT, RecordLease};

/// Where the facts lie.
pub(super) const FACTS: &str = "/comfreyramp/suspects/facts/";
/// Where the records of trials lie, by fingerprint.
const TRIALS: &str = "/comfreyramp/suspects/trials/";
/// Where the records of trials lie, by server.
const TRIAL_SERVERS: &str = "/comfreyramp/suspects/trial-servers/";
/// How often a call is made whose answer was lost.
const TRIES: usize = 3;

/// Suspects and trials as the platform keeps them, for a day.
#[derive(Debug)]
pub struct SuspectRecords<S> {
    store: S,
    lease: RecordLease,
}

/// A fact with the moment of its writing by the calendar clock: the only one
/// that all daemons share. A clock that is off by seconds shifts a lifetime of a
/// day by seconds.
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
    /// The records in this store.
    pub fn new(store: S) -> Self {
        SuspectRecords {
            store,
            lease: RecordLease::default(),
        }
    }

    pub(super) fn store(&self) -> &S {
        &self.store
    }

    /// Writes what this daemon knows, over what it wrote before.
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
        self.lease.note(&written);
        written.map(|_| ())
    }

    /// Asks for a trial. A repeated ask gets the same answer.
    pub(super) async fn ask_trial(&self, ask: &TrialRequest, now: Timestamp) -> TrialAnswer {
        for _ in 0..TRIES {
            match self.ask_once(ask, now).await {
                Ok(Some(answer)) => return answer,
                // The answer was lost, or an older record of this process is
                // gone now: the same ask again finds out.
                Ok(None) | Err(StoreError::AnswerLost(_) | StoreError::LeaseLapsed) => {}
                Err(_) => return TrialAnswer::Unavailable,
            }
        }
        TrialAnswer::Unavailable
    }

    async fn ask_once(
        &self,
        ask: &TrialRequest,
        now: Timestamp,
    ) -> Result<Option<TrialAnswer>, StoreError> {
        let lease = self.lease.get(&self.store, now).await?;
        let (trial, server) = (trial_key(ask.fingerprint), server_key(ask.server));
        let stored = StoredTrial {
            granted_ms: calendar_ms(),
            trial: TrialRecord {
                ask: *ask,
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
                put(server.clone(), &ask.fingerprint, lease),
            ],
            read_back: vec![trial.clone(), server],
        };
        let answer = self.store.transact(batch).await;
        self.lease.note(&answer);
        let TransactionAnswer::Refused { found, .. } = answer? else {
            return Ok(Some(TrialAnswer::Granted));
        };
        let Some(pair) = found.iter().find(|it| it.key == trial) else {
            return Ok(Some(TrialAnswer::ServerTaken));
        };
        self.meet(ask, pair).await
    }

    /// What a record under the same fingerprint means.
    async fn meet(
        &self,
        ask: &TrialRequest,
        pair: &KeyValue,
    ) -> Result<Option<TrialAnswer>, StoreError> {
        let Ok(held) = serde_json::from_slice::<StoredTrial>(&pair.value) else {
            return Ok(Some(TrialAnswer::Blocked { left: KEPT }));
        };
        let age = since_ms(held.granted_ms);
        let left = KEPT.saturating_sub(age);
        let answer = match held.trial {
            TrialRecord { died: true, .. } => TrialAnswer::Blocked { left },
            TrialRecord { ask: own, .. } if own == *ask => TrialAnswer::Granted,
            TrialRecord { ask: older, .. } if ask.ticket.supersedes(&older.ticket) => {
                self.release(&older, pair.modified).await?;
                return Ok(None);
            }
            _ => TrialAnswer::Held { age, left },
        };
        Ok(Some(answer))
    }

    /// Writes how a trial ended. It may be repeated.
    pub(super) async fn settle(&self, settlement: &TrialSettlement) -> Result<(), StoreError> {
        let ask = &settlement.ask;
        let key = trial_key(ask.fingerprint);
        let answer = self.store.range(KeyRange::One(key.clone()), 1).await?;
        let Some(pair) = answer.pairs.first() else {
            return Ok(());
        };
        let Ok(mut held) = serde_json::from_slice::<StoredTrial>(&pair.value) else {
            return Ok(());
        };
        if held.trial.ask != *ask {
            return Ok(());
        }
        if settlement.end == TrialEnd::Released {
            return self.release(ask, pair.modified).await;
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
                Write::Delete(server_key(ask.server)),
            ],
            read_back: Vec::new(),
        };
        self.store.transact(batch).await.map(|_| ())
    }

    async fn release(&self, ask: &TrialRequest, modified: Revision) -> Result<(), StoreError> {
        let key = trial_key(ask.fingerprint);
        let batch = WriteBatch {
            when: vec![Comparison::ModifiedAt(key.clone(), modified)],
            then: vec![Write::Delete(key), Write::Delete(server_key(ask.server))],
            read_back: Vec::new(),
        };
        self.store.transact(batch).await.map(|_| ())
    }
}

/// A fact as another daemon wrote it, with its times brought up to date.
/// Returns none for what can't be read, or what this process wrote itself.
pub(super) fn read_fact(pair: &KeyValue, own: Incarnation) -> Option<SuspectFact> {
    if pair.key.ends_with(&format!("/{:016x}", own.0)) {
        return None;
    }
    let stored: StoredFact = serde_json::from_slice(&pair.value).ok()?;
    let passed = since_ms(stored.written_ms);
    let mut fact = stored.fact;
    fact.lifetime = fact.lifetime.saturating_sub(passed);
    for death in &mut fact.deaths {
        death.age += passed;
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
