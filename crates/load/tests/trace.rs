//! Trace generation and the trace file format.

// The lints exempt test functions only, not their helpers.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_load::trace::{
    BurstMix, CustomerMix, EventKind, FaultAction, FaultEvent, FaultMix, FaultTarget, LiveMix,
    LotEvent, LotMix, MarkerMix, OverdriveMix, PRESET_NAMES, PlainMix, SizeRange, TraceError,
    TraceEvent, TraceFile, TraceMix, generate_trace, item_prompt, live_prompt, preset_mix,
};
use serde_json::{Map, Value};

fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn live_mix(rate: f64) -> LiveMix {
    LiveMix {
        rate,
        prompt_tokens: SizeRange::new(30, 60),
        max_tokens: SizeRange::new(1, 9),
        prefixes: 3,
        prefix_tokens: 40,
        stream_share: 0.5,
        ..LiveMix::default()
    }
}

fn mix_of(live: LiveMix) -> TraceMix {
    TraceMix {
        span: secs(100),
        customers: vec![CustomerMix {
            name: "a".to_owned(),
            rate: 10.0,
            burst: 10,
            live: Some(live),
            ..CustomerMix::default()
        }],
        faults: Vec::new(),
    }
}

fn count_between(trace: &TraceFile, from: u64, until: u64) -> usize {
    let inside = |it: &&TraceEvent| (secs(from)..secs(until)).contains(&it.at);
    trace.events.iter().filter(inside).count()
}

#[test]
fn a_seed_gives_the_same_trace_and_another_seed_another() {
    for name in PRESET_NAMES {
        let mix = preset_mix(name, secs(30)).unwrap();
        assert_eq!(mix.check(), Vec::<String>::new(), "{name}");
        let trace = generate_trace(&mix, 5);
        assert_eq!(trace, generate_trace(&mix, 5), "{name}");
        assert_ne!(trace, generate_trace(&mix, 6), "{name}");
        assert!(trace.events.is_sorted_by_key(|it| it.at), "{name}");
    }
    assert_eq!(preset_mix("other", secs(30)), None);
}

#[test]
fn one_customers_work_stays_when_anothers_changes() {
    let live = generate_trace(&preset_mix("live", secs(60)).unwrap(), 3);
    let mixed = generate_trace(&preset_mix("mixed", secs(60)).unwrap(), 3);
    let without_lots = mixed.events.iter();
    let without_lots = without_lots.filter(|it| !matches!(it.kind, EventKind::Lot(_)));
    assert!(without_lots.eq(&live.events));
    assert!(mixed.events.len() > live.events.len());
}

#[test]
fn arrivals_follow_the_rate_and_its_factors() {
    let steady = generate_trace(&mix_of(live_mix(20.0)), 1);
    assert!((1850..2150).contains(&steady.events.len()));
    let overdriven = LiveMix {
        overdrive: Some(OverdriveMix {
            from: secs(40),
            span: secs(20),
            factor: 5.0,
        }),
        ..live_mix(20.0)
    };
    let trace = generate_trace(&mix_of(overdriven), 1);
    let (base_count, overdrive_count) =
        (count_between(&trace, 0, 40), count_between(&trace, 40, 60));
    // The base rate applies for twice as long as the fivefold rate.
    let ratio = overdrive_count as f64 / (base_count as f64 / 2.0);
    assert!((4.5..5.5).contains(&ratio), "{ratio}");
    let bursty = LiveMix {
        bursts: Some(BurstMix {
            every: secs(9),
            span: secs(1),
            factor: 10.0,
        }),
        ..live_mix(20.0)
    };
    let trace = generate_trace(&mix_of(bursty), 1);
    let busiest = (0..100).map(|it| count_between(&trace, it, it + 1)).max();
    assert!(busiest.unwrap() > 100, "{busiest:?}");
}

#[test]
fn a_resent_job_is_the_same_job_later() {
    let lots = LotMix {
        every: secs(10),
        items: SizeRange::new(10, 50),
        prompt_tokens: SizeRange::new(20, 30),
        max_tokens: SizeRange::new(2, 4),
        due: secs(60),
        resent_share: 1.0,
        resent_after: secs(3),
        marker: Some(MarkerMix {
            text: "CRASH".to_owned(),
            share: 0.1,
            ..MarkerMix::default()
        }),
        ..LotMix::default()
    };
    let mut mix = mix_of(live_mix(1.0));
    mix.customers[0].live = None;
    mix.customers[0].lots = Some(lots);
    let trace = generate_trace(&mix, 1);
    assert_eq!(trace.events.len(), 20);
    let lots = trace.events.iter().map(|it| match &it.kind {
        EventKind::Lot(lot) => (it.at, lot.clone()),
        _ => panic!("expected only lots"),
    });
    let (resent, first): (Vec<_>, Vec<_>) = lots.partition(|(_, it)| it.resent);
    for ((at, lot), (resent_at, resent)) in first.iter().zip(resent) {
        assert_eq!(*at + secs(3), resent_at);
        let again = LotEvent {
            resent: true,
            ..lot.clone()
        };
        assert_eq!(again, resent);
        let marked = (0..lot.items).filter(|it| item_prompt(lot, *it).user.contains("CRASH"));
        assert_eq!(marked.count(), lot.marked_items as usize);
        assert!(lot.marked_items > 0);
    }
}

#[test]
fn a_marked_request_is_sent_again_and_is_the_same_request() {
    let marked = LiveMix {
        marker: Some(MarkerMix {
            text: "CRASH".to_owned(),
            share: 0.02,
            resends: 2,
            resend_after: secs(4),
        }),
        ..live_mix(10.0)
    };
    let trace = generate_trace(&mix_of(marked), 1);
    let mut sent: Vec<(u64, Duration)> = Vec::new();
    for event in &trace.events {
        if let EventKind::Live(live) = &event.kind
            && live.marker.is_some()
        {
            assert!(live_prompt(live).user.contains("CRASH"));
            sent.push((live.text, event.at));
        }
    }
    sent.sort_unstable();
    assert!(sent.len() > 20);
    for times in sent.chunks(3) {
        assert!(times.iter().all(|it| it.0 == times[0].0));
        assert_eq!(times[2].1, times[0].1 + secs(8));
    }
}

#[test]
fn prompts_have_their_length_and_share_only_their_prefix() {
    let trace = generate_trace(&mix_of(live_mix(5.0)), 1);
    let mut users = Vec::new();
    let mut systems = Vec::new();
    for event in &trace.events {
        let EventKind::Live(live) = &event.kind else {
            panic!("expected only live requests");
        };
        let prompt = live_prompt(live);
        let tokens = prompt.user.len().div_ceil(4) as u32;
        assert_eq!(tokens, live.prompt_tokens);
        users.push(prompt.user);
        systems.push(prompt.system);
    }
    users.sort();
    users.dedup();
    systems.sort();
    systems.dedup();
    assert_eq!((users.len(), systems.len()), (trace.events.len(), 3));
}

#[test]
fn a_file_gives_back_the_trace() {
    let mut mix = preset_mix("daemon-loss", secs(20)).unwrap();
    let mut switches = Map::new();
    switches.insert("slow".to_owned(), Value::from(4.0));
    mix.faults.push(FaultMix {
        at: secs(3),
        fault: FaultEvent {
            target: FaultTarget::Engine(0),
            action: FaultAction::Switches(switches),
        },
    });
    mix.customers[0].plain = Some(PlainMix {
        rate: 3.0,
        body_bytes: SizeRange::new(1, 20),
        once_share: 0.5,
    });
    let trace = generate_trace(&mix, 1);
    let mut bytes = Vec::new();
    trace.write(&mut bytes).unwrap();
    assert_eq!(TraceFile::read(bytes.as_slice()).unwrap(), trace);
    let text = serde_json::to_string(&mix).unwrap();
    assert_eq!(serde_json::from_str::<TraceMix>(&text).unwrap(), mix);
}

#[test]
fn a_wrong_line_is_named() {
    let header =
        r#"{"format":"comfreyramp-trace-1","customers":[{"name":"a","rate":1,"burst":1}]}"#;
    let plain = |at: u64, customer: u32| {
        format!(
            r#"{{"at_us":{at},"kind":"plain","customer":{customer},"text":1,"body_bytes":3,"once":false}}"#
        )
    };
    let wrong_line = |lines: &[String]| {
        let text = lines.join("\n");
        match TraceFile::read(text.as_bytes()) {
            Err(TraceError::Line { line, .. }) => Some(line),
            _ => None,
        }
    };
    let header = header.to_owned();
    assert_eq!(
        wrong_line(&[header.clone(), plain(5, 0), plain(5, 0)]),
        None
    );
    assert_eq!(
        wrong_line(&[header.clone(), plain(5, 0), plain(4, 0)]),
        Some(3)
    );
    assert_eq!(wrong_line(&[header.clone(), plain(5, 1)]), Some(2));
    assert_eq!(wrong_line(&[header.clone(), "{}".to_owned()]), Some(2));
    assert_eq!(wrong_line(&["{}".to_owned()]), Some(1));
    assert_matches!(
        TraceFile::read(&b""[..]),
        Err(TraceError::Line { line: 1, .. })
    );
}

#[test]
fn all_findings_of_a_mix_come_together_with_their_place() {
    let mut mix = mix_of(live_mix(f64::NAN));
    mix.customers[0].rate = 0.0;
    mix.customers[0].live.as_mut().unwrap().stream_share = 1.5;
    mix.customers[0].lots = Some(LotMix::default());
    let findings = mix.check();
    let places: Vec<&str> = findings
        .iter()
        .filter_map(|it| it.split(": ").next())
        .collect();
    assert_eq!(
        places,
        [
            "customers[0].rate",
            "customers[0].live.rate",
            "customers[0].live.stream_share",
            "customers[0].lots.every_s",
            "customers[0].lots.items",
            "customers[0].lots.prompt_tokens",
            "customers[0].lots.max_tokens",
            "customers[0].lots.due_s",
        ]
    );
}
