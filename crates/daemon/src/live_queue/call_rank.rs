//! How urgent a request is, by the habits of its key.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use comfreyramp_policy::{
    CallTraits, CallerInterface, CallerKey, CustomerId, Urgency, UrgencyTable,
};

use crate::{callers::Caller, clock::ProcessClock};

/// The tokens that an answer is expected to have if its caller sets no limit.
const USUAL_TOKENS: f64 = 256.0;
/// The tokens that a call to a plain service counts for.
const PLAIN_TOKENS: f64 = 64.0;
/// The bytes of a prompt that make a token, roughly.
const TOKEN_BYTES: f64 = 4.0;
/// How often the habits of idle keys are forgotten.
pub(super) const HABITS_POLLED: Duration = Duration::from_secs(60);

/// The habits of all keys, behind one short lock.
#[derive(Clone, Debug, Default)]
pub struct UrgencyRanks {
    table: Arc<Mutex<UrgencyTable>>,
}

/// The rank of one request, which counts as running until this is dropped.
#[derive(Debug)]
pub struct CallRank {
    /// Its customer.
    pub customer: CustomerId,
    /// The customer's part of scarce capacity.
    pub weight: f64,
    /// How urgent it is.
    pub urgency: Urgency,
    /// The tokens that it is expected to cost, of prompt and answer.
    pub tokens: f64,
    /// The part of them that the prompt has.
    prompt: f64,
    key: CallerKey,
    traits: CallTraits,
    ranks: UrgencyRanks,
}

impl UrgencyRanks {
    /// Ranks a request to a model.
    pub fn rank_engine_call(
        &self,
        caller: &Caller,
        streaming: bool,
        prompt_bytes: usize,
        max_tokens: Option<u32>,
        clock: ProcessClock,
    ) -> CallRank {
        let answer = max_tokens.map_or(USUAL_TOKENS, f64::from);
        let prompt = prompt_bytes as f64 / TOKEN_BYTES;
        let mut rank = self.rank(caller, streaming, prompt + answer, clock);
        rank.prompt = prompt;
        rank
    }

    /// Ranks a call to a plain service.
    pub fn rank_plain_call(&self, caller: &Caller, clock: ProcessClock) -> CallRank {
        self.rank(caller, false, PLAIN_TOKENS, clock)
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
        // A habit that a panic left half counted is forgotten in time.
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl CallRank {
    /// The tokens of the prompt, as far as its length tells.
    pub fn prompt_tokens(&self) -> f64 {
        self.prompt
    }
}

impl Drop for CallRank {
    fn drop(&mut self) {
        self.ranks.table().end(self.key, self.traits, self.urgency);
    }
}
