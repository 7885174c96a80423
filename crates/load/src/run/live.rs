//! Sending one generation request.

use std::time::Duration;

use comfreyramp_http::{Incoming, Method, Response};
use http_body_util::BodyExt;
use serde_json::{Value, json};

use crate::{
    outcome::{CallEnd, CallKind, CallOutcome},
    trace::{EventPrompt, LiveEvent, live_prompt},
};

use super::{
    call_sender::OutgoingCall,
    event_stream::EventStream,
    player::RunContext,
    response_reader::{belongs_to, read_json, read_refusal, refusal_from_json, token_count},
};

/// Sends a generation request and reads its response to the end.
pub(crate) async fn run_live(
    context: &RunContext,
    live: &LiveEvent,
    intended: Duration,
) -> CallOutcome {
    let prompt = live_prompt(live);
    let mut answer = LiveAnswer {
        context,
        outcome: CallOutcome {
            customer: live.customer,
            kind: CallKind::Live,
            intended,
            sent: context.elapsed(),
            first: None,
            ended: intended,
            gaps: Vec::new(),
            tokens: 0,
            end: CallEnd::NoAnswer,
        },
        text: String::new(),
        last: None,
    };
    let call = chat_call(context, live, &prompt);
    let limit = context.options.timeout;
    let exchange = answer.exchange(live, &call);
    let end = tokio::time::timeout(limit, exchange).await;
    answer.finish(end.ok(), live, &prompt)
}

fn chat_call(context: &RunContext, live: &LiveEvent, prompt: &EventPrompt) -> OutgoingCall {
    let body = json!({
        "model": context.sender.targets().model,
        "messages": [
            { "role": "system", "content": prompt.system },
            { "role": "user", "content": prompt.user },
        ],
        "max_tokens": live.max_tokens,
        "stream": live.stream,
    });
    OutgoingCall::new(Method::POST, "/v1/chat/completions")
        .header("content-type", "application/json")
        .body(body.to_string())
}

struct LiveAnswer<'a> {
    context: &'a RunContext,
    outcome: CallOutcome,
    text: String,
    last: Option<Duration>,
}

impl LiveAnswer<'_> {
    async fn exchange(&mut self, live: &LiveEvent, call: &OutgoingCall) -> CallEnd {
        let Ok(response) = self.context.sender.send(live.customer, call).await else {
            return CallEnd::NoAnswer;
        };
        if !response.status().is_success() {
            return CallEnd::Refused(read_refusal(response).await);
        }
        if live.stream {
            self.read_stream(response).await
        } else {
            self.read_whole(response).await
        }
    }

    async fn read_whole(&mut self, response: Response<Incoming>) -> CallEnd {
        let Ok(answer) = read_json(response).await else {
            return CallEnd::Cut;
        };
        if answer.is_null() {
            return CallEnd::Cut;
        }
        let message = &answer["choices"][0]["message"];
        let text = message["content"].as_str().unwrap_or_default();
        self.text = text.to_owned();
        CallEnd::Done
    }

    async fn read_stream(&mut self, response: Response<Incoming>) -> CallEnd {
        let mut body = response.into_body();
        let mut events = EventStream::default();
        while let Some(Ok(frame)) = body.frame().await {
            let Ok(data) = frame.into_data() else {
                continue;
            };
            events.push(&data);
            while let Some(event) = events.next_event() {
                if event == "[DONE]" {
                    return CallEnd::Done;
                }
                let chunk: Value = serde_json::from_str(&event).unwrap_or_default();
                if chunk["error"].is_object() {
                    return CallEnd::Refused(refusal_from_json(200, &chunk));
                }
                self.add_chunk(&chunk);
            }
        }
        CallEnd::Cut
    }

    fn add_chunk(&mut self, chunk: &Value) {
        let text = chunk["choices"][0]["delta"]["content"].as_str();
        let Some(text) = text.filter(|it| !it.is_empty()) else {
            return;
        };
        let now = self.context.elapsed();
        self.outcome.first.get_or_insert(now);
        if let Some(last) = self.last.replace(now) {
            self.outcome.gaps.push(now.saturating_sub(last));
        }
        self.text.push_str(text);
    }

    /// Checks the response. `end` is none if the call timed out.
    fn finish(
        mut self,
        end: Option<CallEnd>,
        live: &LiveEvent,
        prompt: &EventPrompt,
    ) -> CallOutcome {
        self.outcome.ended = self.context.elapsed();
        self.outcome.tokens = token_count(&self.text);
        let timed_out = match self.text.is_empty() {
            true => CallEnd::NoAnswer,
            false => CallEnd::Cut,
        };
        let mut end = end.unwrap_or(timed_out);
        if end == CallEnd::Done && self.context.options.check_answers {
            if !belongs_to(&self.text, &prompt.user) {
                end = CallEnd::WrongAnswer;
            } else if self.outcome.tokens != live.max_tokens {
                end = CallEnd::WrongLength;
            }
        }
        self.outcome.end = end;
        self.outcome
    }
}
