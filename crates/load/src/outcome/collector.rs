//! Aggregation of outcomes into a result.

use std::{collections::BTreeMap, time::Duration};

use crate::trace::TraceCustomer;

use super::{
    call::{CallEnd, CallKind, CallOutcome, Refusal},
    latency::LatencyHistogram,
    lot::{LotEnd, LotOutcome, LotProgress},
    rate_reference::RateReference,
    result::{CallResult, CustomerResult, FaultResult, LotResult, RefusalCount, RunResult},
    timeline::RunTimeline,
};

/// Collects outcomes, in any order, and aggregates them into a [`RunResult`].
#[derive(Debug)]
pub struct OutcomeCollector {
    customers: Vec<CustomerOutcomes>,
    timeline: RunTimeline,
    send_delay: LatencyHistogram,
    faults: Vec<FaultResult>,
}

#[derive(Debug)]
struct CustomerOutcomes {
    customer: TraceCustomer,
    live: CallOutcomes,
    plain: CallOutcomes,
    lots: Vec<LotOutcome>,
    /// The intended send time of each call and whether it was admitted.
    admissions: Vec<(Duration, Admission)>,
}

/// Whether a call passed the fleet's rate limits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Admission {
    Admitted,
    Refused,
    Unknown,
}

impl Admission {
    fn of(end: &CallEnd) -> Self {
        match end {
            CallEnd::NoAnswer => Admission::Unknown,
            CallEnd::Refused(refusal) if refusal.may_have_run() => Admission::Admitted,
            CallEnd::Refused(refusal) if refusal.is_for_capacity() => Admission::Refused,
            // A rejection for an invalid key or a malformed request says nothing
            // about the rate limits.
            CallEnd::Refused(_) => Admission::Unknown,
            _ => Admission::Admitted,
        }
    }
}

#[derive(Debug, Default)]
struct CallOutcomes {
    counts: CallResult,
    refusals: BTreeMap<Refusal, u64>,
    ttft: LatencyHistogram,
    inter_token: LatencyHistogram,
    duration: LatencyHistogram,
}

impl OutcomeCollector {
    /// Creates a collector for the customers in a trace's header.
    pub fn new(customers: &[TraceCustomer]) -> Self {
        let customers = customers.iter().map(|customer| CustomerOutcomes {
            customer: customer.clone(),
            live: CallOutcomes::default(),
            plain: CallOutcomes::default(),
            lots: Vec::new(),
            admissions: Vec::new(),
        });
        OutcomeCollector {
            customers: customers.collect(),
            timeline: RunTimeline::default(),
            send_delay: LatencyHistogram::default(),
            faults: Vec::new(),
        }
    }

    /// Adds a call. A call of an unknown customer only counts in the timeline.
    pub fn add_call(&mut self, call: &CallOutcome) {
        self.timeline.add_call(call);
        let delay = call.sent.saturating_sub(call.intended);
        self.send_delay.record(delay);
        let Some(outcomes) = self.customers.get_mut(call.customer as usize) else {
            return;
        };
        let admission = Admission::of(&call.end);
        outcomes.admissions.push((call.intended, admission));
        match call.kind {
            CallKind::Live => outcomes.live.add(call),
            CallKind::Plain => outcomes.plain.add(call),
        }
    }

    /// Adds a lot. A lot of an unknown customer is ignored.
    pub fn add_lot(&mut self, lot: LotOutcome) {
        if let Some(outcomes) = self.customers.get_mut(lot.customer as usize) {
            outcomes.lots.push(lot);
        }
    }

    /// Adds the number of items of a lot that have ended since its last report.
    pub fn add_progress(&mut self, progress: LotProgress) {
        self.timeline.add_progress(progress);
    }

    /// Adds an injected fault.
    pub fn add_fault(&mut self, fault: FaultResult) {
        self.faults.push(fault);
    }

    /// Returns the result of everything added so far, for a run of length `span`.
    pub fn result(&self, label: &str, span: Duration) -> RunResult {
        let customers = self.customers.iter().map(CustomerOutcomes::result);
        RunResult {
            label: label.to_owned(),
            seconds: span.as_secs_f64(),
            send_delay: self.send_delay.summary(),
            customers: customers.collect(),
            timeline: self.timeline.rows(),
            faults: self.faults.clone(),
            ..RunResult::default()
        }
    }
}

impl CustomerOutcomes {
    fn result(&self) -> CustomerResult {
        let mut result = CustomerResult {
            name: self.customer.name.clone(),
            rate: self.customer.rate,
            burst: self.customer.burst,
            live: self.live.result(),
            plain: self.plain.result(),
            lots: lot_result(&self.lots),
            ..CustomerResult::default()
        };
        let mut admissions = self.admissions.clone();
        admissions.sort_unstable();
        let mut reference = RateReference::new(self.customer.rate, self.customer.burst);
        for (at, admission) in admissions {
            let decision = reference.check(at, admission == Admission::Admitted);
            if admission == Admission::Refused {
                result.wrongful_refusals += u64::from(decision.inside);
                result.clearly_wrongful_refusals += u64::from(decision.clearly_inside);
            }
        }
        result.overshoot = reference.overshoot();
        result
    }
}

impl CallOutcomes {
    fn add(&mut self, call: &CallOutcome) {
        let counts = &mut self.counts;
        counts.sent += 1;
        counts.tokens += u64::from(call.tokens);
        match &call.end {
            CallEnd::Done => counts.done += 1,
            CallEnd::WrongAnswer => counts.wrong_answers += 1,
            CallEnd::WrongLength => counts.wrong_lengths += 1,
            CallEnd::Cut => counts.cut += 1,
            CallEnd::NoAnswer => counts.no_answer += 1,
            CallEnd::Refused(refusal) => {
                *self.refusals.entry(refusal.clone()).or_default() += 1;
            }
        }
        if let Some(first) = call.first {
            self.ttft.record(first.saturating_sub(call.intended));
        }
        for gap in &call.gaps {
            self.inter_token.record(*gap);
        }
        if call.end == CallEnd::Done {
            let duration = call.ended.saturating_sub(call.intended);
            self.duration.record(duration);
        }
    }

    fn result(&self) -> CallResult {
        CallResult {
            refusals: refusal_counts(&self.refusals),
            ttft: self.ttft.summary(),
            inter_token: self.inter_token.summary(),
            duration: self.duration.summary(),
            ..self.counts.clone()
        }
    }
}

fn refusal_counts(refusals: &BTreeMap<Refusal, u64>) -> Vec<RefusalCount> {
    let counts = refusals.iter();
    counts
        .map(|(refusal, count)| RefusalCount::new(refusal, *count))
        .collect()
}

fn lot_result(lots: &[LotOutcome]) -> LotResult {
    let mut result = LotResult::default();
    let mut acknowledgement = LatencyHistogram::default();
    let mut duration = LatencyHistogram::default();
    let mut refusals = BTreeMap::new();
    // A resent job is still one job, so its items count once.
    let mut ids: BTreeMap<&str, &str> = BTreeMap::new();
    for lot in lots {
        result.sent += 1;
        match &lot.end {
            LotEnd::Refused(refusal) => {
                result.refused += 1;
                *refusals.entry(refusal.clone()).or_default() += 1;
            }
            LotEnd::NoAnswer => result.no_answer += 1,
            LotEnd::Ended { .. } | LotEnd::Unfinished => {}
        }
        let Some(id) = &lot.id else {
            continue;
        };
        if let Some(at) = lot.acknowledged {
            acknowledgement.record(at.saturating_sub(lot.intended));
        }
        if let Some(earlier) = ids.insert(&lot.job, id) {
            result.doubled += u64::from(earlier != id);
            continue;
        }
        add_job(&mut result, lot);
        if let Some(at) = lot.ended {
            duration.record(at.saturating_sub(lot.intended));
        }
    }
    result.refusals = refusal_counts(&refusals);
    result.items_per_second = items_per_second(lots, &result);
    result.acknowledgement = acknowledgement.summary();
    result.duration = duration.summary();
    result
}

fn add_job(result: &mut LotResult, lot: &LotOutcome) {
    result.acknowledged += 1;
    result.ended += u64::from(lot.ended.is_some());
    result.unfinished += u64::from(lot.end == LotEnd::Unfinished);
    result.on_time += u64::from(lot.is_on_time());
    result.items += u64::from(lot.items);
    result.items_done += u64::from(lot.done);
    result.items_failed += u64::from(lot.failed);
    result.items_missing += u64::from(lot.missing());
    result.items_repeated += u64::from(lot.repeated);
    result.items_wrong += u64::from(lot.wrong);
}

fn items_per_second(lots: &[LotOutcome], result: &LotResult) -> f64 {
    let from = lots.iter().map(|it| it.intended).min();
    let until = lots.iter().filter_map(|it| it.ended).max();
    let (Some(from), Some(until)) = (from, until) else {
        return 0.0;
    };
    let span = until.saturating_sub(from).as_secs_f64();
    if span == 0.0 {
        return 0.0;
    }
    (result.items_done + result.items_failed) as f64 / span
}
