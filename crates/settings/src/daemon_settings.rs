//! The settings of a single daemon, read from its settings file.

use std::{net::SocketAddr, path::PathBuf};

use serde::{Deserialize, Serialize};

/// The settings of a single daemon, read from its settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// The daemon's name, which is the name of its VM in the platform's VM list.
    pub name: String,
    /// The region of the daemon's VM.
    pub region: String,
    /// The availability zone of the daemon's VM.
    pub zone: String,
    /// The address to listen on for callers.
    pub callers: SocketAddr,
    /// The address to listen on for operators.
    pub operators: SocketAddr,
    /// The address to listen on for peers (other daemons).
    pub peers: SocketAddr,
    /// How to reach the platform.
    pub platform: PlatformSettings,
    /// The directory for bulk data, on VMs with a disk.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_folder: Option<PathBuf>,
    /// The token with which operators authenticate to the daemon.
    pub operators_token: String,
    /// The settings of the daemon's log.
    #[serde(default)]
    pub log: LogSettings,
    /// The file to which the daemon writes the addresses that it listens on, for ports
    /// chosen by the system.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub addresses_file: Option<PathBuf>,
}

/// How to reach the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The base address of the key-value service, `http://ip:port`.
    pub store: String,
    /// The base address of the service that lists the VMs, `http://ip:port`.
    pub vm_list: String,
}

/// The settings of a daemon's log.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of each line.
    pub format: LogFormat,
    /// The least severe level that is logged: `error`, `warn`, `info` or `debug`.
    pub level: Option<String>,
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Plain text for people.
    #[default]
    Text,
    /// One JSON object per line, for programs.
    Json,
}
