//! Following the index of open lots.

use std::time::Duration;

use comfreyramp_store::{
    KeyRange, KeyValue, PlatformStore, ReopeningWatch, Revision, StoreError, WatchBatch,
    WatchStream,
};
use tokio::{sync::mpsc, time::sleep};

use crate::LotKeys;

/// How many pairs are read at once.
const PAGE: usize = 500;
/// The pause before a broken watch is opened again.
const PAUSE: Duration = Duration::from_millis(500);

/// News of the index.
#[derive(Debug)]
pub(crate) enum IndexNews {
    /// All of it, read afresh.
    Whole(Vec<KeyValue>),
    /// What changed since.
    Change(WatchBatch),
}

/// Sends the index and its changes until the receiver is gone.
pub(crate) async fn follow_index<S: PlatformStore>(store: S, sender: mpsc::Sender<IndexNews>) {
    while !sender.is_closed() {
        let Err(error) = follow_once(&store, &sender).await else {
            return;
        };
        log::warn!("lots: the view of open lots may be old: {error}");
        sleep(PAUSE).await;
    }
}

async fn follow_once<S: PlatformStore>(
    store: &S,
    sender: &mpsc::Sender<IndexNews>,
) -> Result<(), StoreError> {
    let (pairs, revision) = read_index(store).await?;
    let range = KeyRange::Prefix(LotKeys.index());
    let mut watch = ReopeningWatch::open(store.clone(), range, revision + 1).await?;
    if sender.send(IndexNews::Whole(pairs)).await.is_err() {
        return Ok(());
    }
    loop {
        let batch = tokio::select! {
            batch = watch.next() => batch?,
            () = sender.closed() => return Ok(()),
        };
        if sender.send(IndexNews::Change(batch)).await.is_err() {
            return Ok(());
        }
    }
}

/// The lot that a key of the index belongs to.
pub(crate) fn lot_of(key: &str) -> Option<&str> {
    let rest = key.strip_prefix(LotKeys.index().as_str())?;
    rest.split_once('/').map(|it| it.0)
}

/// Reads the whole index page by page. The pages are of different revisions:
/// the watch goes on from the first one's, so that nothing is missed, and what
/// is then told twice does no harm.
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
        let mut answer = store.range(range, PAGE).await?;
        revision.get_or_insert(answer.revision);
        pairs.append(&mut answer.pairs);
        match pairs.last().filter(|_| answer.more) {
            Some(last) => start = format!("{}\0", last.key),
            None => return Ok((pairs, revision.unwrap_or_default())),
        }
    }
}
