//! Tokens that holders granted to this daemon.

use crate::{DaemonId, Timestamp};

/// One grant that this daemon received.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReceivedGrant {
    /// The daemon that granted the tokens.
    pub(super) holder: DaemonId,
    /// The roster slot they come from.
    pub(super) slot: u8,
    /// The holder's number for the grant.
    pub(super) grant: u64,
    /// The number of tokens left.
    pub(super) count: u32,
    /// When they expire, on this daemon's clock.
    pub(super) until: Timestamp,
    /// Whether the holder requests a settlement as soon as they are spent.
    pub(super) settle: bool,
}

/// The grants that this daemon received for one customer.
#[derive(Clone, Debug, Default)]
pub(super) struct GrantedTokens {
    grants: Vec<ReceivedGrant>,
}

impl GrantedTokens {
    pub(super) fn add(&mut self, grant: ReceivedGrant) {
        self.grants.push(grant);
    }

    /// Spends one token and returns the grant if that was its last token. Returns
    /// `None` if there is no token to spend.
    ///
    /// Expired grants are never spent: the holder may already count their capacity
    /// as free, and the customer would get the tokens twice.
    pub(super) fn spend(&mut self, now: Timestamp) -> Option<Option<ReceivedGrant>> {
        let position = self.grants.iter().position(|grant| grant.until > now)?;
        let grant = &mut self.grants[position];
        grant.count -= 1;
        if grant.count > 0 {
            return Some(None);
        }
        Some(Some(self.grants.swap_remove(position)))
    }

    /// Removes and returns one grant that expires by `limit`, if there is any.
    pub(super) fn remove_expiring(&mut self, limit: Timestamp) -> Option<ReceivedGrant> {
        let position = self.grants.iter().position(|grant| grant.until <= limit)?;
        Some(self.grants.swap_remove(position))
    }

    pub(super) fn is_empty(&self) -> bool {
        self.grants.is_empty()
    }

    pub(super) fn clear(&mut self) {
        self.grants.clear();
    }
}
