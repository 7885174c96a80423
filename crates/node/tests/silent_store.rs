//! The store falls silent for some seconds, and answers again.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "tests end where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::StatusCode;
use fleet::{Ask, Fleet, KEY, SPARE_KEY};

/// A change that is written after the store's return is in force everywhere within this
/// span, as any other change.
const IN_FORCE: Duration = Duration::from_secs(2);
/// An entry that vanished in the silence is used for so long after it at most: daemons have
/// to know of servers that are gone once the store has answered for this span.
const HELD_ENTRY: Duration = Duration::from_secs(3);
/// Nothing in a test may take longer.
const PATIENCE: Duration = Duration::from_secs(20);
/// Daemons that start together have all registered, and listed everything, by then.
const STARTED: Duration = Duration::from_millis(2_500);
/// After a change a daemon asks for the next one by then.
const ASKED_ANEW: Duration = Duration::from_millis(550);

/// Asks daemons with a key until all refuse it, and returns how long that took.
async fn until_refused(fleet: &Fleet, nodes: &[usize], key: &str) -> Duration {
    let begin = Instant::now();
    for &node in nodes {
        loop {
            let ask = Ask::post("/proofs/1", "r1", b"proof").key(key);
            let status = fleet.ask(node, ask).await.unwrap().status();
            if status == StatusCode::UNAUTHORIZED {
                break;
            }
            assert_eq!(status, StatusCode::OK);
            assert!(begin.elapsed() < PATIENCE, "the old settings stay in force");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    begin.elapsed()
}

fn silence(fleet: &Fleet, nodes: &[usize], is_on: bool) {
    for &node in nodes {
        fleet.nodes[node].door.faults.fall_silent(is_on);
    }
}

/// Has all daemons ask for the next change at the same moment, and the store fall silent
/// for `nodes` before or after that.
async fn silence_after_a_change(fleet: &mut Fleet, nodes: &[usize], lag: Duration, span: Duration) {
    tokio::time::sleep(STARTED).await;
    fleet.put_settings(&[KEY, SPARE_KEY], 900.0);
    tokio::time::sleep(lag).await;
    silence(fleet, nodes, true);
    tokio::time::sleep(span).await;
    silence(fleet, nodes, false);
}

/// All daemons ask for the next change while the store is silent, so that none is ahead
/// of another afterwards. Callers with a withdrawn key were let in for 13.5 s, and
/// callers of new routes refused.
#[tokio::test(flavor = "multi_thread")]
async fn settings_stay_old_after_watches_were_asked_in_a_silence() {
    let mut fleet = Fleet::started().await;
    let (lag, span) = (Duration::from_millis(250), Duration::from_millis(3_500));
    silence_after_a_change(&mut fleet, &[0, 1, 2], lag, span).await;
    fleet.put_settings(&[KEY], 1_000.0);
    let took = until_refused(&fleet, &[0, 1], SPARE_KEY).await;
    assert!(took < IN_FORCE, "took {took:?}");
}

/// The same where all watches wait already when the silence begins, and it is over soon.
#[tokio::test(flavor = "multi_thread")]
async fn settings_stay_old_after_a_silence_cut_waiting_watches() {
    let mut fleet = Fleet::started().await;
    let (lag, span) = (ASKED_ANEW, Duration::from_millis(2_000));
    silence_after_a_change(&mut fleet, &[0, 1, 2], lag, span).await;
    fleet.put_settings(&[KEY], 1_000.0);
    let took = until_refused(&fleet, &[0, 1], SPARE_KEY).await;
    assert!(took < IN_FORCE, "took {took:?}");
}

/// The store was silent for one daemon alone, for half a second in which it asked for the
/// next change, and there is no other daemon that could tell it anything.
#[tokio::test(flavor = "multi_thread")]
async fn settings_stay_old_at_a_daemon_that_nobody_tells_anything() {
    let mut fleet = Fleet::new().await;
    fleet.add_node("entry-1", "zone-1", true).await;
    fleet.wait_ready().await;
    let (lag, span) = (Duration::from_millis(250), Duration::from_millis(500));
    silence_after_a_change(&mut fleet, &[0], lag, span).await;
    fleet.put_settings(&[KEY], 1_000.0);
    let took = until_refused(&fleet, &[0], SPARE_KEY).await;
    assert!(took < IN_FORCE, "took {took:?}");
}

/// A server says after the silence that it leaves. Requests went on to it until it was
/// gone, since the directory is followed in the same way as the settings.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_left_are_used_on_after_a_silence() {
    let fleet = Fleet::started().await;
    tokio::time::sleep(STARTED).await;
    silence(&fleet, &[0, 1, 2], true);
    tokio::time::sleep(Duration::from_millis(3_500)).await;
    silence(&fleet, &[0, 1, 2], false);
    fleet.runners[2].register(&fleet.store, "draining");
    let took = until_no_server(&fleet).await;
    assert!(took < IN_FORCE, "took {took:?}");
}

/// Asks the daemons for a service until none has a server for it, and returns how long
/// that took.
async fn until_no_server(fleet: &Fleet) -> Duration {
    let begin = Instant::now();
    for node in [0, 1] {
        loop {
            let ask = Ask::post("/proofs/1", "r1", b"proof");
            let status = fleet.ask(node, ask).await.unwrap().status();
            if status == StatusCode::SERVICE_UNAVAILABLE {
                break;
            }
            assert!(begin.elapsed() < PATIENCE, "the server is used on");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    begin.elapsed()
}

/// A server is gone after the silence. Its entry is held on to, in case the server lives
/// and writes it again, and requests went to it for longer than that takes.
#[tokio::test(flavor = "multi_thread")]
async fn servers_that_are_gone_are_used_on_after_a_silence() {
    let spans = [3_300, 3_500, 3_700, 3_900].map(Duration::from_millis);
    let took = futures::future::join_all(spans.map(held_after)).await;
    assert!(took.iter().all(|it| *it < HELD_ENTRY), "took {took:?}");
}

/// How long a server is used on whose entry is removed at the end of a silence.
async fn held_after(span: Duration) -> Duration {
    let fleet = Fleet::started().await;
    tokio::time::sleep(STARTED).await;
    silence(&fleet, &[0, 1, 2], true);
    tokio::time::sleep(span).await;
    silence(&fleet, &[0, 1, 2], false);
    fleet.store.remove("servers/plain-1");
    until_no_server(&fleet).await
}
