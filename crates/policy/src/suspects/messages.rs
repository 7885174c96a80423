//! The messages about suspects that daemons exchange. All times are durations.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::{Incarnation, ServerKey};

/// The identity of a request: a hash of customer, service and body.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Fingerprint(pub u128);

impl Fingerprint {
    /// Returns the fingerprint of a request, which is the same on every daemon.
    ///
    /// It is computed from names, since ids differ between daemons.
    pub fn of(customer: &str, service: &str, body: &[u8]) -> Self {
        let mut hasher = Sha256::new();
        for part in [customer.as_bytes(), service.as_bytes()] {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        hasher.update(body);
        let mut head = [0; 16];
        head.copy_from_slice(&hasher.finalize()[..16]);
        Fingerprint(u128::from_be_bytes(head))
    }
}

/// The id of one attempt of one request on this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunId(pub u64);

/// Identifies one detection of a death, so that a fact that arrives through several
/// daemons is recognised.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathId {
    /// The process that detected the death.
    pub seen_by: Incarnation,
    /// A sequence number within that process.
    pub number: u64,
}

/// The death of a server while a suspect ran on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DeathFact {
    /// Identifies the detection.
    pub id: DeathId,
    /// The server.
    pub server: ServerKey,
    /// The time since the death was detected.
    pub age: Duration,
    /// How long the suspect had been running there.
    pub ran: Duration,
}

/// The status of a fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectStage {
    /// It may run again in a trial only.
    Suspected,
    /// It must not run any more.
    Blocked,
    /// A run of it finished: it didn't cause the listed deaths.
    Cleared,
}

/// What one daemon knows of one fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectFact {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// The status of the fingerprint.
    pub stage: SuspectStage,
    /// The deaths that the status is based on.
    pub deaths: Vec<DeathFact>,
    /// The remaining time for which the fact is valid.
    pub lifetime: Duration,
}

/// Facts for a peer, sent repeatedly until the peer acknowledges them.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// The facts.
    pub facts: Vec<SuspectFact>,
}

/// A peer's acknowledgement of a notice. The peer has applied every fact.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NoticeAck {
    /// The fingerprints in the notice.
    pub noted: Vec<Fingerprint>,
    /// The fingerprints of which a copy runs on the peer, on servers not known to be
    /// dead.
    pub running: Vec<Fingerprint>,
    /// What the peer knows of the fingerprints beyond the notice.
    pub facts: Vec<SuspectFact>,
}

/// Identifies one request for a trial. A resent message carries the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialTicket {
    /// The process that requests the trial.
    pub holder: Incarnation,
    /// A sequence number within that process.
    pub number: u64,
}

impl TrialTicket {
    /// Returns whether this is a later request of the same process. A process requests
    /// another trial only if its earlier one never started or has ended; the message
    /// about that may arrive after the new request.
    pub fn supersedes(&self, earlier: &TrialTicket) -> bool {
        self.holder == earlier.holder && self.number > earlier.number
    }
}

/// A request for permission to run a suspect once more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRequest {
    /// The suspect.
    pub fingerprint: Fingerprint,
    /// The server on which the suspect would run.
    pub server: ServerKey,
    /// Identifies this request.
    pub ticket: TrialTicket,
}

/// The platform's record of a trial, stored under the fingerprint and, until the trial
/// ends, also under the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialRecord {
    /// The request for the trial.
    pub ask: TrialRequest,
    /// Whether the server died in the trial.
    pub died: bool,
}

/// The answer to a [`TrialRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialAnswer {
    /// The suspect may run once on the requested server.
    Granted,
    /// Another trial of the suspect is running, or its end is unknown.
    Held {
        /// The time since that trial was granted.
        age: Duration,
        /// The remaining lifetime of its record.
        left: Duration,
    },
    /// A server died in the suspect's trial.
    Blocked {
        /// The remaining lifetime of the record.
        left: Duration,
    },
    /// Another suspect is on trial on the server.
    ServerTaken,
    /// The trial records are unavailable.
    Unavailable,
}

/// How a trial ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TrialEnd {
    /// The suspect finished, or certainly never started, or was stopped without its
    /// server dying. The record is deleted.
    Released,
    /// The server died. The record stays and blocks the suspect.
    Died,
}

/// Reports the end of a trial to the owner of the trial's record. It has to be resent
/// until it is confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TrialSettlement {
    /// The request for the trial.
    pub ask: TrialRequest,
    /// How the trial ended.
    pub end: TrialEnd,
}
