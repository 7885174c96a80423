//! The settings link: the state that its tasks share, and the answers to peers.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::{FreshnessSettings, Timestamp, ViewOffer, WatchPlan};
use comfreyramp_store::{KeyRange, PlatformStore, Revision};
use rand::{SeedableRng, rngs::StdRng};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use super::{PeerAnswer, PeerSource, SettingsAge, SettingsView, ViewChanges};
use crate::{clock::ProcessClock, settings_manager::SETTINGS_PREFIX};

/// The timing of a settings link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// The limits by which [`WatchPlan`] decides.
    pub freshness: FreshnessSettings,
    /// How often a daemon that follows the platform checks that its view is current.
    pub check_interval: Duration,
    /// How long a peer may hold its answer back while it has no changes.
    pub hold: Duration,
    /// How long a peer's answer may take in addition to `hold`.
    pub answer_timeout: Duration,
    /// The delay after the first failed request to the platform. It doubles with
    /// each further failure.
    pub initial_backoff: Duration,
    /// The longest delay after a failed request to the platform.
    pub max_backoff: Duration,
    /// The daemon's score, which ranks the daemons of its zone.
    pub own_score: u64,
    /// The seed of all random choices.
    pub seed: u64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        LinkSettings {
            freshness: FreshnessSettings::default(),
            check_interval: Duration::from_secs(1),
            hold: Duration::from_millis(800),
            answer_timeout: Duration::from_millis(700),
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(2),
            own_score: 0,
            seed: 0,
        }
    }
}

impl LinkSettings {
    /// Sets the daemon's score in its zone.
    pub fn own_score(mut self, score: u64) -> Self {
        self.own_score = score;
        self
    }

    /// Sets the seed of all random choices.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }
}

/// The state behind the link's lock. The plan and the view change together.
#[derive(Debug)]
pub(super) struct LinkState {
    pub(super) plan: WatchPlan,
    pub(super) view: SettingsView,
    pub(super) rng: StdRng,
}

/// Replicates the operators' settings to this daemon. Clones share their state.
#[derive(Clone, Debug)]
pub struct SettingsLink<S, P> {
    pub(super) store: S,
    pub(super) peers: P,
    pub(super) clock: ProcessClock,
    pub(super) settings: LinkSettings,
    state: Arc<Mutex<LinkState>>,
    in_force: Arc<watch::Sender<Arc<SettingsView>>>,
    age: Arc<SettingsAge>,
}

impl<S: PlatformStore, P: PeerSource> SettingsLink<S, P> {
    /// Creates a link without a view. It updates `age` for the request path.
    pub fn new(
        store: S,
        peers: P,
        clock: ProcessClock,
        age: Arc<SettingsAge>,
        settings: LinkSettings,
    ) -> Self {
        let state = LinkState {
            plan: WatchPlan::new(settings.freshness, settings.own_score),
            view: SettingsView::default(),
            rng: StdRng::seed_from_u64(settings.seed),
        };
        SettingsLink {
            store,
            peers,
            clock,
            settings,
            state: Arc::new(Mutex::new(state)),
            in_force: Arc::new(watch::Sender::default()),
            age,
        }
    }

    /// Follows the settings until `stop` is cancelled.
    pub async fn run(&self, stop: CancellationToken) {
        tokio::select! {
            () = self.follow() => {}
            () = self.query_peers() => {}
            () = stop.cancelled() => {}
        }
    }

    /// Returns a receiver of the view in force. Its revision is 0 until a view is
    /// recent enough to serve requests with.
    pub fn in_force(&self) -> watch::Receiver<Arc<SettingsView>> {
        self.in_force.subscribe()
    }

    /// Answers a peer that knows everything up to `known`: immediately if there are
    /// changes, otherwise within `hold`. Returns none without a view.
    ///
    /// The answer states the age of the view as of the query's arrival, because
    /// the peer adds the time since it sent the query.
    pub async fn answer(&self, known: Revision, hold: Duration) -> Option<PeerAnswer> {
        let arrived = self.clock.now();
        let mut in_force = self.in_force.subscribe();
        if self.lock().view.changes_since(known).is_empty() {
            let changed = in_force.wait_for(|view| !view.changes_since(known).is_empty());
            // An answer without changes is sent after the timeout.
            let _ = tokio::time::timeout(hold, changed).await;
        }
        let state = self.lock();
        let changes = state.view.changes_since(known);
        let offer = state.plan.offer(changes.base, arrived)?;
        Some(PeerAnswer { offer, changes })
    }

    pub(super) fn range(&self) -> KeyRange {
        KeyRange::Prefix(SETTINGS_PREFIX.to_owned())
    }

    pub(super) fn revision(&self) -> Revision {
        self.lock().view.revision
    }

    /// Applies changes read from the platform by a request sent at `sent`, unless
    /// the plan rejects them.
    pub(super) fn apply_read(&self, changes: ViewChanges, sent: Timestamp) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.plan.apply_read(changes.revision, sent, now) {
            self.apply(&mut state, changes);
        }
    }

    /// Applies a message of the platform's watch, unless the plan rejects it.
    pub(super) fn apply_watched(&self, changes: ViewChanges) {
        let mut state = self.lock();
        if state.plan.apply_watch_event(changes.revision) {
            self.apply(&mut state, changes);
        }
    }

    /// Applies changes that the plan accepted, and publishes the view.
    pub(super) fn apply(&self, state: &mut LinkState, changes: ViewChanges) {
        state.view.apply(changes);
        self.publish(state);
    }

    /// Publishes the view if the plan finds it recent enough and it has changed.
    pub(super) fn publish(&self, state: &LinkState) {
        if let Some(view) = state.plan.view() {
            self.age.set(view);
        }
        if !state.plan.is_ready() {
            return;
        }
        self.in_force.send_if_modified(|in_force| {
            if in_force.revision > 0 && in_force.has_same_pairs(&state.view) {
                return false;
            }
            *in_force = Arc::new(state.view.clone());
            true
        });
    }

    /// Locks the state. A poisoned lock is used anyway: no code that runs under it
    /// can fail half-way.
    pub(super) fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the offer of its view that this daemon would send to a peer now, or
    /// none without a view.
    pub fn offer(&self) -> Option<ViewOffer> {
        let now = self.clock.now();
        self.lock().plan.offer(0, now)
    }
}
