//! The actor that holds the settings in force and publishes them.

use std::sync::Arc;

use comfreyramp_settings::TeamSettings;
use comfreyramp_store::{KeyValue, RangeAnswer, Revision};
use tokio::sync::watch;
use xtra::{Actor, Context, Handler};

use crate::snapshot::{SettingsNames, SettingsSnapshot, TeamEntry};

/// Where the teams' subtrees stand in the platform's store.
pub const SETTINGS_PREFIX: &str = "/comfreyramp/settings/";

/// The key of a team's subtree.
pub fn team_key(team: &str) -> String {
    format!("{SETTINGS_PREFIX}{team}")
}

/// Where the histories of the teams' subtrees stand. Not below
/// [`SETTINGS_PREFIX`]: each daemon reads and watches all of that, and needs no
/// history.
const HISTORY_PREFIX: &str = "/comfreyramp/history/";

/// The key of the history of a team's subtree.
pub fn history_key(team: &str) -> String {
    format!("{HISTORY_PREFIX}{team}")
}

/// Holds the settings in force. Its mailbox orders all changes.
#[derive(Debug, Actor)]
pub struct SettingsKeeper {
    teams: Vec<TeamEntry>,
    revision: Revision,
    names: SettingsNames,
    publisher: watch::Sender<Arc<SettingsSnapshot>>,
}

/// All teams' subtrees as of one revision.
#[derive(Debug)]
pub struct WholeRead(pub RangeAnswer);

impl SettingsKeeper {
    /// A keeper without settings, which publishes through `publisher`.
    pub fn new(publisher: watch::Sender<Arc<SettingsSnapshot>>) -> Self {
        SettingsKeeper {
            teams: Vec::new(),
            revision: 0,
            names: SettingsNames::default(),
            publisher,
        }
    }

    fn publish(&mut self, revision: Revision) {
        self.revision = revision;
        let snapshot = SettingsSnapshot::build(revision, self.teams.clone(), &mut self.names);
        log::info!(
            "settings: revision {revision} is in force with {} customers and {} services",
            snapshot.customers.len(),
            snapshot.services.len()
        );
        self.publisher.send_replace(Arc::new(snapshot));
    }

    /// Takes a pair unless a newer one of the same team is in force.
    fn take(&mut self, pair: &KeyValue) -> bool {
        let Some(entry) = read_team(pair) else {
            return false;
        };
        match self.teams.iter_mut().find(|it| it.team == entry.team) {
            Some(known) if known.revision >= entry.revision => false,
            Some(known) => {
                *known = entry;
                true
            }
            None => {
                self.teams.push(entry);
                true
            }
        }
    }
}

impl Handler<WholeRead> for SettingsKeeper {
    type Return = ();

    async fn handle(&mut self, WholeRead(answer): WholeRead, _: &mut Context<Self>) {
        // A view that was overtaken by another must not bring old settings back.
        if answer.revision < self.revision {
            return;
        }
        let first = self.revision == 0;
        let mut changed = false;
        let before = self.teams.len();
        self.teams
            .retain(|team| answer.pairs.iter().any(|it| it.key == team_key(&team.team)));
        changed |= before != self.teams.len();
        for pair in &answer.pairs {
            changed |= self.take(pair);
        }
        if changed || first {
            self.publish(answer.revision.max(1));
        }
    }
}

/// A subtree that can't be read stays out; the one in force before it stays in.
fn read_team(pair: &KeyValue) -> Option<TeamEntry> {
    let team = pair.key.strip_prefix(SETTINGS_PREFIX)?.to_owned();
    match TeamSettings::check(&pair.value) {
        Ok(settings) => Some(TeamEntry {
            team,
            revision: pair.modified,
            settings,
        }),
        Err(problem) => {
            log::error!("settings: the subtree of team {team} can't be read: {problem}");
            None
        }
    }
}
