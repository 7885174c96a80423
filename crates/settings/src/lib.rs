//! The settings of daemons and teams, and the checks made on them.
//!
//! - [`DaemonSettings`]: a daemon's settings file, read by [`DaemonSettings::check`].
//! - [`TeamSettings`]: one team's customers and services, a subtree of the platform's
//!   store, read by [`TeamSettings::check`]. Daemons and the command-line tool use the
//!   same checks.
//! - [`ChangeHistory`]: who changed a team's settings, when and what.
//! - [`FindingList`]: everything that a check found, each finding with its place.
//!
//! `docs/SETTINGS.md` lists each field with its unit, bounds and default.

mod change_history;
mod check_daemon;
mod check_team;
mod daemon_settings;
mod difference;
mod duplicate_fields;
mod finding;
mod object_reader;
mod team_settings;

pub use change_history::{ChangeHistory, SettingsChange};
pub use daemon_settings::{DaemonSettings, LogFormat, LogSettings, PlatformSettings};
pub use difference::{DifferenceKind, SettingsDifference};
pub use finding::{Finding, FindingList};
pub use team_settings::{
    CustomerSettings, CutOffPolicy, KeySettings, ServiceKind, ServiceSettings, TeamSettings,
};
