//! Does to the fleet what is planned.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use comfreyramp_standins::link::LinkMode;

use crate::{
    DAEMONS, Stage,
    fault_plan::{Fault, LINKS, PlannedFault, WriteFault},
    fleet::{Fleet, KEY},
    harm_log::Harm,
    settings_changes::key_of,
};

/// How often it is looked for what is due.
const LOOK_INTERVAL: Duration = Duration::from_millis(5);
/// A daemon that writes nothing of a lot in this span gets around its fault.
const WRITE_PATIENCE: Duration = Duration::from_millis(2_500);
/// A daemon that stood still has the answer to its write so much later.
const ANSWER_DELAY: Duration = Duration::from_millis(1_000);
/// What is kept of lots: the lots themselves, their results and ends.
const LOT_DATA: &str = "lots/data/";

/// A daemon to which something happens at its next write.
struct ArmedFault {
    node: usize,
    fault: WriteFault,
    until: Instant,
}

/// Does to the fleet what is planned, and writes down when.
pub(crate) struct FaultDriver {
    fleet: Fleet,
    stage: Arc<Stage>,
    begin: Instant,
    due: VecDeque<PlannedFault>,
    armed: Vec<ArmedFault>,
    is_up: [bool; DAEMONS],
}

impl FaultDriver {
    pub(crate) fn new(fleet: Fleet, stage: &Arc<Stage>, faults: Vec<PlannedFault>) -> Self {
        FaultDriver {
            fleet,
            stage: stage.clone(),
            begin: Instant::now(),
            due: faults.into(),
            armed: Vec::new(),
            is_up: [true; DAEMONS],
        }
    }

    /// Does what is planned, at its time, and ends all faults at last.
    pub(crate) async fn run(mut self, span: Duration) -> Fleet {
        self.begin = Instant::now();
        while self.begin.elapsed() < span || !self.due.is_empty() || !self.armed.is_empty() {
            let since = self.begin.elapsed();
            while self.due.front().is_some_and(|it| it.0 <= since) {
                if let Some((_, fault)) = self.due.pop_front() {
                    self.apply(fault);
                }
            }
            self.strike_at_writes();
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        for node in 0..DAEMONS {
            self.apply(Fault::Resume(node));
            self.apply(Fault::Restart(node));
        }
        self.fleet
    }

    fn apply(&mut self, fault: Fault) {
        match fault {
            Fault::TurnAway(node) => self.turn_away(node, true),
            Fault::Serve(node) => self.turn_away(node, false),
            Fault::LoseAnswers(node) => self.fleet.nodes[node].door.faults.lose_answers(2),
            Fault::Pause(node) => self.pause(node),
            Fault::Resume(node) => self.resume(node),
            Fault::Kill(node) => self.kill(node),
            Fault::Restart(node) => self.restart(node),
            Fault::AtWrite(node, fault) => self.arm(node, fault),
            Fault::AnswerWrites(node) => self.hold_answers(node, false),
            Fault::BreakServer(server) => self.fleet.runners[server].break_next(3),
            Fault::FillServer(server) => self.fleet.runners[server].set_full(true),
            Fault::EmptyServer(server) => self.fleet.runners[server].set_full(false),
            Fault::ForgetHistory => self.fleet.store.forget_history(),
            Fault::ChangeSettings => self.change_settings(),
            Fault::SilenceStore => self.silence(true),
            Fault::AnswerAgain => self.silence(false),
            Fault::HarmLink(link, mode) => self.harm_link(link, mode),
            Fault::ResetLink(link) => self.fleet.links[link].faults.reset(),
            Fault::HealLink(link) => self.harm_link(link, LinkMode::Open),
        }
    }

    fn turn_away(&self, node: usize, is_on: bool) {
        self.fleet.nodes[node].door.faults.turn_away(is_on);
        self.note(Harm::TurnedAway(node), is_on);
    }

    /// Takes away the key of the change before, and gives out another one.
    fn change_settings(&mut self) {
        let change = self.stage.changes().len();
        let key = key_of(change);
        self.fleet.put_settings(&[KEY, &key], 1_000.0);
        self.stage.changes().push(Instant::now());
    }

    fn silence(&self, is_on: bool) {
        for node in &self.fleet.nodes {
            node.door.faults.fall_silent(is_on);
        }
        self.note(Harm::Silent, is_on);
    }

    fn pause(&self, node: usize) {
        if self.is_up[node] {
            self.note(Harm::Paused(node), true);
            self.fleet.pause(node);
        }
    }

    fn resume(&self, node: usize) {
        if self.is_up[node] {
            self.fleet.resume(node);
            self.note(Harm::Paused(node), false);
        }
    }

    fn kill(&mut self, node: usize) {
        if self.is_up[node] {
            self.resume(node);
            self.fleet.kill(node);
            self.is_up[node] = false;
            self.note(Harm::Down(node), true);
        }
    }

    fn restart(&mut self, node: usize) {
        if !self.is_up[node] {
            self.fleet.restart(node);
            self.is_up[node] = true;
            self.note(Harm::Down(node), false);
        }
    }

    fn harm_link(&self, link: usize, mode: LinkMode) {
        debug_assert!(link < LINKS);
        self.fleet.links[link].faults.set_mode(mode);
        // What passes late passes.
        let is_cut = !matches!(mode, LinkMode::Open | LinkMode::Delayed(_));
        self.note(Harm::Cut(link), is_cut);
    }

    fn note(&self, harm: Harm, is_on: bool) {
        let now = Instant::now();
        match is_on {
            true => self.stage.harms().begin(harm, now),
            false => self.stage.harms().end(harm, now),
        }
    }

    fn hold_answers(&self, node: usize, is_on: bool) {
        self.fleet.nodes[node].door.faults.hold_answers(is_on);
    }

    fn arm(&mut self, node: usize, fault: WriteFault) {
        if self.is_up[node] && !self.armed.iter().any(|it| it.node == node) {
            self.hold_answers(node, true);
            let until = Instant::now() + WRITE_PATIENCE;
            self.armed.push(ArmedFault { node, fault, until });
        }
    }

    /// Strikes daemons whose writes took effect and who don't know it yet.
    fn strike_at_writes(&mut self) {
        for armed in std::mem::take(&mut self.armed) {
            let written = self.fleet.nodes[armed.node].door.faults.held_writes();
            if written.iter().any(|it| it.starts_with(LOT_DATA)) {
                eprintln!("soak: {:?}: {:?} at {written:?}", armed.node, armed.fault);
                self.strike(armed.node, armed.fault);
            } else if Instant::now() < armed.until {
                self.armed.push(armed);
            } else {
                self.hold_answers(armed.node, false);
            }
        }
    }

    fn strike(&mut self, node: usize, fault: WriteFault) {
        match fault {
            WriteFault::Lost(back) => {
                self.kill(node);
                self.hold_answers(node, false);
                self.plan(back, Fault::Restart(node));
            }
            WriteFault::Paused(span) => {
                self.pause(node);
                self.plan(span, Fault::Resume(node));
                self.plan(span + ANSWER_DELAY, Fault::AnswerWrites(node));
            }
        }
    }

    /// Plans a fault for a while from now.
    fn plan(&mut self, span: Duration, fault: Fault) {
        let at = self.begin.elapsed() + span;
        let place = self.due.partition_point(|it| it.0 <= at);
        self.due.insert(place, (at, fault));
    }
}
