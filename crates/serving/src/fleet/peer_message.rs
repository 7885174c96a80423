//! What daemons tell each other, several times a second.

use std::net::SocketAddr;

use comfreyramp_policy::{
    Timestamp, ViewLag,
    placement::LoadShare,
    usage::{SpendingTimes, UsageCount},
};
use serde::{Deserialize, Serialize};

use crate::lots::{LotNotice, LotProgress, PlacedLot};

/// A daemon as it registers in the store, under its lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where other daemons reach it.
    pub address: SocketAddr,
    /// Drawn anew at each start.
    pub incarnation: u64,
    /// Whether it runs items of lots.
    pub runs_lots: bool,
}

/// How often servers broke off while they ran a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectCount {
    /// The hash of customer, path and body.
    pub fingerprint: u64,
    /// How often, as this daemon saw it.
    pub crashes: u8,
}

/// The store's revisions at the last change of each view that a daemon acts by.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewRevisions {
    /// What operators wrote.
    pub operators: i64,
    /// The directory of servers.
    pub servers: i64,
    /// The daemons.
    pub members: i64,
}

impl ViewRevisions {
    /// Whether any view is newer than another daemon's.
    pub fn is_ahead_of(self, other: ViewRevisions) -> bool {
        self.operators > other.operators
            || self.servers > other.servers
            || self.members > other.members
    }

    /// The newer one of each.
    pub fn newest(self, other: ViewRevisions) -> ViewRevisions {
        ViewRevisions {
            operators: self.operators.max(other.operators),
            servers: self.servers.max(other.servers),
            members: self.members.max(other.members),
        }
    }
}

/// For how long each view has been behind what others act by.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewLags {
    /// What operators wrote.
    pub operators: ViewLag,
    /// The directory of servers.
    pub servers: ViewLag,
    /// The daemons.
    pub members: ViewLag,
}

impl ViewLags {
    /// Notes up to which revisions the views are complete, and at which the newest
    /// changes are that others act by.
    pub fn note(&mut self, own: ViewRevisions, newest: ViewRevisions, now: Timestamp) {
        self.operators.note(own.operators, newest.operators, now);
        self.servers.note(own.servers, newest.servers, now);
        self.members.note(own.members, newest.members, now);
    }
}

/// What a daemon tells the others. Counts are totals, not differences, so that a
/// lost datagram costs nothing but time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PeerMessage {
    /// Who speaks.
    pub from: MemberRecord,
    /// Grows with each message of an incarnation.
    pub number: u64,
    /// The views that it acts by.
    pub revisions: ViewRevisions,
    /// What it has on servers, by the hash of their names.
    pub shares: Vec<(u64, LoadShare)>,
    /// What it let in of each customer's requests.
    pub usage: Vec<UsageCount>,
    /// Requests at which servers broke off.
    pub suspects: Vec<SuspectCount>,
    /// What happened to lots.
    pub lots: Vec<LotNotice>,
    /// How far the lots are that it runs.
    pub progress: Vec<LotProgress>,
    /// Whether it reaches the store.
    pub reaches_store: bool,
    /// Whether it is about to stop.
    pub is_leaving: bool,
    /// The items of lots that it has to run still.
    pub items: u32,
    /// Lots that it accepted, and who is asked to run them.
    pub placed: Vec<PlacedLot>,
    /// Whether it wants to hear from who reads this, at once.
    pub asks_word: bool,
    /// When it let in the requests that `usage` counts, in the same order.
    pub usage_times: UsageTimes,
}

/// When a daemon let customers' requests in, as in [`SpendingTimes`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageTimes {
    /// The time at which it says so.
    pub told: u16,
    /// The sum of the times of each customer's requests; none from a former version.
    pub sums: Vec<u16>,
}

impl PeerMessage {
    /// What it let in of each customer's requests, and when.
    pub fn timed_usage(&self) -> Vec<UsageCount> {
        let told = self.usage_times.told;
        let sums = self.usage_times.sums.iter().map(Some);
        let sums = sums.chain(std::iter::repeat(None));
        let counts = self.usage.iter().zip(sums).map(|(count, sum)| UsageCount {
            times: sum.map(|&sum| SpendingTimes { sum, told }),
            ..*count
        });
        counts.collect()
    }
}

impl UsageTimes {
    /// The times of these counts.
    pub fn of(counts: &[UsageCount]) -> Self {
        let times = counts.iter().map(|it| it.times.unwrap_or_default());
        UsageTimes {
            told: times.clone().next().unwrap_or_default().told,
            sums: times.map(|it| it.sum).collect(),
        }
    }
}

/// Zeros behind a message of a former version stand for the fields that it lacks.
pub const MESSAGE_PADDING: usize = 5;
