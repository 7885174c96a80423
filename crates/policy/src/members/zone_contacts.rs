//! Which zones a daemon hears.
//!
//! The load pattern: a zone is cut off while callers are at their peak. Each request to one
//! of its servers costs its caller a timeout, and each daemon would find out by itself,
//! server by server. The reports of the zone's daemons end all at once, which shows the cut
//! long before that (`tests/zone_contacts.rs`).
//!
//! Daemons may also have left for good, or be cut off from this one while the servers of
//! their zone aren't. So silence is only a reason to ask these servers (`probe_silent_zones`
//! of the node), and an answer of one of them outweighs it.

use std::time::Duration;

use crate::Timestamp;

/// The shortest silence of a whole zone that counts as a cut. It is several times the delay
/// with which a busy VM reads its datagrams.
const MIN_SILENCE: Duration = Duration::from_millis(500);
/// How many reports of a zone have to be missing: daemons report at moments of their own,
/// and datagrams are lost.
const MISSING_REPORTS: u32 = 12;
/// How long after an answer of one of its servers a zone without reports counts as reachable:
/// two probes may fail in between.
const ANSWER_LIFETIME: Duration = Duration::from_millis(2_500);

/// What a daemon last received from a zone.
#[derive(Clone, Debug)]
struct ZoneContact {
    zone: String,
    /// When a daemon of the zone was heard last.
    heard_at: Timestamp,
    /// When its daemons were found to be silent; `None` while they are heard.
    silent_since: Option<Timestamp>,
    /// When one of its servers answered last while its daemons were silent.
    answered_at: Option<Timestamp>,
}

impl ZoneContact {
    fn new(zone: &str, now: Timestamp) -> Self {
        ZoneContact {
            zone: zone.to_owned(),
            heard_at: now,
            silent_since: None,
            answered_at: None,
        }
    }

    fn is_silent(&self) -> bool {
        self.silent_since.is_some()
    }

    /// Returns whether servers of the zone answer although its daemons are silent.
    fn answers(&self, now: Timestamp) -> bool {
        self.answered_at
            .is_some_and(|at| now.since(at) < ANSWER_LIFETIME)
    }
}

/// When a daemon last heard the daemons of each zone.
#[derive(Clone, Debug, Default)]
pub struct ZoneContacts {
    /// Sorted by zone.
    contacts: Vec<ZoneContact>,
}

impl ZoneContacts {
    /// Records that a report of a daemon of a zone arrived.
    pub fn note(&mut self, zone: &str, now: Timestamp) {
        match self.index(zone) {
            Ok(index) => {
                let contact = &mut self.contacts[index];
                contact.heard_at = contact.heard_at.max(now);
                contact.silent_since = None;
                contact.answered_at = None;
            }
            Err(index) => self.contacts.insert(index, ZoneContact::new(zone, now)),
        }
    }

    /// Records that a server of a zone answered. Only an answer that arrives while the zone's
    /// daemons are silent is evidence against a cut. Returns whether the zone was avoided
    /// until then.
    pub fn note_answer(&mut self, zone: &str, now: Timestamp) -> bool {
        let Ok(index) = self.index(zone) else {
            return false;
        };
        let contact = &mut self.contacts[index];
        if !contact.is_silent() {
            return false;
        }
        let was_avoided = !contact.answers(now);
        contact.answered_at = Some(now);
        was_avoided
    }

    /// Returns the zones that were heard before and aren't any more, and whose servers don't
    /// answer either. `daemons` returns the number of daemons of a zone, each of which reports
    /// at least every `interval`.
    ///
    /// Without any report, from the zone `own` either, this daemon itself may have been
    /// suspended or cut off, and no zone counts as silent. Neither does a zone that was
    /// never heard: this daemon may have just started. A zone without daemons whose servers
    /// answer has nobody who could be heard, and is forgotten.
    pub fn silent(
        &mut self,
        own: &str,
        daemons: impl Fn(&str) -> usize,
        interval: Duration,
        now: Timestamp,
    ) -> Vec<String> {
        let is_unheard = |it: &ZoneContact| {
            let reports = daemons(&it.zone).max(1) as u32;
            let limit = (interval * MISSING_REPORTS / reports).max(MIN_SILENCE);
            now.since(it.heard_at) > limit
        };
        let hears_own_zone = self
            .contacts
            .iter()
            .any(|it| it.zone == own && !is_unheard(it));
        if !hears_own_zone {
            return Vec::new();
        }
        for contact in &mut self.contacts {
            if is_unheard(contact) {
                contact.silent_since.get_or_insert(now);
            }
        }
        self.contacts
            .retain(|it| !it.is_silent() || !it.answers(now) || daemons(&it.zone) > 0);
        let avoided = self.contacts.iter();
        let avoided = avoided.filter(|it| it.is_silent() && !it.answers(now));
        avoided.map(|it| it.zone.clone()).collect()
    }

    /// Returns the zones whose daemons are silent, whether or not their servers answer. An
    /// answer of a server is proof for a moment only, so one of them has to be asked again and
    /// again.
    pub fn unheard(&self) -> impl Iterator<Item = &str> {
        let silent = self.contacts.iter().filter(|it| it.is_silent());
        silent.map(|it| it.zone.as_str())
    }

    fn index(&self, zone: &str) -> Result<usize, usize> {
        self.contacts
            .binary_search_by(|it| it.zone.as_str().cmp(zone))
    }
}
