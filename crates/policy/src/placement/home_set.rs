//! Which daemons use which servers in a large fleet.

use crate::{hash::mix, usage::PeerId};

/// The daemons that use a server first: the `count` highest by a hash of both.
///
/// Where many daemons send to the same servers, none knows in time what the
/// others do, and all of them send to the server that looked idle a moment ago.
/// So each server is shared by a few daemons that tell each other often; others
/// use it only where their own are full. Each daemon works this out from the lists
/// it has; while lists differ, a server has a few users more.
pub fn home_daemons(server: u64, daemons: &[PeerId], count: usize) -> Vec<PeerId> {
    let mut ranked: Vec<(u64, PeerId)> =
        daemons.iter().map(|it| (mix(server ^ it.0), *it)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(count).map(|it| it.1).collect()
}
