//! The size of a prompt in tokens and its division into blocks of the prefix cache.

use sha2::{Digest, Sha256};

/// The number of bytes of a prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;
/// The number of tokens in a block of the prefix cache.
pub const BLOCK_TOKENS: usize = 16;

/// The properties of a prompt that the model uses: its length and its block hashes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptBlocks {
    /// The length in tokens, at least one.
    pub tokens: u32,
    /// A hash for each complete block, over the block and all blocks before it.
    pub blocks: Vec<u64>,
}

impl PromptBlocks {
    /// Divides the text of a prompt into blocks.
    ///
    /// The hash of a block is the first 8 bytes, big-endian, of the SHA-256 of the previous
    /// block's hash (8 bytes, zero for the first block) and the block's bytes.
    pub fn new(text: &str) -> Self {
        let bytes = text.as_bytes();
        let tokens = bytes.len().div_ceil(TOKEN_BYTES).max(1);
        let mut previous = 0u64;
        let blocks = bytes
            .chunks_exact(TOKEN_BYTES * BLOCK_TOKENS)
            .map(|block| {
                previous = chain_hash(previous, block);
                previous
            })
            .collect();
        PromptBlocks {
            tokens: u32::try_from(tokens).unwrap_or(u32::MAX),
            blocks,
        }
    }
}

fn chain_hash(previous: u64, block: &[u8]) -> u64 {
    let mut hash = Sha256::new();
    hash.update(previous.to_be_bytes());
    hash.update(block);
    let digest = hash.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |number, byte| number << 8 | u64::from(*byte))
}
