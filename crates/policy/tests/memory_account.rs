//! The account of the bytes that a daemon holds for callers.

use std::time::Duration;

use comfreyramp_policy::{
    Timestamp,
    memory::{HolderId, HolderKind, MemoryAccount, MemoryDecision},
};
use proptest::prelude::*;

const BOUND: u64 = 1_000_000;
const BODY: u64 = 100_000;

fn at(ms: u64) -> Timestamp {
    Timestamp::ZERO + Duration::from_millis(ms)
}

/// Opens a holder and takes bytes that have to be granted.
fn holding(
    account: &mut MemoryAccount,
    customer: u64,
    kind: HolderKind,
    bytes: u64,
    now: Timestamp,
) -> HolderId {
    let id = account.open(customer, kind, now);
    assert_eq!(account.take(id, bytes, now), MemoryDecision::Granted);
    id
}

/// Guards against a customer that fills the account with unread answers: another customer's
/// body has to be let in, at the cost of the first customer's slowest reader.
#[test]
fn a_customer_below_its_share_gets_the_room_of_the_slowest_reader() {
    let mut account = MemoryAccount::new(BOUND);
    let readers: Vec<HolderId> = (0..10)
        .map(|it| holding(&mut account, 1, HolderKind::Answer, BODY, at(it)))
        .collect();
    account.note_progress(readers[0], at(20));
    let other = account.open(2, HolderKind::Body, at(30));
    assert_eq!(account.take(other, BODY, at(30)), MemoryDecision::Wait);
    assert_eq!(account.take_ended(), [readers[1]]);
    // Asking again ends nobody else, since the first reader's bytes are on their way.
    assert_eq!(account.take(other, BODY, at(31)), MemoryDecision::Wait);
    assert_eq!(account.take_ended(), []);
    account.close(readers[1], at(32));
    assert_eq!(account.take(other, BODY, at(32)), MemoryDecision::Granted);
    assert_eq!(account.held(), BOUND);
}

/// Guards against readers that lose their answers to more load of their own customer: its
/// large bodies are refused first, while small ones are still served.
#[test]
fn a_large_body_is_refused_before_a_reader_is_ended() {
    let mut account = MemoryAccount::new(BOUND);
    for _ in 0..10 {
        holding(&mut account, 1, HolderKind::Answer, BODY, at(0));
    }
    let large = account.open(1, HolderKind::Body, at(10));
    let refused = account.take(large, BODY, at(10));
    assert!(matches!(refused, MemoryDecision::Refused { retry_after } if !retry_after.is_zero()));
    assert_eq!(account.take_ended(), []);
    account.close(large, at(10));
    let small = account.open(1, HolderKind::Body, at(11));
    assert_eq!(account.take(small, 100, at(11)), MemoryDecision::Wait);
    assert_eq!(account.take_ended().len(), 1);
}

/// Guards against callers that stop reading and thereby shut out their own customer's large
/// bodies for as long as they like.
#[test]
fn stalled_readers_are_ended_for_a_refused_body() {
    let mut account = MemoryAccount::new(BOUND);
    let readers: Vec<HolderId> = (0..10)
        .map(|_| holding(&mut account, 1, HolderKind::Answer, BODY, at(0)))
        .collect();
    let large = account.open(1, HolderKind::Body, at(1_500));
    let refused = account.take(large, BODY, at(1_500));
    assert!(matches!(refused, MemoryDecision::Refused { .. }));
    assert_eq!(account.take_ended(), [readers[0]]);
    account.close(readers[0], at(1_501));
    assert_eq!(
        account.take(large, BODY, at(1_501)),
        MemoryDecision::Granted
    );
}

/// Guards against a deadlock of requests that hold bodies and wait for room for their answers.
#[test]
fn bodies_leave_half_of_the_bound_to_answers() {
    let mut account = MemoryAccount::new(BOUND);
    let mut bodies = 0;
    loop {
        let id = account.open(bodies % 3, HolderKind::Body, at(0));
        if account.take(id, 10_000, at(0)) != MemoryDecision::Granted {
            break;
        }
        bodies += 1;
    }
    assert!(account.body_bytes() <= BOUND / 2, "{bodies} bodies");
    holding(&mut account, 1, HolderKind::Answer, BOUND / 2, at(1));
}

/// Guards against a customer whose bodies wait at slow servers and shut out the bodies of
/// other customers.
#[test]
fn a_quarter_of_the_bodies_is_kept_for_customers_below_their_share() {
    let mut account = MemoryAccount::new(BOUND);
    loop {
        let id = account.open(1, HolderKind::Body, at(0));
        if account.take(id, 20_000, at(0)) != MemoryDecision::Granted {
            account.close(id, at(0));
            break;
        }
        // The second customer is known from its small requests.
        holding(&mut account, 2, HolderKind::Answer, 1, at(0));
    }
    holding(&mut account, 2, HolderKind::Body, BODY, at(1));
}

/// Guards against a retry time that ignores how fast room becomes free.
#[test]
fn the_retry_time_follows_the_returned_bytes() {
    let mut account = MemoryAccount::new(BOUND);
    for step in 0..20 {
        let id = holding(&mut account, 1, HolderKind::Answer, BODY, at(step * 100));
        account.close(id, at(step * 100));
    }
    for _ in 0..10 {
        holding(&mut account, 1, HolderKind::Answer, BODY, at(2_000));
    }
    let body = account.open(1, HolderKind::Body, at(2_000));
    // 100 kB are returned every 100 ms; 400 kB should take about 400 ms.
    let MemoryDecision::Refused { retry_after } = account.take(body, 350_000, at(2_000)) else {
        panic!("the account is full");
    };
    assert!(retry_after >= Duration::from_millis(250), "{retry_after:?}");
    assert!(retry_after <= Duration::from_millis(800), "{retry_after:?}");
}

#[derive(Clone, Debug)]
enum Step {
    Open { customer: u64, is_body: bool },
    Take { holder: usize, bytes: u64 },
    GiveBack { holder: usize, bytes: u64 },
    Progress { holder: usize },
    Close { holder: usize },
    CloseEnded,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0..5_u64, any::<bool>()).prop_map(|(customer, is_body)| Step::Open { customer, is_body }),
        8 => (any::<usize>(), 0..200_000_u64).prop_map(|(holder, bytes)| Step::Take { holder, bytes }),
        2 => (any::<usize>(), 0..200_000_u64).prop_map(|(holder, bytes)| Step::GiveBack { holder, bytes }),
        2 => any::<usize>().prop_map(|holder| Step::Progress { holder }),
        1 => any::<usize>().prop_map(|holder| Step::Close { holder }),
        1 => Just(Step::CloseEnded),
    ];
    prop::collection::vec(step, 1..300)
}

#[derive(Clone, Copy, Debug)]
struct Known {
    id: HolderId,
    customer: u64,
    kind: HolderKind,
    bytes: u64,
    is_ended: bool,
}

fn of_customer(known: &[Known], customer: u64) -> u64 {
    let own = known.iter().filter(|it| it.customer == customer);
    own.map(|it| it.bytes).sum()
}

proptest! {
    /// Guards against any order of events by which the bytes exceed the bound, a customer
    /// below its even share loses a request, a body is ended, or bytes aren't returned.
    #[test]
    fn the_rules_hold_in_any_order(steps in steps(), bound in 50_000..2_000_000_u64) {
        let mut account = MemoryAccount::new(bound);
        let mut known: Vec<Known> = Vec::new();
        for (number, step) in steps.into_iter().enumerate() {
            let now = at(number as u64 * 97);
            match step {
                Step::Open { customer, is_body } => {
                    let kind = if is_body { HolderKind::Body } else { HolderKind::Answer };
                    let id = account.open(customer, kind, now);
                    known.push(Known { id, customer, kind, bytes: 0, is_ended: false });
                }
                Step::Take { holder, bytes } if !known.is_empty() => {
                    let index = holder % known.len();
                    let taker = known[index];
                    let share = account.even_share();
                    let decision = account.take(taker.id, bytes, now);
                    if decision == MemoryDecision::Granted {
                        known[index].bytes += bytes;
                    }
                    for ended in account.take_ended() {
                        let position = known.iter().position(|it| it.id == ended).unwrap();
                        let victim = known[position];
                        prop_assert_eq!(victim.kind, HolderKind::Answer);
                        prop_assert!(!victim.is_ended);
                        let asked = if victim.customer == taker.customer { bytes } else { 0 };
                        prop_assert!(of_customer(&known, victim.customer) + asked > share);
                        known[position].is_ended = true;
                    }
                    if matches!(decision, MemoryDecision::Refused { .. }) {
                        prop_assert_eq!(taker.kind, HolderKind::Body);
                    }
                    prop_assert_eq!(decision == MemoryDecision::Ended, known[index].is_ended);
                }
                Step::GiveBack { holder, bytes } if !known.is_empty() => {
                    let index = holder % known.len();
                    account.give_back(known[index].id, bytes, now);
                    known[index].bytes = known[index].bytes.saturating_sub(bytes);
                }
                Step::Progress { holder } if !known.is_empty() => {
                    account.note_progress(known[holder % known.len()].id, now);
                }
                Step::Close { holder } if !known.is_empty() => {
                    let closed = known.swap_remove(holder % known.len());
                    account.close(closed.id, now);
                }
                Step::CloseEnded => {
                    for closed in known.iter().filter(|it| it.is_ended) {
                        account.close(closed.id, now);
                    }
                    known.retain(|it| !it.is_ended);
                }
                _ => {}
            }
            prop_assert!(account.held() <= bound);
            prop_assert!(account.body_bytes() <= bound / 2);
            prop_assert_eq!(account.held(), known.iter().map(|it| it.bytes).sum::<u64>());
            for customer in 0..5 {
                prop_assert_eq!(account.held_for(customer), of_customer(&known, customer));
            }
        }
        for holder in known {
            account.close(holder.id, at(1_000_000));
        }
        prop_assert_eq!(account.held(), 0);
        prop_assert_eq!(account.even_share(), bound);
    }
}
