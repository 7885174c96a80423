//! When items are given up at which servers fail, also where daemons are lost meanwhile.

use std::time::Duration;

use comfreyramp_policy::lots::{FailureCount, ItemFailureKind};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// How often an item may run that can never succeed, and for each attempt of its route one at
/// which servers fail.
const MAX_IMPOSSIBLE_RUNS: u32 = 3;
const MAX_FAILED_RUNS_PER_ATTEMPT: u32 = 3;

/// Runs an item that fails each time until it is given up. Each of the first `losses` answers
/// that `is_lost` selects is lost together with its daemon. Returns the number of runs, and of
/// the answers that are known at the end.
fn runs(
    attempts: u32,
    losses: u32,
    mut kind: impl FnMut() -> ItemFailureKind,
    mut is_lost: impl FnMut() -> bool,
) -> (u32, u32) {
    let (mut count, mut lost, mut runs) = (FailureCount::default(), 0, 0);
    while !count.is_final(attempts, lost) {
        runs += 1;
        let kind = kind();
        match lost < losses && is_lost() {
            true => lost += 1,
            false => _ = count.record(kind),
        }
    }
    (runs, runs - lost)
}

/// Guards against an item that runs more often the more daemons are lost while it fails.
#[test]
fn lost_answers_do_not_add_runs() {
    let mut random = StdRng::seed_from_u64(66);
    for _ in 0..2_000 {
        let attempts = random.random_range(1..5);
        let losses = random.random_range(0..3);
        let mut luck = StdRng::seed_from_u64(random.random());
        let impossible = || ItemFailureKind::UndelimitedImpossible;
        let (all, known) = runs(attempts, losses, impossible, || luck.random_bool(0.5));
        assert!(all <= MAX_IMPOSSIBLE_RUNS, "{all} runs, {losses} losses");
        assert!(known >= 1);
        let is_whole = random.random_bool(0.3);
        let failed = || match is_whole {
            true => ItemFailureKind::Failed,
            false => ItemFailureKind::UndelimitedFailed,
        };
        let (all, known) = runs(attempts, losses, failed, || luck.random_bool(0.5));
        let allowed = attempts * MAX_FAILED_RUNS_PER_ATTEMPT;
        assert!(all <= allowed, "{all} runs, {losses} losses");
        assert!(known >= attempts, "{known} of {attempts} known");
    }
}

/// Guards against an item that is given up since servers of each kind failed at it a few times,
/// or runs beyond what its route permits since they take turns.
#[test]
fn failures_of_both_kinds_add_up_to_what_is_permitted() {
    let mut random = StdRng::seed_from_u64(67);
    for _ in 0..2_000 {
        let attempts = random.random_range(1..5);
        let mut luck = StdRng::seed_from_u64(random.random());
        let kind = || match luck.random_bool(0.5) {
            true => ItemFailureKind::Failed,
            false => ItemFailureKind::UndelimitedFailed,
        };
        let (all, known) = runs(attempts, 0, kind, || false);
        assert!(all <= attempts * MAX_FAILED_RUNS_PER_ATTEMPT);
        assert!(known >= attempts);
    }
}

/// Guards against an item that is given up for the losses of its daemons alone.
#[test]
fn lost_daemons_are_no_failures() {
    let count = FailureCount::default();
    assert!(!count.is_final(1, 100));
    let mut cut = FailureCount::default();
    cut.record(ItemFailureKind::CutOff);
    assert!(!cut.is_final(1, 100));
}

/// Guards against an item that runs at once at each daemon that takes its lot over, although
/// it may be the item that fails.
#[test]
fn pauses_go_on_after_a_takeover() {
    let mut count = FailureCount::default();
    assert_eq!(count.pause_after_takeover(), Duration::ZERO);
    let pauses = [1, 8, 64].map(Duration::from_secs);
    for pause in pauses {
        assert_eq!(count.record(ItemFailureKind::CutOff), pause);
        assert_eq!(count.pause_after_takeover(), pause);
    }
}

/// Guards against counts that are lost where builds before and after this one take lots over
/// from each other.
#[test]
fn counts_of_other_builds_are_read() {
    let before: FailureCount = serde_json::from_str(r#"{"faults":2}"#).unwrap_or_default();
    assert_eq!(before.faults, 2);
    let later = r#"{"faults":1,"undelimited_failed":3,"added_later":9}"#;
    let later: FailureCount = serde_json::from_str(later).unwrap_or_default();
    assert_eq!((later.faults, later.undelimited_failed), (1, 3));
}
