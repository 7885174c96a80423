//! The workload mix that a trace is generated from.

use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};
use serde_with::{DurationSecondsWithFrac, serde_as};

use super::event::FaultEvent;

/// The workload of several customers, and faults during the run.
///
/// In a file, all durations are in seconds.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TraceMix {
    /// The period during which requests arrive.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "span_s")]
    pub span: Duration,
    /// The workload of each customer.
    pub customers: Vec<CustomerMix>,
    /// The faults to inject.
    #[serde(default)]
    pub faults: Vec<FaultMix>,
}

/// A fault at a fixed time.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FaultMix {
    /// The time since the start of the run.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "at_s")]
    pub at: Duration,
    /// The fault.
    pub fault: FaultEvent,
}

/// The workload of one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerMix {
    /// The customer's name.
    pub name: String,
    /// The rate limit in requests per second.
    pub rate: f64,
    /// The number of requests that may arrive at once after an idle period.
    pub burst: u32,
    /// Generation requests.
    #[serde(default)]
    pub live: Option<LiveMix>,
    /// Calls of a plain HTTP service.
    #[serde(default)]
    pub plain: Option<PlainMix>,
    /// Lots.
    #[serde(default)]
    pub lots: Option<LotMix>,
}

/// Generation requests at random times.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LiveMix {
    /// The base rate in requests per second, outside bursts and overdrive.
    pub rate: f64,
    /// Short, recurring periods of a higher rate.
    #[serde(default)]
    pub bursts: Option<BurstMix>,
    /// One long period of a higher rate.
    #[serde(default)]
    pub overdrive: Option<OverdriveMix>,
    /// Prompt lengths in tokens, without the shared prefix.
    pub prompt_tokens: SizeRange,
    /// Response lengths in tokens.
    pub max_tokens: SizeRange,
    /// The number of shared prompt prefixes. Each request uses one of them.
    pub prefixes: u32,
    /// The length of a shared prefix in tokens.
    pub prefix_tokens: u32,
    /// The fraction of requests that are streamed, from 0 to 1.
    pub stream_share: f64,
    /// Adds a special text to some of the prompts.
    #[serde(default)]
    pub marker: Option<MarkerMix>,
}

/// Short periods of a higher rate, at random times.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BurstMix {
    /// The mean gap from the end of one burst to the start of the next.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "every_s")]
    pub every: Duration,
    /// The duration of each burst.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "span_s")]
    pub span: Duration,
    /// The factor that multiplies the base rate.
    pub factor: f64,
}

/// One period of a higher rate.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OverdriveMix {
    /// The start, since the start of the run.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "from_s")]
    pub from: Duration,
    /// The duration.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "span_s")]
    pub span: Duration,
    /// The factor that multiplies the base rate.
    pub factor: f64,
}

/// Adds a special text to prompts, such as one that crashes an engine.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MarkerMix {
    /// The text.
    pub text: String,
    /// The fraction of prompts that contain it, from 0 to 1.
    pub share: f64,
    /// How many times a caller resends such a live request, as after a missing
    /// response.
    #[serde(default)]
    pub resends: u32,
    /// The time between two resends.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default, rename = "resend_after_s")]
    pub resend_after: Duration,
}

/// Calls of a plain HTTP service at random times.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlainMix {
    /// The rate in calls per second.
    pub rate: f64,
    /// Body lengths in bytes.
    pub body_bytes: SizeRange,
    /// The fraction of calls that must not be retried, from 0 to 1.
    pub once_share: f64,
}

/// Lots at regular intervals.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LotMix {
    /// The submission time of the first lot.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "first_s")]
    pub first: Duration,
    /// The interval between submissions.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "every_s")]
    pub every: Duration,
    /// The number of items per lot.
    pub items: SizeRange,
    /// Prompt lengths in tokens. All items of a lot have the same length.
    pub prompt_tokens: SizeRange,
    /// Response lengths in tokens. All items of a lot have the same length.
    pub max_tokens: SizeRange,
    /// The deadline relative to the submission, at least one second.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(rename = "due_s")]
    pub due: Duration,
    /// The fraction of lots that are submitted a second time, from 0 to 1.
    #[serde(default)]
    pub resent_share: f64,
    /// The delay between the two submissions.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    #[serde(default, rename = "resent_after_s")]
    pub resent_after: Duration,
    /// Adds a special text to some of the items.
    #[serde(default)]
    pub marker: Option<MarkerMix>,
}

/// A range of sizes, both ends included. Sizes are drawn uniformly.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SizeRange {
    /// The minimum.
    pub min: u32,
    /// The maximum.
    pub max: u32,
}

impl SizeRange {
    /// Creates a range that includes both ends.
    pub const fn new(min: u32, max: u32) -> Self {
        SizeRange { min, max }
    }

    /// Draws a random size.
    pub fn draw(self, random: &mut impl Rng) -> u32 {
        random.random_range(self.min..=self.max.max(self.min))
    }
}

impl TraceMix {
    /// Validates the mix. Returns all errors, each prefixed with the path of the
    /// invalid field.
    pub fn check(&self) -> Vec<String> {
        let mut findings = FindingList::default();
        findings.positive("span_s", self.span.as_secs_f64());
        for (index, customer) in self.customers.iter().enumerate() {
            customer.check(&format!("customers[{index}]"), &mut findings);
        }
        findings.findings
    }
}

impl CustomerMix {
    fn check(&self, place: &str, findings: &mut FindingList) {
        findings.positive(&format!("{place}.rate"), self.rate);
        if let Some(live) = &self.live {
            live.check(&format!("{place}.live"), findings);
        }
        if let Some(plain) = &self.plain {
            let place = format!("{place}.plain");
            findings.positive(&format!("{place}.rate"), plain.rate);
            findings.range(&format!("{place}.body_bytes"), plain.body_bytes);
            findings.share(&format!("{place}.once_share"), plain.once_share);
        }
        if let Some(lots) = &self.lots {
            lots.check(&format!("{place}.lots"), findings);
        }
    }
}

impl LiveMix {
    fn check(&self, place: &str, findings: &mut FindingList) {
        findings.positive(&format!("{place}.rate"), self.rate);
        if let Some(bursts) = &self.bursts {
            let place = format!("{place}.bursts");
            findings.positive(&format!("{place}.every_s"), bursts.every.as_secs_f64());
            findings.positive(&format!("{place}.span_s"), bursts.span.as_secs_f64());
            findings.positive(&format!("{place}.factor"), bursts.factor);
        }
        if let Some(overdrive) = &self.overdrive {
            let place = format!("{place}.overdrive");
            findings.positive(&format!("{place}.span_s"), overdrive.span.as_secs_f64());
            findings.positive(&format!("{place}.factor"), overdrive.factor);
        }
        findings.range(&format!("{place}.prompt_tokens"), self.prompt_tokens);
        findings.range(&format!("{place}.max_tokens"), self.max_tokens);
        findings.share(&format!("{place}.stream_share"), self.stream_share);
        if let Some(marker) = &self.marker {
            findings.share(&format!("{place}.marker.share"), marker.share);
        }
    }
}

impl LotMix {
    fn check(&self, place: &str, findings: &mut FindingList) {
        findings.positive(&format!("{place}.every_s"), self.every.as_secs_f64());
        findings.range(&format!("{place}.items"), self.items);
        findings.range(&format!("{place}.prompt_tokens"), self.prompt_tokens);
        findings.range(&format!("{place}.max_tokens"), self.max_tokens);
        findings.share(&format!("{place}.resent_share"), self.resent_share);
        if self.due < Duration::from_secs(1) {
            findings.add(&format!("{place}.due_s"), "must be at least 1");
        }
        if let Some(marker) = &self.marker {
            findings.share(&format!("{place}.marker.share"), marker.share);
        }
    }
}

#[derive(Default)]
struct FindingList {
    findings: Vec<String>,
}

impl FindingList {
    fn add(&mut self, place: &str, message: &str) {
        self.findings.push(format!("{place}: {message}"));
    }

    fn positive(&mut self, place: &str, number: f64) {
        if !(number.is_finite() && number > 0.0) {
            self.add(place, "must be a number greater than 0");
        }
    }

    fn share(&mut self, place: &str, share: f64) {
        if !(0.0..=1.0).contains(&share) {
            self.add(place, "must be a fraction from 0 to 1");
        }
    }

    fn range(&mut self, place: &str, range: SizeRange) {
        if range.min == 0 || range.max < range.min {
            self.add(place, "min must be at least 1 and max at least min");
        }
    }
}
