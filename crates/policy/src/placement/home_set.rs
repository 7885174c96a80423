//! Which daemons use which servers in a large fleet.

use crate::{hash::mix, usage::PeerId};

/// A server, by the hash of its name, and a daemon that uses it first.
pub type HomePair = (u64, PeerId);

/// Which of a zone's daemons use which servers of one service first, so that each server
/// has about `users` of them.
///
/// Where many daemons send to the same servers, none knows in time what the
/// others do, and all of them send to the server that looked idle a moment ago.
/// So each server is shared by a few daemons that tell each other often; others
/// use it only where their own are full. Each daemon works this out from the lists
/// it has; while lists differ, a server has a few users more.
///
/// Each daemon has the same number of servers. Were each server to draw its daemons
/// instead, some daemons would have one server or none, and send most of their requests
/// to servers of which they know little (`tests/placement_large.rs`). Only where there
/// are too few servers for that does each draw its daemons: shared by all, they would
/// have everybody speak to everybody.
pub fn home_pairs(servers: &[u64], daemons: &[PeerId], users: usize) -> Vec<HomePair> {
    let wanted = servers.len() * users;
    if wanted <= daemons.len() {
        let of_server = |server: &u64| {
            let server = *server;
            let homes = highest_scored(daemons, users, |it| mix(server ^ it.0));
            homes.into_iter().map(move |it| (server, it))
        };
        return servers.iter().flat_map(of_server).collect();
    }
    let each = wanted.div_ceil(daemons.len().max(1));
    let of_daemon = |daemon: &PeerId| {
        let daemon = *daemon;
        let homes = highest_scored(servers, each, |it| mix(it ^ daemon.0));
        homes.into_iter().map(move |it| (it, daemon))
    };
    daemons.iter().flat_map(of_daemon).collect()
}

fn highest_scored<T: Copy + Ord>(all: &[T], count: usize, score: impl Fn(T) -> u64) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = all.iter().map(|it| (score(*it), *it)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(count).map(|it| it.1).collect()
}
