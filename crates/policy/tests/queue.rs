//! Tests of the queue of live calls: how one customer's burst affects other customers'
//! waits.

use std::{collections::VecDeque, time::Duration};

use comfreyramp_policy::{
    CallTraits, CallerInterface, CallerKey, CustomerId, LiveQueue, QueueCause, QueuedCall,
    Timestamp, Urgency, UrgencyTable,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const STEP: Duration = Duration::from_millis(5);
/// The number of calls that the simulated servers run at a time.
const SERVER_SLOTS: usize = 20;
const CUSTOMERS: u32 = 10;
const BURSTING: CustomerId = CustomerId(0);

fn at(secs: f64) -> Timestamp {
    Timestamp::from_micros((secs * 1e6) as u64)
}

fn call(number: u64, customer: u32, now: Timestamp) -> QueuedCall {
    QueuedCall {
        number,
        customer: CustomerId(customer),
        urgency: Urgency::Person,
        tokens: 100.0,
        deadline: now + Duration::from_secs(60),
    }
}

#[derive(Clone, Copy, PartialEq)]
enum Discipline {
    Fair,
    InOrder,
    FairWithoutUrgency,
}

/// The result of a simulation: waits of all customers but the bursting one, and the
/// number of refused calls of each.
struct Measurements {
    waits: Vec<Duration>,
    refused_others: u32,
    refused_bursting: u32,
    served_bursting: u32,
}

impl Measurements {
    fn percentile(&self, fraction: f64) -> f64 {
        let mut waits = self.waits.clone();
        waits.sort_unstable();
        waits[((waits.len() - 1) as f64 * fraction) as usize].as_secs_f64()
    }
}

/// Ten customers send three calls a second each to servers that answer forty. The
/// bursting customer sends `burst_factor` times as much between the seconds 20 and 40.
fn run(discipline: Discipline, burst_factor: f64, seed: u64) -> Measurements {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut urgencies = UrgencyTable::default();
    let mut queue = LiveQueue::default();
    let mut in_order: VecDeque<QueuedCall> = VecDeque::new();
    let mut sent_at: Vec<Timestamp> = Vec::new();
    let mut slots: Vec<(Timestamp, CustomerId, Urgency)> = Vec::new();
    let mut measurements = Measurements {
        waits: Vec::new(),
        refused_others: 0,
        refused_bursting: 0,
        served_bursting: 0,
    };
    let traits = CallTraits {
        interface: CallerInterface::Live,
        streaming: true,
    };
    for step in 0..12_000_u32 {
        let now = at(1.0) + STEP * step;
        let bursting = (20.0..40.0).contains(&now.as_secs_f64());
        for customer in 0..CUSTOMERS {
            let own = CustomerId(customer);
            let factor = if bursting && own == BURSTING {
                burst_factor
            } else {
                1.0
            };
            if !rng.random_bool((3.0 * factor * STEP.as_secs_f64()).min(1.0)) {
                continue;
            }
            let urgency = urgencies.begin(CallerKey(u64::from(customer)), traits, now);
            sent_at.push(now);
            let mut call = call(sent_at.len() as u64 - 1, customer, now);
            if discipline == Discipline::Fair {
                call.urgency = urgency;
            }
            if discipline == Discipline::InOrder {
                in_order.push_back(call);
                continue;
            }
            match queue.push(call, now) {
                Ok(evicted) => assert_eq!(evicted, None),
                Err(_) => {
                    urgencies.end(CallerKey(u64::from(customer)), traits, urgency);
                    measurements.refused_bursting += u32::from(own == BURSTING);
                    measurements.refused_others += u32::from(own != BURSTING);
                }
            }
        }
        slots.retain(|(until, customer, urgency)| {
            if *until <= now {
                urgencies.end(CallerKey(u64::from(customer.0)), traits, *urgency);
            }
            *until > now
        });
        for late in queue.take_expired(now) {
            let key = CallerKey(u64::from(late.customer.0));
            urgencies.end(key, traits, late.urgency);
            measurements.refused_others += u32::from(late.customer != BURSTING);
        }
        while slots.len() < SERVER_SLOTS {
            let next = match discipline {
                Discipline::InOrder => in_order.pop_front(),
                _ => queue.pop(now),
            };
            let Some(next) = next else {
                break;
            };
            let took = Duration::from_millis(rng.random_range(300..700));
            slots.push((now + took, next.customer, next.urgency));
            if next.customer == BURSTING {
                measurements.served_bursting += 1;
            } else {
                measurements
                    .waits
                    .push(now.since(sent_at[next.number as usize]));
            }
        }
    }
    measurements
}

/// One customer sends ten times its typical rate for twenty seconds. In order of
/// arrival, the calls of all customers would wait behind its burst for many seconds.
#[test]
fn a_burst_does_not_move_the_tail_of_others() {
    let quiet = run(Discipline::Fair, 1.0, 1);
    let fair = run(Discipline::Fair, 10.0, 1);
    let in_order = run(Discipline::InOrder, 10.0, 1);
    let tails = [&quiet, &fair, &in_order].map(|it| it.percentile(0.99));
    println!(
        "99th percentile of others' waits: quiet {:.3} s, burst {:.3} s, in order {:.3} s",
        tails[0], tails[1], tails[2]
    );
    println!(
        "bursting customer: {} served, {} refused",
        fair.served_bursting, fair.refused_bursting
    );
    assert_eq!((quiet.refused_others, fair.refused_others), (0, 0));
    assert!(tails[1] < tails[0] + 0.2, "{tails:?}");
    assert!(tails[2] > 10.0 * tails[1], "{tails:?}");
    // The bursting customer gets free capacity: its own 180 calls and a part of the
    // remainder.
    assert!(fair.served_bursting > 180 + 100, "{}", fair.served_bursting);
}

/// A program sends bulk work to the live API, as a customer of its own. Fair shares
/// already limit what it takes; the urgency of its calls limits the effect on people of
/// the same customer, whose share it uses up.
#[test]
fn bulk_through_the_live_door_waits_behind_people_of_its_customer() {
    let mut tails = [0.0; 2];
    for (discipline, tail) in [Discipline::Fair, Discipline::FairWithoutUrgency]
        .into_iter()
        .zip(&mut tails)
    {
        let mut queue = LiveQueue::default();
        let mut urgencies = UrgencyTable::default();
        let mut waits = Vec::new();
        let mut people: Vec<(u64, Timestamp)> = Vec::new();
        let mut slots: Vec<Timestamp> = Vec::new();
        let mut rng = StdRng::seed_from_u64(2);
        for step in 0..24_000_u32 {
            let now = at(1.0) + STEP * step;
            for (key, rate) in [(1, 60.0), (2, 1.0)] {
                if !rng.random_bool(rate * STEP.as_secs_f64()) {
                    continue;
                }
                let traits = CallTraits {
                    interface: CallerInterface::Live,
                    streaming: key == 2,
                };
                let urgency = urgencies.begin(CallerKey(key), traits, now);
                urgencies.end(CallerKey(key), traits, urgency);
                let number = u64::from(step) * 4 + key;
                let mut call = call(number, 0, now);
                if discipline == Discipline::Fair {
                    call.urgency = urgency;
                }
                let taken = queue.push(call, now).is_ok();
                if key == 2 {
                    match taken {
                        true => people.push((number, now)),
                        false => waits.push(10.0),
                    }
                }
            }
            slots.retain(|&until| until > now);
            for late in queue.take_expired(now) {
                if late.number % 4 == 2 {
                    waits.push(10.0);
                }
            }
            while slots.len() < SERVER_SLOTS {
                let Some(next) = queue.pop(now) else {
                    break;
                };
                slots.push(now + Duration::from_millis(rng.random_range(300..700)));
                let person = people.iter().find(|it| it.0 == next.number);
                waits.extend(person.map(|it| now.since(it.1).as_secs_f64()));
            }
        }
        waits.sort_unstable_by(f64::total_cmp);
        *tail = waits[waits.len() * 95 / 100];
    }
    println!(
        "95th percentile of people's waits: {:.3} s, unranked {:.3} s",
        tails[0], tails[1]
    );
    assert!(tails[0] < 0.5 && tails[1] > 5.0, "{tails:?}");
}

#[test]
fn customers_are_served_by_weight() {
    let mut queue = LiveQueue::default();
    queue.set_weight(CustomerId(1), 3.0);
    let mut served = [0; 2];
    for number in 0..400 {
        queue
            .push(call(number, (number % 2) as u32, at(1.0)), at(1.0))
            .unwrap();
    }
    for _ in 0..200 {
        served[queue.pop(at(1.0)).unwrap().customer.index()] += 1;
    }
    assert!((48..=52).contains(&served[0]), "{served:?}");
}

/// A customer is charged for the estimated cost of its calls, but they cost ten times
/// as much. Without a correction it would get ten times its share.
#[test]
fn the_actual_cost_of_calls_counts() {
    let mut queue = LiveQueue::default();
    let mut tokens = [0.0; 2];
    for number in 0..400 {
        queue
            .push(call(number, (number % 2) as u32, at(1.0)), at(1.0))
            .unwrap();
    }
    for _ in 0..110 {
        let next = queue.pop(at(1.0)).unwrap();
        let cost = if next.customer == CustomerId(0) {
            1000.0
        } else {
            100.0
        };
        tokens[next.customer.index()] += cost;
        queue.charge(next.customer, cost - next.tokens);
    }
    let ratio: f64 = tokens[0] / tokens[1];
    assert!((0.8..1.25).contains(&ratio), "{tokens:?}");
}

/// A customer that was idle for an hour sends calls again. If it had credit for that
/// time, no other customer would be served until it had caught up.
#[test]
fn an_idle_customer_earns_no_credit() {
    let mut queue = LiveQueue::default();
    for number in 0..1000 {
        queue.push(call(number, 0, at(1.0)), at(1.0)).unwrap();
        queue.pop(at(1.0));
    }
    for number in 0..40 {
        queue
            .push(call(2000 + number, (number % 2) as u32, at(2.0)), at(2.0))
            .unwrap();
    }
    let first = (0..20).filter_map(|_| queue.pop(at(2.0)));
    let back = first.filter(|it| it.customer == CustomerId(1)).count();
    assert!((9..=11).contains(&back), "{back} of 20");
}

/// The servers start ten calls a second, and a caller can wait for two seconds. If its
/// call were held until the deadline, the caller would learn too late that it has to go
/// elsewhere.
#[test]
fn a_call_that_would_wait_too_long_is_refused_at_once() {
    let mut queue = LiveQueue::default();
    for number in 0..90 {
        queue.push(call(number, 0, at(1.0)), at(1.0)).unwrap();
    }
    let mut now = at(1.0);
    for _ in 0..30 {
        now = now + Duration::from_millis(100);
        queue.pop(now);
    }
    let impatient = QueuedCall {
        deadline: now + Duration::from_secs(2),
        ..call(100, 0, now)
    };
    let refusal = queue.push(impatient, now).unwrap_err();
    assert_eq!(refusal.cause, QueueCause::TooLong);
    let secs = refusal.retry_after.as_secs_f64();
    assert!((4.0..7.0).contains(&secs), "{secs}");
    let other = QueuedCall {
        customer: CustomerId(1),
        ..impatient
    };
    assert!(
        queue.push(other, now).is_ok(),
        "another customer is served sooner"
    );
}

/// One customer fills the queue. If calls were refused for lack of capacity, all other
/// customers would suffer from it.
#[test]
fn a_full_queue_evicts_calls_of_its_largest_customer() {
    let mut queue = LiveQueue::default();
    for number in 0..4096 {
        queue.push(call(number, 0, at(1.0)), at(1.0)).unwrap();
    }
    let refusal = queue.push(call(5000, 0, at(1.0)), at(1.0)).unwrap_err();
    assert_eq!(refusal.cause, QueueCause::Full);
    let evicted = queue.push(call(5001, 1, at(1.0)), at(1.0)).unwrap();
    assert_eq!(evicted.map(|it| it.number), Some(4095));
    assert_eq!(queue.len(), 4096);
}

#[test]
fn lower_urgencies_are_not_starved() {
    let mut queue = LiveQueue::default();
    for number in 0..200 {
        let urgency = if number < 100 {
            Urgency::Person
        } else {
            Urgency::Bulk
        };
        let call = QueuedCall {
            urgency,
            ..call(number, (number % 4) as u32, at(1.0))
        };
        queue.push(call, at(1.0)).unwrap();
    }
    let first = (0..80).filter_map(|_| queue.pop(at(1.0)));
    let bulk = first.filter(|it| it.urgency == Urgency::Bulk).count();
    assert_eq!(bulk, 10);
}

#[test]
fn calls_leave_with_their_callers_or_at_their_deadline() {
    let mut queue = LiveQueue::default();
    for number in 0..3 {
        queue
            .push(call(number, number as u32, at(1.0)), at(1.0))
            .unwrap();
    }
    assert_eq!(queue.remove(CustomerId(1), 1).map(|it| it.number), Some(1));
    assert_eq!(queue.remove(CustomerId(1), 1), None);
    let late = queue.take_expired(at(11.0));
    assert_eq!(
        late.iter().map(|it| it.number).collect::<Vec<_>>(),
        vec![0, 2]
    );
    assert!(queue.is_empty() && queue.pop(at(11.0)).is_none());
}

/// A program's call is queued, and then calls of people of the same customer overtake
/// it. Its caller would wait until the deadline for a refusal that was foreseeable long
/// before.
#[test]
fn an_overtaken_call_is_refused_as_soon_as_it_is_hopeless() {
    let mut queue = LiveQueue::default();
    // One start in 0.1 s, as long as calls wait.
    for number in 0..21 {
        queue.push(call(number, 1, at(0.0)), at(0.0)).unwrap();
    }
    for start in 0..20 {
        queue.pop(at(f64::from(start) * 0.1)).unwrap();
    }
    let now = at(2.0);
    let program = QueuedCall {
        urgency: Urgency::Bulk,
        deadline: now + Duration::from_millis(500),
        ..call(100, 1, now)
    };
    queue.push(program, now).unwrap();
    assert!(queue.take_infeasible(now).is_empty());
    for number in 200..230 {
        queue.push(call(number, 1, now), now).unwrap();
    }
    let given_up = queue.take_infeasible(now);
    assert_eq!(
        given_up.iter().map(|it| it.number).collect::<Vec<_>>(),
        [100]
    );
    assert!(queue.take_infeasible(now).is_empty());
}
