//! The differences between two versions of a team's settings.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// How the value at a place differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DifferenceKind {
    /// The value was added.
    Added,
    /// The value changed.
    Changed,
    /// The value was removed.
    Removed,
}

impl DifferenceKind {
    /// Returns the word that tables print for the kind.
    pub fn as_str(self) -> &'static str {
        match self {
            DifferenceKind::Added => "added",
            DifferenceKind::Changed => "changed",
            DifferenceKind::Removed => "removed",
        }
    }
}

/// One place at which two versions of the settings differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsDifference {
    /// How the value differs.
    pub what: DifferenceKind,
    /// The path of the value, such as `customers[press].rate`.
    pub place: String,
    /// The value before, as JSON; empty if there was none.
    pub before: String,
    /// The value after, as JSON; empty if there is none.
    pub after: String,
}

impl SettingsDifference {
    /// Returns all differences between two versions, ordered by place.
    ///
    /// Entries of lists are identified by their names, so that an added entry doesn't
    /// change the places of those after it.
    pub fn between(before: &Value, after: &Value) -> Vec<SettingsDifference> {
        let (before, after) = (flatten(before), flatten(after));
        let mut differences = Vec::new();
        for (place, old) in &before {
            let new = after.get(place);
            if new == Some(old) {
                continue;
            }
            let what = match new {
                Some(_) => DifferenceKind::Changed,
                None => DifferenceKind::Removed,
            };
            differences.push(difference(what, place, Some(old), new));
        }
        let added = after.iter().filter(|it| !before.contains_key(it.0));
        differences.extend(
            added.map(|(place, new)| difference(DifferenceKind::Added, place, None, Some(new))),
        );
        differences.sort_by(|a, b| a.place.cmp(&b.place));
        differences
    }
}

fn difference(
    what: DifferenceKind,
    place: &str,
    before: Option<&Value>,
    after: Option<&Value>,
) -> SettingsDifference {
    let to_json = |it: Option<&Value>| it.map(ToString::to_string).unwrap_or_default();
    SettingsDifference {
        what,
        place: place.to_owned(),
        before: to_json(before),
        after: to_json(after),
    }
}

/// Returns every leaf value by its place.
fn flatten(value: &Value) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    flatten_into(value, String::new(), &mut values);
    values
}

fn flatten_into(value: &Value, place: String, values: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let child_place = if place.is_empty() {
                    name.clone()
                } else {
                    format!("{place}.{name}")
                };
                flatten_into(value, child_place, values);
            }
        }
        Value::Array(entries) => {
            for (index, value) in entries.iter().enumerate() {
                let name = value["name"]
                    .as_str()
                    .map_or(index.to_string(), str::to_owned);
                flatten_into(value, format!("{place}[{name}]"), values);
            }
        }
        other => {
            values.insert(place, other.clone());
        }
    }
}
