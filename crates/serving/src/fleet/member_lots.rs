//! What other daemons say of lots, and who does what with them.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{
    Timestamp,
    lots::{RunnerLoad, RunnerVouch, choose_runner, choose_successor, home_daemon},
    usage::PeerId,
};
use rand::Rng;

use super::{MemberList, known_member::KnownMember};
use crate::lots::LotStage;

/// So many daemons look at all open lots. Another takes over as soon as it is no
/// longer heard.
const LISTERS: usize = 1;
/// A daemon holds its lots for so long after it was last heard; then its lease
/// has lapsed, or nearly.
const HOLDS_LOTS_FOR: Duration = Duration::from_secs(3);

/// What a daemon says of a lot that it runs or ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerWord {
    /// The daemon.
    pub daemon: String,
    /// Which of its lives.
    pub incarnation: u64,
    /// How many results it says there are.
    pub results: usize,
    /// What it has to do with the lot.
    pub stage: LotStage,
    /// How long ago it said so.
    pub age: Duration,
}

impl MemberList {
    /// Whether the daemon `own` is one of those that look for lots which nobody
    /// runs: the first by name that are heard and reach the store. One that is turned
    /// away may have no lease, and lists nothing then.
    pub fn is_lister(&self, own: &str, now: Timestamp) -> bool {
        let before = self.members.iter().filter(|it| {
            it.record.runs_lots
                && it.reaches_store
                && !it.is_leaving
                && it.was_heard(self.heard_lately(), now)
                && it.record.name.as_str() < own
        });
        before.count() < LISTERS
    }

    /// Where the daemon is reached that knows of all results of a lot. One that ran it
    /// before may know of fewer, and one whose claim may be gone too.
    pub fn lot_runner(&self, lot: &str, now: Timestamp) -> Option<SocketAddr> {
        let knows = |it: &&KnownMember| {
            let told = it.told_of(lot);
            it.was_heard(self.heard_lately(), now) && told.is_some_and(|it| it.stage.knows_all())
        };
        // Of two, as after a hand-over, the one with more results, or the later word.
        let rank = |it: &&KnownMember| (it.told_of(lot).map(|told| told.results), it.heard_at);
        let runner = self.members.iter().filter(knows).max_by_key(rank)?;
        Some(runner.record.address)
    }

    /// What the daemon says that knows of all results of a lot. What a former life of
    /// it said was forgotten with that life.
    pub fn runner_vouch(&self, lot: &str) -> Option<RunnerVouch> {
        let vouches = self.members.iter().filter_map(|member| {
            let told = member.told_of(lot).filter(|it| it.stage.knows_all())?;
            Some(RunnerVouch {
                results: usize::from(told.results),
                heard_at: member.heard_at?,
            })
        });
        vouches.max_by_key(|it| (it.results, it.heard_at))
    }

    /// What is said of a lot: by the daemon that knows of all results, if there is one.
    pub fn runner_word(&self, lot: &str, now: Timestamp) -> Option<RunnerWord> {
        let words = self.members.iter().filter_map(|member| {
            let told = member.told_of(lot)?;
            Some(RunnerWord {
                daemon: member.record.name.clone(),
                incarnation: member.record.incarnation,
                results: usize::from(told.results),
                stage: told.stage,
                age: now.since(member.heard_at?),
            })
        });
        words.max_by_key(|it| (it.stage.knows_all(), it.results))
    }

    /// Whether a daemon tells that it ran a lot to its end.
    pub fn told_finished(&self, lot: &str) -> bool {
        let mut told = self.members.iter().filter_map(|it| it.told_of(lot));
        told.any(|it| it.stage == LotStage::Finished)
    }

    /// Whether a daemon that was heard not long ago runs a lot.
    pub fn is_held(&self, lot: &str, now: Timestamp) -> bool {
        let mut told = self.heard_runners(now).filter_map(|it| it.told_of(lot));
        told.any(|it| it.stage.is_running())
    }

    /// The lots that daemons heard not long ago say they run.
    pub fn held_lots(&self, now: Timestamp) -> Vec<String> {
        let told = self.heard_runners(now).flat_map(|it| &it.progress);
        let running = told.filter(|it| it.stage.is_running());
        running.map(|it| it.lot.clone()).collect()
    }

    /// The daemons that hold the lots of which they tell, if they hold any.
    fn heard_runners(&self, now: Timestamp) -> impl Iterator<Item = &KnownMember> {
        let members = self.members.iter();
        members.filter(move |it| !it.progress.is_empty() && it.was_heard(HOLDS_LOTS_FOR, now))
    }

    /// Whether a lot falls to the daemon `own`, out of those that run lots.
    ///
    /// Daemons whose lists differ may each take a lot for theirs; the claim in
    /// the store decides.
    pub fn is_own_lot(&self, lot: &str, own: &str, now: Timestamp) -> bool {
        let runs = |it: &&KnownMember| {
            it.record.runs_lots && !it.is_leaving && it.was_heard(self.heard_lately(), now)
        };
        let others = self
            .members
            .iter()
            .filter(runs)
            .map(|it| it.record.name.as_str());
        let daemons: Vec<&str> = others.chain([own]).collect();
        home_daemon(lot, &daemons) == Some(own)
    }

    /// Chooses a daemon for an accepted lot of so many items.
    pub fn place_lot(
        &mut self,
        items: u32,
        random: &mut impl Rng,
        now: Timestamp,
    ) -> Option<PeerId> {
        let runner = choose_runner(&self.runner_loads(now), random)?;
        self.placed.push((runner, items, now));
        Some(runner)
    }

    /// Chooses a daemon to which this one, with `own` items to run, hands over `items`.
    pub fn hand_over(&mut self, own: u32, items: u32, now: Timestamp) -> Option<PeerId> {
        let runner = choose_successor(own, items, &self.runner_loads(now))?;
        self.placed.push((runner, items, now));
        Some(runner)
    }

    /// The other daemons that run lots, with what they told and what was placed there
    /// since they can have told it.
    fn runner_loads(&mut self, now: Timestamp) -> Vec<RunnerLoad> {
        let interval = self.interval();
        self.placed.retain(|it| now.since(it.2) < interval);
        let runners = self.members.iter().filter(|it| self.is_runner(it, now));
        runners
            .map(|it| {
                let placed = self.placed.iter().filter(|placed| placed.0 == it.id);
                RunnerLoad {
                    runner: it.id,
                    items: it.items + placed.map(|it| it.1).sum::<u32>(),
                }
            })
            .collect()
    }

    /// Whether a daemon is there to run lots.
    pub fn takes_lots(&self, id: PeerId, now: Timestamp) -> bool {
        let place = self.members.binary_search_by_key(&id, |it| it.id);
        place.is_ok_and(|place| self.is_runner(&self.members[place], now))
    }

    /// The name of a daemon, for logs.
    pub fn name_of(&self, id: PeerId) -> &str {
        let place = self.members.binary_search_by_key(&id, |it| it.id);
        place.map_or("", |place| &self.members[place].record.name)
    }

    /// Whether a daemon is there to run lots, and can claim them.
    fn is_runner(&self, member: &KnownMember, now: Timestamp) -> bool {
        member.record.runs_lots
            && member.reaches_store
            && !member.is_leaving
            && member.was_heard(self.heard_lately(), now)
    }

    /// Whether the daemon `own` is the first by name of those that run lots.
    pub fn is_first_lot_runner(&self, own: &str) -> bool {
        let mut runners = self.members.iter().filter(|it| it.record.runs_lots);
        runners.all(|it| it.record.name.as_str() > own)
    }
}
