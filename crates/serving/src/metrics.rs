//! The Prometheus metrics of a daemon. docs/OPERATIONS.md explains each metric.

use std::time::Duration;

use comfreyramp_store::{CallEnd, CallMetrics, StoreCall};
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

/// Histogram buckets in seconds, finest in the range of the routes' objectives.
const WAIT_BUCKETS: &[f64] = &[
    0.005, 0.01, 0.025, 0.05, 0.075, 0.1, 0.15, 0.2, 0.25, 0.3, 0.4, 0.5, 0.75, 1.0, 2.0, 5.0,
    10.0, 20.0,
];

/// All metrics of a daemon. Label values are customers, kinds of routes and fixed
/// words; no caller can add one.
#[derive(Clone, Debug)]
pub struct NodeMetrics {
    registry: Registry,
    first_byte: HistogramVec,
    whole: HistogramVec,
    refusals: IntCounterVec,
    attempts: IntCounterVec,
    zone_probes: IntCounterVec,
    long_prompts: IntCounterVec,
    server_failures: IntCounterVec,
    stream_ends: IntCounterVec,
    streams_taken_up: IntCounterVec,
    store_calls: IntCounterVec,
    lots: IntCounterVec,
    waits: HistogramVec,
    /// Live requests that wait at this daemon for a slot.
    pub waiting: IntGauge,
    in_flight: IntGaugeVec,
    view_revision: IntGaugeVec,
    view_age: GaugeVec,
    held_bytes: IntGaugeVec,
    ended_readers: IntCounterVec,
    /// Log lines that were dropped because the writer's queue was full.
    pub dropped_lines: IntGauge,
    /// Servers that get only trials, since they probably fail.
    pub suspected_servers: IntGauge,
}

impl NodeMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails only if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let histogram = |name: &str, help: &str| {
            let options = HistogramOpts::new(name, help).buckets(WAIT_BUCKETS.to_vec());
            HistogramVec::new(options, &["customer", "kind"])
        };
        let counter = |name: &str, help: &str, labels: &[&str]| {
            IntCounterVec::new(Opts::new(name, help), labels)
        };
        let gauge = |name: &str, help: &str, labels: &[&str]| {
            IntGaugeVec::new(Opts::new(name, help), labels)
        };
        let metrics = NodeMetrics {
            registry: Registry::new(),
            first_byte: histogram(
                "comfreyramp_first_byte_seconds",
                "Until the first byte of the answer's body.",
            )?,
            whole: histogram("comfreyramp_whole_seconds", "Until the end of the answer.")?,
            refusals: counter(
                "comfreyramp_refusals_total",
                "Requests refused, by cause.",
                &["customer", "cause"],
            )?,
            attempts: counter(
                "comfreyramp_attempts_total",
                "Requests sent to servers, by how it went.",
                &["outcome"],
            )?,
            zone_probes: counter(
                "comfreyramp_zone_probes_total",
                "Probes of servers in zones none of whose daemons is heard, by outcome.",
                &["outcome"],
            )?,
            long_prompts: counter(
                "comfreyramp_long_prompts_total",
                "Requests with long shared prompt parts, by what their server probably had cached.",
                &["cached"],
            )?,
            server_failures: counter(
                "comfreyramp_server_failures_total",
                "Answers of servers that are failures, by what they say of the server.",
                &["evidence"],
            )?,
            stream_ends: counter(
                "comfreyramp_stream_ends_total",
                "Streams of events from servers, by framing and by how they ended.",
                &["framing", "end"],
            )?,
            streams_taken_up: counter(
                "comfreyramp_streams_taken_up_total",
                "Streams that callers took up, by whether the version that began them is known.",
                &["origin"],
            )?,
            store_calls: counter(
                "comfreyramp_store_calls_total",
                "Calls to the store, by how they ended.",
                &["call", "end"],
            )?,
            lots: counter(
                "comfreyramp_lot_events_total",
                "What happened to lots and their items.",
                &["event"],
            )?,
            waits: HistogramVec::new(
                HistogramOpts::new(
                    "comfreyramp_waits_seconds",
                    "How long live requests waited for a slot, by how the wait ended.",
                )
                .buckets(WAIT_BUCKETS.to_vec()),
                &["end"],
            )?,
            waiting: IntGauge::new("comfreyramp_waiting", "Live requests that wait for a slot.")?,
            in_flight: gauge(
                "comfreyramp_in_flight",
                "Requests that are on servers.",
                &["kind"],
            )?,
            view_revision: gauge(
                "comfreyramp_view_revision",
                "The store's revision that a view shows.",
                &["view"],
            )?,
            view_age: GaugeVec::new(
                Opts::new(
                    "comfreyramp_view_age_seconds",
                    "Since a view was last known to be current.",
                ),
                &["view"],
            )?,
            held_bytes: gauge(
                "comfreyramp_held_bytes",
                "Bytes held for callers, by kind.",
                &["kind"],
            )?,
            ended_readers: counter(
                "comfreyramp_ended_readers_total",
                "Slow readers whose connections were closed for lack of memory.",
                &["customer"],
            )?,
            dropped_lines: IntGauge::new(
                "comfreyramp_dropped_log_lines",
                "Log lines that were dropped.",
            )?,
            suspected_servers: IntGauge::new(
                "comfreyramp_suspected_servers",
                "Servers that are suspected of failing.",
            )?,
        };
        let registry = &metrics.registry;
        registry.register(Box::new(metrics.first_byte.clone()))?;
        registry.register(Box::new(metrics.whole.clone()))?;
        registry.register(Box::new(metrics.refusals.clone()))?;
        registry.register(Box::new(metrics.attempts.clone()))?;
        registry.register(Box::new(metrics.zone_probes.clone()))?;
        registry.register(Box::new(metrics.long_prompts.clone()))?;
        registry.register(Box::new(metrics.stream_ends.clone()))?;
        registry.register(Box::new(metrics.streams_taken_up.clone()))?;
        registry.register(Box::new(metrics.store_calls.clone()))?;
        registry.register(Box::new(metrics.lots.clone()))?;
        registry.register(Box::new(metrics.waits.clone()))?;
        registry.register(Box::new(metrics.waiting.clone()))?;
        registry.register(Box::new(metrics.in_flight.clone()))?;
        registry.register(Box::new(metrics.view_revision.clone()))?;
        registry.register(Box::new(metrics.view_age.clone()))?;
        registry.register(Box::new(metrics.held_bytes.clone()))?;
        registry.register(Box::new(metrics.ended_readers.clone()))?;
        registry.register(Box::new(metrics.dropped_lines.clone()))?;
        registry.register(Box::new(metrics.server_failures.clone()))?;
        registry.register(Box::new(metrics.suspected_servers.clone()))?;
        Ok(metrics)
    }

    /// Records the time until the first byte of an answer.
    pub fn first_byte(&self, customer: &str, kind: &str, elapsed: Duration) {
        self.first_byte
            .with_label_values(&[customer, kind])
            .observe(elapsed.as_secs_f64());
    }

    /// Records the time until the end of an answer.
    pub fn whole(&self, customer: &str, kind: &str, elapsed: Duration) {
        self.whole
            .with_label_values(&[customer, kind])
            .observe(elapsed.as_secs_f64());
    }

    /// Counts a refused request.
    pub fn refusal(&self, customer: &str, cause: &str) {
        self.refusals.with_label_values(&[customer, cause]).inc();
    }

    /// Records how long a live request waited for a slot, and how its wait ended.
    pub fn wait_end(&self, end: &str, waited: Duration) {
        let waits = self.waits.with_label_values(&[end]);
        waits.observe(waited.as_secs_f64());
    }

    /// Counts a probe of a server in a zone none of whose daemons is heard.
    pub fn zone_probe(&self, is_answered: bool) {
        let outcome = match is_answered {
            true => "answered",
            false => "failed",
        };
        self.zone_probes.with_label_values(&[outcome]).inc();
    }

    /// Counts an attempt to have a server run a request.
    pub fn attempt(&self, outcome: &str) {
        self.attempts.with_label_values(&[outcome]).inc();
    }

    /// Counts a request with long shared prompt parts.
    pub fn long_prompt(&self, cached: &str) {
        self.long_prompts.with_label_values(&[cached]).inc();
    }

    /// Counts an answer of a server that is a failure.
    pub fn server_failure(&self, evidence: &str) {
        self.server_failures.with_label_values(&[evidence]).inc();
    }

    /// Counts the end of a stream of events from a server.
    pub fn stream_end(&self, framing: &str, end: &str) {
        self.stream_ends.with_label_values(&[framing, end]).inc();
    }

    /// Counts a stream that a caller took up.
    pub fn stream_taken_up(&self, origin: &str) {
        self.streams_taken_up.with_label_values(&[origin]).inc();
    }

    /// Counts `count` occurrences of an event of lots or their items.
    pub fn lot(&self, event: &str, count: u64) {
        self.lots.with_label_values(&[event]).inc_by(count);
    }

    /// Adds `change` to the requests of a kind in flight on servers.
    pub fn in_flight(&self, kind: &str, change: i64) {
        self.in_flight.with_label_values(&[kind]).add(change);
    }

    /// Sets the bytes that are held for callers: for request bodies and for answers.
    pub fn held_bytes(&self, bodies: u64, answers: u64) {
        let set = |kind: &str, bytes: u64| {
            self.held_bytes.with_label_values(&[kind]).set(bytes as i64);
        };
        set("body", bodies);
        set("answer", answers);
    }

    /// Counts a slow reader whose connection is closed for lack of memory.
    pub fn ended_reader(&self, customer: &str) {
        self.ended_readers.with_label_values(&[customer]).inc();
    }

    /// Sets the store's revision that a view reflects.
    pub fn view_revision(&self, view: &str, revision: i64) {
        self.view_revision.with_label_values(&[view]).set(revision);
    }

    /// Sets the time since a view was last known to be current.
    pub fn view_age(&self, view: &str, age: Duration) {
        self.view_age
            .with_label_values(&[view])
            .set(age.as_secs_f64());
    }

    /// Returns the calls to the store since the start as text, by kind and result.
    pub fn store_calls(&self) -> String {
        let mut counts = Vec::new();
        for call in StoreCall::ALL {
            for end in CallEnd::ALL {
                let counter = self
                    .store_calls
                    .with_label_values(&[call.as_str(), end.as_str()]);
                if counter.get() > 0 {
                    counts.push(format!(
                        "{}/{} {}",
                        call.as_str(),
                        end.as_str(),
                        counter.get()
                    ));
                }
            }
        }
        counts.join(", ")
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::warn!("metrics: encoding failed: {error}");
        }
        text
    }
}

impl CallMetrics for NodeMetrics {
    fn count(&self, call: StoreCall, end: CallEnd, _elapsed: Duration) {
        self.store_calls
            .with_label_values(&[call.as_str(), end.as_str()])
            .inc();
    }
}
