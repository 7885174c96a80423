//! The messages between daemons, independent of their encoding.

use std::time::Duration;

use comfreyramp_policy::{
    Heartbeat, NoticeAck, ServerKey, SuspectNotice, ViewOffer,
    rates::{RateAnswer, RateRequest},
};

/// A heartbeat: the state that a daemon reports when it connects, at intervals,
/// and when it stops. The answer is the heartbeat of the other daemon.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// The daemon's identity, and whether it is about to stop.
    pub member: Heartbeat,
    /// The revision of the settings that the daemon has in force.
    pub settings_revision: i64,
    /// The revision of the zone's roster that the daemon uses.
    pub roster_revision: i64,
    /// The time since both revisions were last known to be current.
    pub view_age: Duration,
}

/// A request for a daemon's view of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsRequest {
    /// The revision that the requesting daemon has; 0 if it has none.
    pub known_revision: i64,
    /// How long the peer may delay the answer while it has nothing newer.
    pub max_hold: Duration,
}

/// A daemon's view of the settings, or the changes that lead to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsAnswer {
    /// The revisions and the age of the view.
    pub offer: ViewOffer,
    /// The pairs written since the base revision of `offer`.
    pub written: Vec<SettingsPair>,
    /// The keys deleted since the base revision of `offer`.
    pub deleted: Vec<String>,
}

/// A key-value pair of the platform's store, as daemons forward it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsPair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which the pair was last written.
    pub modified: i64,
    /// The revision at which the pair was created.
    pub created: i64,
    /// The number of times the pair was written since it was created.
    pub version: i64,
}

/// Announces live requests that are about to reach a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveAnnouncement {
    /// The backend server.
    pub server: ServerKey,
    /// The number of live requests.
    pub count: u32,
}

/// A request to another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerRequest {
    /// A heartbeat. If `leaving` is set, the sender is about to stop.
    Heartbeat(PeerHeartbeat),
    /// A message about tokens and slices of customers' rates.
    Rates(RateRequest),
    /// The settings.
    Settings(SettingsRequest),
    /// Suspects and blocked fingerprints.
    Suspects(SuspectNotice),
    /// Live requests that are about to reach servers whose home is the peer.
    Announce(Vec<LiveAnnouncement>),
}

/// The answer to a [`PeerRequest`], of the same kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// The heartbeat of the peer.
    Heartbeat(PeerHeartbeat),
    /// A message about tokens and slices of customers' rates.
    Rates(RateAnswer),
    /// The settings, or `None` if the peer has none yet.
    Settings(Option<SettingsAnswer>),
    /// The acknowledgement of a notice of suspects.
    Suspects(NoticeAck),
    /// The number of bulk requests on each announced server, in the order of the
    /// announcement.
    Announced(Vec<u32>),
}
