//! Tests of single rules of the ledger, message by message.

use std::time::Duration;

use assert_matches::assert_matches;
use comfreyramp_policy::{
    DaemonId, Timestamp,
    rates::{
        CustomerKey, CustomerRate, Decision, LedgerTiming, Outgoing, RateAnswer, RateRequest,
        SLOTS, ShareLedger, Slice, SliceRequest, SliceReturn, TokenAnswer, TokenRequest, Tokens,
    },
};

const MS: Duration = Duration::from_millis(1);
const START: Timestamp = Timestamp::from_micros(1_000_000_000);

fn rate(rate: f64, burst: u32) -> CustomerRate {
    CustomerRate {
        customer: CustomerKey::of_name("studio"),
        rate,
        burst,
    }
}

/// Returns one holder per zone, with full buckets at the returned time, and as the last
/// ledger a borrower in zone 0 that holds no slot.
fn fleet(zones: usize, rates: CustomerRate) -> (Vec<ShareLedger>, Timestamp) {
    let timing = LedgerTiming::default();
    let mut ledgers = Vec::new();
    for daemon in 0..=zones {
        let me = DaemonId(daemon as u32);
        let zone = daemon % zones;
        let mut ledger = ShareLedger::new(me, zone, zones, timing, 1_000, START);
        for zone in 0..zones {
            let holder = Some(DaemonId(zone as u32));
            ledger.set_holders(zone, &[holder; SLOTS], 0, START);
        }
        ledger.set_members(&[DaemonId(99)]);
        ledger.set_rates(&[rates], START);
        ledgers.push(ledger);
    }
    let now = START + Duration::from_secs(3_600);
    for ledger in &mut ledgers {
        refresh(ledger, START + Duration::from_secs(60));
        refresh(ledger, now);
    }
    (ledgers, now)
}

fn refresh(ledger: &mut ShareLedger, now: Timestamp) {
    ledger.tick(now);
    ledger.confirm_view(now);
    ledger.tick(now);
}

fn request(slot: u8, want: u32, home: bool) -> TokenRequest {
    TokenRequest {
        customer: rate(0.0, 0).customer,
        slot,
        want,
        home,
        spent: None,
    }
}

/// Returns the borrower's first token request, which names the slot that the customer
/// uses, and the home holder to which it is sent.
fn first_request(ledgers: &mut [ShareLedger], now: Timestamp) -> (TokenRequest, usize) {
    let borrower = ledgers.len() - 1;
    let decision = ledgers[borrower].admit(rate(0.0, 0).customer, now);
    let Decision::RequestToken { to, request, .. } = decision else {
        unreachable!("the borrower already holds tokens: {decision:?}");
    };
    (request, to.index())
}

/// Requests tokens one at a time and returns how many the holder grants.
fn drain(ledger: &mut ShareLedger, slot: u8, now: Timestamp) -> u32 {
    let mut count = 0;
    while let TokenAnswer::Granted { .. } = ledger.handle_tokens(&request(slot, 1, false), now) {
        count += 1;
    }
    count
}

/// Delivers the outgoing requests of a ledger, and the answers to them.
fn deliver(ledgers: &mut [ShareLedger], from: usize, now: Timestamp) {
    for Outgoing { to, request } in ledgers[from].take_outgoing() {
        let answer = ledgers[to.index()].handle_request(DaemonId(from as u32), &request, now);
        if let RateAnswer::Slices(offers) = answer {
            ledgers[from].accept_offers(to, &offers, now);
        }
    }
}

#[test]
fn a_grant_that_comes_late_is_not_spent() {
    // An answer is in a socket while its receiver is paused. By then its lender counts
    // the token as expired and refills the capacity; spending it would admit one
    // request more than the burst.
    let (mut ledgers, now) = fleet(1, rate(100.0, 8));
    let Decision::RequestToken {
        request, attempt, ..
    } = ledgers[1].admit(rate(0.0, 0).customer, now)
    else {
        panic!("no token request");
    };
    let answer = ledgers[0].handle_tokens(&request, now);
    assert_matches!(answer, TokenAnswer::Granted { count: 1, .. });
    let mut late = ledgers[1].clone();
    let decision = late.on_answer(attempt, answer, now + 300 * MS);
    assert_ne!(decision, Decision::Admitted);
    let decision = ledgers[1].on_answer(attempt, answer, now + 299 * MS);
    assert_eq!(decision, Decision::Admitted);
}

#[test]
fn granted_tokens_keep_their_capacity_until_they_have_expired() {
    // A holder grants its whole burst and refills within milliseconds. As long as the
    // receivers may still spend the tokens, the refill would add a second burst.
    let (mut ledgers, now) = fleet(1, rate(10_000.0, 7));
    let (first, home) = first_request(&mut ledgers, now);
    assert_eq!(drain(&mut ledgers[home], first.slot, now), 7);
    assert_eq!(drain(&mut ledgers[home], first.slot, now + 299 * MS), 0);
    // The capacity is free after the margin for clock differences; the refill starts
    // then.
    drain(&mut ledgers[home], first.slot, now + 302 * MS);
    assert_eq!(drain(&mut ledgers[home], first.slot, now + 303 * MS), 7);
}

#[test]
fn a_settled_grant_returns_capacity_and_unspent_tokens() {
    // A daemon gets tokens in advance and its customer becomes idle. If they weren't
    // returned, the next burst at another daemon would find no tokens.
    let (mut ledgers, now) = fleet(1, rate(1.0, 64));
    let (first, home) = first_request(&mut ledgers, now);
    let answer = ledgers[home].handle_tokens(&request(first.slot, 10, true), now);
    let TokenAnswer::Granted { grant, count, .. } = answer else {
        panic!("nothing granted");
    };
    assert!(count > 1);
    let settlement = comfreyramp_policy::rates::TokenSettlement {
        customer: first.customer,
        slot: first.slot,
        grant,
        unspent: count - 1,
    };
    let settle = RateRequest::Settle(vec![settlement]);
    // The second message is a repetition and changes nothing.
    ledgers[home].handle_request(DaemonId(1), &settle, now);
    ledgers[home].handle_request(DaemonId(1), &settle, now);
    assert_eq!(drain(&mut ledgers[home], first.slot, now), 63);
}

#[test]
fn a_slot_between_holders_leaves_the_others_usable() {
    // Daemons join, and a slot of a customer is between two holders. Its former holder
    // still has the customer's other slots; if a request gave up on that daemon, it
    // would be refused though the customer has hardly sent anything.
    let (mut ledgers, now) = fleet(1, rate(1_000.0, 800));
    let decision = ledgers[1].admit(rate(0.0, 0).customer, now);
    let Decision::RequestToken {
        request, attempt, ..
    } = decision
    else {
        panic!("no token request: {decision:?}");
    };
    let mut holders = [Some(DaemonId(0)); SLOTS];
    holders[usize::from(request.slot)] = None;
    ledgers[0].set_holders(0, &holders, 0, now);
    let answer = ledgers[0].handle_tokens(&request, now);
    assert_eq!(answer, TokenAnswer::NotHolder);
    let decision = ledgers[1].on_answer(attempt, answer, now);
    let Decision::RequestToken {
        request, attempt, ..
    } = decision
    else {
        panic!("no second token request: {decision:?}");
    };
    let answer = ledgers[0].handle_tokens(&request, now);
    assert_eq!(
        ledgers[1].on_answer(attempt, answer, now),
        Decision::Admitted
    );
}

#[test]
fn a_delayed_request_does_not_end_the_newer_loan() {
    // A request for a slice is delayed and arrives after its sender gave up and
    // reissued it. If it replaced the newer loan, the lender would take the slice back
    // with the older number while the borrower still spends from it.
    let (mut ledgers, now) = fleet(2, rate(10.0, 40));
    let (first, home) = first_request(&mut ledgers, now);
    let lender = 1 - home;
    let want = |loan| SliceRequest {
        customer: first.customer,
        slot: first.slot,
        loan,
        sent: 0,
    };
    let borrower = DaemonId(home as u32);
    let mut lend = |loan, now| {
        let answer =
            ledgers[lender].handle_request(borrower, &RateRequest::Slices(vec![want(loan)]), now);
        let RateAnswer::Slices(offers) = answer else {
            panic!("no offer");
        };
        offers[0]
    };
    let half = Slice {
        rate: Tokens::whole(5),
        capacity: Tokens::whole(20),
    };
    assert_eq!(lend(9, now).slice, half);
    assert_eq!(
        lend(9, now).tokens,
        Tokens::ZERO,
        "the tokens were moved twice"
    );
    assert_eq!(lend(5, now).slice, Slice::default());
    let slice_return = SliceReturn {
        customer: first.customer,
        slot: first.slot,
        loan: 5,
        tokens: Tokens::whole(20),
    };
    ledgers[lender].handle_request(borrower, &RateRequest::Return(vec![slice_return]), now);
    assert_eq!(drain(&mut ledgers[lender], first.slot, now + 2_900 * MS), 0);
}

#[test]
fn a_slice_refills_up_to_its_end_and_not_beyond() {
    // A holder with borrowed slices refills its bucket late. If it counted the borrowed
    // rate up to that time, this would add to what the lender refills since its slice
    // was returned.
    let (mut ledgers, now) = fleet(2, rate(100.0, 1_000));
    let (first, home) = first_request(&mut ledgers, now);
    for ledger in &mut ledgers[..2] {
        drain(ledger, first.slot, now);
    }
    let now = now + 400 * MS;
    let before = drain(&mut ledgers[home], first.slot, now);
    assert!(before <= 1, "the capacity of grants isn't free yet");
    ledgers[home].handle_tokens(&request(first.slot, 1, true), now);
    deliver(&mut ledgers, home, now);
    let later = now + Duration::from_secs(3);
    ledgers[home].confirm_view(later);
    let count = drain(&mut ledgers[home], first.slot, later);
    // Two seconds at the full rate, one at half of it; 15 tokens moved with the slice.
    assert!((235..=266).contains(&count), "{count} tokens");
}

#[test]
fn a_lowered_rate_drops_what_was_borrowed_and_granted() {
    // Operators lower a rate. Tokens and slices that a daemon has from others result
    // from the old rate; it must not spend them once it knows the new rate.
    let (mut ledgers, now) = fleet(2, rate(100.0, 1_000));
    let (first, home) = first_request(&mut ledgers, now);
    for _ in 0..600 {
        ledgers[home].handle_tokens(&request(first.slot, 1, true), now);
        deliver(&mut ledgers, home, now);
    }
    let lowered = rate(10.0, 10);
    let mut borrower = ledgers.remove(2);
    for number in 0..20 {
        let at = now + number * MS;
        if let Decision::RequestToken {
            request, attempt, ..
        } = borrower.admit(lowered.customer, at)
        {
            let answer = ledgers[home].handle_tokens(&TokenRequest { want: 9, ..request }, at);
            borrower.on_answer(attempt, answer, at);
        }
    }
    let now = now + 20 * MS;
    assert_eq!(borrower.admit(lowered.customer, now), Decision::Admitted);
    borrower.set_rates(&[lowered], now);
    assert_ne!(borrower.admit(lowered.customer, now), Decision::Admitted);
    ledgers[home].set_rates(&[lowered], now);
    let count = drain(&mut ledgers[home], first.slot, now);
    assert!(count <= 5, "{count} tokens of the old rate");
    // The capacity of the grants is free again before the refill is counted.
    drain(&mut ledgers[home], first.slot, now + 400 * MS);
    let count = drain(&mut ledgers[home], first.slot, now + Duration::from_secs(1));
    assert!(count <= 5, "{count} tokens of the old slices");
}

#[test]
fn a_stale_holder_stops_unless_the_whole_zone_is_stale() {
    // A daemon has received nothing from the platform for a while. Either only this
    // daemon is affected, and others may be about to take its slots, or the zone is cut
    // off, and stopping would refuse all requests in it.
    let (ledgers, now) = fleet(1, rate(10.0, 10));
    let customer = rate(0.0, 0).customer;
    let later = now + Duration::from_secs(5);
    let stale = |peers: &[(u64, u64)]| {
        let mut ledger = ledgers[0].clone();
        ledger.set_members(&[DaemonId(7), DaemonId(8)]);
        for step in 1..=5 {
            ledger.tick(now + Duration::from_secs(step));
        }
        for (peer, (received, fresh)) in peers.iter().enumerate() {
            let [received, fresh] = [received, fresh].map(|age| later - Duration::from_secs(*age));
            ledger.note_peer(DaemonId(7 + peer as u32), received, fresh);
        }
        ledger
    };
    let admits = |mut ledger: ShareLedger| ledger.admit(customer, later) == Decision::Admitted;
    assert!(!admits(stale(&[])), "no peer in reach");
    assert!(!admits(stale(&[(0, 1), (0, 9)])), "a peer is fresh");
    assert!(admits(stale(&[(0, 9), (0, 9)])), "the zone is cut off");
    assert!(!admits(stale(&[(20, 29)])), "the peers are out of reach");
    let mut alone = stale(&[]);
    alone.set_members(&[]);
    assert!(admits(alone), "nobody else is on the roster");
}

#[test]
fn a_daemon_that_was_paused_waits_for_a_new_confirmation() {
    // A daemon resumes after minutes. Everything it knows of its peers is as old as its
    // own view, as in a zone that is cut off; but its slots may have been given to
    // others.
    let (mut ledgers, now) = fleet(1, rate(10.0, 10));
    let customer = rate(0.0, 0).customer;
    let resumed = now + Duration::from_secs(100);
    let ledger = &mut ledgers[0];
    ledger.set_members(&[]);
    assert_ne!(ledger.admit(customer, resumed), Decision::Admitted);
    ledger.tick(resumed);
    ledger.tick(resumed + 200 * MS);
    assert_ne!(
        ledger.admit(customer, resumed + 200 * MS),
        Decision::Admitted
    );
    ledger.confirm_view(resumed - 1 * MS);
    assert_ne!(
        ledger.admit(customer, resumed + 200 * MS),
        Decision::Admitted
    );
    ledger.confirm_view(resumed + 1 * MS);
    assert_eq!(
        ledger.admit(customer, resumed + 200 * MS),
        Decision::Admitted
    );
}

#[test]
fn a_slot_without_a_former_holder_counts_at_once() {
    // The first daemon of a fleet starts. No other daemon can have lent from its slots,
    // so a wait would only refuse the first callers.
    let (mut ledgers, now) = fleet(1, rate(1_000.0, 7));
    let (first, _) = first_request(&mut ledgers, now);
    let borrower = &mut ledgers[1];
    borrower.set_holders(0, &[Some(DaemonId(1)); SLOTS], u64::MAX, now);
    assert_eq!(drain(borrower, first.slot, now), 7);
}

#[test]
fn a_new_customer_may_send_its_burst_at_once_and_not_again_under_the_old_name() {
    // An operator creates a customer, and its first caller sends a burst. Then the
    // customer is removed and created again, which must not restore the burst.
    let (mut ledgers, now) = fleet(1, rate(0.5, 7));
    let (first, home) = first_request(&mut ledgers, now);
    let holder = &mut ledgers[home];
    let other = CustomerRate {
        customer: CustomerKey::of_name("market"),
        ..rate(0.5, 7)
    };
    holder.set_rates(&[rate(0.5, 7), other], now);
    let burst = (0..9).filter(|_| holder.admit(other.customer, now) == Decision::Admitted);
    assert_eq!(burst.count(), 7);
    assert_eq!(drain(holder, first.slot, now), 7);
    holder.set_rates(&[], now);
    assert_eq!(drain(holder, first.slot, now), 0);
    let later = now + Duration::from_secs(13);
    refresh(holder, later);
    holder.set_rates(&[rate(0.5, 7)], later);
    assert_eq!(drain(holder, first.slot, later), 0);
    holder.set_rates(&[], later);
    let filled = later + Duration::from_secs(14);
    refresh(holder, filled);
    holder.set_rates(&[rate(0.5, 7)], filled);
    assert_eq!(drain(holder, first.slot, filled), 7);
}

#[test]
fn an_added_zone_takes_its_share_after_the_others_released_it() {
    // A zone is added while the other daemons learn of it one after another. Its share
    // must not count beside that of a daemon that still divides by fewer zones.
    let (mut ledgers, now) = fleet(1, rate(1_000.0, 7));
    let (first, home) = first_request(&mut ledgers, now);
    let holder = &mut ledgers[home];
    holder.set_zones(2);
    holder.set_rates(&[rate(1_000.0, 7)], now);
    assert_eq!(drain(holder, first.slot, now), 3);
    let settle = LedgerTiming::default().takeover_delay();
    let mut new = ShareLedger::new(DaemonId(5), 1, 2, LedgerTiming::default(), 0, now);
    new.set_holders(1, &[Some(DaemonId(5)); SLOTS], 0, now);
    new.set_rates(&[rate(1_000.0, 7)], now);
    for step in 1..10 {
        refresh(&mut new, now + settle * step / 20);
    }
    refresh(&mut new, now + settle - MS);
    assert_eq!(drain(&mut new, first.slot, now + settle - MS), 0);
}

#[test]
fn a_gained_slot_starts_empty_after_a_wait() {
    // A slot changes its holder. The former holder may just have lent from it, so the
    // new holder waits until such a loan has expired, and starts without tokens.
    let (mut ledgers, now) = fleet(1, rate(1_000.0, 7));
    let (first, _) = first_request(&mut ledgers, now);
    let settle = LedgerTiming::default().takeover_delay();
    let borrower = &mut ledgers[1];
    borrower.set_holders(0, &[Some(DaemonId(1)); SLOTS], 0, now);
    refresh(borrower, now + Duration::from_secs(1));
    refresh(borrower, now + settle - 1 * MS);
    assert_eq!(drain(borrower, first.slot, now + settle - 1 * MS), 0);
    assert_eq!(drain(borrower, first.slot, now + settle), 0);
    assert_eq!(drain(borrower, first.slot, now + settle + 100 * MS), 7);
}
