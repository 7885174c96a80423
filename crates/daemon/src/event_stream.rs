//! Classification of the events in an engine's stream.

use comfreyramp_http::event_data;
use serde::Deserialize;

/// What an event in an engine's stream carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// Generated text.
    Token,
    /// Anything else: a role, a finish reason, usage, a comment.
    Other,
    /// An error that the engine reports in the middle of the stream.
    Error,
    /// The end of the answer: all of it has been sent.
    Done,
}

/// Returns what an event carries. Data that isn't valid JSON counts as
/// [`EventKind::Other`].
pub fn classify_event(event: &[u8]) -> EventKind {
    let Some(data) = event_data(event) else {
        return EventKind::Other;
    };
    if data == b"[DONE]" {
        return EventKind::Done;
    }
    let Ok(chunk) = serde_json::from_slice::<ChunkShape>(data) else {
        return EventKind::Other;
    };
    if chunk.error.is_some() {
        return EventKind::Error;
    }
    let carries_text = chunk.choices.iter().any(ChoiceShape::carries_text);
    if carries_text {
        EventKind::Token
    } else {
        EventKind::Other
    }
}

#[derive(Deserialize)]
struct ChunkShape<'a> {
    #[serde(borrow, default)]
    choices: Vec<ChoiceShape<'a>>,
    #[serde(default)]
    error: Option<serde::de::IgnoredAny>,
}

#[derive(Deserialize)]
struct ChoiceShape<'a> {
    #[serde(borrow, default)]
    delta: Option<DeltaShape<'a>>,
    #[serde(borrow, default)]
    text: Option<&'a serde_json::value::RawValue>,
}

#[derive(Deserialize)]
struct DeltaShape<'a> {
    #[serde(borrow, default)]
    content: Option<&'a serde_json::value::RawValue>,
}

impl ChoiceShape<'_> {
    fn carries_text(&self) -> bool {
        let delta = self.delta.as_ref().and_then(|it| it.content);
        [delta, self.text]
            .into_iter()
            .flatten()
            .any(|it| !matches!(it.get(), "\"\"" | "null"))
    }
}
