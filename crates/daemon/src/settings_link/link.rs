//! What the link's tasks share.

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
use crate::{clock::ProcessClock, settings_keeper::SETTINGS_PREFIX};

/// The bounds of the link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkSettings {
    /// The bounds of the decisions.
    pub freshness: FreshnessSettings,
    /// How often a follower of the platform checks that its view is current.
    pub check_interval: Duration,
    /// How long a peer may hold an answer back while it has nothing newer.
    pub hold: Duration,
    /// How long a peer's answer may take on top of that.
    pub ask_timeout: Duration,
    /// The pause after a failed call of the platform, the first time.
    pub first_pause: Duration,
    /// The longest pause after a failed call of the platform.
    pub longest_pause: Duration,
    /// The daemon's score in its zone.
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
            ask_timeout: Duration::from_millis(700),
            first_pause: Duration::from_millis(200),
            longest_pause: Duration::from_secs(2),
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

/// What a short lock guards: decisions and view change together.
#[derive(Debug)]
pub(super) struct LinkState {
    pub(super) plan: WatchPlan,
    pub(super) view: SettingsView,
    pub(super) rng: StdRng,
}

/// The daemon's link to the settings. Clones share it.
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
    /// A link without a view. `age` is kept up to date for the request path.
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
            () = self.ask_peers() => {}
            () = stop.cancelled() => {}
        }
    }

    /// The view in force; its revision is 0 until one is good enough.
    pub fn in_force(&self) -> watch::Receiver<Arc<SettingsView>> {
        self.in_force.subscribe()
    }

    /// Answers a peer that knows everything up to `known`, at once with news
    /// and within `hold` without.
    ///
    /// The age is told as of the ask's arrival, because the peer counts it
    /// from before it asked.
    pub async fn answer(&self, known: Revision, hold: Duration) -> Option<PeerAnswer> {
        let arrived = self.clock.now();
        let mut in_force = self.in_force.subscribe();
        if self.lock().view.changes_since(known).is_empty() {
            let news = in_force.wait_for(|view| !view.changes_since(known).is_empty());
            // Nothing new within the time is an answer as well.
            let _ = tokio::time::timeout(hold, news).await;
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

    /// Takes changes from the platform, which were asked for at `sent`.
    pub(super) fn take_read(&self, changes: ViewChanges, sent: Timestamp) {
        let now = self.clock.now();
        let mut state = self.lock();
        if state.plan.apply_read(changes.revision, sent, now) {
            self.apply(&mut state, changes);
        }
    }

    /// Takes a message of the platform's watch.
    pub(super) fn take_watched(&self, changes: ViewChanges) {
        let mut state = self.lock();
        if state.plan.apply_watch_event(changes.revision) {
            self.apply(&mut state, changes);
        }
    }

    /// Applies changes that the plan took, and publishes what is in force.
    pub(super) fn apply(&self, state: &mut LinkState, changes: ViewChanges) {
        state.view.apply(changes);
        self.publish(state);
    }

    /// Publishes the view once it is good enough, and each change of it.
    pub(super) fn publish(&self, state: &LinkState) {
        if let Some(view) = state.plan.view() {
            self.age.set(view);
        }
        if !state.plan.is_ready() {
            return;
        }
        self.in_force.send_if_modified(|in_force| {
            if in_force.revision > 0 && in_force.is_same(&state.view) {
                return false;
            }
            *in_force = Arc::new(state.view.clone());
            true
        });
    }

    /// Nothing that runs under this lock can fail half-way.
    pub(super) fn lock(&self) -> MutexGuard<'_, LinkState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this daemon would say of its view now.
    pub fn offer(&self) -> Option<ViewOffer> {
        let now = self.clock.now();
        self.lock().plan.offer(0, now)
    }
}
