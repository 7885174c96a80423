//! The age of a lot is never more than the true one, whichever daemons run it.

use std::time::Duration;

use comfreyramp_policy::{Timestamp, lots::LotAge};
use rand::{Rng, SeedableRng, rngs::StdRng};

const SEEDS: u64 = 200;
/// The lot changes its daemon this often.
const HOLDERS: usize = 6;
/// How much faster or slower the clocks of daemons may run: time services that correct
/// seconds make them do so.
const DRIFT: f64 = 0.083;

/// A daemon's monotonic clock, by its origin and rate.
struct DaemonClock {
    started_at: f64,
    rate: f64,
}

impl DaemonClock {
    fn at(&self, seconds: f64) -> Timestamp {
        let passed = (seconds - self.started_at).max(0.0) * self.rate;
        Timestamp::ZERO + Duration::from_secs_f64(passed)
    }
}

/// Clocks of different origins and rates, daemons that know the lot long before they run it
/// or only start then, and ages that aren't stored must not make a lot older than it is.
#[test]
fn a_lot_is_never_older_than_it_is() {
    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        // The lot was submitted at second zero.
        let mut seconds = random.random_range(0.0..1.0);
        let mut stored = Duration::ZERO;
        for holder in 0..HOLDERS {
            let clock = DaemonClock {
                started_at: random.random_range(-500.0..=seconds),
                rate: 1.0 + random.random_range(-DRIFT..DRIFT),
            };
            let known_since = clock.at(random.random_range(0.0..=seconds));
            let age = LotAge::new(stored, clock.at(seconds), known_since);
            for _ in 0..random.random_range(0..5) {
                seconds += random.random_range(0.0..20.0);
                let proved = age.at(clock.at(seconds));
                assert!(
                    proved.as_secs_f64() <= seconds + 1e-6,
                    "seed {seed}, daemon {holder}: {proved:?} after {seconds} s"
                );
                if random.random_bool(0.5) {
                    stored = stored.max(proved);
                }
            }
        }
    }
}

/// A daemon that takes a lot over must go on from the age that the one before it stored.
#[test]
fn a_stored_age_is_continued() {
    let now = Timestamp::ZERO + Duration::from_secs(100);
    let age = LotAge::new(Duration::from_secs(30), now, now);
    let later = now + Duration::from_secs(20);
    let left = age.time_left(Duration::from_secs(60), later);
    assert!(left >= Duration::from_secs(10), "{left:?}");
    assert!(left <= Duration::from_secs(12), "{left:?}");
}

/// A daemon that has known a lot for longer than the stored age must use what it knows.
#[test]
fn an_observed_age_is_used_where_it_is_more() {
    let known_since = Timestamp::ZERO + Duration::from_secs(5);
    let now = known_since + Duration::from_secs(40);
    let age = LotAge::new(Duration::from_secs(10), now, known_since);
    assert!(age.at(now) >= Duration::from_secs(36));
    assert!(age.at(now) <= Duration::from_secs(40));
}
