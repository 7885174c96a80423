//! The handler of requests from other daemons.

use std::sync::Arc;

use comfreyramp_peers::{
    LiveAnnouncement, PeerHandler, PeerHeartbeat, SettingsAnswer, SettingsPair, SettingsRequest,
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

/// Answers requests of the other daemons.
#[derive(Clone, Debug)]
pub struct PeerRequestHandler<S, P> {
    state: Arc<SharedState>,
    settings: SettingsLink<S, P>,
}

impl<S, P> PeerRequestHandler<S, P> {
    /// Creates a handler that answers from this daemon's state and settings.
    pub fn new(state: Arc<SharedState>, settings: SettingsLink<S, P>) -> Self {
        PeerRequestHandler { state, settings }
    }
}

impl<S: PlatformStore, P: PeerSource> PeerHandler for PeerRequestHandler<S, P> {
    fn own_heartbeat(&self) -> PeerHeartbeat {
        self.state.own_heartbeat()
    }

    fn handle_heartbeat(&self, heartbeat: &PeerHeartbeat) {
        self.state.rates.record_heartbeat(heartbeat);
    }

    fn rates(&self, from: &PeerHeartbeat, query: &RateRequest) -> RateAnswer {
        self.state.rates.handle(&from.member.name, query)
    }

    async fn settings(&self, query: SettingsRequest) -> Option<SettingsAnswer> {
        let answer = self
            .settings
            .answer(query.known_revision, query.max_hold)
            .await?;
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

    fn suspects(&self, _from: &PeerHeartbeat, _notice: SuspectNotice) -> NoticeAck {
        // The notice is not recorded; the empty acknowledgement says so.
        NoticeAck::default()
    }

    fn announce(&self, notices: &[LiveAnnouncement]) -> Vec<u32> {
        let now = self.state.clock.now();
        let bulk = notices.iter().map(|notice| {
            let server = self.state.servers.id_of(notice.server);
            server.map_or(0, |it| {
                self.state.bulk_limiters.announce(it, notice.count, now)
            })
        });
        bulk.collect()
    }
}

impl SharedState {
    /// Returns the heartbeat that this daemon sends to others.
    pub fn own_heartbeat(&self) -> PeerHeartbeat {
        self.rates.own_heartbeat(self.snapshot().revision)
    }
}
