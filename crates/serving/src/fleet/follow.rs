//! Following a prefix of the store.

use std::time::Duration;

use comfreyramp_store::{KeyRange, PlatformStore, Revision, StoreError, WatchBatch, WatchStream};
use rand::Rng;
use tokio_util::sync::CancellationToken;

use super::{ContactDesk, WholeList};

/// The pause after a first failed call, and the longest after several in a row.
/// Each call is billed, refused ones too, and a store that is down needs no load.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// How often a daemon that doesn't watch looks whether it has to.
const IDLE_LOOK: Duration = Duration::from_millis(500);
/// After a change others often follow: servers that are replaced one by one, or
/// a fleet that starts. Each call of a watch is billed, so it waits this long
/// before it asks again. An operator's change has two seconds to be in force.
const GATHER_SPAN: Duration = Duration::from_millis(400);
/// A daemon that starts has listed everything, and watches operators' keys and the
/// directory only once it has had the time to hear who else does. In a large fleet
/// each of them would open watches of its own just to leave them: 2 of 8 calls of a
/// start. The daemons it watches at once: those that start together need each other.
pub const SETTLE_SPAN: Duration = Duration::from_millis(1_000);

/// What following a prefix brings.
#[derive(Debug)]
pub enum FollowNews {
    /// All pairs, as listed anew.
    Whole(WholeList),
    /// Changes since.
    Changed(WatchBatch),
    /// The store can't be reached, or turned the call away.
    Lost {
        /// Why.
        error: StoreError,
        /// How long the call had waited.
        waited: Duration,
    },
}

impl FollowNews {
    /// Up to which revision all is known with it.
    fn revision(&self) -> Option<Revision> {
        match self {
            FollowNews::Whole(list) => Some(list.revision),
            FollowNews::Changed(batch) => Some(batch.revision),
            FollowNews::Lost { .. } => None,
        }
    }

    /// How long to gather further changes before the store is asked again.
    fn gather_span(&self) -> Duration {
        match self {
            FollowNews::Changed(batch) if batch.changed > 0 => GATHER_SPAN,
            _ => Duration::ZERO,
        }
    }
}

/// A store that is followed, and whether it answers.
#[derive(Clone, Debug)]
pub struct FollowedStore<S> {
    /// The store, without a way round.
    pub store: S,
    /// Whether it answers.
    pub contact: ContactDesk,
}

/// Follows a prefix until `stop` is cancelled: lists it, then waits for changes
/// as long as this daemon is one of those that watch; after the first list only once
/// `settle` has passed.
///
/// A watch that lost its history may have missed changes, so the prefix is
/// listed anew, and from the store itself, never from a copy that may be behind. One that
/// may have been lost while the store was silent goes on from the last known revision.
pub async fn follow_store<S: PlatformStore>(
    followed: FollowedStore<S>,
    prefix: &'static str,
    mut sink: impl FnMut(FollowNews),
    is_watcher: impl Fn() -> bool,
    settle: Duration,
    stop: CancellationToken,
) {
    let contact = &followed.contact;
    let mut pause = FIRST_PAUSE;
    let mut settle = Some(settle);
    let mut shown = None;
    let mut is_known = false;
    let mut was_idle = false;
    while !stop.is_cancelled() {
        if is_known && !is_watcher() {
            was_idle = true;
            shown = None;
            tokio::time::sleep(IDLE_LOOK).await;
            continue;
        }
        if std::mem::take(&mut was_idle) {
            log::info!(prefix = prefix; "store: asked in place of others");
        }
        is_known = true;
        let asked = contact.note_waiting();
        let news = tokio::select! {
            news = followed.next_news(prefix, shown) => news,
            () = contact.doubted(asked) => continue,
            () = stop.cancelled() => return,
        };
        match shown {
            Some(_) => contact.note_wait_end(asked, &news),
            None => contact.note_end(asked, &news),
        }
        let error = match news {
            Ok(news) => {
                shown = news.revision();
                pause = FIRST_PAUSE;
                let rest = settle.take().unwrap_or(news.gather_span());
                sink(news);
                tokio::time::sleep(rest).await;
                continue;
            }
            Err(error) => error,
        };
        let is_compacted = matches!(error, StoreError::Compacted(_));
        if is_compacted || matches!(error, StoreError::Rejected(_)) {
            shown = None;
        }
        let waited = contact.now().since(asked);
        sink(FollowNews::Lost { error, waited });
        if is_compacted {
            continue;
        }
        tokio::select! {
            () = pause_after_failure(pause, contact) => {}
            () = stop.cancelled() => return,
        }
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Waits for a while, and as long as probes find the store silent: they are cheaper than
/// calls that find it still away.
async fn pause_after_failure(pause: Duration, contact: &ContactDesk) {
    // Daemons that lost the store together must not come back together.
    let part = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(pause.mul_f64(part)).await;
    contact.answering().await;
}

impl<S: PlatformStore> FollowedStore<S> {
    /// The changes after the revision `shown`, or the whole prefix.
    async fn next_news(
        &self,
        prefix: &str,
        shown: Option<Revision>,
    ) -> Result<FollowNews, StoreError> {
        let range = KeyRange::Prefix(prefix.to_owned());
        let Some(shown) = shown else {
            let listed = self.store.range(range, 0).await?;
            return Ok(FollowNews::Whole(WholeList {
                pairs: listed.pairs,
                revision: listed.revision,
                changed: None,
            }));
        };
        let mut watch = self.store.watch(range, shown + 1).await?;
        Ok(FollowNews::Changed(watch.next().await?))
    }
}
