//! The times at which refused callers are told to return.

use std::{collections::VecDeque, time::Duration};

use rand::Rng;

use super::TimeLeft;
use crate::Timestamp;

/// The time over which starts are counted: longer than a burst of starts after a pause,
/// shorter than the phases of the load (2.4 s and 3.4 s).
const START_WINDOW: Duration = Duration::from_millis(1_500);
/// The fraction of the recent starts that is promised to callers that return. The rest is
/// left to newcomers, who would otherwise all be refused once.
const PROMISED_FRACTION: f64 = 0.5;
/// How much further a lower rank stays away from other promised times than the highest
/// rank, so that higher ranks that are refused later find times in between.
const LOWER_RANK_SPACING: f64 = 2.0;
/// The shortest delay that a caller is told. Capacity that is free sooner goes to requests
/// that wait.
const MIN_RETURN_DELAY: Duration = Duration::from_millis(250);
/// The part of its time left for which a caller honours a delay.
const HONOURED_FRACTION: f64 = 1.0 / 3.0;

/// A refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnQuery {
    /// The priority of the request; 0 is the highest.
    pub priority: u32,
    /// How long its caller still waits.
    pub time_left: TimeLeft,
}

/// The time at which a refused caller should return.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnTime {
    /// The delay until then.
    pub delay: Duration,
    /// Whether capacity is expected then that wasn't promised to another caller.
    pub is_promised: bool,
}

/// What one daemon has recently started on a service's servers, and what it has promised of
/// that to callers that it refused.
///
/// A daemon promises a part of the capacity that it has recently been able to use itself.
/// All daemons do, so that a caller may return at any of them.
#[derive(Clone, Debug, Default)]
pub struct ReturnPlan {
    /// When the daemon started requests, within [`START_WINDOW`].
    starts: VecDeque<Timestamp>,
    /// When the first request was started or refused since the daemon was idle.
    counted_since: Option<Timestamp>,
    /// The promised times, sorted.
    promises: VecDeque<Timestamp>,
}

impl ReturnPlan {
    /// Records that a request starts.
    pub fn record_start(&mut self, now: Timestamp) {
        self.advance(now);
        self.counted_since.get_or_insert(now);
        self.starts.push_back(now);
    }

    /// Returns the promised times that haven't passed.
    pub fn promises(&mut self, now: Timestamp) -> impl Iterator<Item = Timestamp> + '_ {
        self.advance(now);
        self.promises.iter().copied()
    }

    /// Returns how many requests a second the daemon has recently started.
    pub fn start_rate(&mut self, now: Timestamp) -> f64 {
        self.advance(now);
        let since = self
            .counted_since
            .map_or(Duration::ZERO, |it| now.since(it));
        let counted = since.clamp(START_WINDOW / 4, START_WINDOW);
        self.starts.len() as f64 / counted.as_secs_f64()
    }

    /// Chooses the time at which a refused caller returns: the earliest one that is far
    /// enough from other promised times, if there is any at which it is still recognised as
    /// a promised return. Other callers are told longer delays, spread up to the longest that
    /// they honour.
    pub fn plan(
        &mut self,
        query: ReturnQuery,
        now: Timestamp,
        random: &mut impl Rng,
    ) -> ReturnTime {
        let time_left = query.time_left;
        let (min_delay, max_delay) = time_left.promised_delays();
        let min_delay = min_delay.max(MIN_RETURN_DELAY);
        let rate = self.start_rate(now) * PROMISED_FRACTION;
        if rate > 0.0 {
            let spacing_secs = 1.0 / rate;
            let gap_secs = match query.priority {
                0 => spacing_secs,
                _ => spacing_secs * LOWER_RANK_SPACING,
            };
            // Callers that are refused at the same moment by several daemons shouldn't
            // return at the same moment either.
            let first = min_delay.as_secs_f64() + spacing_secs * random.random::<f64>();
            let time = self.earliest_gap(now + secs(first), secs(gap_secs));
            if time <= now + max_delay {
                let index = self.promises.partition_point(|it| *it <= time);
                self.promises.insert(index, time);
                return ReturnTime {
                    delay: time.since(now),
                    is_promised: true,
                };
            }
        }
        let first = time_left.unpromised_delay().max(MIN_RETURN_DELAY);
        let last = time_left.left.mul_f64(HONOURED_FRACTION).max(first);
        ReturnTime {
            delay: first + (last - first).mul_f64(random.random()),
            is_promised: false,
        }
    }

    /// Returns the earliest time from `first` on that is at least `gap` away from all
    /// promised times.
    fn earliest_gap(&self, first: Timestamp, gap: Duration) -> Timestamp {
        let mut time = first;
        for &promise in &self.promises {
            if promise + gap <= time {
                continue;
            }
            if time + gap <= promise {
                break;
            }
            time = promise + gap;
        }
        time
    }

    fn advance(&mut self, now: Timestamp) {
        while self
            .starts
            .front()
            .is_some_and(|it| now.since(*it) > START_WINDOW)
        {
            self.starts.pop_front();
        }
        while self.promises.front().is_some_and(|it| *it <= now) {
            self.promises.pop_front();
        }
        if self.starts.is_empty() {
            self.counted_since = None;
        }
    }
}

fn secs(secs: f64) -> Duration {
    Duration::from_secs_f64(secs.min(3_600.0))
}
