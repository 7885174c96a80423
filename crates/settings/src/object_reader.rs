//! Reads the fields of a JSON object and collects the errors in them.
//!
//! Findings are printed, logged and sent to scripts, and an operator may have put a key
//! or a token into the wrong field. So a finding names the place of a value and never
//! repeats a string found there.

use std::{ops::RangeInclusive, str::FromStr};

use serde_json::{Map, Value};

use crate::FindingList;

/// The prefix of every customer key.
const KEY_PREFIX: &str = "cfr-";
/// The longest name of an unknown field that a finding prints, in bytes. Field names
/// are short; a longer one may be a key in the wrong place.
const MAX_PRINTED_FIELD_LENGTH: usize = 24;

/// Reads one object field by field. Fields that were never read are reported as
/// unknown.
pub(crate) struct ObjectReader<'a, 'f> {
    fields: Option<&'a Map<String, Value>>,
    place: String,
    known: Vec<&'static str>,
    findings: &'f mut FindingList,
}

impl<'a, 'f> ObjectReader<'a, 'f> {
    /// Creates a reader of the object at `place`, which is empty for the top-level
    /// value.
    pub(crate) fn new(value: &'a Value, place: String, findings: &'f mut FindingList) -> Self {
        let fields = value.as_object();
        if fields.is_none() {
            let printed_place = if place.is_empty() {
                "(the whole text)"
            } else {
                &place
            };
            let problem = format!("is {}, not an object", type_name(value));
            findings.add(printed_place, problem, "write { \"field\": value, … }");
        }
        ObjectReader {
            fields,
            place,
            known: Vec::new(),
            findings,
        }
    }

    /// Returns the place of a field.
    pub(crate) fn place_of(&self, field: &str) -> String {
        if self.place.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.place)
        }
    }

    /// Adds a finding about a field.
    pub(crate) fn add_finding(
        &mut self,
        field: &str,
        problem: impl Into<String>,
        fix: impl Into<String>,
    ) {
        let place = self.place_of(field);
        self.findings.add(place, problem, fix);
    }

    /// Returns the findings, for readers of nested objects.
    pub(crate) fn findings(&mut self) -> &mut FindingList {
        self.findings
    }

    /// Reads a field that may be absent.
    pub(crate) fn optional(&mut self, field: &'static str) -> Option<&'a Value> {
        self.known.push(field);
        self.fields?.get(field).filter(|it| !it.is_null())
    }

    /// Reads a required field.
    pub(crate) fn required(&mut self, field: &'static str, fix: &str) -> Option<&'a Value> {
        let value = self.optional(field);
        if value.is_none() && self.fields.is_some() {
            self.add_finding(field, "is missing", fix);
        }
        value
    }

    /// Reads a required string that must not be empty.
    pub(crate) fn text(&mut self, field: &'static str, fix: &str) -> String {
        let value = self.required(field, fix);
        self.text_of(field, value, fix).unwrap_or_default()
    }

    /// Reads a string that may be absent.
    pub(crate) fn optional_text(&mut self, field: &'static str, fix: &str) -> Option<String> {
        let value = self.optional(field);
        self.text_of(field, value, fix)
    }

    /// Reads a required string and parses it as a `T`.
    pub(crate) fn parse<T: FromStr>(&mut self, field: &'static str, fix: &str) -> Option<T> {
        let text = self.text(field, fix);
        if text.is_empty() {
            return None;
        }
        let parsed = text.parse().ok();
        if parsed.is_none() {
            self.add_finding(field, "can't be read", fix);
        }
        parsed
    }

    /// Reads a required name: 1 to 64 lower-case letters, digits, `-`, `_` and `.`.
    pub(crate) fn name(&mut self, field: &'static str) -> String {
        const FIX: &str = "use 1 to 64 of a-z, 0-9, -, _ and .";
        let text = self.text(field, FIX);
        if !text.is_empty() && !is_name(&text) {
            self.add_finding(field, "is not a name", FIX);
        }
        self.reject_key(field, &text);
        text
    }

    /// Reports a key in a field for names: names are shown to every operator and in
    /// metrics.
    fn reject_key(&mut self, field: &str, text: &str) {
        let place = self.place_of(field);
        Self::reject_key_at(&place, text, self.findings);
    }

    /// Reports a key at a place where a name is expected.
    pub(crate) fn reject_key_at(place: &str, text: &str, findings: &mut FindingList) {
        if text.starts_with(KEY_PREFIX) {
            let fix = "withdraw the key if it is one, and choose a name that starts differently";
            findings.add(place, "looks like a key", fix);
        }
    }

    /// Reads a number within bounds. It is required unless there is a default.
    pub(crate) fn number(
        &mut self,
        field: &'static str,
        default: Option<f64>,
        bounds: RangeInclusive<f64>,
        unit: &str,
    ) -> f64 {
        let fix = format!(
            "write a number from {} to {} ({unit})",
            bounds.start(),
            bounds.end()
        );
        let value = match default {
            Some(_) => self.optional(field),
            None => self.required(field, &fix),
        };
        let Some(value) = value else {
            return default.unwrap_or(*bounds.start());
        };
        match value.as_f64() {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                self.add_finding(field, format!("{} is out of bounds", describe(value)), fix);
                *bounds.start()
            }
        }
    }

    /// Reads an integer within bounds. It is required unless there is a default.
    pub(crate) fn integer(
        &mut self,
        field: &'static str,
        default: Option<u64>,
        bounds: RangeInclusive<u64>,
        unit: &str,
    ) -> u64 {
        let fix = format!(
            "write a whole number from {} to {} ({unit})",
            bounds.start(),
            bounds.end()
        );
        let value = match default {
            Some(_) => self.optional(field),
            None => self.required(field, &fix),
        };
        let Some(value) = value else {
            return default.unwrap_or(*bounds.start());
        };
        match value.as_u64() {
            Some(number) if bounds.contains(&number) => number,
            _ => {
                self.add_finding(field, format!("{} is out of bounds", describe(value)), fix);
                *bounds.start()
            }
        }
    }

    /// Reads a boolean, which is false if absent.
    pub(crate) fn boolean(&mut self, field: &'static str) -> bool {
        let Some(value) = self.optional(field) else {
            return false;
        };
        value.as_bool().unwrap_or_else(|| {
            self.add_finding(
                field,
                format!("{} is neither true nor false", describe(value)),
                "write true or false",
            );
            false
        })
    }

    /// Returns the entries of a list, each with its place. An absent list is empty.
    pub(crate) fn list(&mut self, field: &'static str) -> Vec<(String, &'a Value)> {
        let Some(value) = self.optional(field) else {
            return Vec::new();
        };
        let Some(entries) = value.as_array() else {
            self.add_finding(
                field,
                format!("is {}, not a list", type_name(value)),
                "write [ … ]",
            );
            return Vec::new();
        };
        let place = self.place_of(field);
        entries
            .iter()
            .enumerate()
            .map(|(at, it)| (format!("{place}[{at}]"), it))
            .collect()
    }

    /// Reports the fields that were never read.
    pub(crate) fn finish(mut self) {
        let Some(fields) = self.fields else { return };
        let known = self.known.join(", ");
        for field in fields
            .keys()
            .filter(|it| !self.known.contains(&it.as_str()))
        {
            let place = self.place_of(printable_field_name(field));
            let fix = format!("remove it, or use one of: {known}");
            self.findings.add(place, "is not a known field", fix);
        }
        self.known.clear();
    }

    fn text_of(&mut self, field: &'static str, value: Option<&Value>, fix: &str) -> Option<String> {
        let value = value?;
        match value.as_str() {
            Some(text) if !text.trim().is_empty() => Some(text.to_owned()),
            Some(_) => {
                self.add_finding(field, "is empty", fix);
                None
            }
            None => {
                self.add_finding(field, format!("is {}, not a string", type_name(value)), fix);
                None
            }
        }
    }
}

/// Returns whether a string is a valid name in settings.
pub(crate) fn is_name(text: &str) -> bool {
    let is_allowed =
        |it: char| it.is_ascii_lowercase() || it.is_ascii_digit() || "-_.".contains(it);
    (1..=64).contains(&text.len()) && text.chars().all(is_allowed)
}

/// Returns a field's name as it is printed in a place, or a placeholder for a name that
/// may be a secret.
pub(crate) fn printable_field_name(field: &str) -> &str {
    let is_allowed = |it: char| it.is_ascii_alphabetic() || it == '_' || it == '-';
    if field.len() <= MAX_PRINTED_FIELD_LENGTH && field.chars().all(is_allowed) && !field.is_empty()
    {
        field
    } else {
        "(a field whose name isn't shown)"
    }
}

/// Describes a value in a finding: numbers as they are, all others by their type only.
pub(crate) fn describe(value: &Value) -> String {
    match value {
        Value::Number(number) => number.to_string(),
        other => type_name(other).to_owned(),
    }
}

pub(crate) fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}
