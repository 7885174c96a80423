//! Late answers to earlier requests, which arrive on a connection in place of the answer to
//! the present one.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::sync::Arc;

use comfreyramp_http::{Bytes, Response, StatusCode};
use comfreyramp_standins::runner::{ScriptedAnswer, ScriptedRequest, ScriptedServer};
use fleet::{CallerRequest, Fleet};

const STREAM: &[u8] = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const ROUNDS: usize = 6;

/// A fleet with a scripted engine in the first daemon's zone, and a sound one in another.
struct LateFleet {
    fleet: Fleet,
    server: Arc<ScriptedServer>,
    sent: usize,
}

impl LateFleet {
    /// Starts the fleet. The sound engine is drained if `is_alone`.
    async fn start(
        is_alone: bool,
        script: impl Fn(&ScriptedRequest) -> ScriptedAnswer + Send + Sync + 'static,
    ) -> LateFleet {
        let fleet = Fleet::started().await;
        let drained = if is_alone { 2 } else { 1 };
        let server = fleet.add_scripted_engine(drained, script).await;
        LateFleet {
            fleet,
            server,
            sent: 0,
        }
    }

    /// Sends a request to the first daemon.
    async fn send(&mut self, path: &str) -> Result<Response<Bytes>, String> {
        self.sent += 1;
        let id = format!("request-{}", self.sent);
        let request = CallerRequest::post(path, &id, b"verse");
        self.fleet.send(0, request).await
    }

    /// Returns how often servers began to run the last request.
    fn runs(&self) -> usize {
        let id = format!("request-{}", self.sent);
        let scripted = self.server.requests();
        let arrivals = self.fleet.servers[1].arrivals();
        scripted.iter().filter(|it| it.request.id() == id).count()
            + arrivals.iter().filter(|it| it.request_id == id).count()
    }

    /// Returns how many requests came over a connection that had carried another.
    fn reused(&self) -> usize {
        let requests = self.server.requests();
        requests
            .iter()
            .filter(|it| it.previous_id.is_some())
            .count()
    }
}

fn whole(it: &ScriptedRequest) -> ScriptedAnswer {
    ScriptedAnswer::stream(it.request.id(), STREAM)
}

/// A late statement that an earlier request wasn't run must not be taken for one of the
/// present request, which its server runs: on a route whose requests may run once it would
/// run twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_is_not_taken_for_one_of_the_present_request() {
    for status in [503, 421, 429] {
        let script = move |it: &ScriptedRequest| match &it.previous_id {
            Some(id) => ScriptedAnswer::not_run(status, id).then(&whole(it)),
            None => whole(it),
        };
        let mut fleet = LateFleet::start(false, script).await;
        for _ in 0..ROUNDS {
            // A refusal says that the request wasn't run; its answer may also be lost.
            let response = fleet.send("/once/1").await.unwrap();
            assert_eq!(fleet.runs(), 1, "{status}: {:?}", response.status());
            assert!([200, 502].contains(&response.status().as_u16()), "{status}");
        }
        assert!(fleet.reused() > 0, "no connection was reused");
    }
}

/// The same statement without any id can't be told from one of an earlier request.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_refusal_without_an_id_is_not_taken_for_one_of_the_present_request() {
    let script = |it: &ScriptedRequest| match &it.previous_id {
        Some(_) => ScriptedAnswer::not_run(503, "").then(&whole(it)),
        None => whole(it),
    };
    let mut fleet = LateFleet::start(false, script).await;
    for _ in 0..ROUNDS {
        let response = fleet.send("/once/1").await.unwrap();
        assert_eq!(fleet.runs(), 1, "{:?}", response.status());
    }
    assert!(fleet.reused() > 0, "no connection was reused");
}

/// A server that refuses the first request on a connection without repeating its id refuses
/// that request: there is no other.
#[tokio::test(flavor = "multi_thread")]
async fn a_refusal_without_an_id_on_a_new_connection_is_taken() {
    let script = |_: &ScriptedRequest| ScriptedAnswer::not_run(503, "");
    let mut fleet = LateFleet::start(false, script).await;
    let response = fleet.send("/once/1").await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
}

/// Returns a script that sends a late answer in place of that to each request for a path
/// that ends with `late`, if its connection had carried another.
fn late_by_path(load: &'static str) -> impl Fn(&ScriptedRequest) -> ScriptedAnswer {
    move |it| match &it.previous_id {
        Some(id) if it.request.path.ends_with("late") => ScriptedAnswer::stream(id, STREAM)
            .header("x-server-load", load)
            .then(&whole(it)),
        _ => whole(it),
    }
}

/// The load that a late answer reports is that of another moment, so it must not keep
/// requests away from its server.
#[tokio::test(flavor = "multi_thread")]
async fn the_load_in_a_late_answer_is_not_taken() {
    let mut fleet = LateFleet::start(true, late_by_path("8,9000,8")).await;
    for _ in 0..ROUNDS {
        let response = fleet.send("/drafts/1").await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        // The connection is reused, and a late answer arrives on it.
        let _ = fleet.send("/drafts/late").await;
    }
    assert!(fleet.reused() > 0, "no connection was reused");
}

/// Late answers say nothing about the requests that they arrive for, so these must not count
/// as requests that make servers crash.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_gets_late_answers_is_not_refused_as_one_that_crashes_servers() {
    let mut fleet = LateFleet::start(true, late_by_path("1,0,8")).await;
    for _ in 0..ROUNDS {
        let response = fleet.send("/once/1").await.unwrap();
        assert_eq!(response.status(), StatusCode::OK);
        let status = fleet.send("/once/late").await.unwrap().status();
        assert!([200, 502].contains(&status.as_u16()), "{status}");
        assert_eq!(fleet.runs(), 1);
    }
    assert!(fleet.reused() > 0, "no connection was reused");
}

/// Callers choose the ids of their requests, so that two requests may have the same. A late
/// answer to the first must not be passed on as that to the second.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_is_not_passed_on_to_a_request_with_the_same_id() {
    let script = |it: &ScriptedRequest| match &it.previous_id {
        Some(id) => ScriptedAnswer::stream(id, b"id: 1\ndata: late\n\n").then(&whole(it)),
        None => whole(it),
    };
    let fleet = LateFleet::start(true, script).await;
    for _ in 0..ROUNDS {
        let request = CallerRequest::post("/once/1", "same", b"verse");
        let response = fleet.fleet.send(0, request).await.unwrap();
        assert!(!response.body().windows(4).any(|it| it == b"late"));
    }
}
