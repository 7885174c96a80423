//! The handler of requests from other daemons.

use std::future::Future;

use comfreyramp_policy::{
    NoticeAck, SuspectNotice,
    rates::{RateAnswer, RateRequest},
};

use crate::{LiveAnnouncement, PeerHeartbeat, SettingsAnswer, SettingsRequest};

/// Answers requests from other daemons.
///
/// All methods are called on the link's thread, so none may block. `from` is the
/// last heartbeat that the peer sent on the connection.
pub trait PeerHandler: Clone + Send + 'static {
    /// Returns the heartbeat of this daemon.
    fn own_heartbeat(&self) -> PeerHeartbeat;

    /// Processes a peer's heartbeat, which came in a request or an answer.
    fn handle_heartbeat(&self, heartbeat: &PeerHeartbeat);

    /// Answers a request about rates.
    fn rates(&self, from: &PeerHeartbeat, request: &RateRequest) -> RateAnswer;

    /// Answers a request for the settings, with `None` while there are none.
    fn settings(&self, ask: SettingsRequest)
    -> impl Future<Output = Option<SettingsAnswer>> + Send;

    /// Processes a notice of suspects.
    fn suspects(&self, from: &PeerHeartbeat, notice: SuspectNotice) -> NoticeAck;

    /// Preempts bulk requests in favour of live requests that a peer sends to
    /// servers whose home is this daemon. Returns the number of bulk requests
    /// left on each server, in the order of `notices`.
    fn announce(&self, notices: &[LiveAnnouncement]) -> Vec<u32>;
}
