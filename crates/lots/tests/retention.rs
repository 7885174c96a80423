//! How long files, lots and uploads are kept.

#![allow(clippy::unwrap_used, reason = "helpers of tests are tests too")]

mod support;

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_lots::{BatchStatus, LotError, LotSweeper};
use comfreyramp_standins::platform::MemoryStore;
use comfreyramp_store::{KeyRange, PlatformStore};
use support::{upload as send, *};
use tokio::time::sleep;

const DAY: Duration = Duration::from_secs(86_400);
const MINUTE: Duration = Duration::from_secs(60);

async fn keys(store: &MemoryStore) -> Vec<String> {
    let range = KeyRange::Prefix("/comfreyramp/lots/".to_owned());
    let answer = store.range(range, 0).await.unwrap();
    answer.pairs.into_iter().map(|it| it.key).collect()
}

async fn run_to_end(store: &MemoryStore, items: usize) -> (Lots, String) {
    let service = TestService::with_duration(Duration::from_secs(1));
    let daemon = TestDaemon::start("one", DaemonStore::new(store), &service, 64);
    let lot = submit(&daemon.lots, CUSTOMER, items).await.unwrap();
    wait_for(&daemon.lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    let lots = daemon.lots.clone();
    daemon.drain().await;
    (lots, lot.id)
}

// The key-value service is small, and a key that nobody deletes stays forever.
// At 99,000 lots a day the service would soon be full.
#[tokio::test(start_paused = true)]
async fn nothing_is_left_of_a_lot_after_its_retention() {
    let store = MemoryStore::default();
    let (lots, id) = run_to_end(&store, 600).await;
    let sweeper = LotSweeper { lots: lots.clone() };
    sleep(6 * DAY).await;
    sweeper.sweep().await.unwrap();
    let lot = lots.get(CUSTOMER, &id).await.unwrap();
    assert_eq!(check_results(&lots, &lot).await, (600, 0));
    sleep(DAY + Duration::from_secs(7200)).await;
    sweeper.sweep().await.unwrap();
    assert_matches!(lots.get(CUSTOMER, &id).await, Err(LotError::NotFound(_)));
    sleep(Duration::from_secs(3600)).await;
    sweeper.sweep().await.unwrap();
    assert_eq!(keys(&store).await, Vec::<String>::new());
}

#[tokio::test(start_paused = true)]
async fn an_abandoned_upload_is_swept() {
    let store = MemoryStore::default();
    let crashing = DaemonStore::new(&store).crashes_at(2, true);
    let submitting = lots(&crashing);
    let submitting = submit(&submitting, CUSTOMER, 600);
    assert!(tokio::time::timeout(MINUTE, submitting).await.is_err());
    let sweeper = LotSweeper {
        lots: lots(&DaemonStore::new(&store)),
    };
    sweeper.sweep().await.unwrap();
    assert_eq!(keys(&store).await.len(), 3);
    for _ in 0..2 {
        sleep(DAY).await;
        sweeper.sweep().await.unwrap();
    }
    assert_eq!(keys(&store).await, Vec::<String>::new());
}

// An upload takes so long that it was considered abandoned and swept. If it
// could still be completed, it would be acknowledged without its first
// segments.
#[tokio::test(start_paused = true)]
async fn an_upload_that_was_swept_is_not_acknowledged() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let content = input(600);
    let mut upload = lots.files().upload(CUSTOMER, "slow.jsonl");
    upload.push(&content.as_bytes()[..60_000]).await.unwrap();
    let sweeper = LotSweeper { lots: lots.clone() };
    sleep(Duration::from_secs(8 * 3600)).await;
    sweeper.sweep().await.unwrap();
    sleep(Duration::from_secs(3600)).await;
    sweeper.sweep().await.unwrap();
    upload.push(&content.as_bytes()[60_000..]).await.unwrap();
    let error = upload.finish().await.unwrap_err();
    assert_matches!(error, LotError::Invalid { param: "file", .. });
    let file = send(&lots, CUSTOMER, &content).await.unwrap();
    assert_eq!(read(&lots, CUSTOMER, &file).await.unwrap(), content);
}

// A caller deletes the input file of a running lot. The lot was accepted and
// must complete. The file must be gone for the caller at once, and its content
// must be deleted when no lot needs it any more.
#[tokio::test(start_paused = true)]
async fn a_deleted_file_serves_its_open_lots_to_their_end() {
    let store = MemoryStore::default();
    let service = TestService::with_duration(Duration::from_secs(1));
    let lots = lots(&DaemonStore::new(&store));
    let lot = submit(&lots, CUSTOMER, 600).await.unwrap();
    let files = lots.files();
    files.delete(CUSTOMER, &lot.input_file_id).await.unwrap();
    let found = files.get(CUSTOMER, &lot.input_file_id).await;
    assert_matches!(found, Err(LotError::NotFound(_)));
    let sweeper = LotSweeper { lots: lots.clone() };
    sleep(Duration::from_secs(7200)).await;
    sweeper.sweep().await.unwrap();
    let daemon = TestDaemon::start("one", DaemonStore::new(&store), &service, 64);
    let lot = wait_for(&lots, &lot.id, BatchStatus::Completed, 10 * MINUTE).await;
    assert_eq!(check_results(&lots, &lot).await, (600, 0));
    daemon.drain().await;
    sleep(Duration::from_secs(4 * 3600)).await;
    sweeper.sweep().await.unwrap();
    let inputs = |it: &String| it.contains("/inputs/");
    assert!(!keys(&store).await.iter().any(inputs));
}

// A file is uploaded again shortly before it expires. The new upload was
// acknowledged, so the full retention time starts again.
#[tokio::test(start_paused = true)]
async fn a_file_uploaded_again_is_kept_for_longer() {
    let store = MemoryStore::default();
    let lots = lots(&DaemonStore::new(&store));
    let file = send(&lots, CUSTOMER, &input(600)).await.unwrap();
    sleep(6 * DAY).await;
    let again = send(&lots, CUSTOMER, &input(600)).await.unwrap();
    assert_eq!(again, file);
    sleep(2 * DAY).await;
    LotSweeper { lots: lots.clone() }.sweep().await.unwrap();
    assert_eq!(read(&lots, CUSTOMER, &file).await.unwrap(), input(600));
}
