//! What a server has to read of a request's prompt, as far as this daemon knows.

use comfreyramp_policy::placement::PromptPart;

use super::AttemptGuard;
use crate::dialect::Dialect;

impl<D: Dialect> AttemptGuard<D> {
    /// Records the prompt of the request, which the server probably has in part.
    pub fn begin_prompt(&mut self, request_id: &str, prompt: &[PromptPart]) {
        let now = self.node.clock.now();
        let mut servers = self.node.servers.borrow_mut();
        let Some(reading) = servers.begin_prompt(self.server, prompt, now) else {
            return;
        };
        self.reading_tokens = reading.tokens;
        self.node.metrics.long_prompt(reading.outcome());
        log::info!(
            request = request_id, server = servers.listing(self.server).name,
            tokens = reading.shared_tokens, reading = reading.tokens,
            is_own = reading.is_own,
            reading_ms = reading.duration.as_millis() as u64,
            sampled_ms_ago = reading.sample_age.map(|it| it.as_millis() as u64);
            "placement: a long prompt"
        );
    }

    /// Records that the first event has arrived. Its time says how fast servers read if the
    /// request found a free slot.
    pub(super) fn record_first_event(&self) {
        if self.has_slot {
            let now = self.node.clock.now();
            let elapsed = now.since(self.started_at);
            let mut servers = self.node.servers.borrow_mut();
            servers.record_first_event(self.server, self.reading_tokens, elapsed, now);
        }
    }
}
