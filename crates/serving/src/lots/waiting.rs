//! Copies of the ledgers, which limit how many tokens of a customer's lots may wait.

use std::{cell::RefCell, sync::Arc, time::Duration};

use comfreyramp_policy::{
    Timestamp,
    lots::{LotTokenBounds, TokenLedger, TokenReturnRate, TokenVerdict, WaitingLot},
};
use comfreyramp_store::{
    Comparison, KeyRange, KeyValue, PlatformStore, Revision, StoreError, Write, WriteBatch,
};
use tokio::sync::{Mutex, OwnedMutexGuard};

use super::{
    keys,
    records::{OpenMark, from_json, to_json},
};
use crate::{dialect::Dialect, node::Node};

/// A lot is refused only if the open lots were compared with the ledger within this time.
const MAX_COMPARISON_AGE: Duration = Duration::from_millis(500);
/// Maximum number of ledgers of which copies are kept.
const MAX_COPIES: usize = 512;

/// Customer and route of a ledger, and the limit that applies to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct LedgerTerms<'a> {
    pub(super) customer: &'a str,
    pub(super) route: &'a str,
    /// Maximum number of tokens that may wait.
    pub(super) bound: u64,
    /// Time after which a lot accepted now is due. No caller is told to wait longer for
    /// capacity.
    pub(super) due_after: Duration,
}

/// Why a lot isn't written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LedgerRefusal {
    /// It was accepted before.
    Known,
    /// There is no capacity. Holds the time after which there should be, or `None` for a
    /// lot that exceeds the limit even alone.
    Full(Option<Duration>),
}

/// This daemon's copies of ledgers.
#[derive(Debug, Default)]
pub struct LedgerCache {
    /// Sorted by key.
    copies: RefCell<Vec<(String, Arc<Mutex<LedgerCopy>>)>>,
}

impl LedgerCache {
    /// Waits for exclusive access to the copy of a ledger. The lots of one customer and
    /// route are decided one after another here; concurrent ones would each find the ledger
    /// changed by the one before.
    pub(super) async fn open(&self, customer: &str, route: &str) -> OwnedMutexGuard<LedgerCopy> {
        self.copy(keys::ledger(customer, route)).lock_owned().await
    }

    fn copy(&self, key: String) -> Arc<Mutex<LedgerCopy>> {
        let mut copies = self.copies.borrow_mut();
        // Dropping all copies is safe: a copy only saves a read of the store.
        if copies.len() >= MAX_COPIES {
            copies.clear();
        }
        match copies.binary_search_by(|it| it.0.cmp(&key)) {
            Ok(index) => copies[index].1.clone(),
            Err(index) => {
                let copy = Arc::new(Mutex::new(LedgerCopy::new(key.clone())));
                copies.insert(index, (key, copy.clone()));
                copy
            }
        }
    }
}

/// A ledger as the store held it at a revision, without the lots that were finished since.
#[derive(Debug)]
pub(super) struct LedgerCopy {
    key: String,
    ledger: TokenLedger,
    /// Revision of its last write, or 0 if it was never written. `None` before the first
    /// read, and after a write whose answer was lost.
    revision: Option<Revision>,
    known: LotTokenBounds,
    return_rate: TokenReturnRate,
    /// When the ledger was last compared with the open lots.
    compared_at: Option<Timestamp>,
}

impl LedgerCopy {
    fn new(key: String) -> Self {
        LedgerCopy {
            key,
            ledger: TokenLedger::default(),
            revision: None,
            known: LotTokenBounds::default(),
            return_rate: TokenReturnRate::default(),
            compared_at: None,
        }
    }

    /// Decides whether a lot fits, from what is known here. Reads the store before refusing
    /// a lot on data that is too old.
    pub(super) async fn check<D: Dialect>(
        &mut self,
        node: &Node<D>,
        lot: &WaitingLot,
        terms: LedgerTerms<'_>,
    ) -> Result<Option<LedgerRefusal>, StoreError> {
        if self.revision.is_none() {
            self.read(node).await?;
        }
        self.ledger
            .drop_finished(|it| node.is_reported_finished(it));
        let mut verdict = self.ledger.check_fit(lot, terms.bound);
        let is_refused = matches!(verdict, TokenVerdict::Full { .. });
        let is_old = || {
            let now = node.clock.now();
            self.compared_at
                .is_none_or(|it| now.since(it) >= MAX_COMPARISON_AGE)
        };
        if self.ledger.needs_refresh(terms.bound) || is_refused && is_old() {
            self.compare(node, terms).await?;
            verdict = self.ledger.check_fit(lot, terms.bound);
        }
        Ok(match verdict {
            TokenVerdict::Fits => None,
            TokenVerdict::AlreadyAccepted => Some(LedgerRefusal::Known),
            TokenVerdict::NeverFits => Some(LedgerRefusal::Full(None)),
            TokenVerdict::Full { missing } => {
                let delay = self.return_rate.retry_after(missing, terms.due_after);
                Some(LedgerRefusal::Full(Some(delay)))
            }
        })
    }

    /// Adds a lot to the ledger within the same transaction as `batch`, which takes effect
    /// only if the ledger is unchanged since it was checked.
    pub(super) fn guard(&self, mut batch: WriteBatch, lot: WaitingLot) -> GuardedBatch {
        let mut ledger = self.ledger.clone();
        ledger.add(lot);
        let key = self.key.clone();
        batch.when.push(match self.revision {
            Some(revision) if revision > 0 => Comparison::ModifiedAt(key.clone(), revision),
            _ => Comparison::Absent(key.clone()),
        });
        batch.then.push(Write::Put {
            key: key.clone(),
            value: to_json(&ledger),
            lease: None,
        });
        batch.read_back.push(key);
        GuardedBatch { batch, ledger }
    }

    /// Records that `ledger` was written at a revision.
    pub(super) fn note_written(&mut self, ledger: TokenLedger, revision: Revision) {
        self.ledger = ledger;
        self.revision = Some(revision);
    }

    /// Forces the next check to read the ledger again, after a write whose outcome is
    /// unknown.
    pub(super) fn invalidate(&mut self) {
        self.revision = None;
    }

    /// Replaces the copy by the ledger in the store, which may not exist yet.
    pub(super) fn replace(&mut self, found: &[KeyValue]) {
        let pair = found.iter().find(|it| it.key == self.key);
        self.revision = Some(pair.map_or(0, |it| it.modified));
        let read = pair.map(from_json::<TokenLedger>).transpose();
        // A damaged ledger is replaced by an empty one, which was counted by no limit and so
        // is compared with the open lots before it is used.
        let ledger = read.unwrap_or_else(|error| {
            log::error!(error:% = error; "lots: a damaged ledger is rebuilt from the open lots");
            None
        });
        self.ledger = ledger.unwrap_or_default();
        self.ledger.apply_bounds(&self.known);
        // The new ledger hasn't been compared with the open lots yet.
        self.compared_at = None;
    }

    /// Returns an upper bound on the tokens that wait.
    pub(super) fn total(&self) -> u64 {
        self.ledger.total()
    }

    async fn read<D: Dialect>(&mut self, node: &Node<D>) -> Result<(), StoreError> {
        let range = KeyRange::One(self.key.clone());
        let answer = node.store.range(range, 0).await?;
        self.replace(&answer.pairs);
        Ok(())
    }

    /// Compares the ledger with the open lots. Each lot in the ledger was written together
    /// with its open mark, at a revision that this listing includes.
    async fn compare<D: Dialect>(
        &mut self,
        node: &Node<D>,
        terms: LedgerTerms<'_>,
    ) -> Result<(), StoreError> {
        let range = KeyRange::Prefix(keys::OPEN.to_owned());
        let answer = node.store.range(range, 0).await?;
        let open: Vec<WaitingLot> = answer
            .pairs
            .iter()
            .filter_map(|pair| {
                let mark: OpenMark = from_json(pair).ok()?;
                let is_own = mark.customer == terms.customer && mark.route == terms.route;
                let lot = pair.key.strip_prefix(keys::OPEN)?;
                is_own.then(|| WaitingLot {
                    lot: lot.to_owned(),
                    tokens: mark.tokens,
                })
            })
            .collect();
        let now = node.clock.now();
        let before = self.ledger.total();
        self.return_rate.note(&open, now);
        self.known = self.ledger.compare(&open, terms.bound);
        self.compared_at = Some(now);
        log::info!(
            customer = terms.customer, route = terms.route, bound = terms.bound,
            counted = before, open = open.len(), waiting = self.ledger.total();
            "lots: waiting tokens compared"
        );
        Ok(())
    }
}

/// A batch that takes effect only together with its ledger.
#[derive(Debug)]
pub(super) struct GuardedBatch {
    pub(super) batch: WriteBatch,
    /// Ledger that the batch writes.
    pub(super) ledger: TokenLedger,
}
