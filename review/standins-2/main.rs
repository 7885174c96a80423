//! Runs one case of the review, with its disruption or without:
//! `review-standins CASE FOLDER with|without`.

mod callers;
mod failing_item;
mod fleet;
mod http;
mod json;
mod late_crash;
mod record;
mod runner;
mod silent_zone;
mod slow_readers;
mod store;

use std::{path::Path, process::ExitCode};

/// How a case ended.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, trouble] = arguments.as_slice() else {
        eprintln!("usage: review-standins CASE FOLDER with|without");
        return ExitCode::from(2);
    };
    let has_trouble = trouble != "without";
    let record = match record::Record::create(Path::new(folder)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("the record can't be written: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(format!("case {case}, {trouble} its disruption"));
    let result = match case.as_str() {
        "late-crash" => late_crash::run(&record, has_trouble),
        "silent-zone" => silent_zone::run(&record, has_trouble),
        "slow-readers" => slow_readers::run(&record, has_trouble),
        "failing-item" => failing_item::run(&record, has_trouble),
        _ => Err(format!("there is no case {case}")),
    };
    fleet::stop_all();
    match result {
        Ok(Verdict::Held) => {
            record.line("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("the rule was broken");
            ExitCode::from(1)
        }
        Err(problem) => {
            record.line(format!("the case couldn't run: {problem}"));
            ExitCode::from(2)
        }
    }
}
