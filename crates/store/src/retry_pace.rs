//! The attempts and delays of repeated calls.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// How often a call is attempted and how long to wait between attempts.
///
/// The delays double up to a maximum, and each is drawn at random between half of its
/// value and all of it: otherwise, when the platform recovers from an outage, hundreds
/// of daemons would call it at the same instant, again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPolicy {
    /// The maximum number of attempts, including the first.
    pub attempts: u32,
    /// The maximum delay before the first repetition.
    pub first_delay: Duration,
    /// The maximum delay before any repetition.
    pub max_delay: Duration,
    /// The seed of the random delays; each process needs its own.
    pub seed: u64,
}

impl RetryPolicy {
    /// Creates the default policy with this process's seed.
    pub fn new(seed: u64) -> Self {
        RetryPolicy {
            attempts: 4,
            first_delay: Duration::from_millis(50),
            max_delay: Duration::from_secs(1),
            seed,
        }
    }

    /// Sets the maximum number of attempts.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets the maximum delay before the first repetition.
    pub fn first_delay(mut self, delay: Duration) -> Self {
        self.first_delay = delay;
        self
    }

    /// Sets the maximum delay before any repetition.
    pub fn max_delay(mut self, delay: Duration) -> Self {
        self.max_delay = delay;
        self
    }

    /// Returns the delays between the attempts.
    pub fn delays(self) -> impl Iterator<Item = Duration> + Send {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let repetitions = self.attempts.saturating_sub(1);
        (0..repetitions).map(move |repetition| self.delay(repetition, &mut rng))
    }

    /// Returns the delay before a repetition, the first being number 0.
    pub fn delay(&self, repetition: u32, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(repetition.min(20));
        let limit = self.first_delay.saturating_mul(factor);
        let limit = limit.min(self.max_delay);
        limit.mul_f64(rng.random_range(0.5..=1.0))
    }
}
