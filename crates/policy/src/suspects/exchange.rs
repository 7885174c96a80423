//! Exchange of suspects between daemons.

use super::entry::{Death, Entry};
use super::suspect_table::SUSPECT_LIFETIME;
use super::{Fingerprint, SuspectFact, SuspectStage, SuspectTable};
use crate::Timestamp;

impl SuspectTable {
    /// Returns what this daemon knows of one fingerprint.
    pub fn fact(&self, fingerprint: Fingerprint, now: Timestamp) -> Option<SuspectFact> {
        self.entry(fingerprint).map(|it| it.fact(now))
    }

    /// Returns all that this daemon knows, for a peer that starts.
    pub fn export(&self, now: Timestamp) -> Vec<SuspectFact> {
        let known = self
            .entries
            .iter()
            .filter(|it| it.until > now && !it.cleared);
        known.map(|it| it.fact(now)).collect()
    }

    /// Applies what another daemon exported or the platform stored. A daemon that
    /// starts does so before it accepts requests.
    pub fn import(&mut self, facts: &[SuspectFact], now: Timestamp) {
        for fact in facts {
            self.import_fact(fact, now);
        }
    }

    pub(super) fn import_fact(&mut self, fact: &SuspectFact, now: Timestamp) {
        let deaths = fact.deaths.iter().map(|it| Death::from_fact(it, now));
        let lifetime = fact.lifetime.min(SUSPECT_LIFETIME);
        if fact.stage == SuspectStage::Cleared {
            let Ok(at) = self.position(fact.fingerprint) else {
                return;
            };
            let cleared: Vec<Death> = deaths.collect();
            let entry = &mut self.entries[at];
            let mut clearing = Entry::new(fact.fingerprint, now);
            clearing.deaths = cleared;
            // A fact clears only the deaths that its sender knew of.
            if !entry.blocked && entry.deaths.iter().all(|it| clearing.knows_death(it)) {
                entry.cleared = true;
            }
            return;
        }
        let at = self.insert(fact.fingerprint, now + lifetime);
        let entry = &mut self.entries[at];
        let mut changed = false;
        for death in deaths {
            changed |= entry.add_death(death);
        }
        entry.blocked |= fact.stage == SuspectStage::Blocked;
        if changed {
            entry.until = entry.until.max(now + lifetime);
        }
    }
}
