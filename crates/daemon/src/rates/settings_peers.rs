//! The source of settings from other daemons.

use std::{sync::Arc, time::Duration};

use comfreyramp_peers::SettingsRequest;
use comfreyramp_policy::{DaemonId, FleetMember, member_score};
use comfreyramp_store::{KeyValue, Revision};

use crate::settings_link::{PeerAnswer, PeerSilence, PeerSource, ViewChanges};

use super::RateLimiter;

/// How long an answer may take beyond the time for which the peer may hold it back.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);

/// Fetches the settings from the daemons that are on the rosters.
#[derive(Clone, Debug)]
pub struct SettingsPeers(pub Arc<RateLimiter>);

impl PeerSource for SettingsPeers {
    fn members(&self) -> Vec<FleetMember> {
        let zones = self.0.zones();
        let peers = self.0.peers().into_iter();
        let members = peers.filter_map(|(id, daemon, same_zone)| {
            let zone = zones.get(daemon.zone?)?;
            let score = member_score(zone, &daemon.name);
            Some(FleetMember {
                id,
                score,
                same_zone,
            })
        });
        members.collect()
    }

    async fn query(
        &self,
        peer: DaemonId,
        known: Revision,
        hold: Duration,
    ) -> Result<Option<PeerAnswer>, PeerSilence> {
        let Some((link, address)) = self.0.link_to(peer) else {
            return Err(PeerSilence("its address isn't known".to_owned()));
        };
        let query = SettingsRequest {
            known_revision: known,
            max_hold: hold,
        };
        let answer = link.settings(address, query, hold + ANSWER_TIMEOUT).await;
        let answer = answer.map_err(|error| PeerSilence(error.to_string()))?;
        Ok(answer.map(|answer| PeerAnswer {
            offer: answer.offer,
            changes: ViewChanges {
                base: answer.offer.base,
                revision: answer.offer.revision,
                written: answer.written.into_iter().map(to_key_value).collect(),
                deleted: answer.deleted,
            },
        }))
    }
}

fn to_key_value(pair: comfreyramp_peers::SettingsPair) -> KeyValue {
    KeyValue {
        key: pair.key,
        value: pair.value.into(),
        modified: pair.modified,
        created: pair.created,
        version: pair.version,
    }
}
