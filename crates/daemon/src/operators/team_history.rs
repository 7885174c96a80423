//! The history of changes to a team's settings subtree. See docs/SETTINGS.md.

use comfreyramp_http::{ErrorAnswer, StatusCode};
use comfreyramp_settings::{ChangeHistory, SettingsDifference};
use comfreyramp_store::{KeyRange, KeyValue, PlatformStore, Revision};
use serde::Serialize;

use super::settings_routes::read_error;
use crate::{
    settings_manager::{history_key, team_key},
    shared::SharedState,
};

/// A change in the form in which operators see it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ChangeView {
    /// The revision that the change led to.
    pub(super) revision: Revision,
    /// The operator who made it.
    pub(super) by: String,
    /// When it was made, in milliseconds since 1970.
    pub(super) at_ms: u64,
    /// The revision of the subtree that it replaced.
    pub(super) replaced: Revision,
    /// The differences it made.
    pub(super) differences: Vec<SettingsDifference>,
    /// The number of further differences, which were not recorded.
    pub(super) more: usize,
}

/// A team's history in the form in which operators see it, newest change first.
#[derive(Debug, Serialize)]
pub(super) struct HistoryView {
    team: String,
    revision: Revision,
    changes: Vec<ChangeView>,
}

/// A team's subtree and its history as the platform's store has them.
#[derive(Debug, Default)]
pub(super) struct StoredTeam {
    /// The subtree; none if it was never written.
    pub(super) subtree: Option<KeyValue>,
    /// The history of the subtree.
    pub(super) history: ChangeHistory,
    /// The revision at which the history was written; 0 if there is none.
    pub(super) history_revision: Revision,
}

impl StoredTeam {
    /// Reads a team from the platform.
    pub(super) async fn read(state: &SharedState, team: &str) -> Result<Self, ErrorAnswer> {
        let subtree = state.store.range(KeyRange::One(team_key(team)), 1);
        let history = state.store.range(KeyRange::One(history_key(team)), 1);
        let (subtree, history) =
            tokio::try_join!(subtree, history).map_err(|it| read_error(&it))?;
        let mut pairs = subtree.pairs;
        pairs.extend(history.pairs);
        Ok(Self::of_pairs(team, pairs))
    }

    /// Parses the pairs that a transaction read back.
    pub(super) fn of_pairs(team: &str, pairs: Vec<KeyValue>) -> Self {
        let mut stored = StoredTeam::default();
        for pair in pairs {
            if pair.key == team_key(team) {
                stored.subtree = Some(pair);
            } else if pair.key == history_key(team) {
                stored.history_revision = pair.modified;
                // A history that can't be read must not prevent operators from
                // changing the settings, so an empty one replaces it.
                stored.history = serde_json::from_slice(&pair.value).unwrap_or_else(|error| {
                    log::warn!("operators: the history of team {team} can't be read: {error}");
                    ChangeHistory::default()
                });
            }
        }
        stored
    }

    /// Returns the revision of the subtree; 0 if there is none.
    pub(super) fn revision(&self) -> Revision {
        self.subtree.as_ref().map_or(0, |it| it.modified)
    }

    /// Returns the changes from index `from` on, oldest first.
    pub(super) fn views(&self, from: usize) -> Vec<ChangeView> {
        let changes = self.history.changes.iter().enumerate().skip(from);
        changes
            .map(|(index, change)| ChangeView {
                revision: self.history.revision_of(index, self.history_revision),
                by: change.by.clone(),
                at_ms: change.at_ms,
                replaced: change.replaced,
                differences: change.differences.clone(),
                more: change.more,
            })
            .collect()
    }
}

/// Reads a team's history. Fails if the team has no settings or the platform doesn't
/// answer.
pub(super) async fn read_history(
    state: &SharedState,
    team: &str,
) -> Result<HistoryView, ErrorAnswer> {
    let stored = StoredTeam::read(state, team).await?;
    if stored.subtree.is_none() {
        let text = format!("Team {team} has no settings yet. Write them with revision 0.");
        let answer = ErrorAnswer::new(StatusCode::NOT_FOUND, "unknown_team", text);
        return Err(answer);
    }
    let mut changes = stored.views(0);
    changes.reverse();
    Ok(HistoryView {
        team: team.to_owned(),
        revision: stored.revision(),
        changes,
    })
}
