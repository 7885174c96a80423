//! The prompts of events.

use super::event::{LiveEvent, LotEvent};

/// The number of bytes that the engine stand-in counts as one token.
const TOKEN_BYTES: usize = 4;

/// The two messages of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EventPrompt {
    /// The system message, which requests with the same prefix share.
    pub system: String,
    /// The user message, which is unique to the event or item.
    pub user: String,
}

/// Returns the prompt of a generation request.
pub fn live_prompt(live: &LiveEvent) -> EventPrompt {
    let opening = format!("house style {} of customer {}:", live.prefix, live.customer);
    let marker = live.marker.as_deref().unwrap_or_default();
    let question = format!("request {:016x} {marker}", live.text);
    EventPrompt {
        system: pad(opening, live.prefix_tokens),
        user: pad(question, live.prompt_tokens),
    }
}

/// Returns the prompt of item `index` of a lot.
pub fn item_prompt(lot: &LotEvent, index: u32) -> EventPrompt {
    let marker = match &lot.marker {
        Some(marker) if index < lot.marked_items => marker,
        _ => "",
    };
    let question = format!("item {index} of {} {marker}", lot.job);
    EventPrompt {
        system: "Write one chapter.".to_owned(),
        user: pad(question, lot.prompt_tokens),
    }
}

/// Pads a text to a length in tokens. A longer text stays unchanged.
fn pad(mut text: String, tokens: u32) -> String {
    let bytes = tokens as usize * TOKEN_BYTES;
    if text.len() >= bytes {
        return text;
    }
    while text.len() < bytes {
        text.push_str(" and");
    }
    // The padding is ASCII, so truncating within it is on a character boundary.
    text.truncate(bytes);
    text
}
