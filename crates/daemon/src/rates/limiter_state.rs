//! The rate limiter's state, which its lock guards.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{
    DaemonId, Timestamp,
    rates::{
        CustomerRate, ExpulsionTracker, LedgerTiming, MemberState, RosterChange, RosterMember,
        SLOTS, ShareLedger,
    },
};

use comfreyramp_store::WriteBatch;

use super::RosterView;

/// How long a member must have been silent, that is without answers, before it may
/// be marked as expelled.
const MIN_SILENCE: Duration = Duration::from_secs(5);

/// Another daemon, or this one at index 0, as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct KnownDaemon {
    /// Its name.
    pub name: String,
    /// The number of the zone on whose roster it is an active member, if any.
    pub zone: Option<usize>,
    /// The address at which its peers reach it.
    pub address: Option<SocketAddr>,
    /// Since when it hasn't answered; none if it answered the last request.
    pub silent_since: Option<Timestamp>,
}

/// The state that the rate limiter's lock guards. No code that runs under the lock
/// can fail half-way and leave the state inconsistent.
#[derive(Debug)]
pub(super) struct LimiterState {
    pub(super) name: String,
    pub(super) zone: String,
    pub(super) address: String,
    pub(super) incarnation: u64,
    pub(super) ledger: Option<ShareLedger>,
    /// The daemons by id; this one has id 0.
    pub(super) daemons: Vec<KnownDaemon>,
    pub(super) view: RosterView,
    /// When the view was last known to be current.
    pub(super) verified: Option<Timestamp>,
    /// The highest revision of the rosters that a peer has reported.
    pub(super) peer_revision: i64,
    pub(super) rates: Vec<CustomerRate>,
    /// The daemons that the VM list names as live; empty if it couldn't be read.
    pub(super) listed: Vec<String>,
    pub(super) watch: ExpulsionTracker,
    pub(super) leaving: bool,
}

/// A change of this zone's roster that is about to be written.
#[derive(Debug)]
pub(super) struct PlannedChange {
    /// The number of this daemon's zone.
    pub(super) zone: usize,
    pub(super) change: RosterChange,
    /// The slots that had no holder before, as a bit mask.
    pub(super) unheld: u64,
    pub(super) batch: WriteBatch,
    /// The slots that the change gives away and that weren't being handed over
    /// already.
    pub(super) given: Vec<u8>,
}

impl LimiterState {
    /// Returns the id of the daemon called `name`, and assigns one if it is new.
    pub(super) fn id_of(&mut self, name: &str) -> DaemonId {
        let found = self.daemons.iter().position(|daemon| daemon.name == name);
        let index = found.unwrap_or_else(|| {
            let name = name.to_owned();
            self.daemons.push(KnownDaemon {
                name,
                ..KnownDaemon::default()
            });
            self.daemons.len() - 1
        });
        DaemonId(index as u32)
    }

    /// Returns the number of this daemon's zone, or none if the list of zones
    /// doesn't have it yet.
    pub(super) fn own_zone(&self) -> Option<usize> {
        self.view.zone(&self.zone)
    }

    /// Applies a view of the rosters that was current at `at`. The slots in
    /// `unheld` had no holder before this daemon. Older views are ignored.
    pub(super) fn apply(&mut self, view: RosterView, unheld: u64, at: Timestamp, now: Timestamp) {
        if view.revision < self.view.revision {
            return;
        }
        let changed = view != self.view || self.ledger.is_none();
        self.view = view;
        self.verified = self.verified.max(Some(at));
        let Some(own) = self.own_zone() else {
            return;
        };
        if changed {
            self.update_members();
            self.update_ledger(own, unheld, now);
        }
        self.watch.note(&self.view.records[own].roster, now);
    }

    /// Returns the next change that this zone's roster needs, if any.
    fn next_change(&self, now: Timestamp) -> Option<RosterChange> {
        let roster = &self.view.records[self.own_zone()?].roster;
        if self.leaving {
            return roster.leaving_change(&self.name);
        }
        let me = RosterMember {
            name: self.name.clone(),
            address: self.address.clone(),
            incarnation: self.incarnation,
            state: MemberState::Active,
        };
        let expulsion = LedgerTiming::default().expulsion_delay;
        let delisted = |name: &str| self.is_delisted(name);
        let silent = |name: &str| self.is_silent(name, now);
        roster.next_change(&me, &self.watch, expulsion, delisted, silent, now)
    }

    /// Prepares the write of the next roster change, if one is needed, and records
    /// in the ledger the slots that it gives away.
    pub(super) fn plan_change(&mut self, now: Timestamp) -> anyhow::Result<Option<PlannedChange>> {
        let Some((zone, change)) = self.own_zone().zip(self.next_change(now)) else {
            return Ok(None);
        };
        // Another zone that doesn't count this one yet divides the rate by fewer
        // zones, and may still use this one's share of it.
        let is_alone = self.view.zones.len() == 1;
        let unheld = match is_alone {
            true => change.roster.used & !self.view.records[zone].roster.used,
            false => 0,
        };
        let batch = self.view.put_roster(zone, &change.roster)?;
        let given = self.give_slots(&change.handed_over, now);
        Ok(Some(PlannedChange {
            zone,
            change,
            unheld,
            batch,
            given,
        }))
    }

    fn give_slots(&mut self, given: &[(u8, String)], now: Timestamp) -> Vec<u8> {
        let revision = self.view.revision;
        let mut fresh = Vec::new();
        if self.leaving {
            return fresh;
        }
        for (slot, taker) in given {
            let taker = self.id_of(taker);
            let ledger = self.ledger.as_mut();
            if ledger.is_some_and(|ledger| ledger.hand_over(*slot, taker, revision, now)) {
                fresh.push(*slot);
            }
        }
        fresh
    }

    /// Resumes the use of slots after the write that would have given them away
    /// failed.
    pub(super) fn take_slots_back(&mut self, slots: &[u8], now: Timestamp) {
        if let Some(ledger) = &mut self.ledger {
            for slot in slots {
                ledger.cancel_handover(*slot, now);
            }
        }
    }

    /// Returns the other active members of this zone's roster.
    pub(super) fn zone_peers(&self) -> Vec<DaemonId> {
        let own = self.own_zone();
        let peers = self.daemons.iter().enumerate().skip(1);
        let peers = peers.filter(|(_, daemon)| daemon.zone.is_some() && daemon.zone == own);
        peers.map(|(index, _)| DaemonId(index as u32)).collect()
    }

    /// Returns whether a daemon is missing from the VM list. False while the list
    /// couldn't be read.
    pub(super) fn is_delisted(&self, name: &str) -> bool {
        !self.listed.is_empty() && !self.listed.iter().any(|listed| listed == name)
    }

    fn is_silent(&self, name: &str, now: Timestamp) -> bool {
        let daemon = self.daemons.iter().find(|daemon| daemon.name == name);
        let since = daemon.and_then(|daemon| daemon.silent_since);
        since.is_some_and(|since| now.since(since) >= MIN_SILENCE)
    }

    /// Stops using all slots, before this daemon leaves the roster.
    pub(super) fn release_all_slots(&mut self, now: Timestamp) {
        self.leaving = true;
        let Some(own) = self.own_zone() else {
            return;
        };
        let holders = self.holders(own);
        if let Some(ledger) = &mut self.ledger {
            ledger.end_all_handovers();
            ledger.set_holders(own, &holders, 0, now);
        }
    }

    fn update_members(&mut self) {
        for daemon in &mut self.daemons {
            daemon.zone = None;
        }
        let records = std::mem::take(&mut self.view.records);
        for (zone, record) in records.iter().enumerate() {
            for member in &record.roster.members {
                let id = self.id_of(&member.name);
                let daemon = &mut self.daemons[id.index()];
                daemon.address = member.address.parse().ok();
                if member.state == MemberState::Active {
                    daemon.zone = Some(zone);
                }
            }
        }
        self.view.records = records;
    }

    fn update_ledger(&mut self, own: usize, unheld: u64, now: Timestamp) {
        let zones = self.view.zones.len();
        let peers = self.zone_peers();
        let holders: Vec<_> = (0..zones).map(|zone| self.holders(zone)).collect();
        let incarnation = self.incarnation;
        let ledger = self.ledger.get_or_insert_with(|| {
            let timing = LedgerTiming::default();
            ShareLedger::new(DaemonId(0), own, zones, timing, incarnation, now)
        });
        ledger.set_zones(zones);
        for (zone, holders) in holders.iter().enumerate() {
            let unheld = if zone == own { unheld } else { 0 };
            ledger.set_holders(zone, holders, unheld, now);
        }
        ledger.note_roster(self.view.records[own].modified, now);
        ledger.set_rates(&self.rates, now);
        ledger.set_members(&peers);
    }

    /// Returns the holder of each slot of a zone. If the roster names this daemon
    /// with another incarnation, another process has taken its place, and this
    /// one holds no slot.
    fn holders(&self, zone: usize) -> [Option<DaemonId>; SLOTS] {
        let roster = &self.view.records[zone].roster;
        let current = roster.is_current(&self.name, self.incarnation) && !self.leaving;
        roster.holders(|name| {
            let index = self.daemons.iter().position(|daemon| daemon.name == name)?;
            (index != 0 || current).then_some(DaemonId(index as u32))
        })
    }
}
