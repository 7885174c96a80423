//! The state of a loan between a slot's holders in two zones.

use std::time::Duration;

use crate::Timestamp;

use super::{LedgerTiming, Slice};

/// How long no loan is requested from a zone that lent nothing.
const REFUSED_BACKOFF: Duration = Duration::from_secs(1);

/// The state of a loan from the slot's holder in another zone to this holder.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum ZoneLoan {
    /// There is no loan, and none was requested.
    #[default]
    Idle,
    /// A loan was requested; the request times out at `until`.
    Requested { loan: u64, until: Timestamp },
    /// The other zone lent nothing; no request is sent before `until`.
    Refused { until: Timestamp },
    /// `slice` is on loan until `until`, and the loan is due for renewal at `renew_at`.
    Borrowed {
        loan: u64,
        slice: Slice,
        until: Timestamp,
        renew_at: Timestamp,
    },
}

impl ZoneLoan {
    /// Treats a request that has timed out as refused, and ends the backoff after a
    /// refusal.
    pub(super) fn end_waits(&mut self, now: Timestamp) {
        match *self {
            ZoneLoan::Requested { until, .. } if until <= now => {
                *self = ZoneLoan::refused(now);
            }
            ZoneLoan::Refused { until } if until <= now => *self = ZoneLoan::Idle,
            _ => {}
        }
    }

    /// Returns the state after a refusal.
    pub(super) fn refused(now: Timestamp) -> Self {
        ZoneLoan::Refused {
            until: now + REFUSED_BACKOFF,
        }
    }

    /// Returns when the loan expired, if it has expired by `now`.
    pub(super) fn expired_at(&self, now: Timestamp) -> Option<Timestamp> {
        match self {
            ZoneLoan::Borrowed { until, .. } if *until <= now => Some(*until),
            _ => None,
        }
    }

    /// Returns the slice currently on loan to this holder, zero if there is none.
    pub(super) fn slice(&self) -> Slice {
        match self {
            ZoneLoan::Borrowed { slice, .. } => *slice,
            _ => Slice::default(),
        }
    }
}

/// Returns when to renew a loan: with at least half its time left, and at times common
/// to all loans, so that the renewals of many customers share a message.
pub(super) fn renewal_time(until: Timestamp, timing: &LedgerTiming) -> Timestamp {
    let half = (timing.slice_duration / 2).as_micros().max(1) as u64;
    let latest = (until - timing.slice_duration / 2).as_micros();
    Timestamp::from_micros(latest - latest % half)
}
