//! The open lots of the zone and the order of their items.

use comfreyramp_load::trace::LotEvent;
use comfreyramp_policy::{
    CustomerId, Timestamp,
    lots::{LotKey, LotRanking, RankedLot},
};
use comfreyramp_standins::engine::{BLOCK_TOKENS, PromptBlocks};
use std::time::Duration;

/// An item of a lot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BulkItem {
    pub(crate) lot: u32,
    pub(crate) index: u32,
    /// The number of tokens already generated.
    pub(crate) tokens: u32,
}

#[derive(Debug)]
struct OpenLot {
    event: LotEvent,
    due: Timestamp,
    next: u32,
    /// Items that were cancelled on a server and will be resumed.
    resumable: Vec<BulkItem>,
    done: u32,
    ended_at: Option<Timestamp>,
}

/// The lots of the zone.
#[derive(Debug, Default)]
pub(crate) struct LotQueue {
    lots: Vec<OpenLot>,
    ranking: LotRanking,
}

impl LotQueue {
    /// Adds a lot. A resent job is ignored, since its lot already exists.
    pub(crate) fn add(&mut self, event: LotEvent, now: Timestamp) {
        if self.lots.iter().any(|it| it.event.job == event.job) {
            return;
        }
        let due = now + event.due;
        self.lots.push(OpenLot {
            event,
            due,
            next: 0,
            resumable: Vec::new(),
            done: 0,
            ended_at: None,
        });
        let active: Vec<CustomerId> = self
            .lots
            .iter()
            .filter(|it| it.has_work())
            .map(|it| CustomerId(it.event.customer))
            .collect();
        self.ranking.set_active(&active);
    }

    /// Returns the next item to run, from the lot that ranks first.
    pub(crate) fn next_item(&mut self, now: Timestamp) -> Option<BulkItem> {
        let mut ranked: Vec<RankedLot> = self
            .lots
            .iter()
            .enumerate()
            .filter(|(_, it)| it.has_work())
            .map(|(key, it)| RankedLot {
                lot: LotKey(key as u32),
                customer: CustomerId(it.event.customer),
                due: it.due,
                needs: Duration::ZERO,
            })
            .collect();
        self.ranking.sort(&mut ranked, now);
        let first = ranked.first()?;
        let key = first.lot.0;
        let lot = &mut self.lots[key as usize];
        let item = lot.resumable.pop().unwrap_or_else(|| {
            lot.next += 1;
            BulkItem {
                lot: key,
                index: lot.next - 1,
                tokens: 0,
            }
        });
        let left = lot.event.max_tokens - item.tokens;
        self.ranking.charge(first.customer, f64::from(left));
        Some(item)
    }

    /// Returns a cancelled item to its lot, to be resumed after its last token.
    pub(crate) fn requeue(&mut self, item: BulkItem) {
        let lot = &mut self.lots[item.lot as usize];
        let left = lot.event.max_tokens - item.tokens;
        lot.resumable.push(item);
        let customer = CustomerId(lot.event.customer);
        self.ranking.charge(customer, -f64::from(left));
    }

    /// Records that an item is done.
    pub(crate) fn finish(&mut self, item: BulkItem, now: Timestamp) {
        let lot = &mut self.lots[item.lot as usize];
        lot.done += 1;
        if lot.done == lot.event.items {
            lot.ended_at = Some(now);
        }
    }

    /// Returns the index of the customer that owns an item.
    pub(crate) fn customer(&self, item: BulkItem) -> u32 {
        self.lots[item.lot as usize].event.customer
    }

    /// Returns the length of an item's response in tokens.
    pub(crate) fn max_tokens(&self, item: BulkItem) -> u32 {
        self.lots[item.lot as usize].event.max_tokens
    }

    /// Returns an item's prompt, which shares no prefix with other prompts.
    pub(crate) fn prompt(&self, item: BulkItem) -> PromptBlocks {
        let tokens = self.lots[item.lot as usize].event.prompt_tokens;
        let first = 1 << 63 | u64::from(item.lot) << 44 | u64::from(item.index) << 12;
        let blocks = (0..u64::from(tokens) / BLOCK_TOKENS as u64)
            .map(|block| first + block)
            .collect();
        PromptBlocks { tokens, blocks }
    }

    /// Counts the lots that ended after their deadline or are still open after it.
    pub(crate) fn count_late(&self, now: Timestamp) -> u32 {
        let late = self.lots.iter().filter(|it| match it.ended_at {
            Some(ended_at) => ended_at > it.due,
            None => now > it.due,
        });
        late.count() as u32
    }

    /// Counts the lots that ended.
    pub(crate) fn count_ended(&self) -> u32 {
        self.lots.iter().filter(|it| it.ended_at.is_some()).count() as u32
    }
}

impl OpenLot {
    fn has_work(&self) -> bool {
        !self.resumable.is_empty() || self.next < self.event.items
    }
}
