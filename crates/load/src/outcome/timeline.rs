//! Counts for each second of a run.

use std::time::Duration;

use super::{
    call::{CallEnd, CallKind, CallOutcome},
    latency::LatencyHistogram,
    lot::LotProgress,
    result::TimelineRow,
};

/// The maximum number of rows. Later events count in the last row.
const MAX_SECONDS: usize = 24 * 3600;

#[derive(Debug, Default)]
pub(crate) struct RunTimeline {
    seconds: Vec<SecondCounts>,
}

#[derive(Debug, Default)]
struct SecondCounts {
    sent: u32,
    done: u32,
    refused: u32,
    broken: u32,
    lot_items: u32,
    first_tokens: Vec<Duration>,
}

impl RunTimeline {
    /// Counts a call in the second of its intended send time.
    pub(crate) fn add_call(&mut self, call: &CallOutcome) {
        let counts = self.second(call.intended);
        counts.sent += 1;
        match &call.end {
            CallEnd::Done => counts.done += 1,
            CallEnd::Refused(_) => counts.refused += 1,
            _ => counts.broken += 1,
        }
        if call.kind == CallKind::Live
            && let Some(first) = call.first
        {
            let latency = first.saturating_sub(call.intended);
            counts.first_tokens.push(latency);
        }
    }

    pub(crate) fn add_progress(&mut self, progress: LotProgress) {
        self.second(progress.at).lot_items += progress.items;
    }

    pub(crate) fn rows(&self) -> Vec<TimelineRow> {
        let rows = self.seconds.iter().enumerate();
        rows.map(|(second, counts)| counts.row(second)).collect()
    }

    fn second(&mut self, at: Duration) -> &mut SecondCounts {
        let index = (at.as_secs() as usize).min(MAX_SECONDS);
        if self.seconds.len() <= index {
            self.seconds.resize_with(index + 1, SecondCounts::default);
        }
        &mut self.seconds[index]
    }
}

impl SecondCounts {
    fn row(&self, second: usize) -> TimelineRow {
        let mut histogram = LatencyHistogram::default();
        for latency in &self.first_tokens {
            histogram.record(*latency);
        }
        let latency = histogram.summary();
        let known = (latency.count > 0).then_some(latency);
        TimelineRow {
            second,
            sent: self.sent,
            done: self.done,
            refused: self.refused,
            broken: self.broken,
            lot_items: self.lot_items,
            ttft_p50_ms: known.as_ref().map(|it| it.p50_ms),
            ttft_p95_ms: known.as_ref().map(|it| it.p95_ms),
        }
    }
}
