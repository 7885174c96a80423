//! What callers see while servers, daemons and the store fail.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "tests end where something is missing"
)]

mod fleet;

use std::time::Duration;

use comfreyramp_http::{Method, StatusCode};
use comfreyramp_standins::link::LinkMode;
use fleet::{Ask, Fleet, KEY, SPARE_KEY, whole_output, whole_stream};

/// An engine crashes in the middle of an event. The caller of a resumable stream
/// must notice nothing: another engine goes on after the last whole event.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_another_server_without_gap_or_repeat() {
    let fleet = Fleet::started().await;
    fleet.runners[0].break_next(5);
    let answer = fleet
        .ask(0, Ask::post("/drafts/1", "r1", b"verse"))
        .await
        .unwrap();
    assert_eq!(answer.body(), &whole_stream());
    assert_eq!(
        answer.headers()["x-response-signature"],
        "engine-1",
        "the first head stands"
    );
    let resumed = fleet.runners[1].arrivals();
    let last: u64 = resumed[0].headers["last-event-id"]
        .to_str()
        .unwrap()
        .parse()
        .unwrap();
    // What the server wrote last may be lost with its connection.
    assert!((1..=5).contains(&last), "went on after {last}");
}

/// The same crash under a stream that must not run twice. Its caller sees the
/// connection break, and no second engine is asked.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_runs_once_breaks_with_its_server() {
    let fleet = Fleet::started().await;
    fleet.runners[0].break_next(5);
    let answer = fleet.ask(0, Ask::post("/once/1", "r2", b"verse")).await;
    assert!(answer.is_err(), "a part must not look like the whole");
    assert!(fleet.runners[1].arrivals().is_empty());
}

/// An engine breaks off before its first event. Nothing reached the caller yet,
/// but the request may have run, so that it is told so and not run again.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_may_have_run_is_not_said_not_to_have() {
    let fleet = Fleet::started().await;
    fleet.runners[0].break_next(0);
    fleet.runners[1].break_next(0);
    let answer = fleet.ask(0, Ask::post("/once/1", "r3", b"verse")).await;
    // The part of an event that came is passed on, so the answer may have begun.
    if let Ok(answer) = answer {
        assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    }
    let runs: usize = fleet.runners.iter().map(|it| it.arrivals().len()).sum();
    assert_eq!(runs, 1);
}

/// A full engine says that it didn't run a request. Another one may, whatever
/// the kind of the request.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_was_turned_away_goes_to_another_server() {
    let fleet = Fleet::started().await;
    fleet.runners[0].set_full(true);
    let answer = fleet
        .ask(0, Ask::post("/once/1", "r4", b"verse"))
        .await
        .unwrap();
    assert_eq!(answer.headers()["x-response-signature"], "engine-2");
    fleet.runners[1].set_full(true);
    let answer = fleet
        .ask(0, Ask::post("/once/1", "r5", b"verse"))
        .await
        .unwrap();
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(answer.headers().contains_key("retry-after"));
}

/// The store turns one daemon away while it serves the others, and an operator
/// withdraws a key. Whoever has the key must not get in at that daemon either;
/// it hears of the change from the others.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_working_where_the_store_cannot_be_reached() {
    let mut fleet = Fleet::started().await;
    fleet.nodes[0].door.faults.turn_away(true);
    fleet.put_settings(&[KEY], 1_000.0);
    tokio::time::sleep(Duration::from_millis(2_000)).await;
    for node in [0, 1] {
        let refused = fleet
            .ask(node, Ask::post("/proofs/1", "r6", b"x").key(SPARE_KEY))
            .await
            .unwrap();
        assert_eq!(refused.status(), StatusCode::UNAUTHORIZED, "daemon {node}");
        let served = fleet
            .ask(node, Ask::post("/proofs/1", "r7", b"x"))
            .await
            .unwrap();
        assert_eq!(served.status(), StatusCode::OK, "daemon {node}");
    }
}

/// The store turns away the daemon that takes a lot in, and the only one that
/// runs lots. Both reach the store by way of a third, so that the lot is
/// accepted, run and read as usual.
#[tokio::test(flavor = "multi_thread")]
async fn lots_go_on_where_the_store_turns_daemons_away() {
    let fleet = Fleet::started().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.nodes[0].door.faults.turn_away(true);
    fleet.nodes[2].door.faults.turn_away(true);
    let mut status = fleet.hand_in(0, "lot-c", &["one", "two"]).await.unwrap();
    for _ in 0..5 {
        // The first call that fails tells a daemon that it is turned away; until
        // the others have said that they aren't, it refuses, and says so.
        if status == StatusCode::ACCEPTED {
            break;
        }
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        tokio::time::sleep(Duration::from_millis(300)).await;
        status = fleet.hand_in(0, "lot-c", &["one", "two"]).await.unwrap();
    }
    assert_eq!(status, StatusCode::ACCEPTED);
    let page = fleet.whole_lot(0, "lot-c").await;
    assert_eq!(page["results"][0]["output"], whole_output());
}

/// The store takes a lot, and its answer is lost. The caller must be told that
/// the lot was accepted, and it must exist once.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_answer_was_lost_is_accepted_once() {
    let fleet = Fleet::started().await;
    fleet.nodes[0].door.faults.lose_answers(2);
    let status = fleet.hand_in(0, "lot-d", &["one"]).await.unwrap();
    assert_eq!(status, StatusCode::ACCEPTED);
    fleet.whole_lot(1, "lot-d").await;
    assert_eq!(fleet.store.keys("lots/data/lot-d/head").len(), 1);
}

/// The store is away for everybody. A lot can't be kept, so it is refused with
/// a time to come back; live requests are served by what is known.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_store_live_requests_are_served_and_lots_refused() {
    let fleet = Fleet::started().await;
    for node in &fleet.nodes {
        node.door.faults.turn_away(true);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let answer = fleet
        .ask(0, Ask::post("/drafts/1", "r8", b"verse"))
        .await
        .unwrap();
    assert_eq!(answer.body(), &whole_stream());
    let status = fleet.hand_in(0, "lot-e", &["one"]).await.unwrap();
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    for node in &fleet.nodes {
        node.door.faults.turn_away(false);
    }
    tokio::time::sleep(Duration::from_millis(3_000)).await;
    let unknown = fleet
        .ask(0, Ask::get("/-/lots/lot-e?after=0"))
        .await
        .unwrap();
    assert_eq!(
        unknown.status(),
        StatusCode::NOT_FOUND,
        "what was refused doesn't exist"
    );
}

/// The daemon that runs a lot is killed and comes back. Its claim hangs on a
/// lease that is still alive, but its new life takes the lot over at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_outlives_the_daemon_that_runs_it() {
    let mut fleet = Fleet::started().await;
    fleet.hand_in(0, "lot-f", &["item"; 40]).await.unwrap();
    fleet
        .eventually("the lot is being run", async || {
            !fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    fleet.kill(2);
    fleet.restart(2);
    let page = fleet.whole_lot(1, "lot-f").await;
    let results = page["results"].as_array().unwrap();
    assert!(results.iter().all(|it| it["output"] == whole_output()));
    let mut ids: Vec<&str> = results.iter().filter_map(|it| it["id"].as_str()).collect();
    ids.sort_unstable();
    ids.dedup();
    assert_eq!(ids.len(), 40, "each item stands once");
}

/// A server says that it leaves. It must get no new request, also by daemons
/// whose watch lost its history at that moment.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_server_gets_no_new_requests() {
    let fleet = Fleet::started().await;
    fleet.runners[0].register(&fleet.store, "draining");
    fleet.store.forget_history();
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let before = fleet.runners[0].arrivals().len();
    for number in 0..5 {
        let id = format!("r9-{number}");
        let answer = fleet
            .ask(number % 2, Ask::post("/drafts/1", &id, b"verse"))
            .await
            .unwrap();
        assert_eq!(answer.headers()["x-response-signature"], "engine-2");
    }
    assert_eq!(fleet.runners[0].arrivals().len(), before);
}

/// A daemon is told to stop in the middle of a stream. The stream ends whole,
/// the balancer hears at once that the daemon isn't ready, and it ends by itself.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_nothing_off() {
    let mut fleet = Fleet::started().await;
    let answer = {
        let asking = fleet.ask(0, Ask::post("/drafts/1", "r10", b"verse"));
        let stopping = async {
            tokio::time::sleep(Duration::from_millis(60)).await;
            fleet.terminate(0);
            tokio::time::sleep(Duration::from_millis(60)).await;
            assert!(!fleet.says_ready(0).await);
        };
        tokio::join!(asking, stopping).0.unwrap()
    };
    assert_eq!(answer.body(), &whole_stream());
    assert!(fleet.ended(0).await);
}

/// A customer sends far more than its rate at two daemons at once. Over both of
/// them together it gets its rate and burst, and a little more for the time in
/// which they hear of each other.
#[tokio::test(flavor = "multi_thread")]
async fn a_rate_holds_over_all_daemons_together() {
    let mut fleet = Fleet::started().await;
    fleet.put_settings(&[KEY], 20.0);
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let begin = std::time::Instant::now();
    let mut refused = 0;
    for number in 0..300 {
        let id = format!("r11-{number}");
        let answer = fleet
            .ask(number % 2, Ask::post("/proofs/1", &id, b"x"))
            .await
            .unwrap();
        if answer.status() == StatusCode::TOO_MANY_REQUESTS {
            assert!(answer.headers().contains_key("retry-after"));
            refused += 1;
        }
    }
    let seconds = begin.elapsed().as_secs_f64();
    let served = fleet.runners[2].arrivals().len() as f64;
    let allowed = 20.0 * seconds + 20.0;
    assert!(
        served <= allowed * 1.1 + 10.0,
        "{served} of {allowed} in {seconds} s"
    );
    assert!(refused > 0);
}

/// A customer ends a lot at a daemon that is lost right after it wrote the end,
/// before it could tell anybody. The customer asks again at another daemon, which
/// finds the end in the store. From its acknowledgement on nothing may be sent.
#[tokio::test(flavor = "multi_thread")]
async fn an_end_that_a_lost_daemon_wrote_stops_the_lot() {
    let fleet = Fleet::started().await;
    fleet.hand_in(0, "lot-g", &["item"; 120]).await.unwrap();
    fleet
        .eventually("the lot is being run", async || {
            !fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    fleet.store.put("lots/data/lot-g/zend", b"\"entry-9\"");
    fleet.store.remove("lots/open/lot-g");
    let mut end = Ask::get("/-/lots/lot-g");
    end.method = Method::DELETE;
    assert_eq!(fleet.ask(1, end).await.unwrap().status(), StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(700)).await;
    let count = || -> usize { fleet.runners.iter().map(|it| it.arrivals().len()).sum() };
    let before = count();
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(count(), before);
}

/// Backend servers fall behind a cut, and items of a lot are sent to them over
/// connections that are open still. The customer ends the lot, and the daemon gives
/// these items up. Once the cut heals, the servers must not begin what was sent into
/// it: seconds after its end the customer would see the lot run.
#[tokio::test(flavor = "multi_thread")]
async fn what_was_sent_into_a_cut_does_not_run_after_the_end_of_its_lot() {
    let fleet = Fleet::linked().await;
    let to_servers = &fleet.links[..fleet.runners.len()];
    let count = || -> usize { fleet.runners.iter().map(|it| it.arrivals().len()).sum() };
    fleet.hand_in(0, "lot-j", &["item"; 8]).await.unwrap();
    fleet.whole_lot(0, "lot-j").await;
    let before = count();
    for link in to_servers {
        link.faults.set_mode(LinkMode::Silent);
    }
    fleet.hand_in(0, "lot-k", &["item"; 8]).await.unwrap();
    fleet
        .eventually("items are sent into the cut", async || {
            fleet
                .metrics(2)
                .await
                .contains("in_flight{kind=\"bulk\"} 8")
        })
        .await;
    let mut end = Ask::get("/-/lots/lot-k");
    end.method = Method::DELETE;
    assert_eq!(fleet.ask(0, end).await.unwrap().status(), StatusCode::OK);
    tokio::time::sleep(Duration::from_millis(700)).await;
    for link in to_servers {
        link.faults.set_mode(LinkMode::Open);
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(count(), before);
}

/// The daemon that runs a lot is paused for longer than its lease. Meanwhile the
/// lot is ended, which nobody can tell it, and its claim lapses. It wakes up with
/// items in its memory, and with nobody's claim in its way. It must leave the lot
/// alone.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_away_does_not_go_on_with_an_ended_lot() {
    let fleet = Fleet::started().await;
    fleet.hand_in(0, "lot-h", &["item"; 200]).await.unwrap();
    fleet
        .eventually("the lot is being run", async || {
            !fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    fleet.pause(2);
    fleet.store.put("lots/data/lot-h/zend", b"\"entry-9\"");
    fleet
        .eventually("the claim lapses", async || {
            fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    let count = || -> usize { fleet.runners.iter().map(|it| it.arrivals().len()).sum() };
    fleet.resume(2);
    // Its lease is found lapsed, and it registers anew.
    fleet
        .eventually("it is registered again", async || {
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

/// The daemon that runs a lot stands still for longer than its lease, and the lot is
/// ended meanwhile, which nobody tells any more. When it goes on, the store is away for
/// everybody, so that it can't learn that its claim is gone. It must begin nothing
/// before it has the claim anew: the customer would see the ended lot run on for as
/// long as the store is away.
#[tokio::test(flavor = "multi_thread")]
async fn a_daemon_that_was_away_begins_nothing_before_it_has_its_claim() {
    let fleet = Fleet::started().await;
    let count = || -> usize { fleet.runners.iter().map(|it| it.arrivals().len()).sum() };
    fleet.hand_in(0, "lot-l", &["item"; 200]).await.unwrap();
    fleet
        .eventually("the lot is being run", async || count() > 0)
        .await;
    fleet.pause(2);
    fleet.store.put("lots/data/lot-l/zend", b"\"entry-9\"");
    fleet
        .eventually("the claim lapses", async || {
            fleet.store.keys("lots/claim/").is_empty()
        })
        .await;
    for node in &fleet.nodes {
        node.door.faults.turn_away(true);
    }
    let before = count();
    fleet.resume(2);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    assert_eq!(count(), before);
}

/// The store is away for everybody, for longer than the lease of the daemon that runs a
/// lot. It was in touch with the others all the while, so nobody has taken the lot over
/// or ended it: its items run on, and the customer loses no time.
#[tokio::test(flavor = "multi_thread")]
async fn items_run_on_while_the_store_is_away_for_everybody() {
    let fleet = Fleet::started().await;
    let count = || -> usize { fleet.runners.iter().map(|it| it.arrivals().len()).sum() };
    fleet.hand_in(0, "lot-m", &["item"; 200]).await.unwrap();
    fleet
        .eventually("the lot is being run", async || count() > 0)
        .await;
    for node in &fleet.nodes {
        node.door.faults.turn_away(true);
    }
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let before = count();
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(count() > before, "nothing ran after {before} items");
}

/// The store forgets its history, as it does now and then without being away. Lots
/// must be accepted as before, by daemons that all have to list anew.
#[tokio::test(flavor = "multi_thread")]
async fn a_forgotten_history_is_no_outage() {
    let fleet = Fleet::started().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet
        .store
        .put("lots/other", b"a change that watches don't show");
    fleet.store.forget_history();
    tokio::time::sleep(Duration::from_millis(300)).await;
    for node in [0, 1] {
        let lot = format!("lot-i-{node}");
        let status = fleet.hand_in(node, &lot, &["one"]).await.unwrap();
        assert_eq!(status, StatusCode::ACCEPTED, "daemon {node}");
    }
}

/// A daemon is stopped for a planned change of its VM. Its entry, and each claim that it
/// couldn't give back, has to go with it: else others go on counting on it, and its lots
/// lie until the lease lapses.
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
    assert!(fleet.ended(0).await);
    assert!(fleet.store.keys(entry).is_empty(), "it is gone");
}

/// A daemon keeps a lot in the store and is lost before it has told anybody to run it,
/// here because the store's answer never comes. The customer hands the lot in again at
/// another daemon, which finds it in the store. Unless that one tells of it, the lot
/// lies until somebody happens to list all open lots, and its results come late.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_that_a_lost_daemon_accepted_is_run_at_once() {
    let mut fleet = Fleet::started().await;
    // A fleet that has just begun needs a moment until its daemons know each other.
    tokio::time::sleep(Duration::from_millis(500)).await;
    // What is claimed at once one time may have been listed at that moment.
    for lot in ["lot-l1", "lot-l2", "lot-l3", "lot-l4"] {
        fleet.nodes[0].door.faults.hold_answers(true);
        let head = format!("lots/data/{lot}/head");
        let asking = fleet.hand_in(0, lot, &["one"]);
        let kept = fleet.eventually("the lot is kept", async || {
            !fleet.store.keys(&head).is_empty()
        });
        tokio::select! {
            _ = asking => panic!("no answer can have come"),
            () = kept => {}
        }
        fleet.kill(0);
        let status = fleet.hand_in(1, lot, &["one"]).await;
        assert_eq!(status, Ok(StatusCode::ACCEPTED));
        tokio::time::sleep(Duration::from_millis(400)).await;
        let claims = format!("lots/claim/{lot}");
        let results = format!("lots/data/{lot}/results/");
        let is_run = !fleet.store.keys(&claims).is_empty();
        assert!(is_run || !fleet.store.keys(&results).is_empty(), "{lot}");
        fleet.nodes[0].door.faults.hold_answers(false);
        fleet.restart(0);
        fleet.wait_ready().await;
    }
}

/// A customer hands a lot in and leaves while the store's answer is on its way. The lot
/// is kept, and has to be run at once as if the customer had waited.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_whose_customer_left_is_run_at_once() {
    let fleet = Fleet::started().await;
    // A fleet that has just begun needs a moment until its daemons know each other.
    tokio::time::sleep(Duration::from_millis(500)).await;
    for lot in ["lot-m1", "lot-m2", "lot-m3", "lot-m4"] {
        fleet.nodes[0].door.faults.hold_answers(true);
        let head = format!("lots/data/{lot}/head");
        let asking = fleet.hand_in(0, lot, &["one"]);
        let kept = fleet.eventually("the lot is kept", async || {
            !fleet.store.keys(&head).is_empty()
        });
        tokio::select! {
            _ = asking => panic!("no answer can have come"),
            () = kept => {}
        }
        fleet.nodes[0].door.faults.hold_answers(false);
        tokio::time::sleep(Duration::from_millis(400)).await;
        let claims = format!("lots/claim/{lot}");
        let results = format!("lots/data/{lot}/results/");
        let is_run = !fleet.store.keys(&claims).is_empty();
        assert!(is_run || !fleet.store.keys(&results).is_empty(), "{lot}");
    }
}

/// A customer hands a lot in again that was finished long ago, at a daemon that has never
/// read it, and the one that ran it was restarted since. Nobody may be told to run it: it
/// would be claimed to find nothing left, and each of these writes is billed.
#[tokio::test(flavor = "multi_thread")]
async fn a_repeat_of_a_finished_lot_is_claimed_by_nobody() {
    let mut fleet = Fleet::started().await;
    let status = fleet.hand_in(0, "lot-f", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.whole_lot(0, "lot-f").await;
    fleet.kill(2);
    fleet.restart(2);
    // What was told of it when it was accepted is told no more.
    tokio::time::sleep(Duration::from_millis(4_500)).await;
    let before = fleet.store.put("op/note", b"");
    let status = fleet.hand_in(1, "lot-f", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    tokio::time::sleep(Duration::from_millis(1_000)).await;
    let after = fleet.store.put("op/note", b"");
    assert_eq!(after - before, 1, "nothing else was written");
}

/// A lot is done a moment after it was accepted, and the daemon that ran it is restarted,
/// so that nobody says that it is finished. That it was accepted is still repeated, several
/// times a second. Once the next life has found nothing left of it, these words must not
/// have it look again and again: each look is billed as two writes and a read.
#[tokio::test(flavor = "multi_thread")]
async fn a_lot_with_nothing_left_is_looked_at_once() {
    let mut fleet = Fleet::started().await;
    let status = fleet.hand_in(0, "lot-g", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    fleet.whole_lot(0, "lot-g").await;
    fleet.kill(2);
    let before = fleet.store.put("op/note", b"");
    fleet.restart(2);
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    let after = fleet.store.put("op/note", b"");
    // The daemon registers, claims the lot and gives it back.
    assert!(after - before <= 4, "{} writes", after - before);
}

/// The store takes a lot and loses the answer, and the daemon asks again by way of another
/// one, which is told that the lot is there already. That is its own write: were it taken
/// for somebody else's, the writer would act on a refusal though its write is in force, and
/// an operator would look for a daemon that accepted the lot before.
#[tokio::test(flavor = "multi_thread")]
async fn a_write_whose_answer_was_lost_is_its_own_by_another_way_too() {
    let fleet = Fleet::started().await;
    // Until then nobody is known who reaches the store.
    tokio::time::sleep(Duration::from_millis(800)).await;
    fleet.nodes[0].door.faults.lose_answers(1);
    let status = fleet.hand_in(0, "lot-w", &["one"]).await;
    assert_eq!(status, Ok(StatusCode::ACCEPTED));
    let logged = fleet.logged("lot-w").await;
    let said = |text: &str| logged.iter().any(|it| it["message"] == text);
    assert!(said("lots: accepted"), "{logged:?}");
    assert!(!said("lots: accepted before"), "{logged:?}");
}
