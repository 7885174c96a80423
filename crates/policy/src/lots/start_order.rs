//! The order in which items start while more of them wait than there are slots.

use std::time::Duration;

/// An item that would be given up within this many times its own run time starts ahead
/// of all others: one run, and the time for a second one should its server fail.
const LAST_CHANCE_RUNS: u32 = 3;

/// The times that decide when an item starts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ItemTimes {
    /// The time until the item is due; zero once that has passed.
    pub due_in: Duration,
    /// The time until the item is given up.
    pub given_up_in: Duration,
    /// How long the rest of the item takes to run.
    pub needs: Duration,
}

/// The rank of an item that waits: lower ones start first.
///
/// Ordered by due time alone, a burst of lots makes everything late that comes after
/// it: the items at the head of the queue have just missed their due time, each of them
/// takes a slot, and meanwhile the next ones miss theirs. So an item that can't be on
/// time any more waits for those that can, and loses little, since it is late either
/// way. It starts in any case before it would be given up. `tests/start_order.rs`
/// replays a burst.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StartRank {
    /// It would be given up soon; ordered by the time left until then.
    LastChance(Duration),
    /// It can be on time; ordered by due time.
    OnTime(Duration),
    /// It will be late in any case; ordered by the time until it is given up.
    Late(Duration),
}

impl StartRank {
    /// Returns the rank of an item with these times.
    pub fn of(times: ItemTimes) -> Self {
        if times.due_in >= times.needs {
            return StartRank::OnTime(times.due_in);
        }
        match times.given_up_in <= times.needs * LAST_CHANCE_RUNS {
            true => StartRank::LastChance(times.given_up_in),
            false => StartRank::Late(times.given_up_in),
        }
    }
}

/// The typical run time of items, as a decaying mean.
#[derive(Clone, Copy, Debug)]
pub struct RunTimeEstimate {
    secs_per_event: f64,
    events_per_item: f64,
}

/// The weight of a new sample in the mean.
const SAMPLE_WEIGHT: f64 = 0.1;

impl Default for RunTimeEstimate {
    /// Without samples, every item counts as able to be on time.
    fn default() -> Self {
        RunTimeEstimate {
            secs_per_event: 0.0,
            events_per_item: 0.0,
        }
    }
}

impl RunTimeEstimate {
    /// Records a run that produced `events` events.
    pub fn record_run(&mut self, run_time: Duration, events: u32) {
        if events > 0 {
            let secs_per_event = run_time.as_secs_f64() / f64::from(events);
            update_mean(&mut self.secs_per_event, secs_per_event);
        }
    }

    /// Records how many events a whole item had.
    pub fn record_item_events(&mut self, events: u32) {
        update_mean(&mut self.events_per_item, f64::from(events));
    }

    /// Returns how long the rest of an item takes that has produced `events` events so
    /// far.
    pub fn remaining(&self, events: u32) -> Duration {
        let remaining = (self.events_per_item - f64::from(events)).max(0.0);
        Duration::from_secs_f64(remaining * self.secs_per_event)
    }
}

/// The first sample is taken as it is: averaged with the initial zero it would be far
/// too low.
fn update_mean(mean: &mut f64, sample: f64) {
    let weight = if *mean > 0.0 { SAMPLE_WEIGHT } else { 1.0 };
    *mean += (sample - *mean) * weight;
}
