//! Tests when a daemon may answer a reader of a lot from its own copy.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    lots::{CopyState, ReaderPosition, RunnerConfirmation, knows_all_results},
};

/// A result that one reader has got must be available to all readers after this time.
const MAX_VISIBILITY_DELAY: Duration = Duration::from_millis(1_000);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_micros(millis * 1_000)
}

fn copy_of(results: usize, proved_at: Timestamp) -> CopyState {
    CopyState {
        results,
        is_final: false,
        proved_at,
    }
}

fn runner_report(results: usize, last_received_at: Timestamp) -> Option<RunnerConfirmation> {
    Some(RunnerConfirmation {
        results,
        last_received_at,
    })
}

fn reader(after: usize, requested_at: Timestamp) -> ReaderPosition {
    ReaderPosition {
        after,
        requested_at,
    }
}

/// The daemon that runs a lot writes the last result and is lost before it receives the
/// store's answer. Up to then it reports that there is none, and its last report is
/// delayed. A second after the write, no reader may get the answer that the result
/// doesn't exist.
#[test]
fn no_result_is_denied_a_second_after_it_was_written() {
    let written = at(10_000);
    let now = written + MAX_VISIBILITY_DELAY + Duration::from_millis(1);
    for reported_after in (0..=400).step_by(20) {
        let reported_at = written + Duration::from_millis(reported_after);
        let is_reported = knows_all_results(Some(written), reported_at);
        for delay in (0..=400).step_by(20) {
            let report = runner_report(11, reported_at + Duration::from_millis(delay))
                .filter(|_| is_reported);
            let copy = copy_of(11, written);
            let asked = reader(11, now);
            assert!(
                copy.needs_refresh(asked, report, now),
                "{reported_after} {delay}"
            );
            assert!(!copy.proves_no_results(asked, None, now));
        }
    }
}

/// A customer waits for the next result of a running lot. While the daemon that runs
/// the lot reports the number of results, waiting requires no read of the store.
#[test]
fn a_report_of_the_runner_saves_a_read_of_the_store() {
    let copy = copy_of(3, at(0));
    let asked = reader(3, at(9_000));
    assert!(!copy.needs_refresh(asked, runner_report(3, at(8_900)), at(9_000)));
    assert!(
        copy.needs_refresh(asked, runner_report(4, at(8_900)), at(9_000)),
        "the runner has more results"
    );
    assert!(
        copy.needs_refresh(asked, runner_report(2, at(8_900)), at(9_000)),
        "an outdated report"
    );
    assert!(
        copy.needs_refresh(asked, None, at(9_000)),
        "no daemon runs the lot"
    );
    assert!(
        copy.needs_refresh(asked, runner_report(3, at(8_000)), at(9_000)),
        "the last report is too old"
    );
}

/// A customer read twelve results at one daemon and requests the rest from another one.
/// The request itself proves that this daemon's copy is outdated, whatever the runner
/// reports.
#[test]
fn a_reader_that_knows_more_causes_a_read_of_the_store() {
    let copy = copy_of(11, at(8_950));
    let asked = reader(12, at(9_000));
    assert!(copy.needs_refresh(asked, runner_report(11, at(8_990)), at(9_000)));
    let report = runner_report(11, at(9_600));
    assert!(
        !copy.proves_no_results(asked, report, at(9_600)),
        "not by a report either"
    );
    let after_the_read = copy_of(11, at(9_010));
    assert!(
        !after_the_read.needs_refresh(asked, runner_report(11, at(8_990)), at(9_020)),
        "one read is sufficient"
    );
}

/// Results in the copy are valid regardless of its age. A customer that requests them
/// isn't delayed, and the store isn't read, to look for further results.
#[test]
fn known_results_are_sent_without_a_read_of_the_store() {
    let copy = copy_of(3, at(5_000));
    assert!(!copy.needs_refresh(reader(0, at(9_000)), None, at(9_000)));
    let whole = CopyState {
        is_final: true,
        ..copy
    };
    assert!(!whole.needs_refresh(reader(3, at(99_000)), None, at(99_000)));
    assert!(whole.proves_no_results(reader(3, at(99_000)), None, at(99_000)));
}

/// The daemon that runs a lot reports three results but sends two: its copy was dropped
/// and read again while the third result was written. However recent that read is, no
/// reader may get the answer that there is no third result. The reported number is
/// always valid, because results are never removed.
#[test]
fn a_copy_with_fewer_results_than_reported_proves_nothing() {
    let now = at(9_000);
    let copy = copy_of(2, now);
    let asked = reader(2, now);
    assert!(copy.needs_refresh(asked, runner_report(3, now), now));
    assert!(!copy.proves_no_results(asked, runner_report(3, now), now));
    assert!(copy.proves_no_results(asked, runner_report(2, now), now));
    let former = copy_of(3, now);
    assert!(
        former.proves_no_results(reader(3, now), runner_report(2, now), now),
        "an outdated report"
    );
}
