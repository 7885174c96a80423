//! Writing a team's subtree together with its history.

use comfreyramp_http::{Bytes, ErrorAnswer, RunState, StatusCode};
use comfreyramp_lots::{SystemClock, WallClock};
use comfreyramp_settings::{SettingsChange, TeamSettings};
use comfreyramp_store::{
    Comparison, RetryPolicy, Revision, StoreError, Write, WriteBatch, WriteOnceOutcome, write_once,
};
use serde_json::{Value, json};

use super::{
    settings_routes::unwritten,
    team_history::{ChangeView, StoredTeam},
};
use crate::{
    settings_keeper::{history_key, team_key},
    shared::SharedState,
};

/// How often a write is sent. With the platform's timeout of 2 s each, and the
/// read before, the operator's tool still waits for the answer.
const WRITE_ATTEMPTS: u32 = 3;
/// The most changed places that a refusal names in its text.
const SHOWN_PLACES: usize = 5;

/// A change that has been checked.
#[derive(Debug)]
pub(super) struct TeamChange {
    /// Its own id. A change that is sent again has the same.
    pub(super) id: String,
    /// Who makes it.
    pub(super) by: String,
    /// The revision that the operator saw, 0 for a new subtree.
    pub(super) seen: Revision,
    /// The subtree as it is written.
    pub(super) value: Bytes,
    /// The same, read.
    pub(super) settings: TeamSettings,
}

/// Writes one team's subtree.
pub(super) struct TeamWriter<'a> {
    state: &'a SharedState,
    team: &'a str,
}

impl<'a> TeamWriter<'a> {
    /// A writer for a team.
    pub(super) fn new(state: &'a SharedState, team: &'a str) -> Self {
        TeamWriter { state, team }
    }

    /// Writes a subtree by compare-and-swap and returns its revision.
    ///
    /// The platform's answer can be lost after the write took effect, and so
    /// can ours. Reporting a failure then would make the operator repeat a
    /// change that is in force, and be told of a conflict with himself. The
    /// change's id in the history tells whether it took effect, even if
    /// somebody else's change stands on top of it by now.
    pub(super) async fn write(&self, change: TeamChange) -> Result<Revision, ErrorAnswer> {
        let stored = StoredTeam::read(self.state, self.team).await?;
        if let Some(revision) = written_revision(&stored, &change.id) {
            return Ok(revision);
        }
        if stored.revision() != change.seen {
            return Err(self.conflict(change.seen, &stored));
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
                    .ok_or_else(|| self.conflict(change.seen, &stored))
            }
            Err(error @ StoreError::AnswerLost(_)) => self.undecided(&change.id, &error).await,
            Err(error) => Err(unwritten(&error, RunState::No)),
        }
    }

    /// Every answer was lost. Reads may still be answered, and tell a change
    /// that took effect. One that isn't found may still be under way.
    async fn undecided(&self, id: &str, error: &StoreError) -> Result<Revision, ErrorAnswer> {
        let stored = StoredTeam::read(self.state, self.team).await;
        let written = stored.ok().and_then(|it| written_revision(&it, id));
        written.ok_or_else(|| unwritten(error, RunState::Unknown))
    }

    /// The history goes first: its value holds the change's id, and is what
    /// tells this write from any other.
    fn batch(&self, change: &TeamChange, mut stored: StoredTeam) -> WriteBatch {
        let before = stored.subtree.as_ref().map_or(json!({}), shown_settings);
        let entry = SettingsChange {
            id: change.id.clone(),
            by: change.by.clone(),
            at_ms: SystemClock.now().0,
            replaced: change.seen,
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
                still_at(&history, stored.history_revision),
                still_at(&team, change.seen),
            ],
            then: vec![
                put(&history, json!(stored.history).to_string().into()),
                put(&team, change.value.clone()),
            ],
            read_back: vec![history, team],
        }
    }

    /// One operator wins; the other is told what changed since he looked.
    fn conflict(&self, seen: Revision, stored: &StoredTeam) -> ErrorAnswer {
        let (team, now) = (self.team, stored.revision());
        let since = stored.history.first_after(seen);
        let changes = since.map(|it| stored.views(it)).unwrap_or_default();
        let what = if changes.is_empty() {
            "somebody else changed it".to_owned()
        } else {
            changes.iter().map(summary).collect::<Vec<_>>().join("; ")
        };
        let text = format!(
            "Team {team} is at revision {now}, not {seen}: {what}. \
             Read it again and repeat the change on top of it."
        );
        ErrorAnswer::new(StatusCode::CONFLICT, "revision_conflict", text)
            .param("revision")
            .detail("changed_since", json!(changes))
    }
}

fn still_at(key: &str, revision: Revision) -> Comparison {
    match revision {
        0 => Comparison::Absent(key.to_owned()),
        revision => Comparison::ModifiedAt(key.to_owned(), revision),
    }
}

/// The revision of a change that took effect.
fn written_revision(stored: &StoredTeam, id: &str) -> Option<Revision> {
    let index = stored.history.position(id)?;
    Some(stored.history.revision_of(index, stored.history_revision))
}

/// A stored subtree with its defaults filled in, so that a default that is
/// written out is no difference.
fn shown_settings(pair: &comfreyramp_store::KeyValue) -> Value {
    match TeamSettings::check(&pair.value) {
        Ok(settings) => json!(settings),
        Err(_) => serde_json::from_slice(&pair.value).unwrap_or_default(),
    }
}

/// A change in a few words.
fn summary(change: &ChangeView) -> String {
    let shown = change.differences.iter().take(SHOWN_PLACES);
    let mut places: Vec<String> = shown
        .map(|it| format!("{} {}", it.what.as_str(), it.place))
        .collect();
    let more = change.differences.len().saturating_sub(SHOWN_PLACES) + change.more;
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
