//! Tests of the engine's timing model on virtual time.

// The lints exempt test functions, but not their helpers.
#![allow(clippy::panic, clippy::unwrap_used)]

use std::time::Duration;

use comfreyramp_policy::Timestamp;
use comfreyramp_standins::engine::{
    BLOCK_TOKENS, CacheChange, CacheJournal, EngineEvent, EngineEventKind, EngineModel,
    EngineOrder, EngineRequest, EngineSettings, JournalOptions, OrderTracker, PrefixCache,
    PromptBlocks, QueueFull, SequenceId, TOKEN_BYTES, answer_token,
};

fn settings() -> EngineSettings {
    EngineSettings {
        batch: 2,
        queue: 3,
        prefill_per_token: Duration::from_micros(10),
        prefill_per_step: 1000,
        decode: Duration::from_micros(1000),
        decode_per_running: Duration::from_micros(100),
        cache_blocks: 4,
        report_lag: Duration::from_micros(5000),
    }
}

fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn request(id: u64, prompt_tokens: u32, max_tokens: u32) -> EngineRequest {
    EngineRequest {
        id: SequenceId(id),
        prompt: PromptBlocks {
            tokens: prompt_tokens,
            blocks: Vec::new(),
        },
        first_token: 0,
        max_tokens,
    }
}

fn token_times(events: &[EngineEvent], id: u64) -> Vec<(u64, u32)> {
    let of_id = events.iter().filter(|it| it.id == SequenceId(id));
    of_id
        .filter_map(|it| match it.kind {
            EngineEventKind::Token { index } => Some((it.at.as_micros(), index)),
            _ => None,
        })
        .collect()
}

#[test]
fn a_step_costs_prefill_and_grows_with_the_batch() {
    let mut model = EngineModel::new(settings());
    model.submit(at(0), request(1, 50, 3)).unwrap();
    // Request 2 arrives during the first step, so it joins at the second.
    model.submit(at(100), request(2, 20, 1)).unwrap();
    let events = model.advance(at(100_000));
    // 50 * 10 + 1000 + 100, then 20 * 10 + 1000 + 2 * 100, then 1000 + 100.
    assert_eq!(token_times(&events, 1), [(1600, 0), (3000, 1), (4100, 2)]);
    assert_eq!(token_times(&events, 2), [(3000, 0)]);
    assert_eq!(model.next_event(), None);
}

#[test]
fn requests_join_first_come_first_served_and_the_queue_is_bounded() {
    let mut model = EngineModel::new(settings());
    for id in 1..=5 {
        let taken = model.submit(at(0), request(id, 1, 2));
        assert_eq!(taken, Ok(()), "request {id}");
        if id == 1 {
            // The first request leaves the queue when its step begins.
            assert_eq!(model.current_load().running, 1);
        }
        model.advance(at(0));
        if id == 4 {
            assert_eq!(model.submit(at(0), request(9, 1, 2)), Err(QueueFull));
            model.advance(at(1110));
        }
    }
    let events = model.advance(at(1_000_000));
    let finished: Vec<u64> = events
        .iter()
        .filter(|it| it.kind == EngineEventKind::Finished)
        .map(|it| it.id.0)
        .collect();
    assert_eq!(finished, [1, 2, 3, 4, 5]);
}

#[test]
fn when_advance_is_called_makes_no_difference() {
    let run = |stride: u64| {
        let mut model = EngineModel::new(settings());
        let mut events = Vec::new();
        for id in 0..4 {
            events.extend(model.advance(at(id * 700)));
            model.submit(at(id * 700), request(id, 30, 4)).unwrap();
        }
        let mut now = 2100;
        while model.next_event().is_some() {
            now += stride;
            events.extend(model.advance(at(now)));
        }
        events
    };
    assert_eq!(run(1), run(50_000));
}

#[test]
fn a_resumed_answer_continues_at_its_first_token() {
    let mut model = EngineModel::new(settings());
    let resumed = EngineRequest {
        first_token: 5,
        ..request(1, 10, 7)
    };
    model.submit(at(0), resumed).unwrap();
    let events = model.advance(at(100_000));
    // The five earlier tokens are prefilled together with the prompt.
    assert_eq!(token_times(&events, 1), [(1250, 5), (2350, 6)]);
    let nothing_left = EngineRequest {
        first_token: 7,
        ..request(2, 10, 7)
    };
    model.submit(at(100_000), nothing_left).unwrap();
    let kinds: Vec<_> = model
        .advance(at(200_000))
        .iter()
        .map(|it| it.kind)
        .collect();
    let started = EngineEventKind::Started { cached_tokens: 0 };
    assert_eq!(kinds, [started, EngineEventKind::Finished]);
}

#[test]
fn a_cancel_frees_the_slot_for_the_next() {
    let mut model = EngineModel::new(settings());
    for id in 1..=3 {
        model.submit(at(0), request(id, 1, 1000)).unwrap();
    }
    model.advance(at(5000));
    assert_eq!(model.current_load().waiting, 1);
    assert!(model.cancel(at(5000), SequenceId(1)));
    assert!(!model.cancel(at(5000), SequenceId(1)));
    let events = model.advance(at(8000));
    assert!(token_times(&events, 1).is_empty());
    assert!(!token_times(&events, 3).is_empty());
    assert!(model.cancel(at(8000), SequenceId(2)));
    assert!(model.cancel(at(8000), SequenceId(3)));
    model.advance(at(20_000));
    assert_eq!(model.next_event(), None);
}

#[test]
fn a_cached_prefix_needs_no_prefill() {
    let text = "x".repeat(2 * BLOCK_TOKENS * TOKEN_BYTES + 8);
    let prompt = PromptBlocks::new(&text);
    assert_eq!((prompt.tokens, prompt.blocks.len()), (34, 2));
    let mut model = EngineModel::new(settings());
    let cached_request = |id| EngineRequest {
        prompt: prompt.clone(),
        ..request(id, 0, 1)
    };
    model.submit(at(0), cached_request(1)).unwrap();
    model.submit(at(10_000), cached_request(2)).unwrap();
    let events = model.advance(at(100_000));
    assert_eq!(token_times(&events, 1), [(1440, 0)]);
    assert_eq!(token_times(&events, 2), [(11_120, 0)]);
    let changes = model.take_cache_changes();
    assert_eq!(changes, [(at(0), CacheChange::Stored(prompt.blocks))]);
}

#[test]
fn the_cache_is_bounded_and_drops_tails_of_old_prompts_first() {
    let mut cache = PrefixCache::new(4);
    cache.store(&[1, 2, 3]);
    cache.store(&[11]);
    // Updates the last use of 1 and 2, so that 3 is the least recently used.
    cache.store(&[1, 2]);
    let changes = cache.store(&[21, 22]);
    let stored = CacheChange::Stored(vec![21, 22]);
    assert_eq!(changes, [stored, CacheChange::Removed(vec![3, 11])]);
    assert_eq!(cache.len(), 4);
    assert_eq!(cache.cached_blocks(&[1, 2, 3]), 2);
    // Of a prompt longer than the cache, the first blocks are kept.
    cache.store(&[31, 32, 33, 34, 35]);
    assert_eq!(cache.cached_blocks(&[31, 32, 33, 34, 35]), 4);
}

#[test]
fn load_is_reported_as_it_was_one_lag_ago() {
    let mut model = EngineModel::new(settings());
    for id in 1..=3 {
        model.submit(at(10_000), request(id, 1, 3)).unwrap();
    }
    assert_eq!(model.reported_load(at(14_999)).running, 0);
    let report = model.reported_load(at(15_000));
    assert_eq!((report.running, report.waiting), (1, 2));
    assert_eq!(model.reported_load(at(900_000)).tokens, 9);
}

#[test]
fn a_slow_engine_takes_longer_for_each_step() {
    let mut model = EngineModel::new(settings());
    model.set_slowdown(3.0);
    model.submit(at(0), request(1, 50, 1)).unwrap();
    let events = model.advance(at(100_000));
    assert_eq!(token_times(&events, 1), [(4800, 0)]);
}

#[test]
fn cache_events_come_late_and_the_numbers_show_what_was_lost() {
    let options = JournalOptions {
        lag: Duration::from_micros(100),
        drop_fraction: 0.3,
        seed: 7,
    };
    let read = || {
        let mut journal = CacheJournal::new(options);
        for block in 0..100 {
            journal.publish(at(block), CacheChange::Stored(vec![block]));
        }
        let numbers = |now, after| -> Vec<u64> {
            let events = journal.read(at(now), after);
            events.iter().map(|(number, _)| *number).collect()
        };
        assert!(numbers(99, 0).is_empty());
        assert!(numbers(1000, 90).iter().all(|it| *it > 90));
        numbers(1000, 0)
    };
    let numbers = read();
    assert!((50..90).contains(&numbers.len()), "{}", numbers.len());
    assert_eq!(numbers, read());
}

#[test]
fn an_order_with_an_older_fence_is_rejected_unless_fencing_is_ignored() {
    let order = |role: &str| EngineOrder::ChangeRole { role: role.into() };
    let mut orders = OrderTracker::default();
    orders.apply(5, order("prefill")).unwrap();
    orders.apply(5, order("decode")).unwrap();
    let stale = orders.apply(4, order("both")).unwrap_err();
    assert_eq!((stale.highest, orders.role.as_str()), (5, "decode"));
    orders.ignores_fencing = true;
    orders.apply(4, order("both")).unwrap();
    assert_eq!((orders.highest, orders.role.as_str()), (5, "both"));
}

#[test]
fn each_token_depends_only_on_the_prompt_and_its_index() {
    assert_eq!(answer_token("hello", 0), "2cf24dba5fb0a30e");
    assert_eq!(answer_token("hello", 7), answer_token("hello", 7));
    let answer = |prompt| (1..40).map(|it| answer_token(prompt, it)).collect();
    let (first, second): (String, String) = (answer("hello"), answer("hullo"));
    assert_ne!(first, second);
}
