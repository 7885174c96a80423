//! When a daemon may answer a reader of a lot from its own copy.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    lots::{CopyState, ReaderPosition, RunnerVouch, knows_all_results},
};

/// What one reader was shown, others expect to see after so long.
const SETTLE: Duration = Duration::from_millis(1_000);

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

fn vouch(results: usize, heard_at: Timestamp) -> Option<RunnerVouch> {
    Some(RunnerVouch { results, heard_at })
}

fn reader(after: usize, asked_at: Timestamp) -> ReaderPosition {
    ReaderPosition { after, asked_at }
}

/// The daemon that runs a lot begins to write the last result, which takes effect at
/// once, and is lost before it has the answer. Until then it says that there is none,
/// and its last word is on its way for a while. Whenever somebody asks, nobody may be
/// told a second after the write that the result isn't there.
#[test]
fn nothing_is_denied_a_second_after_it_was_written() {
    let written = at(10_000);
    let now = written + SETTLE + Duration::from_millis(1);
    for spoken_after in (0..=400).step_by(20) {
        let spoken_at = written + Duration::from_millis(spoken_after);
        let speaks = knows_all_results(Some(written), spoken_at);
        for way in (0..=400).step_by(20) {
            let word = vouch(11, spoken_at + Duration::from_millis(way)).filter(|_| speaks);
            let copy = copy_of(11, written);
            let asked = reader(11, now);
            assert!(copy.is_doubtful(asked, word, now), "{spoken_after} {way}");
            assert!(!copy.proves_nothing_there(asked, None, now));
        }
    }
}

/// A customer waits for the next result of a lot that runs. As long as the daemon that
/// runs it says how many there are, waiting costs no call to the store.
#[test]
fn a_word_of_the_daemon_that_runs_a_lot_saves_the_look() {
    let copy = copy_of(3, at(0));
    let asked = reader(3, at(9_000));
    assert!(!copy.is_doubtful(asked, vouch(3, at(8_900)), at(9_000)));
    assert!(
        copy.is_doubtful(asked, vouch(4, at(8_900)), at(9_000)),
        "there is more"
    );
    assert!(
        copy.is_doubtful(asked, vouch(2, at(8_900)), at(9_000)),
        "an old word"
    );
    assert!(copy.is_doubtful(asked, None, at(9_000)), "nobody runs it");
    assert!(
        copy.is_doubtful(asked, vouch(3, at(8_000)), at(9_000)),
        "not heard any more"
    );
}

/// A customer read twelve results at one daemon and asks another one for the rest. Its
/// question alone proves that the copy there is behind, whoever vouches for it.
#[test]
fn a_reader_that_knows_more_has_the_store_asked() {
    let copy = copy_of(11, at(8_950));
    let asked = reader(12, at(9_000));
    assert!(copy.is_doubtful(asked, vouch(11, at(8_990)), at(9_000)));
    let vouched = vouch(11, at(9_600));
    assert!(
        !copy.proves_nothing_there(asked, vouched, at(9_600)),
        "nor by a word"
    );
    let after_the_look = copy_of(11, at(9_010));
    assert!(
        !after_the_look.is_doubtful(asked, vouch(11, at(8_990)), at(9_020)),
        "once"
    );
}

/// Results that are there are no less true for the copy's age. A customer isn't held
/// up, and the store isn't asked, for the sake of further ones.
#[test]
fn results_that_are_there_are_shown_without_a_look() {
    let copy = copy_of(3, at(5_000));
    assert!(!copy.is_doubtful(reader(0, at(9_000)), None, at(9_000)));
    let whole = CopyState {
        is_final: true,
        ..copy
    };
    assert!(!whole.is_doubtful(reader(3, at(99_000)), None, at(99_000)));
    assert!(whole.proves_nothing_there(reader(3, at(99_000)), None, at(99_000)));
}

/// The daemon that runs a lot says that it has three results, and shows two: its own copy
/// was dropped and read again while the third was written. However fresh that look is,
/// nobody may be told that there is no third one. The number is true in any case, since
/// results never go.
#[test]
fn a_copy_with_fewer_results_than_told_proves_nothing() {
    let now = at(9_000);
    let copy = copy_of(2, now);
    let asked = reader(2, now);
    assert!(copy.is_doubtful(asked, vouch(3, now), now));
    assert!(!copy.proves_nothing_there(asked, vouch(3, now), now));
    assert!(copy.proves_nothing_there(asked, vouch(2, now), now));
    let former = copy_of(3, now);
    assert!(
        former.proves_nothing_there(reader(3, now), vouch(2, now), now),
        "an old word"
    );
}
