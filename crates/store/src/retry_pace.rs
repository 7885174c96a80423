//! How fast a call is repeated.

use std::time::Duration;

use rand::{Rng, SeedableRng, rngs::StdRng};

/// How often and with which waits a call is repeated.
///
/// The waits double up to a bound, and each is drawn between half of it and
/// all of it: when the platform comes back, hundreds of daemons would otherwise
/// call it in the same instant, again and again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryPace {
    /// How often the call is made at most.
    pub attempts: u32,
    /// The longest wait before the first repetition.
    pub first_wait: Duration,
    /// The longest wait before any repetition.
    pub longest_wait: Duration,
    /// The seed of the draws; each process needs its own.
    pub seed: u64,
}

impl RetryPace {
    /// The default pace, with this process's seed.
    pub fn new(seed: u64) -> Self {
        RetryPace {
            attempts: 4,
            first_wait: Duration::from_millis(50),
            longest_wait: Duration::from_secs(1),
            seed,
        }
    }

    /// Sets how often the call is made at most.
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts;
        self
    }

    /// Sets the longest wait before the first repetition.
    pub fn first_wait(mut self, wait: Duration) -> Self {
        self.first_wait = wait;
        self
    }

    /// Sets the longest wait before any repetition.
    pub fn longest_wait(mut self, wait: Duration) -> Self {
        self.longest_wait = wait;
        self
    }

    /// The waits between the attempts.
    pub fn waits(self) -> impl Iterator<Item = Duration> + Send {
        let mut rng = StdRng::seed_from_u64(self.seed);
        let repetitions = self.attempts.saturating_sub(1);
        (0..repetitions).map(move |repetition| self.wait(repetition, &mut rng))
    }

    /// The wait before a repetition, the first being number 0.
    pub fn wait(&self, repetition: u32, rng: &mut impl Rng) -> Duration {
        let factor = 2_u32.saturating_pow(repetition.min(20));
        let longest = self.first_wait.saturating_mul(factor);
        let longest = longest.min(self.longest_wait);
        longest.mul_f64(rng.random_range(0.5..=1.0))
    }
}
