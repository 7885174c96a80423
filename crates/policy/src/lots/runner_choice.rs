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
/// Chosen by a hash of the lot, one daemon has many items waiting while others run dry.
/// Were all daemons to choose the one with the least to do, a burst of lots would go to a
/// single one before it can tell what it has. A lot whose daemon is lost is claimed by
/// another all the same.
///
/// `tests/runner_choice.rs` replays a burst.
pub fn choose_runner(runners: &[RunnerLoad], random: &mut impl Rng) -> Option<PeerId> {
    let drawn = runners.choose_multiple(random, 2);
    drawn.min_by_key(|it| it.items).map(|it| it.runner)
}

/// How many items more than another one a daemon has to have, beside those of the lot,
/// before it hands a lot over: each time costs three calls to the store.
const MIN_HANDOVER_GAP: u32 = 40;

/// Chooses the daemon to which one with `own` items hands a lot of `moved` items over, if
/// it is to hand it over at all: the one with the least to do, where that is still less
/// than what is left here.
///
/// After a restart of all VMs the first daemon that is back finds all lots with nobody to
/// run them, claims them, and would run them alone.
pub fn choose_successor(own: u32, moved: u32, others: &[RunnerLoad]) -> Option<PeerId> {
    let least_loaded = others.iter().min_by_key(|it| (it.items, it.runner))?;
    let required = least_loaded
        .items
        .saturating_add(moved)
        .saturating_add(MIN_HANDOVER_GAP);
    (required <= own.saturating_sub(moved)).then_some(least_loaded.runner)
}
