//! What callers observe while servers, daemons and the store fail.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_standins::link::LinkMode;
use fleet::{CallerRequest, Fleet, KEY, SPARE_KEY, expected_output, expected_stream};

/// An engine crashes in the middle of an event. The caller of a resumable stream must not
/// notice: another engine resumes after the last complete event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_server_without_gap_or_repeat() {
    let fleet = Fleet::started().await;
    fleet.servers[0].cut_next_stream(5);
    let response = fleet
        .send(0, CallerRequest::post("/drafts/1", "r1", b"verse"))
        .await
        .unwrap();
    assert_eq!(response.body(), &expected_stream());
    assert_eq!(
        response.headers()["x-response-signature"],
        "engine-1",
        "the first server's headers are kept"
    );
    let resumed = fleet.servers[1].arrivals();
    let last: u64 = resumed[0].headers["last-event-id"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    // What the server wrote last may be lost with its connection.
    assert!((1..=5).contains(&last), "resumed after event {last}");
}

/// The same crash during a stream that must not run twice. Its caller sees the connection
/// break, and no second engine receives the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_runs_once_breaks_with_its_server() {
    let fleet = Fleet::started().await;
    fleet.servers[0].cut_next_stream(5);
    let response = fleet
        .send(0, CallerRequest::post("/once/1", "r2", b"verse"))
        .await;
    assert!(response.is_err(), "a partial stream must not look complete");
    assert!(fleet.servers[1].arrivals().is_empty());
}

/// An engine closes the connection before its first event. The caller hasn't received
/// anything yet, but the request may have run: the caller must be told so, and the request
/// must not run again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_said_not_to_have() {
    let fleet = Fleet::started().await;
    fleet.servers[0].cut_next_stream(0);
    fleet.servers[1].cut_next_stream(0);
    let response = fleet
        .send(0, CallerRequest::post("/once/1", "r3", b"verse"))
        .await;
    // The received part of the event is passed on, so the response may have begun.
    if let Ok(response) = response {
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
    }
    let runs: usize = fleet.servers.iter().map(|it| it.arrivals().len()).sum();
    assert_eq!(runs, 1);
}

/// A full engine answers that it didn't run a request. Another engine may run it, whatever
/// the kind of the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_turned_away_goes_to_another_server() {
    let fleet = Fleet::started().await;
    fleet.servers[0].set_full(true);
    let response = fleet
        .send(0, CallerRequest::post("/once/1", "r4", b"verse"))
        .await
        .unwrap();
    assert_eq!(response.headers()["x-response-signature"], "engine-2");
    fleet.servers[1].set_full(true);
    let response = fleet
        .send(0, CallerRequest::post("/once/1", "r5", b"verse"))
        .await
        .unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(response.headers().contains_key("retry-after"));
}

/// The store rejects one daemon's requests while it serves the others, and an operator
/// withdraws a key. The key must stop working at that daemon too, which learns of the
/// change from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_where_the_store_cannot_be_reached() {
    let mut fleet = Fleet::started().await;
    fleet.daemons[0].store_endpoint.faults.set_rejecting(true);
    fleet.put_settings(&[KEY], 1_000.0);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for daemon in [0, 1] {
        let refused = fleet
            .send(
                daemon,
                CallerRequest::post("/proofs/1", "r6", b"x").key(SPARE_KEY),
            )
            .await
            .unwrap();
        assert_eq!(
            refused.status(),
            StatusCode::UNAUTHORIZED,
            "daemon {daemon}"
        );
        let served = fleet
            .send(daemon, CallerRequest::post("/proofs/1", "r7", b"x"))
            .await
            .unwrap();
        assert_eq!(served.status(), StatusCode::OK, "daemon {daemon}");
    }
}

/// The store rejects the requests of the daemon that accepts a lot, and of the only one
/// that runs lots. Both reach the store through a third daemon, so the lot is accepted, run
/// and read as usual.
#[tokio::test(flavor = "multi_thread")]
async fn lots_go_on_where_the_store_turns_daemons_away() {
    let fleet = Fleet::started().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.daemons[0].store_endpoint.faults.set_rejecting(true);
    fleet.daemons[2].store_endpoint.faults.set_rejecting(true);
    let mut status = fleet.submit_lot(0, "lot-c", &["one", "two"]).await.unwrap();
    for _ in 0..5 {
        // A daemon learns from its first failed call that the store rejects it. Until its
        // peers have reported that they reach the store, it refuses lots and says so.
        if status == StatusCode::ACCEPTED {
            break;
        }
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        tokio::time::sleep(Duration::from_millis(300)).await;
        status = fleet.submit_lot(0, "lot-c", &["one", "two"]).await.unwrap();
    }
    assert_eq!(status, StatusCode::ACCEPTED);
    let page = fleet.read_finished_lot(0, "lot-c").await;
    assert_eq!(page["results"][0]["output"], expected_output());
}

/// The store writes a lot, and its answer is lost. The caller must be told that the lot was
/// accepted, and it must exist once.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_answer_was_lost_is_accepted_once() {
    let fleet = Fleet::started().await;
    fleet.daemons[0].store_endpoint.faults.lose_answers(2);
    let status = fleet.submit_lot(0, "lot-d", &["one"]).await.unwrap();
    assert_eq!(status, StatusCode::ACCEPTED);
    fleet.read_finished_lot(1, "lot-d").await;
    assert_eq!(fleet.store.keys("lots/data/lot-d/head").len(), 1);
}

/// The store is away for all daemons. A lot can't be stored, so it is refused with a time
/// to retry; live requests are served with the views that the daemons have.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_store_live_requests_are_served_and_lots_refused() {
    let fleet = Fleet::started().await;
    for daemon in &fleet.daemons {
        daemon.store_endpoint.faults.set_rejecting(true);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let response = fleet
        .send(0, CallerRequest::post("/drafts/1", "r8", b"verse"))
        .await
        .unwrap();
    assert_eq!(response.body(), &expected_stream());
    let status = fleet.submit_lot(0, "lot-e", &["one"]).await.unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    for daemon in &fleet.daemons {
        daemon.store_endpoint.faults.set_rejecting(false);
    }
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let unknown = fleet
        .send(0, CallerRequest::get("/-/lots/lot-e?after=0"))
        .await
        .unwrap();
    assert_eq!(
        unknown.status(),
        StatusCode::NOT_FOUND,
        "a refused lot doesn't exist"
    );
}

/// The daemon that runs a lot is killed and restarted. Its claim belongs to a lease that
/// hasn't expired, but its new incarnation takes the lot over at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_outlives_the_daemon_that_runs_it() {
    let mut fleet = Fleet::started().await;
    fleet.submit_lot(0, "lot-f", &["item"; 40]).await.unwrap();
    fleet
        .eventually("the lot is run", async || {
            !fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    fleet.kill(2);
    fleet.restart(2);
    let page = fleet.read_finished_lot(1, "lot-f").await;
    let results = page["results"].as_array().unwrap();
    assert!(results.iter().all(|it| it["output"] == expected_output()));
    let mut ids: Vec<&str> = results.iter().filter_map(|it| it["id"].as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 40, "each item has one result");
}

/// A server registers as leaving. It must get no new request, not even from daemons whose
/// watch lost its history at that moment.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_requests() {
    let fleet = Fleet::started().await;
    fleet.servers[0].register(&fleet.store, "draining");
    fleet.store.drop_history();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = fleet.servers[0].arrivals().len();
    for number in 0..5 {
        let id = format!("r9-{number}");
        let response = fleet
            .send(number % 2, CallerRequest::post("/drafts/1", &id, b"verse"))
            .await
            .unwrap();
        assert_eq!(response.headers()["x-response-signature"], "engine-2");
    }
    assert_eq!(fleet.servers[0].arrivals().len(), before);
}

/// A daemon is asked to stop in the middle of a stream. The stream is completed, the load
/// balancer sees at once that the daemon isn't ready, and the daemon exits by itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let mut fleet = Fleet::started().await;
    let response = {
        let request = fleet.send(0, CallerRequest::post("/drafts/1", "r10", b"verse"));
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            fleet.terminate(0);
            tokio::time::sleep(Duration::from_millis(60)).await;
            assert!(!fleet.reports_ready(0).await);
        };
        tokio::join!(request, stopping).0.unwrap()
    };
    assert_eq!(response.body(), &expected_stream());
    assert!(fleet.exits_cleanly(0).await);
}

/// A customer sends far more than its rate to two daemons at once. Both of them together
/// admit its rate and burst, and a little more for the time in which they learn of each
/// other's usage.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_holds_over_all_daemons_together() {
    let mut fleet = Fleet::started().await;
    fleet.put_settings(&[KEY], 20.0);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let start = std::time::Instant::now();
    let mut refused = 0;
    for number in 0..300 {
        let id = format!("r11-{number}");
        let response = fleet
            .send(number % 2, CallerRequest::post("/proofs/1", &id, b"x"))
            .await
            .unwrap();
        if response.status() == StatusCode::TOO_MANY_REQUESTS {
            assert!(response.headers().contains_key("retry-after"));
            refused += 1;
        }
    }
    let seconds = start.elapsed().as_secs_f64();
    let served = fleet.servers[2].arrivals().len() as f64;
    let allowed = 20.0 * seconds + 20.0;
    assert!(
        served <= allowed * 1.1 + 10.0,
        "{served} of {allowed} in {seconds} s"
    );
    assert!(refused > 0);
}

/// A customer ends a lot at a daemon that is lost right after it wrote the end, before it
/// informed its peers. The customer repeats the request at another daemon, which finds the
/// end in the store. Once that daemon acknowledges it, no item may be sent.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_that_a_lost_daemon_wrote_stops_the_lot() {
    let fleet = Fleet::started().await;
    fleet.submit_lot(0, "lot-g", &["item"; 120]).await.unwrap();
    fleet
        .eventually("the lot is run", async || {
            !fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    fleet.store.put("lots/data/lot-g/zend", b"\"entry-9\"");
    fleet.store.remove("lots/open/lot-g");
    let mut end = CallerRequest::get("/-/lots/lot-g");
    end.method = Method::DELETE;
    assert_eq!(fleet.send(1, end).await.unwrap().status(), StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let count = || -> usize { fleet.servers.iter().map(|it| it.arrivals().len()).sum() };
    let before = count();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(count(), before);
}

/// Backend servers are cut off while items of a lot are sent to them over connections that
/// are still open. The customer ends the lot, and the daemon abandons these items. When the
/// network recovers, the servers must not start them: the customer would see the lot run
/// seconds after its end.
#[tokio::test(flavor = "multi_thread")]
async fn items_sent_into_a_cut_do_not_run_after_the_end_of_their_lot() {
    let fleet = Fleet::with_links().await;
    let server_links = &fleet.links[..fleet.servers.len()];
    let count = || -> usize { fleet.servers.iter().map(|it| it.arrivals().len()).sum() };
    fleet.submit_lot(0, "lot-j", &["item"; 8]).await.unwrap();
    fleet.read_finished_lot(0, "lot-j").await;
    let before = count();
    for link in server_links {
        link.faults.set_mode(LinkMode::Silent);
    }
    fleet.submit_lot(0, "lot-k", &["item"; 8]).await.unwrap();
    fleet
        .eventually("items are sent while the servers are cut off", async || {
            fleet
                .metrics(2)
                .await
                .contains("in_flight{kind=\"bulk\"} 8")
        })
        .await;
    let mut end = CallerRequest::get("/-/lots/lot-k");
    end.method = Method::DELETE;
    assert_eq!(fleet.send(0, end).await.unwrap().status(), StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(700)).await;
    for link in server_links {
        link.faults.set_mode(LinkMode::Open);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(count(), before);
}

/// The daemon that runs a lot is paused for longer than its lease. Meanwhile the lot is
/// ended, of which no peer can inform it, and its claim expires. When it resumes, it still
/// has items in memory, and no other claim prevents it from running them. It must leave the
/// lot alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_away_does_not_go_on_with_an_ended_lot() {
    let fleet = Fleet::started().await;
    fleet.submit_lot(0, "lot-h", &["item"; 200]).await.unwrap();
    fleet
        .eventually("the lot is run", async || {
            !fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    fleet.pause(2);
    fleet.store.put("lots/data/lot-h/zend", b"\"entry-9\"");
    fleet
        .eventually("the claim expires", async || {
            fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    let count = || -> usize { fleet.servers.iter().map(|it| it.arrivals().len()).sum() };
    fleet.resume(2);
    // The daemon finds its lease expired and registers again.
    fleet
        .eventually("the daemon is registered again", async || {
            let members = fleet.store.keys("fleet/members/lots-1");
            members.first().is_some_and(|it| it.revision != it.created)
                || members.first().is_some_and(|it| it.lease > 3)
        })
        .await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    let before = count();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(count(), before);
}

/// The daemon that runs a lot is paused for longer than its lease. Meanwhile the lot is
/// ended, and by the time that the daemon resumes no peer reports that any more. The store
/// is away for all daemons, so it can't learn that its claim is gone. It must start no item
/// before it has claimed the lot again: the customer would see the ended lot run for as
/// long as the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_away_begins_nothing_before_it_has_its_claim() {
    let fleet = Fleet::started().await;
    let count = || -> usize { fleet.servers.iter().map(|it| it.arrivals().len()).sum() };
    fleet.submit_lot(0, "lot-l", &["item"; 200]).await.unwrap();
    fleet
        .eventually("the lot is run", async || count() > 0)
        .await;
    fleet.pause(2);
    fleet.store.put("lots/data/lot-l/zend", b"\"entry-9\"");
    fleet
        .eventually("the claim expires", async || {
            fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    for daemon in &fleet.daemons {
        daemon.store_endpoint.faults.set_rejecting(true);
    }
    let before = count();
    fleet.resume(2);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(count(), before);
}

/// The store is away for all daemons, for longer than the lease of the daemon that runs a
/// lot. That daemon was in contact with its peers all the time, so none of them has taken
/// the lot over or ended it. Its items keep running, and the customer loses no time.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_on_while_the_store_is_away_for_everybody() {
    let fleet = Fleet::started().await;
    let count = || -> usize { fleet.servers.iter().map(|it| it.arrivals().len()).sum() };
    fleet.submit_lot(0, "lot-m", &["item"; 200]).await.unwrap();
    fleet
        .eventually("the lot is run", async || count() > 0)
        .await;
    for daemon in &fleet.daemons {
        daemon.store_endpoint.faults.set_rejecting(true);
    }
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let before = count();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(count() > before, "nothing ran after {before} items");
}

/// The store drops its history, as it does from time to time without being away. All
/// daemons have to list again, but must accept lots as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_forgotten_history_is_no_outage() {
    let fleet = Fleet::started().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
        .store
        .put("lots/other", b"a change that watches don't show");
    fleet.store.drop_history();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for daemon in [0, 1] {
        let lot = format!("lot-i-{daemon}");
        let status = fleet.submit_lot(daemon, &lot, &["one"]).await.unwrap();
        assert_eq!(status, StatusCode::ACCEPTED, "daemon {daemon}");
    }
}

/// A daemon is stopped for planned maintenance of its VM. Its entry has to be removed, with
/// each claim that it couldn't give back: otherwise its peers keep counting on it, and its
/// lots wait until the lease expires.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_takes_the_entry_of_a_daemon_away() {
    let mut fleet = Fleet::started().await;
    let entry = "fleet/members/entry-1";
    fleet
        .eventually("the daemon is registered", async || {
            !fleet.store.keys(entry).is_empty()
        })
        .await;
    fleet.terminate(0);
    assert!(fleet.exits_cleanly(0).await);
    assert!(fleet.store.keys(entry).is_empty(), "the entry is removed");
}

/// A daemon stores a lot and is lost before it has asked any peer to run it, here because
/// the store's answer never arrives. The customer submits the lot again at another daemon,
/// which finds it in the store. Unless that one announces it, the lot waits until a daemon
/// happens to list all open lots, and its results are late.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_that_a_lost_daemon_accepted_is_run_at_once() {
    let mut fleet = Fleet::started().await;
    // After the start, daemons need a moment to learn of each other.
    tokio::time::sleep(Duration::from_millis(500)).await;
    // A single lot could be claimed at once because it was listed just then, so several are
    // tried.
    for lot in ["lot-l1", "lot-l2", "lot-l3", "lot-l4"] {
        fleet.daemons[0].store_endpoint.faults.hold_answers(true);
        let head = format!("lots/data/{lot}/head");
        let request = fleet.submit_lot(0, lot, &["one"]);
        let stored = fleet.eventually("the lot is stored", async || {
            !fleet.store.keys(&head).is_empty()
        });
        tokio::select! {
            _ = request => panic!("a response arrived without the store's answer"),
            () = stored => {}
        }
        fleet.kill(0);
        let status = fleet.submit_lot(1, lot, &["one"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        tokio::time::sleep(Duration::from_millis(400)).await;
        let claims = format!("lots/claim/{lot}");
        let results = format!("lots/data/{lot}/results/");
        let is_run = !fleet.store.keys(&claims).is_empty();
        assert!(is_run || !fleet.store.keys(&results).is_empty(), "{lot}");
        fleet.daemons[0].store_endpoint.faults.hold_answers(false);
        fleet.restart(0);
        fleet.wait_ready().await;
    }
}

/// A customer submits a lot and disconnects while the store's answer is on its way. The lot
/// is stored, and has to be run at once as if the customer had waited.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_customer_left_is_run_at_once() {
    let fleet = Fleet::started().await;
    // After the start, daemons need a moment to learn of each other.
    tokio::time::sleep(Duration::from_millis(500)).await;
    for lot in ["lot-m1", "lot-m2", "lot-m3", "lot-m4"] {
        fleet.daemons[0].store_endpoint.faults.hold_answers(true);
        let head = format!("lots/data/{lot}/head");
        let request = fleet.submit_lot(0, lot, &["one"]);
        let stored = fleet.eventually("the lot is stored", async || {
            !fleet.store.keys(&head).is_empty()
        });
        tokio::select! {
            _ = request => panic!("a response arrived without the store's answer"),
            () = stored => {}
        }
        fleet.daemons[0].store_endpoint.faults.hold_answers(false);
        tokio::time::sleep(Duration::from_millis(400)).await;
        let claims = format!("lots/claim/{lot}");
        let results = format!("lots/data/{lot}/results/");
        let is_run = !fleet.store.keys(&claims).is_empty();
        assert!(is_run || !fleet.store.keys(&results).is_empty(), "{lot}");
    }
}

/// A customer again submits a lot that was finished long ago, at a daemon that has never
/// read it, and the daemon that ran it has been restarted since. It must not be announced:
/// a daemon would claim it only to find nothing left to run, and each of these writes is
/// billed.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_of_a_finished_lot_is_claimed_by_nobody() {
    let mut fleet = Fleet::started().await;
    let status = fleet.submit_lot(0, "lot-f", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.read_finished_lot(0, "lot-f").await;
    fleet.kill(2);
    fleet.restart(2);
    // By then the notice of the lot's acceptance is no longer repeated.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let before = fleet.store.put("op/note", b"");
    let status = fleet.submit_lot(1, "lot-f", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let after = fleet.store.put("op/note", b"");
    assert_eq!(
        after - before,
        1,
        "the store was written to only by this test"
    );
}

/// A lot is finished a moment after it was accepted, and the daemon that ran it is
/// restarted, so that no peer reports it as finished. The notice of its acceptance is still
/// repeated several times a second. Once the next incarnation has found nothing left to
/// run, these notices must not make it claim the lot again and again: each attempt is
/// billed as two writes and a read.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_with_nothing_left_is_claimed_once() {
    let mut fleet = Fleet::started().await;
    let status = fleet.submit_lot(0, "lot-g", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.read_finished_lot(0, "lot-g").await;
    fleet.kill(2);
    let before = fleet.store.put("op/note", b"");
    fleet.restart(2);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let after = fleet.store.put("op/note", b"");
    // The daemon registers, claims the lot and gives it back.
    assert!(after - before <= 4, "{} writes", after - before);
}

/// The store writes a lot and loses the answer. The daemon retries through a peer, and is
/// told that the lot exists already. It must recognise its own write: otherwise it would
/// act on a refusal though its write is in force, and an operator would look for another
/// daemon that had accepted the lot before.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_was_lost_is_recognised_when_retried_through_a_peer() {
    let fleet = Fleet::started().await;
    // By then the daemon knows of a peer that reaches the store.
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.daemons[0].store_endpoint.faults.lose_answers(1);
    let status = fleet.submit_lot(0, "lot-w", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    let log_lines = fleet.log_lines_with_id("lot-w").await;
    let has_line = |text: &str| log_lines.iter().any(|it| it["message"] == text);
    assert!(has_line("lots: accepted"), "{log_lines:?}");
    assert!(!has_line("lots: accepted before"), "{log_lines:?}");
}

/// One of four engines answers each request with status 500 at once, and looks idle. Most
/// callers whose requests have a single attempt must not get its answers, and it must be used
/// again soon after it works.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_fails_at_once_gets_few_requests() {
    check_server_that_fails(Fleet::new().await).await;
}

/// The same where requests may wait at the daemon. A queue that doesn't choose servers for
/// trials leaves the server unused after it works again.
#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_fails_at_once_is_tried_by_daemons_with_a_queue() {
    check_server_that_fails(Fleet::new().await.with_live_queue()).await;
}

async fn check_server_that_fails(mut fleet: Fleet) {
    fleet.add_engine("engine-3", "zone-1", "v1").await;
    fleet.add_engine("engine-4", "zone-2", "v1").await;
    let fleet = fleet.with_daemons().await;
    let send_rounds = async |name: &str, rounds: usize| -> usize {
        let mut failed = 0;
        for round in 0..rounds {
            let (once, again) = (format!("{name}-once-{round}"), format!("{name}-{round}"));
            let daemon = round % 2;
            let (once, again) = tokio::join!(
                fleet.send(daemon, CallerRequest::post("/once/1", &once, b"verse")),
                fleet.send(daemon, CallerRequest::post("/drafts/1", &again, b"verse")),
            );
            failed += usize::from(once.unwrap().status() == StatusCode::INTERNAL_SERVER_ERROR);
            assert_eq!(again.unwrap().status(), StatusCode::OK, "{name} {round}");
        }
        failed
    };
    assert_eq!(send_rounds("healthy", 8).await, 0);
    fleet.servers[0].set_failing(true);
    let failed = send_rounds("failing", 24).await;
    assert!(failed <= 3, "{failed} of 24 requests failed");
    fleet.servers[0].set_failing(false);
    let is_run_once = || {
        let arrivals = fleet.servers[0].arrivals();
        let mut ids = arrivals.iter().map(|it| &it.request_id);
        ids.any(|it| it.starts_with("recovered-once"))
    };
    // Each round takes as long as a stream, about 0.2 s.
    let begin = std::time::Instant::now();
    while !is_run_once() && begin.elapsed() < Duration::from_millis(2_500) {
        assert_eq!(send_rounds("recovered", 1).await, 0);
    }
    assert!(
        is_run_once(),
        "not used {:?} after it works",
        begin.elapsed()
    );
}

/// One of two engines answers each item with status 500 at once, and has the most free slots.
/// Items must not fail there until they are given up, and their failures must count against
/// the engine once they succeed at the other one.
#[tokio::test(flavor = "multi_thread")]
async fn items_that_fail_at_one_server_succeed_at_another() {
    let fleet = Fleet::started().await;
    fleet.servers[0].set_failing(true);
    let bodies = ["one", "two", "three", "four", "five", "six"];
    let status = fleet.submit_lot(0, "lot-e", &bodies).await.unwrap();
    assert_eq!(status, StatusCode::ACCEPTED);
    let page = fleet.read_finished_lot(0, "lot-e").await;
    for result in page["results"].as_array().unwrap() {
        assert_eq!(result["output"], expected_output(), "{result}");
    }
    let metrics = fleet.metrics(2).await;
    let is_proved = |it: &str| it.contains("failed_alone") && !it.ends_with(" 0");
    assert!(metrics.lines().any(is_proved), "{metrics}");
}

/// An engine answers 504, since a request's time has run out. Callers with short deadlines must
/// not make healthy engines suspected.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_whose_time_ran_out_is_no_failure_of_its_server() {
    let fleet = Fleet::started().await;
    let request = CallerRequest::post("/once/1", "r8", b"out of time");
    let response = fleet.send(0, request).await.unwrap();
    assert_eq!(response.status(), StatusCode::GATEWAY_TIMEOUT);
    let metrics = fleet.metrics(0).await;
    let counts = |it: &str| it.contains("server_failures") && !it.starts_with('#');
    assert!(!metrics.lines().any(counts), "{metrics}");
}
