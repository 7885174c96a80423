//! The messages as the rest of the daemon sees them.

use std::time::Duration;

use comfreyramp_policy::{
    Heartbeat, NoticeAck, ServerKey, SuspectNotice, ViewOffer,
    rates::{RateAnswer, RateRequest},
};

/// What a daemon says of itself, when it connects, now and then, and when it
/// leaves. The answer says the same of the other side.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerBeat {
    /// Who it is, and whether it is about to stop.
    pub member: Heartbeat,
    /// The revision of the settings that it has in force.
    pub settings_revision: i64,
    /// The revision of its zone's roster that it acts by.
    pub roster_revision: i64,
    /// How long ago both were last known to be current.
    pub view_age: Duration,
}

/// Asks a daemon for its view of the settings.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettingsAsk {
    /// The revision that the asker has; 0 for none.
    pub known: i64,
    /// How long the answer may be held back while there is nothing newer.
    pub hold: Duration,
}

/// A daemon's view of the settings, or the changes that lead to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsAnswer {
    /// What it says of the view.
    pub offer: ViewOffer,
    /// The pairs written since.
    pub written: Vec<SettingsPair>,
    /// The keys deleted since.
    pub deleted: Vec<String>,
}

/// A pair of the platform's store, as it is passed on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SettingsPair {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision at which it was last written.
    pub modified: i64,
    /// The revision at which it was created.
    pub created: i64,
    /// How often it was written since.
    pub version: i64,
}

/// Live requests on their way to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LiveNotice {
    /// The server.
    pub server: ServerKey,
    /// How many.
    pub count: u32,
}

/// A message to another daemon.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAsk {
    /// How things are. With `leaving` set, a notice that the sender stops.
    Beat(PeerBeat),
    /// Tokens and slices.
    Rates(RateRequest),
    /// The settings.
    Settings(SettingsAsk),
    /// Suspects, and fingerprints that are blocked.
    Suspects(SuspectNotice),
    /// Live requests on their way to servers whose home the other side is.
    Announce(Vec<LiveNotice>),
}

/// The answer to a [`PeerAsk`], of the same kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerAnswer {
    /// How things are with the other side.
    Beat(PeerBeat),
    /// Tokens and slices.
    Rates(RateAnswer),
    /// The settings; nothing if the other side has none yet.
    Settings(Option<SettingsAnswer>),
    /// What the other side makes of the suspects.
    Suspects(NoticeAck),
    /// The bulk requests on each of the announced servers, in their order.
    Announced(Vec<u32>),
}
