//! Lots and their results, as callers submit and read them.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, serde_as};

/// An item of a lot: one request, which is run later.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotItem {
    /// The item's id, which is also its request id on a server.
    pub id: String,
    /// The path of its request.
    pub path: String,
    /// The headers of its request, as pairs of name and value.
    pub headers: Vec<(String, String)>,
    /// The body of its request.
    #[serde_as(as = "Base64")]
    pub body: Vec<u8>,
    /// The tokens of its prompt and of the longest possible answer together.
    pub tokens: u64,
}

/// The content of a lot's submission.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct NewLot {
    /// The items of the lot.
    pub items: Vec<LotItem>,
}

impl NewLot {
    /// Returns the tokens of all items; `None` if their sum overflows.
    pub fn tokens(&self) -> Option<u64> {
        let mut items = self.items.iter();
        items.try_fold(0_u64, |sum, it| sum.checked_add(it.tokens))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ItemState {
    /// A server has answered it completely.
    Done,
    /// No server can run it, or none answered it in time.
    GivenUp,
}

/// The result of an item. Its position among the lot's results never changes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item's id.
    pub id: String,
    /// How it ended.
    pub state: ItemState,
    /// The data of all events in order, separated by line feeds.
    pub output: String,
}

/// A page of a lot's results, from one position on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LotPage {
    /// The number of items of the lot.
    pub total: usize,
    /// The position after the last result that is returned.
    pub next: usize,
    /// The results of this page.
    pub results: Vec<ItemResult>,
}
