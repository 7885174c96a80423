//! Simulates how settings reach a fleet of the expected future size, on virtual time,
//! and prints the figures of `docs/FRESHNESS.md`: `cargo run --release -p
//! comfreyramp-policy --example freshness`.

#[allow(dead_code, reason = "shared with the tests")]
#[allow(clippy::unwrap_used, reason = "shared with the tests")]
#[path = "../tests/fleet_run/mod.rs"]
mod fleet_run;

use std::time::Duration;

use comfreyramp_policy::FreshnessSettings;
use fleet_run::FleetRun;

/// 360 daemons in 7 zones.
const ZONES: [usize; 7] = [52, 52, 52, 51, 51, 51, 51];
/// How often the settings are changed in each case.
const CHANGES: u32 = 20;
/// The time between two changes.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3_370);

/// One simulated case, printed as a row of the table.
struct CaseRun {
    name: &'static str,
    run: FleetRun,
    max_delay: Duration,
    max_age: Duration,
    watches: usize,
}

impl CaseRun {
    fn new(name: &'static str) -> Self {
        CaseRun::of(name, FreshnessSettings::default())
    }

    fn of(name: &'static str, settings: FreshnessSettings) -> Self {
        let mut run = FleetRun::with_settings(&ZONES, 1, settings);
        run.advance(Duration::from_secs(20));
        CaseRun {
            name,
            run,
            max_delay: Duration::ZERO,
            max_age: Duration::ZERO,
            watches: 0,
        }
    }

    /// Changes the settings [`CHANGES`] times and prints the results.
    fn print(mut self) {
        let began = self.run.now();
        let (calls, queries) = (self.run.platform_calls, self.run.queries);
        for _ in 0..CHANGES {
            self.max_delay = self.max_delay.max(self.run.change_settings());
            self.run.advance(CHANGE_INTERVAL);
            self.max_age = self.max_age.max(self.run.oldest_view());
            self.watches = self.watches.max(self.run.followers());
        }
        let seconds = self.run.now().since(began).as_secs_f64();
        let per_second = |count: usize| count as f64 / seconds;
        println!(
            "| {} | {:.2} s | {:.2} s | {} | {:.1} | {:.1} |",
            self.name,
            self.max_delay.as_secs_f64(),
            self.max_age.as_secs_f64(),
            self.watches,
            per_second(self.run.platform_calls - calls),
            per_second(self.run.queries - queries),
        );
    }
}

fn main() {
    println!(
        "| case | in force everywhere | oldest view | watches | reads a second | asks a second |"
    );
    println!("|---|---|---|---|---|---|");
    let everyone = FreshnessSettings {
        watchers: usize::MAX,
        ..FreshnessSettings::default()
    };
    CaseRun::of("every daemon watches (baseline)", everyone).print();
    CaseRun::new("all well").print();

    let mut silent = CaseRun::new("watches silent");
    silent.run.watches_silent = true;
    silent.print();

    let mut lost = CaseRun::new("both watchers of a zone lost");
    for watcher in lost.run.followers_in_zone(0) {
        lost.run.stop(watcher);
    }
    lost.print();

    let mut cut = CaseRun::new("both watchers of a zone without platform");
    for watcher in cut.run.followers_in_zone(0) {
        cut.run.cut_from_platform(watcher, true);
    }
    cut.print();

    let mut zone = CaseRun::new("a zone without platform");
    for daemon in zone.run.zone(0) {
        zone.run.cut_from_platform(daemon, true);
    }
    zone.print();

    let mut recovered = CaseRun::new("after an outage of 10 minutes");
    recovered.run.platform_up = false;
    recovered.run.advance(Duration::from_secs(600));
    recovered.run.platform_up = true;
    recovered.print();
}
