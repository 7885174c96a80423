//! The choice of the daemons that keep the origin of a stream.

use super::StreamKey;
use crate::{hash::mix, usage::PeerId};

/// A daemon that may keep the origin of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperCandidate {
    /// The daemon.
    pub id: PeerId,
    /// Whether it is in the zone of the daemon that chooses.
    pub is_near: bool,
}

/// How many keepers are chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperCounts {
    /// Out of the daemons of the own zone, which may be cut off from all others.
    pub near: usize,
    /// Out of all daemons, since all those of a zone may be lost together.
    pub anywhere: usize,
}

impl KeeperCounts {
    /// The keepers that are told when a stream begins.
    pub const TOLD: KeeperCounts = KeeperCounts {
        near: 2,
        anywhere: 2,
    };
    /// The keepers that are asked when a stream is taken up. The daemon that asks leaves
    /// itself out, and its list may lack the first of those that were told.
    pub const ASKED: KeeperCounts = KeeperCounts {
        near: 3,
        anywhere: 3,
    };
}

/// Returns the keepers of a stream, sorted: the highest of a hash of the stream and the
/// daemon, so that all daemons choose the same ones, and a daemon that joins or leaves
/// changes few.
pub fn choose_keepers(
    stream: StreamKey,
    counts: KeeperCounts,
    candidates: impl Iterator<Item = KeeperCandidate>,
) -> Vec<PeerId> {
    let score = |it: &KeeperCandidate| std::cmp::Reverse(mix(stream.0 ^ it.id.0));
    let mut ranked: Vec<KeeperCandidate> = candidates.collect();
    ranked.sort_by_cached_key(score);
    let near = ranked.iter().filter(|it| it.is_near).take(counts.near);
    let anywhere = ranked.iter().take(counts.anywhere);
    let mut keepers: Vec<PeerId> = near.chain(anywhere).map(|it| it.id).collect();
    keepers.sort_unstable();
    keepers.dedup();
    keepers
}
