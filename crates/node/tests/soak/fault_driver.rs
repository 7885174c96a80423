//! Applies planned faults to the fleet.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_standins::link::LinkMode;

use crate::{
    DAEMONS, SoakContext,
    fault_plan::{Fault, LINKS, PlannedFault, WriteFault},
    fleet::{Fleet, KEY},
    harm_log::ActiveFault,
    settings_changes::key_of_change,
};

/// How often the driver looks for faults that are due.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// An armed fault is dropped if its daemon writes nothing of a lot within this time.
const WRITE_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A daemon that was paused at a write receives the store's answer this long after it
/// resumes.
const ANSWER_DELAY: Duration = Duration::from_millis(1_000);
/// The prefix of the keys of lots, their results and their ends.
const LOT_DATA: &str = "lots/data/";

/// A fault that is applied to a daemon at its next write.
struct ArmedFault {
    daemon: usize,
    fault: WriteFault,
    deadline: Instant,
}

/// Applies planned faults to a fleet and records when each was active.
pub(crate) struct FaultDriver {
    fleet: Fleet,
    context: Arc<SoakContext>,
    start: Instant,
    planned: VecDeque<PlannedFault>,
    armed: Vec<ArmedFault>,
    is_up: [bool; DAEMONS],
}

impl FaultDriver {
    pub(crate) fn new(fleet: Fleet, context: &Arc<SoakContext>, faults: Vec<PlannedFault>) -> Self {
        FaultDriver {
            fleet,
            context: context.clone(),
            start: Instant::now(),
            planned: faults.into(),
            armed: Vec::new(),
            is_up: [true; DAEMONS],
        }
    }

    /// Applies each planned fault at its time, and finally ends all faults.
    pub(crate) async fn run(mut self, duration: Duration) -> Fleet {
        self.start = Instant::now();
        while self.start.elapsed() < duration || !self.planned.is_empty() || !self.armed.is_empty()
        {
            let elapsed = self.start.elapsed();
            while self.planned.front().is_some_and(|it| it.0 <= elapsed) {
                if let Some((_, fault)) = self.planned.pop_front() {
                    self.apply(fault);
                }
            }
            self.apply_armed_faults();
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        for daemon in 0..DAEMONS {
            self.apply(Fault::Resume(daemon));
            self.apply(Fault::Restart(daemon));
        }
        self.fleet
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::RejectStoreCalls(daemon) => self.set_store_rejecting(daemon, true),
            Fault::AcceptStoreCalls(daemon) => self.set_store_rejecting(daemon, false),
            Fault::LoseAnswers(daemon) => self.fleet.daemons[daemon]
                .store_endpoint
                .faults
                .lose_answers(2),
            Fault::Pause(daemon) => self.pause(daemon),
            Fault::Resume(daemon) => self.resume(daemon),
            Fault::Kill(daemon) => self.kill(daemon),
            Fault::Restart(daemon) => self.restart(daemon),
            Fault::AtWrite(daemon, fault) => self.arm(daemon, fault),
            Fault::ReleaseAnswers(daemon) => self.hold_answers(daemon, false),
            Fault::BreakServer(server) => self.fleet.servers[server].cut_next_stream(3),
            Fault::SetServerFull(server) => self.fleet.servers[server].set_full(true),
            Fault::SetServerFree(server) => self.fleet.servers[server].set_full(false),
            Fault::FillEngines => self.set_engines_full(true),
            Fault::FreeEngines => self.set_engines_full(false),
            Fault::ForgetHistory => self.fleet.store.drop_history(),
            Fault::ChangeSettings => self.change_settings(),
            Fault::SilenceStore => self.set_store_silent(true),
            Fault::RestoreStore => self.set_store_silent(false),
            Fault::ImpairLink(link, mode) => self.set_link_mode(link, mode),
            Fault::ResetLink(link) => self.fleet.links[link].faults.reset(),
            Fault::RestoreLink(link) => self.set_link_mode(link, LinkMode::Open),
        }
    }

    fn set_store_rejecting(&self, daemon: usize, is_on: bool) {
        self.fleet.daemons[daemon]
            .store_endpoint
            .faults
            .set_rejecting(is_on);
        self.record(ActiveFault::StoreRejects(daemon), is_on);
    }

    fn set_engines_full(&self, is_full: bool) {
        for engine in &self.fleet.servers[..2] {
            engine.set_full(is_full);
        }
        self.context.engines.set_full(is_full);
    }

    /// Withdraws the key of the previous change, and adds another one.
    fn change_settings(&mut self) {
        let change = self.context.change_times().len();
        let key = key_of_change(change);
        self.fleet.put_settings(&[KEY, &key], 1_000.0);
        self.context.change_times().push(Instant::now());
    }

    fn set_store_silent(&self, is_on: bool) {
        for daemon in &self.fleet.daemons {
            daemon.store_endpoint.faults.set_silent(is_on);
        }
        self.record(ActiveFault::StoreSilent, is_on);
    }

    fn pause(&self, daemon: usize) {
        if self.is_up[daemon] {
            self.record(ActiveFault::Paused(daemon), true);
            self.fleet.pause(daemon);
        }
    }

    fn resume(&self, daemon: usize) {
        if self.is_up[daemon] {
            self.fleet.resume(daemon);
            self.record(ActiveFault::Paused(daemon), false);
        }
    }

    fn kill(&mut self, daemon: usize) {
        if self.is_up[daemon] {
            self.resume(daemon);
            self.fleet.kill(daemon);
            self.is_up[daemon] = false;
            self.record(ActiveFault::Down(daemon), true);
        }
    }

    fn restart(&mut self, daemon: usize) {
        if !self.is_up[daemon] {
            self.fleet.restart(daemon);
            self.is_up[daemon] = true;
            self.record(ActiveFault::Down(daemon), false);
        }
    }

    fn set_link_mode(&self, link: usize, mode: LinkMode) {
        debug_assert!(link < LINKS);
        self.fleet.links[link].faults.set_mode(mode);
        // A delayed link still delivers everything.
        let is_cut = !matches!(mode, LinkMode::Open | LinkMode::Delayed(_));
        self.record(ActiveFault::LinkCut(link), is_cut);
    }

    fn record(&self, fault: ActiveFault, is_on: bool) {
        let now = Instant::now();
        match is_on {
            true => self.context.fault_log().begin(fault, now),
            false => self.context.fault_log().end(fault, now),
        }
    }

    fn hold_answers(&self, daemon: usize, is_on: bool) {
        self.fleet.daemons[daemon]
            .store_endpoint
            .faults
            .hold_answers(is_on);
    }

    fn arm(&mut self, daemon: usize, fault: WriteFault) {
        if self.is_up[daemon] && !self.armed.iter().any(|it| it.daemon == daemon) {
            self.hold_answers(daemon, true);
            let deadline = Instant::now() + WRITE_TIMEOUT;
            self.armed.push(ArmedFault {
                daemon,
                fault,
                deadline,
            });
        }
    }

    /// Applies armed faults to daemons whose writes took effect, but whose answers are
    /// still held.
    fn apply_armed_faults(&mut self) {
        for armed in std::mem::take(&mut self.armed) {
            let written_keys = self.fleet.daemons[armed.daemon]
                .store_endpoint
                .faults
                .held_writes();
            if written_keys.iter().any(|it| it.starts_with(LOT_DATA)) {
                eprintln!(
                    "soak: {:?}: {:?} at {written_keys:?}",
                    armed.daemon, armed.fault
                );
                self.apply_at_write(armed.daemon, armed.fault);
            } else if Instant::now() < armed.deadline {
                self.armed.push(armed);
            } else {
                self.hold_answers(armed.daemon, false);
            }
        }
    }

    fn apply_at_write(&mut self, daemon: usize, fault: WriteFault) {
        match fault {
            WriteFault::Killed(downtime) => {
                self.kill(daemon);
                self.hold_answers(daemon, false);
                self.plan(downtime, Fault::Restart(daemon));
            }
            WriteFault::Paused(pause) => {
                self.pause(daemon);
                self.plan(pause, Fault::Resume(daemon));
                self.plan(pause + ANSWER_DELAY, Fault::ReleaseAnswers(daemon));
            }
        }
    }

    /// Plans a fault for some time from now.
    fn plan(&mut self, delay: Duration, fault: Fault) {
        let at = self.start.elapsed() + delay;
        let index = self.planned.partition_point(|it| it.0 <= at);
        self.planned.insert(index, (at, fault));
    }
}
