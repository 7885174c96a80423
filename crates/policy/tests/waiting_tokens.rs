//! Tests the limit of a customer's waiting tokens, with daemons that race, lose answers
//! and write late.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    lots::{LotTokenBounds, TokenLedger, TokenReturnRate, TokenVerdict, WaitingLot},
};
use proptest::{collection::vec, prelude::*};

const DAEMONS: usize = 3;
const DEFAULT_LIMIT: u64 = 100;

/// An event of a simulated run.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A lot of `tokens` is submitted to a daemon; `repeats` names an earlier lot that
    /// is submitted again.
    Submit {
        daemon: usize,
        tokens: u64,
        repeats: Option<usize>,
        /// Its write takes effect later, if its condition still holds then.
        is_late: bool,
    },
    /// The oldest late write reaches the store.
    DeliverLateWrite,
    /// A part of an open lot is finished, or all of it.
    Finish { lot: usize, tokens: u64 },
    /// A daemon is restarted and loses its copy of the ledger.
    Restart { daemon: usize },
    /// An operator sets another limit.
    SetLimit { limit: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        6 => (daemon.clone(), 1..60_u64, prop::option::weighted(0.2, 0..8_usize), prop::bool::weighted(0.2))
            .prop_map(|(daemon, tokens, repeats, is_late)| Event::Submit { daemon, tokens, repeats, is_late }),
        2 => Just(Event::DeliverLateWrite),
        4 => (0..8_usize, 1..80_u64).prop_map(|(lot, tokens)| Event::Finish { lot, tokens }),
        1 => daemon.prop_map(|daemon| Event::Restart { daemon }),
        1 => (20..200_u64).prop_map(|limit| Event::SetLimit { limit }),
    ]
}

/// A write that succeeds if the ledger still has the revision from which it was
/// calculated.
#[derive(Clone, Debug)]
struct LedgerWrite {
    based_on: u64,
    ledger: TokenLedger,
    lot: WaitingLot,
}

/// The store: accepted lots with their waiting tokens, and the ledger of these tokens.
#[derive(Debug, Default)]
struct StoreModel {
    ledger: TokenLedger,
    revision: u64,
    lots: Vec<WaitingLot>,
}

impl StoreModel {
    fn write(&mut self, write: LedgerWrite) -> bool {
        let is_new = !self.lots.iter().any(|it| it.lot == write.lot.lot);
        if write.based_on != self.revision || !is_new {
            return false;
        }
        self.ledger = write.ledger;
        self.revision += 1;
        self.lots.push(write.lot);
        true
    }

    fn open(&self) -> Vec<WaitingLot> {
        let open = self.lots.iter().filter(|it| it.tokens > 0);
        open.cloned().collect()
    }

    fn waiting(&self) -> u64 {
        self.lots.iter().map(|it| it.tokens).sum()
    }
}

/// A daemon's copy of the ledger.
#[derive(Debug, Default)]
struct DaemonCopy {
    ledger: TokenLedger,
    revision: Option<u64>,
    known: LotTokenBounds,
}

impl DaemonCopy {
    fn take(&mut self, store: &StoreModel) {
        self.ledger = store.ledger.clone();
        self.ledger.apply_bounds(&self.known);
        self.revision = Some(store.revision);
    }

    /// Decides by the daemon's copy, and by the open lots where it would refuse.
    fn judge(&mut self, store: &StoreModel, lot: &WaitingLot, limit: u64) -> TokenVerdict {
        if self.revision.is_none() {
            self.take(store);
        }
        let verdict = self.ledger.check_fit(lot, limit);
        let is_full = matches!(verdict, TokenVerdict::Full { .. });
        if !is_full && !self.ledger.needs_refresh(limit) {
            return verdict;
        }
        self.known = self.ledger.compare(&store.open(), limit);
        self.ledger.check_fit(lot, limit)
    }
}

/// Submits a lot to a daemon, which retries with a new copy until it is decided.
/// Returns whether the lot was refused.
fn submit(
    copy: &mut DaemonCopy,
    store: &mut StoreModel,
    late: &mut Vec<LedgerWrite>,
    lot: &WaitingLot,
    limit: u64,
    is_late: bool,
) -> bool {
    for _ in 0..8 {
        match copy.judge(store, lot, limit) {
            TokenVerdict::Fits => {}
            TokenVerdict::AlreadyAccepted => return false,
            TokenVerdict::Full { .. } | TokenVerdict::NeverFits => {
                return !store.lots.iter().any(|it| it.lot == lot.lot);
            }
        }
        let mut ledger = copy.ledger.clone();
        ledger.add(lot.clone());
        let write = LedgerWrite {
            based_on: copy.revision.unwrap_or_default(),
            ledger: ledger.clone(),
            lot: lot.clone(),
        };
        if is_late {
            late.push(write);
            copy.revision = None;
            return false;
        }
        if store.write(write) {
            copy.ledger = ledger;
            copy.revision = Some(store.revision);
            return false;
        }
        copy.take(store);
        if store.lots.iter().any(|it| it.lot == lot.lot) {
            return false;
        }
    }
    unreachable!("every attempt found a changed ledger without other writers");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Daemons that race, restart and write late must neither let a customer exceed its
    /// limit nor refuse it while there is capacity.
    #[test]
    fn the_limit_holds_and_nobody_is_refused_below_it(events in vec(event(), 1..80)) {
        let mut store = StoreModel::default();
        let mut copies: Vec<DaemonCopy> = (0..DAEMONS).map(|_| DaemonCopy::default()).collect();
        let mut late: Vec<LedgerWrite> = Vec::new();
        let mut submitted: Vec<WaitingLot> = Vec::new();
        let mut limit = DEFAULT_LIMIT;
        for event in events {
            match event {
                Event::Submit { daemon, tokens, repeats, is_late } => {
                    let new = WaitingLot { lot: format!("lot-{:04}", submitted.len()), tokens };
                    let lot = repeats.and_then(|it| submitted.get(it).cloned()).unwrap_or(new.clone());
                    if lot == new {
                        submitted.push(new);
                    }
                    let before = store.lots.len();
                    let copy = &mut copies[daemon];
                    let is_refused = submit(copy, &mut store, &mut late, &lot, limit, is_late);
                    let is_accepted = store.lots.len() > before;
                    if is_accepted {
                        prop_assert!(store.waiting() <= limit, "{} of {limit}", store.waiting());
                    }
                    if is_refused {
                        let capacity = limit.saturating_sub(store.waiting());
                        prop_assert!(lot.tokens > capacity, "{} refused with capacity for {capacity}", lot.tokens);
                    }
                }
                Event::DeliverLateWrite => {
                    if !late.is_empty() {
                        // A limit that was lowered in the meantime applies only to lots
                        // that are counted after it.
                        let write = late.remove(0);
                        store.write(write);
                    }
                }
                Event::Finish { lot, tokens } => {
                    let open: Vec<usize> = (0..store.lots.len())
                        .filter(|it| store.lots[*it].tokens > 0)
                        .collect();
                    if let Some(index) = open.get(lot % open.len().max(1)) {
                        let left = &mut store.lots[*index].tokens;
                        *left = left.saturating_sub(tokens);
                    }
                }
                Event::Restart { daemon } => copies[daemon] = DaemonCopy::default(),
                Event::SetLimit { limit: wanted } => limit = wanted,
            }
        }
    }
}

/// Callers get a retry time that is long before, or long after, there is capacity.
#[test]
fn capacity_is_forecast_by_the_rate_of_returned_tokens() {
    let lots = |tokens: [u64; 2]| -> Vec<WaitingLot> {
        let named = ["a", "b"].iter().zip(tokens).filter(|it| it.1 > 0);
        named
            .map(|(lot, tokens)| WaitingLot {
                lot: (*lot).to_owned(),
                tokens,
            })
            .collect()
    };
    let mut return_rate = TokenReturnRate::default();
    let max_wait = Duration::from_secs(18);
    let mut now = Timestamp::ZERO;
    for open in [[1_000, 800], [500, 800], [0, 800], [0, 300], [0, 0]] {
        return_rate.note(&lots(open), now);
        now = now + Duration::from_secs(1);
    }
    assert_eq!(
        return_rate.retry_after(1_000, max_wait),
        Duration::from_millis(2_500)
    );
    assert_eq!(return_rate.retry_after(u64::MAX, max_wait), max_wait);
    assert_eq!(
        return_rate.retry_after(1, max_wait),
        Duration::from_millis(500)
    );
}
