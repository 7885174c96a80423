//! Checks of a run's results that are independent of the ledgers.

/// Returns the greatest excess over `rate * window + burst` over all windows, with the
/// rate given as steps of (start, rate, burst). Zero or less means that there is no
/// excess.
pub(crate) fn overshoot(times: &[u64], steps: &[(u64, f64, f64)]) -> f64 {
    let allowance = |time: u64| {
        let mut sum = 0.0;
        for (index, (start, rate, _)) in steps.iter().enumerate() {
            let end = steps.get(index + 1).map_or(u64::MAX, |step| step.0);
            let covered = time.min(end).saturating_sub(*start);
            sum += rate * covered as f64 / 1e6;
        }
        sum
    };
    let burst_at = |time: u64| {
        let step = steps.iter().rev().find(|step| step.0 <= time);
        step.map_or(0.0, |step| step.2)
    };
    // A window is allowed the burst at its start, if that was larger.
    let mut max_excess = f64::MIN;
    let mut min_level = f64::MAX;
    for (index, time) in times.iter().enumerate() {
        let level = index as f64 - allowance(*time);
        min_level = min_level.min(level + burst_at(*time));
        max_excess = max_excess.max(level + 1.0 - min_level);
    }
    if max_excess < 1e-6 {
        max_excess.min(0.0)
    } else {
        max_excess
    }
}

/// One token bucket for the whole fleet. A refusal is wrong if this bucket would admit.
pub(crate) struct CentralBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: u64,
}

impl CentralBucket {
    pub(crate) fn new(rate: f64, burst: f64) -> Self {
        CentralBucket {
            rate,
            burst,
            level: burst,
            at: 0,
        }
    }

    pub(crate) fn admits(&mut self, now: u64) -> bool {
        let gain = (now - self.at) as f64 / 1e6 * self.rate;
        self.level = (self.level + gain).min(self.burst);
        self.at = now;
        if self.level < 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
