//! Checks that each item of a lot has exactly one result, and its own.

use serde_json::Value;

use crate::trace::{LotEvent, item_prompt};

use super::response_reader::{belongs_to, token_count};

/// The prefix of `custom_id` in a lot's input file.
const ITEM_PREFIX: &str = "item-";

/// Returns the `custom_id` of an item in the lot's input file.
pub(crate) fn item_id(index: u32) -> String {
    format!("{ITEM_PREFIX}{index}")
}

/// Counts correct, failed, repeated and wrong results of a lot.
#[derive(Debug)]
pub struct ItemTally<'a> {
    lot: &'a LotEvent,
    check_answers: bool,
    seen: Vec<bool>,
    /// Items with a correct response.
    pub done: u32,
    /// Items with a recorded error.
    pub failed: u32,
    /// Results of items that already had one.
    pub repeated: u32,
    /// Items with the response of another item, and results with an unknown
    /// `custom_id`.
    pub wrong: u32,
}

impl<'a> ItemTally<'a> {
    /// Creates a tally without results. With `check_answers`, responses must be
    /// those of the engine stand-in.
    pub fn new(lot: &'a LotEvent, check_answers: bool) -> Self {
        ItemTally {
            lot,
            check_answers,
            seen: vec![false; lot.items as usize],
            done: 0,
            failed: 0,
            repeated: 0,
            wrong: 0,
        }
    }

    /// Adds the results in an output or error file, one JSON object per line.
    pub fn add_file(&mut self, text: &str) {
        for line in text.lines().filter(|it| !it.trim().is_empty()) {
            self.add_line(line);
        }
    }

    fn add_line(&mut self, line: &str) {
        let result: Value = serde_json::from_str(line).unwrap_or_default();
        let id = result["custom_id"].as_str().unwrap_or_default();
        let index = id.strip_prefix(ITEM_PREFIX).and_then(|it| it.parse().ok());
        let Some((index, seen)) =
            index.and_then(|it: u32| Some((it, self.seen.get_mut(it as usize)?)))
        else {
            self.wrong += 1;
            return;
        };
        if std::mem::replace(seen, true) {
            self.repeated += 1;
            return;
        }
        if result["response"]["status_code"] != 200 {
            self.failed += 1;
        } else if self.is_right(index, &result["response"]["body"]) {
            self.done += 1;
        } else {
            self.wrong += 1;
        }
    }

    fn is_right(&self, index: u32, body: &Value) -> bool {
        let text = body["choices"][0]["message"]["content"].as_str();
        let Some(text) = text else {
            return false;
        };
        let prompt = item_prompt(self.lot, index);
        let is_own = belongs_to(text, &prompt.user);
        !self.check_answers || (is_own && token_count(text) == self.lot.max_tokens)
    }
}
