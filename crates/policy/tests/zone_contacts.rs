//! Daemons notice that a zone is cut off by the silence of all its daemons.

use std::time::Duration;

use comfreyramp_policy::{
    ServerId, Timestamp, ZoneContacts,
    placement::{PlacementQuery, PlacementTable, ServerListing},
    usage::PeerId,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const ZONES: [&str; 3] = ["a", "b", "c"];
const DAEMONS_PER_ZONE: usize = 17;
const REPORT_INTERVAL: Duration = Duration::from_millis(750);
const STEP: Duration = Duration::from_millis(5);
const LOST_DATAGRAMS: f64 = 0.02;

/// Replays the reports that a daemon of zone `a` receives, with those of the zones in `cut`
/// missing from `cut_at` on. Returns when each zone was first taken as silent.
fn first_silences(cut: &[&str], daemons: usize, seed: u64) -> Vec<(String, Duration)> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut contacts = ZoneContacts::default();
    let mut next: Vec<(usize, Duration)> = (0..daemons * ZONES.len())
        .map(|it| (it % ZONES.len(), REPORT_INTERVAL.mul_f64(random.random())))
        .collect();
    let mut silences: Vec<(String, Duration)> = Vec::new();
    let mut elapsed = Duration::ZERO;
    while elapsed < Duration::from_secs(20) {
        elapsed += STEP;
        let now = Timestamp::from_micros(elapsed.as_micros() as u64);
        for (zone, at) in &mut next {
            if *at > elapsed {
                continue;
            }
            *at += REPORT_INTERVAL;
            let is_cut = elapsed >= CUT_AT && cut.contains(&ZONES[*zone]);
            if !is_cut && !random.random_bool(LOST_DATAGRAMS) {
                contacts.note(ZONES[*zone], now);
            }
        }
        for zone in contacts.silent("a", |_| daemons, REPORT_INTERVAL, now) {
            if silences.iter().all(|it| it.0 != zone) {
                silences.push((zone, elapsed));
            }
        }
    }
    silences
}

const CUT_AT: Duration = Duration::from_secs(8);

/// Each request to a server behind a cut costs its caller a timeout of the connection.
#[test]
fn a_cut_is_noticed_within_a_second() {
    for seed in 0..20 {
        let silences = first_silences(&["b"], DAEMONS_PER_ZONE, seed);
        assert_eq!(silences.len(), 1, "seed {seed}: {silences:?}");
        assert_eq!(silences[0].0, "b");
        let delay = silences[0].1 - CUT_AT;
        assert!(delay < Duration::from_secs(1), "seed {seed}: {delay:?}");
    }
}

/// Lost datagrams must not make servers that answer a last resort.
#[test]
fn lost_datagrams_are_no_cut() {
    for seed in 0..20 {
        for daemons in [2, 4, DAEMONS_PER_ZONE] {
            let silences = first_silences(&[], daemons, seed);
            assert_eq!(silences, [], "{daemons} daemons, seed {seed}");
        }
    }
}

/// A daemon that hears nobody, as after a suspension, knows nothing of other zones.
#[test]
fn a_daemon_that_hears_nobody_avoids_no_zone() {
    let mut contacts = ZoneContacts::default();
    let start = Timestamp::from_micros(1_000_000);
    for zone in ZONES {
        contacts.note(zone, start);
    }
    let later = start + Duration::from_secs(5);
    let silent = |contacts: &mut ZoneContacts| contacts.silent("a", |_| 17, REPORT_INTERVAL, later);
    assert_eq!(silent(&mut contacts), Vec::<String>::new());
    contacts.note("a", later);
    assert_eq!(silent(&mut contacts), ["b", "c"]);
    contacts.note("b", later);
    assert_eq!(silent(&mut contacts), ["c"]);
}

/// The zones that zone `a`, which is heard, avoids at a moment after `b` was last heard, and
/// whether `b` is still asked.
fn avoided_after(
    contacts: &mut ZoneContacts,
    daemons_of_b: usize,
    after: Duration,
) -> (Vec<String>, bool) {
    let now = Timestamp::from_micros(1_000_000) + after;
    contacts.note("a", now);
    let daemons = |zone: &str| if zone == "b" { daemons_of_b } else { 17 };
    let avoided = contacts.silent("a", daemons, REPORT_INTERVAL, now);
    let is_asked = contacts.unheard().any(|it| it == "b");
    (avoided, is_asked)
}

/// Guards against a zone that counts as cut off for ever, since its daemons have left for good
/// or only they are cut off.
#[test]
fn a_zone_whose_servers_answer_is_not_avoided() {
    let start = Timestamp::from_micros(1_000_000);
    let mut contacts = ZoneContacts::default();
    contacts.note("b", start);
    assert!(!contacts.note_answer("b", start), "it isn't silent yet");
    let at = Duration::from_secs;
    assert_eq!(
        avoided_after(&mut contacts, 17, at(2)),
        (vec!["b".to_owned()], true)
    );
    assert!(contacts.note_answer("b", start + at(3)));
    assert_eq!(avoided_after(&mut contacts, 17, at(3)), (Vec::new(), true));
    assert!(!contacts.note_answer("b", start + at(5)));
    assert_eq!(avoided_after(&mut contacts, 17, at(7)), (Vec::new(), true));
    // The servers answer no more.
    assert_eq!(
        avoided_after(&mut contacts, 17, at(8)),
        (vec!["b".to_owned()], true)
    );
    // Nor does a lease that expires show that the cut has ended.
    assert_eq!(
        avoided_after(&mut contacts, 0, at(9)),
        (vec!["b".to_owned()], true)
    );
    // Its daemons have left, and there is nobody to be heard.
    assert!(contacts.note_answer("b", start + at(10)));
    for later in [10, 60, 600] {
        let avoided = avoided_after(&mut contacts, 0, at(later));
        assert_eq!(avoided, (Vec::new(), false), "after {later} s");
    }
}

/// Guards against requests that are sent into a cut since servers answered up to its begin.
#[test]
fn answers_before_a_cut_do_not_hide_it() {
    let start = Timestamp::from_micros(1_000_000);
    let mut contacts = ZoneContacts::default();
    contacts.note("b", start);
    contacts.note_answer("b", start + Duration::from_millis(200));
    let avoided = avoided_after(&mut contacts, 17, Duration::from_millis(700));
    assert_eq!(avoided, (vec!["b".to_owned()], true));
}

fn listing(name: &str, zone: &str) -> ServerListing {
    ServerListing {
        name: name.to_owned(),
        service: "proofs".to_owned(),
        zone: zone.to_owned(),
        address: format!("{name}:80"),
        slots: 6,
        is_ready: true,
        version: "v1".to_owned(),
        incarnation: 1,
        cold_left: Some(Duration::ZERO),
        revision: 1,
    }
}

/// A plain service with one server in each zone: no request is sent into the cut while the
/// zone's own server has room, and if there is no other server, the silence may be wrong.
#[test]
fn servers_of_a_silent_zone_are_a_last_resort() {
    let now = Timestamp::from_micros(1_000_000);
    let mut table = PlacementTable::new(PeerId(1));
    table.set_listings(&ZONES.map(|it| listing(it, it)), now);
    table.set_homes(|_| false);
    table.set_silent_zones(vec!["b".to_owned(), "c".to_owned()]);
    let mut random = StdRng::seed_from_u64(1);
    let mut choose = |exclude: &[ServerId]| {
        let query = PlacementQuery {
            service: "proofs",
            zone: "a",
            exclude,
            max_wait: Duration::from_millis(200),
            software: None,
            parts: &[],
        };
        let placement = table.choose_live(query, now, &mut random);
        placement.map(|it| table.listing(it.server).name.clone())
    };
    for _ in 0..50 {
        assert_eq!(choose(&[]), Ok("a".to_owned()));
    }
    assert!(choose(&[ServerId(0)]).is_ok());
}
