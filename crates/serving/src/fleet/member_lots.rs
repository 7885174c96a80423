//! What other daemons report of lots, and which daemon lists, runs or is given a lot.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{
    Timestamp,
    lots::{
        RunnerConfirmation, RunnerLoad, RunnerMemory, choose_handover_target, choose_runner,
        home_daemon,
    },
    usage::PeerId,
};
use rand::Rng;

use super::{MemberList, known_member::KnownMember};
use crate::lots::LotStage;

/// How many daemons list all open lots. If one no longer reports, the next takes over.
const LISTER_COUNT: usize = 1;
/// How long after its last report a daemon counts as holding its lots. By then its lease
/// has expired, or is about to.
const LOT_HOLD_TIMEOUT: Duration = Duration::from_secs(3);

/// A daemon's last report about a lot that it runs or ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerReport {
    /// The daemon's name.
    pub daemon: String,
    /// The daemon's incarnation that reported it.
    pub incarnation: u64,
    /// The number of results.
    pub results: usize,
    /// How the daemon relates to the lot, as whether it runs it or has left it.
    pub stage: LotStage,
    /// The time since the report was received.
    pub age: Duration,
}

impl MemberList {
    /// Returns whether the daemon `own` is one of those that look for lots which no daemon
    /// runs: the first by name that report and reach the store. A daemon that the store
    /// rejects may have no lease, and lists nothing then.
    pub fn is_lister(&self, own: &str, now: Timestamp) -> bool {
        let listers = self.reporting_runner_names(now);
        listers.filter(|it| *it < own).count() < LISTER_COUNT
    }

    /// Returns the address of the daemon that knows all results of a lot. A daemon that ran
    /// it before may know fewer, and so may one whose claim may be gone.
    pub fn lot_runner(&self, lot: &str, now: Timestamp) -> Option<SocketAddr> {
        let knows = |it: &&KnownMember| {
            let progress = it.progress_of(lot);
            it.reported_within(self.reporting_timeout(), now)
                && progress.is_some_and(|it| it.stage.knows_all_results())
        };
        // Of two, as after a hand-over, the one with more results counts, or else the one
        // with the later report.
        let rank = |it: &&KnownMember| {
            (
                it.progress_of(lot).map(|progress| progress.results),
                it.last_received_at,
            )
        };
        let runner = self.members.iter().filter(knows).max_by_key(rank)?;
        Some(runner.record.address)
    }

    /// Returns the address of a daemon that no longer reports a lot that it ran, or doesn't
    /// report yet a lot that it was asked to run. It may have a complete copy of the lot.
    pub fn remembered_runner(&self, lot: &str, now: Timestamp) -> Option<SocketAddr> {
        let id = self.runner_memory.runner_to_ask(lot, now)?;
        let index = self.members.binary_search_by_key(&id, |it| it.id).ok()?;
        let member = &self.members[index];
        let is_reporting = member.reported_within(self.reporting_timeout(), now);
        is_reporting.then_some(member.record.address)
    }

    /// Returns the daemons that are remembered because they ran lots or were asked to.
    pub fn runner_memory(&mut self) -> &mut RunnerMemory {
        &mut self.runner_memory
    }

    /// Returns the last report of the daemon that knows all results of a lot. Reports of a
    /// former incarnation are dropped together with it.
    pub fn runner_confirmation(&self, lot: &str) -> Option<RunnerConfirmation> {
        let confirmations = self.members.iter().filter_map(|member| {
            let progress = member
                .progress_of(lot)
                .filter(|it| it.stage.knows_all_results())?;
            Some(RunnerConfirmation {
                results: usize::from(progress.results),
                last_received_at: member.last_received_at?,
            })
        });
        confirmations.max_by_key(|it| (it.results, it.last_received_at))
    }

    /// Returns the last report about a lot, if possible of the daemon that knows all results.
    pub fn runner_report(&self, lot: &str, now: Timestamp) -> Option<RunnerReport> {
        let reports = self.members.iter().filter_map(|member| {
            let progress = member.progress_of(lot)?;
            Some(RunnerReport {
                daemon: member.record.name.clone(),
                incarnation: member.record.incarnation,
                results: usize::from(progress.results),
                stage: progress.stage,
                age: now.since(member.last_received_at?),
            })
        });
        reports.max_by_key(|it| (it.stage.knows_all_results(), it.results))
    }

    /// Returns whether a daemon reports that it has finished a lot.
    pub fn is_reported_finished(&self, lot: &str) -> bool {
        let mut reported = self.members.iter().filter_map(|it| it.progress_of(lot));
        reported.any(|it| it.stage == LotStage::Finished)
    }

    /// Returns whether a daemon that reported recently runs a lot.
    pub fn is_held(&self, lot: &str, now: Timestamp) -> bool {
        let mut reported = self
            .recent_runners(now)
            .filter_map(|it| it.progress_of(lot));
        reported.any(|it| it.stage.is_running())
    }

    /// Returns the lots that recently reporting daemons run.
    pub fn held_lots(&self, now: Timestamp) -> Vec<String> {
        let reported = self.recent_runners(now).flat_map(|it| &it.progress);
        let running = reported.filter(|it| it.stage.is_running());
        running.map(|it| it.lot.clone()).collect()
    }

    /// Returns the daemons that have lot progress to report and whose last report is recent
    /// enough that they still hold the lots they run.
    fn recent_runners(&self, now: Timestamp) -> impl Iterator<Item = &KnownMember> {
        let members = self.members.iter();
        members
            .filter(move |it| !it.progress.is_empty() && it.reported_within(LOT_HOLD_TIMEOUT, now))
    }

    /// Returns whether a lot is assigned to the daemon `own`, out of those that run lots.
    ///
    /// Daemons whose lists differ may each regard a lot as their own; the claim in the
    /// store decides.
    pub fn is_home_of_lot(&self, lot: &str, own: &str, now: Timestamp) -> bool {
        let others = self.runners(now).map(|it| it.record.name.as_str());
        let daemons: Vec<&str> = others.chain([own]).collect();
        home_daemon(lot, &daemons) == Some(own)
    }

    /// Chooses a daemon to run an accepted lot of `items` items.
    pub fn place_lot(
        &mut self,
        items: u32,
        random: &mut impl Rng,
        now: Timestamp,
    ) -> Option<PeerId> {
        let runner = choose_runner(&self.runner_loads(now), random)?;
        self.recent_placements.push((runner, items, now));
        Some(runner)
    }

    /// Chooses a daemon to which this one, with `own` items to run, hands over `items` of
    /// them.
    pub fn choose_handover_runner(
        &mut self,
        own: u32,
        items: u32,
        now: Timestamp,
    ) -> Option<PeerId> {
        let runner = choose_handover_target(own, items, &self.runner_loads(now))?;
        self.recent_placements.push((runner, items, now));
        Some(runner)
    }

    /// Returns the load of the other daemons that run lots: the items that each reports, and
    /// those placed there too recently to be in its report.
    fn runner_loads(&mut self, now: Timestamp) -> Vec<RunnerLoad> {
        let interval = self.report_interval();
        self.recent_placements
            .retain(|it| now.since(it.2) < interval);
        let runners = self.members.iter().filter(|it| self.is_runner(it, now));
        runners
            .map(|it| {
                let placed = self
                    .recent_placements
                    .iter()
                    .filter(|placed| placed.0 == it.id);
                RunnerLoad {
                    runner: it.id,
                    items: it.items + placed.map(|it| it.1).sum::<u32>(),
                }
            })
            .collect()
    }

    /// Returns whether a daemon is available to run lots.
    pub fn can_run_lots(&self, id: PeerId, now: Timestamp) -> bool {
        let index = self.members.binary_search_by_key(&id, |it| it.id);
        index.is_ok_and(|index| self.is_runner(&self.members[index], now))
    }

    /// Returns the name of a daemon, for logs, or an empty text if it is unknown.
    pub fn name_of(&self, id: PeerId) -> &str {
        let index = self.members.binary_search_by_key(&id, |it| it.id);
        index.map_or("", |index| &self.members[index].record.name)
    }

    /// Returns whether a daemon is available to run lots and can claim them.
    fn is_runner(&self, member: &KnownMember, now: Timestamp) -> bool {
        member.record.runs_lots
            && member.reaches_store
            && !member.is_leaving
            && member.reported_within(self.reporting_timeout(), now)
    }

    /// Returns whether the daemon `own` is the first by name of those that run lots.
    pub fn is_first_lot_runner(&self, own: &str) -> bool {
        let mut runners = self.members.iter().filter(|it| it.record.runs_lots);
        runners.all(|it| it.record.name.as_str() > own)
    }
}
