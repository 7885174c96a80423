//! Replication of the settings from the platform itself, by a watch.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{PlatformStore, RangeAnswer, Revision, StoreError, WatchStream};
use rand::Rng;
use tokio::time::{Instant, MissedTickBehavior};

use super::{PeerSource, SettingsLink, ViewChanges};

/// How often a daemon that doesn't follow the platform checks whether it should.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

impl<S: PlatformStore, P: PeerSource> SettingsLink<S, P> {
    /// Follows the platform whenever, and for as long as, the plan says so. Failed
    /// attempts are repeated with an exponential backoff.
    pub(super) async fn follow(&self) {
        let mut backoff = self.settings.initial_backoff;
        loop {
            if !self.should_follow() {
                tokio::time::sleep(IDLE_CHECK_INTERVAL).await;
                continue;
            }
            let began = Instant::now();
            let ended = self.follow_once().await;
            if ended.is_ok() || began.elapsed() > self.settings.max_backoff {
                backoff = self.settings.initial_backoff;
            }
            let Err(error) = ended else {
                continue;
            };
            if backoff == self.settings.initial_backoff {
                log::warn!("settings: the platform can't be followed: {error}");
            }
            tokio::time::sleep(self.jitter(backoff)).await;
            backoff = (backoff * 2).min(self.settings.max_backoff);
        }
    }

    /// Brings the view up to date and watches for changes until the watch fails or
    /// the plan leaves it to other daemons to follow the platform. If the platform
    /// has dropped the history that the watch needs, the check of the next attempt
    /// finds the missed changes.
    async fn follow_once(&self) -> Result<(), StoreError> {
        self.check().await?;
        let next = self.revision() + 1;
        let watch = self.store.watch(self.range(), next).await?;
        self.read_watch(watch).await
    }

    async fn read_watch(&self, mut watch: S::Watch) -> Result<(), StoreError> {
        let first = Instant::now() + self.settings.check_interval;
        let mut checks = tokio::time::interval_at(first, self.settings.check_interval);
        checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                batch = watch.next() => {
                    let batch = batch?;
                    let base = self.revision();
                    self.apply_watched(ViewChanges::of_watch(batch, base));
                }
                _ = checks.tick() => {
                    if !self.should_follow() {
                        return Ok(());
                    }
                    self.check().await?;
                }
            }
        }
    }

    /// Checks that the view is current, and reads all settings if it isn't.
    ///
    /// A watch whose connection broke without notice, or that the platform delays,
    /// looks like a watch without changes: a withdrawn key would stay in force and
    /// nobody would notice. Reading only the keys with their revisions costs a few
    /// kilobytes and shows whether anything is missing.
    async fn check(&self) -> Result<(), StoreError> {
        let known = self.revision();
        if known == 0 {
            return self.read_whole().await;
        }
        let sent = self.clock.now();
        let keys = self.store.read_keys(self.range()).await?;
        reject_older(&keys, known)?;
        if !self.confirm_keys(&keys, sent) {
            return self.read_whole().await;
        }
        Ok(())
    }

    /// Compares a read of the keys with the view, and marks the view as current if
    /// they match. Returns whether they do.
    fn confirm_keys(&self, keys: &RangeAnswer, sent: Timestamp) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if keys.revision < state.view.revision {
            // The view has advanced beyond the read in the meantime.
            return true;
        }
        if !state.view.matches(keys) {
            return false;
        }
        if state.plan.apply_read(keys.revision, sent, now) {
            let base = state.view.revision;
            let unchanged = ViewChanges {
                base,
                revision: keys.revision,
                ..ViewChanges::default()
            };
            self.apply(&mut state, unchanged);
        }
        true
    }

    async fn read_whole(&self) -> Result<(), StoreError> {
        let known = self.revision();
        let sent = self.clock.now();
        let answer = self.store.range(self.range(), 0).await?;
        reject_older(&answer, known)?;
        self.apply_read(answer.into(), sent);
        Ok(())
    }

    fn should_follow(&self) -> bool {
        let now = self.clock.now();
        self.lock().plan.should_follow(now)
    }

    /// Returns a random delay between half of `backoff` and all of it. Daemons that
    /// lost the platform at the same moment would otherwise return at the same
    /// moment.
    fn jitter(&self, backoff: Duration) -> Duration {
        backoff.mul_f64(self.lock().rng.random_range(0.5..=1.0))
    }
}

/// Fails if the platform's revision is lower than a revision it had before.
///
/// The platform was then restored from an old backup, and its settings are older
/// than those in force, so they are rejected. The log and the growing age of the
/// view alert the operators, who must write the settings again and raise the
/// platform's revision.
fn reject_older(answer: &RangeAnswer, known: Revision) -> Result<(), StoreError> {
    if answer.revision >= known {
        return Ok(());
    }
    let went_back = format!("its revision went back from {known} to {}", answer.revision);
    Err(StoreError::Rejected(went_back))
}
