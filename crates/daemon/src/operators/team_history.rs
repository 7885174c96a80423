//! Who changed a team's subtree, when and what. See docs/SETTINGS.md.

use comfreyramp_http::{ErrorAnswer, StatusCode};
use comfreyramp_settings::{ChangeHistory, SettingsDifference};
use comfreyramp_store::{KeyRange, KeyValue, PlatformStore, Revision};
use serde::Serialize;

use super::settings_routes::unread;
use crate::{
    settings_keeper::{history_key, team_key},
    shared::SharedState,
};

/// One change as operators see it.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ChangeView {
    /// The revision that it led to.
    pub(super) revision: Revision,
    /// Who made it.
    pub(super) by: String,
    /// When, in milliseconds since 1970.
    pub(super) at_ms: u64,
    /// The revision that it replaced.
    pub(super) replaced: Revision,
    /// What it changed.
    pub(super) differences: Vec<SettingsDifference>,
    /// How many further differences were not kept.
    pub(super) more: usize,
}

/// A team's history as operators see it, newest change first.
#[derive(Debug, Serialize)]
pub(super) struct HistoryView {
    team: String,
    revision: Revision,
    changes: Vec<ChangeView>,
}

/// What the platform holds of a team.
#[derive(Debug, Default)]
pub(super) struct StoredTeam {
    /// The subtree.
    pub(super) subtree: Option<KeyValue>,
    /// Its history.
    pub(super) history: ChangeHistory,
    /// The revision at which the history was written, 0 if there is none.
    pub(super) history_revision: Revision,
}

impl StoredTeam {
    /// Reads a team from the platform.
    pub(super) async fn read(state: &SharedState, team: &str) -> Result<Self, ErrorAnswer> {
        let subtree = state.store.range(KeyRange::One(team_key(team)), 1);
        let history = state.store.range(KeyRange::One(history_key(team)), 1);
        let (subtree, history) = tokio::try_join!(subtree, history).map_err(|it| unread(&it))?;
        let mut pairs = subtree.pairs;
        pairs.extend(history.pairs);
        Ok(Self::of_pairs(team, pairs))
    }

    /// Takes what a transaction read back.
    pub(super) fn of_pairs(team: &str, pairs: Vec<KeyValue>) -> Self {
        let mut stored = StoredTeam::default();
        for pair in pairs {
            if pair.key == team_key(team) {
                stored.subtree = Some(pair);
            } else if pair.key == history_key(team) {
                stored.history_revision = pair.modified;
                // A history that can't be read must not keep an operator from
                // changing the settings: it begins anew.
                stored.history = serde_json::from_slice(&pair.value).unwrap_or_else(|error| {
                    log::warn!("operators: the history of team {team} can't be read: {error}");
                    ChangeHistory::default()
                });
            }
        }
        stored
    }

    /// The revision of the subtree, 0 if there is none.
    pub(super) fn revision(&self) -> Revision {
        self.subtree.as_ref().map_or(0, |it| it.modified)
    }

    /// The changes from an index on, oldest first.
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

/// Reads a team's history.
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
