//! Following the settings on the platform itself.

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_store::{PlatformStore, RangeAnswer, Revision, StoreError, WatchStream};
use rand::Rng;
use tokio::time::{Instant, MissedTickBehavior};

use super::{PeerSource, SettingsLink, ViewChanges};

/// How often a daemon that doesn't follow the platform looks whether it should.
const IDLE_TICK: Duration = Duration::from_millis(100);

impl<S: PlatformStore, P: PeerSource> SettingsLink<S, P> {
    /// Follows the platform for as long as, and whenever, the plan says so.
    pub(super) async fn follow(&self) {
        let mut pause = self.settings.first_pause;
        loop {
            if !self.should_follow() {
                tokio::time::sleep(IDLE_TICK).await;
                continue;
            }
            let began = Instant::now();
            let ended = self.follow_once().await;
            if ended.is_ok() || began.elapsed() > self.settings.longest_pause {
                pause = self.settings.first_pause;
            }
            let Err(error) = ended else {
                continue;
            };
            if pause == self.settings.first_pause {
                log::warn!("settings: the platform can't be followed: {error}");
            }
            tokio::time::sleep(self.spread(pause)).await;
            pause = (pause * 2).min(self.settings.longest_pause);
        }
    }

    /// Brings the view up to date and watches until something breaks or
    /// others are to follow. When the platform has dropped the history that
    /// the watch needs, the next round's check finds out what was missed.
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
                    self.take_watched(ViewChanges::of_watch(batch, base));
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

    /// Makes sure that the view is current.
    ///
    /// A watch whose connection died without a word, and one that the platform
    /// holds back, look like one without news: a withdrawn key would work on
    /// and nobody would notice. Reading the keys alone tells, for a few
    /// kilobytes, whether anything is missing.
    async fn check(&self) -> Result<(), StoreError> {
        let known = self.revision();
        if known == 0 {
            return self.read_whole().await;
        }
        let sent = self.clock.now();
        let keys = self.store.read_keys(self.range()).await?;
        refuse_older(&keys, known)?;
        if !self.take_check(&keys, sent) {
            return self.read_whole().await;
        }
        Ok(())
    }

    /// Takes a read of the keys. Returns whether the view is the same.
    fn take_check(&self, keys: &RangeAnswer, sent: Timestamp) -> bool {
        let now = self.clock.now();
        let mut state = self.lock();
        if keys.revision < state.view.revision {
            // The view moved on while the read was under way.
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
        refuse_older(&answer, known)?;
        self.take_read(answer.into(), sent);
        Ok(())
    }

    fn should_follow(&self) -> bool {
        let now = self.clock.now();
        self.lock().plan.should_follow(now)
    }

    /// A pause between half of `pause` and all of it. Daemons that lost the
    /// platform at the same moment would otherwise come back at the same one.
    fn spread(&self, pause: Duration) -> Duration {
        pause.mul_f64(self.lock().rng.random_range(0.5..=1.0))
    }
}

/// A platform whose revision is lower than one that it had before was restored
/// from an old backup. Its settings are older than those in force, so they are
/// not taken; the log and the growing age of the view tell the operators, who
/// must write the settings again and raise the platform's revision.
fn refuse_older(answer: &RangeAnswer, known: Revision) -> Result<(), StoreError> {
    if answer.revision >= known {
        return Ok(());
    }
    let went_back = format!("its revision went back from {known} to {}", answer.revision);
    Err(StoreError::Rejected(went_back))
}
