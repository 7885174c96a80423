//! The requests to the engine model and the events from it.

use comfreyramp_policy::Timestamp;

use super::prompt::PromptBlocks;

/// The id of a request in the engine model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SequenceId(pub u64);

/// A generation request to the engine model.
#[derive(Clone, Debug)]
pub struct EngineRequest {
    /// Its id in events, which the caller must keep unique.
    pub id: SequenceId,
    /// The length and the block hashes of the prompt.
    pub prompt: PromptBlocks,
    /// The index of the first token to generate; above zero for a resumed answer.
    pub first_token: u32,
    /// The length of the whole answer in tokens, including those before `first_token`.
    pub max_tokens: u32,
}

/// An event of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineEvent {
    /// When it happened.
    pub at: Timestamp,
    /// The request it belongs to.
    pub id: SequenceId,
    /// What happened.
    pub kind: EngineEventKind,
}

/// The kind of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineEventKind {
    /// The request joined the batch.
    Started {
        /// The number of prompt tokens that were cached and need no prefill.
        cached_tokens: u32,
    },
    /// A token of the answer is ready.
    Token {
        /// The index of the token in the whole answer.
        index: u32,
    },
    /// The answer is complete, and the request left the batch.
    Finished,
}
