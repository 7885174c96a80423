//! Replication of the operators' settings from the platform or from other daemons.
//!
//! [`SettingsLink`] carries out the decisions of [`WatchPlan`]: it watches the
//! platform while the plan says so, queries other daemons otherwise, and answers
//! their queries. [`SettingsView`] is its copy of the settings. A view is
//! published once the plan finds it recent enough to serve requests with.
//!
//! See `docs/FRESHNESS.md`.
//!
//! [`WatchPlan`]: comfreyramp_policy::WatchPlan

mod follow;
mod link;
mod peer_source;
mod query;
mod settings_age;
mod settings_view;

pub use link::{LinkSettings, SettingsLink};
pub use peer_source::{NoPeers, PeerAnswer, PeerSilence, PeerSource};
pub use settings_age::SettingsAge;
pub use settings_view::{SettingsView, ViewChanges};
