//! Tracks grants that this daemon issued and that may still be spent.

use std::collections::VecDeque;

use crate::Timestamp;

use super::Tokens;

/// A grant whose tokens the receiver may still spend.
#[derive(Clone, Copy, Debug)]
struct IssuedGrant {
    id: u64,
    reserved: Tokens,
    until: Timestamp,
}

/// The grants that this daemon issued and that may still be spent, with the bucket
/// capacity reserved for them.
///
/// Grant numbers increase, and so do the expiry times within each list, so a grant
/// is found by binary search and expired ones are at the front.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantTracker {
    /// Grants of one token, each for a request that is waiting.
    single: VecDeque<IssuedGrant>,
    /// Grants of several tokens, which last longer.
    several: VecDeque<IssuedGrant>,
    reserved: Tokens,
}

impl GrantTracker {
    /// Returns the capacity reserved for all grants.
    pub(super) fn reserved(&self) -> Tokens {
        self.reserved
    }

    pub(super) fn add(&mut self, id: u64, count: u32, until: Timestamp) {
        let reserved = Tokens::whole(count);
        self.reserved += reserved;
        let grants = if count == 1 {
            &mut self.single
        } else {
            &mut self.several
        };
        grants.push_back(IssuedGrant {
            id,
            reserved,
            until,
        });
    }

    /// Frees the capacity reserved for a grant and returns it. Returns `None` for a
    /// grant that has been removed.
    pub(super) fn settle(&mut self, id: u64) -> Option<Tokens> {
        for grants in [&mut self.single, &mut self.several] {
            let Ok(position) = grants.binary_search_by_key(&id, |grant| grant.id) else {
                continue;
            };
            let reserved = std::mem::take(&mut grants[position].reserved);
            self.reserved -= reserved;
            return Some(reserved);
        }
        None
    }

    /// Removes grants from the front that have expired or were settled, and returns
    /// whether there were any.
    pub(super) fn remove_ended(&mut self, now: Timestamp) -> bool {
        let mut changed = false;
        for grants in [&mut self.single, &mut self.several] {
            while let Some(grant) = grants.front()
                && (grant.until <= now || grant.reserved == Tokens::ZERO)
            {
                self.reserved -= grant.reserved;
                grants.pop_front();
                changed = true;
            }
        }
        changed
    }
}
