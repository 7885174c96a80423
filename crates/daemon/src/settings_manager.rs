//! The actor that holds the settings in force and publishes snapshots of them.

use std::sync::Arc;

use comfreyramp_settings::TeamSettings;
use comfreyramp_store::{KeyValue, RangeAnswer, Revision};
use tokio::sync::watch;
use xtra::{Actor, Context, Handler};

use crate::snapshot::{SettingsNames, SettingsSnapshot, TeamEntry};

/// The key prefix of the teams' settings subtrees in the platform's store.
pub const SETTINGS_PREFIX: &str = "/comfreyramp/settings/";

/// Returns the key of a team's settings subtree.
pub fn team_key(team: &str) -> String {
    format!("{SETTINGS_PREFIX}{team}")
}

/// The key prefix of the histories of the teams' subtrees. It isn't below
/// [`SETTINGS_PREFIX`], because each daemon reads and watches all keys there and
/// needs no history.
const HISTORY_PREFIX: &str = "/comfreyramp/history/";

/// Returns the key of the history of a team's subtree.
pub fn history_key(team: &str) -> String {
    format!("{HISTORY_PREFIX}{team}")
}

/// Holds the settings in force. Changes arrive as messages and are applied one
/// after the other.
#[derive(Debug, Actor)]
pub struct SettingsManager {
    teams: Vec<TeamEntry>,
    revision: Revision,
    names: SettingsNames,
    publisher: watch::Sender<Arc<SettingsSnapshot>>,
}

/// The message that carries all teams' subtrees as of one revision.
#[derive(Debug)]
pub struct SettingsRead(pub RangeAnswer);

impl SettingsManager {
    /// Creates the actor without settings. It publishes through `publisher`.
    pub fn new(publisher: watch::Sender<Arc<SettingsSnapshot>>) -> Self {
        SettingsManager {
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

    /// Applies a team's subtree unless the same or a newer one is in force. Returns
    /// whether it was applied.
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

impl Handler<SettingsRead> for SettingsManager {
    type Return = ();

    async fn handle(&mut self, SettingsRead(answer): SettingsRead, _: &mut Context<Self>) {
        // Views can arrive out of order; an older one must not bring old settings
        // back.
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

/// Parses a team's subtree. Returns none if it can't be read; the team's previous
/// subtree then stays in force.
fn read_team(pair: &KeyValue) -> Option<TeamEntry> {
    let team = pair.key.strip_prefix(SETTINGS_PREFIX)?.to_owned();
    match TeamSettings::check(&pair.value) {
        Ok(settings) => Some(TeamEntry {
            team,
            revision: pair.modified,
            settings,
        }),
        Err(error) => {
            log::error!("settings: the subtree of team {team} can't be read: {error}");
            None
        }
    }
}
