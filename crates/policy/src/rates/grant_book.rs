//! Tracks grants that this daemon issued and that may still be spent.

use std::collections::VecDeque;

use crate::Timestamp;

use super::Tokens;

/// A grant whose tokens the receiver may still spend.
#[derive(Clone, Copy, Debug)]
struct GivenGrant {
    id: u64,
    room: Tokens,
    until: Timestamp,
}

/// The grants that this daemon issued and that may still be spent, with the bucket
/// capacity reserved for them.
///
/// Grant numbers increase, and so do the expiry times within each list, so a grant
/// is found by binary search and expired ones are at the front.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantBook {
    /// Grants of one token, each for a request that is waiting.
    single: VecDeque<GivenGrant>,
    /// Grants of several tokens, which last longer.
    several: VecDeque<GivenGrant>,
    room: Tokens,
}

impl GrantBook {
    /// Returns the capacity reserved for all grants.
    pub(super) fn room(&self) -> Tokens {
        self.room
    }

    pub(super) fn add(&mut self, id: u64, count: u32, until: Timestamp) {
        let room = Tokens::whole(count);
        self.room += room;
        let grants = if count == 1 {
            &mut self.single
        } else {
            &mut self.several
        };
        grants.push_back(GivenGrant { id, room, until });
    }

    /// Frees the capacity reserved for a grant and returns it. Returns `None` for a
    /// grant that has been removed.
    pub(super) fn settle(&mut self, id: u64) -> Option<Tokens> {
        for grants in [&mut self.single, &mut self.several] {
            let Ok(position) = grants.binary_search_by_key(&id, |grant| grant.id) else {
                continue;
            };
            let room = std::mem::take(&mut grants[position].room);
            self.room -= room;
            return Some(room);
        }
        None
    }

    /// Removes grants from the front that have expired or were settled, and returns
    /// whether there were any.
    pub(super) fn end(&mut self, now: Timestamp) -> bool {
        let mut changed = false;
        for grants in [&mut self.single, &mut self.several] {
            while let Some(grant) = grants.front()
                && (grant.until <= now || grant.room == Tokens::ZERO)
            {
                self.room -= grant.room;
                grants.pop_front();
                changed = true;
            }
        }
        changed
    }
}
