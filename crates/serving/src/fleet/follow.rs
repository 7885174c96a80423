//! Following a prefix of the store.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use comfreyramp_store::{KeyRange, PlatformStore, StoreError, WatchBatch, WatchStream};
use rand::Rng;
use tokio_util::sync::CancellationToken;

use super::WholeList;

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

/// Follows a prefix until `stop` is cancelled: lists it, then waits for changes
/// as long as this daemon is one of those that watch; after the first list only once
/// `settle` has passed.
///
/// A watch that lost its history may have missed changes, so the prefix is
/// listed anew, and from the store itself, never from a copy that may be behind.
pub async fn follow_store<S: PlatformStore>(
    store: S,
    prefix: &'static str,
    mut sink: impl FnMut(FollowNews),
    is_watcher: impl Fn() -> bool,
    settle: Duration,
    stop: CancellationToken,
) {
    let mut pause = FIRST_PAUSE;
    let mut is_known = false;
    let mut was_idle = false;
    while !stop.is_cancelled() {
        if is_known && !is_watcher() {
            was_idle = true;
            tokio::time::sleep(IDLE_LOOK).await;
            continue;
        }
        if std::mem::take(&mut was_idle) {
            log::info!(prefix = prefix; "store: asked in place of others");
        }
        let settle = if is_known { Duration::ZERO } else { settle };
        is_known = true;
        let asked = Cell::new(Instant::now());
        let round = async {
            let mut watch = list_prefix(&store, prefix, &mut sink).await?;
            pause = FIRST_PAUSE;
            tokio::time::sleep(settle).await;
            watch_prefix(&mut watch, &mut sink, &is_watcher, &asked).await
        };
        let ended = tokio::select! {
            ended = round => ended,
            () = stop.cancelled() => return,
        };
        // Others watch now. Should they be lost, this daemon has to come back.
        let Err(error) = ended else {
            continue;
        };
        let is_history = matches!(error, StoreError::Compacted(_));
        let waited = asked.get().elapsed();
        sink(FollowNews::Lost { error, waited });
        if is_history {
            continue;
        }
        // Daemons that lost the store together must not come back together.
        let part = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.mul_f64(part)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Lists a prefix, and returns a watch from there on.
async fn list_prefix<S: PlatformStore>(
    store: &S,
    prefix: &str,
    sink: &mut impl FnMut(FollowNews),
) -> Result<S::Watch, StoreError> {
    let range = KeyRange::Prefix(prefix.to_owned());
    let listed = store.range(range.clone(), 0).await?;
    let from = listed.revision + 1;
    sink(FollowNews::Whole(WholeList {
        pairs: listed.pairs,
        revision: listed.revision,
        changed: None,
    }));
    store.watch(range, from).await
}

/// Watches until a call fails, or others watch. Notes when the last call was `asked`.
async fn watch_prefix(
    watch: &mut impl WatchStream,
    sink: &mut impl FnMut(FollowNews),
    is_watcher: &impl Fn() -> bool,
    asked: &Cell<Instant>,
) -> Result<(), StoreError> {
    while is_watcher() {
        asked.set(Instant::now());
        let batch = watch.next().await?;
        let is_change = !batch.written.is_empty() || !batch.deleted.is_empty();
        sink(FollowNews::Changed(batch));
        if is_change {
            tokio::time::sleep(GATHER_SPAN).await;
        }
    }
    Ok(())
}
