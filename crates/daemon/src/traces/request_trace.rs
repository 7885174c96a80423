//! The trace of one request: a bounded list of its steps.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use comfreyramp_http::ErrorAnswer;
use comfreyramp_policy::Timestamp;
use serde_json::{Value, json};

use super::{TimedStep, TraceStep, story::sentence};

/// The most steps kept of a request. Three attempts fit. Further steps are only
/// counted, so that no request can fill the memory.
const MAX_STEPS: usize = 12;
/// By how many steps the capacity grows at a time.
const CAPACITY_INCREMENT: usize = 4;
/// The most bytes kept of a name.
const MAX_NAME_BYTES: usize = 40;

/// The trace of one request. Clones share their steps, so that each component that
/// handles the request can add to them.
#[derive(Clone, Debug)]
pub struct RequestTrace {
    shared: Arc<TraceInner>,
}

#[derive(Debug)]
struct TraceInner {
    id: Box<str>,
    /// The time of the request's arrival, in milliseconds since 1970.
    at_ms: u64,
    arrived: Timestamp,
    steps: Mutex<TraceSteps>,
}

#[derive(Debug, Default)]
struct TraceSteps {
    kept: Vec<TimedStep>,
    more: u32,
}

impl RequestTrace {
    /// Creates the trace of a request that arrives at `now`. `at_ms` is the same time
    /// in milliseconds since 1970.
    pub fn new(id: &str, at_ms: u64, now: Timestamp) -> Self {
        let cell = TraceInner {
            id: id.into(),
            at_ms,
            arrived: now,
            steps: Mutex::default(),
        };
        RequestTrace {
            shared: Arc::new(cell),
        }
    }

    /// Returns the request's id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Adds a step. Once the trace is full, it replaces the last one.
    pub fn add_step(&self, step: TraceStep, now: Timestamp) {
        let after = now.since(self.shared.arrived).as_micros();
        let after_us = u32::try_from(after).unwrap_or(u32::MAX);
        let timed = TimedStep { after_us, step };
        let mut steps = self.lock();
        if steps.kept.len() == steps.kept.capacity() && steps.kept.len() < MAX_STEPS {
            // Doubling would reserve capacity for steps that are never kept.
            steps.kept.reserve_exact(CAPACITY_INCREMENT);
        }
        if steps.kept.len() < MAX_STEPS {
            steps.kept.push(timed);
        } else {
            // How the request ended matters more than the steps before that.
            steps.more += 1;
            steps.kept[MAX_STEPS - 1] = timed;
        }
    }

    /// Adds the step that the key was recognised as a customer's.
    pub fn add_recognised(&self, customer: &str, now: Timestamp) {
        let customer = truncated(customer);
        self.add_step(TraceStep::Recognised { customer }, now);
    }

    /// Adds the step that the request was sent to a server. `left_out` is the number
    /// of servers excluded because of earlier attempts.
    pub fn add_tried(&self, server: &str, in_flight: u32, left_out: usize, now: Timestamp) {
        let step = TraceStep::Tried {
            server: truncated(server),
            in_flight,
            left_out: u32::try_from(left_out).unwrap_or(u32::MAX),
        };
        self.add_step(step, now);
    }

    /// Adds the step that the request was refused or its answer broken off.
    pub fn add_refused(&self, answer: &ErrorAnswer, now: Timestamp) {
        let step = TraceStep::Refused {
            code: answer.code,
            ran: answer.ran,
            retry_after: answer.retry_after.map(|it| it.as_secs().max(1)),
        };
        self.add_step(step, now);
    }

    /// Returns the trace as JSON, with its steps as data and as sentences.
    pub fn to_json(&self) -> Value {
        let steps = self.lock();
        let mut story: Vec<String> = steps.kept.iter().map(sentence).collect();
        if steps.more > 0 {
            let text = format!(
                "{} steps before the last one were not recorded.",
                steps.more
            );
            story.insert(story.len() - 1, text);
        }
        json!({
            "request": self.id(),
            "at_ms": self.shared.at_ms,
            "steps": steps.kept,
            "steps_not_kept": steps.more,
            "story": story,
        })
    }

    /// Returns the size of the trace in bytes.
    pub fn bytes(&self) -> usize {
        let steps = self.lock();
        let texts: usize = steps.kept.iter().map(|it| it.step.text_bytes()).sum();
        let kept = steps.kept.capacity() * size_of::<TimedStep>();
        size_of::<TraceInner>() + self.shared.id.len() + kept + texts
    }

    fn lock(&self) -> MutexGuard<'_, TraceSteps> {
        // A poisoned lock is used anyway: a step was either added or not.
        self.shared
            .steps
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the beginning of a name. Operators choose the names, and a very long one
/// must not make the traces exceed their limit.
fn truncated(name: &str) -> Box<str> {
    let mut end = name.len().min(MAX_NAME_BYTES);
    while !name.is_char_boundary(end) {
        end -= 1;
    }
    name[..end].into()
}
