//! Draws which faults occur at which time.

use std::time::Duration;

use comfreyramp_standins::link::LinkMode;
use rand::{Rng, rngs::StdRng};

use crate::{DAEMONS, ENTRY_DAEMONS, FAULT_DURATION};

/// The number of the fleet's links: to three servers, to the store from four daemons, and
/// from the callers of two.
pub(crate) const LINKS: usize = 9;
/// The index of each daemon's link to the store, by the daemon's index in the fleet.
pub(crate) const STORE_LINKS: [usize; DAEMONS] = [3, 5, 7, 8];

/// A fault, or the end of one.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Fault {
    RejectStoreCalls(usize),
    AcceptStoreCalls(usize),
    LoseAnswers(usize),
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    /// Applies a fault to the daemon once a write of it took effect, before it has the
    /// answer.
    AtWrite(usize, WriteFault),
    ReleaseAnswers(usize),
    BreakServer(usize),
    SetServerFull(usize),
    SetServerFree(usize),
    /// No engine has a free slot.
    FillEngines,
    FreeEngines,
    ForgetHistory,
    ChangeSettings,
    SilenceStore,
    RestoreStore,
    ImpairLink(usize, LinkMode),
    ResetLink(usize),
    RestoreLink(usize),
}

/// A fault of a daemon that waits for the answer to a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteFault {
    /// The daemon is killed, and restarted after this time.
    Killed(Duration),
    /// The daemon is paused for this time, and receives its answer some time after.
    Paused(Duration),
}

/// A fault, and when it is due after the start of the faults.
pub(crate) type PlannedFault = (Duration, Fault);

/// Draws faults with their ends, ordered by time: single ones, some right after a write,
/// and sometimes a series of kills and of overlapping pauses.
pub(crate) fn draw_faults(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    for _ in 0..random.random_range(3..14) {
        faults.extend(single_fault(random));
    }
    for _ in 0..random.random_range(3..7) {
        faults.push(fault_at_write(random));
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

/// Draws a fault of any kind, and its end.
fn single_fault(random: &mut StdRng) -> Vec<PlannedFault> {
    let at = draw_time(random, 0.8);
    let end = at + millis(random, 200, 2_000);
    let (daemon, server) = (random.random_range(0..DAEMONS), random.random_range(0..2));
    let link = random.random_range(0..LINKS);
    let (fault, end_fault) = match random.random_range(0..11) {
        0 => (
            Fault::RejectStoreCalls(daemon),
            Some(Fault::AcceptStoreCalls(daemon)),
        ),
        1 => (Fault::LoseAnswers(daemon), None),
        2 => (Fault::Pause(daemon), Some(Fault::Resume(daemon))),
        3 => (Fault::Kill(daemon), Some(Fault::Restart(daemon))),
        4 => (Fault::BreakServer(server), None),
        5 => (
            Fault::SetServerFull(server),
            Some(Fault::SetServerFree(server)),
        ),
        6 => (Fault::ForgetHistory, None),
        7 => (Fault::ResetLink(link), None),
        _ => {
            let fault = Fault::ImpairLink(link, link_mode(random));
            (fault, Some(Fault::RestoreLink(link)))
        }
    };
    let end_fault = end_fault.map(|it| (end, it));
    [(at, fault)].into_iter().chain(end_fault).collect()
}

/// Draws a fault right after a write, mostly of a daemon that runs lots.
fn fault_at_write(random: &mut StdRng) -> PlannedFault {
    let daemon = match random.random_bool(0.8) {
        true => lot_daemon(random),
        false => random.random_range(0..ENTRY_DAEMONS),
    };
    let fault = match random.random_range(0..4) {
        0 => WriteFault::Paused(millis(random, 300, 2_000)),
        1 => WriteFault::Killed(millis(random, 300, 2_500)),
        _ => WriteFault::Killed(Duration::ZERO),
    };
    (draw_time(random, 0.9), Fault::AtWrite(daemon, fault))
}

/// Draws a mode of an impaired link.
fn link_mode(random: &mut StdRng) -> LinkMode {
    match random.random_range(0..4) {
        0 => LinkMode::Delayed(millis(random, 50, 300)),
        1 => LinkMode::Silent,
        2 => LinkMode::CutToServer,
        _ => LinkMode::CutToClient,
    }
}

/// Draws kills of daemons that run lots, one after the other, each with an early restart.
fn kills_in_series(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let mut at = draw_time(random, 0.3);
    for _ in 0..4 {
        let daemon = lot_daemon(random);
        faults.push((at, Fault::Kill(daemon)));
        faults.push((at + millis(random, 0, 600), Fault::Restart(daemon)));
        at += millis(random, 1_000, 2_000);
    }
    faults
}

/// Draws pauses of several daemons that overlap in time.
fn overlapping_pauses(random: &mut StdRng) -> Vec<PlannedFault> {
    let mut faults = Vec::new();
    let start = draw_time(random, 0.7);
    for _ in 0..3 {
        let daemon = random.random_range(0..DAEMONS);
        let at = start + millis(random, 0, 700);
        faults.push((at, Fault::Pause(daemon)));
        faults.push((at + millis(random, 300, 1_500), Fault::Resume(daemon)));
    }
    faults
}

fn lot_daemon(random: &mut StdRng) -> usize {
    random.random_range(ENTRY_DAEMONS..DAEMONS)
}

/// Draws a time in the first `fraction` of the duration of faults.
fn draw_time(random: &mut StdRng, fraction: f64) -> Duration {
    FAULT_DURATION.mul_f64(random.random_range(0.0..fraction))
}

fn millis(random: &mut StdRng, min: u64, max: u64) -> Duration {
    Duration::from_millis(random.random_range(min..max))
}
