//! The load of a server, estimated from delayed reports and own counts.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Timestamp;

/// The batch size assumed for a server that hasn't reported one.
const DEFAULT_BATCH: u32 = 16;

/// The age at which the information in a report counts half.
const REPORT_HALF_LIFE: Duration = Duration::from_secs(5);

/// The fraction of a bulk request that counts as load for live requests: enough to
/// prefer a server without bulk work.
const BULK_FRACTION: f32 = 0.1;

/// The weight of one sample in the moving averages of a server.
const SAMPLE_WEIGHT: f32 = 0.1;

/// The load that a server reports with an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The number of requests in its batch.
    pub running: u32,
    /// The number of requests in its queue.
    pub waiting: u32,
    /// The maximum number of requests in its batch; 0 if it doesn't report one.
    pub batch: u32,
}

/// The load of one group's servers in one zone, as reported to other zones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ZoneLoad {
    /// The number of servers that accept new requests.
    pub servers: u32,
    /// The estimated number of requests on them.
    pub load: f32,
    /// The total capacity of their batches, in requests.
    pub batch: f32,
}

impl ZoneLoad {
    /// Returns whether the zone has no capacity for requests of other zones.
    pub fn is_saturated(&self) -> bool {
        self.servers == 0 || self.load >= self.batch
    }
}

/// The number of bulk requests on one server, which are preempted (cancelled) when live
/// requests need their places in the batch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PreemptibleLoad {
    /// The bulk requests of this daemon, which its own count includes.
    pub own: u32,
    /// The bulk requests reported by the server's home daemon.
    pub others: u32,
}

/// The load of one server as estimated by this daemon.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ServerLoad {
    /// The number of requests of this daemon on the server.
    pub in_flight: u32,
    /// The bulk requests of this and other daemons, which live requests preempt.
    pub preemptible: PreemptibleLoad,
    batch: u32,
    others: f32,
    reported_at: Option<Timestamp>,
    first_token_secs: f32,
    mean_duration_secs: f32,
}

impl ServerLoad {
    /// Returns the maximum number of requests in the batch.
    pub fn batch(&self) -> u32 {
        if self.batch == 0 {
            DEFAULT_BATCH
        } else {
            self.batch
        }
    }

    /// Estimates the number of requests on the server, from this and all other daemons.
    ///
    /// The own count is exact. The count of other daemons comes from the last report,
    /// minus the own requests at that time, and converges to `typical_others` (the mean
    /// over the zone) as the report ages. If a delayed report were taken at face value,
    /// all requests would go to the server that was idle a moment ago.
    ///
    /// Bulk requests count only in part. If they counted in full, every server would
    /// look full while there is bulk work, and live requests would accumulate on a
    /// server that is full of live requests while another has only bulk requests, which
    /// can be cancelled.
    pub fn requests(&self, typical_others: f32, now: Timestamp) -> f32 {
        let bulk = (self.preemptible.own + self.preemptible.others) as f32 * BULK_FRACTION;
        self.live_requests(typical_others, now) + bulk
    }

    /// Estimates the number of requests that can't be preempted.
    fn live_requests(&self, typical_others: f32, now: Timestamp) -> f32 {
        let live = self.in_flight.saturating_sub(self.preemptible.own) as f32;
        let Some(reported_at) = self.reported_at else {
            return live + typical_others;
        };
        let correction = (self.others - typical_others) * age_weight(now.since(reported_at));
        live + typical_others + correction
    }

    /// Estimates how many seconds one more request would wait for its first token.
    pub fn expected_wait(&self, typical_others: f32, now: Timestamp) -> f32 {
        let requests = self.requests(typical_others, now) + 1.0;
        let batch = self.batch() as f32;
        let queued = (requests - batch).max(0.0);
        let first_token = self.first_token_secs.max(0.001);
        first_token * (requests / batch).min(1.0)
            + self.mean_duration_secs.max(first_token) * queued / batch
    }

    /// Returns whether one more request would have to wait for a place in the batch.
    /// Bulk requests don't count: they are cancelled to make a place, and if they held
    /// back a live request, it would wait for as long as bulk work occupies the server.
    pub fn is_saturated(&self, typical_others: f32, now: Timestamp) -> bool {
        self.live_requests(typical_others, now) + 1.0 > self.batch() as f32
    }

    /// Applies a report and returns the number of requests of other daemons in it.
    pub(super) fn report(&mut self, report: LoadReport, now: Timestamp) -> f32 {
        let total = report.running.saturating_add(report.waiting);
        let known = self.in_flight + self.preemptible.others;
        self.others = total.saturating_sub(known) as f32;
        self.reported_at = Some(now);
        self.batch = report.batch;
        self.others
    }

    /// Discards everything but the daemon's own counts.
    pub(super) fn forget_reports(&mut self) {
        *self = ServerLoad {
            in_flight: self.in_flight,
            preemptible: self.preemptible,
            ..ServerLoad::default()
        };
    }

    pub(super) fn record_first_token(&mut self, span: Duration) {
        update_mean(&mut self.first_token_secs, span);
    }

    pub(super) fn record_duration(&mut self, span: Duration) {
        update_mean(&mut self.mean_duration_secs, span);
    }
}

/// Returns the weight of a report of this age. The decay is rational, which costs only
/// one division per request.
pub(super) fn age_weight(age: Duration) -> f32 {
    let half_lives = age.as_secs_f32() / REPORT_HALF_LIFE.as_secs_f32();
    1.0 / (1.0 + half_lives)
}

fn update_mean(mean: &mut f32, sample: Duration) {
    let secs = sample.as_secs_f32();
    if *mean == 0.0 {
        *mean = secs;
    } else {
        *mean += (secs - *mean) * SAMPLE_WEIGHT;
    }
}
