//! The store is silent for some seconds, and answers again.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use fleet::{CallerRequest, Fleet, KEY, SPARE_KEY};

/// Like any other change, one that is written after the store's return is in force at every
/// daemon within this time.
const MAX_CHANGE_DELAY: Duration = Duration::from_secs(2);
/// The longest time for which a server is used whose entry vanished during the silence: a
/// daemon has to drop servers that are gone once the store has answered for this long.
const MAX_ENTRY_RETENTION: Duration = Duration::from_secs(3);
/// The longest time for which a test waits for a state to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// By this time daemons that start together have all registered and listed everything.
const STARTUP_DELAY: Duration = Duration::from_millis(2_500);
/// By this time after a change a daemon has requested the next one.
const WATCH_REISSUE_DELAY: Duration = Duration::from_millis(550);

/// Sends requests with a key to the daemons until all of them refuse it, and returns how
/// long that took.
async fn time_until_refused(fleet: &Fleet, daemons: &[usize], key: &str) -> Duration {
    let start = Instant::now();
    for &daemon in daemons {
        loop {
            let request = CallerRequest::post("/proofs/1", "r1", b"proof").key(key);
            let status = fleet.send(daemon, request).await.unwrap().status();
            if status == StatusCode::UNAUTHORIZED {
                break;
            }
            assert_eq!(status, StatusCode::OK);
            assert!(
                start.elapsed() < WAIT_TIMEOUT,
                "the old settings are still in force"
            );
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    start.elapsed()
}

fn set_store_silent(fleet: &Fleet, daemons: &[usize], is_on: bool) {
    for &daemon in daemons {
        fleet.daemons[daemon]
            .store_endpoint
            .faults
            .set_silent(is_on);
    }
}

/// Writes a change, so that all daemons request the next one at the same moment, and
/// silences the store for `daemons` after `lag`, which may be before or after that moment.
async fn write_and_silence(fleet: &mut Fleet, daemons: &[usize], lag: Duration, silence: Duration) {
    tokio::time::sleep(STARTUP_DELAY).await;
    fleet.put_settings(&[KEY, SPARE_KEY], 900.0);
    tokio::time::sleep(lag).await;
    set_store_silent(fleet, daemons, true);
    tokio::time::sleep(silence).await;
    set_store_silent(fleet, daemons, false);
}

/// All daemons request the next change while the store is silent, so that none is ahead of
/// another afterwards. Callers with a withdrawn key were admitted for 13.5 s, and callers
/// of new routes were refused.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_in_force_after_watches_were_requested_in_a_silence() {
    let mut fleet = Fleet::started().await;
    let (lag, silence) = (Duration::from_millis(250), Duration::from_millis(3_500));
    write_and_silence(&mut fleet, &[0, 1, 2], lag, silence).await;
    fleet.put_settings(&[KEY], 1_000.0);
    let took = time_until_refused(&fleet, &[0, 1], SPARE_KEY).await;
    assert!(took < MAX_CHANGE_DELAY, "took {took:?}");
}

/// As above, but all watches are already waiting when the silence begins, and it is short.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_in_force_after_a_silence_cut_waiting_watches() {
    let mut fleet = Fleet::started().await;
    let (lag, silence) = (WATCH_REISSUE_DELAY, Duration::from_millis(2_000));
    write_and_silence(&mut fleet, &[0, 1, 2], lag, silence).await;
    fleet.put_settings(&[KEY], 1_000.0);
    let took = time_until_refused(&fleet, &[0, 1], SPARE_KEY).await;
    assert!(took < MAX_CHANGE_DELAY, "took {took:?}");
}

/// The store is silent for the only daemon of a fleet, for the half second in which it
/// requests the next change. No peer can report changes to it.
#[tokio::test(flavor = "multi_thread")]
async fn settings_are_in_force_at_a_daemon_without_peers() {
    let mut fleet = Fleet::new().await;
    fleet.add_daemon("entry-1", "zone-1", true).await;
    fleet.wait_ready().await;
    let (lag, silence) = (Duration::from_millis(250), Duration::from_millis(500));
    write_and_silence(&mut fleet, &[0], lag, silence).await;
    fleet.put_settings(&[KEY], 1_000.0);
    let took = time_until_refused(&fleet, &[0], SPARE_KEY).await;
    assert!(took < MAX_CHANGE_DELAY, "took {took:?}");
}

/// A server registers as leaving after the silence. The directory of servers is followed in
/// the same way as the settings; when watches hung, a leaving server received requests
/// until it was gone.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_left_are_not_used_after_a_silence() {
    let fleet = Fleet::started().await;
    tokio::time::sleep(STARTUP_DELAY).await;
    set_store_silent(&fleet, &[0, 1, 2], true);
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    set_store_silent(&fleet, &[0, 1, 2], false);
    fleet.servers[2].register(&fleet.store, "draining");
    let took = time_until_no_server(&fleet).await;
    assert!(took < MAX_CHANGE_DELAY, "took {took:?}");
}

/// Sends requests for a service to the daemons until none has a server for it, and returns
/// how long that took.
async fn time_until_no_server(fleet: &Fleet) -> Duration {
    let start = Instant::now();
    for daemon in [0, 1] {
        loop {
            let request = CallerRequest::post("/proofs/1", "r1", b"proof");
            let status = fleet.send(daemon, request).await.unwrap().status();
            if status == StatusCode::SERVICE_UNAVAILABLE {
                break;
            }
            assert!(start.elapsed() < WAIT_TIMEOUT, "the server is still used");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    start.elapsed()
}

/// A server is gone after the silence. Daemons keep its entry for some time, in case the
/// server is alive and registers again. Requests were sent to it for longer than that
/// takes.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_are_gone_are_not_used_after_a_silence() {
    let silences = [3_300, 3_500, 3_700, 3_900].map(Duration::from_millis);
    let took = futures::future::join_all(silences.map(time_used_after)).await;
    assert!(
        took.iter().all(|it| *it < MAX_ENTRY_RETENTION),
        "took {took:?}"
    );
}

/// Returns how long a server is used whose entry is removed at the end of a silence.
async fn time_used_after(silence: Duration) -> Duration {
    let fleet = Fleet::started().await;
    tokio::time::sleep(STARTUP_DELAY).await;
    set_store_silent(&fleet, &[0, 1, 2], true);
    tokio::time::sleep(silence).await;
    set_store_silent(&fleet, &[0, 1, 2], false);
    fleet.store.remove("servers/plain-1");
    time_until_no_server(&fleet).await
}
