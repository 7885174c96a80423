//! Simulates on virtual time which daemons run lots: during a burst of lots, and after
//! a restart of all daemons.

use comfreyramp_policy::{
    lots::{RunnerLoad, choose_handover_target, choose_runner, home_daemon},
    usage::PeerId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const RUNNERS: usize = 14;
const STEP_MS: u64 = 50;
/// The interval at which daemons report their loads.
const REPORT_INTERVAL_MS: u64 = 750;
/// Lots of about ten items: fifteen a second, for three seconds.
const BURST_MS: u64 = 3_000;
const LOTS_PER_SEC: f64 = 15.0;
const ITEM_MS: u64 = 2_300;
/// The number of items that a daemon finds slots for.
const SLOTS: usize = 18;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Choice {
    ByHash,
    LessOfTwo,
    Least,
}

struct RunnerReplay {
    /// The lots that wait at each daemon, as their numbers of items.
    waiting: Vec<Vec<u32>>,
    /// The end time of each running item.
    running: Vec<Vec<u64>>,
    reported: Vec<u32>,
    random: StdRng,
}

impl RunnerReplay {
    fn new(seed: u64) -> Self {
        RunnerReplay {
            waiting: vec![Vec::new(); RUNNERS],
            running: vec![Vec::new(); RUNNERS],
            reported: vec![0; RUNNERS],
            random: StdRng::seed_from_u64(seed),
        }
    }

    fn items(&self, runner: usize) -> u32 {
        self.waiting[runner].iter().sum::<u32>() + self.running[runner].len() as u32
    }

    fn loads(&self, own: Option<usize>) -> Vec<RunnerLoad> {
        let others = (0..RUNNERS).filter(|it| Some(*it) != own);
        others
            .map(|it| RunnerLoad {
                runner: PeerId(it as u64),
                items: self.reported[it],
            })
            .collect()
    }

    fn choose(&mut self, choice: Choice, lot: usize) -> usize {
        let loads = self.loads(None);
        let chosen = match choice {
            Choice::ByHash => {
                let names: Vec<String> = (0..RUNNERS).map(|it| format!("lots-{it}")).collect();
                let names: Vec<&str> = names.iter().map(String::as_str).collect();
                let home = home_daemon(&format!("lot-{lot}"), &names);
                return names.iter().position(|it| Some(*it) == home).unwrap_or(0);
            }
            Choice::LessOfTwo => choose_runner(&loads, &mut self.random),
            Choice::Least => loads.iter().min_by_key(|it| it.items).map(|it| it.runner),
        };
        chosen.map_or(0, |it| it.0 as usize)
    }

    fn run_items(&mut self, now: u64) {
        for runner in 0..RUNNERS {
            self.running[runner].retain(|it| *it > now);
            while self.running[runner].len() < SLOTS {
                let Some(lot) = self.waiting[runner].first_mut() else {
                    break;
                };
                *lot -= 1;
                if *lot == 0 {
                    self.waiting[runner].remove(0);
                }
                self.running[runner].push(now + ITEM_MS);
            }
        }
    }

    fn hand_over(&mut self, runner: usize) {
        let own = self.items(runner);
        let Some(&lot) = self.waiting[runner].last() else {
            return;
        };
        if let Some(successor) = choose_handover_target(own, lot, &self.loads(Some(runner))) {
            self.waiting[runner].pop();
            self.waiting[successor.0 as usize].push(lot);
        }
    }

    /// Runs until nothing is left, and returns that time.
    fn finish(&mut self, begin: u64, allows_handover: bool) -> u64 {
        let mut now = begin;
        while (0..RUNNERS).any(|it| self.items(it) > 0) {
            now += STEP_MS;
            self.report_loads(now);
            self.run_items(now);
            if allows_handover && now.is_multiple_of(250) {
                for runner in 0..RUNNERS {
                    self.hand_over(runner);
                }
            }
        }
        now
    }

    fn report_loads(&mut self, now: u64) {
        for runner in 0..RUNNERS {
            // The daemons don't report at the same time.
            if (now + runner as u64 * STEP_MS).is_multiple_of(REPORT_INTERVAL_MS) {
                self.reported[runner] = self.items(runner);
            }
        }
    }
}

/// Returns when the last item of a burst is done.
fn burst(choice: Choice, seed: u64) -> u64 {
    let mut replay = RunnerReplay::new(seed);
    let mut lots = seed as usize * 1_000;
    for now in (0..BURST_MS).step_by(STEP_MS as usize) {
        replay.report_loads(now);
        if replay
            .random
            .random_bool(LOTS_PER_SEC * STEP_MS as f64 / 1_000.0)
        {
            let runner = replay.choose(choice, lots);
            let items = replay.random.random_range(6..15);
            replay.waiting[runner].push(items);
            lots += 1;
        }
        replay.run_items(now);
    }
    replay.finish(BURST_MS, false)
}

/// A burst of lots goes to a few daemons, whose customers wait while other daemons are
/// idle. That happens if the daemon is chosen by a hash, or as the one that was idle in
/// its last report.
#[test]
fn a_burst_of_lots_is_spread() {
    let mean = |choice| (1..=20).map(|it| burst(choice, it)).sum::<u64>() / 20;
    let (by_hash, of_two, least) = (
        mean(Choice::ByHash),
        mean(Choice::LessOfTwo),
        mean(Choice::Least),
    );
    eprintln!("done after {by_hash} ms by hash, {of_two} by less of two, {least} by least");
    assert!(of_two < by_hash && of_two < least);
}

/// All daemons were lost, and the first one that is back claims every lot before it
/// receives reports of the others. All customers would wait for this daemon.
#[test]
fn lots_that_one_daemon_claimed_after_a_restart_are_handed_over() {
    let alone = |allows_handover| {
        let mut replay = RunnerReplay::new(1);
        replay.waiting[0] = vec![12; 20];
        replay.finish(0, allows_handover)
    };
    let (kept, handed_over) = (alone(false), alone(true));
    eprintln!("done after {kept} ms, {handed_over} ms with handover");
    assert!(handed_over * 3 <= kept, "{handed_over} of {kept} ms");
}

/// Daemons with similar loads could hand a lot back and forth, and each handover costs
/// three calls to the store.
#[test]
fn a_lot_is_not_handed_back_and_forth() {
    let load = |items| {
        [RunnerLoad {
            runner: PeerId(1),
            items,
        }]
    };
    for own in 0..200 {
        for other in 0..200 {
            for moved in 1..30_u32.min(own + 1) {
                if choose_handover_target(own, moved, &load(other)).is_some() {
                    let back = choose_handover_target(other + moved, moved, &load(own - moved));
                    assert_eq!(back, None, "{own} and {other}, {moved} moved");
                }
            }
        }
    }
}
