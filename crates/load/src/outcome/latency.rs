//! Latency histograms.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// The quantiles in the curve of a [`LatencySummary`].
pub const QUANTILES: [f64; 21] = [
    0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6, 0.7, 0.75, 0.8, 0.85, 0.9, 0.925, 0.95, 0.975, 0.99, 0.995,
    0.999, 0.9995, 0.9999, 1.0,
];

/// The highest trackable latency, in microseconds: one hour.
const HIGHEST_MICROS: u64 = 3_600_000_000;
/// The number of significant decimal digits that the histogram preserves.
const DIGITS: u8 = 3;

/// A histogram of latencies with microsecond resolution.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST_MICROS, DIGITS)
            .expect("the bounds are constants that the library accepts");
        LatencyHistogram { histogram }
    }
}

impl LatencyHistogram {
    /// Records a latency. Values above the maximum count as the maximum.
    pub fn record(&mut self, latency: Duration) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(micros.max(1));
    }

    /// Returns count, mean, quantiles and maximum.
    pub fn summary(&self) -> LatencySummary {
        if self.histogram.is_empty() {
            return LatencySummary::default();
        }
        let quantile = |it: f64| self.histogram.value_at_quantile(it) as f64 / 1e3;
        LatencySummary {
            count: self.histogram.len(),
            mean_ms: self.histogram.mean() / 1e3,
            p50_ms: quantile(0.5),
            p95_ms: quantile(0.95),
            p99_ms: quantile(0.99),
            max_ms: quantile(1.0),
            curve_ms: QUANTILES.iter().map(|it| quantile(*it)).collect(),
        }
    }
}

/// The statistics of a [`LatencyHistogram`], in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LatencySummary {
    /// The number of latencies. All other values are zero if there are none.
    pub count: u64,
    /// The arithmetic mean.
    pub mean_ms: f64,
    /// The median.
    pub p50_ms: f64,
    /// The 95th percentile.
    pub p95_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The maximum.
    pub max_ms: f64,
    /// The latency at each of the [`QUANTILES`].
    pub curve_ms: Vec<f64>,
}
