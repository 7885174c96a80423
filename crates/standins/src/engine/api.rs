//! Requests and responses in the format of the OpenAI API.

use std::time::{SystemTime, UNIX_EPOCH};

use serde::Deserialize;
use serde_json::{Value, json};

/// The length of an answer in tokens if the request sets none.
const DEFAULT_MAX_TOKENS: u32 = 16;

/// The generation endpoint that was called, which decides the format of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerShape {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// A request to either endpoint, reduced to the fields that the engine uses.
#[derive(Clone, Debug)]
pub(crate) struct GenerateRequest {
    pub(crate) shape: AnswerShape,
    pub(crate) model: String,
    /// The model and the whole prompt, over which the prefix cache hashes.
    pub(crate) whole_prompt: String,
    /// The last user message, or the prompt, from which the answer is derived.
    pub(crate) question: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) include_usage: bool,
    pub(crate) resume_from: u32,
}

#[derive(Deserialize)]
struct RawRequest {
    model: String,
    #[serde(default)]
    messages: Option<Vec<RawMessage>>,
    #[serde(default)]
    prompt: Option<RawPrompt>,
    #[serde(default)]
    max_tokens: Option<u32>,
    #[serde(default)]
    max_completion_tokens: Option<u32>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default)]
    stream_options: Option<RawStreamOptions>,
    #[serde(default)]
    resume_from: Option<u32>,
}

#[derive(Deserialize)]
struct RawStreamOptions {
    #[serde(default)]
    include_usage: bool,
}

#[derive(Deserialize)]
struct RawMessage {
    role: String,
    #[serde(default)]
    content: Option<RawContent>,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawContent {
    Text(String),
    Parts(Vec<RawPart>),
}

#[derive(Deserialize)]
struct RawPart {
    #[serde(default)]
    text: String,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum RawPrompt {
    One(String),
    Many(Vec<String>),
}

impl RawMessage {
    fn text(&self) -> String {
        match &self.content {
            None => String::new(),
            Some(RawContent::Text(text)) => text.clone(),
            Some(RawContent::Parts(parts)) => parts.iter().map(|it| it.text.as_str()).collect(),
        }
    }
}

impl GenerateRequest {
    /// Parses a request's body. The error names the field that is wrong.
    pub(crate) fn parse(shape: AnswerShape, body: &[u8]) -> Result<Self, String> {
        let raw: RawRequest = serde_json::from_slice(body).map_err(|it| it.to_string())?;
        let (question, rest) = match shape {
            AnswerShape::Chat => chat_prompt(raw.messages.as_deref().unwrap_or_default())?,
            AnswerShape::Text => text_prompt(raw.prompt)?,
        };
        let max_tokens = raw.max_completion_tokens.or(raw.max_tokens);
        let options = raw.stream_options;
        Ok(GenerateRequest {
            shape,
            whole_prompt: format!("{}\n{rest}", raw.model),
            model: raw.model,
            question,
            max_tokens: max_tokens.unwrap_or(DEFAULT_MAX_TOKENS).max(1),
            stream: raw.stream.unwrap_or(false),
            include_usage: options.is_some_and(|it| it.include_usage),
            resume_from: raw.resume_from.unwrap_or(0),
        })
    }
}

fn chat_prompt(messages: &[RawMessage]) -> Result<(String, String), String> {
    let mut users = messages.iter().rev().filter(|it| it.role == "user");
    let Some(last) = users.next() else {
        return Err("messages: at least one user message is required".to_owned());
    };
    let lines = messages
        .iter()
        .map(|it| format!("{}: {}\n", it.role, it.text()));
    Ok((last.text(), lines.collect()))
}

fn text_prompt(prompt: Option<RawPrompt>) -> Result<(String, String), String> {
    let text = match prompt {
        Some(RawPrompt::One(text)) => text,
        Some(RawPrompt::Many(texts)) if texts.len() == 1 => texts.concat(),
        Some(RawPrompt::Many(_)) => return Err("prompt: only one is supported".to_owned()),
        None => return Err("prompt: missing".to_owned()),
    };
    Ok((text.clone(), text))
}

/// The numbers of tokens of a prompt and of its answer.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TokenUsage {
    pub(crate) prompt: u32,
    pub(crate) cached: u32,
    pub(crate) answer: u32,
}

impl TokenUsage {
    fn to_json(self) -> Value {
        json!({
            "prompt_tokens": self.prompt,
            "completion_tokens": self.answer,
            "total_tokens": self.prompt + self.answer,
            "prompt_tokens_details": { "cached_tokens": self.cached },
        })
    }
}

/// Writes the chunks of one answer, all with the same id, model and creation time.
#[derive(Clone, Debug)]
pub(crate) struct AnswerWriter {
    shape: AnswerShape,
    id: String,
    model: String,
    created: u64,
}

impl AnswerWriter {
    pub(crate) fn new(request: &GenerateRequest, number: u64) -> Self {
        let prefix = match request.shape {
            AnswerShape::Chat => "chatcmpl",
            AnswerShape::Text => "cmpl",
        };
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        AnswerWriter {
            shape: request.shape,
            id: format!("{prefix}-{number}"),
            model: request.model.clone(),
            created: since_epoch.unwrap_or_default().as_secs(),
        }
    }

    /// Returns the whole answer as one JSON object.
    pub(crate) fn whole(&self, text: &str, usage: TokenUsage) -> Value {
        let (object, choice) = match self.shape {
            AnswerShape::Chat => (
                "chat.completion",
                json!({
                    "index": 0,
                    "message": { "role": "assistant", "content": text },
                    "finish_reason": "length",
                }),
            ),
            AnswerShape::Text => (
                "text_completion",
                json!({ "index": 0, "text": text, "finish_reason": "length" }),
            ),
        };
        let mut answer = self.envelope(object, &json!([choice]));
        answer["usage"] = usage.to_json();
        answer
    }

    /// Returns a token as an event of a stream.
    pub(crate) fn token(&self, text: &str, is_first: bool) -> String {
        let choice = match self.shape {
            AnswerShape::Chat if is_first => json!({
                "index": 0,
                "delta": { "role": "assistant", "content": text },
                "finish_reason": null,
            }),
            AnswerShape::Chat => json!({
                "index": 0,
                "delta": { "content": text },
                "finish_reason": null,
            }),
            AnswerShape::Text => json!({ "index": 0, "text": text, "finish_reason": null }),
        };
        self.event(&json!([choice]))
    }

    /// Returns the event with the finish reason.
    pub(crate) fn end(&self) -> String {
        let choice = match self.shape {
            AnswerShape::Chat => json!({ "index": 0, "delta": {}, "finish_reason": "length" }),
            AnswerShape::Text => json!({ "index": 0, "text": "", "finish_reason": "length" }),
        };
        self.event(&json!([choice]))
    }

    /// Returns the event with the token usage.
    pub(crate) fn usage(&self, usage: TokenUsage) -> String {
        let mut chunk = self.envelope(self.chunk_object(), &json!([]));
        chunk["usage"] = usage.to_json();
        format!("data: {chunk}\n\n")
    }

    fn event(&self, choices: &Value) -> String {
        let chunk = self.envelope(self.chunk_object(), choices);
        format!("data: {chunk}\n\n")
    }

    fn chunk_object(&self) -> &'static str {
        match self.shape {
            AnswerShape::Chat => "chat.completion.chunk",
            AnswerShape::Text => "text_completion",
        }
    }

    fn envelope(&self, object: &str, choices: &Value) -> Value {
        json!({
            "id": self.id,
            "object": object,
            "created": self.created,
            "model": self.model,
            "choices": choices,
        })
    }
}
