//! The bound on a customer's waiting tokens, over daemons that race, lose answers and
//! write late.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    lots::{LotsKnown, ReturnPace, TokenLedger, TokenVerdict, WaitingLot},
};
use proptest::{collection::vec, prelude::*};

const DAEMONS: usize = 3;
const BOUND: u64 = 100;

/// What happens next in a run.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// A daemon is handed a lot of so many tokens, which was handed in before if
    /// `repeats` names one.
    HandIn {
        daemon: usize,
        tokens: u64,
        repeats: Option<usize>,
        /// Its write takes effect later, if its condition holds then.
        is_late: bool,
    },
    /// The oldest late write arrives.
    Land,
    /// A part of an open lot is finished, or all of it.
    Finish { lot: usize, tokens: u64 },
    /// A daemon is restarted, and knows nothing.
    Restart { daemon: usize },
    /// An operator sets another bound.
    SetBound { bound: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = 0..DAEMONS;
    prop_oneof![
        6 => (daemon.clone(), 1..60_u64, prop::option::weighted(0.2, 0..8_usize), prop::bool::weighted(0.2))
            .prop_map(|(daemon, tokens, repeats, is_late)| Event::HandIn { daemon, tokens, repeats, is_late }),
        2 => Just(Event::Land),
        4 => (0..8_usize, 1..80_u64).prop_map(|(lot, tokens)| Event::Finish { lot, tokens }),
        1 => daemon.prop_map(|daemon| Event::Restart { daemon }),
        1 => (20..200_u64).prop_map(|bound| Event::SetBound { bound }),
    ]
}

/// A write that holds if the ledger has the revision by which it was counted.
#[derive(Clone, Debug)]
struct LedgerWrite {
    counted_by: u64,
    ledger: TokenLedger,
    lot: WaitingLot,
}

/// The store: lots that were accepted, with what waits of each, and their ledger.
#[derive(Debug, Default)]
struct StoreModel {
    ledger: TokenLedger,
    revision: u64,
    lots: Vec<WaitingLot>,
}

impl StoreModel {
    fn write(&mut self, write: LedgerWrite) -> bool {
        let is_new = !self.lots.iter().any(|it| it.lot == write.lot.lot);
        if write.counted_by != self.revision || !is_new {
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
    known: LotsKnown,
}

impl DaemonCopy {
    fn take(&mut self, store: &StoreModel) {
        self.ledger = store.ledger.clone();
        self.ledger.reduce(&self.known);
        self.revision = Some(store.revision);
    }

    /// Decides with the copy that it has, and with the open lots where it would refuse.
    fn judge(&mut self, store: &StoreModel, lot: &WaitingLot, bound: u64) -> TokenVerdict {
        if self.revision.is_none() {
            self.take(store);
        }
        let verdict = self.ledger.judge(lot, bound);
        let is_full = matches!(verdict, TokenVerdict::Full { .. });
        if !is_full && !self.ledger.is_doubtful(bound) {
            return verdict;
        }
        self.known = self.ledger.compare(&store.open(), bound);
        self.ledger.judge(lot, bound)
    }
}

/// Hands a lot in at a daemon, which counts anew until it is decided. Returns whether it
/// was refused.
fn hand_in(
    copy: &mut DaemonCopy,
    store: &mut StoreModel,
    late: &mut Vec<LedgerWrite>,
    lot: &WaitingLot,
    bound: u64,
    is_late: bool,
) -> bool {
    for _ in 0..8 {
        match copy.judge(store, lot, bound) {
            TokenVerdict::Fits => {}
            TokenVerdict::Known => return false,
            TokenVerdict::Full { .. } | TokenVerdict::NeverFits => {
                return !store.lots.iter().any(|it| it.lot == lot.lot);
            }
        }
        let mut ledger = copy.ledger.clone();
        ledger.add(lot.clone());
        let write = LedgerWrite {
            counted_by: copy.revision.unwrap_or_default(),
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
    unreachable!("each try finds another ledger, though nobody else writes");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    /// Daemons that race, restart and write late let a customer have more than its
    /// bound, or refuse it while there is room.
    #[test]
    fn the_bound_holds_and_nobody_is_refused_below_it(events in vec(event(), 1..80)) {
        let mut store = StoreModel::default();
        let mut copies: Vec<DaemonCopy> = (0..DAEMONS).map(|_| DaemonCopy::default()).collect();
        let mut late: Vec<LedgerWrite> = Vec::new();
        let mut handed_in: Vec<WaitingLot> = Vec::new();
        let mut bound = BOUND;
        for event in events {
            match event {
                Event::HandIn { daemon, tokens, repeats, is_late } => {
                    let new = WaitingLot { lot: format!("lot-{:04}", handed_in.len()), tokens };
                    let lot = repeats.and_then(|it| handed_in.get(it).cloned()).unwrap_or(new.clone());
                    if lot == new {
                        handed_in.push(new);
                    }
                    let before = store.lots.len();
                    let copy = &mut copies[daemon];
                    let is_refused = hand_in(copy, &mut store, &mut late, &lot, bound, is_late);
                    let is_accepted = store.lots.len() > before;
                    if is_accepted {
                        prop_assert!(store.waiting() <= bound, "{} of {bound}", store.waiting());
                    }
                    if is_refused {
                        let room = bound.saturating_sub(store.waiting());
                        prop_assert!(lot.tokens > room, "{} refused with room for {room}", lot.tokens);
                    }
                }
                Event::Land => {
                    if !late.is_empty() {
                        // A bound that was lowered meanwhile binds only what is counted after it.
                        let write = late.remove(0);
                        store.write(write);
                    }
                }
                Event::Finish { lot, tokens } => {
                    let open: Vec<usize> = (0..store.lots.len())
                        .filter(|it| store.lots[*it].tokens > 0)
                        .collect();
                    if let Some(place) = open.get(lot % open.len().max(1)) {
                        let left = &mut store.lots[*place].tokens;
                        *left = left.saturating_sub(tokens);
                    }
                }
                Event::Restart { daemon } => copies[daemon] = DaemonCopy::default(),
                Event::SetBound { bound: wanted } => bound = wanted,
            }
        }
    }
}

/// Callers are told to come back long before, or long after, there is room.
#[test]
fn room_is_foretold_by_how_fast_tokens_come_back() {
    let lots = |tokens: [u64; 2]| -> Vec<WaitingLot> {
        let named = ["a", "b"].iter().zip(tokens).filter(|it| it.1 > 0);
        named
            .map(|(lot, tokens)| WaitingLot {
                lot: (*lot).to_owned(),
                tokens,
            })
            .collect()
    };
    let mut pace = ReturnPace::default();
    let longest = Duration::from_secs(18);
    let mut now = Timestamp::ZERO;
    for open in [[1_000, 800], [500, 800], [0, 800], [0, 300], [0, 0]] {
        pace.note(&lots(open), now);
        now = now + Duration::from_secs(1);
    }
    assert_eq!(pace.room_in(1_000, longest), Duration::from_millis(2_500));
    assert_eq!(pace.room_in(u64::MAX, longest), longest);
    assert_eq!(pace.room_in(1, longest), Duration::from_millis(500));
}
