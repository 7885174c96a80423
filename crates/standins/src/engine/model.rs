//! The timing model of the engine: when each token of each request is ready.

use std::{collections::VecDeque, time::Duration};

use comfreyramp_policy::Timestamp;

use super::{
    prefix_cache::{CacheChange, PrefixCache},
    prompt::BLOCK_TOKENS,
    sequence::{EngineEvent, EngineEventKind, EngineRequest, SequenceId},
};

/// The number of prefix cache changes that are kept until they are taken.
const MAX_KEPT_CHANGES: usize = 20_000;

/// The size and speed of an engine.
#[derive(Clone, Copy, Debug)]
pub struct EngineSettings {
    /// The number of requests that run at once.
    pub batch: usize,
    /// The number of requests that may wait.
    pub queue: usize,
    /// The prefill time of each prompt token that isn't cached.
    pub prefill_per_token: Duration,
    /// The number of tokens prefilled in one step after which the step admits no more
    /// requests.
    pub prefill_per_step: u32,
    /// The fixed part of the duration of a step.
    pub decode: Duration,
    /// The time added to a step for each running request.
    pub decode_per_running: Duration,
    /// The size of the prefix cache in blocks.
    pub cache_blocks: usize,
    /// The age of the load reports.
    pub report_lag: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        EngineSettings {
            batch: 16,
            queue: 1024,
            prefill_per_token: Duration::from_micros(100),
            prefill_per_step: 4096,
            decode: Duration::from_millis(8),
            decode_per_running: Duration::from_micros(500),
            cache_blocks: 4096,
            report_lag: Duration::from_millis(200),
        }
    }
}

impl EngineSettings {
    /// Multiplies the prefill and decode times by `factor`; 0.1 is ten times as fast.
    pub fn time_scale(mut self, factor: f64) -> Self {
        self.prefill_per_token = self.prefill_per_token.mul_f64(factor);
        self.decode = self.decode.mul_f64(factor);
        self.decode_per_running = self.decode_per_running.mul_f64(factor);
        self
    }
}

/// The load of an engine at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests in the batch.
    pub running: usize,
    /// Requests that wait to join the batch.
    pub waiting: usize,
    /// Tokens produced since the start.
    pub tokens: u64,
    /// Blocks in the prefix cache.
    pub cached_blocks: usize,
}

/// The error of a request that was not accepted because the queue is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueFull;

/// A request that waits or runs.
#[derive(Clone, Debug)]
struct Sequence {
    request: EngineRequest,
    next_token: u32,
}

/// An engine without priorities.
///
/// Requests join the batch first come, first served, at the next step that has capacity.
/// A step takes the prefill time of the requests that joined plus a decode time that grows
/// with the batch, and produces one token for each running request.
///
/// [`EngineModel::advance`] may be called at the time that [`EngineModel::next_event`]
/// returns or at any other time; the events and their times don't depend on it.
#[derive(Clone, Debug)]
pub struct EngineModel {
    settings: EngineSettings,
    slowdown: f64,
    cache: PrefixCache,
    waiting: VecDeque<Sequence>,
    running: Vec<Sequence>,
    step_end: Option<Timestamp>,
    tokens: u64,
    events: Vec<EngineEvent>,
    changes: Vec<(Timestamp, CacheChange)>,
    history: VecDeque<(Timestamp, LoadReport)>,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(settings: EngineSettings) -> Self {
        EngineModel {
            settings,
            slowdown: 1.0,
            cache: PrefixCache::new(settings.cache_blocks),
            waiting: VecDeque::new(),
            running: Vec::new(),
            step_end: None,
            tokens: 0,
            events: Vec::new(),
            changes: Vec::new(),
            history: VecDeque::new(),
        }
    }

    /// Returns the size and speed of the engine.
    pub fn settings(&self) -> &EngineSettings {
        &self.settings
    }

    /// Makes each step take `factor` times as long, from the next step on.
    pub fn set_slowdown(&mut self, factor: f64) {
        self.slowdown = factor;
    }

    /// Queues a request, which runs as soon as the batch has capacity.
    pub fn submit(&mut self, now: Timestamp, request: EngineRequest) -> Result<(), QueueFull> {
        self.run_until(now);
        if self.waiting.len() >= self.settings.queue {
            return Err(QueueFull);
        }
        let next_token = request.first_token;
        self.waiting.push_back(Sequence {
            request,
            next_token,
        });
        if self.step_end.is_none() {
            self.start_step(now);
        }
        self.record_load(now);
        Ok(())
    }

    /// Removes a request. Returns false if it is unknown or has finished.
    ///
    /// The duration of the step in progress doesn't change.
    pub fn cancel(&mut self, now: Timestamp, id: SequenceId) -> bool {
        self.run_until(now);
        let before = self.waiting.len() + self.running.len();
        self.waiting.retain(|it| it.request.id != id);
        self.running.retain(|it| it.request.id != id);
        let after = self.waiting.len() + self.running.len();
        self.record_load(now);
        after < before
    }

    /// Returns when the next events are due, unless a request is submitted before.
    pub fn next_event(&self) -> Option<Timestamp> {
        match self.events.first() {
            Some(event) => Some(event.at),
            None => self.step_end,
        }
    }

    /// Returns all events up to `now` that no earlier call returned, in order.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineEvent> {
        self.run_until(now);
        std::mem::take(&mut self.events)
    }

    /// Returns the changes of the prefix cache that no earlier call returned, in order. If
    /// too many accumulate, the oldest are dropped.
    pub fn take_cache_changes(&mut self) -> Vec<(Timestamp, CacheChange)> {
        std::mem::take(&mut self.changes)
    }

    /// Returns the present load, which a real engine doesn't report.
    pub fn current_load(&self) -> LoadReport {
        LoadReport {
            running: self.running.len(),
            waiting: self.waiting.len(),
            tokens: self.tokens,
            cached_blocks: self.cache.len(),
        }
    }

    /// Returns the load as it was one report lag before `now`.
    pub fn reported_load(&mut self, now: Timestamp) -> LoadReport {
        self.run_until(now);
        let reported_at = now - self.settings.report_lag;
        let mut reports = self.history.iter().rev();
        let report = reports.find(|(at, _)| *at <= reported_at);
        report.map(|(_, report)| *report).unwrap_or_default()
    }

    fn run_until(&mut self, now: Timestamp) {
        while let Some(end) = self.step_end
            && end <= now
        {
            self.finish_step(end);
            self.start_step(end);
            self.record_load(end);
        }
    }

    fn start_step(&mut self, now: Timestamp) {
        let prefill = self.admit(now);
        if self.running.is_empty() {
            self.step_end = None;
            return;
        }
        let running = self.running.len() as u32;
        let duration = self.settings.prefill_per_token * prefill
            + self.settings.decode
            + self.settings.decode_per_running * running;
        // With a step of zero length, time would never advance.
        let duration = duration
            .mul_f64(self.slowdown)
            .max(Duration::from_micros(1));
        self.step_end = Some(now + duration);
    }

    /// Moves waiting requests into the batch and returns how many tokens need prefill.
    fn admit(&mut self, now: Timestamp) -> u32 {
        let mut prefill = 0;
        while self.running.len() < self.settings.batch && prefill < self.settings.prefill_per_step {
            let Some(sequence) = self.waiting.pop_front() else {
                break;
            };
            let prompt = &sequence.request.prompt;
            let cached = self.cache.cached_blocks(&prompt.blocks) * BLOCK_TOKENS;
            let cached_tokens = u32::try_from(cached).unwrap_or(u32::MAX);
            // The tokens before the start of a resumed answer are prefilled again.
            let total_tokens = prompt.tokens.saturating_add(sequence.request.first_token);
            prefill += total_tokens.saturating_sub(cached_tokens);
            let changes = self.cache.store(&prompt.blocks);
            self.record_changes(now, changes);
            let kind = EngineEventKind::Started { cached_tokens };
            self.push_event(now, sequence.request.id, kind);
            self.running.push(sequence);
        }
        prefill
    }

    /// Keeps the changes until they are taken. Drops the oldest half of the maximum once
    /// there are too many, so that the model doesn't grow if they are never taken.
    fn record_changes(&mut self, now: Timestamp, changes: Vec<CacheChange>) {
        self.changes.extend(changes.into_iter().map(|it| (now, it)));
        if self.changes.len() > MAX_KEPT_CHANGES {
            self.changes.drain(..MAX_KEPT_CHANGES / 2);
        }
    }

    fn finish_step(&mut self, now: Timestamp) {
        let mut running = std::mem::take(&mut self.running);
        for sequence in &mut running {
            let id = sequence.request.id;
            if sequence.next_token < sequence.request.max_tokens {
                let index = sequence.next_token;
                sequence.next_token += 1;
                self.tokens += 1;
                self.push_event(now, id, EngineEventKind::Token { index });
            }
            if sequence.next_token >= sequence.request.max_tokens {
                self.push_event(now, id, EngineEventKind::Finished);
            }
        }
        running.retain(|it| it.next_token < it.request.max_tokens);
        self.running = running;
    }

    fn push_event(&mut self, at: Timestamp, id: SequenceId, kind: EngineEventKind) {
        self.events.push(EngineEvent { at, id, kind });
    }

    /// Records the present load and drops the records that no report needs: all but the
    /// last one older than the lag, and those after it.
    fn record_load(&mut self, now: Timestamp) {
        self.history.push_back((now, self.current_load()));
        let reported_at = now - self.settings.report_lag;
        while self
            .history
            .get(1)
            .is_some_and(|(at, _)| *at <= reported_at)
        {
            self.history.pop_front();
        }
    }
}
