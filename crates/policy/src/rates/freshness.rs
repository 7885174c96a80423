//! Decides whether this daemon's view of roster and settings is recent enough to spend
//! tokens.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

/// The last state received from a peer in this daemon's zone.
#[derive(Clone, Copy, Debug)]
struct PeerView {
    peer: DaemonId,
    /// When the peer's last answer was received.
    received: Timestamp,
    /// When the peer's own view was last confirmed.
    confirmed: Timestamp,
}

/// Tracks how recently this daemon's view of roster and settings was confirmed.
///
/// A daemon whose process was paused may have lost its slots to others meanwhile. It
/// detects this by its own clock: its view is older than the limit, so it spends nothing
/// until the store, or a peer that queried the store, has confirmed the view. Slots
/// of an expelled member are reassigned only after a much longer time than the limit.
///
/// A zone cut off from the store can't confirm its views, but no daemon in it can expel
/// a member either. So a daemon continues to spend if all zone peers that it can reach
/// have stale views too, or if it is the only member on the roster.
///
/// One case stays unsafe: the zone itself is split and only one side reaches the store.
/// The members on the other side see each other's stale views, assume that the whole zone
/// is cut off, and continue to spend. If the split lasts longer than the expulsion delay,
/// the first side reassigns their slots, and the zone's part of a customer's rate can be
/// spent twice, but not more. The same holds for a single member whose zone gains a
/// second one on the other side of such a split.
#[derive(Clone, Debug)]
pub(super) struct Freshness {
    /// When the view was last confirmed.
    confirmed_at: Option<Timestamp>,
    /// When this daemon last called [`Freshness::tick`].
    ticked_at: Timestamp,
    /// When the process resumed after a pause, until the view is confirmed again.
    resumed_at: Option<Timestamp>,
    is_only_member: bool,
    peers: Vec<PeerView>,
}

impl Freshness {
    pub(super) fn new(now: Timestamp) -> Self {
        Freshness {
            confirmed_at: None,
            ticked_at: now,
            resumed_at: None,
            is_only_member: false,
            peers: Vec::new(),
        }
    }

    pub(super) fn confirm(&mut self, at: Timestamp) {
        if self
            .confirmed_at
            .is_none_or(|confirmed_at| confirmed_at < at)
        {
            self.confirmed_at = Some(at);
        }
        if self.resumed_at.is_some_and(|resumed_at| at >= resumed_at) {
            self.resumed_at = None;
        }
    }

    pub(super) fn note_peer(&mut self, peer: DaemonId, received: Timestamp, confirmed: Timestamp) {
        let view = PeerView {
            peer,
            received,
            confirmed,
        };
        match self.peers.binary_search_by_key(&peer, |view| view.peer) {
            Ok(position) => self.peers[position] = view,
            Err(position) => self.peers.insert(position, view),
        }
    }

    /// Sets the other members of the zone.
    pub(super) fn set_members(&mut self, members: &[DaemonId]) {
        self.is_only_member = members.is_empty();
        self.peers.retain(|view| members.contains(&view.peer));
    }

    /// Records that this daemon is running. A gap longer than `limit` since the last call
    /// means that the process was paused, so the view must be confirmed again.
    pub(super) fn tick(&mut self, now: Timestamp, limit: Duration) {
        if now.since(self.ticked_at) > limit {
            self.resumed_at = Some(now);
        }
        self.ticked_at = now;
    }

    pub(super) fn may_spend(&self, now: Timestamp, limit: Duration) -> bool {
        let Some(confirmed_at) = self.confirmed_at else {
            return false;
        };
        if self.resumed_at.is_some() || now.since(self.ticked_at) > limit {
            return false;
        }
        if now.since(confirmed_at) <= limit || self.is_only_member {
            return true;
        }
        let mut reachable = false;
        for view in &self.peers {
            if now.since(view.received) > limit {
                continue;
            }
            if now.since(view.confirmed) <= limit {
                return false;
            }
            reachable = true;
        }
        reachable
    }
}
