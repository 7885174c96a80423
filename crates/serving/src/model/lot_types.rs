//! Lots as callers see them.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// An item of a lot: a request that is run later.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotItem {
    /// Its id, which is also its request id at a server.
    pub id: String,
    /// The path that is asked for.
    pub path: String,
    /// Its headers, by name.
    pub headers: Vec<(String, String)>,
    /// Its body.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
    /// The tokens of prompt and longest answer together.
    pub tokens: u64,
}

/// A lot that is handed in.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewLot {
    /// Its items.
    pub items: Vec<LotItem>,
}

impl NewLot {
    /// The tokens of all items; nothing where their sum is beyond all counts.
    pub fn tokens(&self) -> Option<u64> {
        let mut items = self.items.iter();
        items.try_fold(0_u64, |sum, it| sum.checked_add(it.tokens))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// It has its whole answer.
    Done,
    /// It can't be done, or wasn't in time.
    GivenUp,
}

/// The result of an item, at a position of its lot that never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events in order, a line feed between two.
    pub output: String,
}

/// Results of a lot from one position on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LotPage {
    /// How many items the lot has.
    pub total: usize,
    /// The position after the last result that is returned.
    pub next: usize,
    /// The results.
    pub results: Vec<ItemResult>,
}
