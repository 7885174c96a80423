//! Streams that callers take up again at other daemons, while servers of two versions serve.

use std::{sync::Arc, time::Duration};

use comfreyramp_http::{EventSplitter, Incoming, StatusCode, event_id};
use comfreyramp_standins::runner::BackendArrival;
use rand::{Rng, rngs::StdRng};

use crate::{
    ENTRY_DAEMONS, SoakContext,
    fleet::{self, CallerRequest, EVENTS, Fleet},
};

/// The body of the requests.
const BODY: &[u8] = b"takes 400";
/// How often a stream is taken up.
const MAX_TAKE_UPS: usize = 4;
/// The time after which a caller abandons an attempt.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The requests that brought a caller one stream, in their order.
#[derive(Clone, Debug, Default)]
pub(crate) struct ResumedStream {
    pub(crate) requests: Vec<String>,
    last_event: u64,
}

/// Begins streams one after the other until the soak ends, breaks some off, and takes each up
/// at any daemon until it is complete. The ids of its requests begin with `name`.
pub(crate) async fn resume_streams(
    context: Arc<SoakContext>,
    name: String,
    mut random: StdRng,
) -> Vec<ResumedStream> {
    let mut streams = Vec::new();
    let mut number = 0;
    while !context.stop.is_cancelled() {
        number += 1;
        let mut stream = ResumedStream::default();
        for attempt in 0..=MAX_TAKE_UPS {
            let id = format!("{name}-{number}-{attempt}");
            let daemon = random.random_range(0..ENTRY_DAEMONS);
            let read_for = Duration::from_millis(random.random_range(50..700));
            stream.attempt(&context, daemon, &id, read_for).await;
            if stream.last_event >= EVENTS {
                break;
            }
        }
        streams.push(stream);
    }
    streams
}

impl ResumedStream {
    /// Reads events from one attempt, and breaks it off after `read_for`.
    async fn attempt(
        &mut self,
        context: &SoakContext,
        daemon: usize,
        id: &str,
        read_for: Duration,
    ) {
        let mut call = CallerRequest::post("/drafts/1", id, BODY);
        if let Some(first) = self.requests.first() {
            call = call.takes_up(first, self.last_event);
        }
        let opening = context.callers.open(daemon, call);
        let opened = tokio::time::timeout(ATTEMPT_TIMEOUT, opening).await;
        let Ok(Ok(response)) = opened else {
            return;
        };
        if response.status() != StatusCode::OK {
            return;
        }
        let mut body = response.into_body();
        let reading = self.read_events(context, id, &mut body);
        // A stream that is broken off is taken up by the next attempt.
        let _ = tokio::time::timeout(read_for, reading).await;
    }

    async fn read_events(&mut self, context: &SoakContext, id: &str, body: &mut Incoming) {
        let mut splitter = EventSplitter::default();
        while let Some(data) = fleet::next_bytes(body).await {
            splitter.push(&data).unwrap();
            while let Some(event) = splitter.next_event() {
                if self.requests.last().is_none_or(|it| it != id) {
                    self.requests.push(id.to_owned());
                }
                let event = event_id(&event).unwrap();
                if event != self.last_event + 1 {
                    let text = format!(
                        "seed {}: {id}: event {event} after {}",
                        context.seed, self.last_event
                    );
                    context.ledger().violations.push(text);
                }
                self.last_event = event;
            }
        }
    }
}

/// Checks that all runs that went on with a stream had the version of the run that began it,
/// and that most streams were completed. Returns the violations.
pub(crate) fn check_versions(fleet: &Fleet, seed: u64, streams: &[ResumedStream]) -> Vec<String> {
    let mut arrivals: Vec<BackendArrival> =
        fleet.servers.iter().flat_map(|it| it.arrivals()).collect();
    arrivals.sort_by_key(|it| it.at);
    let mut violations = Vec::new();
    for stream in streams {
        let is_of = |it: &&BackendArrival| it.ran && stream.requests.contains(&it.request_id);
        let of_stream: Vec<&BackendArrival> = arrivals.iter().filter(is_of).collect();
        let (resumed, begun): (Vec<&BackendArrival>, Vec<&BackendArrival>) =
            of_stream.into_iter().partition(|it| it.resumes());
        // Runs before the last one brought the caller no event.
        let Some(first) = begun.last() else {
            continue;
        };
        for run in resumed {
            if run.version != first.version {
                violations.push(format!(
                    "seed {seed}: {:?}: {} went on at {} after {}",
                    stream.requests, run.request_id, run.version, first.version
                ));
            }
        }
    }
    let taken_up = streams.iter().filter(|it| it.requests.len() > 1).count();
    let complete = streams.iter().filter(|it| it.last_event >= EVENTS).count();
    eprintln!(
        "soak: seed {seed}: {} streams, {taken_up} taken up, {complete} complete",
        streams.len()
    );
    violations
}
