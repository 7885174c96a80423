//! Records what readers received of each lot, and checks that later responses agree with
//! it.

use std::time::{Duration, Instant};

use comfreyramp_http::{Bytes, Response, StatusCode};
use comfreyramp_standins::runner::RequestedStream;
use serde_json::Value;

use crate::{
    ENTRY_DAEMONS,
    faulty_engine::EngineState,
    fleet::output_of,
    harm_log::{ActiveFault, FaultLog},
};

/// What one caller has received, every later caller receives after this time, at any
/// daemon. A daemon that can't be sure tells its callers to retry. There is no exception
/// for a daemon that was just lost, started or cut off, since it may tell its callers to
/// retry as well.
pub(crate) const MAX_PROPAGATION_DELAY: Duration = Duration::from_millis(1_000);
/// A result that a reader has received.
#[derive(Debug)]
struct ObservedResult {
    result: Value,
    first_at: Instant,
    /// When each daemon first returned it.
    first_by_daemon: [Option<Instant>; ENTRY_DAEMONS],
}

/// A lot that was accepted.
#[derive(Debug)]
pub(crate) struct LotRecord {
    pub(crate) id: String,
    /// The bodies of its items.
    pub(crate) bodies: Vec<String>,
    /// When its customer first submitted it.
    submitted_at: Instant,
    accepted_at: Instant,
    /// When its customer first requested its end.
    pub(crate) end_requested_at: Option<Instant>,
    /// When a daemon acknowledged its end.
    pub(crate) end_acknowledged_at: Option<Instant>,
    observed: Vec<Option<ObservedResult>>,
}

/// A read of a lot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LotRead<'a> {
    pub(crate) lot: &'a str,
    pub(crate) daemon: usize,
    pub(crate) after: usize,
    /// What was true [`MAX_PROPAGATION_DELAY`] before this time must be in the response.
    pub(crate) sent_at: Instant,
    pub(crate) answered_at: Instant,
}

/// What happened besides that decides which responses are right.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadEvidence<'a> {
    pub(crate) fault_log: &'a FaultLog,
    pub(crate) engines: &'a EngineState,
    /// How long an item is kept before it may be given up.
    pub(crate) retention: Duration,
}

/// What readers received of each lot, and which responses violated a guarantee.
#[derive(Debug, Default)]
pub(crate) struct LotLedger {
    pub(crate) lots: Vec<LotRecord>,
    /// Lots that were refused at each attempt.
    pub(crate) refused: Vec<String>,
    pub(crate) violations: Vec<String>,
    /// How many responses there were, for the test's output.
    pub(crate) counts: ResponseCounts,
}

/// How many responses readers received, by kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ResponseCounts {
    pages: usize,
    empty_pages: usize,
    retry_later: usize,
    given_up: usize,
    pub(crate) bodies: usize,
}

impl LotLedger {
    pub(crate) fn accept(
        &mut self,
        id: &str,
        bodies: &[String],
        submitted_at: Instant,
        now: Instant,
    ) {
        self.lots.push(LotRecord {
            id: id.to_owned(),
            bodies: bodies.to_vec(),
            submitted_at,
            accepted_at: now,
            end_requested_at: None,
            end_acknowledged_at: None,
            observed: bodies.iter().map(|_| None).collect(),
        });
    }

    pub(crate) fn lot(&mut self, id: &str) -> &mut LotRecord {
        self.lots.iter_mut().find(|it| it.id == id).unwrap()
    }

    /// Checks a response against everything that readers received before.
    pub(crate) fn check_response(
        &mut self,
        read: LotRead<'_>,
        response: &Response<Bytes>,
        evidence: ReadEvidence<'_>,
    ) {
        let record = self.lot(read.lot);
        let listed_before = record.given_up_count();
        let outcome = match response.status() {
            StatusCode::OK => record.check_page(read, response.body(), evidence),
            StatusCode::NOT_FOUND => record.check_not_found(read.sent_at),
            // The daemon tells its caller to retry.
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Ok(0),
            status => Err(format!("unexpected status {status}")),
        };
        let given_up = record.given_up_count() - listed_before;
        self.counts.given_up += given_up;
        self.counts.count(response.status(), &outcome);
        if let Err(text) = outcome {
            self.report_violation(read, &text);
        }
    }

    pub(crate) fn report_violation(&mut self, read: LotRead<'_>, text: &str) {
        let text = format!("{read:?}: {text}");
        eprintln!("soak: violation: {text}");
        self.violations.push(text);
    }
}

impl ResponseCounts {
    fn count(&mut self, status: StatusCode, outcome: &Result<usize, String>) {
        match (status, outcome) {
            (StatusCode::OK, Ok(0)) => self.empty_pages += 1,
            (StatusCode::OK, _) => self.pages += 1,
            _ => self.retry_later += 1,
        }
    }
}

impl LotRecord {
    /// Returns how many positions readers have received.
    pub(crate) fn observed_count(&self) -> usize {
        self.observed.iter().filter(|it| it.is_some()).count()
    }

    /// Returns how many items readers have received as given up.
    fn given_up_count(&self) -> usize {
        let observed = self.observed.iter().flatten();
        observed
            .filter(|it| it.result["state"] == "dead_letter")
            .count()
    }

    /// Returns whether an item may be listed as given up: its lot was ended, its retention
    /// has passed, or servers have answered it, whole, with failures that permit it.
    fn may_be_given_up(&self, item: &str, read: LotRead<'_>, evidence: ReadEvidence<'_>) -> bool {
        self.end_requested_at.is_some()
            || read.answered_at >= self.submitted_at + evidence.retention
            || evidence.engines.failed_for_good(item)
    }

    /// Returns whether any reader has received the result of an item.
    pub(crate) fn is_listed(&self, item: &str) -> bool {
        let observed = self.observed.iter().flatten();
        observed.into_iter().any(|it| it.result["id"] == item)
    }

    /// Returns whether every daemon must know the lot when it receives a request sent at
    /// this time.
    pub(crate) fn is_settled(&self, sent_at: Instant) -> bool {
        sent_at >= self.accepted_at + MAX_PROPAGATION_DELAY
    }

    fn has_item(&self, item: &str) -> bool {
        let number = item
            .strip_prefix(&self.id)
            .and_then(|it| it.strip_prefix('-'));
        let number = number.and_then(|it| it.parse::<usize>().ok());
        number.is_some_and(|it| it < self.bodies.len())
    }

    /// Checks a daemon's response that the lot doesn't exist.
    fn check_not_found(&self, sent_at: Instant) -> Result<usize, String> {
        match self.is_settled(sent_at) {
            true => Err("an accepted lot is unknown".to_owned()),
            false => Ok(0),
        }
    }

    /// Checks and records a page, and returns how many results it has.
    fn check_page(
        &mut self,
        read: LotRead<'_>,
        body: &[u8],
        evidence: ReadEvidence<'_>,
    ) -> Result<usize, String> {
        let page: Value = serde_json::from_slice(body).map_err(|it| it.to_string())?;
        let results = page["results"]
            .as_array()
            .ok_or("a page without a list of results")?;
        let is_consistent = page["total"] == self.bodies.len()
            && page["next"] == read.after + results.len()
            && read.after + results.len() <= self.bodies.len();
        if !is_consistent {
            return Err(format!("an inconsistent page: {page}"));
        }
        if results.is_empty() {
            self.check_empty_page(read, evidence.fault_log)?;
        }
        for (position, result) in results.iter().enumerate() {
            self.check_result(read, read.after + position, result, evidence)?;
        }
        Ok(results.len())
    }

    /// Checks a page without results. It is wrong if a reader has received a result at its
    /// position from any daemon [`MAX_PROPAGATION_DELAY`] ago, or from this daemon at any
    /// time in the same incarnation.
    fn check_empty_page(&self, read: LotRead<'_>, fault_log: &FaultLog) -> Result<(), String> {
        let Some(observed) = self.observed.get(read.after).and_then(Option::as_ref) else {
            return Ok(());
        };
        let age = read.sent_at.saturating_duration_since(observed.first_at);
        if age >= MAX_PROPAGATION_DELAY {
            return Err(format!(
                "a result is missing that was returned {age:?} before: {observed:?}"
            ));
        }
        let own = observed.first_by_daemon[read.daemon].filter(|it| *it < read.sent_at);
        if own.is_some_and(|it| {
            !fault_log.was_active(ActiveFault::Down(read.daemon), it, read.answered_at)
        }) {
            return Err(format!(
                "a daemon lacks a result that it returned before: {observed:?}"
            ));
        }
        Ok(())
    }

    fn check_result(
        &mut self,
        read: LotRead<'_>,
        position: usize,
        result: &Value,
        evidence: ReadEvidence<'_>,
    ) -> Result<(), String> {
        let id = result["id"].as_str().unwrap_or_default();
        let is_right = match result["state"].as_str() {
            Some("done") => result["output"] == output_of(&RequestedStream::named(id)),
            Some("dead_letter") => self.may_be_given_up(id, read, evidence),
            _ => false,
        };
        if !self.has_item(id) || !is_right {
            let age = read.answered_at - self.submitted_at;
            let failures = evidence.engines.whole_failures(id);
            return Err(format!(
                "a wrong result at {position}, {age:?} after the lot was submitted, \
                 failures {failures:?}: {result}"
            ));
        }
        let others = self.observed.iter().enumerate();
        let mut others = others
            .filter(|it| it.0 != position)
            .filter_map(|it| it.1.as_ref());
        if others.any(|it| it.result["id"] == result["id"]) {
            return Err(format!("a second result of {id} at {position}"));
        }
        let observed = self.observed[position].get_or_insert_with(|| ObservedResult {
            result: result.clone(),
            first_at: read.answered_at,
            first_by_daemon: [None; ENTRY_DAEMONS],
        });
        if observed.result != *result {
            return Err(format!(
                "a different result at {position}: {result}, was {observed:?}"
            ));
        }
        observed.first_at = observed.first_at.min(read.answered_at);
        observed.first_by_daemon[read.daemon].get_or_insert(read.answered_at);
        Ok(())
    }
}
