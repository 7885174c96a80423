//! The task that follows the rosters and keeps this daemon on its zone's roster.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{DaemonId, Timestamp, member_score, rates::RosterChange};
use comfreyramp_store::{PlatformStore, Revision, StoreError, TransactionAnswer};
use futures::future::join_all;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::shared::SharedState;

use super::{RosterView, limiter_state::PlannedChange};

/// How often the daemon checks that its view of the rosters is current.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// The age from which the view of the rosters is stale. A daemon with a stale view
/// queries the platform itself, and its peers for the age of their views.
const STALE_VIEW_AGE: Duration = Duration::from_millis(2_200);

/// How long a peer may take to answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// After how many rounds of [`CONFIRM_INTERVAL`] silent daemons are probed again.
const PROBE_ROUNDS: u64 = 10;

/// How many daemons of a zone query the platform. The others query these daemons.
const WATCHERS_PER_ZONE: usize = 2;

/// The most roster changes in one round. Each depends on the one before.
const MAX_CHANGES: usize = 6;

/// Follows the rosters until `stop` is cancelled.
///
/// The platform and the peers are queried concurrently. In an outage a request to
/// the platform may take seconds, and a daemon without answers from its peers in
/// that time would stop admitting requests, because it couldn't tell the outage
/// from being cut off alone.
pub async fn run_rosters(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
    tokio::select! {
        () = stop.cancelled() => {}
        () = follow_platform(&state) => {}
        () = follow_peers(&state) => {}
    }
    Ok(())
}

async fn follow_platform(state: &SharedState) {
    let mut ticks = tokio::time::interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(error) = sync_rosters(state).await {
            log::debug!("rates: the rosters can't be followed: {error}");
        }
    }
}

async fn follow_peers(state: &SharedState) {
    let mut ticks = tokio::time::interval(CONFIRM_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    for round in 0_u64.. {
        ticks.tick().await;
        if let Some(watcher) = state.rates.watcher(&state.settings.zone) {
            confirm_by_watcher(state, watcher).await;
        }
        if state.rates.age() > STALE_VIEW_AGE || state.rates.is_giving() {
            query_zone_peers(state).await;
        }
        probe(state, round.is_multiple_of(PROBE_ROUNDS)).await;
    }
}

/// Removes this daemon from its zone's roster, before a planned stop. A failure is
/// logged only.
pub async fn leave_roster(state: &SharedState) {
    let now = state.clock.now();
    state.rates.lock().release_all_slots(now);
    if let Err(error) = change_roster(state).await {
        // The other daemons detect that this one is gone and free its slots.
        log::warn!("rates: this daemon's slots can't be released: {error}");
    }
    query_zone_peers(state).await;
}

async fn sync_rosters(state: &SharedState) -> anyhow::Result<()> {
    let rates = &state.rates;
    if rates.is_behind() {
        read_rosters(state).await?;
    }
    if !rates.zones().contains(&state.settings.zone) {
        let batch = rates.lock().view.add_zone(&state.settings.zone)?;
        state.store.transact(batch).await?;
        read_rosters(state).await?;
    }
    change_roster(state).await?;
    if rates.watcher(&state.settings.zone).is_none() || rates.age() > STALE_VIEW_AGE {
        check_rosters(state).await?;
    }
    Ok(())
}

/// Reads the rosters from the platform.
async fn read_rosters(state: &SharedState) -> anyhow::Result<()> {
    let sent = state.clock.now();
    let answer = state.store.range(RosterView::range(), 0).await?;
    let view = RosterView::read(&answer)?;
    let now = state.clock.now();
    state.rates.lock().apply(view, 0, sent, now);
    Ok(())
}

/// Checks with the platform whether the rosters are unchanged, and reads them if
/// not.
async fn check_rosters(state: &SharedState) -> anyhow::Result<()> {
    let sent = state.clock.now();
    let batch = state.rates.lock().view.check();
    match state.store.transact(batch).await? {
        TransactionAnswer::Written(_) => state.rates.verify(sent),
        TransactionAnswer::Refused { .. } => read_rosters(state).await?,
    }
    Ok(())
}

/// Writes the changes that this zone's roster needs.
async fn change_roster(state: &SharedState) -> anyhow::Result<()> {
    for _ in 0..MAX_CHANGES {
        let sent = state.clock.now();
        let Some(planned) = state.rates.lock().plan_change(sent)? else {
            return Ok(());
        };
        let PlannedChange {
            zone,
            change,
            unheld,
            batch,
            given,
        } = planned;
        // If the answer is lost, the next read shows whether the change was
        // written. Slots that such a write assigned to this daemon have to wait,
        // as if another daemon had held them.
        let answer = match state.store.transact(batch).await {
            Ok(answer) => answer,
            Err(error) => {
                if matches!(error, StoreError::Unreachable(_)) {
                    let now = state.clock.now();
                    state.rates.lock().take_slots_back(&given, now);
                }
                read_rosters(state).await?;
                return Err(error.into());
            }
        };
        let now = state.clock.now();
        let TransactionAnswer::Written(revision) = answer else {
            state.rates.lock().take_slots_back(&given, now);
            read_rosters(state).await?;
            continue;
        };
        log_change(&change, revision);
        let mut limiter = state.rates.lock();
        let view = limiter.view.with_roster(zone, change.roster, revision);
        // Other zones' rosters may have changed meanwhile, so the view isn't known
        // to be any more recent.
        let at = limiter.verified.unwrap_or(Timestamp::ZERO);
        limiter.apply(view, unheld, at, now);
    }
    Ok(())
}

/// Logs how many slots were given to other daemons, and the first receiver.
fn log_change(change: &RosterChange, revision: Revision) {
    if let Some((_, taker)) = change.handed_over.first() {
        let slots = change.handed_over.len();
        log::info!(slots, revision, first_taker = taker; "rates: slots were given to other daemons");
    }
}

/// Queries one of the zone's watchers, the daemons that query the platform, for the
/// age of its view, and confirms the own view if the revisions are equal.
async fn confirm_by_watcher(state: &SharedState, watcher: DaemonId) {
    let sent = state.clock.now();
    let Some(heartbeat) = query_peer(state, watcher).await else {
        return;
    };
    let mut limiter = state.rates.lock();
    if heartbeat.roster_revision == limiter.view.revision {
        limiter.verified = limiter.verified.max(Some(sent - heartbeat.view_age));
    }
}

/// Queries all peers of the zone for the age of their views.
async fn query_zone_peers(state: &SharedState) {
    let peers = state.rates.lock().zone_peers();
    let queries = peers.into_iter().map(|peer| async move {
        let sent = state.clock.now();
        let Some(heartbeat) = query_peer(state, peer).await else {
            return;
        };
        let mut limiter = state.rates.lock();
        if let Some(ledger) = &mut limiter.ledger {
            ledger.note_peer(peer, sent, sent - heartbeat.view_age);
        }
    });
    join_all(queries).await;
}

/// Probes the zone's daemons that are missing from the VM list and, if `silent` is
/// set, those that didn't answer before.
async fn probe(state: &SharedState, silent: bool) {
    let probed = {
        let limiter = state.rates.lock();
        let mut peers = limiter.zone_peers();
        peers.retain(|peer| {
            let daemon = &limiter.daemons[peer.index()];
            limiter.is_delisted(&daemon.name) || silent && daemon.silent_since.is_some()
        });
        peers
    };
    join_all(probed.into_iter().map(|peer| query_peer(state, peer))).await;
}

/// Sends this daemon's heartbeat to a peer and records whether it answered. Returns the
/// peer's heartbeat, or none if it didn't answer or if another daemon answers at its
/// address.
async fn query_peer(
    state: &SharedState,
    peer: DaemonId,
) -> Option<comfreyramp_peers::PeerHeartbeat> {
    let (link, address) = state.rates.link_to(peer)?;
    let sent = state.clock.now();
    let answer = link
        .heartbeat(address, state.own_heartbeat(), PEER_TIMEOUT)
        .await;
    let now = state.clock.now();
    let mut limiter = state.rates.lock();
    let known = &mut limiter.daemons[peer.index()];
    match answer {
        Ok(heartbeat) if heartbeat.member.name == known.name => {
            known.silent_since = None;
            if let Some(ledger) = &mut limiter.ledger {
                ledger.note_peer_revision(peer, heartbeat.roster_revision, sent);
            }
            Some(heartbeat)
        }
        _ => {
            known.silent_since = known.silent_since.or(Some(now));
            None
        }
    }
}

impl super::RateLimiter {
    /// Returns the names of the fleet's zones, by number.
    pub fn zones(&self) -> Vec<String> {
        self.lock().view.zones.clone()
    }

    /// Returns how long ago the rosters were last known to be current.
    pub fn age(&self) -> Duration {
        let verified = self.lock().verified.unwrap_or(Timestamp::ZERO);
        self.clock.now().since(verified)
    }

    /// Returns whether slots are being handed over whose receivers may not know of
    /// it yet.
    fn is_giving(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let ledger = state.ledger.as_ref();
        ledger.is_some_and(|ledger| ledger.has_open_handovers(now))
    }

    /// Returns whether the rosters have to be read: they never were, or a peer has
    /// reported a newer revision.
    fn is_behind(&self) -> bool {
        let state = self.lock();
        state.view.revision == 0 || state.peer_revision > state.view.revision
    }

    /// Records that the platform had the same rosters at `sent`.
    fn verify(&self, sent: Timestamp) {
        let mut state = self.lock();
        state.verified = state.verified.max(Some(sent));
    }

    /// Returns the peer that queries the platform on behalf of this daemon, or none
    /// if this daemon has to query it itself.
    fn watcher(&self, zone: &str) -> Option<DaemonId> {
        let state = self.lock();
        let own_score = member_score(zone, &state.name);
        let mut ranked = vec![(own_score, DaemonId(0))];
        for peer in state.zone_peers() {
            let daemon = &state.daemons[peer.index()];
            if daemon.silent_since.is_none() {
                ranked.push((member_score(zone, &daemon.name), peer));
            }
        }
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        let watchers = &ranked[..WATCHERS_PER_ZONE.min(ranked.len())];
        if watchers.iter().any(|(_, id)| *id == DaemonId(0)) {
            return None;
        }
        // By its score, each daemon picks one of the two watchers, so that half of
        // the zone queries each.
        let choice = own_score as usize % watchers.len();
        watchers.get(choice).map(|(_, id)| *id)
    }
}
