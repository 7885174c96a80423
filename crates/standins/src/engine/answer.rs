//! The text of an answer, which is a pure function of the prompt.

use sha2::{Digest, Sha256};

/// The number of hex digits of the prompt's hash at the start of an answer.
const HASH_PREFIX_DIGITS: usize = 16;

const WORDS: [&str; 32] = [
    "paper", "ink", "ribbon", "linen", "border", "script", "gold", "garden", "evening", "guests",
    "table", "verse", "spring", "colour", "weave", "cotton", "season", "market", "stripe",
    "indigo", "print", "pattern", "sample", "order", "trend", "fabric", "coast", "autumn",
    "detail", "texture", "line", "shade",
];

/// Returns token `index` of the answer to `prompt`.
///
/// The first token is the start of the SHA-256 of the prompt in hex, so that a test can
/// tell which prompt an answer belongs to; the others are words. No token depends on the
/// tokens before it, so that an answer can be resumed at any token.
pub fn answer_token(prompt: &str, index: u32) -> String {
    if index == 0 {
        let mut digits = hex::encode(Sha256::digest(prompt.as_bytes()));
        digits.truncate(HASH_PREFIX_DIGITS);
        return digits;
    }
    let mut hash = Sha256::new();
    hash.update(index.to_be_bytes());
    hash.update(prompt.as_bytes());
    let digest = hash.finalize();
    let word = WORDS[usize::from(digest[0]) % WORDS.len()];
    format!(" {word}")
}
