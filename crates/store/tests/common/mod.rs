//! A simulated platform for tests, accessed through either implementation of the store.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test file uses its own part"
)]

use std::time::Duration;

use bytes::Bytes;
use comfreyramp_http::bind;
use comfreyramp_standins::platform::{
    FaultChange, LostAnswers, MemoryStore, SharedPlatform, serve_platform,
};
use comfreyramp_store::{
    Comparison, GatewaySettings, GatewayStore, GatewayVmList, KeyRange, NoMetrics, PlatformStore,
    RetryPolicy, TransactionAnswer, Write, WriteBatch,
};
use tokio_util::sync::{CancellationToken, DropGuard};

/// The timeout of calls that should be answered, long enough for a busy machine.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The timeout of calls that should not be answered.
pub const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
/// A delay of the platform that far exceeds [`SHORT_TIMEOUT`].
pub const SLOW: Duration = Duration::from_secs(2);

/// A client, the simulated platform's state, and the guard that stops its server.
pub struct TestBed<S> {
    pub store: S,
    pub platform: SharedPlatform,
    pub base_url: String,
    _stop: DropGuard,
}

pub type GatewayBed = TestBed<GatewayStore>;
pub type MemoryBed = TestBed<MemoryStore>;

pub async fn memory_bed() -> MemoryBed {
    let platform = SharedPlatform::default();
    TestBed {
        store: MemoryStore::new(platform.clone()),
        platform,
        base_url: String::new(),
        _stop: CancellationToken::new().drop_guard(),
    }
}

pub async fn gateway_bed() -> GatewayBed {
    let platform = SharedPlatform::default();
    let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    let stop = CancellationToken::new();
    tokio::spawn(serve_platform(listener, platform.clone(), stop.clone()));
    TestBed {
        store: GatewayStore::new(settings(&base_url), NoMetrics),
        platform,
        base_url,
        _stop: stop.drop_guard(),
    }
}

pub fn settings(base_url: &str) -> GatewaySettings {
    GatewaySettings::new(base_url).call_timeout(CALL_TIMEOUT)
}

/// Returns a client with a short timeout.
pub fn store_with_short_timeout(base_url: &str) -> GatewayStore {
    let settings = settings(base_url).call_timeout(SHORT_TIMEOUT);
    GatewayStore::new(settings, NoMetrics)
}

pub fn vm_list(base_url: &str) -> GatewayVmList {
    GatewayVmList::new(settings(base_url), NoMetrics)
}

/// Runs each test against both implementations of the store.
#[macro_export]
macro_rules! on_both_stores {
    ($($check:ident),* $(,)?) => {
        $(
            mod $check {
                #[tokio::test]
                async fn in_memory() {
                    super::$check(super::common::memory_bed().await).await;
                }

                #[tokio::test]
                async fn over_the_gateway() {
                    super::$check(super::common::gateway_bed().await).await;
                }
            }
        )*
    };
}

/// A retry policy with few attempts and short delays.
pub fn quick_retries() -> RetryPolicy {
    RetryPolicy::new(7)
        .attempts(4)
        .first_delay(Duration::from_millis(5))
}

pub fn one(key: &str) -> KeyRange {
    KeyRange::One(key.to_owned())
}

pub fn prefix(prefix: &str) -> KeyRange {
    KeyRange::Prefix(prefix.to_owned())
}

pub fn put(key: &str, value: &str) -> Write {
    Write::Put {
        key: key.to_owned(),
        value: Bytes::copy_from_slice(value.as_bytes()),
        lease: None,
    }
}

pub fn absent(key: &str) -> Comparison {
    Comparison::Absent(key.to_owned())
}

pub fn batch(when: Vec<Comparison>, then: Vec<Write>) -> WriteBatch {
    WriteBatch {
        when,
        then,
        read_back: Vec::new(),
    }
}

/// Writes unconditionally and returns the revision.
pub async fn write(store: &impl PlatformStore, then: Vec<Write>) -> i64 {
    match store.transact(batch(Vec::new(), then)).await.unwrap() {
        TransactionAnswer::Written(revision) => revision,
        refused => panic!("refused: {refused:?}"),
    }
}

pub async fn value_of(store: &impl PlatformStore, key: &str) -> Option<String> {
    let answer = store.range(one(key), 0).await.unwrap();
    let pair = answer.pairs.into_iter().next()?;
    Some(String::from_utf8(pair.value.to_vec()).unwrap())
}

pub fn outage(on: bool) -> FaultChange {
    FaultChange {
        outage: Some(on),
        ..FaultChange::default()
    }
}

pub fn lose(answers: LostAnswers) -> FaultChange {
    FaultChange {
        lose_answers: Some(answers),
        ..FaultChange::default()
    }
}

/// Waits until a key holds a value.
pub async fn wait_for_value(store: &impl PlatformStore, key: &str, value: &str) {
    while value_of(store, key).await.as_deref() != Some(value) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

pub fn slow(by: Duration) -> FaultChange {
    FaultChange {
        slow: Some(by),
        ..FaultChange::default()
    }
}
