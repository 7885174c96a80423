//! Stand-ins and scenarios of the review. Runs one scenario against daemons that it starts.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the scenario couldn't run.

mod cases;
mod fleet;
mod http;
mod json;
mod record;
mod runner;
mod store;

use std::process::ExitCode;

/// How a scenario ended.
pub enum End {
    Held(String),
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    if arguments.first().is_some_and(|it| it == "runner") {
        let end = runner::serve_runner(&arguments[1..]);
        return ExitCode::from(if end.is_some() { 0 } else { 2 });
    }
    let [case, path] = arguments.as_slice() else {
        eprintln!("usage: standins CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let Ok(record) = record::Record::open(path) else {
        return ExitCode::from(2);
    };
    let end = cases::run(case, record.clone(), has_trouble);
    let (word, text, code) = match end {
        End::Held(text) => ("the rule held", text, 0),
        End::Broken(text) => ("the rule was broken", text, 1),
        End::NotRun(text) => ("the case couldn't run", text, 2),
    };
    record.note(&format!("{word}: {text}"));
    println!("{word}: {text}");
    ExitCode::from(code)
}
