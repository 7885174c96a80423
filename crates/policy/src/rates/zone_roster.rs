//! The roster record, which says which daemon of a zone holds which slot.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DaemonId, Timestamp};

/// The number of slots on each zone's roster.
pub const SLOTS: usize = 64;

/// A daemon on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterMember {
    /// The daemon's name.
    pub name: String,
    /// The address for its peers, as `ip:port`.
    pub address: String,
    /// A random number drawn by its process; a different number means that it restarted.
    pub incarnation: u64,
    /// Whether it may use its slots.
    pub state: MemberState,
}

/// Whether a member may use its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// The member may use its slots.
    Active,
    /// The member is considered lost. Its slots become free after the expulsion delay,
    /// when it has certainly detected that its view is stale.
    Expelled,
}

/// One zone's record in the store: its members and the holder of each slot.
///
/// The record is written by compare-and-swap, and only when members change. Most methods
/// that change it return the new record, or `None` if nothing is to be written. A daemon
/// acts on a record only after it has read it back or the store has acknowledged the
/// write. [`ZoneRoster::next_change`] selects the change to write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRoster {
    /// The members, by name.
    pub members: Vec<RosterMember>,
    /// The name of each slot's holder.
    pub slots: Vec<Option<String>>,
    /// A bit for each slot that ever had a holder. The first holder of a slot need not
    /// wait, since no daemon can have granted or lent anything from it.
    pub used: u64,
}

/// A change of a zone's roster that one of its members writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterChange {
    /// The record to write.
    pub roster: ZoneRoster,
    /// The slots that the writer hands over by it, each with its new holder's name.
    pub handed_over: Vec<(u8, String)>,
}

impl Default for ZoneRoster {
    fn default() -> Self {
        ZoneRoster {
            members: Vec::new(),
            slots: vec![None; SLOTS],
            used: 0,
        }
    }
}

impl ZoneRoster {
    /// Adds the process `incarnation` of `name` as an active member.
    ///
    /// A restarted process takes over its predecessor's slots: it has bound the same
    /// address, so the predecessor is dead. A member that was marked as expelled by
    /// mistake clears the mark; it then waits as a new holder of its slots does.
    pub fn with_member(&self, name: &str, address: &str, incarnation: u64) -> Option<ZoneRoster> {
        let member = RosterMember {
            name: name.to_owned(),
            address: address.to_owned(),
            incarnation,
            state: MemberState::Active,
        };
        let mut roster = self.clone();
        match self.position(name) {
            Ok(position) if self.members[position] == member => return None,
            Ok(position) => roster.members[position] = member,
            Err(position) => roster.members.insert(position, member),
        }
        Some(roster)
    }

    /// Assigns free slots to `name`, up to its equal share.
    pub fn with_slots(&self, name: &str) -> Option<ZoneRoster> {
        let mut missing = self.equal_share().saturating_sub(self.slot_count(name));
        if missing == 0 || !self.is_active(name) {
            return None;
        }
        let mut roster = self.clone();
        let free = roster.slots.iter_mut().enumerate();
        for (number, slot) in free.filter(|(_, slot)| slot.is_none()) {
            if missing == 0 {
                break;
            }
            *slot = Some(name.to_owned());
            roster.used |= 1 << number;
            missing -= 1;
        }
        (roster != *self).then_some(roster)
    }

    /// Returns the slots that `name` holds beyond its equal share.
    pub fn excess_slots(&self, name: &str) -> Vec<u8> {
        let excess = self.slot_count(name).saturating_sub(self.equal_share());
        let held = (0..SLOTS as u8).filter(|slot| self.holder(*slot) == Some(name));
        held.take(excess).collect()
    }

    /// Removes `name` as the holder of `slots`. It continues to use them only until their
    /// next holder may have read the roster.
    pub fn without_slots(&self, name: &str, slots: &[u8]) -> Option<ZoneRoster> {
        let mut roster = self.clone();
        for slot in slots {
            if self.holder(*slot) == Some(name) {
                roster.slots[usize::from(*slot)] = None;
            }
        }
        (roster != *self).then_some(roster)
    }

    /// Assigns each slot without a holder to a member that has less than its equal share.
    ///
    /// Each record that is written has to name a holder for every slot. If slots were
    /// assigned by a second write and the store became unavailable in between, they would
    /// have no holder until it is back.
    pub fn with_free_slots_assigned(&self) -> ZoneRoster {
        let mut roster = self.clone();
        for member in &self.members {
            roster = roster.with_slots(&member.name).unwrap_or(roster);
        }
        roster
    }

    /// Returns the next change that `own` has to write, if any.
    ///
    /// `expulsion` is how long a member that is marked as expelled keeps its slots; `gone`
    /// and `silent` are as in [`ExpulsionTracker::marked`].
    pub fn next_change(
        &self,
        own: &RosterMember,
        tracker: &ExpulsionTracker,
        expulsion: Duration,
        gone: impl Fn(&str) -> bool,
        silent: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Option<RosterChange> {
        let joined = self.with_member(&own.name, &own.address, own.incarnation);
        let changed = joined.or_else(|| self.with_slots(&own.name));
        let changed =
            changed.or_else(|| self.without_slots(&own.name, &self.excess_slots(&own.name)));
        let changed = changed.or_else(|| tracker.freed(self, expulsion, now));
        let changed = changed.or_else(|| tracker.marked(self, &own.name, gone, silent));
        Some(self.change_to(&own.name, &changed?))
    }

    /// Returns the change that removes `own_name`, which has stopped using its slots.
    pub fn leaving_change(&self, own_name: &str) -> Option<RosterChange> {
        let left = self.without_member(own_name)?;
        Some(self.change_to(own_name, &left))
    }

    fn change_to(&self, own_name: &str, changed: &ZoneRoster) -> RosterChange {
        let roster = changed.with_free_slots_assigned();
        let mut given = Vec::new();
        for (slot, new_holder) in roster.slots.iter().enumerate() {
            if let Some(new_holder) = new_holder
                && new_holder != own_name
                && self.holder(slot as u8) == Some(own_name)
            {
                given.push((slot as u8, new_holder.clone()));
            }
        }
        RosterChange {
            roster,
            handed_over: given,
        }
    }

    /// Removes a member that has stopped using its slots, and frees them.
    pub fn without_member(&self, name: &str) -> Option<ZoneRoster> {
        let position = self.position(name).ok()?;
        let mut roster = self.clone();
        roster.members.remove(position);
        for slot in &mut roster.slots {
            if slot.as_deref() == Some(name) {
                *slot = None;
            }
        }
        Some(roster)
    }

    /// Marks a member as expelled.
    pub fn with_expelled(&self, name: &str) -> Option<ZoneRoster> {
        let position = self.position(name).ok()?;
        if self.members[position].state == MemberState::Expelled {
            return None;
        }
        let mut roster = self.clone();
        roster.members[position].state = MemberState::Expelled;
        Some(roster)
    }

    /// Whether the process `incarnation` of `name` is the one on the roster and may use
    /// its slots.
    pub fn is_current(&self, name: &str, incarnation: u64) -> bool {
        let member = self.member(name);
        member.is_some_and(|member| {
            member.incarnation == incarnation && member.state == MemberState::Active
        })
    }

    /// Returns the holder of each slot as an id; slots of expelled members have none.
    pub fn holders(&self, key_of: impl Fn(&str) -> Option<DaemonId>) -> [Option<DaemonId>; SLOTS] {
        let mut holders = [None; SLOTS];
        for (holder, slot) in holders.iter_mut().zip(&self.slots) {
            let name = slot.as_deref().filter(|name| self.is_active(name));
            *holder = name.and_then(&key_of);
        }
        holders
    }

    /// Returns the member called `name`.
    pub fn member(&self, name: &str) -> Option<&RosterMember> {
        let position = self.position(name).ok()?;
        Some(&self.members[position])
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.name.as_str().cmp(name))
    }

    fn holder(&self, slot: u8) -> Option<&str> {
        self.slots.get(usize::from(slot))?.as_deref()
    }

    fn is_active(&self, name: &str) -> bool {
        let member = self.member(name);
        member.is_some_and(|member| member.state == MemberState::Active)
    }

    fn slot_count(&self, name: &str) -> usize {
        let held = self
            .slots
            .iter()
            .filter(|slot| slot.as_deref() == Some(name));
        held.count()
    }

    fn equal_share(&self) -> usize {
        let active = self
            .members
            .iter()
            .filter(|member| member.state == MemberState::Active);
        SLOTS.div_ceil(active.count().max(1))
    }
}

/// Expels lost members from one zone's roster, in two steps.
///
/// A lost member can't release its slots, so a part of each customer's rate is lost with
/// it. But a member that is only paused or cut off may spend from its slots until it
/// detects that. So it is first marked, and only a daemon that has itself seen the mark
/// for the whole expulsion delay frees the slots. This delay is much longer than the time
/// in which a member detects that its view is stale.
#[derive(Clone, Debug, Default)]
pub struct ExpulsionTracker {
    /// The members marked as expelled: name, incarnation, and when the mark was first seen.
    marked_since: Vec<(String, u64, Timestamp)>,
}

impl ExpulsionTracker {
    /// Updates the marked members from the record as read at `now`.
    pub fn note(&mut self, roster: &ZoneRoster, now: Timestamp) {
        let old = std::mem::take(&mut self.marked_since);
        for member in &roster.members {
            if member.state != MemberState::Expelled {
                continue;
            }
            let seen = old.iter().find(|(name, incarnation, _)| {
                *name == member.name && *incarnation == member.incarnation
            });
            let since = seen.map_or(now, |(_, _, since)| *since);
            self.marked_since
                .push((member.name.clone(), member.incarnation, since));
        }
    }

    /// Returns the record without one member that has been marked for `wait`, if there is
    /// such a member.
    pub fn freed(&self, roster: &ZoneRoster, wait: Duration, now: Timestamp) -> Option<ZoneRoster> {
        let due = self.marked_since.iter().find(|(name, incarnation, since)| {
            let member = roster.member(name);
            now.since(*since) >= wait
                && member.is_some_and(|member| {
                    member.incarnation == *incarnation && member.state == MemberState::Expelled
                })
        });
        roster.without_member(&due?.0)
    }

    /// Returns the record with one lost member marked as expelled, if there is one.
    ///
    /// A member is lost if it is both `gone` (its VM is no longer in the VM list, or is
    /// leaving) and `silent` (it hasn't answered a peer for too long). The list alone isn't
    /// enough, since it lags and may be empty by mistake, and silence alone isn't enough,
    /// since a zone may be split.
    pub fn marked(
        &self,
        roster: &ZoneRoster,
        own_name: &str,
        gone: impl Fn(&str) -> bool,
        silent: impl Fn(&str) -> bool,
    ) -> Option<ZoneRoster> {
        let lost = roster.members.iter().find(|member| {
            member.name != own_name
                && member.state == MemberState::Active
                && gone(&member.name)
                && silent(&member.name)
        });
        roster.with_expelled(&lost?.name)
    }
}
