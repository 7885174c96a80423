//! Trial records held in memory.

use super::suspect_table::SUSPECT_LIFETIME;
use super::{TrialAnswer, TrialEnd, TrialRecord, TrialRequest, TrialSettlement};
use crate::Timestamp;

/// Trial records held in memory.
///
/// It specifies the effect of the transactions on the platform's records, and can
/// replace them on a single daemon during an outage of the platform.
#[derive(Clone, Debug, Default)]
pub struct TrialTracker {
    records: Vec<(TrialRecord, Timestamp)>,
}

impl TrialTracker {
    /// Answers a request for a trial. A repeated request gets the same answer.
    pub fn ask(&mut self, ask: &TrialRequest, now: Timestamp) -> TrialAnswer {
        self.records
            .retain(|&(_, at)| now.since(at) < SUSPECT_LIFETIME);
        let same = |it: &(TrialRecord, Timestamp)| it.0.ask.fingerprint == ask.fingerprint;
        if let Some(found) = self.records.iter().position(same) {
            let (record, at) = &self.records[found];
            let age = now.since(*at);
            let left = SUSPECT_LIFETIME.saturating_sub(age);
            return match record {
                TrialRecord { died: true, .. } => TrialAnswer::Blocked { left },
                TrialRecord { ask: held, .. } if held == ask => TrialAnswer::Granted,
                TrialRecord { ask: held, .. } if ask.ticket.supersedes(&held.ticket) => {
                    self.records.remove(found);
                    self.ask(ask, now)
                }
                _ => TrialAnswer::Held { age, left },
            };
        }
        let mut trials = self.records.iter();
        if trials.any(|(it, _)| !it.died && it.ask.server == ask.server) {
            return TrialAnswer::ServerTaken;
        }
        let record = TrialRecord {
            ask: *ask,
            died: false,
        };
        self.records.push((record, now));
        TrialAnswer::Granted
    }

    /// Records the end of a trial.
    pub fn settle(&mut self, settlement: &TrialSettlement) {
        let found = |it: &(TrialRecord, Timestamp)| it.0.ask == settlement.ask;
        let Some(at) = self.records.iter().position(found) else {
            return;
        };
        match settlement.end {
            TrialEnd::Released => {
                self.records.remove(at);
            }
            TrialEnd::Died => self.records[at].0.died = true,
        }
    }
}
