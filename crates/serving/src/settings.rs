//! A daemon's own settings.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationSecondsWithFrac, serde_as};

/// What a daemon needs to know of itself and its surroundings. docs/SETTINGS.md
/// explains each field.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The daemon's name, unique over the fleet.
    pub name: String,
    /// Its availability zone.
    pub zone: String,
    /// Where callers connect; nothing on VMs that callers don't reach.
    #[serde(default)]
    pub callers: Option<SocketAddr>,
    /// Where the balancer asks whether the daemon is ready.
    #[serde(default)]
    pub health: Option<SocketAddr>,
    /// Where other daemons reach it, over UDP and TCP alike.
    pub peers: SocketAddr,
    /// Where its metrics are read.
    pub metrics: SocketAddr,
    /// Whether it runs the items of lots.
    pub runs_lots: bool,
    /// The store.
    pub store: StoreSettings,
    /// Between the order to stop and the moment at which the process is killed.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub stop_grace_s: Duration,
    /// How long results can be read after their lot was handed in.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub results_kept_s: Duration,
    /// The least severe log line that is written: `error`, `warn`, `info`, `debug`.
    #[serde(default = "info")]
    pub log_level: String,
}

/// The store and its terms.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its `ip:port`.
    pub address: SocketAddr,
    /// The longest value in bytes.
    pub value_bytes: usize,
    /// The shortest lease.
    #[serde_as(as = "DurationSecondsWithFrac<f64>")]
    pub shortest_lease_s: Duration,
}

fn info() -> String {
    "info".to_owned()
}

/// Something wrong in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{place}: {problem}")]
pub struct SettingsFinding {
    /// Where.
    pub place: String,
    /// What, and what to do about it.
    pub problem: String,
}

/// The least span between the order to stop and the kill that lets the balancer
/// notice and open requests end.
const LEAST_GRACE: Duration = Duration::from_secs(3);

impl NodeSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns all findings together, so that one look mends them all.
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
                "is empty; other daemons know this one by it",
            ));
        }
        if self.zone.is_empty() {
            findings.push(finding(
                "zone",
                "is empty; servers of the own zone go first",
            ));
        }
        if self.callers.is_some() != self.health.is_some() {
            let text = "callers and health go together: the balancer asks at the one \
                        whether to send callers to the other";
            findings.push(finding("callers", text));
        }
        if self.callers.is_none() && !self.runs_lots {
            findings.push(finding(
                "runs_lots",
                "with no callers and no lots there is nothing to do",
            ));
        }
        if self.stop_grace_s < LEAST_GRACE {
            let text = format!("is less than {LEAST_GRACE:?}, too short for open requests to end");
            findings.push(finding("stop_grace_s", &text));
        }
        if !["error", "warn", "info", "debug"].contains(&self.log_level.as_str()) {
            findings.push(finding("log_level", "is none of error, warn, info, debug"));
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
