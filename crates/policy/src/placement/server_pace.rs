//! How much slower a server is than usual.
//!
//! The load patterns: one of three servers takes 1.3 times as long as the others; machines
//! are slowed to 2.5 times the usual time now and then, for some 100 ms; a server is five
//! times slower for seconds.
//!
//! Servers may report how long work takes at this moment. Such a figure is worth less the
//! older it is: how fast it loses its worth is estimated from successive figures. Where
//! servers report nothing, a server's mean hold time is compared with that of its service.

use std::time::Duration;

use crate::Timestamp;

/// How long a figure stays informative until there are enough pairs of figures.
const DEFAULT_MEMORY: Duration = Duration::from_millis(200);
const MIN_MEMORY: Duration = Duration::from_millis(20);
const MAX_MEMORY: Duration = Duration::from_secs(20);
/// The pairs of figures that the default counts for.
const DEFAULT_PAIRS: f64 = 20.0;
/// The fraction of the pairs' sums that is kept with each new pair.
const PAIR_DECAY: f64 = 0.99;
/// Figures further apart say little of how fast they change.
const MAX_PAIR_AGE: Duration = Duration::from_secs(1);
/// The smallest weight of a new figure in a server's mean figure.
const MEAN_FIGURE_WEIGHT: f64 = 0.05;
/// How long a server's mean figure counts after its last figure.
const FIGURE_LIFETIME: Duration = Duration::from_secs(10);
/// The weight of a new sample in a service's mean hold time.
const SERVICE_HOLD_WEIGHT: f64 = 0.02;
/// The samples of a server's hold time that the assumption of the usual pace counts for.
const USUAL_SAMPLES: f64 = 10.0;
/// The time constant with which a server's hold times lose their worth: a server that was
/// slow and gets no requests wouldn't show that it has recovered.
const HOLD_DECAY_TIME: Duration = Duration::from_secs(10);
/// Deviations below this come from the samples, not from the server.
const MIN_DEVIATION: f64 = 0.1;
const MIN_FACTOR: f64 = 0.5;
const MAX_FACTOR: f64 = 8.0;

/// What a daemon knows of the pace of a service's servers together.
#[derive(Clone, Debug)]
pub(super) struct ServicePace {
    pub(super) service: String,
    hold_secs: Option<f64>,
    /// Sums over pairs of successive figures of a server, as deviations from its mean: their
    /// products, their squares, and the ages of the first at the second.
    products: f64,
    squares: f64,
    ages: f64,
    pairs: f64,
}

impl ServicePace {
    pub(super) fn new(service: &str) -> Self {
        ServicePace {
            service: service.to_owned(),
            hold_secs: None,
            products: 0.0,
            squares: 0.0,
            ages: 0.0,
            pairs: 0.0,
        }
    }

    /// Returns how long a figure stays informative: the time after which its correlation with
    /// the next one has fallen to 1/e.
    pub(super) fn memory(&self) -> Duration {
        if self.pairs < 1.0 || self.squares < 1e-9 {
            return DEFAULT_MEMORY;
        }
        let age = self.ages / self.pairs;
        let correlation = (self.products / self.squares).clamp(0.01, 0.99);
        let measured = age / -correlation.ln();
        let default = DEFAULT_MEMORY.as_secs_f64();
        let weight = self.pairs / (self.pairs + DEFAULT_PAIRS);
        let secs = default + weight * (measured - default);
        Duration::from_secs_f64(secs).clamp(MIN_MEMORY, MAX_MEMORY)
    }

    fn record_pair(&mut self, former: f64, next: f64, age: Duration) {
        for sum in [
            &mut self.products,
            &mut self.squares,
            &mut self.ages,
            &mut self.pairs,
        ] {
            *sum *= PAIR_DECAY;
        }
        self.products += former * next;
        self.squares += (former * former + next * next) / 2.0;
        self.ages += age.as_secs_f64();
        self.pairs += 1.0;
    }

    fn record_hold(&mut self, hold_secs: f64) -> f64 {
        let mean = self.hold_secs.get_or_insert(hold_secs);
        *mean += SERVICE_HOLD_WEIGHT * (hold_secs - *mean);
        *mean
    }
}

#[derive(Clone, Copy, Debug)]
struct PaceFigure {
    /// The reported time as a multiple of the usual one.
    factor: f64,
    reported_at: Timestamp,
    memory: Duration,
}

/// What a daemon knows of the pace of one server.
#[derive(Clone, Debug, Default)]
pub(super) struct ServerPace {
    last: Option<PaceFigure>,
    mean_factor: f64,
    figures: f64,
    /// The server's mean hold time, as a multiple of its service's, at the last sample.
    hold_ratio: f64,
    holds: f64,
    /// When a request was last sent to it.
    used_at: Timestamp,
}

impl ServerPace {
    /// Applies a figure that the server reports.
    pub(super) fn report(&mut self, percent: u32, service: &mut ServicePace, now: Timestamp) {
        let factor = (f64::from(percent) / 100.0).clamp(MIN_FACTOR, MAX_FACTOR);
        self.figures += 1.0;
        let weight = MEAN_FIGURE_WEIGHT.max(1.0 / self.figures);
        self.mean_factor += weight * (factor - self.mean_factor);
        if let Some(last) = self.last {
            let age = now.since(last.reported_at);
            if !age.is_zero() && age < MAX_PAIR_AGE {
                let mean = self.mean_factor;
                service.record_pair(last.factor - mean, factor - mean, age);
            }
        }
        self.last = Some(PaceFigure {
            factor,
            reported_at: now,
            memory: service.memory(),
        });
    }

    /// Records that a request is sent to the server.
    pub(super) fn record_use(&mut self, now: Timestamp) {
        self.used_at = now;
    }

    /// Records how long a request held its slot.
    pub(super) fn record_hold(
        &mut self,
        mean_hold_secs: f64,
        hold_time: Duration,
        service: &mut ServicePace,
    ) {
        let service_mean = service.record_hold(hold_time.as_secs_f64());
        self.hold_ratio = mean_hold_secs / service_mean.max(1e-6);
        self.holds += 1.0;
    }

    /// Returns how long work takes on the server, as a multiple of the usual time.
    pub(super) fn factor(&self, now: Timestamp) -> f64 {
        match self.reported_factor(now) {
            Some(factor) => factor,
            None => self.held_factor(now),
        }
    }

    /// Returns how long work takes on the server over some time, as a multiple of the usual
    /// time: what it reports changes before an item of a lot ends.
    pub(super) fn lasting_factor(&self, now: Timestamp) -> f64 {
        match self.reported_factor(now) {
            Some(_) => self.mean_factor,
            None => self.held_factor(now),
        }
    }

    fn reported_factor(&self, now: Timestamp) -> Option<f64> {
        let last = self.last?;
        let age = now.since(last.reported_at);
        if age > FIGURE_LIFETIME {
            return None;
        }
        let worth = (-age.as_secs_f64() / last.memory.as_secs_f64()).exp();
        Some(self.mean_factor + worth * (last.factor - self.mean_factor))
    }

    /// Returns how long work takes on the server by its hold times, as a multiple of the time
    /// that it takes on all servers of the service; 1 where the server reports its pace.
    pub(super) fn held_factor(&self, now: Timestamp) -> f64 {
        if self.holds < 1.0 || self.last.is_some() {
            return 1.0;
        }
        let age = now.since(self.used_at).as_secs_f64() / HOLD_DECAY_TIME.as_secs_f64();
        let worth = self.holds / (self.holds + USUAL_SAMPLES) * (-age).exp();
        let deviation = (self.hold_ratio - 1.0) * worth;
        if deviation.abs() < MIN_DEVIATION {
            return 1.0;
        }
        (1.0 + deviation).clamp(MIN_FACTOR, MAX_FACTOR)
    }
}

/// Returns what is known of the pace of a service's servers, out of a list that is sorted by
/// service.
pub(super) fn pace_of<'a>(
    services: &'a mut Vec<ServicePace>,
    service: &str,
) -> &'a mut ServicePace {
    let index = services.binary_search_by(|it| it.service.as_str().cmp(service));
    let index = index.unwrap_or_else(|index| {
        services.insert(index, ServicePace::new(service));
        index
    });
    &mut services[index]
}
