//! The history of changes of a team's settings: who changed what, and when.

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::SettingsDifference;

/// The maximum number of changes in a history.
const MAX_CHANGES: usize = 50;
/// The maximum number of differences stored with a change.
const MAX_DIFFERENCES: usize = 20;
/// The maximum number of characters stored of a value.
const MAX_VALUE_CHARACTERS: usize = 100;
/// The maximum size of a history in bytes. The platform accepts values of up to one
/// megabyte, and the history is written in the same transaction as the settings
/// themselves.
const MAX_HISTORY_BYTES: usize = 200_000;

/// One change of a team's settings.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// The change's unique id, by which its writer recognises it.
    pub id: String,
    /// Who made the change: the name that the operator gave.
    pub by: String,
    /// When the change was made, in milliseconds since 1970.
    pub at_ms: u64,
    /// The revision of the settings that the change replaced, 0 for the first change.
    pub replaced: i64,
    /// The differences between the settings before and after the change.
    pub differences: Vec<SettingsDifference>,
    /// How many further differences were left out.
    pub more: usize,
}

impl SettingsChange {
    /// Sets the differences between the settings before and after the change, truncated
    /// to the limits of a history.
    pub fn with_differences(mut self, before: &Value, after: &Value) -> Self {
        let mut differences = SettingsDifference::between(before, after);
        self.more = differences.len().saturating_sub(MAX_DIFFERENCES);
        differences.truncate(MAX_DIFFERENCES);
        for difference in &mut differences {
            shorten(&mut difference.place);
            shorten(&mut difference.before);
            shorten(&mut difference.after);
        }
        self.differences = differences;
        self
    }
}

fn shorten(text: &mut String) {
    if let Some((index, _)) = text.char_indices().nth(MAX_VALUE_CHARACTERS) {
        text.truncate(index);
        text.push('…');
    }
}

/// The last changes of a team's settings, oldest first.
///
/// The history is written in the same transaction as the settings, so every change has
/// an entry and every entry took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChangeHistory {
    /// The changes, oldest first.
    pub changes: Vec<SettingsChange>,
}

impl ChangeHistory {
    /// Adds a change and drops the oldest ones beyond the limits of a history.
    pub fn add(&mut self, change: SettingsChange) {
        self.changes.push(change);
        let excess = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..excess);
        let mut bytes: usize = self.changes.iter().map(size_of_change).sum();
        while bytes > MAX_HISTORY_BYTES && self.changes.len() > 1 {
            bytes -= size_of_change(&self.changes.remove(0));
        }
    }

    /// Returns the index of the change with this id.
    pub fn position(&self, id: &str) -> Option<usize> {
        self.changes.iter().position(|it| it.id == id)
    }

    /// Returns the revision that a change produced. `newest` is the revision of the
    /// last change.
    pub fn revision_of(&self, index: usize, newest: i64) -> i64 {
        self.changes
            .get(index + 1)
            .map_or(newest, |next| next.replaced)
    }

    /// Returns the index of the first change made on top of revision `seen`, if the
    /// history reaches back to it.
    pub fn first_after(&self, seen: i64) -> Option<usize> {
        self.changes.iter().position(|it| it.replaced == seen)
    }
}

fn size_of_change(change: &SettingsChange) -> usize {
    serde_json::to_vec(change).map_or(0, |it| it.len() + 1)
}
