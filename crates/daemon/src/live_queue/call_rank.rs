//! Ranks requests by urgency, from how their keys were used before.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::{
    CallTraits, CallerInterface, CallerKey, CustomerId, Urgency, UrgencyTable,
};

use crate::{callers::Caller, clock::ProcessClock};

/// The number of tokens that an answer is expected to have if the caller sets
/// no limit.
const DEFAULT_ANSWER_TOKENS: f64 = 256.0;
/// The number of tokens for which a call to a plain service counts.
const PLAIN_CALL_TOKENS: f64 = 64.0;
/// The approximate number of prompt bytes per token.
const BYTES_PER_TOKEN: f64 = 4.0;
/// The interval at which the habits of idle keys are removed.
pub(super) const HABIT_POLL_INTERVAL: Duration = Duration::from_secs(60);

/// The request habits of all keys, behind one briefly held lock.
#[derive(Clone, Debug, Default)]
pub struct UrgencyRanker {
    table: Arc<Mutex<UrgencyTable>>,
}

/// The rank of one request. The request counts as running until this is
/// dropped.
#[derive(Debug)]
pub struct CallRank {
    /// The request's customer.
    pub customer: CustomerId,
    /// The customer's weight when capacity is scarce.
    pub weight: f64,
    /// How urgent the request is.
    pub urgency: Urgency,
    /// The expected cost in tokens, of prompt and answer.
    pub tokens: f64,
    /// The tokens of the prompt, included in `tokens`.
    prompt: f64,
    key: CallerKey,
    traits: CallTraits,
    ranks: UrgencyRanker,
}

impl UrgencyRanker {
    /// Ranks a request to a model. The prompt's tokens are estimated from its
    /// bytes, and `max_tokens` counts as the length of the answer.
    pub fn rank_engine_call(
        &self,
        caller: &Caller,
        streaming: bool,
        prompt_bytes: usize,
        max_tokens: Option<u32>,
        clock: ProcessClock,
    ) -> CallRank {
        let answer = max_tokens.map_or(DEFAULT_ANSWER_TOKENS, f64::from);
        let prompt = prompt_bytes as f64 / BYTES_PER_TOKEN;
        let mut rank = self.rank(caller, streaming, prompt + answer, clock);
        rank.prompt = prompt;
        rank
    }

    /// Ranks a call to a plain service.
    pub fn rank_plain_call(&self, caller: &Caller, clock: ProcessClock) -> CallRank {
        self.rank(caller, false, PLAIN_CALL_TOKENS, clock)
    }

    fn rank(&self, caller: &Caller, streaming: bool, tokens: f64, clock: ProcessClock) -> CallRank {
        let mut head = [0; 8];
        head.copy_from_slice(&caller.entry.hash[..8]);
        let key = CallerKey(u64::from_be_bytes(head));
        let traits = CallTraits {
            interface: CallerInterface::Live,
            streaming,
        };
        CallRank {
            customer: caller.customer_id(),
            weight: caller.customer.weight,
            urgency: self.table().begin(key, traits, clock.now()),
            tokens,
            prompt: 0.0,
            key,
            traits,
            ranks: self.clone(),
        }
    }

    pub(super) fn poll(&self, clock: ProcessClock) {
        self.table().poll(clock.now());
    }

    fn table(&self) -> MutexGuard<'_, UrgencyTable> {
        // A habit that a panic left half counted is removed once its key is
        // idle.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallRank {
    /// Returns the tokens of the prompt, estimated from its length.
    pub fn prompt_tokens(&self) -> f64 {
        self.prompt
    }
}

impl Drop for CallRank {
    fn drop(&mut self) {
        self.ranks.table().end(self.key, self.traits, self.urgency);
    }
}
