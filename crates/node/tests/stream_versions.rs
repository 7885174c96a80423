//! Streams while servers of several software versions serve side by side: each has to go on
//! at the version that began it.

#![allow(
    clippy::unwrap_used,
    clippy::panic,
    reason = "a test fails where something is missing"
)]

mod fleet;

use std::time::{Duration, Instant};

use comfreyramp_http::{Bytes, EventSplitter, Response, StatusCode, event_id};
use comfreyramp_standins::runner::{BackendArrival, RequestedStream};
use fleet::{CallerRequest, EVENTS, Fleet, expected_output, expected_stream};

/// How long the store's news take to reach all daemons of a small fleet that has just started.
const NEWS_DELAY: Duration = Duration::from_millis(1_500);
/// The body of a request whose stream lasts long enough to be interrupted.
const LONG_STREAM: &[u8] = b"takes 1200";
/// The number of streams that are open when a daemon is lost.
const OPEN_STREAMS: usize = 14;

/// A stream as far as its caller has received it.
struct CallerStream {
    /// The id of the request that received the first event.
    first_request: String,
    last_event: u64,
    text: String,
}

/// Starts a fleet with two engines of each of two versions, one in each zone, and a third
/// entry daemon.
async fn mixed_fleet() -> Fleet {
    let mut fleet = Fleet::new().await;
    fleet.add_engine("engine-3", "zone-1", "v2").await;
    fleet.add_engine("engine-4", "zone-2", "v2").await;
    let mut fleet = fleet.with_daemons().await;
    fleet.add_daemon("entry-3", "zone-2", true).await;
    fleet.wait_ready().await;
    // The daemons have heard of each other.
    tokio::time::sleep(NEWS_DELAY).await;
    fleet
}

/// Returns the engines' arrivals that ran, in the order in which they came in.
fn engine_runs(fleet: &Fleet) -> Vec<BackendArrival> {
    let arrivals = fleet.servers.iter().flat_map(|it| it.arrivals());
    let mut runs: Vec<BackendArrival> = arrivals.filter(|it| it.ran).collect();
    runs.sort_by_key(|it| it.at);
    runs
}

/// Returns the versions that ran any of the requests, in the order of their runs.
fn versions_of(fleet: &Fleet, requests: &[&str]) -> Vec<String> {
    let runs = engine_runs(fleet);
    let runs = runs
        .into_iter()
        .filter(|it| requests.contains(&it.request_id.as_str()));
    runs.map(|it| it.version).collect()
}

fn assert_one_version(fleet: &Fleet, requests: &[&str]) {
    let mut versions = versions_of(fleet, requests);
    versions.dedup();
    assert_eq!(versions.len(), 1, "{requests:?} ran at {versions:?}");
}

/// Opens a stream and reads it until it has at least `events` events.
async fn begin_stream(
    fleet: &Fleet,
    daemon: usize,
    call: CallerRequest<'_>,
    events: u64,
) -> (CallerStream, impl Future<Output = CallerStream> + use<>) {
    let first_request = call.id.to_owned();
    let response = fleet.callers().open(daemon, call).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    let mut body = response.into_body();
    let mut splitter = EventSplitter::default();
    let mut stream = CallerStream {
        first_request: first_request.clone(),
        last_event: 0,
        text: String::new(),
    };
    while stream.last_event < events {
        let data = fleet::next_bytes(&mut body).await.unwrap();
        stream.add(&mut splitter, &data);
    }
    let begun = CallerStream {
        first_request,
        last_event: stream.last_event,
        text: stream.text.clone(),
    };
    let rest = async move {
        while let Some(data) = fleet::next_bytes(&mut body).await {
            stream.add(&mut splitter, &data);
        }
        stream
    };
    (begun, rest)
}

impl CallerStream {
    fn add(&mut self, splitter: &mut EventSplitter, data: &[u8]) {
        splitter.push(data).unwrap();
        while let Some(event) = splitter.next_event() {
            self.last_event = event_id(&event).unwrap();
            self.text.push_str(std::str::from_utf8(&event).unwrap());
        }
    }

    /// Takes the stream up at a daemon.
    async fn take_up(
        &self,
        fleet: &Fleet,
        daemon: usize,
        id: &str,
    ) -> Result<Response<Bytes>, String> {
        let call = CallerRequest::post("/drafts/1", id, LONG_STREAM)
            .takes_up(&self.first_request, self.last_event);
        fleet.send(daemon, call).await
    }
}

/// Begins streams at a daemon and kills it while they are open.
async fn streams_of_killed_daemon(fleet: &mut Fleet, daemon: usize) -> Vec<CallerStream> {
    let ids: Vec<String> = (0..OPEN_STREAMS).map(|it| format!("first-{it}")).collect();
    let shared = &*fleet;
    let beginning = ids.iter().map(|id| {
        let call = CallerRequest::post("/drafts/1", id, LONG_STREAM);
        begin_stream(shared, daemon, call, 2)
    });
    let begun = futures::future::join_all(beginning).await;
    let rest: Vec<_> = begun.into_iter().map(|it| it.1).collect();
    fleet.kill(daemon);
    let streams = futures::future::join_all(rest).await;
    for stream in &streams {
        assert!(stream.last_event < EVENTS, "a stream was complete already");
    }
    let mut versions: Vec<String> = engine_runs(fleet)
        .into_iter()
        .map(|it| it.version)
        .collect();
    versions.sort();
    versions.dedup();
    assert_eq!(versions, ["v1", "v2"], "both versions began streams");
    streams
}

/// Takes all streams up at a daemon and checks that each goes on to its end at its version.
async fn take_up_all(fleet: &Fleet, streams: &[CallerStream], daemon: usize, prefix: &str) {
    let ids: Vec<String> = (0..streams.len())
        .map(|it| format!("{prefix}-{it}"))
        .collect();
    let taking_up = streams
        .iter()
        .zip(&ids)
        .map(|(stream, id)| stream.take_up(fleet, daemon, id));
    let responses = futures::future::join_all(taking_up).await;
    for ((stream, id), response) in streams.iter().zip(&ids).zip(responses) {
        let response = response.unwrap();
        assert_eq!(response.status(), StatusCode::OK, "{id}");
        let rest = String::from_utf8_lossy(response.body());
        assert_eq!(stream.text.clone() + &rest, expected_stream(), "{id}");
        assert_one_version(fleet, &[&stream.first_request, id]);
    }
}

/// Sends requests whose first server cuts the stream, and checks that each keeps to one
/// version and that what is complete is right. Returns how many streams went on elsewhere.
async fn cut_streams(fleet: &Fleet, prefix: &str, count: usize) -> usize {
    let mut resumed = 0;
    for number in 0..count {
        fleet.servers[number % 2].cut_next_stream(3);
        fleet.servers[3 + number % 2].cut_next_stream(3);
        let id = format!("{prefix}-{number}");
        let call = CallerRequest::post("/drafts/1", &id, b"verse");
        let response = fleet.send(number % 2, call).await;
        assert_one_version(fleet, &[&id]);
        if let Ok(response) = response {
            assert_eq!(response.body(), &expected_stream());
        }
        resumed += usize::from(versions_of(fleet, &[&id]).len() > 1);
    }
    resumed
}

/// Guards against a stream that goes on within its answer at a server of another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_within_its_answer_only_at_its_version() {
    let fleet = mixed_fleet().await;
    let resumed = cut_streams(&fleet, "within", 40).await;
    assert!(resumed >= 10, "{resumed} streams went on elsewhere");
}

/// Guards against a stream whose end is that of its connection, inside an event, and that is
/// taken for complete or goes on at another version.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_a_length_goes_on_only_at_its_version() {
    let fleet = mixed_fleet().await;
    for server in &fleet.servers {
        server.set_ends_with_connection(true);
    }
    let resumed = cut_streams(&fleet, "unframed", 20).await;
    assert!(resumed >= 5, "{resumed} streams went on elsewhere");
}

/// Guards against a stream that is taken up at another daemon and goes on at a server of
/// another version, or not at all.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_taken_up_at_another_daemon_goes_on_at_its_version() {
    let mut fleet = mixed_fleet().await;
    let streams = streams_of_killed_daemon(&mut fleet, 0).await;
    take_up_all(&fleet, &streams, 1, "second").await;
}

/// Guards against a daemon that has forgotten, by its restart, which version began a stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_goes_on_at_its_version_at_a_daemon_that_was_restarted() {
    let mut fleet = mixed_fleet().await;
    let streams = streams_of_killed_daemon(&mut fleet, 0).await;
    fleet.restart(0);
    fleet.wait_ready().await;
    take_up_all(&fleet, &streams, 0, "second").await;
}

/// Guards against a stream that is taken up twice, each time after its daemon was lost, and
/// goes on at another version the second time.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_taken_up_twice_goes_on_at_its_version() {
    let mut fleet = mixed_fleet().await;
    let streams = streams_of_killed_daemon(&mut fleet, 0).await;
    let ids: Vec<String> = (0..OPEN_STREAMS).map(|it| format!("second-{it}")).collect();
    let shared = &fleet;
    let taking_up = streams.iter().zip(&ids).map(|(stream, id)| {
        let call = CallerRequest::post("/drafts/1", id, LONG_STREAM)
            .takes_up(&stream.first_request, stream.last_event);
        begin_stream(shared, 1, call, stream.last_event + 2)
    });
    let begun = futures::future::join_all(taking_up).await;
    let rest: Vec<_> = begun.into_iter().map(|it| it.1).collect();
    fleet.kill(1);
    let parts = futures::future::join_all(rest).await;
    let streams: Vec<CallerStream> = streams
        .into_iter()
        .zip(parts)
        .map(|(stream, part)| CallerStream {
            first_request: stream.first_request,
            last_event: part.last_event,
            text: stream.text + &part.text,
        })
        .collect();
    take_up_all(&fleet, &streams, 3, "third").await;
}

/// Guards against a stream that is sent to another version because none of its own is left.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_servers_of_its_version_is_refused_as_not_run() {
    let mut fleet = mixed_fleet().await;
    let streams = streams_of_killed_daemon(&mut fleet, 0).await;
    for engine in [0, 1] {
        fleet.servers[engine].register(&fleet.store, "draining");
    }
    tokio::time::sleep(NEWS_DELAY).await;
    let mut refused = 0;
    for (number, stream) in streams.iter().enumerate() {
        let id = format!("second-{number}");
        let response = stream.take_up(&fleet, 1, &id).await.unwrap();
        if versions_of(&fleet, &[&stream.first_request]) == ["v2"] {
            assert_eq!(response.status(), StatusCode::OK, "{id}");
            continue;
        }
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{id}");
        assert!(response.headers().contains_key("retry-after"));
        assert_eq!(versions_of(&fleet, &[&id]), [""; 0], "{id} ran");
        refused += 1;
    }
    assert!(refused > 0, "v1 began none of the streams");
}

/// Guards against a stream of which nobody knows the version, and that is sent anywhere.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_of_unknown_version_is_not_sent_while_two_versions_serve() {
    let fleet = mixed_fleet().await;
    for number in 0..6 {
        let id = format!("taken-up-{number}");
        let call = CallerRequest::post("/drafts/1", &id, b"verse").takes_up("unheard-of", 4);
        let response = fleet.send(number % 2, call).await.unwrap();
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
        assert!(response.headers().contains_key("retry-after"));
    }
    assert_eq!(engine_runs(&fleet).len(), 0);
}

/// Guards against a caller that doesn't name the request that began its stream, and whose
/// stream goes on at another version, or not at all where there is only one.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_first_request_is_not_named_goes_on_while_one_version_is_in_use() {
    let mut fleet = Fleet::started().await;
    let take_up = |id| {
        let call = CallerRequest::post("/drafts/1", id, b"verse");
        call.header("last-event-id", "4")
    };
    let response = fleet.send(0, take_up("taken-up-1")).await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    fleet.add_engine("engine-3", "zone-1", "v2").await;
    tokio::time::sleep(NEWS_DELAY).await;
    let response = fleet.send(0, take_up("taken-up-2")).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    for engine in [0, 1] {
        fleet.servers[engine].register(&fleet.store, "draining");
        fleet
            .store
            .remove(&format!("servers/engine-{}", engine + 1));
    }
    tokio::time::sleep(NEWS_DELAY).await;
    // The streams of the version that has just gone may still be taken up.
    let response = fleet.send(0, take_up("taken-up-3")).await.unwrap();
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(engine_runs(&fleet).len(), 1);
}

/// Guards against a stream that goes on at a server whose process is a later one, of another
/// version, than the directory still shows.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_does_not_go_on_at_a_server_that_is_back_as_another_version() {
    let fleet = Fleet::started().await;
    // The directory goes on to show it as it was.
    fleet.servers[1].set_identity("v2", 2);
    for number in 0..6 {
        fleet.servers[0].cut_next_stream(3);
        let id = format!("within-{number}");
        let call = CallerRequest::post("/drafts/1", &id, b"verse");
        // The stream breaks off, or began at the later process, whose version isn't known.
        let _ = fleet.send(0, call).await;
        assert_one_version(&fleet, &[&id]);
    }
}

/// Guards against an item whose output is joined from two versions.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_goes_on_only_at_the_version_that_began_it() {
    let mut fleet = Fleet::new().await;
    fleet.servers[1].set_identity("v2", 1);
    fleet.servers[1].register(&fleet.store, "ready");
    fleet.add_engine("engine-3", "zone-1", "v3").await;
    let fleet = fleet.with_daemons().await;
    for round in 0..5 {
        for engine in [0, 1, 3] {
            fleet.servers[engine].cut_next_stream(4);
        }
        let lot = format!("lot-{round}");
        let status = fleet.submit_lot(0, &lot, &["one", "two", "three"]).await;
        assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
        let page = fleet.read_finished_lot(1, &lot).await;
        for result in page["results"].as_array().unwrap() {
            assert_eq!(result["output"], expected_output());
        }
    }
    assert_no_join(&fleet);
}

/// Guards against an item that another daemon takes over with its lot, and whose output is
/// joined from two versions.
#[tokio::test(flavor = "multi_thread")]
async fn an_item_of_a_lot_that_is_taken_over_keeps_to_one_version() {
    let mut fleet = mixed_fleet().await;
    fleet.add_daemon("lots-2", "zone-2", false).await;
    tokio::time::sleep(NEWS_DELAY).await;
    let status = fleet.submit_lot(0, "lot-t", &["takes 900"; 8]).await;
    assert_eq!(status.unwrap(), StatusCode::ACCEPTED);
    let until = Instant::now() + Duration::from_secs(10);
    while engine_runs(&fleet).len() < 4 {
        assert!(Instant::now() < until, "the items don't start");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    fleet.kill(2);
    tokio::time::sleep(Duration::from_millis(300)).await;
    fleet.restart(2);
    let page = fleet.read_finished_lot(1, "lot-t").await;
    let expected = (1..=EVENTS).map(|it| RequestedStream::default().data(it));
    let expected: Vec<String> = expected.collect();
    for result in page["results"].as_array().unwrap() {
        assert_eq!(result["output"], expected.join("\n"));
    }
    assert_no_join(&fleet);
}

/// Checks that each run that resumed an item was at the version of the run before.
fn assert_no_join(fleet: &Fleet) {
    let runs = engine_runs(fleet);
    for (index, run) in runs.iter().enumerate().filter(|it| it.1.resumes()) {
        let mut earlier = runs[..index].iter().rev();
        let before = earlier.find(|it| it.request_id == run.request_id).unwrap();
        assert_eq!(before.version, run.version, "{}", run.request_id);
    }
}
