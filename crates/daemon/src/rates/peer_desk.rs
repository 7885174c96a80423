//! What other daemons ask of this one.

use std::sync::Arc;

use comfreyramp_peers::{
    LiveNotice, PeerBeat, PeerHandler, SettingsAnswer, SettingsAsk, SettingsPair,
};
use comfreyramp_policy::{
    NoticeAck, SuspectNotice,
    rates::{RateAnswer, RateRequest},
};
use comfreyramp_store::PlatformStore;

use crate::{
    settings_link::{PeerSource, SettingsLink},
    shared::SharedState,
};

/// Answers the other daemons.
#[derive(Clone, Debug)]
pub struct PeerDesk<S, P> {
    state: Arc<SharedState>,
    settings: SettingsLink<S, P>,
}

impl<S, P> PeerDesk<S, P> {
    /// A desk that answers for this daemon.
    pub fn new(state: Arc<SharedState>, settings: SettingsLink<S, P>) -> Self {
        PeerDesk { state, settings }
    }
}

impl<S: PlatformStore, P: PeerSource> PeerHandler for PeerDesk<S, P> {
    fn own_beat(&self) -> PeerBeat {
        self.state.own_beat()
    }

    fn take_beat(&self, beat: &PeerBeat) {
        self.state.rates.take_beat(beat);
    }

    fn rates(&self, from: &PeerBeat, ask: &RateRequest) -> RateAnswer {
        self.state.rates.handle(&from.member.name, ask)
    }

    async fn settings(&self, ask: SettingsAsk) -> Option<SettingsAnswer> {
        let answer = self.settings.answer(ask.known, ask.hold).await?;
        let written = answer.changes.written.into_iter();
        let written = written.map(|pair| SettingsPair {
            key: pair.key,
            value: pair.value.to_vec(),
            modified: pair.modified,
            created: pair.created,
            version: pair.version,
        });
        Some(SettingsAnswer {
            offer: answer.offer,
            written: written.collect(),
            deleted: answer.changes.deleted,
        })
    }

    fn suspects(&self, _from: &PeerBeat, _notice: SuspectNotice) -> NoticeAck {
        // Nothing is noted, and the answer says so.
        NoticeAck::default()
    }

    fn announce(&self, notices: &[LiveNotice]) -> Vec<u32> {
        let now = self.state.clock.now();
        let bulk = notices.iter().map(|notice| {
            let server = self.state.servers.id_of(notice.server);
            server.map_or(0, |it| self.state.bulk.announce(it, notice.count, now))
        });
        bulk.collect()
    }
}

impl SharedState {
    /// What this daemon says of itself to others.
    pub fn own_beat(&self) -> PeerBeat {
        self.rates.own_beat(self.snapshot().revision)
    }
}
