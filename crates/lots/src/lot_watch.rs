//! Watching the index of open lots.

use std::time::Duration;

use comfreyramp_store::{
    KeyRange, KeyValue, PlatformStore, ReopeningWatch, Revision, StoreError, WatchBatch,
    WatchStream,
};
use tokio::{sync::mpsc, time::sleep};

use crate::LotKeys;

/// The number of key-value pairs per read.
const PAGE_SIZE: usize = 500;
/// The delay before a broken watch is reopened.
const REOPEN_DELAY: Duration = Duration::from_millis(500);

/// An update of the index.
#[derive(Debug)]
pub(crate) enum IndexUpdate {
    /// A full read of the index, which replaces what was known.
    Snapshot(Vec<KeyValue>),
    /// Changes since the previous update.
    Change(WatchBatch),
}

/// Sends the index and then its changes until the receiver is closed.
pub(crate) async fn watch_index<S: PlatformStore>(store: S, sender: mpsc::Sender<IndexUpdate>) {
    while !sender.is_closed() {
        let Err(error) = watch_once(&store, &sender).await else {
            return;
        };
        log::warn!("lots: the view of open lots may be out of date: {error}");
        sleep(REOPEN_DELAY).await;
    }
}

async fn watch_once<S: PlatformStore>(
    store: &S,
    sender: &mpsc::Sender<IndexUpdate>,
) -> Result<(), StoreError> {
    let (pairs, revision) = read_index(store).await?;
    let range = KeyRange::Prefix(LotKeys.index());
    let mut watch = ReopeningWatch::open(store.clone(), range, revision + 1).await?;
    if sender.send(IndexUpdate::Snapshot(pairs)).await.is_err() {
        return Ok(());
    }
    loop {
        let batch = tokio::select! {
            batch = watch.next() => batch?,
            () = sender.closed() => return Ok(()),
        };
        if sender.send(IndexUpdate::Change(batch)).await.is_err() {
            return Ok(());
        }
    }
}

/// Returns the id of the lot that an index key belongs to.
pub(crate) fn lot_id_of(key: &str) -> Option<&str> {
    let rest = key.strip_prefix(LotKeys.index().as_str())?;
    rest.split_once('/').map(|it| it.0)
}

/// Reads the whole index page by page. The pages may be of different revisions.
/// The watch therefore starts at the revision of the first page, so that no
/// change is missed; changes that are already in a later page are applied
/// twice, which has no effect.
pub(crate) async fn read_index<S: PlatformStore>(
    store: &S,
) -> Result<(Vec<KeyValue>, Revision), StoreError> {
    let folder = LotKeys.index();
    let end = format!("{}0", folder.trim_end_matches('/'));
    let mut pairs: Vec<KeyValue> = Vec::new();
    let mut start = folder;
    let mut revision = None;
    loop {
        let range = KeyRange::Between(start, end.clone());
        let mut answer = store.range(range, PAGE_SIZE).await?;
        revision.get_or_insert(answer.revision);
        pairs.append(&mut answer.pairs);
        match pairs.last().filter(|_| answer.more) {
            Some(last) => start = format!("{}\0", last.key),
            None => return Ok((pairs, revision.unwrap_or_default())),
        }
    }
}
