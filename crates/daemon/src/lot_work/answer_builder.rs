//! Assembles a streamed answer into a complete one.

use serde::Deserialize;
use serde_json::{Map, Value, json, value::RawValue};

/// The part of an answer received so far. A preempted item resumes from it.
#[derive(Clone, Debug, Default)]
pub(super) struct AnswerBuilder {
    /// The number of tokens received.
    pub(super) tokens: u32,
    text: String,
    finish: Option<String>,
    head: Option<AnswerHead>,
    usage: Option<Value>,
}

#[derive(Clone, Debug, Deserialize)]
struct AnswerHead {
    id: Value,
    created: Value,
    model: Value,
}

/// The shape of an answer, which depends on the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerShape {
    Chat,
    Text,
}

impl AnswerShape {
    pub(super) fn of(endpoint: &str) -> Self {
        match endpoint {
            "/v1/completions" => AnswerShape::Text,
            _ => AnswerShape::Chat,
        }
    }
}

impl AnswerBuilder {
    /// Adds the data of one event other than the final `[DONE]`.
    pub(super) fn take(&mut self, data: &[u8]) {
        let Ok(mut chunk) = serde_json::from_slice::<Map<String, Value>>(data) else {
            return;
        };
        if let Some(usage) = chunk.remove("usage").filter(|it| !it.is_null()) {
            self.usage = Some(usage);
        }
        let choice = chunk
            .get_mut("choices")
            .and_then(|it| it.get_mut(0))
            .map(Value::take);
        if self.head.is_none() {
            self.head = serde_json::from_value(Value::Object(chunk)).ok();
        }
        let Some(choice) = choice else {
            return;
        };
        let text_piece = choice["delta"]["content"].as_str();
        if let Some(text_piece) = text_piece.or(choice["text"].as_str())
            && !text_piece.is_empty()
        {
            self.text.push_str(text_piece);
            self.tokens += 1;
        }
        if let Some(reason) = choice["finish_reason"].as_str() {
            self.finish = Some(reason.to_owned());
        }
    }

    /// Returns the complete answer in the shape of the OpenAI API, or `None` if
    /// no event with an answer's head arrived.
    pub(super) fn finish(self, shape: AnswerShape) -> Option<Box<RawValue>> {
        let head = self.head?;
        let (object, mut choice) = match shape {
            AnswerShape::Chat => (
                "chat.completion",
                json!({ "message": { "role": "assistant", "content": self.text } }),
            ),
            AnswerShape::Text => ("text_completion", json!({ "text": self.text })),
        };
        choice["index"] = 0.into();
        choice["finish_reason"] = self.finish.into();
        let mut answer = json!({
            "id": head.id,
            "object": object,
            "created": head.created,
            "model": head.model,
            "choices": [choice],
        });
        if let Some(usage) = self.usage {
            answer["usage"] = usage;
        }
        serde_json::value::to_raw_value(&answer).ok()
    }
}
