//! The result of a run, as it is stored in a file.

use serde::{Deserialize, Serialize};

use super::{call::Refusal, latency::LatencySummary};

/// The result of a run. All latencies count from the intended send time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The run's name in a report.
    pub label: String,
    /// The duration of the run in seconds, including the wait for requests in
    /// flight at its end.
    pub seconds: f64,
    /// Whether the run was stopped early.
    pub interrupted: bool,
    /// The delay between intended and actual send times, which the load
    /// generator itself causes. If it isn't far below the latencies, the machine
    /// was overloaded and the result is unreliable.
    pub send_delay: LatencySummary,
    /// The results per customer.
    pub customers: Vec<CustomerResult>,
    /// Counts for each second of the run.
    pub timeline: Vec<TimelineRow>,
    /// The injected faults.
    pub faults: Vec<FaultResult>,
    /// The requests that the engine stand-ins recorded, if the run has their URLs.
    pub engines: Vec<EngineResult>,
    /// The number of prompts that received more than one complete response,
    /// counted over all engines.
    pub prompts_answered_twice: u64,
}

/// The requests of a run that one engine stand-in recorded.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineResult {
    /// The engine's base URL.
    pub url: String,
    /// The reason why the engine's request log could not be read, for example
    /// because the engine was killed. All counts are zero then.
    pub error: Option<String>,
    /// Requests received, counting each attempt.
    pub requests: u64,
    /// Requests with a complete response.
    pub done: u64,
    /// Requests that were cancelled.
    pub cancelled: u64,
    /// Requests that an injected fault aborted.
    pub broken: u64,
    /// Requests that the engine rejected.
    pub refused: u64,
    /// Requests that had not ended.
    pub open: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Requests that contained a caller's key. Behind daemons this must be zero,
    /// since daemons must not forward keys.
    pub keys_seen: u64,
}

/// The result of one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CustomerResult {
    /// The customer's name.
    pub name: String,
    /// The customer's rate limit in requests per second.
    pub rate: f64,
    /// The number of requests that may arrive at once after an idle period.
    pub burst: u32,
    /// The result of generation requests.
    pub live: CallResult,
    /// The result of calls of a plain HTTP service.
    pub plain: CallResult,
    /// The result of lots.
    pub lots: LotResult,
    /// Calls that were rejected although one token bucket for the whole fleet
    /// would have admitted them.
    pub wrongful_refusals: u64,
    /// The subset of `wrongful_refusals` that nine tenths of the rate and burst
    /// would have admitted too.
    pub clearly_wrongful_refusals: u64,
    /// The maximum number of calls by which the rate and burst were exceeded.
    pub overshoot: f64,
}

/// The result of the calls of one kind.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CallResult {
    /// Calls sent.
    pub sent: u64,
    /// Calls with a complete and correct response.
    pub done: u64,
    /// Rejected calls by reason.
    pub refusals: Vec<RefusalCount>,
    /// Calls whose response was cut off without an error.
    pub cut: u64,
    /// Calls without any response.
    pub no_answer: u64,
    /// Calls with the response to another request.
    pub wrong_answers: u64,
    /// Calls with too few or too many tokens in a response that looks complete.
    pub wrong_lengths: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Time to the first token, or to the response head of a plain call.
    pub ttft: LatencySummary,
    /// Time between successive tokens.
    pub inter_token: LatencySummary,
    /// Time to the end of a complete and correct response.
    pub duration: LatencySummary,
}

impl CallResult {
    /// Returns the number of rejected calls over all reasons.
    pub fn refused(&self) -> u64 {
        self.refusals.iter().map(|it| it.count).sum()
    }
}

/// The number of calls that were rejected for the same reason.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// The HTTP status of the response.
    pub status: u16,
    /// The machine-readable error code.
    pub code: String,
    /// What the response states about whether the request ran.
    pub ran: String,
    /// Whether the response states when to retry.
    pub retry_after: bool,
    /// The number of calls.
    pub count: u64,
}

impl RefusalCount {
    pub(crate) fn new(refusal: &Refusal, count: u64) -> Self {
        RefusalCount {
            status: refusal.status,
            code: refusal.code.clone(),
            ran: refusal.ran.clone(),
            retry_after: refusal.retry_after,
            count,
        }
    }
}

/// The result of the lots of one customer.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LotResult {
    /// Lots submitted, including resubmissions.
    pub sent: u64,
    /// Lots acknowledged, counting each job once.
    pub acknowledged: u64,
    /// Lots whose submission was rejected.
    pub refused: u64,
    /// Rejected lots by reason.
    pub refusals: Vec<RefusalCount>,
    /// Lots whose submission got no response.
    pub no_answer: u64,
    /// Lots that reached a final state.
    pub ended: u64,
    /// Lots whose results were all available before the deadline.
    pub on_time: u64,
    /// Lots without a final state at the end of the run.
    pub unfinished: u64,
    /// Resubmitted jobs that created a second lot.
    pub doubled: u64,
    /// Items of acknowledged jobs.
    pub items: u64,
    /// Items with a correct response.
    pub items_done: u64,
    /// Items with a recorded error.
    pub items_failed: u64,
    /// Items without a result.
    pub items_missing: u64,
    /// Items with more than one result.
    pub items_repeated: u64,
    /// Items with the response of another item.
    pub items_wrong: u64,
    /// Items with a result per second, from the first submission to the end of
    /// the last lot.
    pub items_per_second: f64,
    /// Time to the acknowledgement.
    pub acknowledgement: LatencySummary,
    /// Time to the final state.
    pub duration: LatencySummary,
}

/// The counts of one second of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TimelineRow {
    /// The second, starting at zero.
    pub second: usize,
    /// Calls whose intended send time is in this second.
    pub sent: u32,
    /// Calls with a complete and correct response.
    pub done: u32,
    /// Calls that were rejected.
    pub refused: u32,
    /// Calls that ended in any other way.
    pub broken: u32,
    /// Items of lots that ended in this second.
    pub lot_items: u32,
    /// The median time to the first token of the generation requests.
    pub ttft_p50_ms: Option<f64>,
    /// The 95th percentile of the time to the first token.
    pub ttft_p95_ms: Option<f64>,
}

/// An injected fault.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct FaultResult {
    /// The time of the fault, in seconds since the start of the run.
    pub at_s: f64,
    /// A description of the fault.
    pub what: String,
    /// The reason why the fault could not be injected, if it failed.
    pub error: Option<String>,
}
