//! Aggregation of outcomes into results.

// The lints exempt test functions only, not their helpers.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::time::Duration;

use comfreyramp_load::{
    outcome::{
        CallEnd, CallKind, CallOutcome, LotEnd, LotOutcome, OutcomeCollector, RateDecision,
        RateReference, Refusal, RunResult,
    },
    report::report_page,
    run::{EventStream, ItemTally, RunTargets},
    trace::{LotEvent, TraceCustomer, item_prompt},
};
use serde_json::json;
use sha2::{Digest, Sha256};

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn customers() -> Vec<TraceCustomer> {
    vec![TraceCustomer {
        name: "a".to_owned(),
        rate: 10.0,
        burst: 2,
    }]
}

fn call(intended: u64, end: CallEnd) -> CallOutcome {
    CallOutcome {
        customer: 0,
        kind: CallKind::Live,
        intended: millis(intended),
        sent: millis(intended),
        first: Some(millis(intended + 20)),
        ended: millis(intended + 50),
        gaps: vec![millis(10), millis(20)],
        tokens: 3,
        end,
    }
}

fn refusal(status: u16, ran: &str) -> CallEnd {
    CallEnd::Refused(Refusal {
        status,
        code: "rate_limited".to_owned(),
        ran: ran.to_owned(),
        retry_after: true,
    })
}

fn result_of(calls: &[CallOutcome]) -> RunResult {
    let mut collector = OutcomeCollector::new(&customers());
    for call in calls {
        collector.add_call(call);
    }
    collector.result("r", Duration::from_secs(9))
}

#[test]
fn the_reference_admits_the_burst_and_then_the_rate() {
    let mut reference = RateReference::new(10.0, 2);
    let inside: Vec<bool> = [0, 0, 0, 100, 150, 200]
        .iter()
        .map(|at| reference.check(millis(*at), false).inside)
        .collect();
    assert_eq!(inside, [true, true, false, true, false, true]);
    assert_eq!(reference.overshoot(), 0.0);
    let mut reference = RateReference::new(10.0, 2);
    let first = reference.check(millis(0), true);
    let whole = RateDecision {
        inside: true,
        clearly_inside: true,
    };
    assert_eq!(first, whole);
    // The second call needs the whole burst; nine tenths of it don't suffice.
    assert!(!reference.check(millis(0), true).clearly_inside);
    reference.check(millis(0), true);
    reference.check(millis(100), true);
    assert_eq!(reference.overshoot(), 1.0);
    reference.check(millis(1000), true);
    assert_eq!(reference.overshoot(), 1.0);
}

#[test]
fn what_is_clearly_inside_is_inside() {
    let mut reference = RateReference::new(10.0, 20);
    let decisions: Vec<RateDecision> = (0..2000)
        .map(|it| reference.check(millis(it * 35), false))
        .collect();
    let clear = decisions.iter().filter(|it| it.clearly_inside).count();
    assert!(clear > 0);
    assert!(decisions.iter().all(|it| it.inside || !it.clearly_inside));
}

#[test]
fn a_refusal_is_wrongful_inside_the_rate_and_only_if_it_did_not_run() {
    let result = result_of(&[
        call(0, refusal(429, "no")),
        call(0, CallEnd::Done),
        // Outside the burst of two, which the two calls above use up.
        call(10, refusal(429, "no")),
        // Inside the rate, but none of them is a rejection for lack of capacity.
        call(1000, refusal(401, "no")),
        call(2000, refusal(200, "partly")),
        call(3000, refusal(502, "unknown")),
        call(4000, refusal(503, "no")),
        call(5000, CallEnd::NoAnswer),
    ]);
    let customer = &result.customers[0];
    assert_eq!(customer.wrongful_refusals, 2);
    // The rejected call at 0 was the last of the burst, so it isn't a clear case.
    assert_eq!(customer.clearly_wrongful_refusals, 1);
    assert_eq!(customer.live.refused(), 6);
    assert_eq!(customer.live.no_answer, 1);
    let counts: Vec<(u16, u64)> = customer
        .live
        .refusals
        .iter()
        .map(|it| (it.status, it.count))
        .collect();
    assert_eq!(counts, [(200, 1), (401, 1), (429, 2), (502, 1), (503, 1)]);
}

/// Guards against coordinated omission: a fleet that hangs for two seconds also
/// blocks the sender. If latency counted from the actual send time, the calls with
/// the longest wait would appear to be the fastest.
#[test]
fn latency_counts_from_the_intended_time() {
    let mut late = call(0, CallEnd::Done);
    late.sent = millis(2000);
    late.first = Some(millis(2010));
    late.ended = millis(2030);
    let result = result_of(&[late]);
    let live = &result.customers[0].live;
    assert!((live.ttft.max_ms - 2010.0).abs() < 5.0, "{live:?}");
    assert!((live.duration.max_ms - 2030.0).abs() < 5.0);
    assert!((live.inter_token.p50_ms - 10.0).abs() < 0.1);
    assert!((result.send_delay.max_ms - 2000.0).abs() < 5.0);
    assert_eq!(result.timeline[0].sent, 1);
    assert!(result.timeline[0].ttft_p95_ms.unwrap() > 2000.0);
}

fn lot(job: &str, id: &str, resent: bool) -> LotOutcome {
    LotOutcome {
        customer: 0,
        job: job.to_owned(),
        id: Some(id.to_owned()),
        resent,
        intended: millis(1000),
        acknowledged: Some(millis(1100)),
        ended: Some(millis(6000)),
        due: millis(5000),
        items: 10,
        done: 9,
        failed: 1,
        repeated: 0,
        wrong: 0,
        end: LotEnd::Ended {
            status: "completed".to_owned(),
        },
    }
}

#[test]
fn a_resent_job_counts_once_and_a_second_lot_for_it_is_reported() {
    let mut collector = OutcomeCollector::new(&customers());
    collector.add_lot(lot("x", "1", false));
    collector.add_lot(lot("x", "1", true));
    collector.add_lot(lot("y", "2", false));
    collector.add_lot(lot("y", "3", true));
    collector.add_lot(LotOutcome {
        ended: Some(millis(6001)),
        done: 8,
        ..lot("late", "4", false)
    });
    let result = collector.result("r", Duration::from_secs(9));
    let lots = &result.customers[0].lots;
    assert_eq!((lots.sent, lots.acknowledged, lots.doubled), (5, 3, 1));
    assert_eq!((lots.ended, lots.on_time), (3, 2));
    assert_eq!((lots.items, lots.items_done), (30, 26));
    assert_eq!((lots.items_failed, lots.items_missing), (3, 1));
    assert!((lots.items_per_second - 29.0 / 5.001).abs() < 1e-9);
}

#[test]
fn each_item_needs_one_result_and_its_own() {
    let lot = LotEvent {
        job: "j".to_owned(),
        items: 5,
        max_tokens: 2,
        ..LotEvent::default()
    };
    let line = |id: &str, status: u16, text: &str| {
        let message = json!({ "choices": [{ "message": { "content": text } }] });
        let response = json!({ "status_code": status, "body": message });
        json!({ "custom_id": id, "response": response }).to_string() + "\n"
    };
    let answer = |index: u32| {
        let hash = Sha256::digest(item_prompt(&lot, index).user.as_bytes());
        format!("{} word", &hex::encode(hash)[..16])
    };
    let mut output = line("item-0", 200, &answer(0));
    output += &line("item-0", 200, &answer(0));
    output += &line("item-1", 200, &answer(2));
    output += &line("item-2", 200, &(answer(2) + " more"));
    output += &line("item-9", 200, &answer(0));
    let mut tally = ItemTally::new(&lot, true);
    tally.add_file(&output);
    tally.add_file(&line("item-3", 500, ""));
    let counts = (tally.done, tally.failed, tally.repeated, tally.wrong);
    assert_eq!(counts, (1, 1, 1, 3));
}

#[test]
fn events_are_parsed_from_any_chunks() {
    let text = ": hello\n\ndata: one\n\ndata:two\ndata: more\n\ndata: [DONE]\n\ndata: half";
    for size in [1, 3, 1000] {
        let mut stream = EventStream::default();
        let mut events = Vec::new();
        for piece in text.as_bytes().chunks(size) {
            stream.push(piece);
            events.extend(std::iter::from_fn(|| stream.next_event()));
        }
        assert_eq!(events, ["one", "two\nmore", "[DONE]"]);
    }
}

#[test]
fn the_demos_shell_variables_describe_a_fleet() {
    let targets = RunTargets::from_shell(
        "export COMFREYRAMP_CALLERS=\"http://a:1 http://b:2\"\nCOMFREYRAMP_PIDS='7 8'\n\
         COMFREYRAMP_KEY=k1\nCOMFREYRAMP_SECOND_KEY=\"k2\"\nCOMFREYRAMP_MODEL=m\n\
         # a comment\nCOMFREYRAMP_SERVICE=/proofs\n",
    );
    assert_eq!(targets.callers, ["http://a:1", "http://b:2"]);
    assert_eq!(targets.daemon_pids, [7, 8]);
    assert_eq!((targets.key(0), targets.key(1)), (Some("k1"), Some("k2")));
    assert_eq!(
        (targets.model.as_str(), targets.service.as_str()),
        ("m", "/proofs")
    );
    assert_eq!(targets.check(2), Vec::<String>::new());
    assert_eq!(targets.check(3).len(), 1);
    assert_eq!(RunTargets::default().check(1).len(), 2);
}

#[test]
fn a_page_puts_two_runs_side_by_side() {
    let calls: Vec<CallOutcome> = (0..30).map(|it| call(it * 200, CallEnd::Done)).collect();
    let mut slower = calls.clone();
    for call in &mut slower {
        call.first = call.first.map(|it| it + millis(20));
    }
    slower.push(call(6000, refusal(429, "no")));
    let mut before = result_of(&calls);
    before.label = "before & after".to_owned();
    let mut after = result_of(&slower);
    after.label = "with <lots>".to_owned();
    let page = report_page(&[&before, &after]).unwrap();
    for text in [
        "<th>before &amp; after</th><th>with &lt;lots&gt;</th>",
        "<td>1.00× (a)</td><td>2.00× (a)</td>",
        "<td>wrongful refusals</td><td>0</td><td>1</td>",
        "1× 429 rate_limited (ran: no)",
        "<td>20 / 20 / 20</td><td>40 / 40 / 40</td>",
        "TTFT p95 by second",
    ] {
        assert!(page.contains(text), "{text} is missing");
    }
    assert!(!page.contains("<lots>"));
    assert_eq!(page.matches("<svg").count(), 6);
    let text = serde_json::to_string(&after).unwrap();
    assert_eq!(serde_json::from_str::<RunResult>(&text).unwrap(), after);
}
