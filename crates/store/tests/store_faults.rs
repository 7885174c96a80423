//! The errors that callers get when the platform fails.

#![allow(
    clippy::panic,
    clippy::unwrap_used,
    reason = "helpers of tests fail the test"
)]

mod common;

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use assert_matches::assert_matches;
use comfreyramp_http::{MessageBody, Response, ServeLimits, StatusCode, bind, serve};
use comfreyramp_standins::platform::{FaultChange, LostAnswers, SharedPlatform};
use comfreyramp_store::{
    CallEnd, CallMetrics, GatewaySettings, GatewayStore, ListedVm, NoMetrics, PlatformStore,
    StoreCall, StoreError, VmList, VmState,
};
use tokio_util::sync::{CancellationToken, DropGuard};

use common::{
    SHORT_TIMEOUT, SLOW, TestBed, batch, gateway_bed, lose, memory_bed, outage, prefix, put,
    settings, slow, store_with_short_timeout, value_of, vm_list, wait_for_value, write,
};

on_both_stores!(
    an_outage_fails_calls_and_writes_nothing,
    a_lost_answer_is_no_refusal,
    the_platform_counts_calls,
);

/// The platform is down. A caller may only be told that its write didn't run if that
/// stays true once the platform is back.
async fn an_outage_fails_calls_and_writes_nothing<S: PlatformStore>(bed: TestBed<S>) {
    bed.platform.change_faults(outage(true));
    let result = bed.store.transact(batch(vec![], vec![put("k", "")])).await;
    assert_matches!(
        result,
        Err(StoreError::Unreachable(_) | StoreError::AnswerLost(_))
    );
    assert!(bed.store.range(prefix(""), 0).await.is_err());
    assert!(bed.store.grant(Duration::from_secs(1)).await.is_err());
    bed.platform.change_faults(outage(false));
    assert_eq!(value_of(&bed.store, "k").await, None);
}

/// A write takes effect and its answer is lost. A caller told that it failed would do
/// the work a second time.
async fn a_lost_answer_is_no_refusal<S: PlatformStore>(bed: TestBed<S>) {
    bed.platform.change_faults(lose(LostAnswers::Next(1)));
    let result = bed.store.transact(batch(vec![], vec![put("k", "v")])).await;
    assert_matches!(result, Err(StoreError::AnswerLost(_)));
    assert_eq!(value_of(&bed.store, "k").await.as_deref(), Some("v"));
    write(&bed.store, vec![put("k", "w")]).await;
}

async fn the_platform_counts_calls<S: PlatformStore>(bed: TestBed<S>) {
    let store = &bed.store;
    write(store, vec![put("k", "")]).await;
    store.range(prefix(""), 0).await.unwrap();
    store.range(prefix(""), 0).await.unwrap();
    let lease = store.grant(Duration::from_secs(5)).await.unwrap();
    store.renew(lease).await.unwrap();
    store.revoke(lease).await.unwrap();
    let watch = store.watch(prefix(""), 0).await.unwrap();
    let calls = bed.platform.calls();
    assert_eq!((calls.txn, calls.range), (1, 2));
    assert_eq!(
        (calls.lease_grant, calls.lease_keepalive, calls.lease_revoke),
        (1, 1, 1)
    );
    assert_eq!((calls.watch_opened, calls.waiting_watches), (1, 1));
    drop(watch);
    while bed.platform.calls().waiting_watches > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The platform answers slowly and a daemon's call times out. The write takes effect
/// afterwards, though a read in between doesn't show it.
#[tokio::test]
async fn a_slow_write_takes_effect_after_its_caller_gave_up() {
    let bed = gateway_bed().await;
    let store = store_with_short_timeout(&bed.base_url);
    bed.platform.change_faults(slow(SLOW));
    let result = store.transact(batch(vec![], vec![put("k", "v")])).await;
    assert_matches!(result, Err(StoreError::AnswerLost(_)));
    bed.platform.change_faults(slow(Duration::ZERO));
    assert_eq!(value_of(&bed.store, "k").await, None);
    wait_for_value(&bed.store, "k", "v").await;
}

/// Nothing listens at the platform's address. Only in such a case, when no byte can
/// have been sent, may a caller be told that the platform is unreachable.
#[tokio::test]
async fn a_closed_port_is_unreachable() {
    let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    drop(listener);
    let store = GatewayStore::new(settings(&base_url), NoMetrics);
    let result = store.transact(batch(vec![], vec![put("k", "")])).await;
    assert_matches!(result, Err(StoreError::Unreachable(_)));
    let result = store.watch(prefix(""), 0).await;
    assert_matches!(result, Err(StoreError::Unreachable(_)));
    let result = vm_list(&base_url).vms().await;
    assert_matches!(result, Err(StoreError::Unreachable(_)));
}

/// The platform accepts the connection and then sends nothing.
#[tokio::test]
async fn a_silent_platform_has_lost_the_answer() {
    let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    let store = store_with_short_timeout(&base_url);
    let begin = tokio::time::Instant::now();
    let result = store.transact(batch(vec![], vec![put("k", "")])).await;
    assert_matches!(result, Err(StoreError::AnswerLost(_)));
    assert!(begin.elapsed() >= SHORT_TIMEOUT);
    let result = store.watch(prefix(""), 0).await;
    assert_matches!(result, Err(StoreError::AnswerLost(_)));
}

/// Starts a server that gives every request the same response.
async fn answering(status: u16, body: &'static str) -> (GatewayStore, DropGuard) {
    let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let base_url = format!("http://{}", listener.local_addr().unwrap());
    let stop = CancellationToken::new();
    let handler = move |_| async move {
        let mut response = Response::new(MessageBody::from(body.to_owned()));
        *response.status_mut() = StatusCode::from_u16(status).unwrap();
        response
    };
    let limits = ServeLimits::default();
    tokio::spawn(serve(listener, limits, stop.clone(), handler));
    let store = GatewayStore::new(GatewaySettings::new(&base_url), NoMetrics);
    (store, stop.drop_guard())
}

/// The platform changes its leader while it handles a write and answers with an error,
/// yet the write may have taken effect. Only errors that rule this out may be returned
/// as rejections.
#[tokio::test]
async fn only_certain_errors_are_refusals() {
    let cases = [
        (400, r#"{"error":"e","code":3,"message":"too large"}"#, true),
        (429, r#"{"error":"e","code":8,"message":"too many"}"#, true),
        (
            503,
            r#"{"error":"e","code":14,"message":"timed out"}"#,
            false,
        ),
        (500, r#"{"error":"e","code":2,"message":"unknown"}"#, false),
        (504, r#"{"error":"e","code":4,"message":"deadline"}"#, false),
        (404, "not found", true),
        (502, "<html>", false),
        (200, "{\"header\":", false),
        (200, "", false),
    ];
    for (status, body, refused) in cases {
        let (store, _stop) = answering(status, body).await;
        let result = store.transact(batch(vec![], vec![put("k", "")])).await;
        match refused {
            true => assert_matches!(result, Err(StoreError::Rejected(_)), "{status} {body}"),
            false => assert_matches!(result, Err(StoreError::AnswerLost(_)), "{status} {body}"),
        }
    }
}

#[tokio::test]
async fn errors_inside_a_stream_are_read() {
    let body = r#"{"error":{"grpc_code":14,"http_code":503,"message":"no leader"}}"#;
    let (store, _stop) = answering(200, body).await;
    let lease = comfreyramp_store::LeaseId(1);
    assert_matches!(store.renew(lease).await, Err(StoreError::AnswerLost(_)));
    let result = store.watch(prefix(""), 0).await;
    assert_matches!(result, Err(StoreError::AnswerLost(_)));
}

/// Records the calls and open watches that a client reports.
#[derive(Clone, Default)]
struct RecordingCounts {
    calls: Arc<Mutex<Vec<(StoreCall, CallEnd)>>>,
    watches: Arc<Mutex<i32>>,
}

impl CallMetrics for RecordingCounts {
    fn count(&self, call: StoreCall, end: CallEnd, _took: Duration) {
        self.calls.lock().unwrap().push((call, end));
    }

    fn watch_opened(&self) {
        *self.watches.lock().unwrap() += 1;
    }

    fn watch_closed(&self) {
        *self.watches.lock().unwrap() -= 1;
    }
}

#[tokio::test]
async fn calls_are_reported_by_kind_and_end() {
    let bed = gateway_bed().await;
    let counts = RecordingCounts::default();
    let store = GatewayStore::new(settings(&bed.base_url), counts.clone());
    store.range(prefix(""), 0).await.unwrap();
    let watch = store.watch(prefix(""), 0).await.unwrap();
    assert_eq!(*counts.watches.lock().unwrap(), 1);
    drop(watch);
    bed.platform.change_faults(outage(true));
    store.grant(Duration::from_secs(1)).await.unwrap_err();
    assert_eq!(*counts.watches.lock().unwrap(), 0);
    assert_eq!(
        *counts.calls.lock().unwrap(),
        [
            (StoreCall::Range, CallEnd::Answered),
            (StoreCall::Watch, CallEnd::Answered),
            (StoreCall::LeaseGrant, CallEnd::AnswerLost),
        ]
    );
}

fn listed(name: &str, state: VmState) -> ListedVm {
    ListedVm {
        name: name.into(),
        zone: "perth-1".into(),
        group: "entry".into(),
        address: "127.0.0.1:1".into(),
        state,
    }
}

/// A VM is removed, and the list still shows it in service for a while.
async fn the_vm_list_lags(platform: SharedPlatform, list: impl VmList) {
    let before = vec![listed("a", VmState::Live), listed("b", VmState::Live)];
    platform.set_vms(before.clone());
    platform.change_faults(FaultChange {
        vm_lag: Some(Duration::from_secs(30)),
        ..FaultChange::default()
    });
    platform.advance(Duration::from_secs(60));
    platform.put_vm(listed("a", VmState::Leaving));
    assert!(platform.remove_vm("b"));
    platform.advance(Duration::from_secs(20));
    assert_eq!(list.vms().await.unwrap(), before);
    platform.advance(Duration::from_secs(10));
    let after = vec![listed("a", VmState::Leaving)];
    assert_eq!(list.vms().await.unwrap(), after);
    platform.change_faults(outage(true));
    assert!(list.vms().await.is_err());
}

#[tokio::test]
async fn the_vm_list_lags_in_memory() {
    let bed = memory_bed().await;
    the_vm_list_lags(bed.platform, bed.store).await;
}

#[tokio::test]
async fn the_vm_list_lags_over_http() {
    let bed = gateway_bed().await;
    let list = vm_list(&bed.base_url);
    the_vm_list_lags(bed.platform.clone(), list).await;
}

/// The list of a whole fleet is long, and each daemon reads it every second. Sent in
/// full each time, it would take most of the bandwidth that a daemon may spend on
/// control traffic.
#[tokio::test]
async fn an_unchanged_vm_list_is_not_sent_again() {
    let bed = gateway_bed().await;
    let vms: Vec<_> = (0..1000)
        .map(|it| listed(&format!("vm-{it:04}"), VmState::Live))
        .collect();
    bed.platform.set_vms(vms.clone());
    let list = vm_list(&bed.base_url);
    assert_eq!(list.vms().await.unwrap(), vms);
    let first = bed.platform.calls().bytes_out;
    for _ in 0..10 {
        assert_eq!(list.vms().await.unwrap(), vms);
    }
    let again = bed.platform.calls().bytes_out - first;
    assert!(again * 10 < first, "{again} bytes after {first}");
    bed.platform.put_vm(listed("vm-0007", VmState::Leaving));
    let changed = list.vms().await.unwrap();
    assert_eq!(changed[7], listed("vm-0007", VmState::Leaving));
}
