//! The settings link's interface to other daemons.

use std::{future::Future, time::Duration};

use comfreyramp_policy::{DaemonId, FleetMember, ViewOffer};
use comfreyramp_store::Revision;

use super::ViewChanges;

/// The error of a peer that sent no answer, with the reason.
#[derive(Debug, thiserror::Error)]
#[error("no answer from the peer: {0}")]
pub struct PeerSilence(pub String);

/// A peer's answer to a query for its view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerAnswer {
    /// The revision and age of the peer's view.
    pub offer: ViewOffer,
    /// The changes that lead to the peer's view.
    pub changes: ViewChanges,
}

/// Lists the other daemons and queries them for their view of the settings.
pub trait PeerSource: Clone + Send + Sync + 'static {
    /// Returns the other daemons of the fleet, as far as they are known.
    fn members(&self) -> Vec<FleetMember>;

    /// Queries a peer for the changes of its view after the revision `known`. The
    /// peer may hold its answer back for `hold` while it has none. The answer is
    /// none if the peer has no view yet.
    fn query(
        &self,
        peer: DaemonId,
        known: Revision,
        hold: Duration,
    ) -> impl Future<Output = Result<Option<PeerAnswer>, PeerSilence>> + Send;
}

/// A source without peers, for a daemon that follows the platform alone.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

impl PeerSource for NoPeers {
    fn members(&self) -> Vec<FleetMember> {
        Vec::new()
    }

    async fn query(
        &self,
        _peer: DaemonId,
        _known: Revision,
        _hold: Duration,
    ) -> Result<Option<PeerAnswer>, PeerSilence> {
        Err(PeerSilence("there are no peers".to_owned()))
    }
}
