//! What happens with messages from other daemons.

use std::future::Future;

use comfreyramp_policy::{
    NoticeAck, SuspectNotice,
    rates::{RateAnswer, RateRequest},
};

use crate::{LiveNotice, PeerBeat, SettingsAnswer, SettingsAsk};

/// Answers messages from other daemons.
///
/// All calls come on the link's thread, so none may block. `from` is what the
/// peer last said of itself on the connection.
pub trait PeerHandler: Clone + Send + 'static {
    /// What this daemon says of itself.
    fn own_beat(&self) -> PeerBeat;

    /// Takes in what a peer said of itself, in an ask or an answer.
    fn take_beat(&self, beat: &PeerBeat);

    /// Answers an ask about rates.
    fn rates(&self, from: &PeerBeat, ask: &RateRequest) -> RateAnswer;

    /// Answers an ask for the settings, with nothing while there are none.
    fn settings(&self, ask: SettingsAsk) -> impl Future<Output = Option<SettingsAnswer>> + Send;

    /// Takes in a notice of suspects.
    fn suspects(&self, from: &PeerBeat, notice: SuspectNotice) -> NoticeAck;

    /// Makes room for live requests that a peer sends to servers whose home
    /// this daemon is, and tells the bulk requests left on each.
    fn announce(&self, notices: &[LiveNotice]) -> Vec<u32>;
}
