//! Sending one call of a plain HTTP service.

use std::time::Duration;

use comfreyramp_http::{Bytes, Method, collect_limited};

use crate::{
    outcome::{CallEnd, CallKind, CallOutcome},
    trace::PlainEvent,
};

use super::{
    call_sender::OutgoingCall,
    player::RunContext,
    response_reader::{MAX_RESPONSE_BYTES, read_refusal},
};

/// Sends a call that the service echoes, and checks that the echo is identical.
pub(crate) async fn run_plain(
    context: &RunContext,
    plain: &PlainEvent,
    intended: Duration,
) -> CallOutcome {
    let mut outcome = CallOutcome {
        customer: plain.customer,
        kind: CallKind::Plain,
        intended,
        sent: context.elapsed(),
        first: None,
        ended: intended,
        gaps: Vec::new(),
        tokens: 0,
        end: CallEnd::NoAnswer,
    };
    let limit = context.options.timeout;
    let exchange = exchange(context, plain, &mut outcome);
    if let Ok(end) = tokio::time::timeout(limit, exchange).await {
        outcome.end = end;
    }
    outcome.ended = context.elapsed();
    outcome
}

async fn exchange(context: &RunContext, plain: &PlainEvent, outcome: &mut CallOutcome) -> CallEnd {
    let service = context.sender.targets().service.trim_end_matches('/');
    let body = plain_body(plain);
    let mut call = OutgoingCall::new(Method::POST, format!("{service}/echo"))
        .header("content-type", "text/plain")
        .body(body.clone());
    if plain.once {
        let (name, value) = ONCE_HEADER;
        call = call.header(name, value);
    }
    let Ok(response) = context.sender.send(plain.customer, &call).await else {
        return CallEnd::NoAnswer;
    };
    if !response.status().is_success() {
        return CallEnd::Refused(read_refusal(response).await);
    }
    outcome.first = Some(context.elapsed());
    let answer = collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await;
    match answer {
        Err(_) => CallEnd::Cut,
        Ok(answer) if context.options.check_answers && answer != body => CallEnd::WrongAnswer,
        Ok(_) => CallEnd::Done,
    }
}

/// The header that marks a call that must not be retried.
const ONCE_HEADER: (&str, &str) = ("x-comfreyramp-run-once", "true");

/// Returns a body of the length in the event, which is unique to this call.
fn plain_body(plain: &PlainEvent) -> Bytes {
    let mut body = format!("call {:016x} ", plain.text).into_bytes();
    body.resize(plain.body_bytes as usize, b'.');
    body.into()
}
