//! The assignment of servers to home daemons in a large fleet.

use crate::{hash::mix, usage::PeerId};

/// A server, by the hash of its name, and one of its home daemons, which use it before
/// other servers.
pub type HomePair = (u64, PeerId);

/// Assigns the servers of one service to the daemons of a zone, so that each server has
/// about `users` home daemons.
///
/// Where many daemons send to the same servers, none learns in time what the others
/// send, and all of them choose the server that was idle a moment ago. So each server
/// is shared by a few daemons that report to each other often; other daemons use it
/// only where their own servers are full. Each daemon computes the assignment from its
/// own lists; while lists differ, a server has a few more users.
///
/// Each daemon has the same number of servers. If each server drew its daemons instead,
/// some daemons would have one server or none, and would send most of their requests to
/// servers whose load they hardly know (`tests/placement_large.rs`). Only where there
/// are too few servers for that does each server draw its daemons: if all daemons
/// shared them, each daemon would have to report to every other.
pub fn home_pairs(servers: &[u64], daemons: &[PeerId], users: usize) -> Vec<HomePair> {
    let pairs = servers.len() * users;
    if pairs <= daemons.len() {
        let of_server = |server: &u64| {
            let server = *server;
            let homes = highest_scored(daemons, users, |it| mix(server ^ it.0));
            homes.into_iter().map(move |it| (server, it))
        };
        return servers.iter().flat_map(of_server).collect();
    }
    let per_daemon = pairs.div_ceil(daemons.len().max(1));
    let of_daemon = |daemon: &PeerId| {
        let daemon = *daemon;
        let homes = highest_scored(servers, per_daemon, |it| mix(it ^ daemon.0));
        homes.into_iter().map(move |it| (it, daemon))
    };
    daemons.iter().flat_map(of_daemon).collect()
}

fn highest_scored<T: Copy + Ord>(all: &[T], count: usize, score: impl Fn(T) -> u64) -> Vec<T> {
    let mut ranked: Vec<(u64, T)> = all.iter().map(|it| (score(*it), *it)).collect();
    ranked.sort_unstable_by(|left, right| right.cmp(left));
    ranked.into_iter().take(count).map(|it| it.1).collect()
}
