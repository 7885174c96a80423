//! Which daemon a reader's daemon asks for a lot that no daemon reports.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, lots::RunnerMemory, usage::PeerId};

const START: Timestamp = Timestamp::from_micros(60_000_000);

fn at(millis: u64) -> Timestamp {
    START + Duration::from_millis(millis)
}

fn runner(number: usize) -> PeerId {
    PeerId::of_name(&format!("lots-{number}"))
}

/// A daemon that is gone costs its time-out once. If it were asked with every read, each
/// reader would wait for it before the store is read.
#[test]
fn a_silent_runner_is_not_asked_again_for_some_seconds() {
    let mut memory = RunnerMemory::default();
    memory.note_ran("lot-1", runner(1), at(0));
    assert_eq!(memory.runner_to_ask("lot-1", at(60_000)), Some(runner(1)));
    memory.note_silent("lot-1", at(60_000));
    assert_eq!(memory.runner_to_ask("lot-1", at(64_000)), None);
    assert_eq!(memory.runner_to_ask("lot-1", at(66_000)), Some(runner(1)));
}

/// A daemon that has evicted its copy of a finished lot would be asked in vain for ever.
#[test]
fn a_runner_without_its_copy_is_forgotten() {
    let mut memory = RunnerMemory::default();
    memory.note_ran("lot-1", runner(1), at(0));
    memory.note_refused("lot-1");
    assert_eq!(memory.runner_to_ask("lot-1", at(10)), None);
}

/// The daemon that a lot is assigned to has no copy before it has claimed the lot. Readers
/// that wait for longer than a claim takes, or for a daemon that doesn't answer, would get
/// results late that another daemon has written.
#[test]
fn an_assigned_runner_is_awaited_for_the_duration_of_a_claim() {
    let mut memory = RunnerMemory::default();
    memory.note_assigned("lot-1", runner(1), at(0));
    memory.note_assigned("lot-1", runner(2), at(300));
    memory.note_refused("lot-1");
    assert!(memory.is_about_to_claim("lot-1", at(350)));
    assert_eq!(memory.runner_to_ask("lot-1", at(350)), Some(runner(1)));
    assert!(!memory.is_about_to_claim("lot-1", at(450)));
    assert_eq!(memory.runner_to_ask("lot-1", at(3_000)), None);
    memory.note_assigned("lot-2", runner(1), at(0));
    memory.note_silent("lot-2", at(50));
    assert!(!memory.is_about_to_claim("lot-2", at(100)));
    memory.note_ran("lot-3", runner(1), at(0));
    assert!(!memory.is_about_to_claim("lot-3", at(100)));
}

/// A lot that is handed over is assigned to a second daemon, while the first assignment may
/// still be repeated. A daemon that asked the first runner for good would read the store with
/// each read of the lot.
#[test]
fn the_successor_of_a_runner_is_asked() {
    let mut memory = RunnerMemory::default();
    memory.note_assigned("lot-1", runner(1), at(0));
    memory.note_assigned("lot-1", runner(2), at(6_000));
    memory.note_assigned("lot-1", runner(1), at(6_100));
    assert_eq!(memory.runner_to_ask("lot-1", at(6_200)), Some(runner(2)));
    memory.note_ran("lot-1", runner(2), at(20_000));
    memory.note_assigned("lot-1", runner(1), at(30_000));
    assert_eq!(memory.runner_to_ask("lot-1", at(30_100)), Some(runner(2)));
}

/// Lots are never reported as deleted, so that a memory without a bound would grow for as
/// long as the process lives. The lots that were noted last are kept.
#[test]
fn the_number_of_remembered_lots_is_bounded() {
    let mut memory = RunnerMemory::default();
    let lots: Vec<String> = (0..5_000).map(|it| format!("lot-{it}")).collect();
    for (index, lot) in lots.iter().enumerate() {
        // Several lots have the same time.
        memory.note_ran(lot, runner(1), at(index as u64 / 500));
    }
    let is_known = |lot: &&String| memory.runner_to_ask(lot, at(100)).is_some();
    assert!(lots.iter().filter(is_known).count() <= 1_024);
    assert!(lots[4_500..].iter().all(|it| is_known(&it)));
}
