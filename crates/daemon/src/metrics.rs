//! Prometheus metrics, served at `/metrics`. See docs/OPERATIONS.md.

use std::time::Duration;

use comfreyramp_policy::rates::ShareLevel;
use comfreyramp_store::{CallEnd, CallMetrics, StoreCall};
use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Histogram buckets for durations, in seconds. They are fine around the goals:
/// 29 ms between tokens and 1.5 s to the first token.
const WAIT_BUCKETS: &[f64] = &[
    0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.035, 0.05, 0.075, 0.1, 0.15, 0.25,
    0.5, 0.75, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 30.0, 60.0, 120.0,
];

/// The class a request was served in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServedClass {
    /// A request of an engine whose caller waits for the answer.
    Live,
    /// A call to a plain HTTP service.
    Plain,
    /// An item of a lot.
    Bulk,
}

impl ServedClass {
    /// Returns the value of the `class` label.
    pub fn as_str(self) -> &'static str {
        match self {
            ServedClass::Live => "live",
            ServedClass::Plain => "plain",
            ServedClass::Bulk => "bulk",
        }
    }
}

/// All metrics of a daemon.
///
/// Label values are customers, classes and fixed words. The settings bound their
/// number, and callers can't choose any of them.
#[derive(Clone, Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    queue_wait: HistogramVec,
    whole: HistogramVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    platform_calls: IntCounterVec,
    gauges: IntGaugeVec,
    shares: GaugeVec,
}

impl DaemonMetrics {
    /// Registers all metrics. Fails if two have the same name.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let histogram = |name: &str, help: &str| -> anyhow::Result<HistogramVec> {
            let options = HistogramOpts::new(format!("comfreyramp_{name}"), help);
            let options = options.buckets(WAIT_BUCKETS.to_vec());
            let family = HistogramVec::new(options, &["customer", "class"])?;
            registry.register(Box::new(family.clone()))?;
            Ok(family)
        };
        let counter = |name: &str, help: &str, labels: &[&str]| -> anyhow::Result<IntCounterVec> {
            let options = Opts::new(format!("comfreyramp_{name}"), help);
            let family = IntCounterVec::new(options, labels)?;
            registry.register(Box::new(family.clone()))?;
            Ok(family)
        };
        let gauges = IntGaugeVec::new(
            Opts::new(
                "comfreyramp_state",
                "Present values of the daemon, by name.",
            ),
            &["name"],
        )?;
        registry.register(Box::new(gauges.clone()))?;
        let shares = GaugeVec::new(
            Opts::new(
                "comfreyramp_share",
                "What the daemon holds of a customer's rate: slots, tokens, capacity.",
            ),
            &["customer", "part"],
        )?;
        registry.register(Box::new(shares.clone()))?;
        Ok(DaemonMetrics {
            first_token: histogram("first_token_seconds", "Arrival to first token.")?,
            between_tokens: histogram("between_tokens_seconds", "Gap between two tokens.")?,
            queue_wait: histogram("queue_wait_seconds", "Arrival to the first send.")?,
            whole: histogram("whole_seconds", "Arrival to the end of the answer.")?,
            refusals: counter(
                "refusals_total",
                "Refused requests by customer and reason.",
                &["customer", "reason"],
            )?,
            retries: counter("retries_total", "Further tries by reason.", &["reason"])?,
            platform_calls: counter(
                "platform_calls_total",
                "Calls to the platform by kind and result.",
                &["kind", "result"],
            )?,
            gauges,
            shares,
            registry,
        })
    }

    /// Records the time from a request's arrival to its first token.
    pub fn observe_first_token(&self, customer: &str, class: ServedClass, wait: Duration) {
        observe(&self.first_token, customer, class, wait);
    }

    /// Records the time between two tokens of an answer.
    pub fn observe_token_gap(&self, customer: &str, class: ServedClass, gap: Duration) {
        observe(&self.between_tokens, customer, class, gap);
    }

    /// Records the time from a request's arrival until it is first sent to a server.
    pub fn observe_queue_wait(&self, customer: &str, class: ServedClass, wait: Duration) {
        observe(&self.queue_wait, customer, class, wait);
    }

    /// Records the time from a request's arrival to the end of its answer.
    pub fn observe_duration(&self, customer: &str, class: ServedClass, duration: Duration) {
        observe(&self.whole, customer, class, duration);
    }

    /// Counts a refused request. `customer` is empty if the key wasn't recognised.
    pub fn count_refusal(&self, customer: &str, reason: &str) {
        self.refusals.with_label_values(&[customer, reason]).inc();
    }

    /// Counts a further attempt at a request.
    pub fn count_retry(&self, reason: &str) {
        self.retries.with_label_values(&[reason]).inc();
    }

    /// Sets the gauge called `name`.
    pub fn set(&self, name: &str, value: i64) {
        self.gauges.with_label_values(&[name]).set(value);
    }

    /// Removes all share gauges, so that those of removed customers don't stay.
    pub fn clear_shares(&self) {
        self.shares.reset();
    }

    /// Sets the gauges for what the daemon holds of a customer's rate.
    pub fn set_share(&self, customer: &str, level: ShareLevel) {
        let parts = [
            ("slots", f64::from(level.slots)),
            ("tokens", level.tokens),
            ("capacity", level.capacity),
        ];
        for (part, value) in parts {
            self.shares.with_label_values(&[customer, part]).set(value);
        }
    }

    /// Returns all metrics in the text format of Prometheus.
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        if let Err(error) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("metrics: the metrics can't be encoded: {error}");
        }
        text
    }
}

impl CallMetrics for DaemonMetrics {
    fn count(&self, call: StoreCall, end: CallEnd, _took: Duration) {
        self.platform_calls
            .with_label_values(&[call.as_str(), end.as_str()])
            .inc();
    }

    fn watch_opened(&self) {
        self.gauges.with_label_values(&["platform_watches"]).inc();
    }

    fn watch_closed(&self) {
        self.gauges.with_label_values(&["platform_watches"]).dec();
    }
}

fn observe(family: &HistogramVec, customer: &str, class: ServedClass, duration: Duration) {
    family
        .with_label_values(&[customer, class.as_str()])
        .observe(duration.as_secs_f64());
}
