//! Following a prefix of the store.

use std::time::Duration;

use comfreyramp_store::{
    KeyRange, KeyValue, PlatformStore, Revision, StoreError, WatchBatch, WatchStream,
};
use rand::Rng;
use tokio_util::sync::CancellationToken;

/// The pause after a first failed call, and the longest after several in a row.
/// Each call is billed, refused ones too, and a store that is down needs no load.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);
/// How often a daemon that doesn't watch looks whether it has to.
const IDLE_LOOK: Duration = Duration::from_millis(500);
/// After a change others often follow: servers that are replaced one by one, or
/// a fleet that starts. Each call of a watch is billed, so it waits this long
/// before it asks again. An operator's change has two seconds to be in force.
const GATHER_SPAN: Duration = Duration::from_millis(250);

/// What following a prefix brings.
#[derive(Debug)]
pub enum FollowNews {
    /// All pairs, as listed anew.
    Whole(Vec<KeyValue>, Revision),
    /// Changes since.
    Changed(WatchBatch),
    /// The store can't be reached, or turned the call away.
    Lost(StoreError),
}

/// Follows a prefix until `stop` is cancelled: lists it, then waits for changes
/// as long as this daemon is one of those that watch.
///
/// A watch that lost its history may have missed changes, so the prefix is
/// listed anew, and from the store itself, never from a copy that may be behind.
pub async fn follow_store<S: PlatformStore>(
    store: S,
    prefix: &'static str,
    mut sink: impl FnMut(FollowNews),
    is_watcher: impl Fn() -> bool,
    stop: CancellationToken,
) {
    let mut pause = FIRST_PAUSE;
    let mut is_known = false;
    while !stop.is_cancelled() {
        if is_known && !is_watcher() {
            tokio::time::sleep(IDLE_LOOK).await;
            continue;
        }
        is_known = true;
        let round = follow_round(&store, prefix, &mut sink, &is_watcher, &mut pause);
        let error = tokio::select! {
            Err(error) = round => error,
            () = stop.cancelled() => return,
            else => continue,
        };
        let is_history = matches!(error, StoreError::Compacted(_));
        sink(FollowNews::Lost(error));
        if is_history {
            continue;
        }
        // Daemons that lost the store together must not come back together.
        let part = rand::rng().random_range(0.5..1.0);
        tokio::time::sleep(pause.mul_f64(part)).await;
        pause = (pause * 2).min(LONGEST_PAUSE);
    }
}

/// Lists and watches until a call fails, or others watch.
async fn follow_round<S: PlatformStore>(
    store: &S,
    prefix: &str,
    sink: &mut impl FnMut(FollowNews),
    is_watcher: &impl Fn() -> bool,
    pause: &mut Duration,
) -> Result<(), StoreError> {
    let range = KeyRange::Prefix(prefix.to_owned());
    let listed = store.range(range.clone(), 0).await?;
    *pause = FIRST_PAUSE;
    let from = listed.revision + 1;
    sink(FollowNews::Whole(listed.pairs, listed.revision));
    let mut watch = store.watch(range, from).await?;
    while is_watcher() {
        let batch = watch.next().await?;
        let is_change = !batch.written.is_empty() || !batch.deleted.is_empty();
        sink(FollowNews::Changed(batch));
        if is_change {
            tokio::time::sleep(GATHER_SPAN).await;
        }
    }
    Ok(())
}
