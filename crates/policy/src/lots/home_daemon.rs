//! The choice of the daemon that sends bulk work to a backend server.

use sha2::{Digest, Sha256};

/// Returns the home daemon of a server, the only one that sends bulk work to it.
///
/// The choice uses rendezvous hashing: each daemon of the zone computes it from its own
/// list, without communication. A daemon that joins or leaves moves only the servers
/// that it gains or leaves behind. While lists differ, two daemons may both consider
/// themselves a server's home; each then limits its bulk work by the live work that it
/// measures, as for any other load that it doesn't know of.
pub fn home_daemon<'a>(server: &str, daemons: &[&'a str]) -> Option<&'a str> {
    let score = |daemon: &str| {
        Sha256::new()
            .chain_update(daemon)
            .chain_update([0])
            .chain_update(server)
            .finalize()
    };
    daemons.iter().copied().max_by_key(|it| (score(it), *it))
}
