//! Tests of urgency: distinguishing people from programs that use the same API.

use std::time::Duration;

use comfreyramp_policy::{
    CallTraits, CallerInterface, CallerKey, Timestamp, Urgency, UrgencyTable,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const KEY: CallerKey = CallerKey(1);
const STREAM: CallTraits = CallTraits {
    interface: CallerInterface::Live,
    streaming: true,
};
const WHOLE: CallTraits = CallTraits {
    interface: CallerInterface::Live,
    streaming: false,
};

/// Sends requests of one key at random times, `rate` a second, each running for half a
/// second. Returns how many of them were ranked as a person's.
fn send(table: &mut UrgencyTable, traits: CallTraits, rate: f64, from: u64, secs: u64) -> u32 {
    let mut rng = StdRng::seed_from_u64(from);
    let mut running: Vec<(Timestamp, Urgency)> = Vec::new();
    let mut persons = 0;
    for milli in from * 1000..(from + secs) * 1000 {
        let now = Timestamp::from_micros(milli * 1000);
        running.retain(|&(began, urgency)| {
            let ended = now.since(began) >= Duration::from_millis(500);
            if ended {
                table.end(KEY, traits, urgency);
            }
            !ended
        });
        if rng.random_bool(rate / 1000.0) {
            let urgency = table.begin(KEY, traits, now);
            running.push((now, urgency));
            persons += u32::from(urgency == Urgency::Person);
        }
    }
    for (_, urgency) in running {
        table.end(KEY, traits, urgency);
    }
    persons
}

#[test]
fn a_key_used_by_many_people_keeps_its_rank() {
    let mut table = UrgencyTable::default();
    let ranked = send(&mut table, STREAM, 2.5, 1, 600);
    let sent = send(&mut UrgencyTable::default(), STREAM, 2.5, 1, 600);
    assert_eq!(ranked, sent);
    assert!(ranked > 1300, "{ranked} of about 1500");
}

/// A program sends bulk work through the live API, fifty requests a second, because it
/// gets faster answers there. Ranked as people's requests, they would delay those of
/// people.
#[test]
fn a_program_loses_its_rank_above_what_a_person_could_cause() {
    let mut table = UrgencyTable::default();
    send(&mut table, STREAM, 50.0, 1, 60);
    let ranked = send(&mut table, STREAM, 50.0, 61, 60);
    let one_person = 60 / 4;
    assert!((one_person..one_person * 3).contains(&ranked), "{ranked}");

    let at_once = send(&mut table, STREAM, 2.5, 121, 60);
    let later = send(&mut table, STREAM, 2.5, 3600, 600);
    assert!(at_once < 130 && later > 1300, "{at_once}, {later}");
}

/// A program and the people in a shop share one key. The program's requests must not
/// lower the rank of people's requests.
#[test]
fn streams_keep_their_rank_beside_a_program_without_streams() {
    let mut table = UrgencyTable::default();
    let mut ranked = 0;
    for step in 0..3000 {
        let now = Timestamp::from_micros(step * 20_000);
        let urgency = table.begin(KEY, WHOLE, now);
        table.end(KEY, WHOLE, urgency);
        if step % 50 == 0 {
            let urgency = table.begin(KEY, STREAM, now);
            table.end(KEY, STREAM, urgency);
            ranked += u32::from(urgency == Urgency::Person);
        }
    }
    assert_eq!(ranked, 60);
}

/// A key was used by a program in the morning and by people in the afternoon.
#[test]
fn old_usage_is_forgotten() {
    let mut table = UrgencyTable::default();
    send(&mut table, STREAM, 50.0, 1, 60);
    let now = Timestamp::from_micros(2 * 3_600_000_000);
    let begun = (0..30).map(|_| table.begin(KEY, STREAM, now));
    assert_eq!(begun.filter(|&it| it == Urgency::Person).count(), 30);
}

#[test]
fn many_concurrent_requests_do_not_rank_as_persons() {
    let mut table = UrgencyTable::default();
    let now = Timestamp::from_micros(1);
    let begun = (0..40).map(|_| table.begin(KEY, STREAM, now));
    let bulk = begun.filter(|&it| it == Urgency::Bulk).count();
    assert_eq!(bulk, 8);
    let lots = CallTraits {
        interface: CallerInterface::Lots,
        streaming: false,
    };
    assert_eq!(table.begin(KEY, lots, now), Urgency::Lot);
}

#[test]
fn idle_keys_are_dropped() {
    let mut table = UrgencyTable::default();
    for key in 0..1000 {
        table.begin(CallerKey(key), STREAM, Timestamp::from_micros(1));
        table.end(CallerKey(key), STREAM, Urgency::Person);
    }
    let kept = table.begin(KEY, STREAM, Timestamp::from_micros(2));
    assert_eq!((kept, table.entry_count()), (Urgency::Person, 1000));
    let full = table.memory();
    table.poll(Timestamp::from_micros(7_200_000_000));
    assert_eq!(
        table.entry_count(),
        1,
        "the key that has a request in flight"
    );
    assert!(full < 200_000, "{full} bytes for 1000 keys");
}
