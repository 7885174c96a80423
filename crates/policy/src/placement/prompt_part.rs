//! Parts of prompts, as servers keep them in memory.

use crate::parts::PartKey;

/// A part of a prompt and its size.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptPart {
    /// The part.
    pub key: PartKey,
    /// Its size in tokens.
    pub tokens: u32,
}
