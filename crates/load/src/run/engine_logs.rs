//! The request logs of the engine stand-ins.

use std::collections::BTreeMap;

use comfreyramp_http::{Method, collect_limited};
use serde::Deserialize;

use crate::outcome::EngineResult;

use super::{call_sender::CallSender, response_reader::MAX_RESPONSE_BYTES};

/// One request in a stand-in's log.
#[derive(Debug, Deserialize)]
struct EngineRecord {
    index: u64,
    headers: BTreeMap<String, String>,
    prompt: String,
    end: String,
    tokens: u64,
}

#[derive(Debug, Deserialize)]
struct EngineLog {
    requests: Vec<EngineRecord>,
}

/// The position in the log of each engine at which the run began.
#[derive(Debug, Default)]
pub(crate) struct EngineLogs {
    starts: Vec<u64>,
}

impl EngineLogs {
    /// Records the current ends of the logs, so that earlier requests don't count.
    pub(crate) async fn record_start(sender: &CallSender) -> Self {
        let mut starts = Vec::new();
        for engine in &sender.targets().engines {
            let list = read_log(sender, engine).await.unwrap_or_default();
            starts.push(list.last().map_or(0, |it| it.index + 1));
        }
        EngineLogs { starts }
    }

    /// Returns what each engine has recorded since then, and the number of prompts
    /// that received more than one complete response over all engines.
    pub(crate) async fn results(&self, sender: &CallSender) -> (Vec<EngineResult>, u64) {
        let mut results = Vec::new();
        let mut answers: BTreeMap<String, u64> = BTreeMap::new();
        let engines = sender.targets().engines.iter();
        for (engine, start) in engines.zip(&self.starts) {
            let mut result = EngineResult {
                url: engine.clone(),
                ..EngineResult::default()
            };
            match read_log(sender, engine).await {
                Err(error) => result.error = Some(error),
                Ok(list) => {
                    for record in list.into_iter().filter(|it| it.index >= *start) {
                        add_record(&mut result, &record, &sender.targets().keys);
                        if record.end == "done" {
                            *answers.entry(record.prompt).or_default() += 1;
                        }
                    }
                }
            }
            results.push(result);
        }
        let repeated = answers.values().filter(|it| **it > 1).count();
        (results, repeated as u64)
    }
}

async fn read_log(sender: &CallSender, engine: &str) -> Result<Vec<EngineRecord>, String> {
    let response = sender
        .call_engine(engine, Method::GET, "/stand-in/requests", String::new())
        .await?;
    let body = collect_limited(response.into_body(), MAX_RESPONSE_BYTES).await;
    let body = body.map_err(|it| it.to_string())?;
    let list: EngineLog = serde_json::from_slice(&body).map_err(|it| it.to_string())?;
    Ok(list.requests)
}

fn add_record(result: &mut EngineResult, record: &EngineRecord, keys: &[String]) {
    result.requests += 1;
    result.tokens += record.tokens;
    match record.end.as_str() {
        "done" => result.done += 1,
        "cancelled" => result.cancelled += 1,
        "broken" => result.broken += 1,
        "refused" => result.refused += 1,
        _ => result.open += 1,
    }
    let contains_key = |key: &String| {
        let mut values = record.headers.values();
        values.any(|it| it.contains(key.as_str())) || record.prompt.contains(key.as_str())
    };
    result.keys_seen += u64::from(keys.iter().any(contains_key));
}
