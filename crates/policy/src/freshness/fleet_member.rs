//! The members of the fleet and the score that ranks them.

use sha2::{Digest, Sha256};

use crate::DaemonId;

/// A daemon of the fleet as [`WatchPlan`](super::WatchPlan) sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetMember {
    /// The daemon's id in the member table.
    pub id: DaemonId,
    /// The result of [`member_score`] for this daemon.
    pub score: u64,
    /// Whether the daemon is in the same zone as this one.
    pub same_zone: bool,
}

/// Returns a member's score in its zone. The members with the highest scores follow the
/// platform.
///
/// This is rendezvous hashing: all daemons that know the same members elect the same
/// two without communication, and a member that leaves changes the election only if it
/// was one of them. A temporary disagreement costs one additional watch.
pub fn member_score(zone: &str, name: &str) -> u64 {
    let mut hash = Sha256::new();
    hash.update(zone.as_bytes());
    // The separator distinguishes ("a", "bc") from ("ab", "c").
    hash.update([0]);
    hash.update(name.as_bytes());
    let digest = hash.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |score, byte| score << 8 | u64::from(*byte))
}
