//! Which daemon is asked to run a lot that was just accepted.

use rand::{Rng, seq::IndexedRandom};

use crate::usage::PeerId;

/// A daemon that runs lots, and how much it has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerLoad {
    /// The daemon.
    pub runner: PeerId,
    /// The items that it has to run still, those on their way to it included.
    pub items: u32,
}

/// Chooses the daemon for a lot: the one with less to do of two that are drawn.
///
/// Chosen by a hash of the lot, one of three daemons had 100 items waiting while the
/// others ran dry. Were all daemons to choose the one with the least to do, a burst of
/// lots would go to a single one before it can tell what it has. A lot whose daemon is
/// lost is claimed by another all the same.
///
/// `tests/runner_choice.rs` replays a burst.
pub fn choose_runner(runners: &[RunnerLoad], random: &mut impl Rng) -> Option<PeerId> {
    let drawn = runners.choose_multiple(random, 2);
    drawn.min_by_key(|it| it.items).map(|it| it.runner)
}
