//! What was done to which part, and when.

use std::time::Instant;

/// A part under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Harm {
    /// This daemon stands still.
    Paused(usize),
    /// This daemon is gone.
    Down(usize),
    /// The store turns this daemon away.
    TurnedAway(usize),
    /// Not everything passes this link.
    Cut(usize),
    /// The store answers nobody.
    Silent,
}

#[derive(Clone, Copy, Debug)]
struct HarmSpan {
    harm: Harm,
    begin: Instant,
    end: Option<Instant>,
}

/// What was done to which part, and when.
#[derive(Debug, Default)]
pub(crate) struct HarmLog {
    spans: Vec<HarmSpan>,
}

impl HarmLog {
    pub(crate) fn begin(&mut self, harm: Harm, now: Instant) {
        let is_open = |it: &HarmSpan| it.harm == harm && it.end.is_none();
        if !self.spans.iter().any(is_open) {
            self.spans.push(HarmSpan {
                harm,
                begin: now,
                end: None,
            });
        }
    }

    pub(crate) fn end(&mut self, harm: Harm, now: Instant) {
        let mut spans = self.spans.iter_mut();
        if let Some(span) = spans.find(|it| it.harm == harm && it.end.is_none()) {
            span.end = Some(now);
        }
    }

    /// Whether a part was harmed at any moment of a span.
    pub(crate) fn was_harmed(&self, harm: Harm, from: Instant, until: Instant) -> bool {
        let overlaps = |it: &HarmSpan| it.begin <= until && it.end.is_none_or(|end| end >= from);
        self.spans.iter().any(|it| it.harm == harm && overlaps(it))
    }
}
