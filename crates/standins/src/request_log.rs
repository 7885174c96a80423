//! What a stand-in saw, so that a test can tell how often something ran.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use http::HeaderMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// How many requests are kept; the oldest go first.
const MAX_KEPT_REQUESTS: usize = 50_000;
/// How many bytes of a prompt are kept.
const MAX_PROMPT_BYTES: usize = 8 * 1024;

/// How a request ended, or where it stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// It waits for a place in the batch.
    Queued,
    /// It runs.
    Running,
    /// The whole answer was written.
    Done,
    /// A cancel or the client's disconnect ended it.
    Cancelled,
    /// A fault switch broke it.
    Broken,
    /// It was refused before it ran.
    Refused,
}

/// One request as the stand-in saw it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Its position among all requests, from zero.
    pub index: u64,
    /// The `x-request-id` header, or a number given here.
    pub id: String,
    /// The method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// Every header; the values of a repeated one are joined by a comma.
    pub headers: BTreeMap<String, String>,
    /// SHA-256 over the body, in hex.
    pub body_hash: String,
    /// The last user message or the prompt; empty at a plain service.
    pub prompt: String,
    /// The token at which a resumed answer began.
    pub resume_from: u32,
    /// How many requests came with the same idempotency key, or, where there
    /// is none, with the same prompt, or with the same method, path and body
    /// where there is no prompt. Refused ones don't count.
    pub runs: u32,
    /// How it ended.
    pub end: RequestEnd,
    /// Tokens produced; at a plain service, body bytes received.
    pub tokens: u64,
}

/// What identifies a request for counting its runs.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RunKey(String);

impl RunKey {
    fn of(record: &RequestRecord) -> Self {
        match record.headers.get("idempotency-key") {
            Some(key) => RunKey(format!("key {key}")),
            None if record.prompt.is_empty() => RunKey(format!(
                "body {} {} {}",
                record.method, record.path, record.body_hash
            )),
            None => RunKey(format!("prompt {}", hash_hex(record.prompt.as_bytes()))),
        }
    }
}

/// The list of requests a stand-in saw.
#[derive(Debug, Default)]
pub struct RequestLog {
    entries: Mutex<LogEntries>,
}

#[derive(Debug, Default)]
struct LogEntries {
    next_index: u64,
    records: VecDeque<RequestRecord>,
    runs: HashMap<RunKey, u32>,
}

/// What is known of a request when it arrives.
#[derive(Debug)]
pub struct Arrival<'a> {
    /// The method.
    pub method: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The headers.
    pub headers: &'a HeaderMap,
    /// SHA-256 over the body, in hex.
    pub body_hash: String,
    /// The last user message or the prompt.
    pub prompt: &'a str,
    /// The token at which a resumed answer begins.
    pub resume_from: u32,
}

impl RequestLog {
    /// Adds a request that waits, and returns its index.
    pub fn add(&self, arrival: Arrival<'_>) -> u64 {
        let mut entries = self.lock();
        let index = entries.next_index;
        entries.next_index += 1;
        let headers = header_texts(arrival.headers);
        let id = headers.get("x-request-id").cloned();
        let record = RequestRecord {
            index,
            id: id.unwrap_or_else(|| format!("request-{index}")),
            method: arrival.method.to_owned(),
            path: arrival.path.to_owned(),
            headers,
            body_hash: arrival.body_hash,
            prompt: truncate(arrival.prompt).to_owned(),
            resume_from: arrival.resume_from,
            runs: 0,
            end: RequestEnd::Queued,
            tokens: 0,
        };
        *entries.runs.entry(RunKey::of(&record)).or_default() += 1;
        entries.records.push_back(record);
        if entries.records.len() > MAX_KEPT_REQUESTS {
            entries.records.pop_front();
        }
        index
    }

    /// Changes a request's record, unless it is too old to be kept.
    pub fn update(&self, index: u64, change: impl FnOnce(&mut RequestRecord)) {
        let mut entries = self.lock();
        let Some(oldest) = entries.records.front().map(|it| it.index) else {
            return;
        };
        let Some(position) = index.checked_sub(oldest) else {
            return;
        };
        if let Some(record) = entries.records.get_mut(position as usize) {
            change(record);
        }
    }

    /// Marks a request as refused, so that it doesn't count as a run.
    pub fn refuse(&self, index: u64) {
        let mut key = None;
        self.update(index, |record| {
            record.end = RequestEnd::Refused;
            key = Some(RunKey::of(record));
        });
        if let Some(key) = key
            && let Some(runs) = self.lock().runs.get_mut(&key)
        {
            *runs = runs.saturating_sub(1);
        }
    }

    /// How many requests count as the same as this one; see
    /// [`RequestRecord::runs`].
    pub fn runs(&self, index: u64) -> u32 {
        let mut key = None;
        self.update(index, |record| key = Some(RunKey::of(record)));
        key.and_then(|it| self.lock().runs.get(&it).copied())
            .unwrap_or(0)
    }

    /// Sets the hash of a body that was streamed, and counts its run anew.
    pub fn set_body_hash(&self, index: u64, body_hash: String) {
        let mut keys = None;
        self.update(index, |record| {
            let before = RunKey::of(record);
            record.body_hash = body_hash;
            keys = Some((before, RunKey::of(record)));
        });
        let Some((before, after)) = keys else {
            return;
        };
        let runs = &mut self.lock().runs;
        if let Some(count) = runs.get_mut(&before) {
            *count = count.saturating_sub(1);
        }
        *runs.entry(after).or_default() += 1;
    }

    /// The kept requests with their present count of runs.
    pub fn list(&self) -> Vec<RequestRecord> {
        let entries = self.lock();
        let with_runs = |record: &RequestRecord| {
            let mut record = record.clone();
            record.runs = entries.runs.get(&RunKey::of(&record)).copied().unwrap_or(0);
            record
        };
        entries.records.iter().map(with_runs).collect()
    }

    fn lock(&self) -> MutexGuard<'_, LogEntries> {
        // No code under the lock can leave the entries half changed.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// SHA-256 in hex.
pub fn hash_hex(bytes: &[u8]) -> String {
    hex::encode(Sha256::digest(bytes))
}

fn header_texts(headers: &HeaderMap) -> BTreeMap<String, String> {
    let mut texts: BTreeMap<String, String> = BTreeMap::new();
    for (name, value) in headers {
        let value = String::from_utf8_lossy(value.as_bytes());
        let text = texts.entry(name.as_str().to_owned()).or_default();
        if !text.is_empty() {
            text.push_str(", ");
        }
        text.push_str(&value);
    }
    texts
}

fn truncate(prompt: &str) -> &str {
    let mut end = prompt.len().min(MAX_PROMPT_BYTES);
    while !prompt.is_char_boundary(end) {
        end -= 1;
    }
    &prompt[..end]
}
