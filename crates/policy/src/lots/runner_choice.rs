//! The choice of the daemon that runs an accepted lot.

use rand::{Rng, seq::IndexedRandom};

use crate::usage::PeerId;

/// A daemon that runs lots, and how much it has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RunnerLoad {
    /// The daemon.
    pub runner: PeerId,
    /// The items that it still has to run, including those on their way to it.
    pub items: u32,
}

/// Chooses the daemon for a lot: of two drawn at random, the one with less to do.
///
/// With a choice by a hash of the lot, one daemon has many items waiting while others
/// run dry. If all daemons chose the one with the least to do, a burst of lots would go
/// to a single daemon before it can report its load. A lot whose daemon is lost is
/// still claimed by another.
///
/// `tests/runner_choice.rs` replays a burst.
pub fn choose_runner(runners: &[RunnerLoad], random: &mut impl Rng) -> Option<PeerId> {
    let drawn = runners.choose_multiple(random, 2);
    drawn.min_by_key(|it| it.items).map(|it| it.runner)
}

/// How many more items than another daemon a daemon must have, beside those of the lot,
/// before it hands a lot over: each handover costs three calls to the store.
const MIN_HANDOVER_GAP: u32 = 40;

/// Chooses the daemon to which a daemon with `own` items hands over a lot of `moved`
/// items: the one with the least to do, if that is still clearly less than what is left
/// here.
///
/// After a restart of all VMs, the first daemon that is back finds all lots without a
/// runner, claims them, and would otherwise run them alone.
pub fn choose_handover_target(own: u32, moved: u32, others: &[RunnerLoad]) -> Option<PeerId> {
    let least_loaded = others.iter().min_by_key(|it| (it.items, it.runner))?;
    let required = least_loaded
        .items
        .saturating_add(moved)
        .saturating_add(MIN_HANDOVER_GAP);
    (required <= own.saturating_sub(moved)).then_some(least_loaded.runner)
}
