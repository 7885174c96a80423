//! Records the requests that a stand-in received, so that a test can check how often a
//! request ran.

use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    sync::{Mutex, MutexGuard, PoisonError},
};

use http::HeaderMap;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The number of requests that are kept; the oldest are dropped first.
const MAX_KEPT_REQUESTS: usize = 50_000;
/// The number of bytes of a prompt that are kept.
const MAX_PROMPT_BYTES: usize = 8 * 1024;

/// The state of a request: how it ended, or how far it has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestEnd {
    /// The request waits to join the batch.
    Queued,
    /// The request is running.
    Running,
    /// The whole response was written.
    Done,
    /// A cancel call or the client's disconnect ended it.
    Cancelled,
    /// A fault switch made it fail or cut its response, or its body could not be read.
    Broken,
    /// It was rejected before it ran.
    Refused,
}

/// One request as the stand-in received it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Its position among all requests received, from zero.
    pub index: u64,
    /// The `x-request-id` header, or `request-` and the index if there is none.
    pub id: String,
    /// The HTTP method.
    pub method: String,
    /// The path, with the query string.
    pub path: String,
    /// All headers; the values of a repeated header are joined with commas.
    pub headers: BTreeMap<String, String>,
    /// SHA-256 of the body, in hex.
    pub body_hash: String,
    /// The last user message or the prompt; empty for a plain service.
    pub prompt: String,
    /// The index of the token at which a resumed response began; 0 if it wasn't resumed.
    pub resume_from: u32,
    /// The number of requests with the same idempotency key. A request without a key
    /// is counted by its prompt, and one without a prompt by its method, path and
    /// body. Rejected requests don't count.
    pub runs: u32,
    /// How it ended, or its present state.
    pub end: RequestEnd,
    /// Tokens produced; for a plain service, body bytes received.
    pub tokens: u64,
}

/// The key by which the runs of a request are counted; see [`RequestRecord::runs`].
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

/// The requests that a stand-in received, oldest first.
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

/// The properties of a request that are known when it arrives.
#[derive(Debug)]
pub struct Arrival<'a> {
    /// The HTTP method.
    pub method: &'a str,
    /// The path, with the query string.
    pub path: &'a str,
    /// All headers.
    pub headers: &'a HeaderMap,
    /// SHA-256 of the body, in hex; empty while the body is still being received.
    pub body_hash: String,
    /// The last user message or the prompt.
    pub prompt: &'a str,
    /// The index of the token at which a resumed response begins; 0 otherwise.
    pub resume_from: u32,
}

impl RequestLog {
    /// Adds a request as queued and returns its index.
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

    /// Updates a request's record; does nothing if the record has been dropped.
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

    /// Marks a request as rejected, so that it doesn't count as a run.
    pub fn reject(&self, index: u64) {
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

    /// Returns the present [`RequestRecord::runs`] of a request, or 0 if its record has
    /// been dropped.
    pub fn runs(&self, index: u64) -> u32 {
        let mut key = None;
        self.update(index, |record| key = Some(RunKey::of(record)));
        key.and_then(|it| self.lock().runs.get(&it).copied())
            .unwrap_or(0)
    }

    /// Sets the hash of a streamed body once it is complete, and moves the run to the key
    /// that results from it.
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

    /// Returns the kept requests, with their present run counts.
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
        // A poisoned lock is usable: no code under it leaves the entries inconsistent.
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the SHA-256 of some bytes, in hex.
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
