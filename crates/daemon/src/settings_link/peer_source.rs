//! The other daemons, as the settings link sees them.

use std::{future::Future, time::Duration};

use comfreyramp_policy::{DaemonId, FleetMember, ViewOffer};
use comfreyramp_store::Revision;

use super::ViewChanges;

/// A peer gave no answer.
#[derive(Debug, thiserror::Error)]
#[error("no answer from the peer: {0}")]
pub struct PeerSilence(pub String);

/// What a peer answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAnswer {
    /// What it says of its view.
    pub offer: ViewOffer,
    /// The changes that lead to it.
    pub changes: ViewChanges,
}

/// The way to the other daemons.
pub trait PeerSource: Clone + Send + Sync + 'static {
    /// The other daemons of the fleet, as far as they are known.
    fn members(&self) -> Vec<FleetMember>;

    /// Asks a peer for its view, knowing everything up to `known`. The peer may
    /// hold its answer back for `hold` while it has nothing newer. Nothing is
    /// the answer of a peer that has no view yet.
    fn ask(
        &self,
        peer: DaemonId,
        known: Revision,
        hold: Duration,
    ) -> impl Future<Output = Result<Option<PeerAnswer>, PeerSilence>> + Send;
}

/// A daemon without peers: it follows the platform by itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl PeerSource for NoPeers {
    fn members(&self) -> Vec<FleetMember> {
        Vec::new()
    }

    async fn ask(
        &self,
        _peer: DaemonId,
        _known: Revision,
        _hold: Duration,
    ) -> Result<Option<PeerAnswer>, PeerSilence> {
        Err(PeerSilence("there are no peers".to_owned()))
    }
}
