//! Which daemon of a zone holds which slot.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{DaemonId, Timestamp};

/// The slots into which each zone's part of all customers is divided.
pub const SLOTS: usize = 64;

/// A daemon on the roster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RosterMember {
    /// Its name.
    pub name: String,
    /// Where its peers reach it, as `ip:port`.
    pub address: String,
    /// A random number of its process; another one means that it restarted.
    pub incarnation: u64,
    /// Whether it may use its slots.
    pub state: MemberState,
}

/// Whether a member may use its slots.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// It may.
    Active,
    /// It is taken for lost: once it has certainly noticed, its slots are free.
    Expelled,
}

/// One zone's record in the platform: its members and who holds which slot.
///
/// It is written by compare-and-swap, and only when members change. Each method
/// returns the record to write, or `None` if nothing is to be written; a daemon
/// acts on a record only after it has read it back or been told it was written.
/// What is written comes from [`ZoneRoster::next_change`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneRoster {
    /// The members, by name.
    pub members: Vec<RosterMember>,
    /// The name of each slot's holder.
    pub slots: Vec<Option<String>>,
    /// A bit for each slot that had a holder at any time. The first holder need
    /// not wait, since nobody can have lent anything from the slot.
    pub used: u64,
}

/// A change of a zone's roster that one of its members writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RosterChange {
    /// The record to write.
    pub roster: ZoneRoster,
    /// The slots that the writer gives away by it, each with its taker's name.
    pub given: Vec<(u8, String)>,
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
    /// With the process `incarnation` of `name` as an active member.
    ///
    /// A restarted process takes over its predecessor's slots: it bound the same
    /// address, so the predecessor is dead. A member that was marked expelled by
    /// mistake clears the mark; it holds its slots as one that just got them.
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

    /// With free slots given to `name`, up to its equal part.
    pub fn with_slots(&self, name: &str) -> Option<ZoneRoster> {
        let mut missing = self.equal_part().saturating_sub(self.count(name));
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

    /// The slots that `name` holds beyond its equal part.
    pub fn excess(&self, name: &str) -> Vec<u8> {
        let excess = self.count(name).saturating_sub(self.equal_part());
        let held = (0..SLOTS as u8).filter(|slot| self.holder(*slot) == Some(name));
        held.take(excess).collect()
    }

    /// Without the holder `name` of these slots. It uses them until their next holder
    /// knows, and no longer.
    pub fn without_slots(&self, name: &str, slots: &[u8]) -> Option<ZoneRoster> {
        let mut roster = self.clone();
        for slot in slots {
            if self.holder(*slot) == Some(name) {
                roster.slots[usize::from(*slot)] = None;
            }
        }
        (roster != *self).then_some(roster)
    }

    /// With each slot that nobody holds given to a member that has less than its equal
    /// part.
    ///
    /// Each record that is written has to name a holder for every slot. Left to be taken
    /// with a second write, slots would be nobody's for as long as the platform is away
    /// if it is lost in between.
    pub fn with_free_slots_given(&self) -> ZoneRoster {
        let mut roster = self.clone();
        for member in &self.members {
            roster = roster.with_slots(&member.name).unwrap_or(roster);
        }
        roster
    }

    /// The next change that `me` has to write, if any.
    ///
    /// `expulsion` is how long a member that is marked keeps its slots; `gone` and
    /// `silent` are as in [`ExpulsionWatch::marked`].
    pub fn next_change(
        &self,
        me: &RosterMember,
        watch: &ExpulsionWatch,
        expulsion: Duration,
        gone: impl Fn(&str) -> bool,
        silent: impl Fn(&str) -> bool,
        now: Timestamp,
    ) -> Option<RosterChange> {
        let joined = self.with_member(&me.name, &me.address, me.incarnation);
        let changed = joined.or_else(|| self.with_slots(&me.name));
        let changed = changed.or_else(|| self.without_slots(&me.name, &self.excess(&me.name)));
        let changed = changed.or_else(|| watch.freed(self, expulsion, now));
        let changed = changed.or_else(|| watch.marked(self, &me.name, gone, silent));
        Some(self.change_to(&me.name, &changed?))
    }

    /// The change by which `me`, which has stopped using its slots, leaves.
    pub fn leaving_change(&self, me: &str) -> Option<RosterChange> {
        let left = self.without_member(me)?;
        Some(self.change_to(me, &left))
    }

    fn change_to(&self, me: &str, changed: &ZoneRoster) -> RosterChange {
        let roster = changed.with_free_slots_given();
        let mut given = Vec::new();
        for (slot, taker) in roster.slots.iter().enumerate() {
            if let Some(taker) = taker
                && taker != me
                && self.holder(slot as u8) == Some(me)
            {
                given.push((slot as u8, taker.clone()));
            }
        }
        RosterChange { roster, given }
    }

    /// Without a member that leaves by itself and has stopped using its slots.
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

    /// With a member marked as expelled.
    pub fn with_expelled(&self, name: &str) -> Option<ZoneRoster> {
        let position = self.position(name).ok()?;
        if self.members[position].state == MemberState::Expelled {
            return None;
        }
        let mut roster = self.clone();
        roster.members[position].state = MemberState::Expelled;
        Some(roster)
    }

    /// Whether this process of `name` is the one on the roster and may use its
    /// slots.
    pub fn is_current(&self, name: &str, incarnation: u64) -> bool {
        let member = self.member(name);
        member.is_some_and(|member| {
            member.incarnation == incarnation && member.state == MemberState::Active
        })
    }

    /// The holder of each slot as a key; slots of expelled members have none.
    pub fn holders(&self, key_of: impl Fn(&str) -> Option<DaemonId>) -> [Option<DaemonId>; SLOTS] {
        let mut holders = [None; SLOTS];
        for (holder, slot) in holders.iter_mut().zip(&self.slots) {
            let name = slot.as_deref().filter(|name| self.is_active(name));
            *holder = name.and_then(&key_of);
        }
        holders
    }

    /// The member called `name`.
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

    fn count(&self, name: &str) -> usize {
        let held = self
            .slots
            .iter()
            .filter(|slot| slot.as_deref() == Some(name));
        held.count()
    }

    fn equal_part(&self) -> usize {
        let active = self
            .members
            .iter()
            .filter(|member| member.state == MemberState::Active);
        SLOTS.div_ceil(active.count().max(1))
    }
}

/// Watches one zone's roster for members to expel, in two steps.
///
/// A member that is lost can't release its slots, and a part of each customer's
/// rate is gone with it. But a member that is merely paused or cut off may spend
/// from them until it notices. So it is first marked; only a daemon that has
/// itself seen the mark for the whole wait frees the slots. The wait is much
/// longer than the time in which a member notices that its view is stale.
#[derive(Clone, Debug, Default)]
pub struct ExpulsionWatch {
    marked: Vec<(String, u64, Timestamp)>,
}

impl ExpulsionWatch {
    /// Notes the record as read at `now`.
    pub fn note(&mut self, roster: &ZoneRoster, now: Timestamp) {
        let old = std::mem::take(&mut self.marked);
        for member in &roster.members {
            if member.state != MemberState::Expelled {
                continue;
            }
            let seen = old.iter().find(|(name, incarnation, _)| {
                *name == member.name && *incarnation == member.incarnation
            });
            let since = seen.map_or(now, |(_, _, since)| *since);
            self.marked
                .push((member.name.clone(), member.incarnation, since));
        }
    }

    /// The record without one member whose mark has stood for `wait`.
    pub fn freed(&self, roster: &ZoneRoster, wait: Duration, now: Timestamp) -> Option<ZoneRoster> {
        let due = self.marked.iter().find(|(name, incarnation, since)| {
            let member = roster.member(name);
            now.since(*since) >= wait
                && member.is_some_and(|member| {
                    member.incarnation == *incarnation && member.state == MemberState::Expelled
                })
        });
        roster.without_member(&due?.0)
    }

    /// The record with one lost member marked: its VM is gone from the list or
    /// leaving, and it hasn't answered a peer for longer than `silence`.
    ///
    /// The list alone isn't enough, since it lags and may be empty by mistake,
    /// and silence alone isn't, since a zone may be split.
    pub fn marked(
        &self,
        roster: &ZoneRoster,
        me: &str,
        gone: impl Fn(&str) -> bool,
        silent: impl Fn(&str) -> bool,
    ) -> Option<ZoneRoster> {
        let lost = roster.members.iter().find(|member| {
            member.name != me
                && member.state == MemberState::Active
                && gone(&member.name)
                && silent(&member.name)
        });
        roster.with_expelled(&lost?.name)
    }
}
