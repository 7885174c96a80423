//! Random arrival times with a time-dependent rate.

use std::time::Duration;

use rand::Rng;

use super::mix::{BurstMix, OverdriveMix};

/// A period in which the base rate is multiplied by a factor.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RatePeriod {
    pub(crate) from: Duration,
    pub(crate) until: Duration,
    pub(crate) factor: f64,
}

impl From<OverdriveMix> for RatePeriod {
    fn from(mix: OverdriveMix) -> Self {
        RatePeriod {
            from: mix.from,
            until: mix.from + mix.span,
            factor: mix.factor,
        }
    }
}

/// Generates the bursts within a span. The gaps from the end of one burst to the
/// start of the next are exponentially distributed.
pub(crate) fn burst_periods(
    mix: BurstMix,
    span: Duration,
    random: &mut impl Rng,
) -> Vec<RatePeriod> {
    let mut periods = Vec::new();
    let mut from = draw_exponential(mix.every, random);
    while from < span {
        let until = from + mix.span;
        periods.push(RatePeriod {
            from,
            until,
            factor: mix.factor,
        });
        from = until + draw_exponential(mix.every, random);
    }
    periods
}

/// Generates Poisson arrivals within a span, at `rate` per second times the factors
/// of the periods that are active at each time.
pub(crate) fn arrival_times(
    rate: f64,
    periods: &[RatePeriod],
    span: Duration,
    random: &mut impl Rng,
) -> Vec<Duration> {
    // Thinning: candidates are drawn at the highest rate, and each is kept with
    // the probability `current rate / highest rate`.
    let highest = highest_factor(periods);
    let gap = Duration::from_secs_f64(1.0 / (rate * highest));
    let mut times = Vec::new();
    let mut at = draw_exponential(gap, random);
    while at < span {
        if random.random_bool((factor_at(periods, at) / highest).min(1.0)) {
            times.push(whole_micros(at));
        }
        at += draw_exponential(gap, random);
    }
    times
}

/// Returns the rate factor at a time. Overlapping periods multiply.
fn factor_at(periods: &[RatePeriod], at: Duration) -> f64 {
    let active = periods.iter().filter(|it| it.from <= at && at < it.until);
    active.map(|it| it.factor).product()
}

/// Returns the highest rate factor, which is at least 1. The factor changes only
/// where a period begins or ends, so it is enough to check these times.
fn highest_factor(periods: &[RatePeriod]) -> f64 {
    let changes = periods.iter().flat_map(|it| [it.from, it.until]);
    let factors = changes.map(|at| factor_at(periods, at));
    factors.fold(1.0, f64::max)
}

/// Truncates to whole microseconds, the resolution of a trace file, so that a
/// generated trace equals the trace that is read back from its file.
fn whole_micros(at: Duration) -> Duration {
    Duration::from_micros(at.as_micros() as u64)
}

fn draw_exponential(mean: Duration, random: &mut impl Rng) -> Duration {
    let uniform: f64 = random.random();
    mean.mul_f64(-(1.0 - uniform).ln())
}
