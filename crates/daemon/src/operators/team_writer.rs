//! Writes of a team's settings subtree together with its history.

use comfreyramp_http::{Bytes, ErrorAnswer, RunState, StatusCode};
use comfreyramp_lots::{SystemClock, WallClock};
use comfreyramp_settings::{SettingsChange, TeamSettings};
use comfreyramp_store::{
    Comparison, RetryPolicy, Revision, StoreError, Write, WriteBatch, WriteOnceOutcome, write_once,
};
use serde_json::{Value, json};

use super::{
    settings_routes::platform_error,
    team_history::{ChangeView, StoredTeam},
};
use crate::{
    settings_manager::{history_key, team_key},
    shared::SharedState,
};

/// How often a write is sent. With the platform's timeout of 2 s for each attempt and
/// for the read before, the answer still comes before the operator's tool times out.
const WRITE_ATTEMPTS: u32 = 3;
/// The most changed places that the text of a conflict names for each change.
const MAX_LISTED_PLACES: usize = 5;

/// A change whose settings have been checked.
#[derive(Debug)]
pub(super) struct TeamChange {
    /// The id of the change, which is the same when it is sent again.
    pub(super) id: String,
    /// The operator who makes it.
    pub(super) by: String,
    /// The revision on which the change is based; 0 for a new subtree.
    pub(super) base: Revision,
    /// The new subtree, as it is written to the store.
    pub(super) value: Bytes,
    /// The new subtree, parsed.
    pub(super) settings: TeamSettings,
}

/// Writes the subtree of one team.
pub(super) struct TeamWriter<'a> {
    state: &'a SharedState,
    team: &'a str,
}

impl<'a> TeamWriter<'a> {
    /// Creates a writer for a team.
    pub(super) fn new(state: &'a SharedState, team: &'a str) -> Self {
        TeamWriter { state, team }
    }

    /// Writes a subtree by compare-and-swap and returns its revision. Fails with a
    /// conflict if another change was made since the revision it is based on.
    ///
    /// The platform's answer can be lost after the write took effect, and so can
    /// the daemon's. If that were reported as a failure, the operator would repeat
    /// a change that is in force and get a conflict with it. The change's id in the
    /// history shows whether it took effect, even if another change followed it.
    pub(super) async fn write(&self, change: TeamChange) -> Result<Revision, ErrorAnswer> {
        let stored = StoredTeam::read(self.state, self.team).await?;
        if let Some(revision) = written_revision(&stored, &change.id) {
            return Ok(revision);
        }
        if stored.revision() != change.base {
            return Err(self.conflict(change.base, &stored));
        }
        let batch = self.batch(&change, stored);
        let pace = RetryPolicy::new(rand::random()).attempts(WRITE_ATTEMPTS);
        match write_once(&self.state.store, batch, pace).await {
            Ok(WriteOnceOutcome::Written(revision)) => Ok(revision),
            Ok(
                WriteOnceOutcome::Refused { found, .. }
                | WriteOnceOutcome::Superseded { found, .. },
            ) => {
                let stored = StoredTeam::of_pairs(self.team, found);
                written_revision(&stored, &change.id)
                    .ok_or_else(|| self.conflict(change.base, &stored))
            }
            Err(error @ StoreError::AnswerLost(_)) => {
                self.resolve_lost_answer(&change.id, &error).await
            }
            Err(error) => Err(platform_error(&error, RunState::No)),
        }
    }

    /// Finds out whether a write took effect of which all answers were lost. Reads
    /// may still be answered and show it. A write that isn't found may still be in
    /// progress, so the answer then says that it is unknown whether it ran.
    async fn resolve_lost_answer(
        &self,
        id: &str,
        error: &StoreError,
    ) -> Result<Revision, ErrorAnswer> {
        let stored = StoredTeam::read(self.state, self.team).await;
        let written = stored.ok().and_then(|it| written_revision(&it, id));
        written.ok_or_else(|| platform_error(error, RunState::Unknown))
    }

    /// Returns the write of the subtree and its history. The history comes first: its
    /// value contains the change's id, which distinguishes this write from any other.
    fn batch(&self, change: &TeamChange, mut stored: StoredTeam) -> WriteBatch {
        let before = stored.subtree.as_ref().map_or(json!({}), with_defaults);
        let entry = SettingsChange {
            id: change.id.clone(),
            by: change.by.clone(),
            at_ms: SystemClock.now().0,
            replaced: change.base,
            ..SettingsChange::default()
        };
        stored
            .history
            .add(entry.with_differences(&before, &json!(change.settings)));
        let (team, history) = (team_key(self.team), history_key(self.team));
        let put = |key: &String, value: Bytes| Write::Put {
            key: key.clone(),
            value,
            lease: None,
        };
        WriteBatch {
            when: vec![
                unchanged_since(&history, stored.history_revision),
                unchanged_since(&team, change.base),
            ],
            then: vec![
                put(&history, json!(stored.history).to_string().into()),
                put(&team, change.value.clone()),
            ],
            read_back: vec![history, team],
        }
    }

    /// Returns the answer to an operator whose change is based on an old revision. It
    /// lists the changes since then.
    fn conflict(&self, base: Revision, stored: &StoredTeam) -> ErrorAnswer {
        let (team, now) = (self.team, stored.revision());
        let since = stored.history.first_after(base);
        let changes = since.map(|it| stored.views(it)).unwrap_or_default();
        let what = if changes.is_empty() {
            "somebody else changed it".to_owned()
        } else {
            changes.iter().map(summary).collect::<Vec<_>>().join("; ")
        };
        let text = format!(
            "Team {team} is at revision {now}, not {base}: {what}. \
             Read it again and repeat the change on top of it."
        );
        ErrorAnswer::new(StatusCode::CONFLICT, "revision_conflict", text)
            .param("revision")
            .detail("changed_since", json!(changes))
    }
}

fn unchanged_since(key: &str, revision: Revision) -> Comparison {
    match revision {
        0 => Comparison::Absent(key.to_owned()),
        revision => Comparison::ModifiedAt(key.to_owned(), revision),
    }
}

/// Returns the revision of a change by its id, if it took effect.
fn written_revision(stored: &StoredTeam, id: &str) -> Option<Revision> {
    let index = stored.history.position(id)?;
    Some(stored.history.revision_of(index, stored.history_revision))
}

/// Returns a stored subtree with its defaults filled in, so that a default that is
/// written out doesn't count as a difference.
fn with_defaults(pair: &comfreyramp_store::KeyValue) -> Value {
    match TeamSettings::check(&pair.value) {
        Ok(settings) => json!(settings),
        Err(_) => serde_json::from_slice(&pair.value).unwrap_or_default(),
    }
}

/// Returns a one-line summary of a change.
fn summary(change: &ChangeView) -> String {
    let listed = change.differences.iter().take(MAX_LISTED_PLACES);
    let mut places: Vec<String> = listed
        .map(|it| format!("{} {}", it.what.as_str(), it.place))
        .collect();
    let more = change.differences.len().saturating_sub(MAX_LISTED_PLACES) + change.more;
    if more > 0 {
        places.push(format!("{more} more"));
    }
    if places.is_empty() {
        places.push("changed nothing".to_owned());
    }
    format!(
        "{} {} (revision {})",
        change.by,
        places.join(", "),
        change.revision
    )
}
