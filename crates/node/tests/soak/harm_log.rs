//! Records which faults were active at which time.

use std::time::Instant;

/// A component under a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ActiveFault {
    /// This daemon is paused.
    Paused(usize),
    /// This daemon isn't running.
    Down(usize),
    /// The store rejects this daemon's requests.
    StoreRejects(usize),
    /// This link doesn't deliver everything.
    LinkCut(usize),
    /// The store answers no request.
    StoreSilent,
}

#[derive(Clone, Copy, Debug)]
struct FaultPeriod {
    fault: ActiveFault,
    begin: Instant,
    end: Option<Instant>,
}

/// The periods in which faults were active.
#[derive(Debug, Default)]
pub(crate) struct FaultLog {
    periods: Vec<FaultPeriod>,
}

impl FaultLog {
    pub(crate) fn begin(&mut self, fault: ActiveFault, now: Instant) {
        let is_open = |it: &FaultPeriod| it.fault == fault && it.end.is_none();
        if !self.periods.iter().any(is_open) {
            self.periods.push(FaultPeriod {
                fault,
                begin: now,
                end: None,
            });
        }
    }

    pub(crate) fn end(&mut self, fault: ActiveFault, now: Instant) {
        let mut periods = self.periods.iter_mut();
        if let Some(period) = periods.find(|it| it.fault == fault && it.end.is_none()) {
            period.end = Some(now);
        }
    }

    /// Returns whether a fault was active at any time between `from` and `until`.
    pub(crate) fn was_active(&self, fault: ActiveFault, from: Instant, until: Instant) -> bool {
        let overlaps = |it: &FaultPeriod| it.begin <= until && it.end.is_none_or(|end| end >= from);
        self.periods
            .iter()
            .any(|it| it.fault == fault && overlaps(it))
    }
}
