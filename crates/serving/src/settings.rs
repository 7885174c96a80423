//! The settings file of a daemon.

use std::{net::SocketAddr, time::Duration};

use comfreyramp_policy::{placement::ColdTolerance, usage::RateTolerance};
use serde::{Deserialize, Serialize};
use serde_with::{DurationSecondsWithFrac, serde_as};

/// A daemon's identity, its addresses and its limits. docs/SETTINGS.md explains each
/// field.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The daemon's name, unique in the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// The address on which it accepts callers; `None` on VMs without callers.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// The address of the load balancer's readiness check.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// The address for its peers, over both UDP and TCP.
    pub peers: SocketAddr,
    /// The address on which it serves its metrics.
    pub metrics: SocketAddr,
    /// Whether it runs the items of lots.
    pub runs_lots: bool,
    /// The connection to the store and the store's limits.
    pub store: StoreSettings,
    /// The time between the order to stop and the kill of the process, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace_s: Duration,
    /// How long a lot's results can be read after its submission, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub results_kept_s: Duration,
    /// How far the operators let the fleet exceed customers' limits; not at all if it is
    /// missing.
    #[serde(default)]
    pub rate_tolerance: Option<RateToleranceSettings>,
    /// How far the operators let requests to cold servers exceed the rate of their service;
    /// not at all if it is missing.
    #[serde(default)]
    pub cold_tolerance: Option<ColdToleranceSettings>,
    /// Whether live requests wait at the daemon while all servers are full, rather than at
    /// servers.
    #[serde(default)]
    pub live_queue: bool,
    /// The memory of the VM in megabytes, half of which may be held for callers; no bound if
    /// it is missing.
    #[serde(default)]
    pub memory_mb: Option<f64>,
    /// The least severe level that is logged: `error`, `warn`, `info` or `debug`.
    #[serde(default = "info")]
    pub log_level: String,
}

/// How far the operators let the fleet exceed customers' limits in any window.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RateToleranceSettings {
    /// The window over which requests are counted, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub window_s: Duration,
    /// The tolerated excess as a fraction of the limit over a window.
    pub fraction: f64,
    /// The tolerated excess in requests, on top of that.
    pub requests: f64,
}

impl RateToleranceSettings {
    /// Returns the tolerance as customers' rates use it.
    pub fn tolerance(self) -> RateTolerance {
        RateTolerance {
            window: self.window_s,
            fraction: self.fraction,
            requests: self.requests,
        }
    }

    fn is_valid(self) -> bool {
        let is_amount = |it: f64| it.is_finite() && it >= 0.0;
        !self.window_s.is_zero() && is_amount(self.fraction) && is_amount(self.requests)
    }
}

/// How far the operators let requests to cold servers exceed the rate of their service, in
/// any second.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ColdToleranceSettings {
    /// The tolerated requests as a multiple of the rate.
    pub factor: f64,
    /// The tolerated requests on top of that.
    pub requests: f64,
}

impl ColdToleranceSettings {
    /// Returns the tolerance as placement uses it.
    pub fn tolerance(self) -> ColdTolerance {
        ColdTolerance {
            factor: self.factor,
            requests: self.requests,
        }
    }

    fn is_valid(self) -> bool {
        let is_amount = |it: f64| it.is_finite() && it >= 0.0;
        is_amount(self.factor) && is_amount(self.requests)
    }
}

/// The store's address and its limits.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// The store's `ip:port`.
    pub address: SocketAddr,
    /// The store's maximum size of a value in bytes.
    pub value_bytes: usize,
    /// The shortest lease that the store grants, in seconds.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub shortest_lease_s: Duration,
}

fn info() -> String {
    "info".to_owned()
}

/// A problem in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {problem}")]
pub struct SettingsFinding {
    /// The field, or the line and column, of the problem.
    pub place: String,
    /// A description of the problem, and of the remedy where it isn't obvious.
    pub problem: String,
}

/// The minimum of `stop_grace_s`: the balancer has to take the daemon out of rotation, and
/// open requests have to end, before the process is killed.
const MIN_STOP_GRACE: Duration = Duration::from_secs(3);

/// The smallest value of `memory_mb`: half of it has room for a few bodies and answers.
const MIN_MEMORY_MB: f64 = 2.0;
/// The largest value of `memory_mb`: a VM with more than 16 TB is a mistake in the unit.
const MAX_MEMORY_MB: f64 = 16e6;

impl NodeSettings {
    /// Returns the largest number of bytes that may be held for callers: half of the VM's
    /// memory. The rest is for connections, the views of the store, lots and the system.
    pub fn held_bytes_bound(&self) -> Option<u64> {
        self.memory_mb.map(|it| (it * 500_000.0) as u64)
    }

    /// Parses and validates a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings together, so that they can be fixed in one pass. A file that
    /// can't be parsed gives a single finding.
    pub fn check(text: &[u8]) -> Result<NodeSettings, Vec<SettingsFinding>> {
        let settings: NodeSettings = serde_json::from_slice(text).map_err(|error| {
            let place = format!("line {} column {}", error.line(), error.column());
            vec![finding(&place, &error.to_string())]
        })?;
        let findings = settings.findings();
        match findings.is_empty() {
            true => Ok(settings),
            false => Err(findings),
        }
    }

    fn findings(&self) -> Vec<SettingsFinding> {
        let mut findings = Vec::new();
        if self.name.is_empty() {
            findings.push(finding(
                "name",
                "is empty; other daemons identify this one by its name",
            ));
        }
        if self.zone.is_empty() {
            findings.push(finding(
                "zone",
                "is empty; requests go to servers of the daemon's own zone first",
            ));
        }
        if self.callers.is_some() != self.health.is_some() {
            let text = "callers and health must be set together: the balancer checks health \
                        before it sends callers to the daemon";
            findings.push(finding("callers", text));
        }
        if self.callers.is_none() && !self.runs_lots {
            findings.push(finding(
                "runs_lots",
                "is false while callers is missing: the daemon would have nothing to do",
            ));
        }
        if self.stop_grace_s < MIN_STOP_GRACE {
            let text =
                format!("is less than {MIN_STOP_GRACE:?}, too short for open requests to end");
            findings.push(finding("stop_grace_s", &text));
        }
        if self.rate_tolerance.is_some_and(|it| !it.is_valid()) {
            let text = "window_s must be above 0, fraction and requests 0 or more";
            findings.push(finding("rate_tolerance", text));
        }
        if self.cold_tolerance.is_some_and(|it| !it.is_valid()) {
            findings.push(finding(
                "cold_tolerance",
                "factor and requests must be 0 or more",
            ));
        }
        if self
            .memory_mb
            .is_some_and(|it| !(MIN_MEMORY_MB..=MAX_MEMORY_MB).contains(&it))
        {
            let text = format!("must be from {MIN_MEMORY_MB} to {MAX_MEMORY_MB} megabytes");
            findings.push(finding("memory_mb", &text));
        }
        if !["error", "warn", "info", "debug"].contains(&self.log_level.as_str()) {
            findings.push(finding(
                "log_level",
                "must be one of error, warn, info, debug",
            ));
        }
        findings
    }
}

fn finding(place: &str, problem: &str) -> SettingsFinding {
    SettingsFinding {
        place: place.to_owned(),
        problem: problem.to_owned(),
    }
}
