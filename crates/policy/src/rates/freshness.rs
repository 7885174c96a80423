//! Decides whether this daemon's view of roster and settings is recent enough to spend
//! tokens.

use std::time::Duration;

use crate::{DaemonId, Timestamp};

/// The last state received from a peer in this daemon's zone.
#[derive(Clone, Copy, Debug)]
struct PeerView {
    peer: DaemonId,
    heard: Timestamp,
    fresh: Timestamp,
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
    confirmed: Option<Timestamp>,
    ticked: Timestamp,
    woken: Option<Timestamp>,
    alone: bool,
    peers: Vec<PeerView>,
}

impl Freshness {
    pub(super) fn new(now: Timestamp) -> Self {
        Freshness {
            confirmed: None,
            ticked: now,
            woken: None,
            alone: false,
            peers: Vec::new(),
        }
    }

    pub(super) fn confirm(&mut self, at: Timestamp) {
        if self.confirmed.is_none_or(|confirmed| confirmed < at) {
            self.confirmed = Some(at);
        }
        if self.woken.is_some_and(|woken| at >= woken) {
            self.woken = None;
        }
    }

    pub(super) fn note_peer(&mut self, peer: DaemonId, heard: Timestamp, fresh: Timestamp) {
        let view = PeerView { peer, heard, fresh };
        match self.peers.binary_search_by_key(&peer, |view| view.peer) {
            Ok(position) => self.peers[position] = view,
            Err(position) => self.peers.insert(position, view),
        }
    }

    /// Sets the other members of the zone.
    pub(super) fn set_members(&mut self, members: &[DaemonId]) {
        self.alone = members.is_empty();
        self.peers.retain(|view| members.contains(&view.peer));
    }

    /// Records that this daemon is running. A gap longer than `limit` since the last call
    /// means that the process was paused, so the view must be confirmed again.
    pub(super) fn tick(&mut self, now: Timestamp, limit: Duration) {
        if now.since(self.ticked) > limit {
            self.woken = Some(now);
        }
        self.ticked = now;
    }

    pub(super) fn may_spend(&self, now: Timestamp, limit: Duration) -> bool {
        let Some(confirmed) = self.confirmed else {
            return false;
        };
        if self.woken.is_some() || now.since(self.ticked) > limit {
            return false;
        }
        if now.since(confirmed) <= limit || self.alone {
            return true;
        }
        let mut reachable = false;
        for view in &self.peers {
            if now.since(view.heard) > limit {
                continue;
            }
            if now.since(view.fresh) <= limit {
                return false;
            }
            reachable = true;
        }
        reachable
    }
}
