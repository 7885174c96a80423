//! The task that follows the rosters and keeps this daemon on its own.

use std::{sync::Arc, time::Duration};

use comfreyramp_policy::{DaemonId, Timestamp, member_score, rates::RosterChange};
use comfreyramp_store::{PlatformStore, Revision, StoreError, TransactionAnswer};
use futures::future::join_all;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use crate::shared::SharedState;

use super::{RosterView, board_state::PlannedChange};

/// How often the rosters are confirmed.
const CONFIRM_INTERVAL: Duration = Duration::from_secs(1);

/// Above this age of the view a daemon asks the platform itself, and its peers
/// for the age of theirs.
const OLD_VIEW: Duration = Duration::from_millis(2_200);

/// How long a peer may take to answer.
const PEER_ANSWER: Duration = Duration::from_millis(500);

/// Daemons that don't answer are asked again each time after so many rounds.
const PROBE_ROUNDS: u64 = 10;

/// The daemons of a zone that ask the platform; the others ask these.
const WATCHERS: usize = 2;

/// The most changes of the roster in a row; each needs the one before.
const MAX_CHANGES: usize = 6;

/// Follows the rosters until `stop` is cancelled.
///
/// The platform and the peers are asked side by side: in an outage a call of
/// the platform may take seconds, and a daemon that doesn't hear of its peers
/// meanwhile would stop for fear that it is alone in trouble.
pub async fn keep_roster(state: Arc<SharedState>, stop: CancellationToken) -> anyhow::Result<()> {
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
        if let Err(error) = step(state).await {
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
            vouched(state, watcher).await;
        }
        if state.rates.age() > OLD_VIEW || state.rates.is_giving() {
            ask_zone(state).await;
        }
        probe(state, round.is_multiple_of(PROBE_ROUNDS)).await;
    }
}

/// Takes this daemon off the roster, before a planned stop.
pub async fn leave_roster(state: &SharedState) {
    let now = state.clock.now();
    state.rates.lock().stop_all(now);
    if let Err(error) = change_roster(state).await {
        // The others find out that it is gone and free its slots themselves.
        log::warn!("rates: the slots can't be given up: {error}");
    }
    ask_zone(state).await;
}

async fn step(state: &SharedState) -> anyhow::Result<()> {
    let rates = &state.rates;
    if rates.is_behind() {
        read(state).await?;
    }
    if !rates.zones().contains(&state.settings.zone) {
        let batch = rates.lock().view.add_zone(&state.settings.zone)?;
        state.store.transact(batch).await?;
        read(state).await?;
    }
    change_roster(state).await?;
    if rates.watcher(&state.settings.zone).is_none() || rates.age() > OLD_VIEW {
        check(state).await?;
    }
    Ok(())
}

/// Reads the rosters from the platform.
async fn read(state: &SharedState) -> anyhow::Result<()> {
    let sent = state.clock.now();
    let answer = state.store.range(RosterView::range(), 0).await?;
    let view = RosterView::read(&answer)?;
    let now = state.clock.now();
    state.rates.lock().apply(view, 0, sent, now);
    Ok(())
}

/// Asks the platform whether the rosters are still the same.
async fn check(state: &SharedState) -> anyhow::Result<()> {
    let sent = state.clock.now();
    let batch = state.rates.lock().view.check();
    match state.store.transact(batch).await? {
        TransactionAnswer::Written(_) => state.rates.verify(sent),
        TransactionAnswer::Refused { .. } => read(state).await?,
    }
    Ok(())
}

/// Writes what has to change on the own zone's roster.
async fn change_roster(state: &SharedState) -> anyhow::Result<()> {
    for _ in 0..MAX_CHANGES {
        let sent = state.clock.now();
        let Some(planned) = state.rates.lock().plan_change(sent)? else {
            return Ok(());
        };
        let PlannedChange {
            zone,
            change,
            first,
            batch,
            given,
        } = planned;
        // If the answer is lost, the next read shows whether it was written.
        // Slots got in such a write have to wait, as if they had been held.
        let answer = match state.store.transact(batch).await {
            Ok(answer) => answer,
            Err(error) => {
                if matches!(error, StoreError::Unreachable(_)) {
                    let now = state.clock.now();
                    state.rates.lock().take_slots_back(&given, now);
                }
                read(state).await?;
                return Err(error.into());
            }
        };
        let now = state.clock.now();
        let TransactionAnswer::Written(revision) = answer else {
            state.rates.lock().take_slots_back(&given, now);
            read(state).await?;
            continue;
        };
        log_change(&change, revision);
        let mut board = state.rates.lock();
        let view = board.view.with_roster(zone, change.roster, revision);
        // Other zones' rosters may have changed meanwhile.
        let at = board.verified.unwrap_or(Timestamp::ZERO);
        board.apply(view, first, at, now);
    }
    Ok(())
}

/// Notes slots that were handed over, and to whom.
fn log_change(change: &RosterChange, revision: Revision) {
    if let Some((_, taker)) = change.handed_over.first() {
        let slots = change.handed_over.len();
        log::info!(slots, revision, first_taker = taker; "rates: slots were given to other daemons");
    }
}

/// Asks a daemon that asks the platform how current its view is.
async fn vouched(state: &SharedState, watcher: DaemonId) {
    let sent = state.clock.now();
    let Some(beat) = beat(state, watcher).await else {
        return;
    };
    let mut board = state.rates.lock();
    if beat.roster_revision == board.view.revision {
        board.verified = board.verified.max(Some(sent - beat.view_age));
    }
}

/// Asks all peers of the zone how current their views are.
async fn ask_zone(state: &SharedState) {
    let peers = state.rates.lock().zone_peers();
    let asks = peers.into_iter().map(|peer| async move {
        let sent = state.clock.now();
        let Some(beat) = beat(state, peer).await else {
            return;
        };
        let mut board = state.rates.lock();
        if let Some(ledger) = &mut board.ledger {
            ledger.note_peer(peer, sent, sent - beat.view_age);
        }
    });
    join_all(asks).await;
}

/// Finds out whether daemons that the VM list no longer has still answer, and
/// now and then whether `silent` ones answer again.
async fn probe(state: &SharedState, silent: bool) {
    let doubtful = {
        let board = state.rates.lock();
        let mut peers = board.zone_peers();
        peers.retain(|peer| {
            let daemon = &board.daemons[peer.index()];
            board.is_gone(&daemon.name) || silent && daemon.silent_since.is_some()
        });
        peers
    };
    join_all(doubtful.into_iter().map(|peer| beat(state, peer))).await;
}

async fn beat(state: &SharedState, peer: DaemonId) -> Option<comfreyramp_peers::PeerBeat> {
    let (link, address) = state.rates.way_to(peer)?;
    let sent = state.clock.now();
    let answer = link.beat(address, state.own_beat(), PEER_ANSWER).await;
    let now = state.clock.now();
    let mut board = state.rates.lock();
    let known = &mut board.daemons[peer.index()];
    match answer {
        Ok(beat) if beat.member.name == known.name => {
            known.silent_since = None;
            if let Some(ledger) = &mut board.ledger {
                ledger.note_peer_revision(peer, beat.roster_revision, sent);
            }
            Some(beat)
        }
        _ => {
            known.silent_since = known.silent_since.or(Some(now));
            None
        }
    }
}

impl super::RateBoard {
    /// The zones of the fleet.
    pub fn zones(&self) -> Vec<String> {
        self.lock().view.zones.clone()
    }

    /// How long ago the rosters were known to be current.
    pub fn age(&self) -> Duration {
        let verified = self.lock().verified.unwrap_or(Timestamp::ZERO);
        self.clock.now().since(verified)
    }

    /// Whether slots are on their way whose takers may not know yet.
    fn is_giving(&self) -> bool {
        let now = self.clock.now();
        let state = self.lock();
        let ledger = state.ledger.as_ref();
        ledger.is_some_and(|ledger| ledger.has_open_handovers(now))
    }

    /// Whether the rosters have to be read: they never were, or a peer knows
    /// newer ones.
    fn is_behind(&self) -> bool {
        let state = self.lock();
        state.view.revision == 0 || state.heard_revision > state.view.revision
    }

    /// Notes that the platform has the same rosters.
    fn verify(&self, sent: Timestamp) {
        let mut state = self.lock();
        state.verified = state.verified.max(Some(sent));
    }

    /// The peer that asks the platform for this daemon too; nothing if this
    /// daemon has to ask itself.
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
        let watchers = &ranked[..WATCHERS.min(ranked.len())];
        if watchers.iter().any(|(_, id)| *id == DaemonId(0)) {
            return None;
        }
        // Half of the zone asks either of them.
        let choice = own_score as usize % watchers.len();
        watchers.get(choice).map(|(_, id)| *id)
    }
}
