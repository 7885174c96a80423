//! Which faults come when.

use std::time::Duration;

use comfreyramp_standins::link::LinkMode;
use rand::{Rng, rngs::StdRng};

use crate::{DAEMONS, ENTRIES, TROUBLE};

/// Links of the fleet: three servers, the store for four daemons, callers of two.
pub(crate) const LINKS: usize = 9;
/// The place of a daemon's link to the store, by its place in the fleet.
pub(crate) const STORE_LINKS: [usize; DAEMONS] = [3, 5, 7, 8];

/// A fault, and what ends it.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    TurnAway(usize),
    Serve(usize),
    LoseAnswers(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    /// Something happens to the daemon once a write of it took effect, before it has
    /// the answer.
    AtWrite(usize, WriteFault),
    AnswerWrites(usize),
    BreakServer(usize),
    FillServer(usize),
    EmptyServer(usize),
    ForgetHistory,
    ChangeSettings,
    SilenceStore,
    AnswerAgain,
    HarmLink(usize, LinkMode),
    ResetLink(usize),
    HealLink(usize),
}

/// What happens to a daemon that waits for the answer to a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteFault {
    /// It is lost, and back after this span.
    Lost(Duration),
    /// It stands still for this span, and has its answer some time after.
    Paused(Duration),
}

/// A fault and its moment, from the begin of the trouble on.
pub(crate) type PlannedFault = (Duration, Fault);

/// Draws faults with their ends, by time: single ones, some right after a write, and
/// at times a series of kills and pauses that overlap.
pub(crate) fn timeline(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for _ in 0..random.random_range(3..14) {
        faults.extend(single(random));
    }
    for _ in 0..random.random_range(3..7) {
        faults.push(at_write(random));
    }
    if random.random_bool(0.3) {
        faults.extend(kills_in_series(random));
    }
    if random.random_bool(0.3) {
        faults.extend(overlapping_pauses(random));
    }
    faults.sort_by_key(|it| it.0);
    faults
}

/// A fault of any kind, and its end.
fn single(random: &mut StdRng) -> Vec<PlannedFault> {
    let at = moment(random, 0.8);
    let end = at + millis(random, 200, 2_000);
    let (node, server) = (random.random_range(0..DAEMONS), random.random_range(0..2));
    let link = random.random_range(0..LINKS);
    let (begin, after) = match random.random_range(0..11) {
        0 => (Fault::TurnAway(node), Some(Fault::Serve(node))),
        1 => (Fault::LoseAnswers(node), None),
        2 => (Fault::Pause(node), Some(Fault::Resume(node))),
        3 => (Fault::Kill(node), Some(Fault::Restart(node))),
        4 => (Fault::BreakServer(server), None),
        5 => (Fault::FillServer(server), Some(Fault::EmptyServer(server))),
        6 => (Fault::ForgetHistory, None),
        7 => (Fault::ResetLink(link), None),
        _ => {
            let harm = Fault::HarmLink(link, harm(random));
            (harm, Some(Fault::HealLink(link)))
        }
    };
    let after = after.map(|it| (end, it));
    [(at, begin)].into_iter().chain(after).collect()
}

/// A fault right after a write, mostly of a daemon that runs lots.
fn at_write(random: &mut StdRng) -> PlannedFault {
    let node = match random.random_bool(0.8) {
        true => lot_daemon(random),
        false => random.random_range(0..ENTRIES),
    };
    let fault = match random.random_range(0..4) {
        0 => WriteFault::Paused(millis(random, 300, 2_000)),
        1 => WriteFault::Lost(millis(random, 300, 2_500)),
        _ => WriteFault::Lost(Duration::ZERO),
    };
    (moment(random, 0.9), Fault::AtWrite(node, fault))
}

/// Draws how a link is harmed.
fn harm(random: &mut StdRng) -> LinkMode {
    match random.random_range(0..4) {
        0 => LinkMode::Delayed(millis(random, 50, 300)),
        1 => LinkMode::Silent,
        2 => LinkMode::CutToServer,
        _ => LinkMode::CutToClient,
    }
}

/// Daemons that run lots are killed one after the other, and soon back.
fn kills_in_series(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = moment(random, 0.3);
    for _ in 0..4 {
        let node = lot_daemon(random);
        faults.push((at, Fault::Kill(node)));
        faults.push((at + millis(random, 0, 600), Fault::Restart(node)));
        at += millis(random, 1_000, 2_000);
    }
    faults
}

/// Several daemons stand still, each for a while, at the same time.
fn overlapping_pauses(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let begin = moment(random, 0.7);
    for _ in 0..3 {
        let node = random.random_range(0..DAEMONS);
        let at = begin + millis(random, 0, 700);
        faults.push((at, Fault::Pause(node)));
        faults.push((at + millis(random, 300, 1_500), Fault::Resume(node)));
    }
    faults
}

fn lot_daemon(random: &mut StdRng) -> usize {
    random.random_range(ENTRIES..DAEMONS)
}

/// A moment in the first part of the trouble.
fn moment(random: &mut StdRng, part: f64) -> Duration {
    TROUBLE.mul_f64(random.random_range(0.0..part))
}

fn millis(random: &mut StdRng, least: u64, most: u64) -> Duration {
    Duration::from_millis(random.random_range(least..most))
}
