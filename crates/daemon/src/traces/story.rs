//! Descriptions of a request's steps in plain sentences.

use comfreyramp_http::RunState;

use super::{TimedStep, TraceStep};

/// Returns a step as a sentence with its time.
pub(super) fn sentence(timed: &TimedStep) -> String {
    let millis = f64::from(timed.after_us) / 1000.0;
    format!("{millis:>9.1} ms  {}", describe_step(&timed.step))
}

fn describe_step(step: &TraceStep) -> String {
    match step {
        TraceStep::Recognised { customer } => format!("The key belongs to customer {customer}."),
        TraceStep::Classed { class, because } => format!("It counts as {class}: {because}."),
        TraceStep::Admitted => "The customer's rate admitted it.".to_owned(),
        TraceStep::Tried {
            server,
            in_flight,
            left_out,
        } => {
            let before = match left_out {
                0 => String::new(),
                1 => " One server that was tried before was excluded.".to_owned(),
                count => format!(" {count} servers that were tried before were excluded."),
            };
            format!(
                "It was sent to {server}, chosen by expected wait or for a cached prompt; this \
                 daemon then had {in_flight} in flight there.{before}"
            )
        }
        TraceStep::Failed { failure, again } => {
            let what = describe_failure(failure);
            let then = if *again {
                "It is tried again elsewhere."
            } else {
                "It is not tried again."
            };
            format!("{what} {then}")
        }
        TraceStep::FirstToken => "The first token went to the caller.".to_owned(),
        TraceStep::Answered { status } => {
            format!("The answer's head went to the caller with status {status}.")
        }
        TraceStep::Refused {
            code,
            ran,
            retry_after,
        } => {
            let ran = match ran {
                RunState::No => "It did not run.",
                RunState::Unknown => "It may have run.",
                RunState::Partly => "Part of the answer was delivered.",
                RunState::Yes => "It ran.",
            };
            let wait = retry_after
                .map(|it| format!(" The caller may retry after {it} s."))
                .unwrap_or_default();
            format!("It was refused or broken off with {code}. {ran}{wait}")
        }
        TraceStep::Whole => "The complete stream was delivered.".to_owned(),
        TraceStep::Ended => "The request ended.".to_owned(),
    }
}

fn describe_failure(failure: &str) -> &'static str {
    match failure {
        "no_server" => "No backend server could take it.",
        "not_sent" => "The server could not be reached; nothing was sent.",
        "turned_away" => "The server was full and did not run it.",
        "timed_out" => "It timed out.",
        "claim_lapsed" => "Its claim expired before a byte of it was sent.",
        "suspected" => "It may have crashed a server, and may not run now.",
        _ => "The server sent no complete answer.",
    }
}
